#include "policy/ReplicaChooser.h"

#include <algorithm>
#include <cmath>

namespace citronplank {

namespace {

constexpr double unknownLatencySeconds = 0.001; // used only until any replica of the shard has answered
constexpr double risingWeight = 0.5;            // of a slow answer, so that a straggler is avoided early
constexpr double refusalGrowth = 2.0;           // factor of the penalty at each refusal
constexpr double maxPenalty = 64.0;             // decays below 2 within six half-lives
constexpr double fallingWeight = 0.1;           // of a fast answer; one alone does not show that the leaf has recovered

double secondsOf(Duration it) { return std::chrono::duration<double>(it).count(); }

} // namespace

std::size_t ReplicaChooser::choose(std::span<const Announcement* const> candidates, std::uint64_t random, TimePoint now)
{
    std::vector<const Announcement*> allowed;
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!isEjected(candidates[i]->leaf, now)) {
            allowed.push_back(candidates[i]);
            indices.push_back(i);
        }
    }
    if (allowed.empty())
        return m_settings.rule == ReplicaRule::Random ? random % candidates.size()
                                                      : chooseByCost(candidates, random, now);
    if (m_settings.rule == ReplicaRule::Random)
        return indices[random % allowed.size()];
    return indices[chooseByCost(allowed, random, now)];
}

std::size_t ReplicaChooser::chooseByCost(
    std::span<const Announcement* const> candidates, std::uint64_t random, TimePoint now) const
{
    const std::size_t n = candidates.size();
    if (n == 1)
        return 0;
    // Two different candidates in random order, so that ties are broken at random.
    const std::size_t first = random % n;
    const std::size_t second = (first + 1 + (random >> 32U) % (n - 1)) % n;
    double known = 0;
    std::uint32_t knownCount = 0;
    for (const auto index : { first, second }) {
        const auto it = m_leaves.find(candidates[index]->leaf);
        if (it != m_leaves.end() && it->second.latencySeconds > 0) {
            known += it->second.latencySeconds;
            ++knownCount;
        }
    }
    const double unknown = knownCount > 0 ? known / knownCount : unknownLatencySeconds;
    const double costFirst = cost(candidates[first]->leaf, unknown, now);
    const double costSecond = cost(candidates[second]->leaf, unknown, now);
    return costSecond < costFirst ? second : first;
}

double ReplicaChooser::cost(const std::string& leaf, double unknownLatency, TimePoint now) const
{
    const auto it = m_leaves.find(leaf);
    if (it == m_leaves.end())
        return unknownLatency;
    const double latency = it->second.latencySeconds > 0 ? estimatedLatency(it->second, now) : unknownLatency;
    return latency * (it->second.inFlight + 1) * penaltyOf(it->second, now);
}

double ReplicaChooser::penaltyOf(const Leaf& leaf, TimePoint now) const
{
    const double age = std::max(0.0, secondsOf(now - leaf.penaltyUpdatedAt));
    return 1 + (leaf.penalty - 1) * std::exp2(-age / secondsOf(m_settings.latencyHalfLife));
}

double ReplicaChooser::estimatedLatency(const Leaf& leaf, TimePoint now) const
{
    const double age = std::max(0.0, secondsOf(now - leaf.observedAt));
    return leaf.latencySeconds * std::exp2(-age / secondsOf(m_settings.latencyHalfLife));
}

void ReplicaChooser::onSent(const std::string& leaf, TimePoint now)
{
    auto& it = m_leaves[leaf];
    ++it.inFlight;
    it.usedAt = now;
}

ReplicaChooser::Leaf& ReplicaChooser::finish(const std::string& leaf, TimePoint now)
{
    auto& it = m_leaves[leaf];
    if (it.inFlight > 0)
        --it.inFlight;
    it.usedAt = now;
    return it;
}

void ReplicaChooser::observe(Leaf& leaf, Duration latency, TimePoint now)
{
    const double sample = secondsOf(latency);
    const double old = leaf.latencySeconds > 0 ? estimatedLatency(leaf, now) : sample;
    const double weight = sample > old ? risingWeight : fallingWeight;
    leaf.latencySeconds = old + weight * (sample - old);
    leaf.observedAt = now;
}

void ReplicaChooser::onAnswered(const std::string& leaf, Duration latency, TimePoint now)
{
    auto& it = finish(leaf, now);
    observe(it, latency, now);
    // The square root undoes half of the doublings, so that a leaf that only sheds peaks recovers after a few answers.
    it.penalty = std::sqrt(penaltyOf(it, now));
    it.penaltyUpdatedAt = now;
    it.failures = 0;
    if (it.ejectedUntil <= now)
        it.ejections = 0;
}

void ReplicaChooser::onFailed(const std::string& leaf, TimePoint now)
{
    auto& it = finish(leaf, now);
    // After an ejection, the first failure ejects the leaf again.
    const std::uint32_t needed = it.ejections > 0 ? 1 : m_settings.failuresToEject;
    if (!m_settings.ejection || it.ejectedUntil > now || ++it.failures < needed)
        return;
    const auto factor = 1U << std::min(it.ejections, 10U);
    it.ejectedUntil = now + std::min(m_settings.initialEjection * factor, m_settings.maxEjection);
    ++it.ejections;
    it.failures = 0;
}

void ReplicaChooser::onRefused(const std::string& leaf, TimePoint now)
{
    auto& it = finish(leaf, now);
    it.penalty = std::min(refusalGrowth * penaltyOf(it, now), maxPenalty);
    it.penaltyUpdatedAt = now;
}

void ReplicaChooser::onAbandoned(const std::string& leaf, Duration elapsed, TimePoint now)
{
    auto& it = finish(leaf, now);
    if (it.latencySeconds <= 0 ? elapsed > Duration::zero() : secondsOf(elapsed) > estimatedLatency(it, now))
        observe(it, elapsed, now);
}

bool ReplicaChooser::isEjected(const std::string& leaf, TimePoint now) const
{
    const auto it = m_leaves.find(leaf);
    return it != m_leaves.end() && it->second.ejectedUntil > now;
}

std::uint32_t ReplicaChooser::inFlight(const std::string& leaf) const
{
    const auto it = m_leaves.find(leaf);
    return it == m_leaves.end() ? 0 : it->second.inFlight;
}

void ReplicaChooser::forgetUnused(TimePoint before)
{
    std::erase_if(m_leaves, [&](const auto& it) { return it.second.inFlight == 0 && it.second.usedAt < before; });
}

} // namespace citronplank
