#include "query/LayoutChooser.h"

#include <algorithm>

namespace citronplank {

namespace {

constexpr std::size_t maxFaultCount = 16; // bounds the log after a wrong deployment

/// Why a replica may not be used; nothing if it may.
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

bool isValid(const ShardVersion& it) { return it.of > 0 && it.of <= LayoutChooser::maxShardCount && it.shard < it.of; }

/// The layouts of one service by version, and the faults found on the way.
class LayoutTable {
public:
    explicit LayoutTable(const std::string& service)
        : m_service(service)
    {
    }

    void addCounts(const Announcement& it);
    void addReplica(const Announcement& it, const ReplicaFilter& filter);
    std::map<std::uint64_t, PinnedLayout> take();

private:
    PinnedLayout& layoutOf(std::uint64_t version) { return m_layouts[version]; }
    void report(const std::string& fault);

    const std::string& m_service;
    std::map<std::uint64_t, PinnedLayout> m_layouts;
    std::vector<std::string> m_faults;
};

void LayoutTable::report(const std::string& fault)
{
    if (m_faults.size() < maxFaultCount)
        m_faults.push_back(fault);
}

void LayoutTable::addCounts(const Announcement& it)
{
    for (const auto& held : it.versions) {
        if (!isValid(held)) {
            report("leaf " + it.leaf + " announces shard " + std::to_string(held.shard) + " of "
                + std::to_string(held.of) + ", which is not a valid shard");
            continue;
        }
        auto& layout = layoutOf(held.version).layout;
        if (layout.shardCount != 0 && layout.shardCount != held.of)
            report("version " + std::to_string(held.version) + " of " + m_service + " is announced with "
                + std::to_string(layout.shardCount) + " and with " + std::to_string(held.of)
                + " shards; the greater count is used");
        layout.shardCount = std::max(layout.shardCount, held.of);
    }
}

void LayoutTable::addReplica(const Announcement& it, const ReplicaFilter& filter)
{
    const auto excluded = exclusionOf(it, filter);
    for (const auto& held : it.versions) {
        if (!isValid(held))
            continue;
        auto& pinned = layoutOf(held.version);
        // A leaf that cuts the index into another number of shards holds other data under the same shard number.
        if (held.of != pinned.layout.shardCount)
            continue;
        pinned.layout.replicas.resize(pinned.layout.shardCount);
        pinned.emptyReasons.resize(pinned.layout.shardCount, MissingReason::NoReplica);
        if (excluded) {
            // ZoneOut and Unreachable tell the operator more than NoReplica, so they are not overwritten by it.
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
        pinned.faults = m_faults;
    }
    return std::move(m_layouts);
}

/// True if `a` covers a greater fraction of its shards than `b`.
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
    for (auto it = layouts.begin(); it != layouts.end(); ++it) { // from the oldest to the newest version
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
