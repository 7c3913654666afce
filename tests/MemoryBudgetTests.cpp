// Guards against bounds that callers can exceed, a reserve that large requests use up, and connections of ordinary
// callers that are closed for those of others.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/HttpBounds.h"
#include "platform/Settings.h"
#include "policy/ConnectionShedding.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

const TimePoint now = TimePoint() + std::chrono::hours(1);

StalledConnection connection(std::uint64_t id, std::size_t held, milliseconds stall, bool hasRequest = true)
{
    return { id, held, now - stall, hasRequest };
}

} // namespace

// Guards against large requests that leave no room for small ones, and against charges that are not released.
TEST_CASE("the reserve of a budget is for small holders")
{
    constexpr std::size_t limit = 1 << 20;
    MemoryBudget budget(limit);
    {
        MemoryCharge charge(budget);
        charge.set(limit / 2);
        CHECK(budget.hasRoom(limit / 2, 4096));
        charge.set(limit * 3 / 4);
        CHECK_FALSE(budget.hasRoom(limit * 3 / 4, 4096));
        CHECK(budget.hasRoom(2048, 4096));
        CHECK_FALSE(budget.isShort());
        charge.set(limit);
        CHECK_FALSE(budget.hasRoom(0, 4096));
        CHECK(budget.excess() > limit / 4);
        charge.set(4096);
        CHECK(budget.used() == 4096);
    }
    CHECK(budget.used() == 0);
}

// Guards against closing small or active connections while others hold the memory.
TEST_CASE("connections that held most for longest are closed first, and only as many as needed")
{
    std::vector<StalledConnection> list { connection(1, 200000, milliseconds(900)),
        connection(2, 100000, milliseconds(2000)), connection(3, 100000, milliseconds(5000)),
        connection(4, 1000, seconds(60)), connection(5, 150000, milliseconds(3000)) };
    CHECK(connectionsToShed(list, 200000, 4096, now) == std::vector<std::uint64_t> { 3, 5 });
    CHECK(connectionsToShed(list, 1 << 30, 4096, now) == std::vector<std::uint64_t> { 3, 5, 2 });
    CHECK(connectionsToShed(list, 0, 4096, now).empty());
}

// Guards against closing a balancer's idle connection, or one that has just been accepted, for a new one.
TEST_CASE("an unfinished request is replaced before an idle connection, and neither before a second without progress")
{
    std::vector<StalledConnection> list { connection(1, 2048, seconds(9), false), connection(2, 2048, seconds(2)),
        connection(3, 2048, seconds(3)) };
    CHECK(connectionToReplace(list, now) == 3);
    list = { connection(1, 2048, milliseconds(900)), connection(2, 2048, milliseconds(1100), false) };
    CHECK(connectionToReplace(list, now) == 2);
    CHECK_FALSE(connectionToReplace(std::span(list).first(1), now));
}

// Guards against settings of the machine that have no effect.
TEST_CASE("bounds follow from the memory and the descriptors of the machine")
{
    auto machine
        = platform::parseSettings("instance 127.0.0.1\nregion r\nzone z\nmemory-mb 112\nmax-fds 200\n").machine;
    auto bounds = HttpBounds::of(machine, true);
    CHECK(bounds.memory->limit() == std::size_t { 28 } << 20U);
    CHECK(bounds.callerConnections == 100);
    CHECK(bounds.controlConnections == 50);
    machine = platform::parseSettings("instance 127.0.0.1\nregion r\nzone z\n").machine;
    CHECK(machine.memoryBytes == std::size_t { 256 } << 20U);
    CHECK(HttpBounds::of(machine, true).callerConnections <= 4096);
}
