#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ControlHarness.h"

using namespace citronplank;
using namespace citronplank::testing;

namespace {

const std::vector<std::string> threeNames { "atl", "mac", "sav" };

EditRules edit(const std::string& id, std::uint64_t base, const std::string& key, const std::string& value)
{
    return { id, "author-" + id, base, { { key, RuleLine { key, value, "test: " + id } } } };
}

std::string anotherThan(Cluster& cluster, const std::string& name)
{
    for (const auto& it : cluster.names()) {
        if (it != name)
            return it;
    }
    return {};
}

/// Commits one edit through the present leader and returns its log index.
std::uint64_t commitEdit(Cluster& cluster, const std::string& key, const std::string& value)
{
    REQUIRE(cluster.runUntilLeader());
    auto leader = cluster.leader();
    static int number = 0;
    auto id = cluster.propose(
        leader, edit(std::to_string(++number), cluster.replica(leader).state().rulesVersion(), key, value));
    REQUIRE(cluster.runUntil([&] { return cluster.answers().contains(id); }));
    REQUIRE(cluster.answers()[id].status == ProposeStatus::Committed);
    return cluster.answers()[id].index;
}

} // namespace

// Guards against a cluster that elects nobody, or commits without all members reaching the same state.
TEST_CASE("three empty members bootstrap, elect a leader and agree")
{
    Cluster cluster(1, threeNames);
    cluster.startAll();
    REQUIRE(cluster.runUntilLeader());
    commitEdit(cluster, "zone atl", "out");
    cluster.requireConvergence();
    CHECK(cluster.clusters.size() == 1);
    CHECK(cluster.replica("sav").state().lines().at("zone atl").line.value == "out");
    CHECK(cluster.replica("sav").log().freshnessMs() > 0);
}

// Guards against a member that raises its term while it is isolated and deposes a working leader when it returns.
TEST_CASE("an isolated member that returns does not disturb the leader")
{
    Cluster cluster(2, threeNames);
    cluster.startAll();
    commitEdit(cluster, "zone atl", "out");
    auto leader = cluster.leader();
    auto term = cluster.replica(leader).log().status().term;
    auto other = anotherThan(cluster, leader);
    cluster.isolate(other);
    cluster.run(60'000);
    CHECK_FALSE(cluster.replica(other).log().isLeader());
    commitEdit(cluster, "zone atl", "in");
    cluster.heal();
    cluster.run(5'000);
    CHECK(cluster.leader() == leader);
    CHECK(cluster.replica(leader).log().status().term == term);
    CHECK(cluster.replica(other).state().lines().at("zone atl").line.value == "in");
}

namespace {

/// One random event: a proposal, a crash, a restart, a partition, a freeze or a lost disk.
void disturb(Cluster& cluster, std::uint64_t& edits)
{
    const auto& name = cluster.names()[cluster.random(cluster.names().size())];
    const auto& other = cluster.names()[cluster.random(cluster.names().size())];
    switch (cluster.random(28)) {
    case 0:
        cluster.crash(name);
        break;
    case 1:
        cluster.cut(name, other);
        break;
    case 2:
        cluster.cutOneWay(name, other);
        break;
    case 3:
        cluster.isolate(name);
        break;
    case 4:
        cluster.node(name).frozen = true;
        break;
    case 5:
        if (cluster.isLossAllowed())
            cluster.loseDisk(name);
        break;
    case 6:
    case 7:
    case 13:
    case 14:
        cluster.heal();
        break;
    case 8:
    case 9:
    case 10:
    case 11:
    case 12:
        cluster.node(name).frozen = false;
        if (!cluster.node(name).replica)
            cluster.start(name);
        break;
    default:
        for (const auto& it : cluster.names()) {
            if (!cluster.isUp(it))
                continue;
            auto base = cluster.replica(it).state().rulesVersion();
            cluster.propose(it, edit("e" + std::to_string(++edits), base, "zone " + name, "out"));
        }
    }
}

} // namespace

// Guards against members that disagree, two leaders in one term, and the loss of a committed entry, under any mix of
// lost messages, crashes, partitions, freezes and lost disks. The harness checks each applied entry.
TEST_CASE("members agree and lose no committed entry under random faults")
{
    constexpr std::uint64_t seeds = 150;
    std::uint64_t committed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        Cluster cluster(
            seed, seed % 3 == 0 ? std::vector<std::string> { "atl", "aug", "mac", "sav", "sav2" } : threeNames);
        cluster.entriesPerSnapshot = 16;
        cluster.entriesKeptInMemory = seed % 5 * 4;
        cluster.startAll();
        REQUIRE(cluster.runUntilRepaired());
        cluster.dropPercent = seed % 4 * 7;
        cluster.greatestDelayMs = seed % 2 == 0 ? 5 : 60;
        std::uint64_t edits = 0;
        for (int i = 0; i < 400; ++i) {
            disturb(cluster, edits);
            cluster.run(cluster.random(300));
        }
        cluster.greatestDelayMs = 5;
        cluster.requireConvergence();
        CHECK(cluster.clusters.size() == 1);
        committed += cluster.history().size();
    }
    MESSAGE("committed entries in all runs: " << committed);
}
