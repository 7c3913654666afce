// Implementation class of Links. In the terms of nng, a pipe is one established connection of a socket, and an aio is
// an asynchronous operation.
#pragma once

#include "transport/EnvelopeCodec.h"
#include "transport/Links.h"
#include "transport/PeerClock.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <mutex>
#include <nng/nng.h>
#include <unordered_map>

namespace citronplank {

constexpr std::size_t channelCount = 2;

/// One outgoing connection to one peer. The fields except `socket`, `id`, `epoch` and `links` are guarded by the mutex
/// of Impl.
///
/// In nng 1.5 a push socket may keep a connection that has ended in its list of those ready to send, until and after it
/// has freed it. The next send, or the next connection of the same socket, then uses freed memory. So a socket has one
/// connection in its life, and nothing is sent once nng has reported its end, which it does before it frees it.
struct Dialer {
    /// Whether a connection that nng has established may be used. Thread safe.
    bool admitPipe();
    /// Sends without blocking, and takes the message if it returns true. Thread safe.
    bool trySend(nng_msg*);
    /// Returns once no call of `trySend` is in progress; later ones return false. Thread safe.
    void endSends();

    enum class State : std::uint8_t {
        Opening, // first connection attempt: sends are queued until the heartbeat timeout
        Up,
        Down, // sends are refused until a heartbeat is answered
    };
    nng_socket socket {};
    std::uint64_t id = 0;      // key in the PipeRegistry; the argument of nng's pipe callbacks
    std::uint64_t epoch = 0;   // see WireEnvelope
    std::weak_ptr<void> links; // the Impl that has opened it
    State state = State::Opening;
    bool isDialling = true; // set before the dialer is visible to other threads, cleared when nng_dial has returned
    bool closeAfterDial = false;
    bool isClosed = false;
    bool hasPipe = false;  // connected
    bool lostPipe = false; // the connection has ended; the next tick replaces the dialer
    TimePoint openedAt;
    TimePoint lastAnswer;
    TimePoint lastUse;     // last send by the daemon
    TimePoint lastPeerUse; // last heartbeat by which the peer reported that it uses the channel
    PeerClock peerClock;   // of the process at the other end of this connection

private:
    std::mutex m_sendMutex; // held across sends into nng; no other mutex is acquired under it
    bool m_hadPipe = false;
    bool m_sendsEnded = false;
};

/// Newest connection of a peer for one channel. Messages of older ones of the same incarnation are dropped.
struct InboundChannel {
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
};

/// A peer that has sent messages. Its strand keeps the order of their handler calls.
struct InboundPeer {
    asio::strand<asio::io_context::executor_type> strand;
    std::array<InboundChannel, channelCount> channels;
};

using Strand = asio::strand<asio::io_context::executor_type>;
using DialerKey = std::pair<std::string, Channel>;

struct DialerKeyHash {
    std::size_t operator()(const DialerKey& key) const
    {
        return std::hash<std::string> {}(key.first) * 2 + static_cast<std::size_t>(key.second);
    }
};

class Links::Impl : public std::enable_shared_from_this<Links::Impl> {
public:
    Impl(asio::io_context& io, LinkSettings settings)
        : m_io(io)
        , m_settings(std::move(settings))
        , m_timer(asio::make_strand(io))
        , m_stateStrand(asio::make_strand(io))
    {
    }

    void bind();
    void start();
    void stop();
    bool send(const std::string& address, Channel, Envelope&&);
    void keepOpen(const std::string& address, Channel);
    LinkCounters counters();

    void setHandler(Handler handler) { m_handler = std::move(handler); }
    void setStateHandler(StateHandler handler) { m_stateHandler = std::move(handler); }
    const std::string& address() const { return m_address; }

private:
    static void receiveCallback(void* self) { static_cast<Impl*>(self)->received(); }
    static void pipeCallback(nng_pipe pipe, nng_pipe_ev event, void* id);

    static void inboundPipeCallback(nng_pipe, nng_pipe_ev event, void* id);

    void awaitStartingPipes();
    void received();
    void receiveNext();
    void handleMessage(std::string_view bytes);
    void deliver(Envelope&&, const Strand&);
    std::optional<Strand> admitInbound(const WireEnvelope&);
    void answerHeartbeat(const WireEnvelope&);
    void acceptHeartbeatAnswer(const WireEnvelope&);
    void pipeChanged(std::uint64_t id, nng_pipe_ev event);

    std::shared_ptr<Dialer> openDialer(std::uint64_t epoch);
    std::shared_ptr<Dialer> findOrOpen(const DialerKey&);
    void closeDialer(Dialer&);
    void dial(const DialerKey&, Dialer&);
    void discard(Dialer&);
    void redial(const DialerKey&, const std::shared_ptr<Dialer>& old);
    bool push(const DialerKey&, Dialer&, Envelope&&);
    void sendHeartbeat(const DialerKey&, Dialer&, bool inUse);
    void reportState(const DialerKey&, bool up);
    void scheduleTick();
    void tick();
    void tickDialer(const DialerKey&, const std::shared_ptr<Dialer>&, TimePoint now);

    asio::io_context& m_io;
    LinkSettings m_settings;
    Handler m_handler;
    StateHandler m_stateHandler;
    std::string m_address;
    asio::steady_timer m_timer; // used on its strand, because `stop` may run beside its handler
    Strand m_stateStrand;
    nng_socket m_pull {};
    std::uint64_t m_pullId = 0; // key of m_pull in the PipeRegistry
    std::mutex m_receiveMutex;  // prevents a resumed receive from using the aio after `stop` has freed it
    nng_aio* m_receiveAio = nullptr;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_startingPipes { 0 }; // accepted connections between nng's events ADD_PRE and ADD_POST

    std::mutex m_mutex; // guards the members below except m_ticks; never held across a call into nng or a callback
    std::unordered_map<DialerKey, std::shared_ptr<Dialer>, DialerKeyHash> m_dialers;
    std::unordered_map<std::uint64_t, DialerKey> m_keyOfId; // by Dialer::id
    std::unordered_map<std::string, InboundPeer> m_inbound; // by link address
    std::uint64_t m_lastEpoch = 0;
    std::size_t m_pending = 0;    // received envelopes whose handler call has not ended
    bool m_receivePaused = false; // too many envelopes are pending
    unsigned m_ticks = 0;         // heartbeat intervals since the start; used by the timer handler only
    LinkCounters m_counters;
};

} // namespace citronplank
