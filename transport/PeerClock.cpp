#include "transport/PeerClock.h"

#include <charconv>

namespace citronplank {

namespace {

/// After this time a less precise measurement replaces the best one, because clocks drift by milliseconds a minute.
constexpr seconds measurementLifetime { 30 };

struct Reading {
    std::uint64_t heartbeat = 0;
    Duration shown { 0 };
};

std::optional<Reading> readingIn(std::string_view text)
{
    Reading reading;
    std::int64_t count = 0;
    const char* end = text.data() + text.size();
    const auto number = std::from_chars(text.data(), end, reading.heartbeat);
    if (number.ec != std::errc() || number.ptr == end || *number.ptr != ' ')
        return std::nullopt;
    const auto shown = std::from_chars(number.ptr + 1, end, count);
    if (shown.ec != std::errc() || shown.ptr != end)
        return std::nullopt;
    reading.shown = std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(count));
    return reading;
}

} // namespace

std::string encodeClockReading(std::uint64_t heartbeat, TimePoint now)
{
    return std::to_string(heartbeat) + " " + std::to_string(now.time_since_epoch().count());
}

std::uint64_t PeerClock::onHeartbeat(TimePoint now)
{
    m_heartbeatAt = now;
    return ++m_lastHeartbeat;
}

void PeerClock::onAnswer(std::string_view content, TimePoint now)
{
    const auto reading = readingIn(content);
    m_isUnsupported = !reading;
    if (!reading || reading->heartbeat != m_lastHeartbeat)
        return;
    auto roundTrip = now - m_heartbeatAt;
    bool isPrecise = !m_offset || roundTrip <= m_roundTrip || now - m_measuredAt >= measurementLifetime;
    if (roundTrip > maxRoundTrip || !isPrecise)
        return;
    m_offset = reading->shown + roundTrip - now.time_since_epoch();
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
