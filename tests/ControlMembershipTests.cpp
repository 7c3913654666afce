// Open membership of the control log. Guards against a member that never joins, a lost voter that is not replaced, a
// majority that grows with each member, and an accepted configuration that is lost with a disk.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ControlHarness.h"

using namespace citronplank;
using namespace citronplank::testing;

namespace {

const std::vector<std::string> fourNames { "a", "b", "c", "d" };

/// Four members, of which a, b and c are the configured ones that create the cluster.
struct OpenCluster : Cluster {
    explicit OpenCluster(std::uint64_t seed)
        : Cluster(seed, fourNames)
    {
        configured = { "a", "b", "c" };
        openVoterTarget = 3;
    }
    Membership membership() { return replica(leader()).log().status().membership; }
    bool hasVoters(const std::set<std::string>& names)
    {
        if (leader().empty())
            return false;
        std::set<std::string> voters;
        for (const auto& it : membership().voters)
            voters.insert(it.name);
        return voters == names && membership().voters.size() == names.size();
    }
    bool put(std::uint64_t version)
    {
        if (leader().empty())
            return false;
        auto id = propose(leader(), PutDocument { version, "content " + std::to_string(version) });
        runUntil([&] { return answers().contains(id); }, 3000);
        return answers().contains(id) && answers()[id].status == ProposeStatus::Committed;
    }
    std::uint64_t documentAt(const std::string& name) { return replica(name).state().document().version; }
};

} // namespace

// Guards against a member outside the configured ones that never joins, or that becomes a voter although none is
// missing.
TEST_CASE("three configured members create one cluster, and a fourth member joins as a learner")
{
    OpenCluster cluster(1);
    cluster.startAll();
    REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty() && cluster.membership().learners.size() == 1; }));
    CHECK(cluster.hasVoters({ "a", "b", "c" }));
    CHECK(cluster.membership().learners[0].name == "d");
    REQUIRE(cluster.put(5));
    CHECK(cluster.runUntil([&] { return cluster.documentAt("d") == 5; }));
    CHECK(cluster.clusters.size() == 1);
}

// Guards against an older configuration that replaces a newer one.
TEST_CASE("the highest configuration version wins, in whatever order the versions are committed")
{
    OpenCluster cluster(2);
    cluster.startAll();
    REQUIRE(cluster.runUntilLeader());
    REQUIRE(cluster.put(7));
    REQUIRE(cluster.put(3));
    CHECK(cluster.documentAt(cluster.leader()) == 7);
    REQUIRE(cluster.put(9));
    CHECK(cluster.replica(cluster.leader()).state().document().content == "content 9");
}

// Guards against a lost voter that is not replaced, so that a second loss leaves no majority.
TEST_CASE("a voter that is lost permanently is replaced by the learner, and the loss of another one is survived")
{
    OpenCluster cluster(3);
    cluster.startAll();
    REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty() && cluster.membership().learners.size() == 1; }));
    REQUIRE(cluster.put(1));
    auto lost = cluster.leader();
    cluster.loseDisk(lost);
    auto left = std::set<std::string>(fourNames.begin(), fourNames.end());
    left.erase(lost);
    REQUIRE(cluster.runUntil([&] { return cluster.hasVoters(left); }));
    auto second = cluster.leader();
    cluster.loseDisk(second);
    REQUIRE(cluster.runUntil([&] { return cluster.put(2); }));
    for (const auto& it : left) {
        if (it != second)
            CHECK(cluster.runUntil([&] { return cluster.documentAt(it) == 2; }));
    }
}

// Guards against a majority that grows each time a replaced voter returns.
TEST_CASE("a voter that returns, empty or after a pause, leaves three voters and one learner")
{
    OpenCluster cluster(4);
    cluster.startAll();
    REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty() && cluster.membership().learners.size() == 1; }));
    auto leader = cluster.leader();
    std::string other = leader == "b" ? "c" : "b";
    SUBCASE("empty")
    {
        cluster.loseDisk(other);
        cluster.start(other);
    }
    SUBCASE("paused")
    {
        cluster.node(other).paused = true;
        cluster.run(6000);
        cluster.resume(other);
    }
    REQUIRE(cluster.runUntil([&] {
        return !cluster.leader().empty() && cluster.membership().voters.size() == 3
            && cluster.membership().learners.size() == 1;
    }));
    std::set<std::string> names;
    for (const auto& it : cluster.membership().voters)
        names.insert(it.name);
    CHECK(names.size() == 3);
    REQUIRE(cluster.put(4));
}

// Guards against a member outside the configured ones that creates a cluster of its own.
TEST_CASE("a member that is not configured creates no cluster and waits for one")
{
    Cluster cluster(5, fourNames);
    cluster.configured = { "a", "b", "c" };
    cluster.openVoterTarget = 3;
    cluster.start("d");
    cluster.run(10'000);
    CHECK(cluster.clusters.empty());
    cluster.startAll();
    CHECK(cluster.runUntil([&] { return cluster.replica("d").log().status().membership.cluster != 0; }));
}

// Guards against an accepted configuration that is lost although disks are lost only one at a time, while other members
// crash, pause and are partitioned.
TEST_CASE("no accepted configuration is lost under random faults and lost disks")
{
    for (std::uint64_t seed = 100; seed < 130; ++seed) {
        CAPTURE(seed);
        OpenCluster cluster(seed);
        cluster.startAll();
        REQUIRE(
            cluster.runUntil([&] { return !cluster.leader().empty() && cluster.membership().learners.size() == 1; }));
        std::uint64_t accepted = 0;
        for (std::uint64_t version = 1; version <= 20; ++version) {
            const auto& name = fourNames[cluster.random(4)];
            switch (cluster.random(5)) {
            case 0:
                cluster.crash(name);
                break;
            case 1:
                cluster.isolate(name);
                break;
            case 2:
                if (cluster.isUp(name))
                    cluster.node(name).paused = true;
                break;
            case 3:
                // A disk may be lost only while all other members are up and the previous loss is repaired.
                cluster.restoreLinks();
                cluster.startAll();
                cluster.runUntil([&] {
                    return !cluster.leader().empty() && cluster.membership().voters.size() == 3
                        && cluster.membership().learners.size() == 1;
                });
                cluster.run(3000);
                cluster.loseDisk(name);
                break;
            default:
                break;
            }
            if (cluster.put(version))
                accepted = version;
            if (cluster.random(2) == 0) {
                cluster.restoreLinks();
                cluster.startAll();
                cluster.run(4000);
            }
        }
        cluster.restoreLinks();
        cluster.startAll();
        REQUIRE(cluster.runUntil([&] { return cluster.put(1); }));
        CHECK(cluster.documentAt(cluster.leader()) >= accepted);
        CHECK(cluster.clusters.size() == 1);
    }
}
