// What all requests on configured routes of one instance share: the leaves they may go to and the budgets they draw on.
#pragma once

#include "policy/ColdStartGate.h"
#include "policy/LeafSelector.h"
#include "policy/RetryBudget.h"
#include "query/RouteTable.h"

namespace citronplank {

/// Bounds that hold for the sum over all instances.
struct SharedBounds {
    double extraRatio = 0.2;   // requests beyond the first of each, relative to the requests for a service
    double extraBurst = 50;    // and this many more
    double coldFactor = 1.5;   // a cold leaf gets at most its rate times this
    double coldAllowance = 5;  // and this many a second more
    std::size_t instances = 1; // that send to leaves
};

/// Not thread safe; callers serialize calls.
class RoutePolicies {
public:
    RoutePolicies(std::string instance, std::string zone)
        : m_instance(std::move(instance))
        , m_zone(zone)
        , m_selector(std::move(zone))
    {
    }

    void setBounds(const SharedBounds&);
    /// Replaces the leaves of all services.
    void setLeaves(std::vector<Announcement> leaves, TimePoint now);
    void setTable(std::shared_ptr<const RouteTable> table) { m_table = std::move(table); }
    void setZonesOut(std::set<std::string, std::less<>> zones) { m_zonesOut = std::move(zones); }
    /// Names of the instances that send to leaves, this one included.
    void setSenders(std::vector<std::string> names);
    /// The leaf is not the one that was announced at its address, or said that it leaves: nothing more is sent to it.
    void exclude(const Announcement&);

    const std::shared_ptr<const RouteTable>& table() const { return m_table; }
    /// Best leaf of the service that is not in `tried`; null if there is none now.
    const Announcement* pick(
        const std::string& service, std::span<const std::string> tried, Duration typical, TimePoint now);
    /// Best leaf for a part that a peer asks for: one of the own zone, unless the peer may be in the same zone.
    const Announcement* pickForPeer(const std::string& service, Duration typical, TimePoint now);
    /// Names of the leaves of a service in a zone.
    std::vector<std::string> leavesIn(const std::string& service, std::string_view zone) const;
    /// Greatest number of connections of this instance to a leaf. All instances have the same share, unless there are
    /// so many that the instances of the leaf's zone need nearly all of them.
    std::uint32_t connectionLimit(const Announcement& leaf) const;

    /// All leaves in use, to apply a new connection limit.
    std::vector<Announcement> leaves() const;

    /// Entries by zone.
    using PeersByZone = std::map<std::string, std::vector<std::string>>;
    /// The few of `peers` that an instance asks for parts. In its own zone there is one for each group of shards, and
    /// in other zones one for each zone that asks and a second one in case the first is down: always the same, so that
    /// links stay open and each of them sees enough of its leaves to know which are slow. Thread safe.
    static PeersByZone selectPeers(const std::string& instance, const std::string& zone, const PeersByZone& peers);
    /// Other entries.
    void setPeers(const PeersByZone& peers);
    /// A peer answered a relay in time or not; one that did not is left alone for a while.
    void onPeerResult(const std::string& name, bool answered, TimePoint now);
    /// Which of the services, by position, to ask of which peer: those without a leaf in the own zone and, where
    /// entries are many and small, most of the others too, because sending all parts takes one of them longer than the
    /// leaves.
    struct RelayPlan {
        std::string peer;
        std::string zone;
        std::vector<std::uint32_t> services;
    };
    std::vector<RelayPlan> planRelays(const Route&, TimePoint now);

    /// Whether the service has a leaf that may be sent to at all.
    bool hasLeaf(const std::string& service) const;
    /// Counts a request of the route, for canServe.
    void onRequest(const Route& route) { m_use[route.name] += 1; }
    /// Whether at least half of the requests of the last seconds could be answered with the leaves that are up now; of
    /// the sets of services that routes name, while there were hardly any requests. Call it at a fixed interval: each
    /// call ages the counts.
    bool canServe();
    /// The target of a forwarded request, in proportion to the weights.
    const std::string& target(const Route&);

    /// Counts the first request for a service.
    void onFirstRequest(const std::string& service) { budgetOf(service).onPart(); }
    /// Takes one request beyond the first from the budget of a service; false: it must not be sent.
    bool takeExtra(const std::string& service) { return budgetOf(service).take(); }

    /// Usual and slow latency of one part of a route's requests.
    Duration typical(const Route&) const;
    Duration hedgeDelay(const Route&) const;
    void onLatency(const Route&, Duration);
    /// Learns from the body of one part.
    void onPartBytes(const Route&, std::size_t bytes);

    /// See LeafSelector; also counts requests to cold leaves.
    void onStart(const Announcement&, std::uint64_t attempt, Duration typical, TimePoint now);
    void onEnd(const std::string& leaf, std::uint64_t attempt, AttemptEnd end, TimePoint now)
    {
        m_selector.onEnd(leaf, attempt, end, now);
    }
    /// Leaves in use that are down and due for a probe.
    std::vector<Announcement> dueProbes(TimePoint now);
    void onProbe(const std::string& leaf, bool reached, TimePoint now) { m_selector.onProbe(leaf, reached, now); }
    const LeafSelector& selector() const { return m_selector; }
    /// Number of instances that send to leaves.
    std::size_t senders() const { return std::max<std::size_t>(1, m_bounds.instances); }

private:
    struct Known {
        Announcement announcement;
        TimePoint coldUntil;
        bool excluded = false;
    };
    bool isServable(const Route&) const;
    bool isUsable(const Known&) const;
    bool mayWarmUp(const Known&, TimePoint now);
    PercentBudget& budgetOf(const std::string& service);
    double extraBurst() const;
    bool sharesByZone(const std::string& service) const;

    const Announcement* choose(const std::string& service, std::span<const std::string> tried, bool ownZoneOnly,
        Duration typical, TimePoint now);
    std::vector<std::string> zonesOf(const std::string& service, TimePoint now) const;
    bool isLeftAlone(const std::string& peer, TimePoint now) const;
    std::string peerIn(const std::string& zone, std::size_t turn, TimePoint now) const;
    void planOwnZone(std::vector<std::uint32_t> indices, std::vector<RelayPlan>&, TimePoint now) const;

    std::string m_instance;
    std::string m_zone;
    LeafSelector m_selector;
    SharedBounds m_bounds;
    std::shared_ptr<const RouteTable> m_table = std::make_shared<const RouteTable>(ServingConfiguration {});
    std::set<std::string, std::less<>> m_zonesOut;
    std::vector<std::string> m_senders;
    std::unordered_map<std::string, std::vector<Known>> m_leaves; // by service
    std::unordered_map<std::string, PercentBudget> m_budgets;     // by service
    std::unordered_map<std::string, LatencyDigest> m_latencies;   // by name of the route
    std::unordered_map<std::string, std::vector<double>>
        m_shares;                                                // by name of the route: sent beyond the weights' part
    std::unordered_map<std::string, double> m_partBytes;         // smoothed, by name of the route
    std::unordered_map<std::string, double> m_use;               // recent requests by name of the route
    PeersByZone m_peers;                                         // those in use
    std::vector<std::string> m_ownZone;                          // all entries of the own zone, this one included
    std::size_t m_sendersElsewhere = 0;                          // in other zones
    std::unordered_map<std::string, TimePoint> m_peersLeftAlone; // until then
    std::size_t m_rotation = 0;                                  // spreads relays over peers and zones
    ColdStartGate m_coldGate;
};

} // namespace citronplank
