// Which connections of callers are closed when memory or connections are short.
#pragma once

#include "citronplank.h"

#include <span>

namespace citronplank {

/// A connection that waits for its peer, to send or to read; one whose request is being handled is not listed.
struct StalledConnection {
    std::uint64_t id = 0;
    std::size_t heldBytes = 0; // charged to the memory budget
    TimePoint progressAt;      // when the peer last sent or read `minProgressBytes`, or the connection was accepted
    bool hasRequest = false;   // part of a request was received, or part of a response is unread
};

/// A peer that sends or reads less than this in `minStall` makes no progress.
constexpr std::size_t minProgressBytes = 1024;
/// A connection is closed only after this time without progress, so that ordinary callers are not affected by a burst.
constexpr milliseconds minStall { 1000 };

/// Returns the connections to close to release at least `bytes`, if there are as many: those that have held most for
/// longest without progress first. Connections that hold less than `smallest` bytes are kept.
std::vector<std::uint64_t> connectionsToShed(
    std::span<const StalledConnection>, std::size_t bytes, std::size_t smallest, TimePoint now);

/// Returns the connection to close so that a new one can be accepted: one with an incomplete request before one that
/// is idle between requests, and then the one that is without progress for longest. Nothing if there is none.
std::optional<std::uint64_t> connectionToReplace(std::span<const StalledConnection>, TimePoint now);

} // namespace citronplank
