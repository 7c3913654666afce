// Selects the leaf of a service that gets the next request on a route, based on this instance's own observations.
// ReplicaChooser does so for the parts of queries.
//
// The observations are milliseconds old, announcements a second or more. Observations reveal leaves that stall, become
// slow, fail some of their requests or are down although they are announced as ready. Unresponsive leaves are also
// counted per zone, so that a partitioned zone is detected before requests have timed out twice at each of its leaves.
#pragma once

#include "policy/LatencyDigest.h"
#include "policy/LeafChoice.h"

#include <unordered_map>

namespace citronplank {

/// How an attempt at a leaf ended, for the statistics.
enum class AttemptEnd : std::uint8_t {
    Answered,     // a usable answer
    Refused,      // the leaf was at capacity or draining; it did not run the request
    Failed,       // an error of the leaf, or a malformed response
    Lost,         // the connection ended before the answer
    Unreachable,  // no connection could be established
    Unresponsive, // cancelled by this instance, and no answer arrived within the grace period
    Abandoned,    // ended for a reason that says nothing about the leaf
};

struct LeafSelectorSettings {
    milliseconds slownessHalfLife { 1500 }; // a slow leaf is tried again after a few half-lives
    // An instance that shares its leaves with many others sends to each of them every few seconds. It would forget a
    // slow one with the half-life above before it sends to it again.
    milliseconds steadyHalfLife { 30000 };
    std::uint32_t unresponsiveAttempts = 2; // in a row, after which a leaf counts as down
    milliseconds firstBackoff { 100 };      // between probes of a leaf that is down; doubles up to the maximum
    milliseconds maxBackoff { 2000 };       // about the time a leaf takes to restart
    // Round trip between zones; added to the cost of leaves in other zones.
    std::chrono::microseconds otherZoneCost { 700 };
    double otherZoneLatencyShare = 0.6; // of the usual latency; added as well, to save traffic between zones
    // Unresponsive leaves in a zone, without an answer from it since, after which none of its leaves is used.
    std::size_t unresponsiveLeavesOfZone = 3;
    milliseconds zoneProbeInterval { 300 }; // between probes of an unresponsive zone
    double lateFactor = 2.5;                // an answer that takes this many usual latencies is late
};

/// Not thread safe.
class LeafSelector {
public:
    explicit LeafSelector(std::string ownZone, LeafSelectorSettings settings = {})
        : m_ownZone(std::move(ownZone))
        , m_settings(settings)
    {
    }

    /// Index of the best candidate; nullopt if there is none or all are down. `typicalLatency` is the usual latency of
    /// such a request.
    std::optional<std::size_t> choose(
        std::span<const Announcement* const> candidates, Duration typicalLatency, TimePoint now) const;
    /// What a choice knows of each candidate, in their order.
    std::vector<LeafEstimate> estimates(
        std::span<const Announcement* const> candidates, Duration typicalLatency, TimePoint now) const;
    /// Expected latency of a request at the leaf, increased by the expected cost of a failure and, for a leaf of
    /// another zone, by the cost of the traffic between zones.
    Duration expectedCost(const Announcement&, Duration typicalLatency, TimePoint now) const;

    /// An attempt starts; `attempt` is unique among those that have not ended.
    void onStart(const Announcement& leaf, std::uint64_t attempt, Duration typicalLatency, TimePoint now);
    /// The attempt ended; unknown attempts are ignored. A cancelled attempt ends only when its answer arrives or its
    /// grace period is over, because the outstanding answer shows that the leaf is stalled.
    void onEnd(const std::string& leaf, std::uint64_t attempt, AttemptEnd, TimePoint now);
    /// Attempts at the leaf that have not ended, including cancelled ones in their grace period.
    std::uint32_t inFlight(const std::string& leaf) const;
    /// Whether the leaf was unreachable or unresponsive and neither a probe nor a request has reached it since, or its
    /// zone is unresponsive.
    bool isDown(const Announcement& leaf) const;
    /// As above, without regard to the zone.
    bool isDown(const std::string& leaf) const;
    /// Zones in which several leaves were unresponsive, and none has answered since those requests were sent.
    std::set<std::string> unresponsiveZones() const;
    /// Leaves that are due for a probe, which is a connect, because they or their zone are down. Each leaf that is down
    /// is returned once per backoff, and one leaf of an unresponsive zone once per `zoneProbeInterval`.
    std::vector<std::string> dueProbes(TimePoint now);
    /// Result of a probe that `dueProbes` returned: whether the leaf could be connected to.
    void onProbe(const std::string& leaf, bool reached, TimePoint now);
    /// Removes a leaf with its observations; running attempts at it are ignored when they end.
    void forget(const std::string& leaf) { m_leaves.erase(leaf); }

private:
    struct Running {
        std::uint64_t attempt = 0;
        TimePoint since;
        Duration typicalLatency;
    };
    struct Zone {
        TimePoint answeredAt;               // time of the last answer of any of its leaves
        std::set<std::string> unresponsive; // leaves that did not answer a request sent after answeredAt
        TimePoint probeAt;                  // next probe while the zone is unresponsive
        std::size_t probes = 0;             // sent while the zone was unresponsive; selects the leaf whose turn it is
    };
    struct Observations {
        std::string zone;
        double slowness = 1;             // ratio of the latency to the usual one, smoothed
        double failureRate = 0;          // smoothed
        double steadyCost = 0;           // see LeafEstimate; smoothed over a longer time than slowness
        TimePoint updatedAt;             // of slowness and failureRate
        std::optional<TimePoint> lateAt; // time of the last answer if that was late
        std::uint32_t unresponsiveInRow = 0;
        std::uint32_t failedProbes = 0; // failed connects in a row, including those of requests
        TimePoint probeAt;
        std::vector<Running> running;
    };
    double decay(const Observations&, TimePoint now) const;
    double steadyDecay(const Observations&, TimePoint now) const;
    Duration costOfZone(const Announcement&, Duration typicalLatency) const;
    void learn(Observations&, double slowness, bool failed, TimePoint now) const;
    void learnAnswer(Observations&, TimePoint since, double latencyRatio, TimePoint now) const;
    bool isDown(const Observations& it) const
    {
        return it.failedProbes > 0 || it.unresponsiveInRow >= m_settings.unresponsiveAttempts;
    }
    void scheduleProbe(Observations&, TimePoint now) const;
    bool isUnresponsive(const std::string& zone) const;
    void recordUnresponsive(const std::string& leaf, const std::string& zone, TimePoint since, TimePoint now);
    void recordAnswer(const std::string& zone, TimePoint now);
    std::string dueZoneProbe(const std::string& zone, Zone&, TimePoint now) const;

    std::string m_ownZone;
    LeafSelectorSettings m_settings;
    std::unordered_map<std::string, Observations> m_leaves;
    std::map<std::string, Zone> m_zones;
};

} // namespace citronplank
