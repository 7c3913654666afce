// Groups of shards, and the entry instances that gather them, for deployments with many small entry instances.
//
//   GatherGroups groups(zonesOfShards, instancesByZone);
//   auto group = groups.groupOf(shard);
//   for (const auto& zone : groups.preferredZones(group, ownZone))
//       groups.gatherers(group, zone); // first choice first
//
// A small instance cannot send hundreds of parts within a latency objective, so a gather is divided into groups of
// shards that have leaves in the same zones. In each of these zones one instance gathers a group for the entry
// instances of all zones: its connections to the leaves of its zone stay open, and it sends to each leaf often enough
// to detect a slow one.
#pragma once

#include "citronplank.h"

#include <map>

namespace citronplank {

/// Immutable. Instances that know the same leaves and instances determine the same groups; if they know a few different
/// ones, few groups differ. Thread safe.
class GatherGroups {
public:
    using Zones = std::set<std::string, std::less<>>;
    using InstancesByZone = std::map<std::string, std::vector<std::string>>;

    /// Maximum number of shards of a group. An instance with 0.12 of a core needs about 12 ms to send that many parts
    /// and to receive their answers. More groups mean more messages of the entry instance, whose time adds to it.
    static constexpr std::size_t maxPartsPerGroup = 20;
    /// Minimum number of instances of a zone that may gather a group, if the zone has as many: the gatherer, and one
    /// that replaces it while it does not answer.
    static constexpr std::size_t choicesPerZone = 2;
    /// Maximum number of instances of a zone among which the entry instances are divided. With more, each of them would
    /// send to its leaves too rarely to detect slow ones.
    static constexpr std::size_t maxGatherersPerZone = 8;

    GatherGroups() = default;
    /// `zonesOfShards` has the zones with leaves of each shard.
    GatherGroups(std::span<const Zones> zonesOfShards, const InstancesByZone&);

    std::size_t size() const { return m_groups.size(); }
    /// Precondition: `shard` is the index of a shard.
    std::size_t groupOf(std::size_t shard) const { return m_groupOfShard[shard]; }
    /// Returns the zones of a group in the order in which the entry instances of `ownZone` use them: their own zone
    /// first, the others in an order that differs between groups, so that no zone gathers all groups of another one.
    std::vector<std::string> preferredZones(std::size_t group, const std::string& ownZone) const;
    /// Returns the instances of a zone that gather a group. Different groups have different ones as long as the zone
    /// has enough instances. Empty if the zone has no instances or is none of the group's.
    std::span<const std::string> gatherers(std::size_t group, const std::string& zone) const;
    /// Returns the instances of `gatherers` that `instance` sends to, first choice first. The choices of all entry
    /// instances spread evenly over the gatherers and are stable, so that few links are open.
    std::vector<std::string> gatherersFor(std::string_view instance, std::size_t group, const std::string& zone) const;

private:
    struct Group {
        std::string name; // its zones and its number among the groups with these zones
        Zones zones;
        std::map<std::string, std::vector<std::string>> gatherers; // by zone
    };
    void addGroups(const Zones&, std::span<const std::size_t> shards);
    void chooseGatherers(const std::string& zone, const std::vector<std::string>& instances);

    std::vector<Group> m_groups;
    std::vector<std::size_t> m_groupOfShard;
};

} // namespace citronplank
