#include "policy/LeafChoice.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace citronplank {

namespace {

// Costs are in usual latencies here.

/// Cost difference that divides the share of a leaf by e. One answer that takes twice the usual time adds 0.25.
constexpr double costScale = 0.15;
/// Leaves that cost more than the cheapest one by this get nothing. It is below the cost of the traffic between zones
/// (0.6 usual latencies), so that a nearly idle zone serves its own requests.
constexpr double costBand = 0.5;
/// Limit of one leaf's part in the average of its zone, so that a single paused leaf does not make its zone expensive.
constexpr double maxCostInAverage = 1.5;
/// Utilization up to which a zone serves all of its own requests. Above it requests begin to wait for a slot.
constexpr double comfortableUtilization = 0.5;
/// Share of a leaf whose slots are all taken by this instance, relative to one with a free slot.
constexpr double minFreeSlots = 0.1;

/// Costs in which the part that old observations have lost is replaced by what the leaf usually takes. A leaf without
/// recent observations is also assumed to be as loaded as the observed ones of its zone. It would otherwise appear to
/// be idle, and all instances would choose it at once after it has been added or has come back.
std::vector<double> adjustedCosts(std::span<const LeafEstimate> estimates, double usual)
{
    struct Average {
        double sum = 1; // one observation of the usual latency
        double weight = 1;
    };
    std::array<Average, 2> averages; // other zones, own zone
    std::vector<double> costs(estimates.size());
    for (std::size_t i = 0; i < estimates.size(); ++i) {
        const auto& it = estimates[i];
        costs[i] = static_cast<double>((it.cost - it.otherZoneCost).count()) / usual;
        if (it.isDown)
            continue;
        auto& average = averages.at(it.isOwnZone ? 1 : 0);
        average.sum += it.confidence * std::min(costs[i], maxCostInAverage);
        average.weight += it.confidence;
    }
    for (std::size_t i = 0; i < estimates.size(); ++i) {
        const auto& it = estimates[i];
        const auto& average = averages.at(it.isOwnZone ? 1 : 0);
        auto excess = std::max(0.0, average.sum / average.weight - 1);
        costs[i]
            += (1 - it.confidence) * (excess + it.steadyCost) + static_cast<double>(it.otherZoneCost.count()) / usual;
    }
    return costs;
}

} // namespace

std::optional<std::size_t> LeastCostChoice::choose(
    std::span<const LeafEstimate> estimates, Duration /*typicalLatency*/) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < estimates.size(); ++i) {
        if (!estimates[i].isDown && (!best || estimates[i].cost < estimates[*best].cost))
            best = i;
    }
    return best;
}

void projectUtilization(std::span<LeafEstimate> estimates, const InstanceCounts& instances, double inFlight)
{
    std::map<std::string_view, double> slots;
    double allSlots = 0;
    for (const auto& it : estimates) {
        if (it.isDown)
            continue;
        slots[it.zone] += it.slots;
        allSlots += it.slots;
    }
    double homeless = 0;
    for (const auto& [zone, n] : instances)
        homeless += slots.contains(zone) ? 0 : inFlight * static_cast<double>(n);
    for (auto& it : estimates) {
        if (it.isDown)
            continue;
        auto found = instances.find(it.zone);
        auto own = found == instances.end() ? 0 : inFlight * static_cast<double>(found->second);
        it.utilization = own / slots.at(it.zone) + homeless / allSlots;
    }
}

namespace {

/// Adds shares in proportion to `weightOf` (leaf) and to the cost, with the sum `total`, to the leaves whose costs are
/// at most `costBand` above `minCost`. Returns whether there was one.
template <typename Weight>
bool addShares(
    std::vector<double>& shares, std::span<const double> costs, double minCost, double total, Weight weightOf)
{
    std::vector<double> weights(costs.size());
    double sum = 0;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] - minCost <= costBand)
            weights[i] = weightOf(i) * std::exp((minCost - costs[i]) / costScale);
        sum += weights[i];
    }
    for (std::size_t i = 0; sum > 0 && i < costs.size(); ++i)
        shares[i] += total * weights[i] / sum;
    return sum > 0;
}

/// Utilization of all leaves together, but at least the comfortable one: a zone keeps its own requests up to it.
double commonUtilization(std::span<const LeafEstimate> estimates)
{
    double demand = 0;
    double slots = 0;
    for (const auto& it : estimates) {
        demand += it.isDown ? 0 : it.utilization * it.slots;
        slots += it.isDown ? 0 : it.slots;
    }
    return std::max(comfortableUtilization, slots > 0 ? demand / slots : 0);
}

} // namespace

std::vector<double> spreadShares(std::span<const LeafEstimate> estimates, Duration typicalLatency)
{
    auto usual = std::max(1.0, static_cast<double>(typicalLatency.count()));
    auto costs = adjustedCosts(estimates, usual);
    auto inZone = costs; // without the traffic between zones
    auto minCost = std::numeric_limits<double>::infinity();
    auto minInZone = minCost;
    double ownUtilization = 0;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        const auto& it = estimates[i];
        if (it.isDown)
            continue;
        inZone[i] -= static_cast<double>(it.otherZoneCost.count()) / usual;
        minCost = std::min(minCost, costs[i]);
        minInZone = std::min(minInZone, inZone[i]);
        if (it.isOwnZone)
            ownUtilization = it.utilization;
    }
    auto freeSlots = [&](std::size_t i) {
        const auto& it = estimates[i];
        auto free = static_cast<double>(it.slots) - static_cast<double>(it.inFlight);
        return it.isDown ? 0 : std::max(minFreeSlots, free);
    };
    auto level = commonUtilization(estimates);
    auto spill = ownUtilization > level ? 1 - level / ownUtilization : 0;
    std::vector<double> shares(costs.size());
    auto spare = [&](std::size_t i) {
        return estimates[i].isOwnZone ? 0 : freeSlots(i) * std::max(0.0, level - estimates[i].utilization);
    };
    bool isSpilling = spill > 0 && addShares(shares, inZone, minInZone, spill, spare);
    addShares(shares, costs, minCost, isSpilling ? 1 - spill : 1, freeSlots);
    return shares;
}

} // namespace citronplank
