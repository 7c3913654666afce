#include "policy/LeafSelector.h"

#include <algorithm>
#include <cmath>

namespace citronplank {

namespace {

constexpr double learnRate = 0.25;      // weight of one observation
constexpr double maxSlowness = 30;      // so that one very late answer does not exclude a leaf for long
constexpr double failureCost = 6;       // in usual latencies: a failed attempt costs its own time and that of a retry
constexpr double failingShare = 0.05;   // a failure rate up to this is ignored
constexpr double steadyLearnRate = 0.2; // of the latency over a longer time
constexpr double maxSteadyRatio = 3;    // so that one late answer does not count for half a minute
constexpr std::uint32_t maxBackoffDoublings = 5; // enough to reach maxBackoff; keeps the shift in range

double ticksOf(Duration duration) { return static_cast<double>(duration.count()); }

} // namespace

double LeafSelector::decay(const Observations& it, TimePoint now) const
{
    return std::exp2(-ticksOf(now - it.updatedAt) / ticksOf(m_settings.slownessHalfLife));
}

double LeafSelector::steadyDecay(const Observations& it, TimePoint now) const
{
    return std::exp2(-ticksOf(now - it.updatedAt) / ticksOf(m_settings.steadyHalfLife));
}

Duration LeafSelector::costOfZone(const Announcement& leaf, Duration typicalLatency) const
{
    if (leaf.zone == m_ownZone)
        return Duration::zero();
    return Duration(static_cast<Duration::rep>(
        ticksOf(m_settings.otherZoneCost) + ticksOf(typicalLatency) * m_settings.otherZoneLatencyShare));
}

Duration LeafSelector::expectedCost(const Announcement& leaf, Duration typicalLatency, TimePoint now) const
{
    double usual = ticksOf(typicalLatency);
    double cost = ticksOf(costOfZone(leaf, typicalLatency));
    auto found = m_leaves.find(leaf.leaf);
    if (found == m_leaves.end())
        return Duration(static_cast<Duration::rep>(usual + cost));
    const auto& it = found->second;
    double weight = decay(it, now);
    double slowness = 1 + (it.slowness - 1) * weight;
    double queue = std::max(0.0, static_cast<double>(it.running.size()) + 1 - leaf.slots) / leaf.slots;
    cost += usual * slowness * (1 + queue);
    cost += usual * failureCost * std::max(0.0, it.failureRate * weight - failingShare);
    for (const auto& running : it.running) {
        // An overdue answer indicates a stalled leaf. The remaining stall is estimated by the time elapsed so far.
        auto overdue = ticksOf(now - running.since) - m_settings.lateFactor * ticksOf(running.typicalLatency);
        if (overdue > 0)
            cost += ticksOf(now - running.since);
    }
    return Duration(static_cast<Duration::rep>(cost));
}

std::optional<std::size_t> LeafSelector::choose(
    std::span<const Announcement* const> candidates, Duration typicalLatency, TimePoint now) const
{
    return LeastCostChoice().choose(estimates(candidates, typicalLatency, now), typicalLatency);
}

std::vector<LeafEstimate> LeafSelector::estimates(
    std::span<const Announcement* const> candidates, Duration typicalLatency, TimePoint now) const
{
    std::vector<LeafEstimate> all;
    all.reserve(candidates.size());
    for (const auto* leaf : candidates) {
        auto found = m_leaves.find(leaf->leaf);
        double confidence = 0;
        double steadyCost = 0;
        if (found != m_leaves.end()) {
            confidence = std::min(1.0, decay(found->second, now));
            steadyCost = found->second.steadyCost * steadyDecay(found->second, now);
        }
        all.push_back({ expectedCost(*leaf, typicalLatency, now), leaf->slots, inFlight(leaf->leaf), confidence,
            steadyCost, leaf->zone == m_ownZone, isDown(*leaf), costOfZone(*leaf, typicalLatency), leaf->zone, 0 });
    }
    return all;
}

void LeafSelector::onStart(const Announcement& leaf, std::uint64_t attempt, Duration typicalLatency, TimePoint now)
{
    auto [it, isNew] = m_leaves.try_emplace(leaf.leaf);
    if (isNew)
        it->second.zone = leaf.zone;
    it->second.running.push_back({ attempt, now, typicalLatency });
}

void LeafSelector::learn(Observations& it, double slowness, bool failed, TimePoint now) const
{
    double weight = decay(it, now);
    double before = 1 + (it.slowness - 1) * weight;
    it.slowness = before + learnRate * (std::min(slowness, maxSlowness) - before);
    it.failureRate = it.failureRate * weight + learnRate * ((failed ? 1.0 : 0.0) - it.failureRate * weight);
    it.steadyCost *= steadyDecay(it, now);
    it.updatedAt = now;
}

/// A single late answer is taken for a stall that ended with the answer and does not count as slowness. An attempt that
/// started after it and is late as well indicates a slow leaf.
void LeafSelector::learnAnswer(Observations& it, TimePoint since, double latencyRatio, TimePoint now) const
{
    bool isLate = latencyRatio > m_settings.lateFactor;
    bool isStall = isLate && (!it.lateAt || since < *it.lateAt);
    if (!isStall) {
        learn(it, latencyRatio, false, now);
        it.steadyCost += steadyLearnRate * (std::min(latencyRatio, maxSteadyRatio) - 1 - it.steadyCost);
    }
    it.lateAt = isLate ? std::optional(now) : std::nullopt;
}

void LeafSelector::onEnd(const std::string& leaf, std::uint64_t attempt, AttemptEnd end, TimePoint now)
{
    auto found = m_leaves.find(leaf);
    if (found == m_leaves.end())
        return;
    auto& it = found->second;
    auto running = std::find_if(
        it.running.begin(), it.running.end(), [&](const Running& other) { return other.attempt == attempt; });
    if (running == it.running.end())
        return;
    auto since = running->since;
    double elapsed = ticksOf(now - since);
    double latencyRatio = elapsed / std::max(1.0, ticksOf(running->typicalLatency));
    it.running.erase(running);
    switch (end) {
    case AttemptEnd::Unreachable:
        ++it.failedProbes;
        scheduleProbe(it, now);
        return;
    case AttemptEnd::Unresponsive:
        if (++it.unresponsiveInRow == m_settings.unresponsiveAttempts)
            scheduleProbe(it, now);
        learn(it, latencyRatio, false, now);
        recordUnresponsive(leaf, it.zone, since, now);
        return;
    case AttemptEnd::Abandoned:
        return;
    case AttemptEnd::Answered:
        learnAnswer(it, since, latencyRatio, now);
        break;
    case AttemptEnd::Refused:
    case AttemptEnd::Failed:
    case AttemptEnd::Lost:
        learn(it, std::max(latencyRatio, it.slowness), true, now);
        break;
    }
    it.unresponsiveInRow = 0;
    it.failedProbes = 0;
    if (end != AttemptEnd::Lost)
        recordAnswer(it.zone, now);
}

void LeafSelector::recordAnswer(const std::string& zone, TimePoint now)
{
    auto& it = m_zones[zone];
    it.answeredAt = now;
    it.unresponsive.clear();
}

/// Counts the leaf as unresponsive in its zone, unless a leaf of the zone has answered since the request was sent.
/// Leaves that fail at the same time do not make their zone unresponsive if its other leaves answer requests sent
/// later.
void LeafSelector::recordUnresponsive(const std::string& leaf, const std::string& zone, TimePoint since, TimePoint now)
{
    auto& it = m_zones[zone];
    if (since <= it.answeredAt)
        return;
    it.unresponsive.insert(leaf);
    if (it.unresponsive.size() == m_settings.unresponsiveLeavesOfZone)
        it.probeAt = now;
}

bool LeafSelector::isUnresponsive(const std::string& zone) const
{
    auto found = m_zones.find(zone);
    return found != m_zones.end() && found->second.unresponsive.size() >= m_settings.unresponsiveLeavesOfZone;
}

/// Returns the leaf of an unresponsive zone to probe now, or an empty string if no probe is due. All leaves that are
/// not down take turns, because the unresponsive ones may have failed while the others work.
std::string LeafSelector::dueZoneProbe(const std::string& zone, Zone& it, TimePoint now) const
{
    if (it.unresponsive.size() < m_settings.unresponsiveLeavesOfZone || now < it.probeAt)
        return {};
    it.probeAt = now + m_settings.zoneProbeInterval;
    std::vector<std::string> names;
    for (const auto& [name, leaf] : m_leaves) {
        if (leaf.zone == zone && !isDown(leaf))
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names.empty() ? std::string() : names[it.probes++ % names.size()];
}

void LeafSelector::scheduleProbe(Observations& it, TimePoint now) const
{
    auto doublings = std::min(it.failedProbes, maxBackoffDoublings);
    it.probeAt = now + std::min(m_settings.maxBackoff, m_settings.firstBackoff * (1U << doublings));
}

std::vector<std::string> LeafSelector::dueProbes(TimePoint now)
{
    std::vector<std::string> due;
    for (auto& [leaf, it] : m_leaves) {
        if (!isDown(it) || now < it.probeAt)
            continue;
        due.push_back(leaf);
        it.probeAt = now + m_settings.maxBackoff;
    }
    for (auto& [zone, it] : m_zones) {
        if (auto leaf = dueZoneProbe(zone, it, now); !leaf.empty())
            due.push_back(std::move(leaf));
    }
    return due;
}

void LeafSelector::onProbe(const std::string& leaf, bool reached, TimePoint now)
{
    auto found = m_leaves.find(leaf);
    if (found == m_leaves.end())
        return;
    auto& it = found->second;
    if (reached) {
        it.unresponsiveInRow = 0;
        it.failedProbes = 0;
        recordAnswer(it.zone, now);
        return;
    }
    ++it.failedProbes;
    scheduleProbe(it, now);
}

std::uint32_t LeafSelector::inFlight(const std::string& leaf) const
{
    auto found = m_leaves.find(leaf);
    return found == m_leaves.end() ? 0 : static_cast<std::uint32_t>(found->second.running.size());
}

bool LeafSelector::isDown(const Announcement& leaf) const { return isDown(leaf.leaf) || isUnresponsive(leaf.zone); }

bool LeafSelector::isDown(const std::string& leaf) const
{
    auto found = m_leaves.find(leaf);
    return found != m_leaves.end() && isDown(found->second);
}

std::set<std::string> LeafSelector::unresponsiveZones() const
{
    std::set<std::string> zones;
    for (const auto& [zone, it] : m_zones) {
        if (isUnresponsive(zone))
            zones.insert(zone);
    }
    return zones;
}

} // namespace citronplank
