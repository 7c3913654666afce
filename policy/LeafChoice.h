// Chooses one of several leaves by their estimated costs.
//
// LeastCostChoice takes the cheapest leaf. It suits an instance whose own counts are nearly all of a leaf's load. Many
// instances that share a leaf see only a few of its requests each; if all of them took the cheapest leaf they would
// overload it together until news of that arrived. SpreadChoice draws at random among the leaves whose costs differ by
// less than the estimates can tell, in proportion to their free slots. Requests that the own zone cannot serve without
// waiting go to other zones, in proportion to the capacity that is left there.
#pragma once

#include "citronplank.h"

#include <cmath>
#include <random>

namespace citronplank {

/// What this instance knows of one leaf that could take a request.
struct LeafEstimate {
    Duration cost {};           // see LeafSelector::expectedCost
    std::uint32_t slots = 1;    // requests that the leaf runs at a time
    std::uint32_t inFlight = 0; // of these, requests of this instance
    double confidence = 0;      // 0 to 1: how recent the observations behind `cost` are
    double steadyCost = 0;      // latency over half a minute, in usual latencies, minus 1; 0 without observations
    bool isOwnZone = true;      // whether the leaf is in the zone of this instance
    bool isDown = false;        // gets no requests
    Duration otherZoneCost {};  // part of `cost` that is due to the traffic between zones
    std::string_view zone;      // valid as long as the announcement of the leaf
    double utilization = 0;     // see projectUtilization
};

/// Number of entry instances by zone.
using InstanceCounts = std::map<std::string, std::size_t, std::less<>>;

/// Sets `utilization` to the share of the slots of the leaf's zone that the requests arriving in this zone take, if all
/// instances get as many as this one, which is what a load balancer in front of them aims at. `inFlight` is the mean
/// number of requests of this instance for the service. Requests of zones without a usable leaf are divided by all. No
/// message is needed for it. Thread safe.
void projectUtilization(std::span<LeafEstimate> estimates, const InstanceCounts& instances, double inFlight);

/// Rate of the requests of this instance, averaged over some seconds. Not thread safe.
class RequestRate {
public:
    void add(TimePoint now)
    {
        m_count = countAt(now) + 1;
        m_updatedAt = now;
    }
    double perSecond(TimePoint now) const { return countAt(now) / seconds; }

private:
    /// Shorter than a burst. A longer average would be more exact but would notice the burst after its end.
    static constexpr double seconds = 3;
    double countAt(TimePoint now) const
    {
        return m_count * std::exp(std::min(0.0, std::chrono::duration<double>(m_updatedAt - now).count() / seconds));
    }

    double m_count = 0; // decayed
    TimePoint m_updatedAt;
};

/// A rule by which one of several leaves is chosen. `choose` returns the index of an estimate; nullopt if all leaves
/// are down. `typicalLatency` is the usual latency of such a request.
template <typename T>
concept LeafChoice = requires(T& it, std::span<const LeafEstimate> estimates, Duration typicalLatency)
{
    {
        it.choose(estimates, typicalLatency)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// Takes the cheapest leaf, the first one of equals. Thread safe.
struct LeastCostChoice {
    std::optional<std::size_t> choose(std::span<const LeafEstimate> estimates, Duration typicalLatency) const;
};

/// Probability of each leaf to be chosen by SpreadChoice. The sum is 1, or 0 if all leaves are down. Thread safe.
std::vector<double> spreadShares(std::span<const LeafEstimate> estimates, Duration typicalLatency);

/// Draws a leaf with the probabilities of `spreadShares`. Not thread safe. The random source is a parameter so that
/// tests are deterministic.
template <typename Random = std::minstd_rand>
requires std::uniform_random_bit_generator<std::remove_reference_t<Random>>
class SpreadChoice {
public:
    explicit SpreadChoice(Random random)
        : m_random(std::forward<Random>(random))
    {
    }

    std::optional<std::size_t> choose(std::span<const LeafEstimate> estimates, Duration typicalLatency)
    {
        auto shares = spreadShares(estimates, typicalLatency);
        auto left = std::uniform_real_distribution<double>(0, 1)(m_random);
        std::optional<std::size_t> last;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (shares[i] <= 0)
                continue;
            last = i;
            left -= shares[i];
            if (left < 0)
                break;
        }
        return last;
    }

private:
    Random m_random;
};

static_assert(LeafChoice<const LeastCostChoice> && LeafChoice<SpreadChoice<>>);

} // namespace citronplank
