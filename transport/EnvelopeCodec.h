// Encoding of the messages on links between daemons.
#pragma once

#include "transport/Links.h"

#include <optional>

namespace citronplank {

/// Message on a link: an envelope and the connection that it was sent on.
struct WireEnvelope {
    std::uint64_t epoch = 0; // number of the sender's connection for this channel; increases with each new connection
    Channel channel = Channel::Control;
    Envelope envelope;
};

/// Content of a heartbeat. On the wire the body is the text "1" or "0".
struct HeartbeatBody {
    bool inUse = false; // the sender uses the channel; asks the peer to open and check its own channel as well
};

/// Encodes a message as msgpack. Thread safe.
std::string encodeWire(const WireEnvelope&);
/// Decodes a message. Returns nothing if `bytes` is not exactly one valid message. Thread safe.
std::optional<WireEnvelope> decodeWire(std::string_view bytes);

/// Whether the text is an IPv4 address with port such as "10.0.0.1:7400". Thread safe.
bool isAddress(std::string_view text);

} // namespace citronplank
