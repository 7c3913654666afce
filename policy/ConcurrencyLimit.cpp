#include "policy/ConcurrencyLimit.h"

#include <algorithm>

namespace citronplank {

namespace {

constexpr double lightShare = 0.5;     // of the objective: twice the load would still be served in time
constexpr double congestedShare = 0.8; // of the objective: the next requests would be late

} // namespace

ObservedLoad loadOf(double shareOfObjective)
{
    if (shareOfObjective < lightShare)
        return ObservedLoad::Light;
    return shareOfObjective < congestedShare ? ObservedLoad::Busy : ObservedLoad::Congested;
}

bool ConcurrencyLimit::tryAcquire(bool isHighPriority)
{
    // A lower rank never loses its last place, so it is not starved.
    double allowed = isHighPriority ? m_limit : std::max(1.0, m_limit * m_settings.lowerRankShare);
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
        if (now - m_decreasedAt < m_settings.holdTime)
            return;
        // What was in flight caused the congestion; a limit far above it would have to fall several times first.
        auto least = ++m_decreasesInRow > m_settings.lasting ? m_settings.least : m_settings.usualLeast;
        m_limit = std::max(std::min(least, m_limit), m_settings.decrease * std::min<double>(m_limit, m_peak + 1));
        m_decreasedAt = now;
        m_peak = m_inFlight;
        return;
    }
    if (load == ObservedLoad::Light)
        m_decreasesInRow = 0;
    // A limit that is not reached is not proved by a success.
    if (load == ObservedLoad::Busy || static_cast<double>(m_peak) + 1 < m_limit / 2)
        return;
    m_limit = std::min(m_settings.greatest, m_limit + m_settings.increase / std::max(1.0, m_limit));
}

} // namespace citronplank
