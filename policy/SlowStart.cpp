#include "policy/SlowStart.h"

#include <algorithm>

namespace citronplank {

namespace {

// A slower window raises the learned latency by at most 10%, so that a cold start is not learned as normal; a lasting
// change is learned within about 20 windows. A faster window has a weight of one half, because the first windows of a
// leaf may come from a cold start.
constexpr double risingRate = 0.1;
constexpr double fallingRate = 0.5;
constexpr double maxWindowRatio = 2.0; // a window counts as at most this many times the learned latency

double secondsOf(Duration it) { return std::chrono::duration<double>(it).count(); }

} // namespace

std::uint32_t SlowStart::limit(std::uint32_t slots) const
{
    return m_settings.enabled ? std::min(m_limit, slots) : slots;
}

void SlowStart::onCompleted(Duration latency, bool atLimit, std::uint32_t slots)
{
    const bool slow = isSlow(latency, m_settings.slowFactor);
    const bool slowForWindow = isSlow(latency, m_settings.slowWindowFactor);
    learn(latency);
    if (slow && ++m_slowInRow >= m_settings.slowCompletionsToReset) {
        reset();
        return;
    }
    if (!slow)
        m_slowInRow = 0;
    if (!atLimit)
        return;
    m_atLimit.slow += slowForWindow ? 1 : 0;
    if (++m_atLimit.count >= m_settings.window)
        evaluateWindow(slots);
}

void SlowStart::evaluateWindow(std::uint32_t slots)
{
    const bool isWarm = 2 * m_atLimit.slow <= m_atLimit.count;
    m_atLimit = {};
    if (isWarm && m_limit < slots)
        ++m_limit;
    else if (!isWarm && m_limit > 1)
        --m_limit;
}

void SlowStart::onTimedOut()
{
    if (++m_slowInRow >= m_settings.slowCompletionsToReset)
        reset();
}

void SlowStart::reset()
{
    m_limit = 1;
    m_atLimit = {};
    m_slowInRow = 0;
}

std::optional<Duration> SlowStart::learnedLatency() const
{
    if (m_learnedSeconds <= 0)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_learnedSeconds));
}

bool SlowStart::isSlow(Duration latency, double factor) const
{
    return m_learnedSeconds > 0 && secondsOf(latency) > factor * m_learnedSeconds;
}

void SlowStart::learn(Duration latency)
{
    m_learning.seconds += secondsOf(latency);
    if (++m_learning.count < m_settings.window)
        return;
    const double mean = m_learning.seconds / m_learning.count;
    m_learning = {};
    if (m_learnedSeconds <= 0)
        m_learnedSeconds = mean;
    else if (mean < m_learnedSeconds)
        m_learnedSeconds += fallingRate * (mean - m_learnedSeconds);
    else
        m_learnedSeconds += risingRate * (std::min(mean, maxWindowRatio * m_learnedSeconds) - m_learnedSeconds);
}

} // namespace citronplank
