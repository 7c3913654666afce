// Estimates what the clock of a peer shows, so that a message can state when it was sent in terms of its receiver's
// clock. The clocks of two machines have no common start, but run at the same rate.
#pragma once

#include "citronplank.h"

#include <optional>
#include <string>
#include <string_view>

namespace citronplank {

/// Content of the answer to the heartbeat with this number: the number and a clock reading, as text. Thread safe.
std::string encodeClockReading(std::uint64_t heartbeat, TimePoint);

/// Not thread safe.
class PeerClock {
public:
    /// Only heartbeats answered within this time count, so this is the maximum error of an estimate.
    static constexpr milliseconds maxRoundTrip { 250 };

    /// Returns the number of a heartbeat that is being sent.
    std::uint64_t onHeartbeat(TimePoint now);
    /// Handles the content of the answer to a heartbeat. It is empty if the peer does not report its clock. Only an
    /// answer to the last heartbeat is used.
    void onAnswer(std::string_view content, TimePoint now);
    /// What the peer's clock shows now, or up to `maxRoundTrip` more, but not less. Nothing if it is unknown.
    std::optional<TimePoint> at(TimePoint now) const;
    /// Whether the peer answers heartbeats without its clock, as builds before this feature do.
    bool isUnsupported() const { return m_isUnsupported; }
    /// Whether the clock is known or will not be.
    bool isSettled() const { return m_offset || m_isUnsupported; }

private:
    std::uint64_t m_lastHeartbeat = 0;
    TimePoint m_heartbeatAt;
    std::optional<Duration> m_offset; // of the peer's clock, too large by at most m_roundTrip
    Duration m_roundTrip { 0 };
    TimePoint m_measuredAt;
    bool m_isUnsupported = false;
};

} // namespace citronplank
