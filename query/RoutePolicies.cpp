#include "query/RoutePolicies.h"

#include "coordination/ZoneLease.h"

#include <algorithm>
#include <utility>

namespace citronplank {

namespace {

/// Share of the budget that instances use. The rest covers requests that an instance counted in an earlier window than
/// the leaves did.
constexpr double budgetShare = 0.8;
/// Share of the burst that an instance has available when it starts. Instances that restart one after the other must
/// not add a full burst each.
constexpr double firstBurstShare = 0.2;
constexpr double hedgePercentile = 0.95; // of the recorded latencies; slower parts are hedged
constexpr double medianPercentile = 0.5;
constexpr std::uint32_t minSamples = 40;               // with fewer, estimates are derived from the objective
constexpr double typicalShareOfObjective = 0.12;       // estimate without enough samples
constexpr double maxHedgeShareOfObjective = 0.35;      // a later hedge would be answered after the objective
constexpr milliseconds typicalWithoutObjective { 50 }; // estimate without enough samples
constexpr milliseconds minHedgeDelay { 3 };            // two round trips between zones
constexpr double maxConnectionShare = 0.9; // of a leaf's connections; the rest is a reserve for membership changes
/// Minimum number of connections of an instance to a leaf of its zone. With fewer, two simultaneous requests could not
/// both be sent to that leaf.
constexpr double minConnections = 2;
constexpr double ownZoneConnectionShare = 0.8; // of a leaf's connections, if instances of other zones use relays
constexpr std::size_t peersPerZone = 2;        // one may be down
constexpr std::size_t minGatherers = 4;        // entry instances of the own zone; with fewer, its parts are not grouped
constexpr TimePoint ignoreBackoffs = TimePoint::max(); // in place of the current time
constexpr std::size_t linkedZones = 2;       // zones whose gatherer of a group has an open link; the second for retries
constexpr milliseconds peerBackoff { 1000 }; // after an unanswered relay; parts are sent directly to leaves meanwhile
constexpr std::size_t minRelayedParts = 2;   // sending a single part directly costs less
constexpr double minRelayedPartBytes = 600;  // for smaller parts the latency of two more hops outweighs the saved bytes
constexpr double partBytesSmoothing = 0.05;  // weight of one part in the average size
constexpr double minRequestCount = 5;        // with fewer recent requests, routes are not weighted by their use
constexpr double requestCountDecay = 0.96;   // per call of canServe; halves the counts in 17 calls
constexpr std::size_t maxTrackedRoutes = 4096; // limits the memory for statistics of routes

} // namespace

/// Keeps the tokens that the budgets have accumulated. A refill at each membership change would exceed the shared
/// budget.
void RoutePolicies::setBounds(const SharedBounds& bounds)
{
    m_bounds = bounds;
    for (auto& [service, it] : m_budgets)
        it.setBurst(extraBurst());
}

double RoutePolicies::extraBurst() const
{
    return budgetShare * m_bounds.extraBurst / static_cast<double>(std::max<std::size_t>(1, m_bounds.instances));
}

/// Budget of a service that got no request yet.
double RoutePolicies::firstExtraBurst() const { return firstBurstShare * extraBurst(); }

PercentBudget& RoutePolicies::budgetOf(const std::string& service)
{
    auto found = m_budgets.find(service);
    if (found == m_budgets.end()) {
        constexpr double percent = 100;
        found = m_budgets
                    .emplace(service,
                        PercentBudget(percent * budgetShare * m_bounds.extraRatio, extraBurst(), firstExtraBurst()))
                    .first;
    }
    return found->second;
}

void RoutePolicies::setLeaves(std::vector<Announcement> leaves, TimePoint now)
{
    m_notices.keepOnly(leaves, now);
    m_coldStartLimit.trim(now);
    LeavesByService known;
    for (auto& it : leaves) {
        KnownLeaf entry { .announcement = std::move(it) };
        entry.coldUntil = now + entry.announcement.warmupLeft;
        for (const auto& old : m_leaves[entry.announcement.service]) {
            if (old.announcement.leaf != entry.announcement.leaf || old.announcement.boot != entry.announcement.boot)
                continue;
            entry.excluded = old.excluded;
            entry.hasEnded = old.hasEnded;
            entry.restartColdUntil = old.restartColdUntil;
            // `warmupLeft` counts from the arrival of an announcement, and this announcement arrived earlier.
            if (old.announcement.sequence == entry.announcement.sequence)
                entry.coldUntil = old.coldUntil;
        }
        known[entry.announcement.service].push_back(std::move(entry));
    }
    bool hasSameZones = std::all_of(m_gatheredServices.begin(), m_gatheredServices.end(),
        [&](const std::string& it) { return haveSameZones(m_leaves, known, it); });
    m_leaves = std::move(known);
    m_endedLeaves.clear();
    for (const auto& [service, all] : m_leaves) {
        for (const auto& it : all) {
            if (it.hasEnded)
                m_endedLeaves.insert(it.announcement.leaf);
        }
    }
    std::erase_if(m_rates, [&](const auto& it) { return !m_leaves.contains(it.first); });
    if (hasSameZones)
        dropUnusedGroups();
    else
        m_groups.clear();
}

/// Whether the leaves of a service are in the same zones in two sets of leaves, listed in the same order.
bool RoutePolicies::haveSameZones(const LeavesByService& a, const LeavesByService& b, const std::string& service)
{
    auto zonesIn = [&](const LeavesByService& leaves) {
        std::vector<std::string_view> zones;
        if (auto found = leaves.find(service); found != leaves.end()) {
            for (const auto& it : found->second)
                zones.push_back(it.announcement.zone);
        }
        return zones;
    };
    return zonesIn(a) == zonesIn(b);
}

void RoutePolicies::setTable(std::shared_ptr<const RouteTable> table)
{
    m_table = std::move(table);
    m_gatheredServices.clear();
    for (const auto& it : m_table->configuration().routes)
        m_gatheredServices.insert(it.shards.begin(), it.shards.end());
    dropUnusedGroups();
}

/// Drops the groups of routes that only requests of an earlier table use.
void RoutePolicies::dropUnusedGroups()
{
    const auto& routes = m_table->configuration().routes;
    std::erase_if(m_groups, [&](const auto& it) {
        return std::none_of(routes.begin(), routes.end(), [&](const Route& route) { return route.shards == it.first; });
    });
}

bool RoutePolicies::onProcessEnded(const std::string& leaf)
{
    bool isNew = false;
    for (auto& [service, leaves] : m_leaves) {
        for (auto& it : leaves) {
            if (it.announcement.leaf != leaf || it.hasEnded)
                continue;
            it.hasEnded = true;
            isNew = true;
            m_endedLeaves.insert(leaf);
        }
    }
    return isNew;
}

/// Something accepts connections, or answers, at the address of the leaf.
void RoutePolicies::onReached(const std::string& leaf, TimePoint now)
{
    if (m_endedLeaves.erase(leaf) == 0)
        return;
    for (auto& [service, leaves] : m_leaves) {
        for (auto& it : leaves) {
            if (it.announcement.leaf != leaf || !std::exchange(it.hasEnded, false))
                continue;
            it.restartColdUntil = now + m_table->limitsOf(service).warmupTime;
        }
    }
}

void RoutePolicies::onProbe(const std::string& leaf, bool reached, TimePoint now)
{
    m_selector.onProbe(leaf, reached, now);
    if (reached)
        onReached(leaf, now);
}

void RoutePolicies::setEntryInstances(std::vector<std::string> names)
{
    m_entryInstances = std::move(names);
    auto bounds = m_bounds;
    bounds.instances = std::max<std::size_t>(1, m_entryInstances.size());
    setBounds(bounds);
}

void RoutePolicies::exclude(const Announcement& leaf)
{
    for (auto& it : m_leaves[leaf.service]) {
        if (it.announcement.leaf == leaf.leaf && it.announcement.boot == leaf.boot)
            it.excluded = true;
    }
}

std::vector<std::string> RoutePolicies::leavesIn(const std::string& service, std::string_view zone) const
{
    std::vector<std::string> names;
    if (auto found = m_leaves.find(service); found != m_leaves.end()) {
        for (const auto& it : found->second) {
            if (it.announcement.zone == zone)
                names.push_back(it.announcement.leaf);
        }
    }
    return names;
}

std::vector<Announcement> RoutePolicies::leaves() const
{
    std::vector<Announcement> all;
    for (const auto& [service, known] : m_leaves) {
        for (const auto& it : known)
            all.push_back(it.announcement);
    }
    return all;
}

/// Whether a leaf of the service has too few connections for all instances, so that most are reserved for its zone.
bool RoutePolicies::dividesConnectionsByZone(const std::string& service) const
{
    auto usable = maxConnectionShare * m_table->limitsOf(service).connections;
    return m_otherZoneInstanceCount > 0 && usable / static_cast<double>(entryInstanceCount()) < minConnections;
}

std::uint32_t RoutePolicies::connectionLimit(const Announcement& leaf) const
{
    auto usable = maxConnectionShare * m_table->limitsOf(leaf.service).connections;
    auto n = entryInstanceCount();
    if (dividesConnectionsByZone(leaf.service)) {
        if (leaf.zone != m_zone)
            return 1;
        usable *= ownZoneConnectionShare;
        n = std::max<std::size_t>(1, n - std::min(n, m_otherZoneInstanceCount));
    }
    return std::max(1U, static_cast<std::uint32_t>(usable / static_cast<double>(n)));
}

void RoutePolicies::setPeers(const PeersByZone& peers)
{
    m_peers.clear();
    m_otherZoneInstanceCount = 0;
    m_instances = peers;
    m_instances[m_zone].push_back(m_instance);
    m_instanceCounts.clear();
    for (const auto& [zone, names] : m_instances)
        m_instanceCounts[zone] = names.size();
    m_groups.clear();
    for (const auto& [zone, names] : peers) {
        if (zone == m_zone)
            continue;
        m_otherZoneInstanceCount += names.size();
        // All entry instances of the own zone use the same peers.
        auto unchosen = names;
        for (std::size_t i = 0; i < peersPerZone && !unchosen.empty(); ++i) {
            m_peers[zone].push_back(rendezvousOwner(m_zone, unchosen));
            std::erase(unchosen, m_peers[zone].back());
        }
    }
}

std::set<std::string> RoutePolicies::relayPeers()
{
    std::set<std::string> names;
    bool needsZonePeers = false;
    std::set<std::vector<std::string>> seen; // routes that gather the same shards are taken once
    for (const auto& route : m_table->configuration().routes) {
        if (route.shards.empty() || !seen.insert(route.shards).second)
            continue;
        if (!usesGroups(route)) {
            needsZonePeers = true;
            continue;
        }
        const auto& groups = groupsOf(route);
        for (std::size_t group = 0; group < groups.size(); ++group) {
            std::set<std::string> zones;
            for (const auto& [zone, peer] : gatherersFor(groups, group, ignoreBackoffs)) {
                if (zones.size() < linkedZones && zones.insert(zone).second)
                    names.insert(peer);
            }
        }
    }
    if (needsZonePeers) {
        for (const auto& [zone, peers] : m_peers)
            names.insert(peers.begin(), peers.end());
    }
    names.erase(m_instance);
    return names;
}

void RoutePolicies::onPeerResult(const std::string& name, bool answered, TimePoint now)
{
    if (answered)
        m_peerBackoffs.erase(name);
    else
        m_peerBackoffs[name] = now + peerBackoff;
}

/// Returns the zone of each leaf that can accept a request now. A zone may occur several times.
std::vector<std::string> RoutePolicies::zonesOf(const std::string& service, TimePoint now) const
{
    std::vector<std::string> zones;
    auto found = m_leaves.find(service);
    if (found == m_leaves.end())
        return zones;
    for (const auto& it : found->second) {
        if (isUsable(it) && !it.isCold(now) && !m_selector.isDown(it.announcement))
            zones.push_back(it.announcement.zone);
    }
    return zones;
}

bool RoutePolicies::isBackedOff(const std::string& peer, TimePoint now) const
{
    auto found = m_peerBackoffs.find(peer);
    return found != m_peerBackoffs.end() && now < found->second;
}

/// Returns the peer of the zone at position `turn`, or the next one that is not backed off. Empty if there is none.
std::string RoutePolicies::peerIn(const std::string& zone, std::size_t turn, TimePoint now) const
{
    auto found = m_peers.find(zone);
    if (found == m_peers.end())
        return {};
    const auto& names = found->second;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto& name = names[(turn + i) % names.size()];
        if (!isBackedOff(name, now))
            return name;
    }
    return {};
}

std::vector<RoutePolicies::RelayPlan> RoutePolicies::planRelays(const Route& route, TimePoint now)
{
    std::vector<RelayPlan> plans;
    const auto& services = route.shards;
    if (usesGroups(route)) {
        std::vector<RelayCandidate> all(services.size());
        for (std::uint32_t i = 0; i < services.size(); ++i)
            all[i].shardIndex = i;
        return planGroups(route, all, now);
    }
    auto bytes = m_partBytes.find(route.name);
    bool isLarge = bytes != m_partBytes.end() && bytes->second >= minRelayedPartBytes;
    if (m_peers.empty() || services.empty() || !isLarge)
        return plans;
    std::map<std::string, std::vector<std::uint32_t>> byZone;
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        auto zones = zonesOf(services[i], now);
        if (std::find(zones.begin(), zones.end(), m_zone) != zones.end())
            continue;
        for (const auto& zone : std::set<std::string>(zones.begin(), zones.end()))
            byZone[zone].push_back(i);
    }
    ++m_rotation;
    std::vector<std::pair<std::string, std::vector<std::uint32_t>>> zoneOrder(byZone.begin(), byZone.end());
    if (!zoneOrder.empty())
        std::rotate(zoneOrder.begin(), zoneOrder.begin() + static_cast<std::ptrdiff_t>(m_rotation % zoneOrder.size()),
            zoneOrder.end());
    // Zones with most parts first, to minimize the number of messages between zones.
    std::stable_sort(zoneOrder.begin(), zoneOrder.end(),
        [](const auto& a, const auto& b) { return a.second.size() > b.second.size(); });
    std::set<std::uint32_t> planned;
    for (auto& [zone, indices] : zoneOrder) {
        std::erase_if(indices, [&](std::uint32_t it) { return planned.contains(it); });
        auto peer = indices.size() < minRelayedParts ? std::string() : peerIn(zone, m_rotation, now);
        if (peer.empty())
            continue;
        planned.insert(indices.begin(), indices.end());
        plans.push_back({ std::move(peer), zone, std::move(indices) });
    }
    return plans;
}

/// Returns the groups of the route's shards, which depend on the zones of their leaves and on the instances. The
/// reference is valid until the leaves, peers or routes change.
const GatherGroups& RoutePolicies::groupsOf(const Route& route)
{
    auto found = m_groups.find(route.shards);
    if (found != m_groups.end())
        return found->second;
    std::vector<GatherGroups::Zones> zones(route.shards.size());
    for (std::size_t i = 0; i < zones.size(); ++i) {
        if (auto leaves = m_leaves.find(route.shards[i]); leaves != m_leaves.end()) {
            for (const auto& it : leaves->second)
                zones[i].insert(it.announcement.zone);
        }
    }
    return m_groups.emplace(route.shards, GatherGroups(zones, m_instances)).first->second;
}

/// Returns the zones and instances that may gather a group, in order of preference. They include this instance.
std::vector<std::pair<std::string, std::string>> RoutePolicies::gatherersFor(
    const GatherGroups& groups, std::size_t group, TimePoint now) const
{
    auto zones = groups.preferredZones(group, m_zone);
    std::vector<std::pair<std::string, std::string>> gatherers;
    for (std::size_t choice = 0; choice < GatherGroups::choicesPerZone; ++choice) {
        for (const auto& zone : zones) {
            auto names = groups.gatherersFor(m_instance, group, zone);
            if (choice < names.size() && !isBackedOff(names[choice], now))
                gatherers.emplace_back(zone, names[choice]);
        }
    }
    return gatherers;
}

std::vector<RoutePolicies::RelayPlan> RoutePolicies::planGroups(
    const Route& route, std::span<const RelayCandidate> parts, TimePoint now)
{
    std::vector<RelayPlan> plans;
    const auto& groups = groupsOf(route);
    auto own = m_instances.find(m_zone);
    bool hasOwnZoneGroups = groups.size() > 1 && own != m_instances.end() && own->second.size() > minGatherers;
    struct PlannedGroup {
        std::vector<std::pair<std::string, std::string>> gatherers; // zone and name
        std::vector<std::size_t> plans;
    };
    std::map<std::size_t, PlannedGroup> planned;
    for (const auto& part : parts) {
        auto group = groups.groupOf(part.shardIndex);
        auto [it, isNew] = planned.try_emplace(group);
        if (isNew)
            it->second.gatherers = gatherersFor(groups, group, now);
        const auto& service = route.shards[part.shardIndex];
        const auto& gatherers = it->second.gatherers;
        auto chosen = std::find_if(gatherers.begin(), gatherers.end(),
            [&](const auto& other) { return hasAvailableLeaf(service, other.first, part.tried, now); });
        if (chosen == gatherers.end() || chosen->second == m_instance || (chosen->first == m_zone && !hasOwnZoneGroups))
            continue;
        auto& numbers = it->second.plans;
        auto plan = std::find_if(
            numbers.begin(), numbers.end(), [&](std::size_t other) { return plans[other].peer == chosen->second; });
        if (plan == numbers.end()) {
            plan = numbers.insert(plan, plans.size());
            plans.push_back({ chosen->second, chosen->first, {} });
        }
        plans[*plan].shardIndices.push_back(part.shardIndex);
    }
    return plans;
}

/// Whether a leaf of the service in a zone can accept a request now and is not in `tried`.
bool RoutePolicies::hasAvailableLeaf(
    const std::string& service, std::string_view zone, std::span<const std::string> tried, TimePoint now) const
{
    auto found = m_leaves.find(service);
    return found != m_leaves.end() && std::any_of(found->second.begin(), found->second.end(), [&](const KnownLeaf& it) {
        return it.announcement.zone == zone && isUsable(it) && !it.isCold(now) && !m_selector.isDown(it.announcement)
            && std::find(tried.begin(), tried.end(), it.announcement.leaf) == tried.end();
    });
}

bool RoutePolicies::hasLeaf(const std::string& service) const
{
    auto found = m_leaves.find(service);
    return found != m_leaves.end() && std::any_of(found->second.begin(), found->second.end(), [&](const KnownLeaf& it) {
        return isUsable(it) && !m_selector.isDown(it.announcement);
    });
}

std::optional<TimePoint> RoutePolicies::pausedUntil(const std::string& service, TimePoint now) const
{
    std::optional<TimePoint> first;
    auto found = m_leaves.find(service);
    if (found == m_leaves.end())
        return first;
    for (const auto& it : found->second) {
        if (!isUsable(it) || m_selector.isDown(it.announcement))
            continue;
        auto until = m_notices.pausedUntil(it.announcement, now);
        if (!until)
            return std::nullopt;
        first = std::min(first.value_or(*until), *until);
    }
    return first;
}

std::vector<Announcement> RoutePolicies::dueProbes(TimePoint now)
{
    std::vector<Announcement> due;
    auto names = m_selector.dueProbes(now);
    if (names.empty())
        return due;
    for (const auto& [service, leaves] : m_leaves) {
        for (const auto& it : leaves) {
            auto found = std::find(names.begin(), names.end(), it.announcement.leaf);
            if (found == names.end())
                continue;
            names.erase(found);
            if (isUsable(it) && !m_notices.pausedUntil(it.announcement, now))
                due.push_back(it.announcement);
        }
    }
    // The remaining names are those of leaves that are no longer announced.
    for (const auto& it : names)
        m_selector.forget(it);
    return due;
}

bool RoutePolicies::isServable(const Route& route) const
{
    auto has = [&](const std::string& service) { return hasLeaf(service); };
    if (!route.shards.empty()) {
        auto n = std::count_if(route.shards.begin(), route.shards.end(), has);
        return n > 0 && static_cast<double>(n) >= route.minCoverage * static_cast<double>(route.shards.size());
    }
    return std::any_of(
        route.targets.begin(), route.targets.end(), [&](const WeightedService& it) { return has(it.service); });
}

bool RoutePolicies::canServe()
{
    double requested = 0;
    double servable = 0;
    const auto& routes = m_table->configuration().routes;
    for (const auto& route : routes) {
        auto count = m_requestCounts.find(route.name);
        if (count == m_requestCounts.end())
            continue;
        requested += count->second;
        servable += isServable(route) ? count->second : 0;
    }
    if (requested >= minRequestCount) {
        // An instance that is not ready gets hardly any requests, so its counts must not decay to nothing.
        if (requested * requestCountDecay >= minRequestCount) {
            for (auto& [name, count] : m_requestCounts)
                count *= requestCountDecay;
        }
        return 2 * servable >= requested;
    }
    // Too few requests to weight the routes. Many routes share their services, so each set of services counts once.
    std::map<std::vector<std::string>, bool> sets;
    for (const auto& route : routes) {
        auto services = route.shards;
        for (const auto& it : route.targets)
            services.push_back(it.service);
        sets.emplace(std::move(services), isServable(route));
    }
    auto n = std::count_if(sets.begin(), sets.end(), [](const auto& it) { return it.second; });
    return n > 0 && 2 * static_cast<std::size_t>(n) > sets.size();
}

const std::string& RoutePolicies::chooseTarget(const Route& route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    // Smooth weighted round robin: add its weight to each target's current weight, choose the target with the largest
    // one and subtract the sum of the weights from it.
    if (m_currentWeights.size() > maxTrackedRoutes)
        m_currentWeights.clear();
    auto& [weights, currentWeights] = m_currentWeights[route.name];
    // Current weights are of the magnitude of the weights. Kept after a change from 1,000 to 1, they would send
    // hundreds of requests in a row to one target.
    if (!std::equal(weights.begin(), weights.end(), route.targets.begin(), route.targets.end(),
            [](double weight, const auto& target) { return weight == target.weight; })) {
        weights.clear();
        for (const auto& it : route.targets)
            weights.push_back(it.weight);
        currentWeights.assign(weights.size(), 0);
    }
    double sum = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < currentWeights.size(); ++i) {
        currentWeights[i] += route.targets[i].weight;
        sum += route.targets[i].weight;
        if (currentWeights[i] > currentWeights[best])
            best = i;
    }
    currentWeights[best] -= sum;
    return route.targets[best].service;
}

Duration RoutePolicies::typicalLatency(const Route& route) const
{
    auto found = m_latencies.find(route.name);
    if (found != m_latencies.end() && found->second.count() >= minSamples)
        return *found->second.percentile(medianPercentile);
    if (route.objective == milliseconds::zero())
        return typicalWithoutObjective;
    return std::chrono::duration_cast<Duration>(route.objective * typicalShareOfObjective);
}

Duration RoutePolicies::hedgeDelay(const Route& route) const
{
    Duration maximum = route.objective > milliseconds::zero()
        ? std::chrono::duration_cast<Duration>(route.objective * maxHedgeShareOfObjective)
        : Duration(route.timeout / 4);
    auto found = m_latencies.find(route.name);
    if (found == m_latencies.end() || found->second.count() < minSamples)
        return maximum;
    return std::clamp<Duration>(*found->second.percentile(hedgePercentile), minHedgeDelay, maximum);
}

void RoutePolicies::onLatency(const Route& route, Duration latency)
{
    if (m_latencies.size() > maxTrackedRoutes)
        m_latencies.clear();
    m_latencies[route.name].record(latency);
}

void RoutePolicies::onPartBytes(const Route& route, std::size_t bytes)
{
    if (m_partBytes.size() > maxTrackedRoutes)
        m_partBytes.clear();
    auto [it, isNew] = m_partBytes.try_emplace(route.name, static_cast<double>(bytes));
    if (!isNew)
        it->second += partBytesSmoothing * (static_cast<double>(bytes) - it->second);
}

void RoutePolicies::onStart(const Announcement& leaf, std::uint64_t attempt, Duration typicalLatency, TimePoint now)
{
    m_selector.onStart(leaf, attempt, typicalLatency, now);
    m_notices.onStart(leaf, attempt, now);
    m_coldStartLimit.onSend(leaf.leaf, now);
    if (m_bounds.spreadSenders > 0)
        m_rates[leaf.service].add(now);
}

void RoutePolicies::onEnd(const std::string& leaf, std::uint64_t attempt, AttemptEnd end, TimePoint now)
{
    m_selector.onEnd(leaf, attempt, end, now);
    if (end == AttemptEnd::Answered || end == AttemptEnd::Refused)
        onReached(leaf, now);
    auto noticeEnd = end == AttemptEnd::Answered ? LeafNotices::End::Answered
        : end == AttemptEnd::Refused             ? LeafNotices::End::Refused
                                                 : LeafNotices::End::Other;
    m_notices.onEnd(leaf, attempt, noticeEnd, now);
}

} // namespace citronplank
