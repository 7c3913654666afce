#include "query/LayoutChooser.h"

#include <algorithm>

namespace citronplank {

namespace {

constexpr std::size_t maxErrorCount = 16; // per call of `choose`; limits the log volume after a faulty deployment

/// Returns why a replica may not be used, or nothing if it may.
std::optional<MissingReason> exclusionOf(const Announcement& it, const ReplicaFilter& filter)
{
    if (filter.rules && filter.rules->zonesOut.contains(it.zone))
        return MissingReason::ZoneOut;
    if (!filter.onlyZone.empty() && it.zone != filter.onlyZone)
        return MissingReason::Unreachable;
    if (it.draining)
        return MissingReason::NoReplica;
    if (filter.rules) {
        const auto rule = filter.rules->leaves.find(it.leaf);
        if (rule != filter.rules->leaves.end() && rule->second.out)
            return MissingReason::NoReplica;
    }
    return std::nullopt;
}

bool isValid(const ShardVersion& it)
{
    return it.shardCount > 0 && it.shardCount <= LayoutChooser::maxShardCount && it.shard < it.shardCount;
}

/// Collects the layouts of one service by version, and errors in the announcements.
class LayoutTable {
public:
    explicit LayoutTable(const std::string& service)
        : m_service(service)
    {
    }

    /// Raises the shard counts of the announced versions and reports errors in the announcement.
    void addCounts(const Announcement& it);
    /// Adds the leaf as a replica unless it is excluded. Precondition: addCounts was called for all announcements.
    void addReplica(const Announcement& it, const ReplicaFilter& filter);
    /// Completes the layouts and returns them by version. The table is empty afterwards.
    std::map<std::uint64_t, PinnedLayout> take();

private:
    PinnedLayout& layoutOf(std::uint64_t version) { return m_layouts[version]; }
    void addError(const std::string& error);

    const std::string& m_service;
    std::map<std::uint64_t, PinnedLayout> m_layouts;
    std::vector<std::string> m_errors;
};

void LayoutTable::addError(const std::string& error)
{
    if (m_errors.size() < maxErrorCount)
        m_errors.push_back(error);
}

void LayoutTable::addCounts(const Announcement& it)
{
    for (const auto& held : it.versions) {
        if (!isValid(held)) {
            addError("leaf " + it.leaf + " announces shard " + std::to_string(held.shard) + " of "
                + std::to_string(held.shardCount) + ", which is not a valid shard");
            continue;
        }
        auto& layout = layoutOf(held.version).layout;
        if (layout.shardCount != 0 && layout.shardCount != held.shardCount)
            addError("version " + std::to_string(held.version) + " of " + m_service + " is announced with "
                + std::to_string(layout.shardCount) + " and with " + std::to_string(held.shardCount)
                + " shards; the larger count is used");
        layout.shardCount = std::max(layout.shardCount, held.shardCount);
    }
}

void LayoutTable::addReplica(const Announcement& it, const ReplicaFilter& filter)
{
    const auto excluded = exclusionOf(it, filter);
    for (const auto& held : it.versions) {
        if (!isValid(held))
            continue;
        auto& pinned = layoutOf(held.version);
        // With another shard count the same shard number refers to other data.
        if (held.shardCount != pinned.layout.shardCount)
            continue;
        pinned.layout.replicas.resize(pinned.layout.shardCount);
        pinned.emptyReasons.resize(pinned.layout.shardCount, MissingReason::NoReplica);
        if (excluded) {
            // Do not overwrite ZoneOut and Unreachable, which are more specific than NoReplica.
            if (*excluded != MissingReason::NoReplica)
                pinned.emptyReasons[held.shard] = *excluded;
            continue;
        }
        auto& replicas = pinned.layout.replicas[held.shard];
        const bool listed = std::any_of(
            replicas.begin(), replicas.end(), [&](const Announcement& known) { return known.leaf == it.leaf; });
        if (listed)
            continue;
        pinned.coveredShards += replicas.empty() ? 1 : 0;
        replicas.push_back(it);
    }
}

std::map<std::uint64_t, PinnedLayout> LayoutTable::take()
{
    for (auto& [version, pinned] : m_layouts) {
        pinned.layout.service = m_service;
        pinned.layout.version = version;
        pinned.layout.replicas.resize(pinned.layout.shardCount);
        pinned.emptyReasons.resize(pinned.layout.shardCount, MissingReason::NoReplica);
        pinned.announcementErrors = m_errors;
    }
    return std::move(m_layouts);
}

/// Whether `a` covers a larger fraction of its shards than `b`.
bool coversMore(const PinnedLayout& a, const PinnedLayout& b)
{
    return std::uint64_t { a.coveredShards } * b.layout.shardCount
        > std::uint64_t { b.coveredShards } * a.layout.shardCount;
}

} // namespace

std::shared_ptr<const PinnedLayout> LayoutChooser::choose(
    const std::string& service, std::span<const Announcement> announcements, const ReplicaFilter& filter)
{
    LayoutTable table(service);
    for (const auto& it : announcements) {
        if (it.service == service)
            table.addCounts(it);
    }
    for (const auto& it : announcements) {
        if (it.service == service)
            table.addReplica(it, filter);
    }
    auto layouts = table.take();
    if (layouts.empty())
        return nullptr;
    const auto last = m_lastComplete.find(service);
    auto best = layouts.end();
    for (auto it = layouts.begin(); it != layouts.end(); ++it) { // in ascending order of versions
        if (best == layouts.end() || coversMore(it->second, best->second)) {
            best = it;
            continue;
        }
        const bool bestIsLast = last != m_lastComplete.end() && best->first == last->second;
        if (!coversMore(best->second, it->second) && (it->second.isComplete() || !bestIsLast))
            best = it;
    }
    if (best->second.isComplete())
        m_lastComplete[service] = best->first;
    return std::make_shared<const PinnedLayout>(std::move(best->second));
}

} // namespace citronplank
