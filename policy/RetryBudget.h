// Token buckets that limit extra parts to a percentage of the ordinary parts.
#pragma once

#include <algorithm>

namespace citronplank {

/// Token bucket: each ordinary part adds `percent`/100 tokens, each extra part consumes one.
/// Not thread safe.
class PercentBudget {
public:
    /// `burst` is the capacity of the bucket, `initial` the number of tokens at the start. With a percentage of 0 or
    /// less the bucket never holds a token.
    explicit PercentBudget(double percent, double burst, double initial)
        : m_percent(percent)
        , m_burst(burst)
        , m_tokens(percent > 0 ? std::min(initial, burst) : 0)
    {
    }

    /// Counts one ordinary part.
    void onPart() { m_tokens = std::min(m_burst, m_tokens + std::max(0.0, m_percent) / 100.0); }
    /// Consumes one token. If it returns false, the extra part must not be sent.
    bool tryTake()
    {
        if (m_percent <= 0 || m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }
    /// Changes the percentage, for example after a change of the rules; the tokens are kept.
    void setPercent(double percent) { m_percent = percent; }
    /// Changes the capacity; tokens above it are discarded.
    void setBurst(double burst)
    {
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }
    double tokens() const { return m_tokens; }

private:
    double m_percent;
    double m_burst;
    double m_tokens;
};

/// Budget of retries for one service. A burst of 20 lets one query over 20 shards retry each part after a zone failure.
/// The bucket starts full because failures are as likely right after a restart as later.
class RetryBudget : public PercentBudget {
public:
    static constexpr double burstTokens = 20.0;

    explicit RetryBudget(double percent)
        : PercentBudget(percent, burstTokens, burstTokens)
    {
    }
};

} // namespace citronplank
