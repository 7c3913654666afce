// Links between daemons: one-way messages (envelopes) over nng push/pull sockets.
//
//   Links links(io, { .listenAddress = "10.0.0.1:7400", .sender = "atl-1", .incarnation = boot });
//   links.onReceive([](Envelope envelope) { ... });
//   links.onLinkState([](const std::string& address, Channel channel, bool up) { ... });
//   links.start();
//   bool accepted = links.send("10.0.0.2:7400", Channel::Part, { .correlation = 7, .kind = 3, .body = bytes });
//
// A channel is one connection to one peer. It is opened by the first send, checked by heartbeats that the peer answers
// on its own channel of the same kind, and closed after a time without sends.
#pragma once

#include "citronplank.h"

#include <functional>
#include <memory>
#include <optional>

namespace asio {
class io_context;
}

namespace citronplank {

/// Control messages use a separate connection so that large parts do not delay them.
enum class Channel : std::uint8_t { Control, Part };

/// One message. `from`, `sender` and `incarnation` are filled in by `Links::send`.
struct Envelope {
    std::string from;              // link address of the sender, "IP:PORT"
    std::string sender;            // instance name of the sender
    std::uint64_t incarnation = 0; // of the sender's process
    std::uint64_t correlation = 0; // correlates an answer with its request
    std::uint16_t kind = 0;        // below `firstReservedKind`
    std::string body;              // msgpack of the message
    /// How long the message is of use to its sender; 0: without limit. The handler of the receiver checks it.
    milliseconds timeToLive { 0 };
    /// In a received message with a `timeToLive`: when it was sent, on this daemon's clock, or up to
    /// PeerClock::maxRoundTrip later. Absent if the build of one of them does not support it.
    std::optional<TimePoint> sentAt {};

    /// Whether a received message is older than its `timeToLive`.
    bool isExpired(TimePoint now) const { return sentAt && now - *sentAt >= timeToLive; }
};

constexpr std::uint16_t firstReservedKind = 0xFF00; // this and higher kinds are used by the links themselves

struct LinkSettings {
    std::string listenAddress;     // "IP:PORT"; port 0 selects a free port
    std::string advertisedAddress; // address for peers to connect to; empty: the bound address
    std::string sender;            // instance name of this daemon
    std::uint64_t incarnation = 0; // of this process; greater after each restart
    milliseconds heartbeatInterval { 200 };
    milliseconds heartbeatTimeout { 1000 }; // a channel without an answered heartbeat for this long is reconnected
    /// Number of heartbeat intervals between two heartbeats on a Part channel. Multiplies its heartbeat timeout as
    /// well.
    unsigned partChannelIntervals = 1;
    milliseconds idleTimeout { 30000 }; // a channel without sends for this long is closed
    int sendQueueLength = 128;          // messages per channel; small because queued messages do not expire
    std::size_t maxMessageBytes = std::size_t { 8 } << 20U;
    std::size_t maxPendingMessages = 4096; // received but not yet handled; beyond it receiving is paused
};

struct LinkCounters {
    std::uint64_t sent = 0;         // envelopes accepted by `send`
    std::uint64_t refused = 0;      // `send` returned false
    std::uint64_t received = 0;     // envelopes passed to the handler
    std::uint64_t malformed = 0;    // dropped because they are not valid envelopes
    std::uint64_t outdated = 0;     // dropped because the sender has replaced their connection
    std::uint64_t redials = 0;      // connections replaced because they ended or no heartbeat was answered in time
    std::uint64_t openChannels = 0; // now, including those without a connection
};

/// All links of one daemon. Callbacks run on the io_context without holding a lock. Thread safe.
class Links {
public:
    using Handler = std::function<void(Envelope)>;
    using StateHandler = std::function<void(const std::string& address, Channel, bool up)>;

    /// Binds the listener. Throws Error(Internal) if the address cannot be bound. Precondition: `io` outlives this
    /// object.
    Links(asio::io_context& io, LinkSettings);
    /// Calls `stop`.
    ~Links();
    Links(const Links&) = delete;
    Links& operator=(const Links&) = delete;

    /// Sets the handler of received envelopes. Envelopes of one peer are handled one after the other in the order of
    /// arrival; those of different peers may be handled in parallel. Precondition: called before `start`.
    void onReceive(Handler);
    /// Sets the handler of state changes. If `up` is false, envelopes accepted earlier on that channel may be lost.
    /// Closing an idle channel is not reported. Precondition: called before `start`.
    void onLinkState(StateHandler);
    /// Starts receiving and sending heartbeats. Precondition: called once.
    void start();
    /// Closes all connections and drops queued messages. May block for about 600 ms. Pending callbacks are dropped, but
    /// one that has just started may still be running when this returns. Further calls have no effect.
    void stop();

    /// Returns the link address that peers use for this daemon.
    std::string address() const;
    /// Queues one envelope without blocking. False means that it was not sent and never will be: the channel is down or
    /// cannot be opened, its queue is full, the address is malformed, the envelope is too large or its kind is
    /// reserved, or it has a `timeToLive` and the peer's clock is not known yet. True does not guarantee delivery.
    bool send(const std::string& address, Channel, Envelope);
    /// Opens the channel if it is closed and keeps it open for another `idleTimeout`, without sending an envelope.
    /// Saves the next envelope the wait until both directions are connected. Does nothing if the address is malformed.
    void keepOpen(const std::string& address, Channel);
    LinkCounters counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace citronplank
