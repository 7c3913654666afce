#include "policy/ConcurrencyLimit.h"

#include <algorithm>

namespace citronplank {

namespace {

// Fractions of the latency objective.
constexpr double lightShare = 0.5;     // below it, twice the load would still complete in time
constexpr double congestedShare = 0.8; // at or above it, the next requests would be late

} // namespace

ObservedLoad loadOf(double shareOfObjective)
{
    if (shareOfObjective < lightShare)
        return ObservedLoad::Light;
    return shareOfObjective < congestedShare ? ObservedLoad::Busy : ObservedLoad::Congested;
}

bool ConcurrencyLimit::tryAcquire(bool isHighPriority)
{
    // At least one slot is open to low-priority requests, so that they are not starved.
    double allowed = isHighPriority ? m_limit : std::max(1.0, m_limit * m_settings.lowPriorityShare);
    if (static_cast<double>(m_inFlight) + 1 > allowed)
        return false;
    ++m_inFlight;
    m_peak = std::max(m_peak, m_inFlight);
    return true;
}

void ConcurrencyLimit::release(ObservedLoad load, TimePoint now)
{
    if (m_inFlight > 0)
        --m_inFlight;
    if (load == ObservedLoad::Congested) {
        if (now - m_decreasedAt < m_settings.decreaseInterval)
            return;
        // The decrease starts from the peak number in flight, which caused the congestion. A limit far above it would
        // need several decreases before it has any effect.
        auto minLimit
            = ++m_decreasesInRow > m_settings.sustainedDecreases ? m_settings.minLimit : m_settings.usualMinLimit;
        m_limit
            = std::max(std::min(minLimit, m_limit), m_settings.decreaseFactor * std::min<double>(m_limit, m_peak + 1));
        m_decreasedAt = now;
        m_peak = m_inFlight;
        return;
    }
    if (load == ObservedLoad::Light)
        m_decreasesInRow = 0;
    // Requests that complete far below the limit do not justify an increase.
    if (load == ObservedLoad::Busy || static_cast<double>(m_peak) + 1 < m_limit / 2)
        return;
    m_limit = std::min(m_settings.maxLimit, m_limit + m_settings.increaseStep / std::max(1.0, m_limit));
}

} // namespace citronplank
