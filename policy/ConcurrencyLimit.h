// How many requests of one kind run at the same time at one entry.
//
// It answers more load than the leaves can take: every gathered request needs a part of each shard, so beyond their
// capacity all requests would miss their objective together. Refused at the entry, the rest are served in time.
#pragma once

#include "citronplank.h"

namespace citronplank {

struct ConcurrencySettings {
    double least = 2;              // an entry always tries a few, or it would never notice that the load has passed
    double usualLeast = 4;         // while congestion comes and goes, as with slow leaves: refusing more helps nobody
    std::uint32_t lasting = 3;     // decreases without a light request in between, after which the load is too high
    double greatest = 256;         // bounds memory and connections
    double first = 8;              // above what one entry needs at the capacity of today's leaves
    double increase = 0.25;        // of the limit, for as many light requests as the limit
    double decrease = 0.85;        // of the limit, at congestion
    double lowerRankShare = 0.85;  // of the limit that requests of lower rank may use
    milliseconds holdTime { 200 }; // between two decreases: results of requests admitted before it say nothing new
};

/// What an answered request tells of the leaves.
enum class ObservedLoad : std::uint8_t {
    Light,     // answered well before the objective
    Busy,      // answered in time, but more load would make it late
    Congested, // late, because leaves were slow or full
};

/// The load that a request shows which took this share of its objective. Thread safe.
ObservedLoad loadOf(double shareOfObjective);

/// Additive increase, multiplicative decrease. Not thread safe; callers serialize calls.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(ConcurrencySettings settings = {})
        : m_settings(settings)
        , m_limit(settings.first)
    {
    }

    /// Takes a place; false: the request must wait or be refused. `isHighPriority` requests come first near the limit.
    bool tryAcquire(bool isHighPriority);
    /// Gives a place back.
    void release(ObservedLoad, TimePoint now);

    double limit() const { return m_limit; }
    std::uint32_t inFlight() const { return m_inFlight; }

private:
    ConcurrencySettings m_settings;
    double m_limit;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_peak = 0;           // of inFlight since the last increase or decrease
    std::uint32_t m_decreasesInRow = 0; // without a light request in between
    TimePoint m_decreasedAt {};
};

} // namespace citronplank
