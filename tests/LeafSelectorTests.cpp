// Guards against: a leaf that is avoided for seconds after a short pause, and a slow leaf that is not noticed.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "policy/LeafSelector.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

constexpr milliseconds typical { 20 };
constexpr milliseconds pauseTime { 200 };

Announcement leafOf(const std::string& name, const std::string& zone)
{
    Announcement it;
    it.leaf = name;
    it.service = "list";
    it.zone = zone;
    it.slots = 2;
    return it;
}

struct Pair {
    LeafSelector selector { "atl" };
    Announcement near = leafOf("near", "atl");
    Announcement far = leafOf("far", "sav");
    TimePoint now = TimePoint {} + std::chrono::hours(1);
    std::uint64_t lastAttempt = 0;

    const std::string& chosen() const
    {
        std::array<const Announcement*, 2> both { &far, &near };
        return both.at(*selector.choose(both, typical, now))->leaf;
    }
    std::uint64_t start(const Announcement& leaf)
    {
        selector.onStart(leaf, ++lastAttempt, typical, now);
        return lastAttempt;
    }
    void answer(const Announcement& leaf, std::uint64_t attempt)
    {
        selector.onEnd(leaf.leaf, attempt, AttemptEnd::Answered, now);
    }
    void exchange(const Announcement& leaf, Duration latency)
    {
        auto attempt = start(leaf);
        now += latency;
        answer(leaf, attempt);
    }
};

} // namespace

TEST_CASE("a leaf of the own zone is used again as soon as its pause has ended")
{
    Pair pair;
    for (int i = 0; i < 20; ++i)
        pair.exchange(pair.near, typical);
    auto first = pair.start(pair.near);
    pair.now += typical;
    auto second = pair.start(pair.near);
    pair.now += pauseTime;
    CHECK(pair.chosen() == "far"); // it owes answers
    pair.answer(pair.near, first);
    pair.answer(pair.near, second); // both waited for the same pause
    CHECK(pair.chosen() == "near");
}

TEST_CASE("a slow leaf is noticed at its second late answer and tried again later")
{
    Pair pair;
    pair.exchange(pair.near, 4 * typical);
    pair.exchange(pair.near, 4 * typical);
    CHECK(pair.chosen() == "far");
    pair.now += seconds(10);
    CHECK(pair.chosen() == "near");
}

TEST_CASE("pauses that are seconds apart do not make a leaf slow")
{
    Pair pair;
    for (int pause = 0; pause < 5; ++pause) {
        pair.exchange(pair.near, pauseTime);
        CHECK(pair.chosen() == "near");
        for (int i = 0; i < 10; ++i)
            pair.exchange(pair.near, typical);
    }
}

TEST_CASE("a leaf that fails is avoided at once")
{
    Pair pair;
    auto attempt = pair.start(pair.near);
    pair.now += typical;
    pair.selector.onEnd("near", attempt, AttemptEnd::Failed, pair.now);
    CHECK(pair.chosen() == "far");
}

// An entry whose zone was cut off waited for each leaf of the other zones until it had been silent twice: 3 s, in which
// its few places for requests were taken and the balancer went on sending to it.
TEST_CASE("no leaf of a zone is used after several were silent, until one answers or can be reached")
{
    LeafSelector selector("atl");
    std::vector<Announcement> sav;
    sav.reserve(5);
    for (int i = 0; i < 5; ++i)
        sav.push_back(leafOf("sav-" + std::to_string(i), "sav"));
    auto near = leafOf("near", "atl");
    auto now = TimePoint {} + std::chrono::hours(1);
    std::uint64_t attempt = 0;
    auto end = [&](const Announcement& leaf, AttemptEnd how) {
        selector.onStart(leaf, ++attempt, typical, now);
        selector.onEnd(leaf.leaf, attempt, how, now);
    };
    for (std::uint64_t i = 0; i < 3; ++i)
        selector.onStart(sav[i], 100 + i, typical, now);
    now += typical;
    end(sav[3], AttemptEnd::Answered);
    now += typical;
    end(sav[0], AttemptEnd::Silent);
    end(sav[1], AttemptEnd::Silent);
    CHECK(selector.silentZones().empty());
    SUBCASE("leaves that ended together do not show that the zone is cut off")
    {
        for (std::uint64_t i = 0; i < 3; ++i)
            selector.onEnd(sav[i].leaf, 100 + i, AttemptEnd::Silent, now);
        CHECK(selector.silentZones().empty());
    }
    SUBCASE("an answer in between shows that the zone is reached")
    {
        end(sav[3], AttemptEnd::Answered);
        end(sav[2], AttemptEnd::Silent);
        CHECK_FALSE(selector.isDown(sav[3]));
    }
    SUBCASE("silent")
    {
        end(sav[2], AttemptEnd::Silent);
        CHECK(selector.isDown(sav[3]));
        CHECK(selector.isDown(sav[4])); // never used before
        CHECK_FALSE(selector.isDown(near));
        std::array<const Announcement*, 2> both { &sav[3], &near };
        CHECK(selector.choose(both, typical, now) == 1);
        // The three may have ended by themselves: the others are tried too.
        std::set<std::string> probed;
        for (int i = 0; i < 20; ++i, now += milliseconds(100)) {
            for (const auto& it : selector.dueProbes(now))
                probed.insert(it);
        }
        CHECK(probed.contains("sav-3"));
        selector.onProbe("sav-3", true, now);
        CHECK_FALSE(selector.isDown(sav[3]));
        CHECK_FALSE(selector.isDown(sav[4]));
    }
}
