// Limits and helpers shared by the source files of Gossip.
#pragma once

#include "citronplank.h"

#include <cmath>

namespace citronplank {

constexpr std::size_t gossipSyncReservedBytes = 600;    // budget that anti-entropy leaves for pings and acks
constexpr milliseconds gossipFastSyncInterval { 1000 }; // between two digests while there is much to repair

/// About log2(members): how often a group doubles from one member to this size, and so in how many rounds of
/// dissemination an update reaches all members.
inline double gossipDoublings(std::size_t members) { return std::log2(static_cast<double>(members) + 1); }

/// Multiplies a duration by a factor that need not be an integer.
inline Duration gossipScaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace citronplank
