// State shared by all requests on configured routes of one instance: usable leaves, relay peers and budgets.
#pragma once

#include "policy/ColdStartRateLimit.h"
#include "policy/DelayEstimate.h"
#include "policy/LeafNotices.h"
#include "policy/LeafSelector.h"
#include "policy/RetryBudget.h"
#include "query/GatherGroups.h"
#include "query/RouteTable.h"

namespace citronplank {

/// Limits that apply to the sum over all instances.
struct SharedBounds {
    double extraRatio = 0.2;   // extra requests (retries and hedges) for a service per first request for it
    double extraBurst = 50;    // extra requests for a service that are allowed on top of the ratio
    double coldFactor = 1.5;   // multiplies the request rate that a leaf accepts while it is warming up
    double coldAllowance = 5;  // requests per second to such a leaf, in addition to that rate
    std::size_t instances = 1; // number of entry instances
    /// Number of entry instances in a zone from which on they spread their requests over its leaves instead of choosing
    /// the best leaf each, see SpreadChoice; 0: never.
    std::size_t spreadSenders = 0;
};

/// Why a leaf gets no request now.
enum class LeafExclusion : std::uint8_t {
    None,
    OtherZone,
    Tried,
    OtherLeafResponds, // see RoutePolicies::exclude
    Draining,
    ZoneOut,
    Leaving,
    Paused,
    WarmingUp,
    Down,
};
std::string_view exclusionName(LeafExclusion);

/// Choices since the start of the instance for services whose requests are spread.
struct SpreadCounters {
    std::uint64_t choices = 0;
    std::uint64_t notCheapest = 0;  // of these, those that did not take the leaf with the least cost
    std::uint64_t toOtherZones = 0; // of these, those that left the own zone because it is short of slots
};

/// Selects the leaves and relay peers for requests on routes, and limits retries and hedges. `instance` and `zone` are
/// the name and zone of this daemon. Not thread safe.
class RoutePolicies {
public:
    RoutePolicies(std::string instance, std::string zone)
        : m_instance(std::move(instance))
        , m_zone(zone)
        , m_selector(std::move(zone))
        , m_notices(m_instance)
        , m_spreadChoice(std::minstd_rand(static_cast<std::uint32_t>(std::hash<std::string>()(m_instance))))
    {
    }

    void setBounds(const SharedBounds&);
    /// Replaces the leaves of all services.
    void setLeaves(std::vector<Announcement> leaves, TimePoint now);
    /// Replaces the routes and the limits of the services. Precondition: `table` is not null.
    void setTable(std::shared_ptr<const RouteTable>);
    /// Sets the zones that are taken out of service. Their leaves get no requests.
    void setZonesOut(std::set<std::string, std::less<>> zones) { m_zonesOut = std::move(zones); }
    /// While the view is outdated, each leaf may have started again and gets requests as one that is warming up.
    void setViewOutdated(bool isOutdated) { m_isViewOutdated = isOutdated; }
    /// Sets the names of all entry instances, including this one.
    void setEntryInstances(std::vector<std::string> names);
    /// Stops sending to a leaf until its next boot, because another leaf responded at its address.
    void exclude(const Announcement&);
    /// Records what a leaf said about itself in an answer, see LeafNotices. Returns whether it is new.
    bool onNotice(const Announcement& leaf, const LeafNotice& notice, TimePoint now)
    {
        return m_notices.record(leaf, notice, now);
    }
    const LeafNotices& notices() const { return m_notices; }

    const std::shared_ptr<const RouteTable>& table() const { return m_table; }
    /// Returns the best leaf of the service that is not in `tried`, or null if there is none now. `typicalLatency` is
    /// the usual latency of such a request. The pointer is valid until the next call of setLeaves.
    const Announcement* pick(
        const std::string& service, std::span<const std::string> tried, Duration typicalLatency, TimePoint now);
    /// Returns the best leaf for a part requested by a peer. Considers only leaves of this zone, unless the connections
    /// of the leaves are divided by zone, because the peer may then be in this zone too.
    const Announcement* pickForPeer(const std::string& service, Duration typicalLatency, TimePoint now);
    /// What is known of a leaf of a service, and how likely it is to get the next first attempt.
    struct ExplainedLeaf {
        Announcement leaf;
        LeafExclusion exclusion = LeafExclusion::None;
        LeafEstimate estimate; // its `zone` is not valid
        double share = 0;      // 0 to 1
    };
    /// Decides as `pick` does, without changing anything.
    std::vector<ExplainedLeaf> explain(const std::string& service, Duration typicalLatency, TimePoint now) const;
    /// Whether requests for the service are spread, see SharedBounds::spreadSenders.
    bool spreadsRequests(const std::string& service) const;
    const SpreadCounters& spreadCounters() const { return m_spreadCounters; }
    /// Returns the names of the leaves of a service in a zone.
    std::vector<std::string> leavesIn(const std::string& service, std::string_view zone) const;
    /// Returns the maximum number of connections of this instance to a leaf. The connections of a leaf are divided
    /// equally, unless there are so many instances that those of the leaf's zone need nearly all of them.
    std::uint32_t connectionLimit(const Announcement& leaf) const;

    /// Returns all known leaves, for example to apply a new connection limit.
    std::vector<Announcement> leaves() const;

    using PeersByZone = GatherGroups::InstancesByZone;
    /// Sets the other entry instances by zone, including those of the own zone.
    void setPeers(const PeersByZone& peers);
    /// Returns the peers that this instance sends relay requests to, whose links should stay open. They are stable, so
    /// that each of them gets enough requests to detect slow leaves.
    std::set<std::string> relayPeers();
    /// Records whether a peer answered a relay request in time. A peer that did not gets no requests for a while.
    void onPeerResult(const std::string& name, bool answered, TimePoint now);
    /// A part that may be requested from a peer.
    struct RelayCandidate {
        std::uint32_t shardIndex = 0;       // into the shards of the route
        std::span<const std::string> tried; // leaves that the part was sent to
    };
    /// The shards that are requested from one peer.
    struct RelayPlan {
        std::string peer;
        std::string zone;
        std::vector<std::uint32_t> shardIndices; // into the shards of the route
    };
    /// Plans the relay requests of a gathered request. They contain the services without a leaf in the own zone, but
    /// none if the parts are so small that the saved traffic between zones does not outweigh the added latency. With
    /// many small entry instances they contain almost all parts, in groups; see GatherGroups.
    std::vector<RelayPlan> planRelays(const Route&, TimePoint now);
    /// Whether parts of the route are requested in groups, also those that are requested again.
    bool usesGroups(const Route& route) const
    {
        return !route.shards.empty() && dividesConnectionsByZone(route.shards.front());
    }
    /// Plans relay requests for some parts, each to a zone with a leaf that the part was not sent to. Parts that are
    /// not in the result are sent to leaves directly. Precondition: `usesGroups` for the route.
    std::vector<RelayPlan> planGroups(const Route&, std::span<const RelayCandidate>, TimePoint now);

    /// Whether the service has a leaf that is not down, draining, leaving, excluded or in a zone taken out of service.
    /// The leaf may be paused.
    bool hasLeaf(const std::string& service) const;
    /// Returns when the first leaf of the service may be tried, if there are leaves as for `hasLeaf` and all of them
    /// are paused at `now`.
    std::optional<TimePoint> pausedUntil(const std::string& service, TimePoint now) const;
    /// Counts a request on the route, for canServe.
    void onRequest(const Route& route) { m_requestCounts[route.name] += 1; }
    /// Whether at least half of the requests of the last seconds could be answered with the leaves that are up now.
    /// With too few requests, whether more than half of the distinct sets of services used by routes could be served.
    /// Call it at a fixed interval because each call decays the request counts.
    bool canServe();
    /// Chooses the service that a request is forwarded to, in proportion to the weights. Precondition: the route has
    /// targets.
    const std::string& chooseTarget(const Route&);

    /// Counts the first request for a service.
    void onFirstRequest(const std::string& service) { budgetOf(service).onPart(); }
    /// Takes one extra request from the budget of a service. Returns false if it must not be sent.
    bool tryTakeExtra(const std::string& service) { return budgetOf(service).tryTake(); }

    /// Number of extra requests that the budget of a service allows now.
    double extraLeft(const std::string& service) const
    {
        auto found = m_budgets.find(service);
        return found == m_budgets.end() ? firstExtraBurst() : found->second.tokens();
    }

    /// Median latency of the parts of a route's requests. With few samples, an estimate.
    Duration typicalLatency(const Route&) const;
    /// Time after which a part without a response is hedged: a high percentile of the recorded latencies, limited by
    /// the objective or the timeout of the route.
    Duration hedgeDelay(const Route&) const;
    /// Records the latency of one answered part.
    void onLatency(const Route&, Duration);
    /// Records how long after it was due an answer was ready, because this instance was busy.
    void onAnswerDelay(Duration delay) { m_answerDelay.record(delay); }
    /// Returns by how much answers have to be due earlier to be ready in time.
    Duration answerDelay() const { return m_answerDelay.upperBound(); }
    /// Records the size of the body of one part.
    void onPartBytes(const Route&, std::size_t bytes);

    /// See LeafSelector and LeafNotices. `onStart` also records the send for the rate limit of leaves that are warming
    /// up.
    void onStart(const Announcement& leaf, std::uint64_t attempt, Duration typicalLatency, TimePoint now);
    void onEnd(const std::string& leaf, std::uint64_t attempt, AttemptEnd end, TimePoint now);
    /// Returns the usable leaves that are down, due for a probe and not paused.
    std::vector<Announcement> dueProbes(TimePoint now);
    /// Records whether the leaf could be connected to.
    void onProbe(const std::string& leaf, bool reached, TimePoint now);
    /// The process of the leaf has ended. What is reached at its address later has started since: until the leaf is
    /// announced with another boot, it counts as warming up for the warm-up time of its service. Returns whether the
    /// end was unknown.
    bool onProcessEnded(const std::string& leaf);
    const LeafSelector& selector() const { return m_selector; }
    /// Returns the number of entry instances, including this one.
    std::size_t entryInstanceCount() const { return std::max<std::size_t>(1, m_bounds.instances); }

private:
    struct KnownLeaf {
        Announcement announcement;
        TimePoint coldUntil;        // end of the warm-up as announced
        TimePoint restartColdUntil; // end of the warm-up after an observed restart, see onProcessEnded
        bool hasEnded = false;      // its process, and nothing has been reached at its address since
        bool excluded = false;      // see `exclude`
        bool isCold(TimePoint now) const { return hasEnded || now < coldUntil || now < restartColdUntil; }
    };
    struct RoundRobin {              // weighted, over the targets of a route
        std::vector<double> weights; // of the targets when `current` was reset
        std::vector<double> current;
    };
    using LeavesByService = std::unordered_map<std::string, std::vector<KnownLeaf>>;
    static bool haveSameZones(const LeavesByService&, const LeavesByService&, const std::string& service);
    bool isServable(const Route&) const;
    LeafExclusion unusableBecause(const KnownLeaf&) const;
    bool isUsable(const KnownLeaf& it) const { return unusableBecause(it) == LeafExclusion::None; }
    LeafExclusion exclusionOf(
        const KnownLeaf&, std::span<const std::string> tried, bool ownZoneOnly, TimePoint now) const;
    std::vector<LeafEstimate> estimatesOf(const std::string& service, std::span<const Announcement* const> candidates,
        Duration typicalLatency, TimePoint now) const;
    bool maySendToCold(const KnownLeaf&, TimePoint now);
    void onReached(const std::string& leaf, TimePoint now);
    PercentBudget& budgetOf(const std::string& service);
    double extraBurst() const;
    double firstExtraBurst() const;
    bool dividesConnectionsByZone(const std::string& service) const;

    const Announcement* choose(const std::string& service, std::span<const std::string> tried, bool ownZoneOnly,
        Duration typicalLatency, TimePoint now);
    std::vector<std::string> zonesOf(const std::string& service, TimePoint now) const;
    bool hasAvailableLeaf(
        const std::string& service, std::string_view zone, std::span<const std::string> tried, TimePoint now) const;
    bool isBackedOff(const std::string& peer, TimePoint now) const;
    std::string peerIn(const std::string& zone, std::size_t turn, TimePoint now) const;
    const GatherGroups& groupsOf(const Route&);
    void dropUnusedGroups();
    std::vector<std::pair<std::string, std::string>> gatherersFor(
        const GatherGroups&, std::size_t group, TimePoint now) const;

    std::string m_instance;
    std::string m_zone;
    LeafSelector m_selector;
    SharedBounds m_bounds;
    std::shared_ptr<const RouteTable> m_table = std::make_shared<const RouteTable>(ServingConfiguration {});
    std::set<std::string, std::less<>> m_zonesOut;
    bool m_isViewOutdated = false;
    std::set<std::string, std::less<>> m_endedLeaves; // those with KnownLeaf::hasEnded
    std::vector<std::string> m_entryInstances;
    LeavesByService m_leaves;
    std::unordered_map<std::string, PercentBudget> m_budgets;     // by service
    std::unordered_map<std::string, LatencyDigest> m_latencies;   // by route name
    std::unordered_map<std::string, RoundRobin> m_currentWeights; // by route name
    std::unordered_map<std::string, double> m_partBytes;          // smoothed, by route name
    std::unordered_map<std::string, double> m_requestCounts;      // recent requests, decayed, by route name
    PeersByZone m_peers;                                          // in other zones, selected ones only
    PeersByZone m_instances;                                      // all entry instances, including this one
    std::map<std::vector<std::string>, GatherGroups> m_groups;    // see groupsOf; by the gathered shards
    std::size_t m_otherZoneInstanceCount = 0;                     // number of entry instances in other zones
    std::unordered_map<std::string, TimePoint> m_peerBackoffs;    // end of the backoff by peer
    std::size_t m_rotation = 0;                                   // distributes relays over peers and zones
    DelayEstimate m_answerDelay;
    ColdStartRateLimit m_coldStartLimit;
    LeafNotices m_notices;
    SpreadChoice<> m_spreadChoice;
    SpreadCounters m_spreadCounters;
    InstanceCounts m_instanceCounts;
    std::set<std::string, std::less<>> m_gatheredServices; // in a gathering route
    std::unordered_map<std::string, RequestRate> m_rates;  // attempts of this instance; by service, as m_leaves
};

} // namespace citronplank
