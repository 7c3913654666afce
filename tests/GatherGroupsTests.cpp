// Tests of GatherGroups. They guard against groups that need more messages than zones have leaves, against instances
// that gather several groups while others gather none, and against groups that all change when one leaf is lost.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "query/GatherGroups.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace citronplank;

namespace {

const std::vector<std::string> zones { "atl", "sav", "mac", "aug", "col", "ath" };
constexpr std::size_t shards = 180;
constexpr std::size_t instancesPerZone = 49;

/// Each shard has leaves in three of the six zones.
std::vector<GatherGroups::Zones> leafZones()
{
    std::vector<GatherGroups::Zones> all;
    for (std::size_t i = 0; i < shards; ++i) {
        auto& it = all.emplace_back();
        for (std::size_t j = 0; j < 3; ++j)
            it.insert(zones[(i + j) % zones.size()]);
    }
    return all;
}

GatherGroups::InstancesByZone instances()
{
    GatherGroups::InstancesByZone all;
    for (const auto& zone : zones) {
        for (std::size_t i = 0; i < instancesPerZone; ++i)
            all[zone].push_back(zone + "-" + std::to_string(i));
    }
    return all;
}

/// Gatherer that an entry instance in `zone` uses for a shard.
std::string gathererFor(
    const GatherGroups& groups, std::size_t shard, const std::string& zone, std::string_view entry = "entry")
{
    auto group = groups.groupOf(shard);
    return groups.gatherersFor(entry, group, groups.preferredZones(group, zone).front()).front();
}

} // namespace

TEST_CASE("each group has leaves of all its shards in the same zones, and few groups cover all shards")
{
    GatherGroups groups(leafZones(), instances());
    CHECK(groups.size() == 12);
    std::map<std::size_t, std::set<GatherGroups::Zones>> zonesOfGroup;
    for (std::size_t i = 0; i < shards; ++i)
        zonesOfGroup[groups.groupOf(i)].insert(leafZones()[i]);
    CHECK(zonesOfGroup.size() == groups.size());
    for (const auto& [group, sets] : zonesOfGroup)
        CHECK(sets.size() == 1);
}

TEST_CASE("no instance gathers two groups, and entry instances prefer their own zone")
{
    GatherGroups groups(leafZones(), instances());
    std::set<std::string> used;
    std::size_t count = 0;
    std::size_t zonesOfGroups = 0;
    for (std::size_t group = 0; group < groups.size(); ++group) {
        for (const auto& zone : zones) {
            auto names = groups.gatherers(group, zone);
            if (names.empty())
                continue;
            used.insert(names.begin(), names.end());
            count += names.size();
            ++zonesOfGroups;
            CHECK(groups.preferredZones(group, zone).front() == zone);
            CHECK(names.size() >= GatherGroups::choicesPerZone);
            CHECK(names.size() <= GatherGroups::maxGatherersPerZone);
            auto chosen = groups.gatherersFor("entry", group, zone);
            CHECK(chosen.size() == GatherGroups::choicesPerZone);
            CHECK(chosen[0] != chosen[1]);
        }
    }
    CHECK(zonesOfGroups == 3 * groups.size());
    CHECK(used.size() == count);
}

// Guards against a gatherer that all entry instances use, while the others of its group get no requests.
TEST_CASE("entry instances divide among the gatherers of a group")
{
    GatherGroups groups(leafZones(), instances());
    auto group = groups.groupOf(0);
    auto zone = groups.preferredZones(group, "atl").front();
    std::map<std::string, std::size_t> counts;
    constexpr std::size_t entries = 294;
    for (std::size_t i = 0; i < entries; ++i)
        ++counts[groups.gatherersFor("entry-" + std::to_string(i), group, zone).front()];
    CHECK(counts.size() == groups.gatherers(group, zone).size());
    for (const auto& [name, n] : counts)
        CHECK(n <= 2 * entries / counts.size());
}

TEST_CASE("the parts of a zone without leaves are spread over the zones that have them")
{
    std::vector<GatherGroups::Zones> inThreeZones(shards, { "atl", "sav", "mac" });
    GatherGroups groups(inThreeZones, instances());
    std::map<std::string, std::size_t> counts;
    for (std::size_t i = 0; i < shards; ++i)
        ++counts[gathererFor(groups, i, "aug")];
    for (const auto& [name, n] : counts)
        CHECK(n <= GatherGroups::maxPartsPerGroup);
}

TEST_CASE("shards keep their gatherers when some leaves and instances are lost")
{
    GatherGroups before(leafZones(), instances());
    auto lostLeaves = leafZones();
    for (std::size_t i = 0; i < shards; i += 20)
        lostLeaves[i].erase(lostLeaves[i].begin());
    auto lostInstances = instances();
    lostInstances["atl"].pop_back();
    GatherGroups after(lostLeaves, lostInstances);
    CHECK(after.size() == before.size());
    std::size_t moved = 0;
    for (std::size_t i = 0; i < shards; ++i)
        moved += gathererFor(before, i, "atl") != gathererFor(after, i, "atl") ? 1 : 0;
    CHECK(moved <= shards / 6);
}

TEST_CASE("shards without leaves and zones without instances are no error")
{
    GatherGroups groups(std::vector<GatherGroups::Zones>(3), {});
    CHECK(groups.groupOf(2) < groups.size());
    CHECK(groups.preferredZones(groups.groupOf(0), "atl").empty());
    CHECK(groups.gatherers(0, "atl").empty());
    CHECK(GatherGroups(std::span<const GatherGroups::Zones>(), instances()).size() == 0);
}
