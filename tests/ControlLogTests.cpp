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
