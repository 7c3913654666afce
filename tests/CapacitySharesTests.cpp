// Order of waiting requests when capacity is short, with one server that takes the first of them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "policy/CapacityShares.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace citronplank;

// Guards against a customer that gets more capacity, or takes it from others, by sending more requests.
TEST_CASE("a customer that sends six times its rate does not reduce the shares of others")
{
    CapacityShares shares;
    TimePoint now(std::chrono::hours(1));
    std::vector<CapacityClaim> waiting;
    std::map<std::string_view, int> sent;
    std::map<std::string_view, int> served;
    constexpr std::size_t maxWaiting = 20;
    for (int i = 0; i < 3000; ++i) {
        now += milliseconds(10);
        auto send = [&](std::string_view customer, int n) {
            sent[customer] += n;
            waiting.insert(waiting.end(), n, { 1, customer, now });
        };
        if (i % 2 == 0)
            send("large", 6);
        for (std::string_view it : { "a", "b", "c" }) {
            if (i % 4 == 0)
                send(it, 1);
        }
        auto order = [&](const CapacityClaim& a, const CapacityClaim& b) { return shares.precedes(a, b, now); };
        std::stable_sort(waiting.begin(), waiting.end(), order);
        waiting.resize(std::min(waiting.size(), maxWaiting));
        ++served[waiting.front().customer];
        shares.onUse(waiting.front().customer, 90, now);
        waiting.erase(waiting.begin());
    }
    for (std::string_view it : { "a", "b", "c" })
        CHECK(served[it] >= sent[it] * 0.95); // the fair share of each is 0.25, and it sends as much
    CHECK(served["large"] >= 3000 * 0.2);
}

// Guards against a priority that is ignored, and against requests of one customer that overtake each other.
TEST_CASE("the priority comes before the shares, and the arrival decides within a customer")
{
    CapacityShares shares;
    TimePoint now(std::chrono::hours(1));
    shares.onUse("used", 1000, now);
    CHECK(shares.precedes({ 0, "used", now }, { 1, "new", now }, now));
    CHECK(shares.precedes({ 1, "new", now }, { 1, "used", now - seconds(1) }, now));
    CHECK(shares.precedes({ 1, "new", now - seconds(1) }, { 1, "new", now }, now));
    now += std::chrono::minutes(10);
    shares.onUse("new", 1, now);
    CHECK(shares.precedes({ 1, "used", now }, { 1, "new", now }, now));
}
