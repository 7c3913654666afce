// Which leaf of a service gets the next request, by what this instance itself observes of the leaves.
//
// It answers leaves that pause for a moment, turn slow, fail part of their requests or are down while their
// announcements say that they are ready: own observations are milliseconds old, announcements a second or more. It also
// answers zones that are cut off: each leaf alone would have to be silent twice, while requests wait for it.
#pragma once

#include "policy/LatencyDigest.h"

#include <unordered_map>

namespace citronplank {

/// How an attempt at a leaf ended, for the statistics.
enum class AttemptEnd : std::uint8_t {
    Answered,    // a usable answer
    Refused,     // the leaf was full or leaving; it did not run the request
    Failed,      // an error of the leaf, or bytes that are no answer
    Lost,        // the connection ended before the answer
    Unreachable, // no connection
    Silent,      // this instance stopped waiting, and no answer came for a while after that
    Abandoned,   // nothing is known
};

struct LeafSelectorSettings {
    milliseconds slownessHalfLife { 1500 };          // a slow leaf is tried again after a few of these
    std::uint32_t silentAttempts = 2;                // in a row, after which a leaf counts as down
    milliseconds firstBackoff { 100 };               // between probes of a leaf that is down; doubles up to the next
    milliseconds maxBackoff { 2000 };                // about the time a leaf takes to restart
    std::chrono::microseconds otherZoneCost { 700 }; // round trip between zones, in favour of the own zone
    double otherZoneShare = 0.6;                     // of a usual latency that bytes between zones are worth avoiding
    std::size_t silentLeavesOfZone = 3; // with no answer from the zone since, after which none of its leaves is used
    milliseconds zoneProbeInterval { 300 }; // between connects to further leaves of such a zone
    double pauseFactor = 2.5;               // an answer that takes this many usual latencies is late
};

/// Not thread safe; callers serialize calls.
class LeafSelector {
public:
    explicit LeafSelector(std::string ownZone, LeafSelectorSettings settings = {})
        : m_ownZone(std::move(ownZone))
        , m_settings(settings)
    {
    }

    /// Index of the best of `candidates`; nothing if there is none. `typical` is the usual latency of such a request.
    std::optional<std::size_t> choose(
        std::span<const Announcement* const> candidates, Duration typical, TimePoint now) const;
    /// Expected latency of a request at the leaf.
    Duration expected(const Announcement&, Duration typical, TimePoint now) const;

    /// An attempt starts; `attempt` is unique among those that have not ended.
    void onStart(const Announcement& leaf, std::uint64_t attempt, Duration typical, TimePoint now);
    /// It ended. Unknown attempts are ignored. An attempt whose answer is no longer wanted has not ended yet: that the
    /// leaf still owes it tells a pause.
    void onEnd(const std::string& leaf, std::uint64_t attempt, AttemptEnd, TimePoint now);
    std::uint32_t inFlight(const std::string& leaf) const;
    /// Whether the leaf could not be reached or was silent, and no probe has succeeded since; or its zone is silent.
    bool isDown(const Announcement& leaf) const;
    /// The same without its zone.
    bool isDown(const std::string& leaf) const;
    /// Zones in which several leaves were silent, and none has answered since those requests were sent.
    std::set<std::string> silentZones() const;
    /// Leaves that are down and due for a probe, which is a connect; each is named once per backoff.
    std::vector<std::string> dueProbes(TimePoint now);
    void onProbe(const std::string& leaf, bool reached, TimePoint now);
    void forget(const std::string& leaf) { m_leaves.erase(leaf); }

private:
    struct Running {
        std::uint64_t attempt = 0;
        TimePoint since;
        Duration typical;
    };
    struct Zone {
        TimePoint answeredAt;         // last, by any of its leaves
        std::set<std::string> silent; // leaves, at requests that were sent after that
        TimePoint probeAt;            // while the zone is silent
        std::size_t probes = 0;
    };
    struct Observed {
        std::string zone;
        double slowness = 1;    // latency relative to the usual one, smoothed
        double failureRate = 0; // smoothed
        TimePoint updatedAt;
        std::optional<TimePoint> lateAt; // when the last answer came, if it was late
        std::uint32_t silentInRow = 0;
        std::uint32_t failedProbes = 0; // connects in a row, those of requests included
        TimePoint probeAt;
        std::vector<Running> running;
    };
    double decay(const Observed&, TimePoint now) const;
    void learn(Observed&, double slowness, bool failed, TimePoint now) const;
    void learnAnswer(Observed&, TimePoint since, double relative, TimePoint now) const;
    bool isDown(const Observed& it) const { return it.failedProbes > 0 || it.silentInRow >= m_settings.silentAttempts; }
    void scheduleProbe(Observed&, TimePoint now) const;
    bool isSilent(const std::string& zone) const;
    void noteSilence(const std::string& leaf, const std::string& zone, TimePoint since, TimePoint now);
    void noteAnswer(const std::string& zone, TimePoint now);
    std::string dueZoneProbe(const std::string& zone, Zone&, TimePoint now) const;

    std::string m_ownZone;
    LeafSelectorSettings m_settings;
    std::unordered_map<std::string, Observed> m_leaves;
    std::map<std::string, Zone> m_zones;
};

} // namespace citronplank
