// Guards against instances that overload one of their shared leaves together while others are idle. Prints the table of
// docs/design/even-load.md.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tests/SimulatedLeaves.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

using Candidates = std::span<const Announcement* const>;
using Indices = std::span<const std::size_t>;

std::optional<std::size_t> best(SimulatedInstance& it, Candidates candidates, Indices /*indices*/, TimePoint now)
{
    return it.selector.choose(candidates, serviceTime, now);
}

/// The new chooser with or without the projection of the load of zones from the own rate.
std::optional<std::size_t> spread(
    const InstanceCounts& instances, SimulatedInstance& it, Candidates candidates, TimePoint now)
{
    auto estimates = it.selector.estimates(candidates, serviceTime, now);
    projectUtilization(
        estimates, instances, it.rate.perSecond(now) * std::chrono::duration<double>(serviceTime).count());
    SpreadChoice<std::minstd_rand&> choice(it.random);
    return choice.choose(estimates, serviceTime);
}

/// The cheaper of two leaves that are drawn at random.
std::optional<std::size_t> bestOfTwo(SimulatedInstance& it, Candidates candidates, Indices /*indices*/, TimePoint now)
{
    if (candidates.size() < 2)
        return it.selector.choose(candidates, serviceTime, now);
    auto first = it.random() % candidates.size();
    auto second = (first + 1 + it.random() % (candidates.size() - 1)) % candidates.size();
    std::array pair { candidates[first], candidates[second] };
    auto chosen = it.selector.choose(pair, serviceTime, now);
    if (!chosen)
        return it.selector.choose(candidates, serviceTime, now);
    return *chosen == 0 ? first : second;
}

/// Reported load, to which this instance adds what it has sent since: the least loaded leaf, or one drawn in proportion
/// to its free slots.
template <bool isDrawn>
std::optional<std::size_t> reported(SimulatedInstance& it, Candidates candidates, Indices indices, TimePoint now)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto load = static_cast<double>(it.reported[indices[i]] + it.sent[indices[i]]);
        auto free = std::max(0.05, 2.0 * candidates[i]->slots - load);
        weights.push_back(it.selector.isDown(*candidates[i]) ? 0 : free);
    }
    if (weights.empty())
        return std::nullopt;
    static_cast<void>(now);
    if (isDrawn)
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(it.random);
    return std::max_element(weights.begin(), weights.end()) - weights.begin();
}

/// The best of three leaves; each instance uses other ones and moves on every 10 s.
std::optional<std::size_t> subset(SimulatedInstance& it, Candidates candidates, Indices /*indices*/, TimePoint now)
{
    constexpr std::size_t size = 3;
    auto turn = static_cast<std::size_t>((now - simulationStart) / std::chrono::seconds(10))
        + reinterpret_cast<std::uintptr_t>(&it) / sizeof(SimulatedInstance);
    std::vector<const Announcement*> some;
    std::vector<std::size_t> numbers;
    for (std::size_t i = 0; i < std::min(size, candidates.size()); ++i) {
        numbers.push_back((turn + i) % candidates.size());
        some.push_back(candidates[numbers.back()]);
    }
    auto chosen = it.selector.choose(some, serviceTime, now);
    return chosen ? numbers[*chosen] : it.selector.choose(candidates, serviceTime, now);
}

enum class Scenario { Equal, Unequal, Pausing, Added, Returning, ThreeLeaves };

std::vector<SimulatedLeaf> leavesOf(Scenario scenario)
{
    std::vector<SimulatedLeaf> leaves;
    auto zones
        = scenario == Scenario::ThreeLeaves ? std::vector { 0, 1, 2 } : std::vector { 0, 0, 0, 0, 1, 1, 1, 2, 2 };
    for (auto zone : zones) {
        SimulatedLeaf leaf;
        auto& it = leaf.announcement;
        it.leaf = "leaf-" + std::to_string(leaves.size());
        it.zone = "zone-" + std::to_string(zone);
        it.slots = scenario == Scenario::ThreeLeaves ? 6 : 3;
        leaves.push_back(std::move(leaf));
    }
    auto& it = leaves[1];
    switch (scenario) {
    case Scenario::Equal:
    case Scenario::ThreeLeaves:
        break;
    case Scenario::Unequal:
        it.speed = 0.5;
        leaves[5].speed = 0.7;
        break;
    case Scenario::Pausing:
        it.pauseEvery = milliseconds(2400);
        it.pause = milliseconds(400);
        break;
    case Scenario::Added:
        it.upFrom = watchedFrom;
        break;
    case Scenario::Returning:
        it.downFrom = simulationStart + std::chrono::seconds(12);
        it.downUntil = watchedFrom;
        break;
    }
    return leaves;
}

struct Chooser {
    const char* name;
    SimulatedChooser choose;
    milliseconds age { 0 };
};

std::string lineOf(const SimulationResult& it)
{
    std::array<char, 120> buf {};
    std::snprintf(buf.data(), buf.size(), " %.2f | %.2f | %.2f | %.0f | %.2f | %.2f | %.1f |", it.maxToMean,
        it.worstSecond, it.watched, it.p99Wait, 100 * it.withinObjective, 100 * it.refusals, 100 * it.otherZone);
    return buf.data();
}

constexpr double bursts = 2.5;

SimulationResult run(
    Scenario scenario, std::span<const std::size_t> zones, const Chooser& chooser, double burst = bursts)
{
    // Takes 22 % of the slots without bursts and 56 % in them.
    constexpr double perSecondAndSlot = 1.4;
    auto leaves = leavesOf(scenario);
    double slots = 0;
    for (const auto& it : leaves)
        slots += it.announcement.slots;
    LeafSimulation simulation(std::move(leaves), zones, chooser.age, chooser.choose);
    return simulation.run(perSecondAndSlot * slots * burst / bursts, burst, std::chrono::seconds(250));
}

const std::array<std::array<std::size_t, 3>, 2> sizes { { { 22, 20, 18 }, { 44, 40, 36 } } };

Chooser spreadChooser(std::span<const std::size_t> zones)
{
    InstanceCounts counts { { "zone-0", zones[0] }, { "zone-1", zones[1] }, { "zone-2", zones[2] } };
    return { "spread (new)",
        [counts](auto& it, auto candidates, auto, auto now) { return spread(counts, it, candidates, now); } };
}

} // namespace

// Bounds: a caller needs its answer within the objective, also when a leaf is slow, pauses, is added or returns. A
// refusal costs another attempt at a leaf, and traffic between zones is paid for.
TEST_CASE("spread requests are answered in time, with fewer refusals than by the best leaf, and stay in their zone")
{
    const std::array<const char*, 6> names { "equal", "unequal", "pausing", "added", "returning", "three leaves" };
    for (const auto& zones : sizes) {
        auto n = std::to_string(zones[0] + zones[1] + zones[2]);
        const std::vector<Chooser> choosers { { "best by own observations (old)", best }, spreadChooser(zones),
            { "spread without projection",
                [](auto& it, auto candidates, auto, auto now) { return spread({}, it, candidates, now); } },
            { "best of two by own observations", bestOfTwo }, { "rotated subset of 3, best", subset },
            { "least reported load, 0.2 s old", reported<false>, milliseconds(200) },
            { "least reported load, 2 s old", reported<false>, milliseconds(2000) },
            { "drawn by reported free slots, 0.2 s old", reported<true>, milliseconds(200) },
            { "drawn by reported free slots, 2 s old", reported<true>, milliseconds(2000) } };
        for (std::size_t i = 0; i < names.size(); ++i) {
            std::vector<SimulationResult> results;
            for (const auto& it : choosers) {
                results.push_back(run(static_cast<Scenario>(i), zones, it));
                auto line = "| " + n + " | " + names.at(i) + " | " + it.name + " |" + lineOf(results.back());
                MESSAGE(line);
            }
            const auto& before = results[0];
            const auto& after = results[1];
            CHECK(after.withinObjective >= 0.99);
            CHECK(after.withinObjective >= before.withinObjective - 0.001);
            CHECK(after.refusals <= 0.75 * before.refusals + 0.0005); // with hardly any before, chance decides
            CHECK(after.maxToMean <= before.maxToMean);
            CHECK(after.p99Wait <= 1.1 * before.p99Wait);
            CHECK(after.otherZone <= 0.06);
            CHECK(after.watched <= 1.5);
        }
    }
}

TEST_CASE("a nearly idle deployment sends hardly any request to another zone")
{
    for (const auto& zones : sizes) {
        auto result = run(Scenario::Equal, zones, spreadChooser(zones), 1);
        MESSAGE("other zone: " << 100 * result.otherZone << " %, refusals: " << 100 * result.refusals << " %");
        CHECK(result.otherZone <= 0.02);
        CHECK(result.refusals <= 0.001);
    }
}
