// What leaves say about themselves in their answers. Guards against requests to a leaf that has said that it is leaving
// or wants none for a while, and against a leaf that is never used again, or by everybody at once, afterwards.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "policy/LeafNotices.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

const TimePoint start { seconds(1000) };
TimePoint at(int ms) { return start + milliseconds(ms); }

Announcement leafOf(std::uint64_t boot = 1, const std::string& name = "a")
{
    Announcement it;
    it.leaf = name;
    it.boot = boot;
    it.slots = 4;
    return it;
}

const LeafNotice leaving { .isLeaving = true };
LeafNotice paused(int ms) { return { .pause = milliseconds(ms) }; }

} // namespace

TEST_CASE("a leaf that leaves gets no requests until its next start, whatever the directory lists")
{
    LeafNotices notices("entry");
    CHECK(notices.record(leafOf(), leaving, at(0)));
    CHECK_FALSE(notices.record(leafOf(), leaving, at(1)));
    std::vector<Announcement> listed { leafOf() };
    for (int ms : { 10, 20, 30 }) {
        notices.keepOnly(listed, at(ms));
        CHECK(notices.isLeaving(leafOf()));
        CHECK_FALSE(notices.accepts(leafOf(), at(ms)));
        if (ms == 10)
            notices.keepOnly({}, at(ms + 1)); // the directory is read anew
    }
    CHECK(notices.accepts(leafOf(2), at(40)));
    listed = { leafOf(2) };
    notices.keepOnly(listed, at(50));
    CHECK(notices.size() == 0);
    CHECK_FALSE(notices.isLeaving(leafOf(2)));
}

TEST_CASE("an answer of an earlier start says nothing about a later one")
{
    LeafNotices notices("entry");
    notices.record(leafOf(2), paused(100), at(0));
    CHECK_FALSE(notices.record(leafOf(1), leaving, at(1)));
    CHECK_FALSE(notices.isLeaving(leafOf(2)));
    CHECK(notices.record(leafOf(3), leaving, at(2)));
    CHECK(notices.isLeaving(leafOf(3)));
}

TEST_CASE("a paused leaf gets nothing until the end of the longest pause, then one request, then more as it answers")
{
    LeafNotices notices("entry");
    notices.record(leafOf(), paused(2000), at(0));
    CHECK_FALSE(notices.record(leafOf(), paused(500), at(10)));
    for (int ms = 10; ms < 2000; ms += 10)
        REQUIRE_FALSE(notices.accepts(leafOf(), at(ms)));
    auto until = notices.pausedUntil(leafOf(), at(100));
    REQUIRE(until);
    CHECK(*until >= at(2000));
    CHECK(*until <= at(2000 + 400 + 10));
    auto now = *until;
    CHECK_FALSE(notices.pausedUntil(leafOf(), now));
    std::uint64_t attempt = 0;
    for (std::size_t allowed : { 1, 2, 4 }) {
        std::vector<std::uint64_t> running;
        while (notices.accepts(leafOf(), now) && running.size() < 100) {
            running.push_back(++attempt);
            notices.onStart(leafOf(), attempt, now);
        }
        CHECK(running.size() == allowed);
        notices.onEnd("a", running.front(), LeafNotices::End::Answered, now);
        for (auto it : running)
            notices.onEnd("a", it, LeafNotices::End::Other, now);
    }
    CHECK(notices.size() == 0);
}

TEST_CASE("a leaf that refuses a trial is tried again later, with one request")
{
    LeafNotices notices("entry");
    notices.record(leafOf(), paused(1000), at(0));
    auto now = *notices.pausedUntil(leafOf(), at(0));
    notices.onStart(leafOf(), 1, now);
    notices.onEnd("a", 1, LeafNotices::End::Refused, now);
    CHECK_FALSE(notices.accepts(leafOf(), now));
    auto again = notices.pausedUntil(leafOf(), now);
    REQUIRE(again);
    notices.onStart(leafOf(), 2, *again);
    CHECK_FALSE(notices.accepts(leafOf(), *again));
    // A leaf that states another pause is not tried before that one ends.
    notices.record(leafOf(), paused(5000), *again);
    notices.onEnd("a", 2, LeafNotices::End::Refused, *again);
    CHECK_FALSE(notices.accepts(leafOf(), *again + milliseconds(4999)));
}

TEST_CASE("an answer to a request that was sent before the pause does not end it")
{
    LeafNotices notices("entry");
    notices.onStart(leafOf(), 1, at(0));
    notices.record(leafOf(), paused(1000), at(1));
    notices.onEnd("a", 1, LeafNotices::End::Answered, at(2));
    CHECK_FALSE(notices.accepts(leafOf(), at(3)));
}

TEST_CASE("instances try a leaf at different times, and an absurdly long pause is cut")
{
    std::set<TimePoint> times;
    for (int i = 0; i < 20; ++i) {
        LeafNotices notices("entry-" + std::to_string(i));
        notices.record(leafOf(), paused(1000), at(0));
        times.insert(*notices.pausedUntil(leafOf(), at(0)));
    }
    CHECK(times.size() > 10);
    LeafNotices notices("entry");
    notices.record(leafOf(), { .pause = std::chrono::hours(24) }, at(0));
    CHECK(*notices.pausedUntil(leafOf(), at(0)) <= at(0) + LeafNotices::maxPause + seconds(1));
}

TEST_CASE("a request for which the leaf was chosen before its notice is withheld")
{
    LeafNotices notices("entry");
    CHECK(notices.acceptsSince(leafOf(), at(0)));
    notices.record(leafOf(), paused(100), at(10));
    CHECK_FALSE(notices.acceptsSince(leafOf(), at(5)));
    CHECK(notices.acceptsSince(leafOf(), at(200))); // chosen as a trial
    notices.record(leafOf(), leaving, at(300));
    CHECK_FALSE(notices.acceptsSince(leafOf(), at(299)));
}

// Guards against a table that only grows.
TEST_CASE("notices of leaves that are not listed are forgotten after a while")
{
    LeafNotices notices("entry");
    for (int i = 0; i < 100; ++i)
        notices.record(leafOf(1, "leaf-" + std::to_string(i)), leaving, at(i));
    notices.record(leafOf(0, "without-start"), leaving, at(100));
    notices.keepOnly({}, at(200));
    CHECK(notices.size() == 100);
    notices.keepOnly({}, at(200) + LeafNotices::retention);
    CHECK(notices.size() == 0);
}
