#include "query/GatherGroups.h"

#include "coordination/ZoneLease.h"

#include <algorithm>

namespace citronplank {

GatherGroups::GatherGroups(std::span<const Zones> zonesOfShards, const InstancesByZone& instances)
    : m_groupOfShard(zonesOfShards.size())
{
    std::map<Zones, std::size_t> counts;
    for (const auto& it : zonesOfShards)
        ++counts[it];
    // A shard that has lost its leaves in a zone stays with the shards that still have leaves there.
    std::map<Zones, std::vector<std::size_t>> shards;
    for (std::size_t i = 0; i < zonesOfShards.size(); ++i) {
        const auto& own = zonesOfShards[i];
        auto most = counts.find(own);
        for (auto it = counts.begin(); it != counts.end(); ++it) {
            if (it->second > most->second && std::includes(it->first.begin(), it->first.end(), own.begin(), own.end()))
                most = it;
        }
        shards[most->first].push_back(i);
    }
    for (const auto& [zones, indices] : shards)
        addGroups(zones, indices);
    for (const auto& [zone, names] : instances)
        chooseGatherers(zone, names);
}

/// Divides shards with leaves in the same zones into groups of similar size.
void GatherGroups::addGroups(const Zones& zones, std::span<const std::size_t> shards)
{
    auto count = (shards.size() + maxPartsPerGroup - 1) / maxPartsPerGroup;
    std::string name;
    for (const auto& it : zones)
        name += it + ",";
    for (std::size_t i = 0; i < shards.size(); ++i)
        m_groupOfShard[shards[i]] = m_groups.size() + i * count / shards.size();
    for (std::size_t i = 0; i < count; ++i)
        m_groups.push_back({ name + std::to_string(i), zones, {} });
}

/// Chooses the gatherers of all groups in a zone by rendezvous hashing, so that few groups move when an instance joins
/// or leaves. In each round every group gets one gatherer, and no instance is chosen again before all others are.
void GatherGroups::chooseGatherers(const std::string& zone, const std::vector<std::string>& instances)
{
    auto hasZone = [&](const Group& it) { return it.zones.contains(zone); };
    auto groupCount = static_cast<std::size_t>(std::count_if(m_groups.begin(), m_groups.end(), hasZone));
    if (instances.empty() || groupCount == 0)
        return;
    auto rounds = std::clamp(instances.size() / groupCount, choicesPerZone, maxGatherersPerZone);
    rounds = std::min(rounds, instances.size());
    auto unused = instances;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (auto& group : m_groups) {
            if (!hasZone(group))
                continue;
            if (unused.empty())
                unused = instances;
            auto& chosen = group.gatherers[zone];
            auto candidates = unused;
            std::erase_if(candidates, [&](const auto& it) { return std::ranges::find(chosen, it) != chosen.end(); });
            if (candidates.empty()) {
                candidates = instances;
                std::erase_if(
                    candidates, [&](const auto& it) { return std::ranges::find(chosen, it) != chosen.end(); });
            }
            chosen.push_back(rendezvousOwner(group.name, candidates));
            std::erase(unused, chosen.back());
        }
    }
}

std::vector<std::string> GatherGroups::preferredZones(std::size_t group, const std::string& ownZone) const
{
    const auto& it = m_groups[group];
    std::vector<std::string> order(it.zones.begin(), it.zones.end());
    std::erase(order, ownZone);
    if (!order.empty()) {
        auto first = hash64(ownZone, hash64(it.name)) % order.size();
        std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first), order.end());
    }
    if (it.zones.contains(ownZone))
        order.insert(order.begin(), ownZone);
    return order;
}

std::span<const std::string> GatherGroups::gatherers(std::size_t group, const std::string& zone) const
{
    auto found = m_groups[group].gatherers.find(zone);
    if (found == m_groups[group].gatherers.end())
        return {};
    return found->second;
}

std::vector<std::string> GatherGroups::gatherersFor(
    std::string_view instance, std::size_t group, const std::string& zone) const
{
    auto all = gatherers(group, zone);
    std::vector<std::string> order(all.begin(), all.end());
    if (!order.empty()) {
        auto first = hash64(instance, hash64(m_groups[group].name)) % order.size();
        std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first), order.end());
        order.resize(std::min(order.size(), choicesPerZone));
    }
    return order;
}

} // namespace citronplank
