#include "policy/SlowStart.h"

#include <algorithm>

namespace citronplank {

namespace {

// A sample above twice the learned latency moves it as if it were twice: one straggler must not hide a later cold
// start, while a lasting change is still learned within about a hundred completions.
constexpr double learningRate = 0.02;
constexpr double greatestStep = 2.0;

double secondsOf(Duration it) { return std::chrono::duration<double>(it).count(); }

} // namespace

std::uint32_t SlowStart::limit(std::uint32_t slots) const
{
    return m_settings.enabled ? std::min(m_limit, slots) : slots;
}

void SlowStart::onCompleted(Duration latency, bool atLimit, std::uint32_t slots)
{
    const bool slow = isSlow(latency);
    learn(latency);
    if (slow) {
        if (++m_slowInRow >= m_settings.slowRun)
            reset();
        return;
    }
    m_slowInRow = 0;
    if (!atLimit || m_limit >= slots)
        return;
    if (++m_completions >= m_settings.window) {
        ++m_limit;
        m_completions = 0;
    }
}

void SlowStart::onTimedOut()
{
    if (++m_slowInRow >= m_settings.slowRun)
        reset();
}

void SlowStart::reset()
{
    m_limit = 1;
    m_completions = 0;
    m_slowInRow = 0;
}

std::optional<Duration> SlowStart::learnedLatency() const
{
    if (m_samples < m_settings.learningSamples)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_latencySeconds));
}

bool SlowStart::isSlow(Duration latency) const
{
    return m_samples >= m_settings.learningSamples && secondsOf(latency) > m_settings.slowFactor * m_latencySeconds;
}

void SlowStart::learn(Duration latency)
{
    const double sample = secondsOf(latency);
    if (m_samples < m_settings.learningSamples) {
        // The first samples come from a leaf that may still be cold, so the smallest one counts.
        m_latencySeconds = m_samples == 0 ? sample : std::min(m_latencySeconds, sample);
        ++m_samples;
        return;
    }
    m_latencySeconds += learningRate * (std::min(sample, greatestStep * m_latencySeconds) - m_latencySeconds);
}

} // namespace citronplank
