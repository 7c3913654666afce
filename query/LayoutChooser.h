// Selects the layout (index version and shard count) that a query is pinned to.
#pragma once

#include "citronplank.h"

#include <memory>

namespace citronplank {

/// Layout that queries are pinned to, shared by all queries that started on it. Immutable after construction.
struct PinnedLayout {
    Layout layout;                               // shardCount is the denominator of the coverage
    std::vector<MissingReason> emptyReasons;     // by shard: why it has no usable replica; not meaningful if it has one
    std::uint32_t coveredShards = 0;             // shards with a usable replica
    std::vector<std::string> announcementErrors; // one message each
    bool isComplete() const { return layout.shardCount > 0 && coveredShards == layout.shardCount; }
};

/// Restricts which replicas may be used.
struct ReplicaFilter {
    const Rules* rules = nullptr; // exclude zones and leaves taken out of service; null: exclude none
    std::string onlyZone;         // if not empty, only leaves of this zone; set while this daemon's data is stale
};

/// Chooses the layout of each service and remembers its last complete version.
/// Not thread safe. The returned layouts may be shared between threads.
class LayoutChooser {
public:
    static constexpr std::uint32_t maxShardCount = 65536; // limits the memory that an invalid announcement can allocate

    /// Returns the newest version with a usable replica of every shard. If there is none, returns the version with the
    /// largest fraction of covered shards; ties go to the last complete version, then to the newer one. Draining leaves
    /// and leaves or zones taken out of service provide no replicas, but their announced shard counts are used. If one
    /// version is announced with different shard counts, the largest is used and an announcement error is added.
    /// Announcements of other services are ignored. Returns null if no version is announced.
    std::shared_ptr<const PinnedLayout> choose(
        const std::string& service, std::span<const Announcement> announcements, const ReplicaFilter& filter = {});

private:
    std::map<std::string, std::uint64_t, std::less<>> m_lastComplete;
};

} // namespace citronplank
