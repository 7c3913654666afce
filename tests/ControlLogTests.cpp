// Control log on simulated members: bootstrap, elections, commit, reads, replacement of members, snapshots.
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

std::string otherMember(Cluster& cluster, const std::string& name)
{
    for (const auto& it : cluster.names()) {
        if (it != name)
            return it;
    }
    return {};
}

/// Commits one edit through the current leader and returns its log index.
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

// Guards against a cluster that elects no leader, or commits without all members reaching the same state.
TEST_CASE("three empty members bootstrap, elect a leader and agree")
{
    Cluster cluster(1, threeNames);
    cluster.startAll();
    REQUIRE(cluster.runUntilLeader());
    commitEdit(cluster, "zone atl", "out");
    auto refused = cluster.propose(cluster.leader(), ChangeMembers {}); // only the log itself changes its members
    CHECK(cluster.answers().at(refused).status == ProposeStatus::Refused);
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
    auto other = otherMember(cluster, leader);
    // Its log is up to date and its requests arrive, so it is refused only because the third member has a live leader.
    cluster.disconnectOneWay(leader, other);
    cluster.run(30'000);
    cluster.restoreLinks();
    CHECK(cluster.replica(leader).log().status().term == term);
    cluster.isolate(other);
    cluster.run(60'000);
    CHECK_FALSE(cluster.replica(other).log().isLeader());
    commitEdit(cluster, "zone atl", "in");
    cluster.restoreLinks();
    cluster.run(5'000);
    CHECK(cluster.leader() == leader);
    CHECK(cluster.replica(leader).log().status().term == term);
    CHECK(cluster.replica(other).state().lines().at("zone atl").line.value == "in");
}

namespace {

/// One random event: a proposal, a crash, a restart, a partition, a pause or a lost disk.
void injectFault(Cluster& cluster, std::uint64_t& edits)
{
    const auto& name = cluster.names()[cluster.random(cluster.names().size())];
    const auto& other = cluster.names()[cluster.random(cluster.names().size())];
    auto event = cluster.random(28);
    if (event == 0)
        cluster.crash(name);
    else if (event == 1)
        cluster.disconnect(name, other);
    else if (event == 2)
        cluster.disconnectOneWay(name, other);
    else if (event == 3)
        cluster.isolate(name);
    else if (event == 4)
        cluster.node(name).paused = true;
    else if (event == 5 && cluster.isLossAllowed())
        cluster.loseDisk(name);
    else if (event < 10)
        cluster.restoreLinks();
    else if (event < 15)
        cluster.resume(name);
    for (const auto& it : cluster.names()) {
        if (event < 15 || !cluster.isUp(it))
            continue;
        auto base = cluster.replica(it).state().rulesVersion();
        cluster.propose(it, edit("e" + std::to_string(++edits), base, "zone " + name, "out"));
    }
}

} // namespace

// Guards against members that disagree, two leaders in one term, and the loss of a committed entry, under any mix of
// lost messages, crashes, partitions, pauses and lost disks. The harness checks each applied entry.
TEST_CASE("members agree and lose no committed entry under random faults")
{
    // The environment variables select other seeds, to reproduce a failure or for a longer run.
    const char* firstSeed = std::getenv("CONTROL_FIRST_SEED");
    const char* lastSeed = std::getenv("CONTROL_LAST_SEED");
    std::uint64_t first = firstSeed ? std::stoull(firstSeed) : 1;
    std::uint64_t last = lastSeed ? std::stoull(lastSeed) : std::max<std::uint64_t>(first, 150);
    std::uint64_t committed = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        Cluster cluster(
            seed, seed % 3 == 0 ? std::vector<std::string> { "atl", "aug", "mac", "sav", "sav2" } : threeNames);
        cluster.entriesPerSnapshot = 16;
        cluster.entriesKeptInMemory = seed % 5 * 4;
        cluster.startAll();
        REQUIRE(cluster.runUntilRepaired());
        cluster.dropPercent = seed % 4 * 7;
        cluster.maxDelayMs = seed % 2 == 0 ? 5 : 60;
        std::uint64_t edits = 0;
        for (int i = 0; i < 400; ++i) {
            injectFault(cluster, edits);
            cluster.run(cluster.random(300));
        }
        cluster.maxDelayMs = 5;
        cluster.requireConvergence();
        CHECK(cluster.clusters.size() == 1);
        committed += cluster.history().size();
    }
    MESSAGE("committed entries in all runs: " << committed);
}

// Guards against an old leader that still answers reads after its process was paused and another one was elected.
TEST_CASE("a leader whose process was paused does not answer as leader")
{
    Cluster cluster(3, threeNames);
    cluster.startAll();
    commitEdit(cluster, "zone atl", "out");
    auto old = cluster.leader();
    cluster.read(old);
    auto before = cluster.read(old); // shares a later round, whose answers wait while the process is paused
    cluster.node(old).paused = true;
    REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty(); }));
    commitEdit(cluster, "zone atl", "in");
    cluster.node(old).paused = false;
    REQUIRE(cluster.replica(old).log().isLeader()); // it has not noticed the new leader yet
    auto after = cluster.read(old);
    cluster.run(3'000);
    CHECK(cluster.reads().at(before) == false);
    CHECK(cluster.reads().at(after) == false);
    auto fresh = cluster.read(cluster.leader());
    cluster.run(1'000);
    CHECK(cluster.reads().at(fresh) == true);
}

// Guards against a leader without a majority that confirms reads, commits proposals or keeps its role.
TEST_CASE("an isolated leader confirms nothing and steps down")
{
    Cluster cluster(4, threeNames);
    cluster.startAll();
    commitEdit(cluster, "zone atl", "out");
    auto old = cluster.leader();
    cluster.isolate(old);
    auto freshness = cluster.replica(old).log().freshnessMs();
    auto read = cluster.read(old);
    auto proposal = cluster.propose(old, edit("lost", 0, "zone mac", "out"));
    cluster.run(1'500);
    CHECK_FALSE(cluster.replica(old).log().isLeader());
    CHECK(cluster.reads().at(read) == false);
    CHECK(cluster.answers().at(proposal).status == ProposeStatus::Unknown);
    CHECK(cluster.replica(old).log().freshnessMs() == freshness);
    REQUIRE(cluster.runUntilLeader());
    CHECK(cluster.leader() != old);
    cluster.requireConvergence();
    CHECK(cluster.replica(old).state().lines().count("zone mac") == 0);
}

// Guards against a repair that is reported complete although a second loss would lose the cluster.
TEST_CASE("a member with an empty disk is replaced, and a second loss right after the report is survived")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Cluster cluster(seed, threeNames);
        cluster.startAll();
        REQUIRE(cluster.runUntilRepaired());
        commitEdit(cluster, "zone atl", "out");
        auto first = cluster.names()[cluster.random(3)];
        for (const auto& lost : { first, otherMember(cluster, first), first }) {
            REQUIRE(cluster.isLossAllowed());
            cluster.loseDisk(lost);
            REQUIRE(cluster.runUntilLeader());
            commitEdit(cluster, "zone " + lost, "in");
            cluster.run(1'500);
            CHECK_FALSE(cluster.replica(cluster.leader()).log().status().repairComplete);
            cluster.start(lost);
            REQUIRE(cluster.runUntil([&] { return cluster.isLossAllowed(); }));
            auto status = cluster.replica(cluster.leader()).log().status();
            CHECK(status.membership.voters.size() == 3);
        }
        cluster.requireConvergence();
        CHECK(cluster.clusters.size() == 1);
        CHECK(cluster.replica("atl").state().lines().count("zone atl") == 1);
    }
}

// Guards against two clusters, or a cluster that some members can never join, when members start at different times
// and reach each other only in part.
TEST_CASE("bootstrap happens exactly once with partial reachability")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Cluster cluster(seed, threeNames);
        cluster.dropPercent = cluster.random(40);
        cluster.maxDelayMs = 1 + cluster.random(800);
        for (int i = 0; i < 20; ++i) {
            auto name = cluster.names()[cluster.random(3)];
            auto other = cluster.names()[cluster.random(3)];
            switch (cluster.random(6)) {
            case 0:
                cluster.crash(name);
                break;
            case 1:
                cluster.disconnectOneWay(name, other);
                break;
            case 2:
                cluster.restoreLinks();
                break;
            default:
                if (!cluster.node(name).replica)
                    cluster.start(name);
            }
            cluster.run(cluster.random(700));
        }
        cluster.maxDelayMs = 5;
        cluster.requireConvergence();
        CHECK(cluster.clusters.size() == 1);
    }
}

// Guards against a member that stays alone in a cluster whose creator lost its disk right after the bootstrap, when the
// bootstrap message arrives after the second bootstrap.
TEST_CASE("a late bootstrap message of a lost disk leaves no member in the wrong cluster")
{
    int orphaned = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        Cluster cluster(seed, threeNames);
        cluster.startAll();
        REQUIRE(cluster.runUntil([&] { return !cluster.clusters.empty(); }));
        // The messages of the first bootstrap are in flight now.
        cluster.holdMessages();
        cluster.loseDisk("atl");
        cluster.start("atl");
        cluster.maxDelayMs = 400;
        REQUIRE(cluster.runUntil([&] { return cluster.clusters.size() == 2; }));
        cluster.run(cluster.random(400));
        cluster.releaseMessages();
        cluster.run(100);
        orphaned += cluster.replica("mac").log().cluster() != cluster.replica("sav").log().cluster();
        cluster.maxDelayMs = 5;
        cluster.requireConvergence();
        for (const auto& it : threeNames)
            CHECK(cluster.replica(it).log().cluster() == cluster.replica("atl").log().cluster());
    }
    CHECK(orphaned > 0); // at least one run has produced the fault
}

// Guards against a planned stop of the leader that costs an election timeout.
TEST_CASE("leadership is transferred without an election timeout")
{
    Cluster cluster(8, threeNames);
    cluster.startAll();
    REQUIRE(cluster.runUntilRepaired());
    commitEdit(cluster, "zone atl", "out");
    auto old = cluster.leader();
    cluster.transferLeadership(old);
    CHECK(cluster.runUntil([&] { return !cluster.leader().empty() && cluster.leader() != old; }, 200));
    cluster.requireConvergence();
}

// Guards against new configured members that never get a vote.
TEST_CASE("a cluster of three grows to five")
{
    Cluster cluster(9, { "atl", "mac", "sav", "aug", "sav2" });
    cluster.configured = threeNames;
    for (const auto& it : threeNames)
        cluster.start(it);
    REQUIRE(cluster.runUntilRepaired());
    cluster.configured = cluster.names();
    for (const auto& it : threeNames)
        cluster.crash(it);
    cluster.requireConvergence();
    CHECK(cluster.replica("aug").log().status().membership.voters.size() == 5);
    CHECK(cluster.clusters.size() == 1);
}

// Guards against a start that creates a second cluster while a configured member cannot be asked.
TEST_CASE("no cluster is created while a configured member does not answer")
{
    Cluster cluster(5, threeNames);
    cluster.start("atl");
    cluster.start("mac");
    cluster.run(20'000);
    CHECK(cluster.clusters.empty());
    cluster.requireConvergence();
}

// Guards against entries lost or applied twice across snapshots, and a lagging member that never catches up.
TEST_CASE("hundreds of entries survive the restart of all members")
{
    Cluster cluster(6, threeNames);
    cluster.entriesKeptInMemory = 64;
    cluster.startAll();
    REQUIRE(cluster.runUntilRepaired());
    cluster.crash(otherMember(cluster, cluster.leader()));
    for (int i = 0; i < 900; ++i)
        commitEdit(cluster, "leaf l" + std::to_string(i % 50) + " limit", std::to_string(i));
    auto expected = cluster.replica(cluster.leader()).state().lines();
    CHECK(cluster.replica(cluster.leader()).log().status().snapshotIndex >= 768);
    for (const auto& it : threeNames)
        cluster.crash(it);
    cluster.requireConvergence();
    CHECK(cluster.replica("atl").state().lines() == expected);
    CHECK(cluster.history().size() >= 900);
}

// Guards against snapshots of a large state that are taken so often that the leader does nothing else, or never.
TEST_CASE("a large snapshot waits until the log has grown by half of it")
{
    Cluster cluster(10, { "atl" });
    cluster.smallSnapshotBytes = 10'000;
    cluster.entriesPerSnapshot = 8;
    cluster.startAll();
    auto snapshotIndex = [&] { return cluster.replica("atl").log().status().snapshotIndex; };
    auto begin = [&](const std::string& key, std::size_t bytes) {
        REQUIRE(cluster.runUntilLeader());
        cluster.propose("atl", BeginRequest { key, std::string(bytes, 'a'), 1, cluster.nowMs() });
    };
    for (int i = 0; i < 8; ++i)
        begin("large" + std::to_string(i), 10'000);
    auto first = snapshotIndex();
    CHECK(first > 0);
    for (int i = 0; i < 16; ++i)
        begin("small" + std::to_string(i), 10);
    CHECK(snapshotIndex() == first);
    for (int i = 8; i < 13; ++i)
        begin("large" + std::to_string(i), 10'000);
    CHECK(snapshotIndex() > first);
    cluster.crash("atl");
    cluster.requireConvergence();
}

// Guards against a member that continues to vote or acknowledge after a write has failed.
TEST_CASE("a failed write stops the control role and the others continue")
{
    Cluster cluster(7, threeNames);
    cluster.startAll();
    commitEdit(cluster, "zone atl", "out");
    auto old = cluster.leader();
    cluster.node(old).disk->failing = true;
    auto lost = cluster.propose(old, edit("lost", 0, "zone mac", "out"));
    CHECK(cluster.answers().at(lost).status == ProposeStatus::Unknown);
    CHECK(cluster.node(old).failure == "injected failure");
    cluster.node(old).disk->failing = false;
    CHECK(cluster.replica(old).log().isStopped());
    commitEdit(cluster, "zone atl", "in");
    CHECK(cluster.leader() != old);
    auto later = cluster.propose(old, edit("later", 0, "zone sav", "out"));
    CHECK(cluster.answers().at(later).status == ProposeStatus::NotLeader);
    cluster.crash(old);
    cluster.requireConvergence();
}

namespace {

/// Member atl in term 3, with a log whose last entry is of term 2; the test acts as mac and sav.
struct SingleMember {
    SingleMember()
    {
        Membership membership { 7, { { "atl", 1 }, { "mac", 2 }, { "sav", 3 } }, {} };
        disk->content.vote = { 3, {} };
        disk->content.entries
            = { { 1, 1, 1, ChangeMembers { membership } }, { 2, 2, 9, edit("old", 0, "zone atl", "out") } };
        restart();
    }
    void restart()
    {
        log.emplace(storage, ControlLogSettings { "atl", threeNames, 1, [this](TimePoint) { return wallMs; } }, now);
    }
    /// Delivers a message of another member; a `term` of 0 stands for the current term of atl.
    ControlOutput from(const std::string& name, DiskIdentity sender, ControlBody body, std::uint64_t term = 0)
    {
        return log->receive(name, { 7, { name, sender }, 1, term ? term : log->status().term, std::move(body) }, now);
    }
    /// Makes atl the leader of term 4 with the vote of mac.
    ControlOutput elect()
    {
        log->tick(now += seconds(2));
        auto votes = from("mac", 2, PreVoteAnswer { 4, true }, 2); // mac is still in an older term
        REQUIRE(votes.messages.size() == 2);
        CHECK(disk->content.vote == VoteRecord { 4, { "atl", 1 } }); // stored before the requests are sent
        auto output = from("mac", 2, VoteAnswer { true });
        REQUIRE(log->isLeader());
        return output;
    }
    std::shared_ptr<MemoryDisk> disk = std::make_shared<MemoryDisk>(MemoryDisk { 1, {}, {}, false });
    MemoryStorage storage { disk };
    std::uint64_t wallMs = 5;
    TimePoint now;
    std::optional<ControlLog<MemoryStorage>> log;
};

} // namespace

// Guards against an entry of an earlier term that is committed because a majority holds it and later replaced by
// another leader, and against reads and freshness of a leader that does not know yet what is committed.
TEST_CASE("nothing is committed or confirmed before an entry of the leader's own term")
{
    SingleMember atl;
    atl.elect();
    REQUIRE(atl.log->status().lastIndex == 3);
    atl.log->confirmLeadership(1, atl.now);
    auto output = atl.from("mac", 2, AppendAnswer { true, 2, 2 }); // a majority answers the round of the read
    CHECK(output.committed.empty());
    CHECK(output.reads.empty());
    CHECK_FALSE(output.freshness);
    output = atl.from("mac", 2, AppendAnswer { true, 3, 2 });
    REQUIRE(output.committed.size() == 3);
    REQUIRE(output.reads.size() == 1);
    CHECK(output.reads.front().confirmed);
    // The wall clock of this leader is behind; the state clock must not go back.
    CHECK(output.committed.back().timestampMs == 9);
}

// Guards against a freshness timestamp that decreases when the wall clock is set back.
TEST_CASE("freshness timestamps increase")
{
    SingleMember atl;
    atl.elect();
    atl.from("mac", 2, AppendAnswer { true, 3, 1 });
    std::uint64_t last = 0;
    for (std::uint64_t wall : { 100, 50, 60, 200 }) {
        atl.wallMs = wall;
        atl.log->tick(atl.now += milliseconds(600));
        auto output = atl.from("mac", 2, AppendAnswer { true, 3, UINT64_MAX });
        REQUIRE(output.freshness);
        CHECK(output.freshness->timestampMs > last);
        last = output.freshness->timestampMs;
    }
}

// Guards against a second vote in one term after a restart.
TEST_CASE("a vote is stored before it is answered")
{
    SingleMember atl;
    auto first = atl.from("mac", 2, Vote { 2, 2 }, 4);
    CHECK(std::get<VoteAnswer>(first.messages.at(0).message.body).granted);
    atl.restart();
    auto second = atl.from("sav", 3, Vote { 2, 2 }, 4);
    CHECK_FALSE(std::get<VoteAnswer>(second.messages.at(0).message.body).granted);
    auto again = atl.from("mac", 2, Vote { 2, 2 }, 4);
    CHECK(std::get<VoteAnswer>(again.messages.at(0).message.body).granted);
}

// Guards against a delayed probe that starts the replacement of a live member, and against a learner that belongs to
// another cluster and can never follow.
TEST_CASE("neither a second identity of a live member nor a member of another cluster is added")
{
    SingleMember atl;
    atl.elect();
    atl.from("mac", 2, AppendAnswer { true, 3, 1 });
    atl.from("mac", 8, Probe { true });
    atl.log->receive("sav", { 6, { "sav", 9 }, 0, 1, Probe { false } }, atl.now);
    atl.log->tick(atl.now);
    CHECK(atl.log->status().lastIndex == 3);
    atl.from("sav", 9, Probe { true });
    atl.log->tick(atl.now);
    CHECK(atl.log->status().membership.learners == std::vector<ControlMember> { { "sav", 9 } });
}

// Guards against a repair that stalls because the new identity is lost before it has a vote.
TEST_CASE("a learner that loses its disk or stops answering does not block the repair")
{
    Cluster cluster(11, threeNames);
    cluster.startAll();
    REQUIRE(cluster.runUntilRepaired());
    auto lost = otherMember(cluster, cluster.leader());
    auto learners = [&] {
        auto name = cluster.leader();
        return name.empty() ? 0 : cluster.replica(name).log().status().membership.learners.size();
    };
    for (int i = 0; i < 3; ++i) {
        cluster.loseDisk(lost);
        cluster.start(lost);
        REQUIRE(cluster.runUntil([&] { return learners() == 1; }));
        cluster.crash(lost);
    }
    CHECK(cluster.runUntil([&] { return learners() == 0; }));
    cluster.requireConvergence();
}

// Guards against a peer of another version that makes the log throw or store entries with a gap.
TEST_CASE("entries that are not consecutive are dropped")
{
    auto disk = std::make_shared<MemoryDisk>(MemoryDisk { 1, {}, {}, false });
    MemoryStorage storage(disk);
    ControlLog<MemoryStorage> log(storage, { "atl", threeNames, 1, [](TimePoint) { return std::uint64_t { 1 }; } }, {});
    Append append { 0, 0, 0, 1, 0, { { 1, 1, 1, NoOp {} }, { 3, 1, 1, NoOp {} } } };
    CHECK(log.receive("mac", { 7, { "mac", 2 }, 1, 1, append }, {}).messages.empty());
    CHECK(disk->content.entries.empty());
}
