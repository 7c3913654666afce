// Guards against: a request that takes down leaf after leaf, and harmless requests that are refused because they ran
// beside it or lost their connection for another reason.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "policy/CrashGuard.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

constexpr std::uint64_t poison = 7;
constexpr std::uint64_t harmless = 8;
const TimePoint start = TimePoint {} + std::chrono::hours(1);

/// The request runs on a leaf beside others, the leaf crashes and cannot be reached.
std::vector<CrashNotice> crash(CrashGuard& guard, const std::vector<CrashNotice>& running, TimePoint now)
{
    for (const auto& it : running)
        guard.onAttemptLost(it, "leaf", now);
    return guard.onLeafUnreachable("leaf", now + milliseconds(200));
}

} // namespace

TEST_CASE("a request is blocked after the crashes of three sends, its companions are not")
{
    CrashGuard guard;
    auto now = start;
    for (int send = 0; send < 3; ++send) {
        CHECK_FALSE(guard.isBlocked(poison, now));
        auto id = std::to_string(send);
        auto notices
            = crash(guard, { { poison, "p" + id }, { harmless + static_cast<std::uint64_t>(send), "h" + id } }, now);
        CHECK(notices.size() == 2);
        now += seconds(3);
    }
    CHECK(guard.isBlocked(poison, now));
    for (std::uint64_t i = 0; i < 3; ++i)
        CHECK_FALSE(guard.isBlocked(harmless + i, now));
    CHECK_FALSE(guard.isBlocked(poison, now + CrashGuard::retentionTime));
}

TEST_CASE("a gather that crashes a leaf of each shard counts once")
{
    CrashGuard guard;
    std::size_t notices = 0;
    for (int shard = 0; shard < 20; ++shard) {
        guard.onAttemptLost({ harmless, "id" }, "leaf" + std::to_string(shard), start);
        notices += guard.onLeafUnreachable("leaf" + std::to_string(shard), start + milliseconds(50)).size();
    }
    CHECK(notices == 1);
    CHECK_FALSE(guard.isBlocked(harmless, start + milliseconds(100)));
}

TEST_CASE("lost connections to leaves that are up, or down much later, are no crashes")
{
    CrashGuard guard;
    for (int i = 0; i < 10; ++i)
        guard.onAttemptLost({ harmless, std::to_string(i) }, "leaf", start);
    CHECK(guard.onLeafUnreachable("other", start + milliseconds(100)).empty());
    CHECK(guard.onLeafUnreachable("leaf", start + seconds(5)).empty());
    CHECK_FALSE(guard.isBlocked(harmless, start + seconds(5)));
}

TEST_CASE("an answer clears a request that ran beside crashes by chance")
{
    CrashGuard guard;
    for (int i = 0; i < 2; ++i)
        crash(guard, { { harmless, std::to_string(i) } }, start + seconds(i));
    guard.onAnswered(harmless, start + seconds(1));
    crash(guard, { { harmless, "2" } }, start + seconds(3));
    CHECK_FALSE(guard.isBlocked(harmless, start + seconds(4)));
}

// Found by bench_RoutedSoak, seed 201: leaves crashed at the same time, and the request that all callers sent was
// refused.
TEST_CASE("a request that leaves answered just before is not suspected when several of them end")
{
    CrashGuard guard;
    guard.onAnswered(harmless, start);
    for (int i = 0; i < 3; ++i) {
        CHECK(crash(guard, { { harmless, std::to_string(i) } }, start + milliseconds(500)).empty());
        guard.adopt({ harmless, "of another instance " + std::to_string(i) }, start + milliseconds(500));
    }
    CHECK_FALSE(guard.isBlocked(harmless, start + seconds(1)));
    // One that begins to crash leaves is blocked all the same.
    for (int i = 0; i < 3; ++i)
        crash(guard, { { harmless, "later " + std::to_string(i) } }, start + 2 * CrashGuard::answeredTime + seconds(i));
    CHECK(guard.isBlocked(harmless, start + seconds(10)));
}

TEST_CASE("crashes that other instances saw count, each send once")
{
    CrashGuard guard;
    guard.adopt({ poison, "a" }, start);
    guard.adopt({ poison, "a" }, start);
    guard.adopt({ poison, "b" }, start);
    CHECK_FALSE(guard.isBlocked(poison, start));
    guard.adopt(decodeCrashNotice(encodeCrashNotice({ poison, "c" })), start);
    CHECK(guard.isBlocked(poison, start));
    CHECK_THROWS_AS(decodeCrashNotice("\x93x"), Error);
}

// Each notice went to 73 peers: a crash of all leaves of a service brought entries over their memory limit.
TEST_CASE("leaves that fail together cause few notices")
{
    CrashGuard guard;
    std::size_t notices = 0;
    for (int leaf = 0; leaf < 100; ++leaf) {
        auto name = "leaf" + std::to_string(leaf);
        for (std::uint64_t request = 0; request < 40; ++request)
            guard.onAttemptLost(
                { 100 * request + static_cast<std::uint64_t>(leaf), std::to_string(request) }, name, start);
        notices += guard.onLeafUnreachable(name, start + milliseconds(50)).size();
    }
    CHECK(notices <= CrashGuard::maxNotices);
}

// A notice went only to the entries known at that moment: one that gossip brought 40 ms later let the request through.
TEST_CASE("an instance that becomes known later is told what still counts")
{
    CrashGuard guard;
    crash(guard, { { poison, "a" } }, start);
    crash(guard, { { harmless, "b" } }, start);
    guard.adopt({ poison, "of another instance" }, start);
    guard.onAnswered(harmless, start + seconds(1));
    CHECK(guard.sharedNotices(start + seconds(1)) == std::vector<CrashNotice> { { poison, "a" } });
    CHECK(guard.sharedNotices(start + seconds(1) + CrashGuard::retentionTime).empty());
    for (std::size_t i = 0; i < 2 * CrashGuard::maxRetold; ++i)
        crash(guard, { { poison + 10 + i, std::to_string(i) } }, start + milliseconds(200 * i));
    CHECK(guard.sharedNotices(start + seconds(60)).size() == CrashGuard::maxRetold);
}

TEST_CASE("memory stays bounded")
{
    CrashGuard guard;
    for (std::uint64_t i = 0; i < 2 * CrashGuard::maxSuspects; ++i) {
        auto now = start + milliseconds(i);
        crash(guard, { { i, "id" } }, now);
    }
    for (int i = 0; i < 3; ++i)
        guard.adopt({ poison, std::to_string(i) }, start + seconds(20));
    CHECK(guard.isBlocked(poison, start + seconds(21)));
}
