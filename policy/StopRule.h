// When a query stops waiting for missing shards.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// Stops a query at its deadline, or after `wait` once the minimum coverage is reached. Thread safe: immutable.
class StopRule {
public:
    /// `deadline` is the caller's; the one in the rules is the greatest allowed.
    StopRule(milliseconds deadline, const ServiceRules& rules, TimePoint start)
        : m_deadline(start + std::min(deadline, rules.deadline))
        , m_minCoverage(rules.minCoverage)
    {
        if (rules.wait && start + *rules.wait < m_deadline)
            m_wait = start + *rules.wait;
    }

    TimePoint deadline() const { return m_deadline; }
    bool isCoverageReached(std::uint32_t answered, std::uint32_t total) const
    {
        constexpr double tolerance = 1e-9; // 0.56 * 25 is a little more than 14 in binary
        return answered + tolerance >= m_minCoverage * total;
    }
    bool shouldStop(TimePoint now, std::uint32_t answered, std::uint32_t total) const
    {
        return now >= m_deadline || (m_wait && now >= *m_wait && isCoverageReached(answered, total));
    }
    /// The next time at which `shouldStop` can change without a new answer.
    TimePoint nextCheck(TimePoint now) const { return m_wait && now < *m_wait ? *m_wait : m_deadline; }

private:
    TimePoint m_deadline;
    std::optional<TimePoint> m_wait;
    double m_minCoverage;
};

} // namespace citronplank
