#include "transport/PeerClock.h"

#include <charconv>
#include <utility>

namespace citronplank {

namespace {

/// After this time a less precise measurement replaces the best one, because clocks drift by milliseconds a minute.
constexpr seconds measurementLifetime { 30 };

std::optional<Duration> readingIn(std::string_view text)
{
    std::int64_t count = 0;
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, count);
    if (ec != std::errc() || stop != end)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(count));
}

} // namespace

std::string encodeClockReading(TimePoint now) { return std::to_string(now.time_since_epoch().count()); }

void PeerClock::onHeartbeat(TimePoint now)
{
    // An answer is attributed to the oldest heartbeat that it can belong to, so a round trip is never underestimated.
    if (!m_heartbeatAt)
        m_heartbeatAt = now;
}

void PeerClock::onAnswer(std::string_view reading, TimePoint now)
{
    auto sentAt = std::exchange(m_heartbeatAt, std::nullopt);
    auto shown = readingIn(reading);
    m_isUnsupported = !shown;
    if (!sentAt || !shown)
        return;
    auto roundTrip = now - *sentAt;
    bool isPrecise = !m_offset || roundTrip <= m_roundTrip || now - m_measuredAt >= measurementLifetime;
    if (roundTrip > maxRoundTrip || !isPrecise)
        return;
    m_offset = *shown + roundTrip - now.time_since_epoch();
    m_roundTrip = roundTrip;
    m_measuredAt = now;
}

std::optional<TimePoint> PeerClock::at(TimePoint now) const
{
    if (!m_offset)
        return std::nullopt;
    return now + *m_offset;
}

} // namespace citronplank
