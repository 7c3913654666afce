// Selects the replica that runs a part of a query. LeafSelector does so for requests on routes.
#pragma once

#include "citronplank.h"

#include <unordered_map>

namespace citronplank {

enum class ReplicaRule : std::uint8_t {
    PowerOfTwo, // the better of two random replicas by estimated wait ("power of two choices")
    Random,     // baseline for comparison
};

struct ReplicaChooserSettings {
    ReplicaRule rule = ReplicaRule::PowerOfTwo;
    bool ejection = true;                  // exclude failing leaves for some time
    std::uint32_t failuresToEject = 3;     // in a row; two can happen to a healthy leaf by coincidence
    milliseconds initialEjection { 1000 }; // doubled at each further ejection
    milliseconds maxEjection { 30000 };    // a recovered leaf gets work again after at most this long
    milliseconds latencyHalfLife { 5000 }; // old estimates decay, so that a slow replica is tried again
};

/// Selects replicas by the observations of this daemon: its own parts in flight and their recent latency. Announced
/// health is not used, because it lags. Leaves that fail several times in a row are ejected for an increasing time. If
/// all replicas of a shard are ejected, all of them are used, so that ejection never makes a shard unavailable.
/// Not thread safe.
class ReplicaChooser {
public:
    explicit ReplicaChooser(ReplicaChooserSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Index of the selected candidate. `random` is a new random number, uniform over all 64 bits. Precondition:
    /// `candidates` is not empty.
    std::size_t choose(std::span<const Announcement* const> candidates, std::uint64_t random, TimePoint now);
    /// A part was sent to the leaf. Each call must be followed by exactly one call of `onAnswered`,
    /// `onFailed`, `onRefused` or `onAbandoned`.
    void onSent(const std::string& leaf, TimePoint now);
    /// The leaf answered; `latency` counts from the call of `onSent`.
    void onAnswered(const std::string& leaf, Duration latency, TimePoint now);
    /// The part failed because of the leaf: crash, no connection, or no answer by the deadline.
    void onFailed(const std::string& leaf, TimePoint now);
    /// The leaf or its owner refused the part. Raises the cost of the leaf, because one that refuses at once would
    /// otherwise look idle and attract work.
    void onRefused(const std::string& leaf, TimePoint now);
    /// The part ended without information about the leaf. `elapsed` is a lower bound of its latency, or zero.
    void onAbandoned(const std::string& leaf, Duration elapsed, TimePoint now);
    bool isEjected(const std::string& leaf, TimePoint now) const;
    std::uint32_t inFlight(const std::string& leaf) const;
    /// Removes leaves without parts in flight that were not used since `before`.
    void forgetUnused(TimePoint before);

private:
    struct Leaf {
        std::uint32_t inFlight = 0;
        double latencySeconds = 0; // 0: no sample
        TimePoint observedAt;
        TimePoint usedAt;
        double penalty = 1; // factor of the cost at penaltyUpdatedAt, raised by refusals
        TimePoint penaltyUpdatedAt;
        std::uint32_t failures = 0;  // in a row
        std::uint32_t ejections = 0; // without a success in between
        TimePoint ejectedUntil;
    };

    Leaf& finish(const std::string& leaf, TimePoint now);
    void observe(Leaf&, Duration latency, TimePoint now);
    double estimatedLatency(const Leaf&, TimePoint now) const;
    double penaltyOf(const Leaf&, TimePoint now) const;
    double cost(const std::string& leaf, double unknownLatency, TimePoint now) const;
    std::size_t chooseByCost(
        std::span<const Announcement* const> candidates, std::uint64_t random, TimePoint now) const;

    ReplicaChooserSettings m_settings;
    std::unordered_map<std::string, Leaf> m_leaves;
};

} // namespace citronplank
