#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tests/SimulatedGossip.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

bool hasAliveMembers(Gossip& gossip, std::size_t count)
{
    std::size_t alive = 0;
    for (const auto& member : gossip.members())
        alive += member.status == MemberStatus::Alive ? 1 : 0;
    return alive == count;
}

std::optional<MemberStatus> statusOf(Gossip& gossip, const std::string& name)
{
    for (const auto& member : gossip.members())
        if (member.instance.name == name)
            return member.status;
    return std::nullopt;
}

auto hasItem(const std::string& key, const std::string& payload)
{
    return [=](Gossip& gossip) {
        const auto item = gossip.item(key);
        return item && item->payload == payload;
    };
}

std::size_t deadEventCount(SimulatedGossip& group)
{
    std::size_t count = 0;
    for (const auto& node : group.nodes())
        for (const auto& event : node.events)
            count += event.status == MemberStatus::Dead ? 1 : 0;
    return count;
}

} // namespace

// Guards against members that never learn of each other when datagrams are lost during the start.
TEST_CASE("members that know only seeds find each other under loss")
{
    SimulatedGossip group(24, 1, 0.2);
    CHECK(group.runUntil([](Gossip& gossip) { return hasAliveMembers(gossip, 24); }, seconds(30)));
}

// Guards against an update whose dissemination stops before it has reached every member.
TEST_CASE("an item reaches every member under heavy loss")
{
    SimulatedGossip group(24, 2, 0.0);
    REQUIRE(group.runUntil([](Gossip& gossip) { return hasAliveMembers(gossip, 24); }, seconds(30)));
    group.setLoss(0.25);
    for (int i = 0; i < 20; ++i)
        group.processOutput(0, group.at(0).publish("key-" + std::to_string(i), "value", group.now()));
    CHECK(group.runUntil([](Gossip& gossip) { return gossip.items().size() == 20; }, seconds(60)));
}

// Guards against groups that stay separate after a partition in which each side declared the other dead.
TEST_CASE("a partitioned group merges again and exchanges what changed")
{
    SimulatedGossip group(12, 3, 0.0);
    REQUIRE(group.runUntil([](Gossip& gossip) { return hasAliveMembers(gossip, 12); }, seconds(30)));
    group.setReachable([](std::size_t a, std::size_t b) { return (a < 6) == (b < 6); });
    REQUIRE(group.runUntil([](Gossip& gossip) { return hasAliveMembers(gossip, 6); }, seconds(60)));
    group.processOutput(0, group.at(0).publish("left", "1", group.now()));
    group.processOutput(11, group.at(11).publish("right", "2", group.now()));
    group.run(seconds(20));
    CHECK_FALSE(group.at(11).item("left"));
    group.setReachable({});
    CHECK(group.runUntil([](Gossip& gossip) { return hasAliveMembers(gossip, 12); }, seconds(30)));
    CHECK(group.runUntil(hasItem("left", "1"), seconds(30)));
    CHECK(group.runUntil(hasItem("right", "2"), seconds(30)));
}

// Guards against a removed item that is reintroduced by a member which was partitioned.
TEST_CASE("a removed item is not brought back after a partition")
{
    SimulatedGossip group(8, 4, 0.0);
    group.processOutput(0, group.at(0).publish("leaf/a", "1", group.now()));
    REQUIRE(group.runUntil(hasItem("leaf/a", "1"), seconds(30)));
    group.setReachable([](std::size_t a, std::size_t b) { return (a < 2) == (b < 2); });
    group.run(seconds(10));
    group.processOutput(0, group.at(0).remove("leaf/a", group.now()));
    group.run(seconds(60));
    CHECK(group.at(5).item("leaf/a"));
    group.setReachable({});
    const auto isRemoved = [](Gossip& gossip) { return !gossip.item("leaf/a"); };
    CHECK(group.runUntil(isRemoved, seconds(30)));
    for (int i = 0; i < 20; ++i) {
        group.run(seconds(1));
        for (auto& node : group.nodes())
            CHECK(isRemoved(*node.gossip));
    }
}

// Guards against a restarted publisher whose first versions are older than those from before the restart.
TEST_CASE("a restarted member replaces its earlier items")
{
    SimulatedGossip group(6, 5, 0.0);
    for (int i = 0; i < 9; ++i)
        group.processOutput(4, group.at(4).publish("freshness", std::to_string(i), group.now()));
    REQUIRE(group.runUntil(hasItem("freshness", "8"), seconds(30)));
    group.stop(4);
    group.run(milliseconds(300));
    group.start(4);
    group.processOutput(4, group.at(4).publish("freshness", "new", group.now()));
    CHECK(group.runUntil(hasItem("freshness", "new"), seconds(30)));
    // Another publisher takes over the key; its own incarnation may be smaller.
    group.processOutput(2, group.at(2).publish("freshness", "other", group.now()));
    CHECK(group.runUntil(hasItem("freshness", "other"), seconds(30)));
}

// Guards against a failed member that is still reported as alive, and against one that has left being reported dead.
TEST_CASE("a failed member is reported as dead and a leaving one as left")
{
    SimulatedGossip group(16, 6, 0.05);
    REQUIRE(group.runUntil([](Gossip& gossip) { return hasAliveMembers(gossip, 16); }, seconds(30)));
    group.stop(7);
    group.processOutput(9, group.at(9).leave(group.now()));
    group.run(seconds(1));
    group.stop(9);
    CHECK(group.runUntil(
        [](Gossip& gossip) {
            return statusOf(gossip, "entry-7") == MemberStatus::Dead
                && statusOf(gossip, "entry-9") == MemberStatus::Left;
        },
        seconds(10)));
}

// Guards against live members that are declared dead because of 5% loss or a paused member.
TEST_CASE("loss of 5% and a short pause of a process cause no false positive")
{
    SimulatedGossip group(32, 7, 0.05);
    REQUIRE(group.runUntil([](Gossip& gossip) { return hasAliveMembers(gossip, 32); }, seconds(30)));
    group.run(seconds(60));
    CHECK(deadEventCount(group) == 0);
    std::uint64_t refutations = 0;
    group.pause(5, milliseconds(1500));
    group.run(seconds(20));
    for (auto& node : group.nodes())
        refutations += node.gossip->counters().refutations;
    CHECK(deadEventCount(group) == 0);
    CHECK(refutations > 0); // the pause was noticed, so the refutation is what prevented the false positive
}

// Guards against a refutation that arrives too late because many other updates use up the budget.
TEST_CASE("a refuted suspicion causes no false positive while many other updates spread")
{
    constexpr std::size_t count = 48;
    constexpr int itemsPerMember = 20;
    for (std::uint64_t seed : { 21, 22, 23 }) {
        CAPTURE(seed);
        SimulatedGossip group(count, seed, 0.05);
        REQUIRE(group.runUntil([](Gossip& gossip) { return hasAliveMembers(gossip, count); }, seconds(60)));
        group.run(seconds(30));
        for (std::size_t i = 0; i < count; ++i) {
            for (int item = 0; item < itemsPerMember; ++item)
                group.at(i).publish(
                    "leaf/" + std::to_string(i) + "-" + std::to_string(item), std::string(110, 'x'), group.now());
        }
        // Long enough for some probes of the member to fail, too short for a suspicion to expire.
        group.setReachable([](std::size_t from, std::size_t to) { return from != 7 && to != 7; });
        group.run(milliseconds(1500));
        group.setReachable(nullptr);
        group.run(seconds(30));
        std::uint64_t suspicions = 0;
        for (const auto& node : group.nodes())
            suspicions += node.gossip->counters().suspicions;
        CHECK(suspicions > 0);
        CHECK(deadEventCount(group) == 0);
    }
}

// Guards against gossip traffic that exceeds its budget while there is much to disseminate.
TEST_CASE("no member sends more than its budget")
{
    GossipSettings settings;
    settings.bytesPerSecond = 1200;
    settings.burstBytes = 4000;
    SimulatedGossip group(16, 8, 0.05, settings);
    const auto begin = group.now();
    for (int i = 0; i < 200; ++i)
        group.processOutput(0, group.at(0).publish("leaf/" + std::to_string(i), std::string(150, 'x'), group.now()));
    for (int second = 1; second <= 60; ++second) {
        group.run(seconds(1));
        const auto elapsed = std::chrono::duration<double>(group.now() - begin).count();
        for (auto& node : group.nodes())
            CHECK(static_cast<double>(node.gossip->counters().bytesSent) <= 4000 + 1200 * elapsed);
    }
}

// Guards against a crash or a wrong state caused by damaged or hostile datagrams.
TEST_CASE("malformed datagrams are counted and dropped")
{
    SimulatedGossip group(3, 9, 0.0);
    REQUIRE(group.runUntil([](Gossip& gossip) { return hasAliveMembers(gossip, 3); }, seconds(30)));
    auto& gossip = group.at(0);
    std::mt19937_64 random(9);
    const auto good = encodeGossipMessage({ "entry-1", GossipPing { 1, "entry-0" } })
        + encodeGossipRecord({ GossipRecordKind::Item, "k", 1, 1, 0, "entry-1", "v" });
    for (int i = 0; i < 20'000; ++i) {
        auto bytes = good.substr(0, random() % (good.size() + 1));
        for (auto n = random() % 3; n > 0 && !bytes.empty(); --n)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        gossip.receive("10.0.0.1:7002", bytes, group.now());
    }
    CHECK(gossip.counters().malformed > 1000);
    CHECK_FALSE(decodeGossipDatagram(std::string(gossipDatagramBytes + 1, '\0')));
    CHECK_THROWS_AS(gossip.publish("key", std::string(maxItemBytes, 'x'), group.now()), Error);
}
