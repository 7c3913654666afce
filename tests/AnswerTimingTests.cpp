// Tests of when the answer to a gathered request is due. They guard against answers that a busy instance sends after
// the objective although they were ready before it, and against answers that leave out parts without need.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "query/RouteExecution.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

const TimePoint start { seconds(1000) };
constexpr milliseconds objective { 40 };

/// Returns when the answer to a request over four shards is due whose parts do not arrive.
Duration dueAfter(RoutePolicies& policies)
{
    auto route = std::make_shared<Route>();
    route->name = "list";
    route->objective = objective;
    route->timeout = milliseconds(250);
    route->topRecords = 3;
    ServingConfiguration configuration;
    configuration.version = 1;
    std::vector<Announcement> leaves;
    for (int i = 0; i < 4; ++i) {
        Announcement it;
        it.service = "s" + std::to_string(i);
        it.leaf = it.service + "-a";
        it.zone = "atl";
        it.address = "10.0.0.1:80";
        it.slots = 2;
        route->shards.push_back(it.service);
        configuration.services[it.service] = { 25, 0 };
        leaves.push_back(std::move(it));
    }
    configuration.routes.push_back(*route);
    auto table = std::make_shared<const RouteTable>(configuration);
    policies.setTable(table);
    policies.setLeaves(leaves, start);
    RouteExecution execution(route, table, start, start + route->timeout, RouteExecution::attemptsPerRequest, policies);
    auto actions = execution.start(start);
    // One attempt for each part is allowed, so the timers before the answer is due send nothing.
    auto now = start;
    while (!execution.isOverdue()) {
        now = actions.nextTimer.value();
        actions = execution.onTimer(now);
    }
    return now - start;
}

} // namespace

TEST_CASE("an instance that answers without delay uses the time that the way to the caller leaves")
{
    RoutePolicies policies("front-1", "atl");
    for (int i = 0; i < 100; ++i)
        policies.onAnswerDelay(std::chrono::microseconds(50));
    CHECK(dueAfter(policies) >= milliseconds(22));
}

TEST_CASE("an instance whose answers are late lets them be due earlier, but not before half of the objective")
{
    RoutePolicies policies("front-1", "atl");
    for (int i = 0; i < 100; ++i)
        policies.onAnswerDelay(i % 2 == 0 ? milliseconds(1) : milliseconds(3));
    CHECK(dueAfter(policies) <= milliseconds(21));
    for (int i = 0; i < 100; ++i)
        policies.onAnswerDelay(milliseconds(100));
    CHECK(dueAfter(policies) == objective / 2);
}

TEST_CASE("the estimate follows a delay that ends")
{
    DelayEstimate estimate;
    for (int i = 0; i < 20; ++i)
        estimate.record(milliseconds(10));
    CHECK(estimate.upperBound() >= milliseconds(9));
    for (int i = 0; i < 40; ++i)
        estimate.record(Duration::zero());
    CHECK(estimate.upperBound() <= milliseconds(1));
}
