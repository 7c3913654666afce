#include "query/RoutePolicies.h"

#include "coordination/ZoneLease.h"

#include <algorithm>

namespace citronplank {

namespace {

/// Part of the shared budget that instances use. The rest covers requests that one instance counted in an earlier
/// window than the leaves did.
constexpr double budgetShare = 0.8;
/// Of the burst, at the start of an instance: instances that are restarted in turn must not bring a full burst each.
constexpr double firstBurstShare = 0.2;
constexpr double slowPercentile = 0.95;                // of the learned latencies, after which a part is hedged
constexpr double usualPercentile = 0.5;                //
constexpr std::uint32_t minSamples = 40;               // below it the objective says more than the percentile
constexpr double typicalShareOfObjective = 0.12;       // before latencies are known
constexpr double maxHedgeShareOfObjective = 0.35;      // a later second part comes back after the objective
constexpr milliseconds typicalWithoutObjective { 50 }; // before latencies are known
constexpr milliseconds smallestHedgeDelay { 3 };       // two round trips between zones
constexpr double maxConnectionShare = 0.9;             // of a leaf's connections; the rest covers changes of membership
/// Of each instance to a leaf; with less, two requests at the same time could not both go to the own zone's leaf.
constexpr double fewestConnections = 2;
constexpr double ownZoneConnectionShare = 0.8; // of a leaf's connections, where instances of other zones use relays
constexpr std::size_t peersPerZone = 2;        // one may be down
constexpr std::size_t fewestGatherers = 4;     // other entries of the own zone, for groups of shards to be worth it
constexpr std::size_t linkedGroups = 6;        // of shards; links to the entries that gather them are kept open
constexpr std::size_t partsPerSender = 16;     // at 0.12 of a core sending and reading them takes about 10 ms
constexpr milliseconds peerBackoff { 1000 };   // of a peer that answers no relay; leaves are asked directly meanwhile
constexpr std::size_t fewestRelayedParts = 2;  // one part costs less when it is sent directly
constexpr double relayedPartBytes = 600;       // below it two more hops cost callers more than the bytes are worth
constexpr double partBytesRate = 0.05;         // weight of one part in the learned size
constexpr double fewRequests = 5;              // say nothing about what callers want
constexpr double useDecay = 0.96;              // at each check; halves the counts in 17 checks
constexpr std::size_t maxTracked = 4096;       // routes whose latencies are kept

} // namespace

/// Tokens that were saved stay as they are: a refill at each change of membership would exceed the shared budget.
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
    std::unordered_map<std::string, std::vector<Known>> known;
    for (auto& it : leaves) {
        Known entry { std::move(it), {}, false };
        entry.coldUntil = now + entry.announcement.warmupLeft;
        for (const auto& old : m_leaves[entry.announcement.service]) {
            if (old.announcement.leaf != entry.announcement.leaf || old.announcement.boot != entry.announcement.boot)
                continue;
            entry.excluded = old.excluded;
            // The time left counts from when the announcement was made, and this one is known already.
            if (old.announcement.sequence == entry.announcement.sequence)
                entry.coldUntil = old.coldUntil;
        }
        known[entry.announcement.service].push_back(std::move(entry));
    }
    m_leaves = std::move(known);
}

void RoutePolicies::setSenders(std::vector<std::string> names)
{
    m_senders = std::move(names);
    auto bounds = m_bounds;
    bounds.instances = std::max<std::size_t>(1, m_senders.size());
    setBounds(bounds);
}

void RoutePolicies::exclude(const Announcement& leaf)
{
    for (auto& it : m_leaves[leaf.service]) {
        if (it.announcement.leaf == leaf.leaf && it.announcement.boot == leaf.boot)
            it.excluded = true;
    }
}

bool RoutePolicies::isUsable(const Known& it) const
{
    return !it.excluded && !it.announcement.draining && !m_zonesOut.contains(it.announcement.zone);
}

/// A cold leaf gets requests from one instance only, within its bound.
bool RoutePolicies::mayWarmUp(const Known& it, TimePoint now)
{
    if (!m_senders.empty() && rendezvousOwner(it.announcement.leaf, m_senders) != m_instance)
        return false;
    double perSecond = m_table->limitsOf(it.announcement.service).coldRequestsPerSecond * m_bounds.coldFactor
        + m_bounds.coldAllowance;
    return m_coldGate.allows(it.announcement.leaf, perSecond, now);
}

const Announcement* RoutePolicies::pick(
    const std::string& service, std::span<const std::string> tried, Duration typical, TimePoint now)
{
    return choose(service, tried, false, typical, now);
}

const Announcement* RoutePolicies::pickForPeer(const std::string& service, Duration typical, TimePoint now)
{
    return choose(service, {}, !sharesByZone(service), typical, now);
}

const Announcement* RoutePolicies::choose(
    const std::string& service, std::span<const std::string> tried, bool ownZoneOnly, Duration typical, TimePoint now)
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
        else if (mayWarmUp(it, now))
            cold.push_back(&it.announcement);
    }
    const auto& candidates = warm.empty() ? cold : warm;
    auto best = m_selector.choose(candidates, typical, now);
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

/// Whether a leaf has too few connections for all instances.
bool RoutePolicies::sharesByZone(const std::string& service) const
{
    auto usable = maxConnectionShare * m_table->limitsOf(service).connections;
    return m_sendersElsewhere > 0 && usable / static_cast<double>(senders()) < fewestConnections;
}

std::uint32_t RoutePolicies::connectionLimit(const Announcement& leaf) const
{
    auto usable = maxConnectionShare * m_table->limitsOf(leaf.service).connections;
    auto n = senders();
    if (sharesByZone(leaf.service)) {
        if (leaf.zone != m_zone)
            return 1;
        usable *= ownZoneConnectionShare;
        n = std::max<std::size_t>(1, n - std::min(n, m_sendersElsewhere));
    }
    return std::max(1U, static_cast<std::uint32_t>(usable / static_cast<double>(n)));
}

RoutePolicies::PeersByZone RoutePolicies::selectPeers(
    const std::string& instance, const std::string& zone, const PeersByZone& peers)
{
    PeersByZone used;
    for (const auto& [name, entries] : peers) {
        auto left = entries;
        std::vector<std::string> chosen;
        if (name != zone) {
            for (std::size_t i = 0; i < peersPerZone && !left.empty(); ++i) {
                chosen.push_back(rendezvousOwner(zone, left));
                std::erase(left, chosen.back());
            }
        } else if (left.size() >= fewestGatherers) {
            left.push_back(instance);
            for (std::size_t group = 0; group < linkedGroups; ++group)
                chosen.push_back(rendezvousOwner(std::to_string(group), left));
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
    m_ownZone = { m_instance };
    m_sendersElsewhere = 0;
    for (const auto& [zone, names] : peers) {
        if (zone == m_zone)
            m_ownZone.insert(m_ownZone.end(), names.begin(), names.end());
        else
            m_sendersElsewhere += names.size();
    }
}

void RoutePolicies::onPeerResult(const std::string& name, bool answered, TimePoint now)
{
    if (answered)
        m_peersLeftAlone.erase(name);
    else
        m_peersLeftAlone[name] = now + peerBackoff;
}

/// Zones with a leaf that can take a request now.
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

bool RoutePolicies::isLeftAlone(const std::string& peer, TimePoint now) const
{
    auto found = m_peersLeftAlone.find(peer);
    return found != m_peersLeftAlone.end() && now < found->second;
}

/// A peer of the zone in turn; empty if none is to be asked.
std::string RoutePolicies::peerIn(const std::string& zone, std::size_t turn, TimePoint now) const
{
    auto found = m_peers.find(zone);
    if (found == m_peers.end())
        return {};
    const auto& names = found->second;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto& name = names[(turn + i) % names.size()];
        if (!isLeftAlone(name, now))
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
    bool isLarge = bytes != m_partBytes.end() && bytes->second >= relayedPartBytes;
    bool areMany = sharesByZone(services.front());
    if (!isLarge && !areMany)
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
    if (areMany)
        planOwnZone(std::move(ownZone), plans, now);
    std::vector<std::pair<std::string, std::vector<std::uint32_t>>> order(byZone.begin(), byZone.end());
    // Where entries are many, each zone has a usual one to ask, whose peer then sees enough of its leaves.
    auto turn = areMany ? std::hash<std::string>()(m_zone) : m_rotation;
    if (!order.empty())
        std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(turn % order.size()), order.end());
    // The zone with most of the parts first, so that few messages cross between zones.
    std::stable_sort(
        order.begin(), order.end(), [](const auto& a, const auto& b) { return a.second.size() > b.second.size(); });
    std::set<std::uint32_t> planned;
    for (auto& [zone, indices] : order) {
        std::erase_if(indices, [&](std::uint32_t it) { return planned.contains(it); });
        auto peer = indices.size() < fewestRelayedParts ? std::string() : peerIn(zone, areMany ? 0 : m_rotation, now);
        if (peer.empty())
            continue;
        planned.insert(indices.begin(), indices.end());
        plans.push_back({ std::move(peer), zone, std::move(indices) });
    }
    return plans;
}

/// Spreads parts over the entries of the own zone that gather their groups of shards; those of groups of its own this
/// instance sends itself.
void RoutePolicies::planOwnZone(std::vector<std::uint32_t> indices, std::vector<RelayPlan>& plans, TimePoint now) const
{
    auto groups = indices.size() / partsPerSender;
    if (m_ownZone.size() <= fewestGatherers || groups < 2)
        return;
    auto candidates = m_ownZone;
    std::erase_if(candidates, [&](const std::string& it) { return isLeftAlone(it, now); });
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
    return found != m_leaves.end() && std::any_of(found->second.begin(), found->second.end(), [&](const Known& it) {
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
    // Leaves that are no longer announced.
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
    double asked = 0;
    double servable = 0;
    const auto& routes = m_table->configuration().routes;
    for (const auto& route : routes) {
        auto use = m_use.find(route.name);
        if (use == m_use.end())
            continue;
        asked += use->second;
        servable += isServable(route) ? use->second : 0;
    }
    if (asked >= fewRequests) {
        // While an instance is not ready hardly any requests come, and the counts must not age away.
        if (asked * useDecay >= fewRequests) {
            for (auto& [name, use] : m_use)
                use *= useDecay;
        }
        return 2 * servable >= asked;
    }
    // Nothing is known of what callers want. Many routes share their services, so each set of services counts once.
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

const std::string& RoutePolicies::target(const Route& route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    // Smooth weighted round robin: each target earns its weight, the richest is sent to and pays the sum.
    if (m_shares.size() > maxTracked)
        m_shares.clear();
    auto& shares = m_shares[route.name];
    shares.resize(route.targets.size());
    double sum = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        shares[i] += route.targets[i].weight;
        sum += route.targets[i].weight;
        if (shares[i] > shares[best])
            best = i;
    }
    shares[best] -= sum;
    return route.targets[best].service;
}

Duration RoutePolicies::typical(const Route& route) const
{
    auto found = m_latencies.find(route.name);
    if (found != m_latencies.end() && found->second.count() >= minSamples)
        return *found->second.percentile(usualPercentile);
    if (route.objective == milliseconds::zero())
        return typicalWithoutObjective;
    return std::chrono::duration_cast<Duration>(route.objective * typicalShareOfObjective);
}

Duration RoutePolicies::hedgeDelay(const Route& route) const
{
    Duration greatest = route.objective > milliseconds::zero()
        ? std::chrono::duration_cast<Duration>(route.objective * maxHedgeShareOfObjective)
        : Duration(route.timeout / 4);
    auto found = m_latencies.find(route.name);
    if (found == m_latencies.end() || found->second.count() < minSamples)
        return greatest;
    return std::clamp<Duration>(*found->second.percentile(slowPercentile), smallestHedgeDelay, greatest);
}

void RoutePolicies::onLatency(const Route& route, Duration latency)
{
    if (m_latencies.size() > maxTracked)
        m_latencies.clear();
    m_latencies[route.name].record(latency);
}

void RoutePolicies::onPartBytes(const Route& route, std::size_t bytes)
{
    if (m_partBytes.size() > maxTracked)
        m_partBytes.clear();
    auto [it, isNew] = m_partBytes.try_emplace(route.name, static_cast<double>(bytes));
    if (!isNew)
        it->second += partBytesRate * (static_cast<double>(bytes) - it->second);
}

void RoutePolicies::onStart(const Announcement& leaf, std::uint64_t attempt, Duration typical, TimePoint now)
{
    m_selector.onStart(leaf, attempt, typical, now);
    m_coldGate.onSend(leaf.leaf, now);
}

} // namespace citronplank
