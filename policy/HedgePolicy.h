// When a slow part is sent to a second replica.
#pragma once

#include "policy/LatencyDigest.h"
#include "policy/RetryBudget.h"

namespace citronplank {

struct HedgeSettings {
    bool enabled = true;           // false: baseline, never hedges
    double percentile = 0.95;      // of the learned part latencies
    std::uint32_t minSamples = 50; // below it the percentile is noise, so nothing is hedged
    milliseconds floor { 2 };      // a smaller delay hedges parts that only waited for the network
};

/// Hedging of one service: the delay learned from its part latencies and the budget of extra parts.
/// Not thread safe; callers serialize calls.
class HedgePolicy {
public:
    static constexpr double burstTokens = 10.0;

    /// `percent` is the budget in percent of ordinary parts.
    explicit HedgePolicy(double percent, HedgeSettings settings = {})
        : m_settings(settings)
        , m_budget(percent, burstTokens, 1.0)
    {
    }

    /// Counts one ordinary part towards the budget.
    void onPart() { m_budget.onPart(); }
    /// Learns from an answered part, or from a lost hedge race with the time that had passed.
    void onLatency(Duration latency) { m_digest.record(latency); }
    /// Time after which a part may be hedged; nothing if hedging is off or too little is known.
    std::optional<Duration> delay() const;
    /// Takes one extra part from the budget; false means that it must not be sent.
    bool take() { return m_settings.enabled && m_budget.take(); }
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
    return std::max<Duration>(m_settings.floor, *m_digest.percentile(m_settings.percentile));
}

} // namespace citronplank
