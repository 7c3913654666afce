// The configuration in force on this daemon: rules, zone views, blocked request fingerprints, and their freshness.
#pragma once

#include "coordination/ControlState.h"
#include "daemon/OrderedMutex.h"

#include <memory>

namespace citronplank {

/// A daemon without a newer freshness timestamp for this long is stale and starts no work in other zones.
constexpr milliseconds freshnessLimit { 3000 };
constexpr std::size_t maxRuleHistory = 256; // versions kept for `linesAt`, which the rules watcher uses

/// One version of the configuration. Immutable, so that it can be shared without a lock.
struct Configuration {
    PublishedState published;
    std::vector<RuleLine> lines;
    Rules rules;
    std::map<std::string, ZoneView, std::less<>> views; // by zone
    std::string rulesError; // why `lines` could not be parsed, in which case `rules` are the previous ones; else empty
};

/// Sent by the control leader to all daemons every 500 ms after a quorum has confirmed its leadership.
struct FreshnessNotice {
    ClusterId cluster = 0;
    std::uint64_t publishedVersion = 0;
    std::uint64_t timestampMs = 0; // wall clock of the leader, milliseconds since 1970
    std::string leader;
};

/// Payload of the gossip item `control/freshness`. Thread safe.
std::string encodeFreshness(const FreshnessNotice&);
/// Throws Error(BadRequest) on malformed input. Thread safe.
FreshnessNotice decodeFreshness(std::string_view);

/// Every method is thread safe; rank LockRank::Configuration.
class ConfigurationTable {
public:
    ConfigurationTable();

    /// Never null.
    std::shared_ptr<const Configuration> current() const;
    /// Applies a difference from a peer. Returns false if it does not result in a newer version of the same cluster.
    bool apply(const PublishedDifference&);
    /// Difference that updates a peer from `version` to the current version. It is a full copy if the removals since
    /// `version` are unknown.
    PublishedDifference differenceFor(std::uint64_t version) const;
    /// Lines of a version that was in force on this daemon; absent if it was not, or is older than the last
    /// `maxRuleHistory` versions. Version 0 has no lines.
    std::optional<std::vector<RuleLine>> linesAt(std::uint64_t rulesVersion) const;

    /// Stores a freshness notice. Returns true if it is newer than the last one.
    bool recordFreshness(const FreshnessNotice&, TimePoint now);
    /// Whether a notice within the last `freshnessLimit` named a version that this daemon has.
    bool isFresh(TimePoint now) const;
    /// Age of the last notice; absent if there was none.
    std::optional<Duration> freshnessAge(TimePoint now) const;
    /// The last notice; its leader is empty if there was none.
    FreshnessNotice lastNotice() const;

private:
    struct State {
        std::shared_ptr<const Configuration> current = std::make_shared<Configuration>();
        std::map<std::uint64_t, std::vector<RuleLine>> history;
        std::map<std::string, std::uint64_t> removed; // removed keys and the version in which the removal was noticed
        std::uint64_t removalsCompleteSince = 0;      // `removed` is complete from this version on; 0: unknown
        FreshnessNotice notice;
        std::optional<TimePoint> lastNoticeAt;
        std::optional<TimePoint> confirmedCurrentAt; // time of the last notice that named a version present here
    };
    mutable Guarded<State> m_state;
};

} // namespace citronplank
