// Gathers on the simulated entry instances of a deployment, over leaves that pause. The messages, leaves and processors
// are simulated; the decisions are those of RouteExecution and RelayedGather.
#pragma once

#include "query/RelayedGather.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace citronplank::testing {

using std::chrono::microseconds;

/// Sizes and times of a simulated deployment. The costs are those of an instance with 0.12 of a core.
struct FleetShape {
    std::vector<std::string> zones { "atl", "sav", "mac", "aug", "col", "ath" };
    std::size_t instancesPerZone = 49;
    std::size_t shardCount = 180;
    std::size_t leavesPerShard = 3; // in different zones
    std::uint32_t leafConnections = 174;
    std::uint32_t slots = 3;
    milliseconds pauseLength { 100 };
    milliseconds pauseInterval { 2400 };
    microseconds linkDelay { 900 };        // one way between zones
    microseconds localDelay { 200 };       // one way within a zone
    microseconds connectTime { 6000 };     // of a leaf
    microseconds leafMessageCost { 300 };  // of an instance, each for a request and an answer
    microseconds relayMessageCost { 400 }; // as above
    milliseconds work { 3 };
    double workSpread = 0.35;
    int slowFactor = 11;
    milliseconds objective { 80 };
    milliseconds timeout { 400 };
    milliseconds callerTime { 12 }; // connection setup, request and answer between caller and entry instance
    microseconds requestInterval { 25'000 };
    int requestCount = 400;
    int warmUpRequests = 100; // not judged: connections are opened and latencies are learned
    double minCoverage = 0.95;
    double extraBurst = 628; // of the budget of extra requests for a service
    bool spreadsLeaves
        = true; // the leaves are in all zones, each shard's in `leavesPerShard` of them; else in the first
    unsigned slowPercent = 0; // percentage of the leaves whose work takes `slowFactor` times as long
};

const TimePoint fleetStart { seconds(1000) };

/// Calls functions at their times, in order.
class Agenda {
public:
    void at(TimePoint time, std::function<void()> run) { m_events.push({ time, m_next++, std::move(run) }); }
    void runAll()
    {
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            now = std::max(now, event.time);
            event.run();
        }
    }
    TimePoint now = fleetStart;

private:
    struct Event {
        TimePoint time;
        std::uint64_t number = 0; // keeps the order of events at the same time
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::tie(time, number) > std::tie(other.time, other.number); }
    };
    std::priority_queue<Event> m_events;
    std::uint64_t m_next = 0;
};

struct Leaf {
    std::string zone;
    milliseconds phase { 0 };        // of its pauses
    std::set<std::string> connected; // instances
    int slowness = 1;                // multiplies the work
    int arrivals = 0;
    milliseconds pauseLength { 0 };
    milliseconds pauseInterval { 1 };

    /// Returns when work that starts at `time` and takes `duration` ends.
    TimePoint endOf(TimePoint time, Duration duration) const
    {
        auto inCycle = std::chrono::duration_cast<Duration>(time.time_since_epoch() + phase) % Duration(pauseInterval);
        if (inCycle < Duration(pauseLength))
            return time + (Duration(pauseLength) - inCycle) + duration;
        auto untilPause = Duration(pauseInterval) - inCycle;
        return time + duration + (duration > untilPause ? Duration(pauseLength) : Duration(0));
    }
};

struct Instance {
    Instance(std::string instanceName, std::string instanceZone)
        : name(std::move(instanceName))
        , zone(std::move(instanceZone))
        , policies(name, zone)
    {
    }
    std::string name;
    std::string zone;
    RoutePolicies policies;
    TimePoint busyUntil = fleetStart;
    std::map<std::uint64_t, std::unique_ptr<RelayedGather>> relayed;
    std::uint64_t lastId = 1;
    Duration busyTime { 0 };

    /// Returns when the processor has spent `cost` on a message that arrived at `time`.
    TimePoint spend(TimePoint time, Duration cost)
    {
        busyTime += cost;
        return busyUntil = std::max(busyUntil, time) + cost;
    }
};

struct Request {
    Instance* entry = nullptr;
    std::unique_ptr<RouteExecution> execution;
    TimePoint arrivedAt;
    std::optional<TimePoint> answeredAt;
    bool succeeded = false;
    std::uint32_t missing = 0;
    std::vector<std::pair<Instance*, std::uint64_t>> relays; // by number: peer and its id of the relayed request
};

/// Plays the requests of a shape. Not thread safe.
class Fleet {
public:
    explicit Fleet(FleetShape fleetShape)
        : shape(std::move(fleetShape))
    {
        route->name = "lookup";
        route->objective = shape.objective;
        route->timeout = shape.timeout;
        route->attempts = 2;
        route->topRecords = 20;
        route->minCoverage = shape.minCoverage;
        ServingConfiguration configuration;
        configuration.version = 1;
        std::vector<Announcement> announcements;
        for (std::size_t i = 0; i < shape.shardCount; ++i) {
            auto service = "s" + std::to_string(i);
            route->shards.push_back(service);
            configuration.services[service].connections = shape.leafConnections;
            for (std::size_t zone = 0; zone < shape.leavesPerShard; ++zone) {
                Announcement it;
                it.service = service;
                it.zone = shape.zones.at((zone + (shape.spreadsLeaves ? i : 0)) % shape.zones.size());
                it.leaf = service + "-" + it.zone;
                it.address = "10.0.0.1:80";
                it.slots = shape.slots;
                leaves[it.leaf]
                    = { it.zone, milliseconds(random() % static_cast<unsigned>(shape.pauseInterval.count())), {},
                          random() % 100 < shape.slowPercent ? shape.slowFactor : 1, 0, shape.pauseLength,
                          shape.pauseInterval };
                announcements.push_back(std::move(it));
            }
        }
        configuration.routes.push_back(*route);
        table = std::make_shared<const RouteTable>(std::move(configuration));
        std::vector<std::string> names;
        for (const auto& zone : shape.zones) {
            for (std::size_t i = 0; i < shape.instancesPerZone; ++i) {
                names.push_back(zone + "-" + std::to_string(i));
                instances.emplace(names.back(), std::make_unique<Instance>(names.back(), zone));
            }
        }
        SharedBounds bounds;
        bounds.extraBurst = shape.extraBurst;
        for (auto& [name, it] : instances) {
            it->policies.setBounds(bounds);
            it->policies.setTable(table);
            it->policies.setEntryInstances(names);
            RoutePolicies::PeersByZone peers;
            for (const auto& other : names) {
                if (other != name)
                    peers[instances.at(other)->zone].push_back(other);
            }
            it->policies.setPeers(peers);
            it->policies.setLeaves(announcements, fleetStart);
        }
    }

    void play()
    {
        for (int i = 0; i < shape.requestCount; ++i) {
            auto time = fleetStart + shape.requestInterval * i;
            auto entry = std::next(instances.begin(), static_cast<std::ptrdiff_t>(random() % instances.size()));
            agenda.at(time, [this, entry, time] { begin(*entry->second, time); });
        }
        agenda.runAll();
    }

    FleetShape shape;
    std::shared_ptr<Route> route = std::make_shared<Route>();
    std::shared_ptr<const RouteTable> table;
    std::map<std::string, Leaf> leaves;
    std::map<std::string, std::unique_ptr<Instance>> instances;
    std::vector<std::unique_ptr<Request>> requests;
    Agenda agenda;
    std::mt19937 random { 7 };

private:
    void begin(Instance& entry, TimePoint time)
    {
        auto& request = *requests.emplace_back(std::make_unique<Request>());
        request.entry = &entry;
        request.arrivedAt = time;
        request.execution = std::make_unique<RouteExecution>(route, table, time, time + route->timeout,
            requests.size() * RouteExecution::attemptsPerRequest, entry.policies);
        auto started = entry.spend(time, shape.relayMessageCost);
        agenda.at(started, [this, &request] { perform(request, request.execution->start(agenda.now)); });
    }

    Duration delay(const std::string& from, const std::string& to) const
    {
        return from == to ? shape.localDelay : shape.linkDelay;
    }

    void perform(Request& request, RouteActions actions)
    {
        auto& entry = *request.entry;
        for (auto attempt : actions.cancels)
            entry.policies.onEnd(request.execution->leafOf(attempt), attempt, AttemptEnd::Abandoned, agenda.now);
        for (auto& it : actions.relays) {
            auto sentAt = entry.spend(agenda.now, shape.relayMessageCost);
            auto& peer = *instances.at(it.peer);
            request.relays.resize(it.relay + 1);
            auto arrival = sentAt + delay(entry.zone, peer.zone);
            agenda.at(arrival, [this, &request, &peer, relay = it.relay, content = it.request]() mutable {
                auto read = peer.spend(agenda.now, shape.relayMessageCost);
                agenda.at(read, [this, &request, &peer, relay, content = std::move(content)]() mutable {
                    beginRelayed(request, peer, relay, std::move(content));
                });
            });
        }
        for (const auto& it : actions.sends) {
            sendToLeaf(entry, it, [this, &request](AttemptResult result) {
                perform(request, request.execution->onResult(std::move(result), agenda.now));
            });
        }
        if (actions.finish && !request.answeredAt) {
            request.answeredAt = agenda.now;
            request.succeeded = actions.finish->kind == RouteOutcome::Kind::Merged;
            request.missing = actions.finish->missing;
        }
        if (actions.nextTimer) {
            agenda.at(std::max(*actions.nextTimer, agenda.now), [this, &request] {
                if (!request.execution->isFinished())
                    perform(request, request.execution->onTimer(std::max(agenda.now, request.entry->busyUntil)));
            });
        }
    }

    void sendToLeaf(Instance& instance, const RouteSend& send, std::function<void(AttemptResult)> done)
    {
        auto& leaf = leaves.at(send.leaf.leaf);
        ++leaf.arrivals;
        auto path = delay(instance.zone, leaf.zone);
        auto sentAt = instance.spend(agenda.now, shape.leafMessageCost);
        if (leaf.connected.insert(instance.name).second)
            sentAt += shape.connectTime + 2 * path;
        std::normal_distribution<double> spread(0, shape.workSpread);
        auto duration = std::chrono::duration_cast<Duration>(leaf.slowness * shape.work * std::exp(spread(random)));
        auto answeredAt = leaf.endOf(sentAt + path, duration) + path;
        agenda.at(answeredAt, [this, &instance, send, done = std::move(done)] {
            auto read = instance.spend(agenda.now, shape.leafMessageCost);
            agenda.at(read, [send, done] {
                AttemptResult result { send.attempt, AttemptResult::Status::Answered, {} };
                result.answer.body = std::string(TopRecords::recordBytes, 'r');
                result.answer.signature = send.leaf.service;
                done(std::move(result));
            });
        });
    }

    void beginRelayed(Request& request, Instance& peer, std::uint32_t relay, RelayRequest content)
    {
        auto id = ++peer.lastId;
        auto& gather = peer.relayed[id];
        // The attempt numbers of relayed requests differ from those of the own requests.
        gather = std::make_unique<RelayedGather>(
            std::move(content), (id + shape.requestCount) * RouteExecution::attemptsPerRequest, peer.policies);
        performRelayed(request, peer, relay, id, gather->start(agenda.now));
    }

    void performRelayed(Request& request, Instance& peer, std::uint32_t relay, std::uint64_t id, RelayActions actions)
    {
        auto& gather = *peer.relayed.at(id);
        for (auto attempt : actions.cancels)
            peer.policies.onEnd(gather.leafOf(attempt), attempt, AttemptEnd::Abandoned, agenda.now);
        for (const auto& answer : actions.answers) {
            auto& entry = *request.entry;
            auto arrival = peer.spend(agenda.now, shape.relayMessageCost) + delay(peer.zone, entry.zone);
            agenda.at(arrival, [this, &request, &entry, relay, answer] {
                auto read = entry.spend(agenda.now, shape.relayMessageCost);
                agenda.at(read, [this, &request, relay, answer] {
                    perform(request, request.execution->onRelayAnswer(relay, answer, agenda.now));
                });
            });
        }
        for (const auto& it : actions.sends) {
            sendToLeaf(peer, it, [this, &request, &peer, relay, id](AttemptResult result) {
                performRelayed(request, peer, relay, id, peer.relayed.at(id)->onResult(std::move(result), agenda.now));
            });
        }
        if (actions.nextTimer && !actions.finished) {
            agenda.at(*actions.nextTimer, [this, &request, &peer, relay, id] {
                performRelayed(request, peer, relay, id, peer.relayed.at(id)->onTimer(agenda.now));
            });
        }
    }
};

} // namespace citronplank::testing
