// Limits and helpers shared by the source files of Gossip.
#pragma once

#include "citronplank.h"

#include <cmath>

namespace citronplank {

constexpr std::size_t gossipSyncReservedBytes = 600;    // budget that anti-entropy leaves for pings and acks
constexpr milliseconds gossipFastSyncInterval { 1000 }; // while there is much to repair

/// How often a group doubles from one member to this size, about log2(members): the steps in which an update spreads.
inline double gossipDoublings(std::size_t members) { return std::log2(static_cast<double>(members) + 1); }

inline Duration gossipScaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace citronplank
