// Plays gathers over 180 shards on 294 small entry instances in six zones, with leaves in three of them, each of which
// pauses for 100 ms every 2.4 s. Checks what callers get, and that hedges and retries stay within the shared budget.
// The messages, leaves and processors are simulated; the decisions are those of RouteExecution and RelayedGather.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tests/SimulatedFleet.h"

#include <doctest/doctest.h>

using namespace citronplank;
using namespace citronplank::testing;

TEST_CASE("callers of all zones get answers over 180 shards in time while 4 in 100 leaves pause")
{
    FleetShape shape;
    shape.spreadsLeaves = false;
    SUBCASE("leaves in all zones, each shard's in three of them") { shape.spreadsLeaves = true; }
    SUBCASE("leaves in three zones") { }
    SUBCASE("leaves in all zones, 15 in 100 of them slow")
    {
        shape.spreadsLeaves = true;
        shape.slowPercent = 15;
    }
    Fleet fleet(shape);
    fleet.play();
    std::map<std::string, std::pair<int, int>> inTime; // by zone: in time, all
    double coverage = 0;
    int judged = 0;
    for (std::size_t i = shape.warmUpRequests; i < fleet.requests.size(); ++i) {
        const auto& it = *fleet.requests[i];
        REQUIRE(it.answeredAt);
        auto& [good, all] = inTime[it.entry->zone];
        ++all;
        ++judged;
        good += it.succeeded && *it.answeredAt - it.arrivedAt <= shape.objective - shape.callerTime ? 1 : 0;
        coverage += 1 - static_cast<double>(it.missing) / shape.shardCount;
    }
    for (const auto& it : inTime) {
        const auto& [good, all] = it.second;
        INFO("zone " << it.first);
        CHECK(static_cast<double>(good) >= 0.9 * static_cast<double>(all));
    }
    CHECK(coverage / judged >= 0.97);
    int arrivals = 0;
    for (const auto& [name, leaf] : fleet.leaves)
        arrivals += leaf.arrivals;
    auto first = static_cast<double>(shape.shardCount * fleet.requests.size());
    MESSAGE("parts sent again: " << arrivals - first << " of " << first);
    CHECK(arrivals - first <= 0.2 * first);
    // No instance is close to its capacity while the others idle.
    Duration busiest { 0 };
    for (const auto& [name, it] : fleet.instances)
        busiest = std::max(busiest, it->busyTime);
    CHECK(busiest <= 0.4 * Duration(shape.requestInterval * shape.requestCount));
}
