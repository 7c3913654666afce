// Decides when a slow part is hedged, that is, also sent to a second replica.
#pragma once

#include "policy/LatencyDigest.h"
#include "policy/RetryBudget.h"

namespace citronplank {

struct HedgeSettings {
    bool enabled = true;           // false: never hedges (baseline for comparison)
    double percentile = 0.95;      // as a fraction; the delay is this percentile of the observed part latencies
    std::uint32_t minSamples = 50; // with fewer, the percentile is unreliable and nothing is hedged
    milliseconds minDelay { 2 };   // a shorter delay would hedge parts that only waited for the network
};

/// Hedging of one service: the delay, computed from its part latencies, and the budget of extra parts.
/// Not thread safe.
class HedgePolicy {
public:
    static constexpr double burstTokens = 10.0; // hedges that can be sent at once after many parts without one

    /// `percent` is the budget in percent of ordinary parts. The budget starts with one token.
    explicit HedgePolicy(double percent, HedgeSettings settings = {})
        : m_settings(settings)
        , m_budget(percent, burstTokens, 1.0)
    {
    }

    /// Counts one ordinary part towards the budget.
    void onPart() { m_budget.onPart(); }
    /// Records the latency of an answered part, or the time elapsed for a part whose hedge was answered first.
    void onLatency(Duration latency) { m_digest.record(latency); }
    /// Time after which a part may be hedged; nullopt if hedging is off or there are too few samples.
    std::optional<Duration> delay() const;
    /// Takes one token for an extra part from the budget. If it returns false, the part must not be sent.
    bool tryTake() { return m_settings.enabled && m_budget.tryTake(); }
    void setPercent(double percent) { m_budget.setPercent(percent); }
    const LatencyDigest& digest() const { return m_digest; }

private:
    HedgeSettings m_settings;
    PercentBudget m_budget;
    LatencyDigest m_digest;
};

inline std::optional<Duration> HedgePolicy::delay() const
{
    if (!m_settings.enabled || m_digest.count() < m_settings.minSamples)
        return std::nullopt;
    return std::max<Duration>(m_settings.minDelay, *m_digest.percentile(m_settings.percentile));
}

} // namespace citronplank
