// Choice of the layout (index version and shard count) that a query is pinned to.
#pragma once

#include "citronplank.h"

#include <memory>

namespace citronplank {

/// A layout that queries are pinned to, shared by all queries that started on it. Immutable after construction.
struct PinnedLayout {
    Layout layout;                           // shardCount is the denominator of coverage
    std::vector<MissingReason> emptyReasons; // by shard: why it has no usable replica; unused if it has one
    std::uint32_t coveredShards = 0;         // shards with a usable replica
    std::vector<std::string> faults;         // errors found in the announcements, one sentence each
    bool isComplete() const { return layout.shardCount > 0 && coveredShards == layout.shardCount; }
};

/// Which replicas may be used.
struct ReplicaFilter {
    const Rules* rules = nullptr; // zones and leaves taken out; null: none
    std::string onlyZone;         // not empty: this daemon is stale and uses leaves of its own zone only
};

/// Chooses layouts per service and remembers the last complete version of each.
/// Not thread safe; callers serialize calls. The result can be kept and shared between threads.
class LayoutChooser {
public:
    static constexpr std::uint32_t maxShardCount = 65536; // a wrong announcement must not allocate gigabytes

    /// The newest version with a usable replica of every shard; else the version with the greatest fraction of covered
    /// shards, where the last complete version and then the newer one wins a tie. Draining leaves, leaves taken out and
    /// leaves in zones taken out give no replica, but their shard counts do count. If one version is announced with
    /// several shard counts, the greatest is used and the fault is reported.
    /// `announcements` are those of `service`; others are ignored. Null if no version is announced.
    std::shared_ptr<const PinnedLayout> choose(
        const std::string& service, std::span<const Announcement> announcements, const ReplicaFilter& filter = {});

private:
    std::map<std::string, std::uint64_t, std::less<>> m_lastComplete;
};

} // namespace citronplank
