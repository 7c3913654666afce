#pragma once

#include "transport/Links.h"

#include <optional>

namespace citronplank {

/// What travels on a link: an envelope and the connection that it was sent on.
struct WireEnvelope {
    std::uint64_t epoch = 0; // counts the sender's connections for this lane; greater is newer
    Channel channel = Channel::Control;
    Envelope envelope;
};

/// Body of a heartbeat.
struct HeartbeatBody {
    bool inUse = false; // the sender's own work uses the lane; asks the peer to prove its lane as well
};

/// msgpack of a message. Thread safe.
std::string encodeWire(const WireEnvelope&);
/// The message in `bytes`, or nothing when they are not a complete and valid one. Thread safe.
std::optional<WireEnvelope> decodeWire(std::string_view bytes);

/// True for an IPv4 address and port such as "10.0.0.1:7400". Thread safe.
bool isAddress(std::string_view text);

} // namespace citronplank
