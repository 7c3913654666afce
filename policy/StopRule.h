// Decides when a query stops waiting for missing shards.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// Stops a query at its deadline, or after `wait` once the minimum coverage is reached. Thread safe: immutable.
class StopRule {
public:
    /// `deadline` is the caller's; it is capped by the deadline of the rules.
    StopRule(milliseconds deadline, const ServiceRules& rules, TimePoint start)
        : m_deadline(start + std::min(deadline, rules.deadline))
        , m_minCoverage(rules.minCoverage)
    {
        if (rules.wait && start + *rules.wait < m_deadline)
            m_waitEnd = start + *rules.wait;
    }

    TimePoint deadline() const { return m_deadline; }
    bool isCoverageReached(std::uint32_t answered, std::uint32_t total) const
    {
        constexpr double tolerance = 1e-9; // in binary floating point, 0.56 * 25 is slightly above 14
        return answered + tolerance >= m_minCoverage * total;
    }
    bool shouldStop(TimePoint now, std::uint32_t answered, std::uint32_t total) const
    {
        return now >= m_deadline || (m_waitEnd && now >= *m_waitEnd && isCoverageReached(answered, total));
    }
    /// The next time at which the result of `shouldStop` can change without a new answer.
    TimePoint nextCheck(TimePoint now) const { return m_waitEnd && now < *m_waitEnd ? *m_waitEnd : m_deadline; }

private:
    TimePoint m_deadline;
    std::optional<TimePoint> m_waitEnd;
    double m_minCoverage;
};

} // namespace citronplank
