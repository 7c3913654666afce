// Plays gathers over 90 shards at the load of a busy hour on small entry instances in three zones. Guards against a few
// instances that gather for all others until their processors are used up, while the rest of their zone is idle.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tests/SimulatedFleet.h"

#include <doctest/doctest.h>

using namespace citronplank;
using namespace citronplank::testing;

namespace {

FleetShape threeZones(std::size_t instancesPerZone, double core)
{
    constexpr double referenceCore = 0.12; // of the costs in FleetShape
    FleetShape shape;
    shape.zones = { "atl", "sav", "mac" };
    shape.instancesPerZone = instancesPerZone;
    shape.shardCount = 90;
    shape.leafConnections = 52;
    shape.slots = 2;
    auto scale = [&](microseconds& cost) {
        cost = microseconds(static_cast<microseconds::rep>(static_cast<double>(cost.count()) * referenceCore / core));
    };
    scale(shape.leafMessageCost);
    scale(shape.relayMessageCost);
    shape.requestCount = 1500;
    shape.extraBurst = 158;
    return shape;
}

struct Service {
    double inTime = 0;  // share of the requests that were answered within the objective
    double busiest = 0; // share of a processor that the busiest instance has used
    double mean = 0;    // as above, of all instances
};

Service play(const FleetShape& shape)
{
    Fleet fleet(shape);
    fleet.play();
    Service result;
    int judged = 0;
    for (std::size_t i = static_cast<std::size_t>(shape.warmUpRequests); i < fleet.requests.size(); ++i) {
        const auto& it = *fleet.requests[i];
        REQUIRE(it.answeredAt);
        ++judged;
        result.inTime += it.succeeded && *it.answeredAt - it.arrivedAt <= shape.objective - shape.callerTime ? 1 : 0;
    }
    result.inTime /= judged;
    auto length = std::chrono::duration<double>(shape.requestInterval * shape.requestCount);
    for (const auto& [name, it] : fleet.instances) {
        auto used = std::chrono::duration<double>(it->busyTime) / length;
        result.busiest = std::max(result.busiest, used);
        result.mean += used / static_cast<double>(fleet.instances.size());
    }
    MESSAGE("in time " << result.inTime << ", processor of the busiest " << result.busiest << ", mean " << result.mean);
    return result;
}

} // namespace

TEST_CASE("no instance gathers for all others while its zone idles")
{
    auto shape = threeZones(20, 0.12);
    SUBCASE("20 instances in each zone, 40 gathers a second")
    {
        shape.objective = milliseconds(120);
        shape.requestInterval = microseconds(25'000);
    }
    SUBCASE("20 instances in each zone, 75 gathers a second")
    {
        shape.objective = milliseconds(120);
        shape.requestInterval = microseconds(13'300);
    }
    SUBCASE("39 smaller instances in each zone, 42 gathers a second")
    {
        shape = threeZones(39, 0.084);
        shape.objective = milliseconds(200);
        shape.work = milliseconds(20);
        shape.pauseLength = milliseconds(200);
        shape.pauseInterval = milliseconds(4500);
        shape.requestInterval = microseconds(24'000);
    }
    SUBCASE("39 smaller instances in each zone, 72 gathers a second")
    {
        shape = threeZones(39, 0.084);
        shape.objective = milliseconds(200);
        shape.work = milliseconds(20);
        shape.pauseLength = milliseconds(200);
        shape.pauseInterval = milliseconds(4500);
        shape.requestInterval = microseconds(14'000);
    }
    auto result = play(shape);
    CHECK(result.inTime >= 0.9);
    CHECK(result.busiest <= 3 * result.mean);
}
