// Guards against a congestion collapse at a load beyond the capacity of the leaves, against a limit that stays low
// afterwards, and against starvation of low-priority requests.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "policy/ConcurrencyLimit.h"

#include <deque>
#include <doctest/doctest.h>
#include <queue>
#include <random>

using namespace citronplank;

namespace {

/// Simulates the leaves as one server with `slots` slots and a queue, shared by several entry instances. Requests
/// arrive as a Poisson process; each is served in time if it completes within `objectiveMs`.
struct Simulation {
    int entries = 7;
    int slots = 4;
    double workMs = 16.7;
    double objectiveMs = 120;
    bool limited = true;
    std::mt19937 random { 7 };

    struct Job {
        int entry = 0;
        double arrivedMs = 0;
        double startedMs = -1;
    };

    /// Returns the number of requests served in time per second.
    double run(double perSecond, double seconds)
    {
        std::vector<ConcurrencyLimit> limits(static_cast<std::size_t>(entries));
        std::deque<Job> queue;
        std::vector<std::pair<double, Job>> running;
        std::exponential_distribution<double> gap(perSecond / 1000);
        std::exponential_distribution<double> work(1 / workMs);
        double next = gap(random);
        int inTime = 0;
        auto finish = [&](const Job& job, double nowMs) {
            double share = (nowMs - job.arrivedMs) / objectiveMs;
            inTime += share <= 1 ? 1 : 0;
            limits[static_cast<std::size_t>(job.entry)].release(
                loadOf(share), TimePoint(std::chrono::microseconds(static_cast<std::int64_t>(nowMs * 1000))));
        };
        for (double now = 0; now < seconds * 1000; now += 1) {
            std::erase_if(running, [&](const auto& it) {
                if (it.first > now)
                    return false;
                finish(it.second, now);
                return true;
            });
            for (; next <= now; next += gap(random)) {
                Job job { static_cast<int>(random() % static_cast<unsigned>(entries)), next };
                if (!limited || limits[static_cast<std::size_t>(job.entry)].tryAcquire(true))
                    queue.push_back(job);
            }
            while (static_cast<int>(running.size()) < slots && !queue.empty()) {
                running.emplace_back(now + work(random), queue.front());
                queue.pop_front();
            }
        }
        return inTime / seconds;
    }
};

} // namespace

TEST_CASE("at a load of three times the capacity, most of the capacity is served in time")
{
    Simulation simulation;
    double capacity = 1000 / simulation.workMs * simulation.slots;
    simulation.limited = false;
    double without = simulation.run(3 * capacity, 20);
    simulation.limited = true;
    double with = simulation.run(3 * capacity, 20);
    CAPTURE(without);
    CAPTURE(with);
    CHECK(without < 0.2 * capacity);
    CHECK(with >= 0.8 * capacity);
}

TEST_CASE("at half the capacity nearly all requests are served in time")
{
    Simulation simulation;
    double capacity = 1000 / simulation.workMs * simulation.slots;
    CHECK(simulation.run(0.5 * capacity, 20) >= 0.47 * capacity);
}

TEST_CASE("the limit decreases at congestion down to its minimum, and recovers")
{
    ConcurrencyLimit limit;
    TimePoint now { seconds(1) };
    for (int i = 0; i < 100; ++i) {
        REQUIRE(limit.tryAcquire(true));
        limit.release(ObservedLoad::Congested, now += milliseconds(200));
    }
    CHECK(limit.limit() == ConcurrencySettings {}.minLimit);
    for (int i = 0; i < 200; ++i) {
        while (limit.tryAcquire(true)) { }
        while (limit.inFlight() > 0)
            limit.release(ObservedLoad::Light, now);
    }
    CHECK(limit.limit() > 20);
}

TEST_CASE("near the limit only high-priority requests get slots, low-priority ones keep most of them")
{
    ConcurrencyLimit limit;
    int lowPriority = 0;
    while (limit.tryAcquire(false))
        ++lowPriority;
    int highPriority = 0;
    while (limit.tryAcquire(true))
        ++highPriority;
    CHECK(lowPriority >= 6);
    CHECK(highPriority >= 1);
}
