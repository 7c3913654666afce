// The configuration in force on this daemon: rules, zone views, blocked fingerprints, and how fresh they are.
#pragma once

#include "coordination/ControlState.h"
#include "daemon/OrderedMutex.h"

#include <memory>

namespace citronplank {

/// Without a newer freshness timestamp for this long a daemon is stale and starts no work in other zones.
constexpr milliseconds freshnessLimit { 3000 };
constexpr std::size_t ruleVersionsKept = 256; // older versions kept here for the rules watcher

/// One configuration. Immutable, so that it is shared without a lock.
struct Configuration {
    PublishedState published;
    std::vector<RuleLine> lines;
    Rules rules;
    std::map<std::string, ZoneView, std::less<>> views; // by zone
    std::string rulesError;                             // lines that could not be read; the rules before stay
};

/// What the control leader tells all daemons every 500 ms, after a quorum confirmed it.
struct FreshnessNotice {
    ClusterId cluster = 0;
    std::uint64_t publishedVersion = 0;
    std::uint64_t timestampMs = 0;
    std::string leader;
};

/// Payload of the gossip item `control/freshness`. Thread safe.
std::string encodeFreshness(const FreshnessNotice&);
/// Throws Error(BadRequest) on malformed input. Thread safe.
FreshnessNotice decodeFreshness(std::string_view);

/// The table. Every method is thread safe; rank LockRank::Configuration.
class ConfigurationTable {
public:
    ConfigurationTable();

    /// Never null.
    std::shared_ptr<const Configuration> current() const;
    /// Applies a difference from a peer. Returns false if it leads to no newer version of the same cluster.
    bool apply(const PublishedDifference&);
    /// The difference that brings a peer from `version` to the current one. It is a full one if the removals since that
    /// version are not known here.
    PublishedDifference differenceFor(std::uint64_t version) const;
    /// Lines of a version that was in force here; version 0 is empty.
    std::optional<std::vector<RuleLine>> linesAt(std::uint64_t rulesVersion) const;

    /// Notes a freshness notice. Returns true if it is newer than the last one.
    bool noteFreshness(const FreshnessNotice&, TimePoint now);
    /// False while the last newer notice is over `freshnessLimit` old, or the version it names is not held yet.
    bool isFresh(TimePoint now) const;
    /// Age of the last notice; nothing if there was none.
    std::optional<Duration> freshnessAge(TimePoint now) const;
    /// The last notice; empty leader if none.
    FreshnessNotice lastNotice() const;

private:
    struct State {
        std::shared_ptr<const Configuration> current = std::make_shared<Configuration>();
        std::map<std::uint64_t, std::vector<RuleLine>> history;
        std::map<std::string, std::uint64_t> removed; // keys and the version in which they were seen to be gone
        std::uint64_t removalsSince = 0;              // removals are complete from this version on; 0: none held
        FreshnessNotice notice;
        std::optional<TimePoint> noticedAt;
        std::optional<TimePoint> completeAt; // when a notice named a version that is held
    };
    mutable Guarded<State> m_state;
};

} // namespace citronplank
