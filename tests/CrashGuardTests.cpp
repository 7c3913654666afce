// Guards against a request that crashes one leaf after another, and against unrelated requests that are blocked because
// they ran on the same leaves or lost their connections for another reason.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "policy/CrashGuard.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace citronplank;

namespace {

constexpr std::uint64_t crashing = 7;
constexpr std::uint64_t unrelated = 8;
constexpr std::uint64_t reported = 9;
const TimePoint start = TimePoint {} + std::chrono::hours(1);

/// Requests are running on a leaf that crashes and becomes unreachable.
std::vector<CrashNotice> crash(CrashGuard& guard, const std::vector<CrashNotice>& running, TimePoint now)
{
    for (const auto& it : running)
        guard.onAttemptLost(it, "leaf", now);
    return guard.onLeafUnreachable("leaf", now + milliseconds(200));
}

} // namespace

TEST_CASE("a request is blocked after crashes at three attempts, requests running beside it are not")
{
    CrashGuard guard;
    auto now = start;
    for (int send = 0; send < 3; ++send) {
        CHECK_FALSE(guard.isBlocked(crashing, now));
        auto id = std::to_string(send);
        auto notices = crash(guard,
            { { crashing, "crashing " + id }, { unrelated + static_cast<std::uint64_t>(send), "unrelated " + id } },
            now);
        CHECK(notices.size() == 2);
        now += seconds(3);
    }
    CHECK(guard.isBlocked(crashing, now));
    for (std::uint64_t i = 0; i < 3; ++i)
        CHECK_FALSE(guard.isBlocked(unrelated + i, now));
    CHECK_FALSE(guard.isBlocked(crashing, now + CrashGuard::retentionTime));
}

TEST_CASE("a gathered request that crashes a leaf of each shard counts once")
{
    CrashGuard guard;
    std::size_t notices = 0;
    for (int shard = 0; shard < 20; ++shard) {
        guard.onAttemptLost({ unrelated, "id" }, "leaf" + std::to_string(shard), start);
        notices += guard.onLeafUnreachable("leaf" + std::to_string(shard), start + milliseconds(50)).size();
    }
    CHECK(notices == 1);
    CHECK_FALSE(guard.isBlocked(unrelated, start + milliseconds(100)));
}

TEST_CASE("connections lost to leaves that are up, or unreachable only much later, do not count as crashes")
{
    CrashGuard guard;
    for (int i = 0; i < 10; ++i)
        guard.onAttemptLost({ unrelated, std::to_string(i) }, "leaf", start);
    CHECK(guard.onLeafUnreachable("other", start + milliseconds(100)).empty());
    CHECK(guard.onLeafUnreachable("leaf", start + seconds(5)).empty());
    CHECK_FALSE(guard.isBlocked(unrelated, start + seconds(5)));
}

TEST_CASE("an answer clears a request that was running at crashes by coincidence")
{
    CrashGuard guard;
    for (int i = 0; i < 2; ++i)
        crash(guard, { { unrelated, std::to_string(i) } }, start + seconds(i));
    guard.onAnswered(unrelated, start + seconds(1));
    crash(guard, { { unrelated, "2" } }, start + seconds(3));
    CHECK_FALSE(guard.isBlocked(unrelated, start + seconds(4)));
}

// Several leaves crashed at the same time, and the request that all callers were sending was blocked as the cause
// (found by bench_RoutedSoak, seed 201).
TEST_CASE("a request that was answered shortly before is not suspected when several leaves crash")
{
    CrashGuard guard;
    guard.onAnswered(unrelated, start);
    for (int i = 0; i < 3; ++i) {
        CHECK(crash(guard, { { unrelated, std::to_string(i) } }, start + milliseconds(500)).empty());
        guard.recordNotice({ unrelated, "of another instance " + std::to_string(i) }, start + milliseconds(500));
    }
    CHECK_FALSE(guard.isBlocked(unrelated, start + seconds(1)));
    // If it starts to crash leaves later, it is blocked.
    for (int i = 0; i < 3; ++i)
        crash(guard, { { unrelated, "later " + std::to_string(i) } },
            start + 2 * CrashGuard::answeredWindow + seconds(i));
    CHECK(guard.isBlocked(unrelated, start + seconds(10)));
}

TEST_CASE("crashes reported by other instances count once for each attempt")
{
    CrashGuard guard;
    guard.recordNotice({ crashing, "a" }, start);
    guard.recordNotice({ crashing, "a" }, start);
    guard.recordNotice({ crashing, "b" }, start);
    CHECK_FALSE(guard.isBlocked(crashing, start));
    guard.recordNotice(decodeCrashNotice(encodeCrashNotice({ crashing, "c" })), start);
    CHECK(guard.isBlocked(crashing, start));
    CHECK_THROWS_AS(decodeCrashNotice("\x93x"), Error);
}

// Each notice is sent to all peers, 73 at the time: a crash of all leaves of a service made entry instances exceed
// their memory limit.
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
    CHECK(notices <= CrashGuard::maxNoticesPerSecond);
}

// A notice was sent only to the entry instances known at that time: one that gossip added 40 ms later did not block the
// request.
TEST_CASE("notices that are still valid are available for an instance that joins later")
{
    CrashGuard guard;
    crash(guard, { { crashing, "a" } }, start);
    crash(guard, { { unrelated, "b" } }, start);
    guard.recordNotice({ reported, "of another instance" }, start);
    guard.onAnswered(unrelated, start + seconds(1));
    auto ids = [&](TimePoint now, bool includesReported) {
        std::vector<std::pair<std::uint64_t, std::string>> all;
        for (const auto& it : guard.sharedNotices(now, includesReported))
            all.emplace_back(it.fingerprint, it.requestId);
        std::sort(all.begin(), all.end());
        return all;
    };
    using Ids = std::vector<std::pair<std::uint64_t, std::string>>;
    CHECK(ids(start + seconds(1), false) == Ids { { crashing, "a" } });
    CHECK(ids(start + seconds(1), true) == Ids { { crashing, "a" }, { reported, "of another instance" } });
    CHECK(guard.sharedNotices(start + seconds(1) + CrashGuard::retentionTime, true).empty());
    for (std::size_t i = 0; i < 2 * CrashGuard::maxSharedNotices; ++i)
        crash(guard, { { crashing + 10 + i, std::to_string(i) } }, start + milliseconds(200 * i));
    CHECK(guard.sharedNotices(start + seconds(60), false).size() == CrashGuard::maxSharedNotices);
}

// Guards against a rolling restart that forgets a crashing request: what the restarted instance had observed itself was
// known to the others, but not sent back to it.
TEST_CASE("a crashing request stays blocked while all instances are restarted in turn")
{
    const std::vector<std::string> names { "a", "b", "c" };
    std::map<std::string, CrashGuard> guards;
    auto now = start;
    for (const auto& observer : names) {
        for (const auto& notice : crash(guards[observer], { { crashing, "request at " + observer } }, now)) {
            for (const auto& other : names) {
                if (other != observer)
                    guards[other].recordNotice(notice, now);
            }
        }
        now += seconds(1);
    }
    for (int restart = 0; restart < 6; ++restart) {
        const auto& restarted = names[static_cast<std::size_t>(restart) % names.size()];
        now += seconds(9);
        guards[restarted] = {};
        auto others = names;
        std::erase(others, restarted);
        for (const auto& other : others) {
            bool includesReported = CrashGuard::isReporter(other, restarted, others);
            for (const auto& it : guards[other].sharedNotices(now, includesReported))
                guards[restarted].recordNotice(decodeCrashNotice(encodeCrashNotice(it)), now);
        }
        CAPTURE(restart);
        CHECK(guards[restarted].isBlocked(crashing, now));
    }
    // Passing a notice on does not extend its retention.
    for (auto& [name, guard] : guards)
        CHECK_FALSE(guard.isBlocked(crashing, start + seconds(4) + CrashGuard::retentionTime));
}

// Guards against a start that each of hundreds of instances answers with all that it knows.
TEST_CASE("few instances report the crashes that others observed")
{
    std::vector<std::string> names(300);
    for (std::size_t i = 0; i < names.size(); ++i)
        names[i] = "front-" + std::to_string(i);
    auto isReporter = [&](const std::string& it) { return CrashGuard::isReporter(it, "peer", names); };
    CHECK(std::count_if(names.begin(), names.end(), isReporter) == CrashGuard::reporters);
}

TEST_CASE("memory stays bounded")
{
    CrashGuard guard;
    for (std::uint64_t i = 0; i < 2 * CrashGuard::maxSuspects; ++i) {
        auto now = start + milliseconds(i);
        crash(guard, { { i, "id" } }, now);
    }
    for (int i = 0; i < 3; ++i)
        guard.recordNotice({ crashing, std::to_string(i) }, start + seconds(20));
    CHECK(guard.isBlocked(crashing, start + seconds(21)));
}
