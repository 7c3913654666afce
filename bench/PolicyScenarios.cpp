// Compares the policies with a baseline in a discrete-event simulation of leaves. Prints latencies, coverage and errors
// of each scenario.
//
//     bench_PolicyScenarios [SEED]
//
// Model: 4 entry instances, 20 shards with 2 leaves each, 2 slots per leaf, 6 ms of work per part. A leaf queues at
// most 2 parts in addition to those on its slots and sheds the rest. A cold leaf runs one part at a time, five times
// slower, until it has completed 40 parts.
//
// With the policies, each leaf is owned by one instance, whose gate all instances use; the link delay of 1 ms is
// between an instance and the owner. In the baseline, instances send independently: each has its own gate for each
// leaf, limited to the announced slots; the link delay is between the gate and the leaf.
#include "policy/Admission.h"
#include "query/LeafGates.h"
#include "query/QueryExecution.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>

using namespace citronplank;

namespace {

constexpr std::uint32_t entryCount = 4;
constexpr std::uint32_t shardCount = 20;
constexpr std::uint32_t slotsPerLeaf = 2;
constexpr std::uint32_t backlogPerLeaf = 2;             // queued parts; a leaf sheds further ones
constexpr std::uint32_t coldCompletions = 40;           // completed parts until a restarted leaf is warm
constexpr double coldSlowdown = 5;                      // factor of the service time of a cold leaf
constexpr double workSeconds = 0.006;                   // mean service time of a part
constexpr double baseQueriesPerSecond = 260;            // 40% of the capacity of 40 leaves with 2 slots
constexpr std::chrono::microseconds linkDelay { 1000 }; // in one direction
constexpr milliseconds queryDeadline { 130 };
constexpr seconds runTime { 20 }; // of arrivals
constexpr seconds disruptionStart { 5 };
constexpr seconds disruptionEnd { 10 }; // of ZoneOut
// Of ColdRestart: from the crash of all leaves until they accept parts again.
constexpr milliseconds restartTime { 200 };

enum class Scenario : std::uint8_t { Calm, Stragglers, ReplicaLost, Overload, ColdRestart, ZoneOut };

struct Leaf {
    Announcement announcement;
    double slowdown = 1;             // factor of the service time
    std::uint32_t coldPartsLeft = 0; // parts to complete until the leaf is warm
    bool isDown = false;
    std::vector<std::pair<std::size_t, std::uint64_t>> running; // gate index and part ID
    std::deque<std::pair<std::size_t, std::uint64_t>> backlog;
    std::uint32_t peakWhileCold = 0; // maximum number of parts on the leaf while it is cold, including a shed one
};

/// Measurements of one simulation.
struct Figures {
    std::vector<double> latenciesMs; // latencies of answered queries
    std::uint64_t refused = 0;       // not admitted
    std::uint64_t failed = 0;        // errors after admission
    std::uint64_t answered = 0;
    std::uint64_t whole = 0;         // answered with all shards
    std::uint64_t leafParts = 0;     // parts that arrived at leaves
    double coverage = 0;             // sum over answered queries
    std::uint32_t peakWhileCold = 0; // maximum over the leaves
};

/// One run of a scenario, with the policies or as the baseline. run() may be called once.
class Simulation {
public:
    Simulation(Scenario scenario, bool isBaseline, std::uint64_t seed);
    Figures run();

private:
    struct RunningQuery {
        std::unique_ptr<QueryExecution<ReplicaStatistics>> execution;
        AdmissionRequest request;
        TimePoint startedAt;
        TimePoint timerAt = TimePoint::max();
    };
    struct Entry {
        std::unique_ptr<ReplicaStatistics> policies;
        std::unique_ptr<Admission> admission;
        LayoutChooser chooser;
        std::shared_ptr<const PinnedLayout> layout;
        std::unordered_map<std::uint64_t, RunningQuery> queries;
    };
    /// Gates of one instance. With the policies only those of the leaves that it owns are used.
    struct Gates {
        std::unique_ptr<LeafGates> leafGates;
        TimePoint timerAt = TimePoint::max();
    };
    /// Events at the same time happen in the order in which they were scheduled.
    struct Event {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(other.at, other.sequence) < std::tie(at, sequence); }
    };

    /// after() and at() schedule an action in simulated time.
    void after(Duration delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }
    void at(TimePoint time, std::function<void()> action) { m_events.push({ time, m_sequence++, std::move(action) }); }
    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    void buildLeaves();
    void scheduleDisruption();
    void arrive();
    void refreshLayouts();
    void performQueryActions(std::size_t entry, std::uint64_t queryId, QueryActions);
    void finish(std::size_t entry, std::uint64_t queryId, const QueryOutcome&);
    /// Index in `m_gates` of the gates through which the instance `entry` reaches a leaf.
    std::size_t gateIndexOf(std::size_t entry, std::size_t leaf) const
    {
        return m_isBaseline ? entry : leaf % entryCount;
    }
    void performGateActions(std::size_t gateIndex, const GateActions&);
    void receive(std::size_t leaf, std::size_t gateIndex, std::uint64_t id);
    void startPart(std::size_t leaf, std::size_t gateIndex, std::uint64_t id);
    void completePart(std::size_t leaf, std::size_t gateIndex, std::uint64_t id);
    void startBacklog(std::size_t leaf);
    void cancelPart(std::size_t gateIndex, std::uint64_t id);
    void reply(std::size_t leaf, std::size_t gateIndex, std::uint64_t id, PartStatus, Outcome);
    void crash(std::size_t leaf);
    void announce(std::size_t leaf);

    Scenario m_scenario;
    bool m_isBaseline;
    std::mt19937_64 m_random;
    TimePoint m_now {};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_nextQuery = 1;
    std::priority_queue<Event> m_events;
    Rules m_rules;
    std::vector<Leaf> m_leaves;
    std::map<std::string, std::size_t> m_leafIndex; // by name
    std::vector<Entry> m_entries;
    std::vector<Gates> m_gates;
    /// Parts that were sent to leaves and have not completed; maps gate index and part ID to leaf index and shard.
    std::map<std::pair<std::size_t, std::uint64_t>, std::pair<std::size_t, ShardVersion>> m_parts;
    Figures m_figures;
};

Simulation::Simulation(Scenario scenario, bool isBaseline, std::uint64_t seed)
    : m_scenario(scenario)
    , m_isBaseline(isBaseline)
    , m_random(seed)
    , m_entries(entryCount)
    , m_gates(entryCount)
{
    m_rules.services["loandesk"].deadline = queryDeadline;
    buildLeaves();
    LeafGatesSettings gateSettings;
    AdmissionSettings admission;
    gateSettings.slowStart.enabled = gateSettings.estimateWait = admission.estimateWait = admission.shares.enabled
        = !isBaseline;
    for (auto& it : m_gates)
        it.leafGates = std::make_unique<LeafGates>(gateSettings);
    for (auto& it : m_entries) {
        it.policies = std::make_unique<ReplicaStatistics>(
            isBaseline ? PolicySettings::baseline() : PolicySettings::adaptive(), [this] { return m_random(); });
        it.policies->setRules(m_rules);
        it.admission = std::make_unique<Admission>(admission);
        it.admission->setReadiness(Readiness::Ready);
    }
    for (std::size_t i = 0; i < m_leaves.size(); ++i)
        announce(i);
}

void Simulation::buildLeaves()
{
    for (std::uint32_t i = 0; i < 2 * shardCount; ++i) {
        Leaf leaf;
        leaf.announcement = { .leaf = "leaf" + std::to_string(i),
            .service = "loandesk",
            .zone = i < shardCount ? "atl" : "sav",
            .boot = 1,
            .slots = slotsPerLeaf,
            .connections = 25,
            .versions = { { .version = 1, .shard = i % shardCount, .shardCount = shardCount } } };
        if (m_scenario == Scenario::Stragglers && (i == 7 || i == 31)) // replicas of different shards
            leaf.slowdown = 10;
        m_leafIndex[leaf.announcement.leaf] = i;
        m_leaves.push_back(std::move(leaf));
    }
}

/// Passes the announcement of a leaf to its gates, with an allowance that never limits them, and to the layouts.
void Simulation::announce(std::size_t leaf)
{
    for (std::size_t i = 0; i < m_gates.size(); ++i) {
        if (!m_isBaseline && gateIndexOf(0, leaf) != i)
            continue;
        auto& leafGates = *m_gates[i].leafGates;
        performGateActions(i, leafGates.setLeaf(m_leaves[leaf].announcement, m_now));
        performGateActions(
            i, leafGates.setAllowance(m_leaves[leaf].announcement.leaf, { 1000, TimePoint::max() }, m_now));
    }
    refreshLayouts();
}

void Simulation::refreshLayouts()
{
    std::vector<Announcement> announcements;
    for (const auto& it : m_leaves)
        announcements.push_back(it.announcement);
    for (auto& it : m_entries)
        it.layout = it.chooser.choose("loandesk", announcements, { .rules = &m_rules });
}

void Simulation::scheduleDisruption()
{
    const TimePoint from { disruptionStart };
    const auto setZoneOut = [this](bool out) {
        m_rules.zonesOut.clear();
        if (out)
            m_rules.zonesOut.insert("sav");
        for (std::size_t i = 0; i < m_gates.size(); ++i)
            performGateActions(i, m_gates[i].leafGates->setRules(m_rules, m_now));
        refreshLayouts();
    };
    switch (m_scenario) {
    case Scenario::ReplicaLost:
        at(from, [this] { crash(0); });
        at(from + announcementTimeout, [this] {
            // Models the expiry of its announcement: the leaf is no longer a replica.
            m_leaves[0].announcement.draining = true;
            announce(0);
        });
        return;
    case Scenario::ColdRestart:
        at(from, [this] {
            for (std::size_t i = 0; i < m_leaves.size(); ++i)
                crash(i);
        });
        at(from + restartTime, [this] {
            for (std::size_t i = 0; i < m_leaves.size(); ++i) {
                m_leaves[i].isDown = false;
                m_leaves[i].coldPartsLeft = coldCompletions;
                ++m_leaves[i].announcement.boot;
                announce(i);
            }
        });
        return;
    case Scenario::ZoneOut:
        at(from, [setZoneOut] { setZoneOut(true); });
        at(TimePoint { disruptionEnd }, [setZoneOut] { setZoneOut(false); });
        return;
    default:
        return;
    }
}

Figures Simulation::run()
{
    scheduleDisruption();
    at(m_now, [this] { arrive(); });
    while (!m_events.empty()) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    for (const auto& it : m_leaves)
        m_figures.peakWhileCold = std::max(m_figures.peakWhileCold, it.peakWhileCold);
    return std::move(m_figures);
}

/// Schedules the next query and starts one, if it is admitted. Arrivals form a Poisson process.
void Simulation::arrive()
{
    const double rate = baseQueriesPerSecond * (m_scenario == Scenario::Overload ? 5 : 1); // 5 is 200% of the capacity
    if (m_now < TimePoint { runTime })
        after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-std::log(1 - uniform()) / rate)),
            [this] { arrive(); });
    const auto queryId = m_nextQuery++;
    const std::size_t index = queryId % entryCount;
    auto& entry = m_entries[index];
    AdmissionRequest request { .service = "loandesk", .customer = "c", .deadline = queryDeadline };
    if (entry.admission->admit(request, m_rules, m_now)) {
        ++m_figures.refused;
        return;
    }
    auto& query = entry.queries[queryId];
    query.request = std::move(request);
    query.startedAt = m_now;
    query.execution = QueryBuilder()
                          .query({ .service = "loandesk",
                              .operation = "list",
                              .customer = "c",
                              .deadline = queryDeadline,
                              .body = std::to_string(queryId) })
                          .queryId(queryId)
                          .layout(entry.layout)
                          .rules(m_rules.services["loandesk"])
                          .build(*entry.policies);
    performQueryActions(index, queryId, query.execution->start(m_now));
}

void Simulation::performQueryActions(std::size_t index, std::uint64_t queryId, QueryActions actions)
{
    const auto sender = std::to_string(index);
    const auto delay = m_isBaseline ? Duration::zero() : Duration(linkDelay);
    for (const auto& it : actions.cancels) {
        const auto gateIndex = gateIndexOf(index, m_leafIndex.at(it.leaf));
        after(delay, [this, gateIndex, sender, it] {
            performGateActions(
                gateIndex, m_gates[gateIndex].leafGates->cancel(sender, it.partId, it.queuedOnly, m_now));
        });
    }
    for (auto& it : actions.sends) {
        const auto gateIndex = gateIndexOf(index, m_leafIndex.at(it.part.leaf));
        it.part.remaining -= std::chrono::duration_cast<milliseconds>(delay);
        after(delay, [this, gateIndex, sender, part = std::move(it.part)] {
            performGateActions(gateIndex, m_gates[gateIndex].leafGates->submit(sender, part, m_now));
        });
    }
    auto& query = m_entries[index].queries.at(queryId);
    if (actions.partWait)
        m_entries[index].admission->onPartWait("loandesk", *actions.partWait, m_now);
    if (actions.finish) {
        finish(index, queryId, *actions.finish);
        return;
    }
    if (!actions.nextTimer || *actions.nextTimer >= query.timerAt)
        return;
    query.timerAt = *actions.nextTimer;
    at(query.timerAt, [this, index, queryId] {
        auto& queries = m_entries[index].queries;
        const auto it = queries.find(queryId);
        if (it == queries.end())
            return;
        it->second.timerAt = TimePoint::max();
        performQueryActions(index, queryId, it->second.execution->onTimer(m_now));
    });
}

void Simulation::finish(std::size_t index, std::uint64_t queryId, const QueryOutcome& outcome)
{
    auto& entry = m_entries[index];
    const auto& query = entry.queries.at(queryId);
    entry.admission->release(query.request, m_now);
    if (const auto* answer = std::get_if<QueryAnswer>(&outcome)) {
        ++m_figures.answered;
        m_figures.whole += answer->coverage.isWhole() ? 1 : 0;
        m_figures.coverage += static_cast<double>(answer->coverage.answered) / answer->coverage.total;
        m_figures.latenciesMs.push_back(std::chrono::duration<double, std::milli>(m_now - query.startedAt).count());
    } else {
        ++m_figures.failed;
    }
    entry.queries.erase(queryId);
}

void Simulation::performGateActions(std::size_t gateIndex, const GateActions& actions)
{
    for (const auto& it : actions.dispatches) {
        const auto leaf = m_leafIndex.at(it.part.leaf);
        m_parts[{ gateIndex, it.part.partId }] = { leaf, it.part.shard };
        const auto delay = m_isBaseline ? Duration(linkDelay) : Duration::zero();
        after(delay, [this, leaf, gateIndex, id = it.part.partId] { receive(leaf, gateIndex, id); });
    }
    for (const auto id : actions.cancelRunning)
        after(Duration::zero(), [this, gateIndex, id] { cancelPart(gateIndex, id); });
    const auto delay = m_isBaseline ? Duration::zero() : Duration(linkDelay);
    for (const auto& it : actions.answers) {
        const std::size_t index = std::stoul(it.sender);
        after(delay, [this, index, result = it.result] {
            const auto queryId = queryIdOfPart(result.partId);
            auto& entry = m_entries[index];
            const auto query = entry.queries.find(queryId);
            if (query != entry.queries.end())
                performQueryActions(index, queryId, query->second.execution->onResult(result, m_now));
        });
    }
    auto& timerAt = m_gates[gateIndex].timerAt;
    if (!actions.nextTimer || *actions.nextTimer >= timerAt)
        return;
    timerAt = *actions.nextTimer;
    at(timerAt, [this, gateIndex] {
        m_gates[gateIndex].timerAt = TimePoint::max();
        performGateActions(gateIndex, m_gates[gateIndex].leafGates->onTimer(m_now));
    });
}

/// A part arrives at a leaf, which runs, queues or sheds it.
void Simulation::receive(std::size_t index, std::size_t gateIndex, std::uint64_t id)
{
    auto& leaf = m_leaves[index];
    if (!m_parts.contains({ gateIndex, id }))
        return; // cancelled before it arrived
    ++m_figures.leafParts;
    if (leaf.isDown)
        return reply(index, gateIndex, id, PartStatus::Unreachable, Outcome::NotRun);
    const auto slots = leaf.coldPartsLeft > 0 ? 1 : slotsPerLeaf;
    if (leaf.coldPartsLeft > 0)
        leaf.peakWhileCold
            = std::max(leaf.peakWhileCold, static_cast<std::uint32_t>(leaf.running.size() + leaf.backlog.size() + 1));
    if (leaf.running.size() < slots)
        startPart(index, gateIndex, id);
    else if (leaf.backlog.size() < backlogPerLeaf)
        leaf.backlog.emplace_back(gateIndex, id);
    else
        reply(index, gateIndex, id, PartStatus::Refused, Outcome::NotRun);
}

void Simulation::startPart(std::size_t index, std::size_t gateIndex, std::uint64_t id)
{
    auto& leaf = m_leaves[index];
    leaf.running.emplace_back(gateIndex, id);
    // Half of the work is constant and half exponentially distributed, so that a few parts take several times the mean.
    double work = workSeconds * (0.5 - 0.5 * std::log(1 - uniform()));
    work *= leaf.slowdown * (leaf.coldPartsLeft > 0 ? coldSlowdown : 1);
    after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work)),
        [this, index, gateIndex, id] { completePart(index, gateIndex, id); });
}

/// Has no effect if the part was cancelled or the leaf crashed in the meantime.
void Simulation::completePart(std::size_t index, std::size_t gateIndex, std::uint64_t id)
{
    auto& leaf = m_leaves[index];
    const auto it = std::find(leaf.running.begin(), leaf.running.end(), std::pair { gateIndex, id });
    if (it == leaf.running.end())
        return;
    leaf.running.erase(it);
    leaf.coldPartsLeft -= leaf.coldPartsLeft > 0 ? 1 : 0;
    reply(index, gateIndex, id, PartStatus::Ok, Outcome::Ran);
    startBacklog(index);
}

/// Starts queued parts while the leaf has free slots.
void Simulation::startBacklog(std::size_t index)
{
    auto& leaf = m_leaves[index];
    while (!leaf.backlog.empty() && leaf.running.size() < (leaf.coldPartsLeft > 0 ? 1 : slotsPerLeaf)) {
        const auto [gateIndex, id] = leaf.backlog.front();
        leaf.backlog.pop_front();
        startPart(index, gateIndex, id);
    }
}

/// Removes a part from `m_parts` and sends its result, without a body, to the gate.
void Simulation::reply(std::size_t, std::size_t gateIndex, std::uint64_t id, PartStatus status, Outcome outcome)
{
    const auto it = m_parts.find({ gateIndex, id });
    const auto shard = it->second.second;
    m_parts.erase(it);
    const auto delay = m_isBaseline ? Duration(linkDelay) : Duration::zero();
    after(delay, [this, gateIndex, id, status, outcome, shard] {
        const PartResult result { .partId = id, .status = status, .outcome = outcome, .shard = shard };
        performGateActions(gateIndex, m_gates[gateIndex].leafGates->onResult(result, m_now));
    });
}

void Simulation::cancelPart(std::size_t gateIndex, std::uint64_t id)
{
    const auto found = m_parts.find({ gateIndex, id });
    if (found == m_parts.end())
        return;
    const auto index = found->second.first;
    auto& leaf = m_leaves[index];
    std::erase(leaf.running, std::pair { gateIndex, id });
    std::erase(leaf.backlog, std::pair { gateIndex, id });
    reply(index, gateIndex, id, PartStatus::Crashed, Outcome::MayHaveRun);
    startBacklog(index);
}

void Simulation::crash(std::size_t index)
{
    auto& leaf = m_leaves[index];
    leaf.isDown = true;
    auto lost = leaf.running;
    lost.insert(lost.end(), leaf.backlog.begin(), leaf.backlog.end());
    leaf.running.clear();
    leaf.backlog.clear();
    for (const auto& [gateIndex, id] : lost)
        reply(index, gateIndex, id, PartStatus::Crashed, Outcome::MayHaveRun);
}

/// `sorted` is in ascending order; `fraction` is from 0 to 1. Returns 0 if there are no values.
double percentile(std::vector<double>& sorted, double fraction)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

void print(const char* scenario, const char* variant, Figures it)
{
    std::sort(it.latenciesMs.begin(), it.latenciesMs.end());
    const double answered = std::max<double>(1, static_cast<double>(it.answered));
    std::printf("%-13s %-9s %7.1f %7.1f %7.1f %9.4f %7.2f%% %9.2f %8llu %7llu %5u\n", scenario, variant,
        percentile(it.latenciesMs, 0.5), percentile(it.latenciesMs, 0.99), percentile(it.latenciesMs, 0.999),
        it.coverage / answered, 100 * static_cast<double>(it.whole) / answered,
        static_cast<double>(it.leafParts) / static_cast<double>(std::max<std::uint64_t>(1, it.answered + it.failed)),
        static_cast<unsigned long long>(it.refused), static_cast<unsigned long long>(it.failed), it.peakWhileCold);
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("seed %llu, %lld s simulated per row, %.0f queries/s, deadline %lld ms\n",
        static_cast<unsigned long long>(seed), static_cast<long long>(runTime.count()), baseQueriesPerSecond,
        static_cast<long long>(queryDeadline.count()));
    std::printf("%-13s %-9s %7s %7s %7s %9s %8s %9s %8s %7s %5s\n", "scenario", "variant", "p50 ms", "p99", "p99.9",
        "coverage", "whole", "parts/q", "refused", "errors", "cold");
    const std::pair<const char*, Scenario> scenarios[]
        = { { "calm", Scenario::Calm }, { "straggler", Scenario::Stragglers },
              { "replica lost", Scenario::ReplicaLost }, { "overload x2", Scenario::Overload },
              { "cold restart", Scenario::ColdRestart }, { "zone out/in", Scenario::ZoneOut } };
    for (const auto& [name, scenario] : scenarios) {
        print(name, "baseline", Simulation(scenario, true, seed).run());
        print(name, "policy", Simulation(scenario, false, seed).run());
    }
    std::printf("parts/q: parts that arrived at leaves per admitted query; cold: maximum number of parts at a cold "
                "leaf, whose capacity is 1\n");
    return 0;
}
