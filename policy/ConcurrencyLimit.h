// Limits how many requests on routes that gather the same shards run concurrently at one entry instance.
//
// A gathered request needs a part of each shard, so at a load beyond the capacity of the leaves all requests would miss
// their latency objective. Refusing the excess at the entry instance lets the others complete in time.
#pragma once

#include "citronplank.h"

namespace citronplank {

struct ConcurrencySettings {
    double minLimit = 2; // without any requests, the end of an overload would go unnoticed
    // Minimum during intermittent congestion, as with slow leaves, where refusing more does not help.
    double usualMinLimit = 4;
    // Number of decreases without a Light request in between after which `minLimit` applies: the overload persists.
    std::uint32_t sustainedDecreases = 3;
    double maxLimit = 256;          // bounds memory and connections
    double initialLimit = 8;        // above what one entry instance needs when the leaves are at capacity
    double increaseStep = 0.25;     // added to the limit after as many Light requests as the limit
    double decreaseFactor = 0.85;   // applied to the limit at congestion
    double lowPriorityShare = 0.85; // fraction of the limit that low-priority requests may use, at least 1 slot
    // Minimum time between decreases. Requests admitted before the last decrease carry no new information.
    milliseconds decreaseInterval { 200 };
};

/// Load of the leaves as seen by one completed request.
enum class ObservedLoad : std::uint8_t {
    Light,     // answered well before the objective
    Busy,      // answered in time, but more load would make it late
    Congested, // late or nearly late, because leaves were slow or at capacity
};

/// Classifies the load by the fraction of its latency objective that a request took. Thread safe.
ObservedLoad loadOf(double shareOfObjective);

/// Additive-increase, multiplicative-decrease (AIMD) limit. Not thread safe.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(ConcurrencySettings settings = {})
        : m_settings(settings)
        , m_limit(settings.initialLimit)
    {
    }

    /// Acquires a slot. If it returns false, the request must wait or be refused. Near the limit, only high-priority
    /// requests get slots.
    bool tryAcquire(bool isHighPriority);
    /// Releases a slot of `tryAcquire` and adapts the limit to the load that its request observed.
    void release(ObservedLoad, TimePoint now);

    double limit() const { return m_limit; }
    std::uint32_t inFlight() const { return m_inFlight; }

private:
    ConcurrencySettings m_settings;
    double m_limit;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_peak = 0;           // maximum of m_inFlight since the last decrease
    std::uint32_t m_decreasesInRow = 0; // without a Light request in between
    TimePoint m_decreasedAt {};
};

} // namespace citronplank
