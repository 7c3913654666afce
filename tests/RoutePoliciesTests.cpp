// Tests of RoutePolicies. They guard against exceeding the shared budget during restarts and membership changes,
// against sending to excluded leaves, against overloading a leaf that is warming up, and against too many connections
// or relay links if there are many entry instances.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "query/RoutePolicies.h"

#include <doctest/doctest.h>
#include <random>

using namespace citronplank;

namespace {

Announcement leafOf(const std::string& name, const std::string& service, const std::string& zone = "atl")
{
    Announcement it;
    it.leaf = name;
    it.service = service;
    it.zone = zone;
    it.address = "10.0.0.1:80";
    it.boot = 1;
    it.slots = 2;
    return it;
}

std::size_t takeAll(RoutePolicies& policies)
{
    std::size_t n = 0;
    while (policies.tryTakeExtra("list") && n < 1000)
        ++n;
    return n;
}

const TimePoint start {};
constexpr milliseconds typical { 10 };

} // namespace

TEST_CASE("extra requests stay within the shared budget while all instances restart and membership changes")
{
    SharedBounds bounds;
    bounds.extraRatio = 0.2;
    bounds.extraBurst = 54;
    constexpr std::size_t instances = 7;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < instances; ++i)
        names.push_back("front-" + std::to_string(i));
    std::size_t extra = 0;
    // Each instance spends its budget, sees a membership change for each of the others, then restarts and repeats this.
    for (const auto& name : names) {
        for (int run = 0; run < 2; ++run) {
            RoutePolicies policies(name, "atl");
            policies.setBounds(bounds);
            policies.setEntryInstances(names);
            extra += takeAll(policies);
            for (std::size_t removed = 0; removed < instances; ++removed) {
                auto others = names;
                others.erase(others.begin() + static_cast<std::ptrdiff_t>(removed));
                policies.setEntryInstances(others);
                extra += takeAll(policies);
                policies.setEntryInstances(names);
                extra += takeAll(policies);
            }
        }
    }
    CHECK(static_cast<double>(extra) <= bounds.extraBurst);
}

TEST_CASE("no requests are sent to a leaf that is draining, excluded or in a zone taken out of service")
{
    RoutePolicies policies("front-1", "atl");
    auto draining = leafOf("a", "list");
    draining.draining = true;
    policies.setLeaves({ draining, leafOf("b", "list"), leafOf("c", "list", "sav") }, start);
    policies.setZonesOut({ "sav" });
    const auto* leaf = policies.pick("list", {}, typical, start);
    REQUIRE(leaf);
    CHECK(leaf->leaf == "b");
    policies.exclude(*leaf);
    CHECK_FALSE(policies.pick("list", {}, typical, start));
    CHECK_FALSE(policies.hasLeaf("list"));
    policies.setZonesOut({});
    CHECK(policies.hasLeaf("list"));
    SUBCASE("an excluded leaf can be used after a restart")
    {
        auto again = leafOf("b", "list");
        again.boot = 2;
        policies.setLeaves({ again }, start);
        CHECK(policies.hasLeaf("list"));
    }
}

TEST_CASE("all instances together stay within the request limit of a cold leaf")
{
    std::vector<std::string> names { "front-1", "front-2", "front-3", "front-4", "front-5", "front-6", "front-7" };
    SharedBounds bounds;
    bounds.coldAllowance = 5;
    auto cold = leafOf("cold", "list");
    cold.warmupLeft = milliseconds(3000);
    std::size_t sent = 0;
    for (const auto& name : names) {
        RoutePolicies policies(name, "atl");
        policies.setBounds(bounds);
        // During a membership change two instances may both consider themselves the sender.
        policies.setEntryInstances(name == "front-1" ? std::vector<std::string> { "front-1" } : names);
        policies.setLeaves({ cold }, start);
        for (int i = 0; i < 100; ++i) {
            auto now = start + milliseconds(10 * i);
            if (const auto* leaf = policies.pick("list", {}, typical, now)) {
                policies.onStart(*leaf, static_cast<std::uint64_t>(i), typical, now);
                ++sent;
            }
        }
    }
    CHECK(sent <= 5);
    CHECK(sent > 0);
}

TEST_CASE("a warm leaf is preferred to a cold one, and a cold one is used after its warm-up")
{
    RoutePolicies policies("front-1", "atl");
    auto cold = leafOf("a", "list");
    cold.warmupLeft = milliseconds(3000);
    policies.setLeaves({ cold, leafOf("b", "list", "sav") }, start);
    CHECK(policies.pick("list", {}, typical, start)->leaf == "b");
    CHECK(policies.pick("list", {}, typical, start + milliseconds(3000))->leaf == "a");
}

// Guards against requests to a service of weight 0, and against a wrong split between an old and a new service.
TEST_CASE("requests are spread in proportion to the weights")
{
    RoutePolicies policies("front-1", "atl");
    Route route;
    route.name = "split";
    route.targets = { { "old", 3 }, { "new", 1 }, { "none", 0 } };
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i)
        ++counts[policies.chooseTarget(route)];
    CHECK(counts["old"] == 75);
    CHECK(counts["new"] == 25);
    CHECK(counts["none"] == 0);
}

// Guards against hundreds of requests in a row to one target after a version with weights of another magnitude.
TEST_CASE("new weights are in force at once")
{
    RoutePolicies policies("front-1", "atl");
    Route route;
    route.name = "split";
    route.targets = { { "old", 1000 }, { "new", 1 } };
    for (int i = 0; i < 500; ++i)
        policies.chooseTarget(route);
    route.targets = { { "old", 1 }, { "new", 1 } };
    int n = 0;
    for (int i = 0; i < 10; ++i)
        n += policies.chooseTarget(route) == "new" ? 1 : 0;
    CHECK(n == 5);
}

// Guards against memory that grows with each send, and with each leaf that requests were ever sent to.
TEST_CASE("the rate limit of cold leaves remembers the sends of its window only")
{
    ColdStartRateLimit limit;
    TimePoint now { seconds(1) };
    for (int i = 0; i < 10000; ++i, now += milliseconds(11))
        limit.onSend("leaf-" + std::to_string(i / 1000), now);
    CHECK(limit.size() <= 1000); // 100 for each leaf
    limit.trim(now);
    CHECK(limit.size() <= 100);
    CHECK_FALSE(limit.allows("leaf-9", 100, now));
    CHECK(limit.allows("leaf-8", 100, now));
}

// Guards against a leaf that is never used because each change of the directory restarts its warm-up.
TEST_CASE("the warm-up of a leaf ends on time although the directory changes meanwhile")
{
    RoutePolicies policies("front-1", "atl");
    policies.setEntryInstances({ "another" });
    auto cold = leafOf("a", "list");
    cold.warmupLeft = milliseconds(3000);
    policies.setLeaves({ cold }, start);
    CHECK_FALSE(policies.pick("list", {}, typical, start));
    for (int i = 1; i <= 10; ++i)
        policies.setLeaves({ cold, leafOf("other" + std::to_string(i), "other") }, start + milliseconds(300 * i));
    CHECK(policies.pick("list", {}, typical, start + milliseconds(3000)));
}

// Guards against an instance that reports itself ready while it refuses most requests. The counts of requests decay, so
// it must also remain not ready when no further requests arrive.
TEST_CASE("an entry instance whose callers cannot be served is not ready, regardless of idle routes it could serve")
{
    RoutePolicies policies("front-1", "atl");
    ServingConfiguration configuration;
    configuration.version = 1;
    for (int i = 0; i < 10; ++i) {
        Route idle;
        idle.name = "idle" + std::to_string(i);
        idle.targets = { { "ledger", 1 } };
        configuration.routes.push_back(idle);
    }
    Route gather;
    gather.name = "list";
    gather.shards = { "s1", "s2", "s3", "s4" };
    gather.minCoverage = 0.75;
    configuration.routes.push_back(gather);
    policies.setTable(std::make_shared<const RouteTable>(configuration));
    policies.setLeaves(
        { leafOf("l", "ledger"), leafOf("a", "s1"), leafOf("b", "s2"), leafOf("c", "s3"), leafOf("d", "s4", "sav") },
        start);
    CHECK(policies.canServe());
    for (int i = 0; i < 50; ++i)
        policies.onRequest(gather);
    CHECK(policies.canServe());
    // Two of four shards are unreachable.
    policies.setLeaves({ leafOf("l", "ledger"), leafOf("a", "s1"), leafOf("b", "s2") }, start);
    CHECK_FALSE(policies.canServe());
    for (int i = 0; i < 1000; ++i)
        policies.canServe();
    CHECK_FALSE(policies.canServe());
    policies.setLeaves({ leafOf("l", "ledger"), leafOf("a", "s1"), leafOf("b", "s2"), leafOf("c", "s3") }, start);
    CHECK(policies.canServe());
}

namespace {

/// 16 entry instances in each of 4 zones, and a route to two services whose leaves accept 55 connections.
struct ManyInstances {
    static constexpr std::size_t instancesPerZone = 16;
    static constexpr std::uint32_t leafConnections = 55;

    ManyInstances()
    {
        route.name = "r";
        route.shards = { "list", "list2" };
        ServingConfiguration configuration;
        configuration.version = 1;
        configuration.routes = { route };
        configuration.services["list"].connections = leafConnections;
        configuration.services["list2"].connections = leafConnections;
        policies.setTable(std::make_shared<const RouteTable>(std::move(configuration)));
        std::vector<std::string> names;
        std::map<std::string, std::vector<std::string>> peers;
        for (const auto* zone : { "atl", "sav", "mac", "aug" }) {
            for (std::size_t i = 0; i < instancesPerZone; ++i) {
                names.push_back(zone + std::to_string(i));
                if (names.back() != "atl0")
                    peers[zone].push_back(names.back());
            }
        }
        policies.setEntryInstances(names);
        policies.setPeers(peers);
    }

    Route route;
    RoutePolicies policies { "atl0", "atl" };
};

} // namespace

// Guards against a second simultaneous request that has to wait for a connection to the leaf of its own zone.
TEST_CASE("with many entry instances, those of a leaf's zone get connections for two simultaneous requests each")
{
    ManyInstances it;
    auto near = it.policies.connectionLimit(leafOf("a", "list", "atl"));
    CHECK(near >= 2);
    CHECK(near * ManyInstances::instancesPerZone <= ManyInstances::leafConnections);
    CHECK(it.policies.connectionLimit(leafOf("b", "list", "sav")) == 1);
}

// Guards against links to all instances of the other zones, and against peers that get too few requests to detect slow
// leaves.
TEST_CASE("with many entry instances, parts of other zones of any size are relayed, always by the same few peers")
{
    ManyInstances it;
    it.policies.setLeaves({ leafOf("a", "list", "sav"), leafOf("b", "list2", "sav") }, start);
    std::set<std::string> used;
    for (int i = 0; i < 50; ++i) {
        auto plans = it.policies.planRelays(it.route, start);
        REQUIRE(plans.size() == 1);
        CHECK(plans.front().shardIndices.size() == 2);
        used.insert(plans.front().peer);
    }
    CHECK(used.size() <= 2);
}

// Guards against groups of one route that are used for another.
TEST_CASE("routes that gather different shards, the first of which is the same, have groups of their own")
{
    ManyInstances it;
    Route longRoute;
    longRoute.name = "long";
    std::vector<Announcement> leaves;
    for (int i = 0; i < 100; ++i) {
        longRoute.shards.push_back("list" + std::string(i == 0 ? "" : std::to_string(i + 1)));
        leaves.push_back(leafOf("leaf" + std::to_string(i), longRoute.shards.back(), i % 2 == 0 ? "sav" : "mac"));
    }
    ServingConfiguration configuration;
    configuration.version = 2;
    configuration.routes = { it.route, longRoute };
    for (const auto& shard : longRoute.shards)
        configuration.services[shard].connections = ManyInstances::leafConnections;
    it.policies.setTable(std::make_shared<const RouteTable>(std::move(configuration)));
    it.policies.setLeaves(leaves, start);
    for (const auto* route : { &it.route, &longRoute, &it.route }) {
        std::size_t parts = 0;
        for (const auto& plan : it.policies.planRelays(*route, start)) {
            parts += plan.shardIndices.size();
            for (auto index : plan.shardIndices)
                CHECK(plan.zone == (index % 2 == 0 ? "sav" : "mac"));
        }
        CHECK(parts == route->shards.size());
    }
}

// Guards against one instance that sends all parts itself, which takes longer than the leaves need to respond, against
// a few instances that gather for all others of their zone, and against relays to a peer that does not answer.
TEST_CASE("with many entry instances, each uses one relay peer for a group of shards, and another if it is down")
{
    constexpr std::size_t shards = 64;
    constexpr std::size_t groups = 4;
    ServingConfiguration configuration;
    configuration.version = 1;
    Route route;
    route.name = "r";
    std::vector<Announcement> leaves;
    for (std::size_t i = 0; i < shards; ++i) {
        route.shards.push_back("list" + std::to_string(i));
        configuration.services[route.shards.back()].connections = ManyInstances::leafConnections;
        leaves.push_back(leafOf("leaf" + std::to_string(i), route.shards.back(), "atl"));
    }
    configuration.routes = { route };
    auto table = std::make_shared<const RouteTable>(std::move(configuration));
    std::vector<std::string> names;
    for (std::size_t i = 0; i < ManyInstances::instancesPerZone; ++i)
        names.push_back("atl" + std::to_string(i));
    RoutePolicies::PeersByZone elsewhere { { "sav", {} } };
    for (std::size_t i = 0; i < 3 * ManyInstances::instancesPerZone; ++i)
        elsewhere["sav"].push_back("sav" + std::to_string(i));
    std::map<std::string, std::size_t> entriesOfGatherer;
    for (const auto& self : names) {
        RoutePolicies policies(self, "atl");
        policies.setTable(table);
        policies.setLeaves(leaves, start);
        auto peers = elsewhere;
        for (const auto& it : names) {
            if (it != self)
                peers["atl"].push_back(it);
        }
        auto all = names;
        all.insert(all.end(), peers["sav"].begin(), peers["sav"].end());
        policies.setEntryInstances(all);
        policies.setPeers(peers);
        auto plans = policies.planRelays(route, start);
        std::size_t parts = 0;
        CHECK(plans.size() <= groups);
        for (const auto& it : plans) {
            CHECK(it.peer != self);
            ++entriesOfGatherer[it.peer];
            parts += it.shardIndices.size();
        }
        CHECK(parts >= shards / 2);
        // A peer that does not answer is backed off, and its group is assigned to another one.
        auto down = plans.front().peer;
        policies.onPeerResult(down, false, start);
        for (const auto& it : policies.planRelays(route, start))
            CHECK(it.peer != down);
    }
    // All instances of the zone gather, and none for more than about twice its share of the others.
    CHECK(entriesOfGatherer.size() >= names.size() - groups);
    for (const auto& [name, entries] : entriesOfGatherer)
        CHECK(entries <= 2 * groups + 1);
}

// Guards against a directory that lists a leaf as ready, or lists it again, after the leaf has said that it is leaving.
TEST_CASE("a leaf that has said that it is leaving is not chosen until its next start")
{
    RoutePolicies policies("front-1", "atl");
    policies.setLeaves({ leafOf("a", "list") }, start);
    CHECK(policies.onNotice(leafOf("a", "list"), { .isLeaving = true }, start));
    CHECK_FALSE(policies.hasLeaf("list"));
    CHECK_FALSE(policies.pick("list", {}, typical, start));
    CHECK_FALSE(policies.pickForPeer("list", typical, start));
    policies.setLeaves({}, start + seconds(1));
    auto renewed = leafOf("a", "list");
    renewed.sequence = 7;
    policies.setLeaves({ renewed }, start + seconds(2));
    CHECK_FALSE(policies.pick("list", {}, typical, start + seconds(2)));
    renewed.boot = 2;
    policies.setLeaves({ renewed }, start + seconds(3));
    CHECK(policies.pick("list", {}, typical, start + seconds(3)));
}

// Guards against requests and probes to a leaf that wants none, and against an instance that is not ready meanwhile.
TEST_CASE("a paused leaf is not chosen, and its service counts as paused only if no other leaf can be used")
{
    RoutePolicies policies("front-1", "atl");
    policies.setLeaves({ leafOf("a", "list"), leafOf("b", "list") }, start);
    policies.onNotice(leafOf("a", "list"), { .pause = milliseconds(1000) }, start);
    for (int i = 0; i < 5; ++i)
        CHECK(policies.pick("list", {}, typical, start)->leaf == "b");
    CHECK_FALSE(policies.pausedUntil("list", start));
    policies.onNotice(leafOf("b", "list"), { .pause = milliseconds(3000) }, start);
    CHECK_FALSE(policies.pick("list", {}, typical, start));
    CHECK(policies.hasLeaf("list"));
    auto until = policies.pausedUntil("list", start);
    REQUIRE(until);
    CHECK(*until >= start + milliseconds(1000));
    CHECK(*until < start + milliseconds(3000));
    const auto* tried = policies.pick("list", {}, typical, *until);
    REQUIRE(tried);
    CHECK(tried->leaf == "a");
    policies.onStart(*tried, 1, typical, *until);
    CHECK_FALSE(policies.pick("list", {}, typical, *until));
    // A leaf that is down as well is not probed before the end of its pause.
    policies.onEnd("a", 1, AttemptEnd::Unreachable, *until);
    policies.onNotice(leafOf("a", "list"), { .pause = milliseconds(60000) }, *until);
    CHECK(policies.dueProbes(*until + seconds(10)).empty());
}

namespace {

/// Instances in "atl" with three leaves there and three in "sav".
RoutePolicies sharedLeaves(const std::string& name, std::size_t instances)
{
    RoutePolicies policies(name, "atl");
    SharedBounds bounds;
    bounds.spreadSenders = 8;
    policies.setBounds(bounds);
    RoutePolicies::PeersByZone peers;
    for (std::size_t i = 1; i < instances; ++i)
        peers["atl"].push_back("peer-" + std::to_string(i));
    policies.setPeers(peers);
    std::vector<Announcement> leaves;
    for (const auto* leaf : { "a1", "a2", "a3" })
        leaves.push_back(leafOf(leaf, "list"));
    for (const auto* leaf : { "s1", "s2", "s3" })
        leaves.push_back(leafOf(leaf, "list", "sav"));
    policies.setLeaves(leaves, start);
    return policies;
}

std::map<std::string, int> picks(RoutePolicies& policies, int n)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < n; ++i)
        ++counts[policies.pick("list", {}, typical, start)->leaf];
    return counts;
}

} // namespace

TEST_CASE("many instances with the same news spread their requests, an instance whose counts are exact does not")
{
    auto many = sharedLeaves("front-1", 40);
    auto counts = picks(many, 300);
    CHECK(counts.size() == 3); // all leaves of the own zone and none of the other, which is idle as well
    for (const auto& [leaf, n] : counts)
        CHECK(n > 70);
    CHECK(many.spreadCounters().choices == 300);
    auto single = sharedLeaves("front-1", 1);
    CHECK(picks(single, 30).size() == 1);
    CHECK(single.spreadCounters().choices == 0);
}

TEST_CASE("spread requests are not sent to leaves that are leaving, paused, draining or down")
{
    auto policies = sharedLeaves("front-1", 40);
    policies.onNotice(leafOf("a1", "list"), { true, {} }, start);
    policies.onNotice(leafOf("a2", "list"), { false, milliseconds(500) }, start);
    CHECK(picks(policies, 30) == std::map<std::string, int> { { "a3", 30 } });
    policies.onStart(leafOf("a3", "list"), 1, typical, start);
    policies.onEnd("a3", 1, AttemptEnd::Unreachable, start);
    CHECK(picks(policies, 300).size() == 3);
    policies.setZonesOut({ "sav" });
    CHECK(policies.pick("list", {}, typical, start) == nullptr);
}

TEST_CASE("explain states the shares by which requests are sent, and why other leaves get none")
{
    auto policies = sharedLeaves("front-1", 40);
    policies.onNotice(leafOf("a1", "list"), { true, {} }, start);
    std::map<std::string, double> shares;
    for (const auto& it : policies.explain("list", typical, start)) {
        shares[it.leaf.leaf] = it.share;
        CHECK((it.exclusion == LeafExclusion::Leaving) == (it.leaf.leaf == "a1"));
    }
    CHECK(shares["a1"] == 0);
    CHECK(shares["a2"] == doctest::Approx(0.5));
    CHECK(shares["s1"] == 0);
    CHECK(policies.spreadCounters().choices == 0);
}

// Guards against a leaf that counts as warm after a restart because nothing newer than its earlier start is announced.
TEST_CASE("a leaf whose process has ended is cold for the warm-up time of its service")
{
    ServingConfiguration configuration;
    configuration.services["list"] = { 25, 4, seconds(3) };
    RoutePolicies policies("front-1", "atl");
    policies.setTable(std::make_shared<const RouteTable>(configuration));
    auto leaf = leafOf("a", "list");
    leaf.sequence = 1;
    policies.setLeaves({ leaf }, start);
    auto picks = [&](TimePoint now) {
        std::uint64_t n = 0;
        for (; n < 20 && policies.pick("list", {}, typical, now); ++n)
            policies.onStart(leaf, n + 1, typical, now);
        return n;
    };
    constexpr std::uint64_t whileCold = 5; // half of 4 x 1.5 + 5
    CHECK(picks(start) == 20);
    CHECK(policies.onProcessEnded("a"));
    CHECK_FALSE(policies.onProcessEnded("a"));
    CHECK(picks(start + seconds(2)) == whileCold);
    policies.onProbe("a", true, start + seconds(4));
    CHECK(picks(start + seconds(5)) == whileCold);
    // A late announcement of the earlier start says nothing about the process that runs now.
    leaf.sequence = 2;
    policies.setLeaves({ leaf }, start + milliseconds(6500));
    CHECK(picks(start + milliseconds(6600)) == whileCold);
    SUBCASE("until the time is over") { CHECK(picks(start + seconds(8)) == 20); }
    SUBCASE("or the leaf announces its restart")
    {
        leaf.boot = 2;
        policies.setLeaves({ leaf }, start + milliseconds(6600));
        CHECK(picks(start + milliseconds(6700)) == 20);
    }
}

// Guards against groups of shards that are kept though the zones of their leaves, the instances or the routes have
// changed: entry instances with different groups would gather through different instances.
TEST_CASE("the gatherers after any change are those of an instance that has just started")
{
    const std::vector<std::string> zones { "atl", "sav", "mac", "aug" };
    std::mt19937 random(11);
    std::map<std::string, Announcement> leaves; // by name
    RoutePolicies::PeersByZone peers;
    ServingConfiguration configuration;
    configuration.version = 1;
    auto addRoute = [&](const std::string& name, std::size_t shards) {
        Route route { .name = name, .host = "h", .pathPrefix = "/" + name + "/", .topRecords = 5 };
        for (std::size_t i = 0; i < shards; ++i) {
            auto service = name + std::to_string(i);
            route.shards.push_back(service);
            for (std::size_t zone = 0; zone < 3; ++zone) {
                auto leaf = leafOf(service + "-" + std::to_string(zone), service, zones[(i + zone) % zones.size()]);
                leaves[leaf.leaf] = leaf;
            }
        }
        configuration.routes.push_back(route);
    };
    addRoute("a", 40);
    addRoute("b", 60);
    for (int i = 0; i < 48; ++i)
        peers[zones[i % zones.size()]].push_back("front-" + std::to_string(i));
    auto setLeaves = [&](RoutePolicies& policies) {
        std::vector<Announcement> list;
        list.reserve(leaves.size());
        for (const auto& [name, it] : leaves)
            list.push_back(it);
        policies.setLeaves(std::move(list), start);
    };
    auto setAll = [&](RoutePolicies& policies) {
        policies.setTable(std::make_shared<const RouteTable>(configuration));
        policies.setPeers(peers);
        setLeaves(policies);
    };
    RoutePolicies kept("self", "atl");
    setAll(kept);
    for (int round = 0; round < 60; ++round) {
        CAPTURE(round);
        auto leaf = std::next(leaves.begin(), static_cast<std::ptrdiff_t>(random() % leaves.size()));
        switch (random() % 6) {
        case 0:
            leaves.erase(leaf);
            break;
        case 1:
            leaf->second.zone = zones[random() % zones.size()];
            break;
        case 2:
            leaf->second.draining = !leaf->second.draining;
            break;
        case 3:
            peers[zones[random() % zones.size()]].pop_back();
            kept.setPeers(peers);
            break;
        case 4: // other shards, some of which leaves of the earlier route served
            std::swap(configuration.routes[0].shards[random() % 40], configuration.routes[1].shards[random() % 60]);
            kept.setTable(std::make_shared<const RouteTable>(configuration));
            break;
        default:
            break;
        }
        setLeaves(kept);
        RoutePolicies fresh("self", "atl");
        setAll(fresh);
        CHECK(kept.relayPeers() == fresh.relayPeers());
        for (const auto& route : configuration.routes) {
            auto before = kept.planRelays(route, start);
            auto after = fresh.planRelays(route, start);
            REQUIRE(before.size() == after.size());
            for (std::size_t i = 0; i < before.size(); ++i) {
                CHECK(before[i].peer == after[i].peer);
                CHECK(before[i].shardIndices == after[i].shardIndices);
            }
        }
    }
}
