// Links between daemons: one-way envelopes over nng push/pull.
//
//   Links links(io, { .listenAddress = "10.0.0.1:7400", .sender = "atl-1", .incarnation = boot });
//   links.onReceive([](Envelope envelope) { ... });
//   links.onLinkState([](const std::string& address, Lane lane, bool up) { ... });
//   links.start();
//   bool accepted = links.send("10.0.0.2:7400", Lane::Part, { .correlation = 7, .kind = 3, .body = bytes });
//
// A lane is one connection to one peer. It is opened by the first send, proves itself by heartbeats that the peer
// answers over its own lane of the same kind, and is closed after a time without sends.
#pragma once

#include "citronplank.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace citronplank {

/// Control messages have a connection of their own, so that large parts never delay them.
enum class Channel : std::uint8_t { Control, Part };

/// One message. `from`, `sender` and `incarnation` are filled in by `Links::send`.
struct Envelope {
    std::string from;              // link address of the sender, "IP:PORT"
    std::string sender;            // instance name of the sender
    std::uint64_t incarnation = 0; // of the sender's process
    std::uint64_t correlation = 0; // ties an answer to its question
    std::uint16_t kind = 0;        // below `firstReservedKind`
    std::string body;              // msgpack of the message
};

constexpr std::uint16_t firstReservedKind = 0xFF00; // kinds from here on belong to the links themselves

struct LinkSettings {
    std::string listenAddress;     // "IP:PORT"; port 0 takes a free one
    std::string advertisedAddress; // what peers dial; empty means the bound address
    std::string sender;
    std::uint64_t incarnation = 0;
    milliseconds heartbeatInterval { 200 };
    milliseconds heartbeatTimeout { 1000 }; // a lane without an answered heartbeat for this long is dialled again
    unsigned partChannelIntervals
        = 1; // heartbeat intervals between two heartbeats on a Part lane; scales its limit too
    milliseconds idleTimeout { 30000 }; // a lane without sends for this long is closed
    int sendQueueLength = 128;          // messages per lane; small, because queued messages age without a deadline
    std::size_t maxMessageBytes = std::size_t { 8 } << 20U;
    std::size_t maxPendingMessages = 4096; // received and not yet handled; beyond it the senders are held back
};

struct LinkCounters {
    std::uint64_t sent = 0;      // envelopes accepted by `send`
    std::uint64_t refused = 0;   // `send` returned false
    std::uint64_t received = 0;  // envelopes given to the handler
    std::uint64_t malformed = 0; // dropped: not an envelope
    std::uint64_t outdated = 0;  // dropped: from a connection that the sender has replaced since
    std::uint64_t redials = 0;
    std::uint64_t openChannels = 0;
};

/// All links of one daemon. Every method is thread safe; callbacks run on the io_context, never under a lock.
class Links {
public:
    using Handler = std::function<void(Envelope)>;
    using StateHandler = std::function<void(const std::string& address, Channel, bool up)>;

    /// Binds the listener. Precondition: `io` outlives this object. Throws Error(Internal) when the address cannot be
    /// bound.
    Links(asio::io_context& io, LinkSettings);
    ~Links();
    Links(const Links&) = delete;
    Links& operator=(const Links&) = delete;

    /// Sets the receiver of envelopes. Envelopes of one peer are delivered one after the other in the order received;
    /// those of different peers run in parallel. Precondition: called before `start`.
    void onReceive(Handler);
    /// Sets the receiver of state changes. `up` false means that envelopes accepted earlier on that lane may be lost.
    /// A lane that is closed as idle reports nothing. Precondition: called before `start`.
    void onLinkState(StateHandler);
    /// Starts to receive and to send heartbeats. Precondition: called once.
    void start();
    /// Closes everything; queued messages are dropped and no callback starts afterwards. May be called twice.
    void stop();

    /// Link address that peers use for this daemon.
    std::string address() const;
    /// Queues one envelope and returns at once. False means that it was not sent and never will be: the lane is down,
    /// its queue is full, the envelope is too large or its kind is reserved. True is no promise of delivery.
    bool send(const std::string& address, Channel, Envelope);
    /// Opens the lane if it is closed, without a message, and keeps it open for another `idleTimeout`. The first
    /// message on a closed lane waits for connections in both directions.
    void keepOpen(const std::string& address, Channel);
    LinkCounters counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace citronplank
