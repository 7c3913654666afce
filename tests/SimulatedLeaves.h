// A simulation of instances that share the leaves of one service, without network and threads.
#pragma once

#include "policy/LeafSelector.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <utility>

namespace citronplank {

constexpr TimePoint simulationStart = TimePoint {} + std::chrono::hours(1);
constexpr milliseconds serviceTime { 160 };
constexpr milliseconds objective { 500 };
constexpr TimePoint watchedFrom = simulationStart + std::chrono::seconds(28); // in a burst
constexpr std::size_t attemptsPerRequest = 3;

struct SimulatedLeaf {
    Announcement announcement;
    double speed = 1;
    Duration pauseEvery {}; // zero: does not pause
    Duration pause {};      // at the beginning of each period
    TimePoint upFrom = simulationStart;
    TimePoint downFrom = TimePoint::max(); // connects fail until downUntil
    TimePoint downUntil = TimePoint::max();
    std::uint32_t running = 0;
    std::deque<std::function<void()>> waiting {}; // starts of requests; as many as slots, more are refused
    double busyTime = 0;                          // running and waiting, in request seconds of the current second
    TimePoint countedAt = simulationStart;

    std::size_t load() const { return running + waiting.size(); }
};

struct SimulatedInstance {
    LeafSelector selector;
    std::minstd_rand random;
    RequestRate rate {};
    std::vector<std::uint32_t> reported {}; // load of each leaf when it was last reported
    std::vector<std::uint32_t> sent {};     // requests sent to each leaf since then
    TimePoint reportedAt {};
};

struct SimulationResult {
    double maxToMean = 0; // load of the most loaded leaf relative to the mean, averaged over the seconds of bursts
    double p99Wait = 0;   // ms beyond the service time of an idle leaf of average speed
    double withinObjective = 0;
    double refusals = 0;    // per request
    double otherZone = 0;   // share of the attempts
    double watched = 0;     // largest load of leaf 1 in a second of the watched time, in slots
    double worstSecond = 0; // largest load of one leaf in any second, in slots
};

/// Chooses among the candidates, which are leaves that the request was not sent to.
using SimulatedChooser = std::function<std::optional<std::size_t>(
    SimulatedInstance&, std::span<const Announcement* const>, std::span<const std::size_t> indices, TimePoint now)>;

class LeafSimulation {
public:
    LeafSimulation(std::vector<SimulatedLeaf> leaves, std::span<const std::size_t> instancesOfZone, Duration reportAge,
        SimulatedChooser chooser)
        : m_leaves(std::move(leaves))
        , m_reportAge(reportAge)
        , m_chooser(std::move(chooser))
    {
        for (std::size_t zone = 0; zone < instancesOfZone.size(); ++zone) {
            for (std::size_t i = 0; i < instancesOfZone[zone]; ++i)
                m_instances.push_back({ LeafSelector("zone-" + std::to_string(zone)),
                    std::minstd_rand(static_cast<std::uint32_t>(m_instances.size() + 1)) });
        }
    }

    /// `perSecond` is the rate without bursts; a burst takes the last 3 of each 10 s and multiplies it.
    SimulationResult run(double perSecond, double burstFactor, std::chrono::seconds length)
    {
        auto end = simulationStart + length;
        for (auto& it : m_instances)
            at(simulationStart + milliseconds(m_random() % 100), [this, &it, end] { probe(it, end); });
        at(simulationStart, [=, this] { arrive(perSecond, burstFactor, end); });
        at(simulationStart + std::chrono::seconds(1), [=, this] { endSecond(end); });
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        std::sort(m_waits.begin(), m_waits.end());
        auto n = static_cast<double>(m_requests);
        m_result.p99Wait = m_waits.at(m_waits.size() * 99 / 100);
        m_result.withinObjective = static_cast<double>(m_within) / n;
        m_result.refusals = static_cast<double>(m_refusals) / n;
        m_result.otherZone = static_cast<double>(m_otherZone) / static_cast<double>(m_attempts);
        m_result.maxToMean = m_ratios / static_cast<double>(m_seconds);
        return m_result;
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
    };
    struct Request {
        SimulatedInstance* instance = nullptr;
        TimePoint arrivedAt;
        std::vector<std::size_t> tried {};
    };
    void at(TimePoint when, std::function<void()> run) { m_events.push({ when, ++m_lastEvent, std::move(run) }); }
    static bool isBurst(TimePoint now)
    {
        return (now - simulationStart) % std::chrono::seconds(10) >= std::chrono::seconds(7);
    }

    void arrive(double perSecond, double burstFactor, TimePoint end)
    {
        if (m_now >= end)
            return;
        auto& instance = m_instances[m_random() % m_instances.size()];
        ++m_requests;
        send({ &instance, m_now });
        auto rate = perSecond * (isBurst(m_now) ? burstFactor : 1);
        at(m_now + secondsOf(std::exponential_distribution<double>(rate)(m_random)),
            [=, this] { arrive(perSecond, burstFactor, end); });
    }
    static Duration secondsOf(double n)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(n));
    }

    void probe(SimulatedInstance& instance, TimePoint end)
    {
        for (const auto& name : instance.selector.dueProbes(m_now)) {
            auto found = std::find_if(m_leaves.begin(), m_leaves.end(),
                [&](const SimulatedLeaf& it) { return it.announcement.leaf == name; });
            instance.selector.onProbe(name, !isDown(*found), m_now);
        }
        if (m_now < end)
            at(m_now + milliseconds(100), [this, &instance, end] { probe(instance, end); });
    }
    bool isDown(const SimulatedLeaf& it) const { return m_now >= it.downFrom && m_now < it.downUntil; }

    void report(SimulatedInstance& it)
    {
        if (m_now - it.reportedAt < m_reportAge)
            return;
        it.reportedAt = m_now - secondsOf(std::uniform_real_distribution<double>(0, 0.2)(m_random));
        it.reported.clear();
        for (const auto& leaf : m_leaves)
            it.reported.push_back(static_cast<std::uint32_t>(leaf.load()));
        it.sent.assign(m_leaves.size(), 0);
    }

    void send(Request request)
    {
        auto& instance = *request.instance;
        report(instance);
        std::vector<const Announcement*> candidates;
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < m_leaves.size(); ++i) {
            bool isTried = std::find(request.tried.begin(), request.tried.end(), i) != request.tried.end();
            if (m_now < m_leaves[i].upFrom || isTried)
                continue;
            candidates.push_back(&m_leaves[i].announcement);
            indices.push_back(i);
        }
        auto chosen = m_chooser(instance, candidates, indices, m_now);
        if (!chosen || request.tried.size() >= attemptsPerRequest)
            return; // the caller gets an error
        auto index = indices[*chosen];
        auto& leaf = m_leaves[index];
        request.tried.push_back(index);
        ++instance.sent[index];
        auto attempt = ++m_attempts;
        m_otherZone += isOwn(instance, leaf) ? 0 : 1;
        instance.rate.add(m_now);
        instance.selector.onStart(leaf.announcement, attempt, serviceTime, m_now);
        auto refused = isDown(leaf)                                      ? std::optional(AttemptEnd::Unreachable)
            : leaf.load() >= 2 * std::size_t { leaf.announcement.slots } ? std::optional(AttemptEnd::Refused)
                                                                         : std::nullopt;
        if (refused) {
            m_refusals += *refused == AttemptEnd::Refused ? 1 : 0;
            at(m_now + milliseconds(2), [=, this, &leaf] {
                request.instance->selector.onEnd(leaf.announcement.leaf, attempt, *refused, m_now);
                send(request);
            });
            return;
        }
        count(leaf);
        auto begin = [=, this, &leaf] {
            ++leaf.running;
            auto work
                = serviceTime * (0.75 + 0.5 * std::uniform_real_distribution<double>(0, 1)(m_random)) / leaf.speed;
            at(endOf(leaf, std::chrono::duration_cast<Duration>(work)),
                [=, this, &leaf] { finish(leaf, request, attempt); });
        };
        if (leaf.running < leaf.announcement.slots)
            begin();
        else
            leaf.waiting.emplace_back(begin);
    }
    static bool isOwn(const SimulatedInstance& instance, const SimulatedLeaf& leaf)
    {
        return instance.selector.expectedCost(leaf.announcement, Duration::zero(), simulationStart) == Duration::zero();
    }

    /// When work that starts now ends; the leaf does nothing during its pauses.
    TimePoint endOf(const SimulatedLeaf& leaf, Duration work) const
    {
        auto time = m_now;
        while (leaf.pauseEvery > Duration::zero()) {
            auto phase = (time - simulationStart) % leaf.pauseEvery;
            if (phase < leaf.pause)
                time += leaf.pause - phase;
            phase = (time - simulationStart) % leaf.pauseEvery;
            auto available = leaf.pauseEvery - phase;
            if (work < available)
                break;
            work -= available;
            time += available;
        }
        return time + work;
    }

    void finish(SimulatedLeaf& leaf, const Request& request, std::uint64_t attempt)
    {
        count(leaf);
        --leaf.running;
        request.instance->selector.onEnd(leaf.announcement.leaf, attempt, AttemptEnd::Answered, m_now);
        auto elapsed = m_now - request.arrivedAt;
        m_waits.push_back(std::max(0.0, std::chrono::duration<double, std::milli>(elapsed - serviceTime).count()));
        m_within += elapsed <= objective ? 1 : 0;
        if (!leaf.waiting.empty()) {
            auto begin = std::move(leaf.waiting.front());
            leaf.waiting.pop_front();
            begin();
        }
    }

    void count(SimulatedLeaf& leaf)
    {
        leaf.busyTime
            += static_cast<double>(leaf.load()) * std::chrono::duration<double>(m_now - leaf.countedAt).count();
        leaf.countedAt = m_now;
    }

    void endSecond(TimePoint end)
    {
        double sum = 0;
        double largest = 0;
        std::size_t n = 0;
        for (auto& it : m_leaves) {
            count(it);
            auto load = std::exchange(it.busyTime, 0.0) / it.announcement.slots;
            if (m_now - std::chrono::seconds(1) < it.upFrom || isDown(it))
                continue;
            bool isWatched
                = &it == &m_leaves[1] && m_now > watchedFrom && m_now <= watchedFrom + std::chrono::seconds(3);
            m_result.watched = std::max(m_result.watched, isWatched ? load : 0);
            sum += load;
            largest = std::max(largest, load);
            ++n;
        }
        m_result.worstSecond = std::max(m_result.worstSecond, largest);
        if (isBurst(m_now - milliseconds(1)) && sum > 0) {
            m_ratios += largest * static_cast<double>(n) / sum;
            ++m_seconds;
        }
        if (m_now < end)
            at(m_now + std::chrono::seconds(1), [=, this] { endSecond(end); });
    }

    std::vector<SimulatedLeaf> m_leaves;
    Duration m_reportAge;
    SimulatedChooser m_chooser;
    std::deque<SimulatedInstance> m_instances;
    std::mt19937 m_random { 1 };
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastEvent = 0;
    TimePoint m_now = simulationStart;
    SimulationResult m_result;
    std::vector<double> m_waits;
    std::size_t m_requests = 0, m_within = 0, m_refusals = 0, m_attempts = 0, m_otherZone = 0, m_seconds = 0;
    double m_ratios = 0;
};

} // namespace citronplank
