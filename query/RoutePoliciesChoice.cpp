// RoutePolicies: the choice of the leaf for a request.
#include "query/RoutePolicies.h"

#include "coordination/ZoneLease.h"

#include <algorithm>

namespace citronplank {

std::string_view exclusionName(LeafExclusion it)
{
    switch (it) {
    case LeafExclusion::None:
        return "";
    case LeafExclusion::OtherZone:
        return "in another zone";
    case LeafExclusion::Tried:
        return "tried before";
    case LeafExclusion::OtherLeafResponds:
        return "another leaf responds at its address";
    case LeafExclusion::Draining:
        return "draining";
    case LeafExclusion::ZoneOut:
        return "zone out of service";
    case LeafExclusion::Leaving:
        return "leaving";
    case LeafExclusion::Paused:
        return "paused";
    case LeafExclusion::WarmingUp:
        return "warming up";
    case LeafExclusion::Down:
        return "down";
    }
    return "";
}

/// What keeps a leaf from getting any request, regardless of how long; None if it is usable.
LeafExclusion RoutePolicies::unusableBecause(const KnownLeaf& it) const
{
    if (it.excluded)
        return LeafExclusion::OtherLeafResponds;
    if (it.announcement.draining)
        return LeafExclusion::Draining;
    if (m_zonesOut.contains(it.announcement.zone))
        return LeafExclusion::ZoneOut;
    return m_notices.isLeaving(it.announcement) ? LeafExclusion::Leaving : LeafExclusion::None;
}

/// What keeps the leaf from getting this request. A leaf that is warming up or down is not excluded.
LeafExclusion RoutePolicies::exclusionOf(
    const KnownLeaf& it, std::span<const std::string> tried, bool ownZoneOnly, TimePoint now) const
{
    if (ownZoneOnly && it.announcement.zone != m_zone)
        return LeafExclusion::OtherZone;
    if (auto unusable = unusableBecause(it); unusable != LeafExclusion::None)
        return unusable;
    if (std::find(tried.begin(), tried.end(), it.announcement.leaf) != tried.end())
        return LeafExclusion::Tried;
    return m_notices.accepts(it.announcement, now) ? LeafExclusion::None : LeafExclusion::Paused;
}

/// A leaf that is warming up gets requests from one instance only, at a limited rate.
bool RoutePolicies::maySendToCold(const KnownLeaf& it, TimePoint now)
{
    if (!m_entryInstances.empty() && rendezvousOwner(it.announcement.leaf, m_entryInstances) != m_instance)
        return false;
    double perSecond = m_table->limitsOf(it.announcement.service).coldRequestsPerSecond * m_bounds.coldFactor
        + m_bounds.coldAllowance;
    return m_coldStartLimit.allows(it.announcement.leaf, perSecond, now);
}

const Announcement* RoutePolicies::pick(
    const std::string& service, std::span<const std::string> tried, Duration typicalLatency, TimePoint now)
{
    return choose(service, tried, false, typicalLatency, now);
}

const Announcement* RoutePolicies::pickForPeer(const std::string& service, Duration typicalLatency, TimePoint now)
{
    return choose(service, {}, !dividesConnectionsByZone(service), typicalLatency, now);
}

/// Whether so many instances share the leaves of a service that the counts of this one say little about their load.
/// Parts that are requested in groups are not concerned, as few gatherers send all requests of a leaf.
bool RoutePolicies::spreadsRequests(const std::string& service) const
{
    auto own = m_instanceCounts.find(m_zone);
    return m_bounds.spreadSenders > 0 && own != m_instanceCounts.end() && own->second >= m_bounds.spreadSenders
        && !(m_gatheredServices.contains(service) && dividesConnectionsByZone(service));
}

std::vector<LeafEstimate> RoutePolicies::estimatesOf(const std::string& service,
    std::span<const Announcement* const> candidates, Duration typicalLatency, TimePoint now) const
{
    auto estimates = m_selector.estimates(candidates, typicalLatency, now);
    if (auto rate = m_rates.find(service); rate != m_rates.end() && spreadsRequests(service)) {
        auto seconds = std::chrono::duration<double>(typicalLatency).count();
        projectUtilization(estimates, m_instanceCounts, rate->second.perSecond(now) * seconds);
    }
    return estimates;
}

const Announcement* RoutePolicies::choose(const std::string& service, std::span<const std::string> tried,
    bool ownZoneOnly, Duration typicalLatency, TimePoint now)
{
    auto found = m_leaves.find(service);
    if (found == m_leaves.end())
        return nullptr;
    std::vector<const Announcement*> warm;
    std::vector<const Announcement*> cold;
    for (const auto& it : found->second) {
        if (exclusionOf(it, tried, ownZoneOnly, now) != LeafExclusion::None)
            continue;
        if (!it.isCold(now) && !m_isViewOutdated)
            warm.push_back(&it.announcement);
        else if (maySendToCold(it, now))
            cold.push_back(&it.announcement);
    }
    const auto& candidates = warm.empty() ? cold : warm;
    auto estimates = estimatesOf(service, candidates, typicalLatency, now);
    auto best = LeastCostChoice().choose(estimates, typicalLatency);
    if (!best)
        return nullptr;
    if (!spreadsRequests(service))
        return candidates[*best];
    auto chosen = m_spreadChoice.choose(estimates, typicalLatency).value_or(*best);
    ++m_spreadCounters.choices;
    m_spreadCounters.notCheapest += chosen != *best ? 1 : 0;
    m_spreadCounters.toOtherZones += estimates[*best].isOwnZone && !estimates[chosen].isOwnZone ? 1 : 0;
    return candidates[chosen];
}

std::vector<RoutePolicies::ExplainedLeaf> RoutePolicies::explain(
    const std::string& service, Duration typicalLatency, TimePoint now) const
{
    std::vector<ExplainedLeaf> all;
    auto found = m_leaves.find(service);
    if (found == m_leaves.end())
        return all;
    std::vector<const Announcement*> leaves;
    bool hasWarm = false;
    for (const auto& it : found->second) {
        leaves.push_back(&it.announcement);
        all.push_back({ it.announcement, exclusionOf(it, {}, false, now), {}, 0 });
        hasWarm |= all.back().exclusion == LeafExclusion::None && !it.isCold(now);
    }
    auto estimates = estimatesOf(service, leaves, typicalLatency, now);
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i].estimate = estimates[i];
        all[i].estimate.zone = {}; // refers to an announcement that may be replaced
        if (all[i].exclusion == LeafExclusion::None && estimates[i].isDown)
            all[i].exclusion = LeafExclusion::Down;
        if (all[i].exclusion == LeafExclusion::None && found->second[i].isCold(now) && hasWarm)
            all[i].exclusion = LeafExclusion::WarmingUp;
        estimates[i].isDown = all[i].exclusion != LeafExclusion::None;
    }
    std::vector<double> shares(all.size());
    if (spreadsRequests(service))
        shares = spreadShares(estimates, typicalLatency);
    else if (auto best = LeastCostChoice().choose(estimates, typicalLatency))
        shares[*best] = 1;
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i].share = shares[i];
    return all;
}

} // namespace citronplank
