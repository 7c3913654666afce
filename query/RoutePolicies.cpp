#include "query/RoutePolicies.h"

#include "coordination/ZoneLease.h"

#include <algorithm>

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
constexpr std::size_t minGatherers = 4; // other entry instances of the own zone; with fewer, shards are not grouped
constexpr std::size_t linkedGroups = 6; // groups of shards for which links to the relay peers are kept open
/// Minimum size of a group of shards that one instance gathers. With 0.12 of a core, sending these parts and receiving
/// their answers takes about 10 ms.
constexpr std::size_t minPartsPerGroup = 16;
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

PercentBudget& RoutePolicies::budgetOf(const std::string& service)
{
    auto found = m_budgets.find(service);
    if (found == m_budgets.end()) {
        constexpr double percent = 100;
        found = m_budgets
                    .emplace(service,
                        PercentBudget(
                            percent * budgetShare * m_bounds.extraRatio, extraBurst(), firstBurstShare * extraBurst()))
                    .first;
    }
    return found->second;
}

void RoutePolicies::setLeaves(std::vector<Announcement> leaves, TimePoint now)
{
    std::unordered_map<std::string, std::vector<KnownLeaf>> known;
    for (auto& it : leaves) {
        KnownLeaf entry { std::move(it), {}, false };
        entry.coldUntil = now + entry.announcement.warmupLeft;
        for (const auto& old : m_leaves[entry.announcement.service]) {
            if (old.announcement.leaf != entry.announcement.leaf || old.announcement.boot != entry.announcement.boot)
                continue;
            entry.excluded = old.excluded;
            // `warmupLeft` counts from the arrival of an announcement, and this announcement arrived earlier.
            if (old.announcement.sequence == entry.announcement.sequence)
                entry.coldUntil = old.coldUntil;
        }
        known[entry.announcement.service].push_back(std::move(entry));
    }
    m_leaves = std::move(known);
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

bool RoutePolicies::isUsable(const KnownLeaf& it) const
{
    return !it.excluded && !it.announcement.draining && !m_zonesOut.contains(it.announcement.zone);
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

const Announcement* RoutePolicies::choose(const std::string& service, std::span<const std::string> tried,
    bool ownZoneOnly, Duration typicalLatency, TimePoint now)
{
    auto found = m_leaves.find(service);
    if (found == m_leaves.end())
        return nullptr;
    std::vector<const Announcement*> warm;
    std::vector<const Announcement*> cold;
    for (const auto& it : found->second) {
        if (ownZoneOnly && it.announcement.zone != m_zone)
            continue;
        if (!isUsable(it) || std::find(tried.begin(), tried.end(), it.announcement.leaf) != tried.end())
            continue;
        if (now >= it.coldUntil)
            warm.push_back(&it.announcement);
        else if (maySendToCold(it, now))
            cold.push_back(&it.announcement);
    }
    const auto& candidates = warm.empty() ? cold : warm;
    auto best = m_selector.choose(candidates, typicalLatency, now);
    return best ? candidates[*best] : nullptr;
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

RoutePolicies::PeersByZone RoutePolicies::selectPeers(
    const std::string& instance, const std::string& zone, const PeersByZone& peers)
{
    PeersByZone used;
    for (const auto& [name, entries] : peers) {
        auto unchosen = entries;
        std::vector<std::string> chosen;
        if (name != zone) {
            for (std::size_t i = 0; i < peersPerZone && !unchosen.empty(); ++i) {
                chosen.push_back(rendezvousOwner(zone, unchosen));
                std::erase(unchosen, chosen.back());
            }
        } else if (unchosen.size() >= minGatherers) {
            unchosen.push_back(instance);
            for (std::size_t group = 0; group < linkedGroups; ++group)
                chosen.push_back(rendezvousOwner(std::to_string(group), unchosen));
            std::erase(chosen, instance);
        }
        if (!chosen.empty())
            used[name] = std::move(chosen);
    }
    return used;
}

void RoutePolicies::setPeers(const PeersByZone& peers)
{
    m_peers = selectPeers(m_instance, m_zone, peers);
    m_ownZoneInstances = { m_instance };
    m_otherZoneInstanceCount = 0;
    for (const auto& [zone, names] : peers) {
        if (zone == m_zone)
            m_ownZoneInstances.insert(m_ownZoneInstances.end(), names.begin(), names.end());
        else
            m_otherZoneInstanceCount += names.size();
    }
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
        if (isUsable(it) && now >= it.coldUntil && !m_selector.isDown(it.announcement))
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
    if (m_peers.empty() || services.empty())
        return plans;
    auto bytes = m_partBytes.find(route.name);
    bool isLarge = bytes != m_partBytes.end() && bytes->second >= minRelayedPartBytes;
    bool isDivided = dividesConnectionsByZone(services.front());
    if (!isLarge && !isDivided)
        return plans;
    std::map<std::string, std::vector<std::uint32_t>> byZone;
    std::vector<std::uint32_t> ownZone;
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        auto zones = zonesOf(services[i], now);
        if (std::find(zones.begin(), zones.end(), m_zone) != zones.end()) {
            ownZone.push_back(i);
            continue;
        }
        for (const auto& zone : std::set<std::string>(zones.begin(), zones.end()))
            byZone[zone].push_back(i);
    }
    ++m_rotation;
    if (isDivided)
        planOwnZone(std::move(ownZone), plans, now);
    std::vector<std::pair<std::string, std::vector<std::uint32_t>>> zoneOrder(byZone.begin(), byZone.end());
    // With many entry instances, each zone prefers a fixed other zone, so that the peer there gets enough requests to
    // its leaves to detect slow ones.
    auto turn = isDivided ? std::hash<std::string>()(m_zone) : m_rotation;
    if (!zoneOrder.empty())
        std::rotate(zoneOrder.begin(), zoneOrder.begin() + static_cast<std::ptrdiff_t>(turn % zoneOrder.size()),
            zoneOrder.end());
    // Zones with most parts first, to minimize the number of messages between zones.
    std::stable_sort(zoneOrder.begin(), zoneOrder.end(),
        [](const auto& a, const auto& b) { return a.second.size() > b.second.size(); });
    std::set<std::uint32_t> planned;
    for (auto& [zone, indices] : zoneOrder) {
        std::erase_if(indices, [&](std::uint32_t it) { return planned.contains(it); });
        auto peer = indices.size() < minRelayedParts ? std::string() : peerIn(zone, isDivided ? 0 : m_rotation, now);
        if (peer.empty())
            continue;
        planned.insert(indices.begin(), indices.end());
        plans.push_back({ std::move(peer), zone, std::move(indices) });
    }
    return plans;
}

/// Assigns groups of shards to the entry instances of the own zone that gather them. This instance sends the parts of
/// its own groups itself.
void RoutePolicies::planOwnZone(std::vector<std::uint32_t> indices, std::vector<RelayPlan>& plans, TimePoint now) const
{
    auto groups = indices.size() / minPartsPerGroup;
    if (m_ownZoneInstances.size() <= minGatherers || groups < 2)
        return;
    auto candidates = m_ownZoneInstances;
    std::erase_if(candidates, [&](const std::string& it) { return isBackedOff(it, now); });
    for (std::size_t group = 0; group < groups; ++group) {
        auto peer = rendezvousOwner(std::to_string(group), candidates);
        auto begin = indices.begin() + static_cast<std::ptrdiff_t>(group * indices.size() / groups);
        auto end = indices.begin() + static_cast<std::ptrdiff_t>((group + 1) * indices.size() / groups);
        if (peer != m_instance)
            plans.push_back({ std::move(peer), m_zone, { begin, end } });
    }
}

bool RoutePolicies::hasLeaf(const std::string& service) const
{
    auto found = m_leaves.find(service);
    return found != m_leaves.end() && std::any_of(found->second.begin(), found->second.end(), [&](const KnownLeaf& it) {
        return isUsable(it) && !m_selector.isDown(it.announcement);
    });
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
            if (isUsable(it))
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
    auto& currentWeights = m_currentWeights[route.name];
    currentWeights.resize(route.targets.size());
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
    m_coldStartLimit.onSend(leaf.leaf, now);
}

} // namespace citronplank
