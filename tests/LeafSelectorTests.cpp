// Guards against a leaf that is avoided for seconds after a short stall, and against a slow leaf that is not detected.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "policy/LeafSelector.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

constexpr milliseconds typical { 20 };
constexpr milliseconds stallTime { 200 };

Announcement leafOf(const std::string& name, const std::string& zone)
{
    Announcement it;
    it.leaf = name;
    it.service = "list";
    it.zone = zone;
    it.slots = 2;
    return it;
}

struct LeafPair {
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

TEST_CASE("a leaf of the own zone is used again as soon as its stall has ended")
{
    LeafPair pair;
    for (int i = 0; i < 20; ++i)
        pair.exchange(pair.near, typical);
    auto first = pair.start(pair.near);
    pair.now += typical;
    auto second = pair.start(pair.near);
    pair.now += stallTime;
    CHECK(pair.chosen() == "far"); // answers are overdue
    pair.answer(pair.near, first);
    pair.answer(pair.near, second); // both were delayed by the same stall
    CHECK(pair.chosen() == "near");
}

TEST_CASE("a slow leaf is detected at its second late answer and tried again later")
{
    LeafPair pair;
    pair.exchange(pair.near, 4 * typical);
    pair.exchange(pair.near, 4 * typical);
    CHECK(pair.chosen() == "far");
    pair.now += seconds(10);
    CHECK(pair.chosen() == "near");
}

TEST_CASE("a leaf with stalls far apart does not count as slow")
{
    LeafPair pair;
    for (int stall = 0; stall < 5; ++stall) {
        pair.exchange(pair.near, stallTime);
        CHECK(pair.chosen() == "near");
        for (int i = 0; i < 10; ++i)
            pair.exchange(pair.near, typical);
    }
}

TEST_CASE("a leaf is avoided after its first failure")
{
    LeafPair pair;
    auto attempt = pair.start(pair.near);
    pair.now += typical;
    pair.selector.onEnd("near", attempt, AttemptEnd::Failed, pair.now);
    CHECK(pair.chosen() == "far");
}

// An entry instance in a partitioned zone waited until each leaf of the other zones had timed out twice. For 3 s its
// few request slots were taken, while the load balancer kept sending to it.
TEST_CASE("after several leaves of a zone were unresponsive, none is used until one answers or is reachable")
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
    end(sav[0], AttemptEnd::Unresponsive);
    end(sav[1], AttemptEnd::Unresponsive);
    CHECK(selector.unresponsiveZones().empty());
    SUBCASE("leaves that failed together do not show that the zone is partitioned")
    {
        for (std::uint64_t i = 0; i < 3; ++i)
            selector.onEnd(sav[i].leaf, 100 + i, AttemptEnd::Unresponsive, now);
        CHECK(selector.unresponsiveZones().empty());
    }
    SUBCASE("an answer in between shows that the zone is reachable")
    {
        end(sav[3], AttemptEnd::Answered);
        end(sav[2], AttemptEnd::Unresponsive);
        CHECK_FALSE(selector.isDown(sav[3]));
    }
    SUBCASE("an unresponsive zone is probed, and used again after one success")
    {
        end(sav[2], AttemptEnd::Unresponsive);
        CHECK(selector.isDown(sav[3]));
        CHECK(selector.isDown(sav[4])); // never used before
        CHECK_FALSE(selector.isDown(near));
        std::array<const Announcement*, 2> both { &sav[3], &near };
        CHECK(selector.choose(both, typical, now) == 1);
        // The three leaves may have failed on their own, so the others are probed too.
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
