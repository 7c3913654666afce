#include "transport/Links.h"

#include "transport/LinksImpl.h"
#include "transport/PipeRegistry.h"
#include "transport/SocketCloser.h"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <thread>

namespace citronplank {

namespace {

constexpr std::uint16_t heartbeatKind = firstReservedKind;
constexpr std::uint16_t heartbeatAnswerKind = firstReservedKind + 1;
constexpr std::size_t maxPeers = 8192; // limits the tables whose keys come from received envelopes
constexpr nng_duration dialRetryMilliseconds = 100;
constexpr milliseconds startingPipeTimeout { 100 }; // how long `stop` waits for connections that are starting
constexpr milliseconds closeTimeout { 500 };        // how long `stop` waits until the port is released

void requireNng(int result, const std::string& what)
{
    if (result != 0)
        throw Error(ErrorKind::Internal, what + ": " + nng_strerror(result));
}

} // namespace

bool Dialer::trySend(nng_msg* message)
{
    const std::lock_guard lock(m_sendMutex);
    return !m_sendsEnded && nng_sendmsg(socket, message, NNG_FLAG_NONBLOCK) == 0;
}

bool Dialer::admitPipe()
{
    const std::lock_guard lock(m_sendMutex);
    return !m_sendsEnded && !std::exchange(m_hadPipe, true);
}

void Dialer::endSends()
{
    const std::lock_guard lock(m_sendMutex);
    m_sendsEnded = true;
}

void Links::Impl::bind()
{
    requireNng(nng_pull0_open(&m_pull), "cannot open the link listener");
    m_pullId = pipeRegistry().add(std::weak_ptr<void>(std::static_pointer_cast<void>(shared_from_this())));
    // NOLINTNEXTLINE(performance-no-int-to-ptr): nng passes one pointer-sized argument, here a number.
    void* argument = reinterpret_cast<void*>(static_cast<std::uintptr_t>(m_pullId));
    for (const nng_pipe_ev event : { NNG_PIPE_EV_ADD_PRE, NNG_PIPE_EV_ADD_POST })
        nng_pipe_notify(m_pull, event, &Impl::inboundPipeCallback, argument);
    nng_listener listener {};
    const std::string url = "tcp://" + m_settings.listenAddress;
    requireNng(nng_listener_create(&listener, m_pull, url.c_str()), "invalid link address " + m_settings.listenAddress);
    nng_listener_set_size(listener, NNG_OPT_RECVMAXSZ, m_settings.maxMessageBytes);
    requireNng(nng_listener_start(listener, 0), "cannot listen on link address " + m_settings.listenAddress);
    int port = 0;
    requireNng(nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port), "cannot read the bound link port");
    const std::string host = m_settings.listenAddress.substr(0, m_settings.listenAddress.find(':'));
    m_address = m_settings.advertisedAddress.empty() ? host + ":" + std::to_string(port) : m_settings.advertisedAddress;
    requireNng(nng_aio_alloc(&m_receiveAio, &Impl::receiveCallback, this),
        "cannot allocate the receive operation of the link listener");
}

void Links::Impl::start()
{
    receiveNext();
    asio::post(m_timer.get_executor(), [self = shared_from_this()] { self->scheduleTick(); });
}

void Links::Impl::stop()
{
    if (m_stopped.exchange(true))
        return;
    std::unordered_map<DialerKey, std::shared_ptr<Dialer>, DialerKeyHash> dialers;
    {
        const std::lock_guard lock(m_mutex);
        dialers.swap(m_dialers);
        m_keyOfId.clear();
    }
    asio::post(m_timer.get_executor(), [self = shared_from_this()] { self->m_timer.cancel(); });
    if (m_receiveAio)
        nng_aio_stop(m_receiveAio);
    for (auto& [key, dialer] : dialers)
        closeDialer(*dialer);
    awaitStartingPipes();
    closeSocket(m_pull, closeTimeout);
    pipeRegistry().remove(m_pullId);
    nng_aio* aio = nullptr;
    {
        const std::lock_guard lock(m_receiveMutex);
        aio = std::exchange(m_receiveAio, nullptr);
    }
    if (aio)
        nng_aio_free(aio);
}

bool Links::Impl::send(const std::string& address, Channel channel, Envelope&& envelope)
{
    bool accepted = false;
    if (!m_stopped && envelope.kind < firstReservedKind && isAddress(address)) {
        const DialerKey key(address, channel);
        const std::shared_ptr<Dialer> dialer = findOrOpen(key);
        bool usable = false;
        if (dialer) {
            const std::lock_guard lock(m_mutex);
            const TimePoint now = Clock::now();
            dialer->lastUse = now;
            usable = dialer->state != Dialer::State::Down;
            if (envelope.timeToLive > milliseconds::zero()) {
                envelope.sentAt = dialer->peerClock.at(now);
                usable = usable && (envelope.sentAt || dialer->peerClock.isUnsupported());
            }
        }
        accepted = usable && push(key, *dialer, std::move(envelope));
    }
    const std::lock_guard lock(m_mutex);
    ++(accepted ? m_counters.sent : m_counters.refused);
    return accepted;
}

void Links::Impl::keepOpen(const std::string& address, Channel channel)
{
    if (m_stopped || !isAddress(address))
        return;
    const std::shared_ptr<Dialer> dialer = findOrOpen(DialerKey(address, channel));
    if (!dialer)
        return;
    const std::lock_guard lock(m_mutex);
    dialer->lastUse = Clock::now();
}

LinkCounters Links::Impl::counters()
{
    const std::lock_guard lock(m_mutex);
    LinkCounters counters = m_counters;
    counters.openChannels = m_dialers.size();
    return counters;
}

/// Counts the accepted connections that are starting. While the links are stopping, rejects new ones before they start
/// (see `closeSocket`).
void Links::Impl::inboundPipeCallback(nng_pipe pipe, nng_pipe_ev event, void* argument)
{
    const auto id = reinterpret_cast<std::uintptr_t>(argument);
    const auto owner = std::static_pointer_cast<Impl>(pipeRegistry().find(id));
    if (event == NNG_PIPE_EV_ADD_PRE && (!owner || owner->m_stopped))
        nng_pipe_close(pipe);
    else if (owner)
        owner->m_startingPipes += event == NNG_PIPE_EV_ADD_PRE ? 1 : -1;
}

/// Waits up to `startingPipeTimeout` until no accepted connection is starting, because closing the listener meanwhile
/// may block (see `closeSocket`).
void Links::Impl::awaitStartingPipes()
{
    const TimePoint end = Clock::now() + startingPipeTimeout;
    while (m_startingPipes > 0 && Clock::now() < end)
        std::this_thread::sleep_for(milliseconds(1));
}

// ---- receiving

void Links::Impl::received()
{
    if (nng_aio_result(m_receiveAio) != 0) {
        const int result = nng_aio_result(m_receiveAio);
        if (result != NNG_ECLOSED && result != NNG_ECANCELED)
            receiveNext();
        return;
    }
    nng_msg* message = nng_aio_get_msg(m_receiveAio);
    handleMessage({ static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message) });
    nng_msg_free(message);
    {
        const std::lock_guard lock(m_mutex);
        if (m_pending >= m_settings.maxPendingMessages) {
            m_receivePaused = true; // `deliver` resumes
            return;
        }
    }
    receiveNext();
}

void Links::Impl::receiveNext()
{
    const std::lock_guard lock(m_receiveMutex);
    if (!m_stopped && m_receiveAio)
        nng_recv_aio(m_pull, m_receiveAio);
}

void Links::Impl::handleMessage(std::string_view bytes)
{
    std::optional<WireEnvelope> wire = decodeWire(bytes);
    if (!wire) {
        const std::lock_guard lock(m_mutex);
        ++m_counters.malformed;
        return;
    }
    auto strand = admitInbound(*wire);
    if (!strand)
        return;
    if (wire->envelope.kind == heartbeatKind)
        asio::post(
            m_io, [self = shared_from_this(), heartbeat = std::move(*wire)] { self->answerHeartbeat(heartbeat); });
    else if (wire->envelope.kind == heartbeatAnswerKind)
        acceptHeartbeatAnswer(*wire);
    else if (wire->envelope.kind < firstReservedKind)
        deliver(std::move(wire->envelope), *strand);
}

/// Drops messages from connections that the sender has replaced. After the end of a network partition, the kernel still
/// delivers buffered data of the old connection.
std::optional<Strand> Links::Impl::admitInbound(const WireEnvelope& wire)
{
    const std::lock_guard lock(m_mutex);
    auto it = m_inbound.find(wire.envelope.from);
    if (it == m_inbound.end()) {
        if (m_inbound.size() >= maxPeers)
            m_inbound.clear();
        it = m_inbound.emplace(wire.envelope.from, InboundPeer { asio::make_strand(m_io), {} }).first;
    }
    InboundChannel& channel = it->second.channels.at(static_cast<std::size_t>(wire.channel));
    if (channel.incarnation == wire.envelope.incarnation && wire.epoch < channel.epoch) {
        ++m_counters.outdated;
        return std::nullopt;
    }
    channel = { wire.envelope.incarnation, wire.epoch };
    return it->second.strand;
}

void Links::Impl::deliver(Envelope&& envelope, const Strand& strand)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_pending;
        ++m_counters.received;
    }
    asio::post(strand, [self = shared_from_this(), envelope = std::move(envelope)]() mutable {
        if (self->m_stopped)
            return;
        if (self->m_handler)
            self->m_handler(std::move(envelope));
        bool resume = false;
        {
            const std::lock_guard lock(self->m_mutex);
            --self->m_pending;
            resume = self->m_receivePaused && self->m_pending <= self->m_settings.maxPendingMessages / 2;
            if (resume)
                self->m_receivePaused = false;
        }
        if (resume)
            self->receiveNext();
    });
}

// ---- heartbeats

/// Answers a heartbeat on this daemon's own channel of the same kind to the peer, so that the answer confirms both
/// directions.
void Links::Impl::answerHeartbeat(const WireEnvelope& wire)
{
    const DialerKey key(wire.envelope.from, wire.channel);
    const bool inUse = wire.envelope.body == "1";
    std::shared_ptr<Dialer> dialer;
    if (inUse) {
        dialer = findOrOpen(key);
    } else {
        // Do not open a channel for the heartbeat of an unused one. Otherwise two idle peers would keep opening
        // channels to each other.
        const std::lock_guard lock(m_mutex);
        const auto it = m_dialers.find(key);
        dialer = it == m_dialers.end() ? nullptr : it->second;
    }
    if (!dialer)
        return;
    if (inUse) {
        const std::lock_guard lock(m_mutex);
        dialer->lastPeerUse = Clock::now();
    }
    push(key, *dialer,
        { .correlation = wire.epoch,
            .kind = heartbeatAnswerKind,
            .body = encodeClockReading(wire.envelope.correlation, Clock::now()) });
}

/// Marks the channel as up, unless the answer belongs to a connection that was replaced or has ended.
void Links::Impl::acceptHeartbeatAnswer(const WireEnvelope& wire)
{
    const DialerKey key(wire.envelope.from, wire.channel);
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_dialers.find(key);
        if (it == m_dialers.end() || it->second->epoch != wire.envelope.correlation || it->second->lostPipe)
            return;
        const TimePoint now = Clock::now();
        it->second->lastAnswer = now;
        it->second->peerClock.onAnswer(wire.envelope.body, now);
        if (it->second->state == Dialer::State::Up)
            return;
        it->second->state = Dialer::State::Up;
    }
    reportState(key, true);
}

void Links::Impl::sendHeartbeat(const DialerKey& key, Dialer& dialer, bool inUse)
{
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        number = dialer.peerClock.onHeartbeat(Clock::now());
    }
    push(key, dialer, { .correlation = number, .kind = heartbeatKind, .body = inUse ? "1" : "0" });
}

void Links::Impl::reportState(const DialerKey& key, bool up)
{
    asio::post(m_stateStrand, [self = shared_from_this(), key, up] {
        if (!self->m_stopped && self->m_stateHandler)
            self->m_stateHandler(key.first, key.second, up);
    });
}

void Links::Impl::scheduleTick()
{
    m_timer.expires_after(m_settings.heartbeatInterval);
    m_timer.async_wait([self = shared_from_this()](const std::error_code& ec) {
        if (ec || self->m_stopped)
            return;
        try {
            self->tick();
        } catch (...) {
            self->scheduleTick();
            throw;
        }
        self->scheduleTick();
    });
}

void Links::Impl::tick()
{
    std::vector<std::pair<DialerKey, std::shared_ptr<Dialer>>> dialers;
    {
        const std::lock_guard lock(m_mutex);
        dialers.assign(m_dialers.begin(), m_dialers.end());
    }
    const TimePoint now = Clock::now();
    ++m_ticks;
    for (const auto& [key, dialer] : dialers)
        tickDialer(key, dialer, now);
}

/// Closes a channel that neither side uses, replaces a connection that ended or has become unresponsive, or sends a
/// heartbeat that is due.
void Links::Impl::tickDialer(const DialerKey& key, const std::shared_ptr<Dialer>& dialer, TimePoint now)
{
    enum class Action : std::uint8_t { Heartbeat, Redial, Close } action = Action::Heartbeat;
    bool inUse = false;
    bool wentDown = false;
    bool hasPipe = false;
    const unsigned intervals = key.second == Channel::Part ? m_settings.partChannelIntervals : 1;
    const Duration timeout = intervals * m_settings.heartbeatTimeout;
    bool isDue = m_ticks % intervals == 0;
    {
        const std::lock_guard lock(m_mutex);
        hasPipe = dialer->hasPipe;
        isDue = isDue || dialer->state != Dialer::State::Up || !dialer->peerClock.isSettled();
        inUse = now - dialer->lastUse < m_settings.idleTimeout;
        const bool isUsedByPeer = now - std::max(dialer->openedAt, dialer->lastPeerUse) <= timeout;
        const bool isBroken = dialer->lostPipe || now - std::max(dialer->openedAt, dialer->lastAnswer) > timeout;
        if (isBroken) {
            wentDown = dialer->state != Dialer::State::Down;
            dialer->state = Dialer::State::Down;
        }
        if (!inUse && (isBroken || !isUsedByPeer)) {
            // The next heartbeat of a peer that still uses the channel opens it again.
            action = Action::Close;
            m_dialers.erase(key);
            m_keyOfId.erase(dialer->id);
        } else if (isBroken) {
            action = Action::Redial;
        }
    }
    if (wentDown)
        reportState(key, false);
    if (action == Action::Close)
        closeDialer(*dialer);
    else if (action == Action::Redial)
        redial(key, dialer);
    else if (hasPipe && isDue)
        sendHeartbeat(key, *dialer, inUse);
}

// ---- connecting

void Links::Impl::pipeCallback(nng_pipe pipe, nng_pipe_ev event, void* argument)
{
    const auto id = reinterpret_cast<std::uintptr_t>(argument);
    const auto dialer = std::static_pointer_cast<Dialer>(pipeRegistry().find(id));
    if (event == NNG_PIPE_EV_ADD_PRE) {
        if (!dialer || !dialer->admitPipe())
            nng_pipe_close(pipe);
        return;
    }
    if (event == NNG_PIPE_EV_REM_POST && dialer)
        dialer->endSends();
    if (const auto owner = dialer ? std::static_pointer_cast<Impl>(dialer->links.lock()) : nullptr)
        owner->pipeChanged(id, event);
}

void Links::Impl::pipeChanged(std::uint64_t id, nng_pipe_ev event)
{
    DialerKey key;
    std::shared_ptr<Dialer> dialer;
    bool wentDown = false;
    bool inUse = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_keyOfId.find(id);
        if (it == m_keyOfId.end())
            return;
        key = it->second;
        const auto found = m_dialers.find(key);
        if (found == m_dialers.end() || found->second->id != id)
            return;
        dialer = found->second;
        dialer->hasPipe = event == NNG_PIPE_EV_ADD_POST;
        inUse = Clock::now() - dialer->lastUse < m_settings.idleTimeout;
        if (!dialer->hasPipe) {
            dialer->lostPipe = true;
            wentDown = dialer->state != Dialer::State::Down;
            dialer->state = Dialer::State::Down;
        }
    }
    if (wentDown)
        reportState(key, false);
    if (event == NNG_PIPE_EV_ADD_POST)
        asio::post(m_io, [self = shared_from_this(), key, dialer, inUse] { self->sendHeartbeat(key, *dialer, inUse); });
    else // nng would go on to connect it again
        asio::post(m_io, [self = shared_from_this(), dialer] { self->closeDialer(*dialer); });
}

/// Opens a socket without connecting it. Returns null if nng cannot open one.
std::shared_ptr<Dialer> Links::Impl::openDialer(std::uint64_t epoch)
{
    auto dialer = std::make_shared<Dialer>();
    if (nng_push0_open(&dialer->socket) != 0)
        return nullptr;
    dialer->id = pipeRegistry().add(std::weak_ptr<void>(std::static_pointer_cast<void>(dialer)));
    dialer->links = std::static_pointer_cast<void>(shared_from_this());
    dialer->epoch = epoch;
    dialer->openedAt = Clock::now();
    nng_socket_set_int(dialer->socket, NNG_OPT_SENDBUF, m_settings.sendQueueLength);
    nng_socket_set_ms(dialer->socket, NNG_OPT_RECONNMINT, dialRetryMilliseconds);
    nng_socket_set_ms(dialer->socket, NNG_OPT_RECONNMAXT, dialRetryMilliseconds);
    // NOLINTNEXTLINE(performance-no-int-to-ptr): nng passes one pointer-sized argument, here a number.
    void* argument = reinterpret_cast<void*>(static_cast<std::uintptr_t>(dialer->id));
    for (const nng_pipe_ev event : { NNG_PIPE_EV_ADD_PRE, NNG_PIPE_EV_ADD_POST, NNG_PIPE_EV_REM_POST })
        nng_pipe_notify(dialer->socket, event, &Impl::pipeCallback, argument);
    return dialer;
}

std::shared_ptr<Dialer> Links::Impl::findOrOpen(const DialerKey& key)
{
    std::uint64_t epoch = 0;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_dialers.find(key);
        if (it != m_dialers.end())
            return it->second;
        if (m_stopped || m_dialers.size() >= maxPeers)
            return nullptr;
        epoch = ++m_lastEpoch;
    }
    std::shared_ptr<Dialer> dialer = openDialer(epoch);
    if (!dialer)
        return nullptr;
    std::shared_ptr<Dialer> winner;
    {
        const std::lock_guard lock(m_mutex);
        winner = m_stopped ? nullptr : m_dialers.try_emplace(key, dialer).first->second;
        if (winner == dialer)
            m_keyOfId.emplace(dialer->id, key);
    }
    if (winner != dialer)
        discard(*dialer); // another thread has opened this channel, or the links are stopping
    else
        dial(key, *dialer);
    return winner;
}

/// Closes the socket of a dialer, unless that was done, and drops its queued messages. If nng_dial is running, `dial`
/// closes the socket afterwards, so that nng_dial and nng_close never overlap.
void Links::Impl::closeDialer(Dialer& dialer)
{
    {
        const std::lock_guard lock(m_mutex);
        if (dialer.isDialling) {
            dialer.closeAfterDial = true;
            return;
        }
        if (std::exchange(dialer.isClosed, true))
            return;
    }
    dialer.endSends();
    pipeRegistry().remove(dialer.id);
    closeSocket(dialer.socket, milliseconds(0));
}

void Links::Impl::dial(const DialerKey& key, Dialer& dialer)
{
    nng_dial(dialer.socket, ("tcp://" + key.first).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    bool close = false;
    {
        const std::lock_guard lock(m_mutex);
        dialer.isDialling = false;
        close = dialer.closeAfterDial;
    }
    if (close)
        closeDialer(dialer);
}

/// Closes a dialer that is not visible to other threads and was never dialled.
void Links::Impl::discard(Dialer& dialer)
{
    dialer.isDialling = false;
    closeDialer(dialer);
}

/// Replaces the connection of a channel by a new one unless another thread has done so or closed the channel.
void Links::Impl::redial(const DialerKey& key, const std::shared_ptr<Dialer>& old)
{
    std::uint64_t epoch = 0;
    {
        const std::lock_guard lock(m_mutex);
        epoch = ++m_lastEpoch;
    }
    std::shared_ptr<Dialer> fresh = openDialer(epoch);
    bool replaced = false;
    if (fresh) {
        const std::lock_guard lock(m_mutex);
        fresh->state = Dialer::State::Down;
        fresh->lastUse = old->lastUse;
        fresh->lastPeerUse = old->lastPeerUse;
        const auto it = m_dialers.find(key);
        if (it != m_dialers.end() && it->second == old) {
            it->second = fresh;
            m_keyOfId.erase(old->id);
            m_keyOfId.emplace(fresh->id, key);
            ++m_counters.redials;
            replaced = true;
        }
    }
    if (replaced) {
        closeDialer(*old);
        dial(key, *fresh);
    } else if (fresh) {
        discard(*fresh);
    }
}

/// Queues an envelope on the socket without blocking. Returns false if it is too large, the queue is full or the
/// connection has ended.
bool Links::Impl::push(const DialerKey& key, Dialer& dialer, Envelope&& envelope)
{
    envelope.from = m_address;
    envelope.sender = m_settings.sender;
    envelope.incarnation = m_settings.incarnation;
    const std::string bytes = encodeWire({ dialer.epoch, key.second, std::move(envelope) });
    nng_msg* message = nullptr;
    if (bytes.size() > m_settings.maxMessageBytes || nng_msg_alloc(&message, 0) != 0)
        return false;
    if (nng_msg_append(message, bytes.data(), bytes.size()) != 0 || !dialer.trySend(message)) {
        nng_msg_free(message);
        return false;
    }
    return true;
}

// ---- Links

Links::Links(asio::io_context& io, LinkSettings settings)
    : m_impl(std::make_shared<Impl>(io, std::move(settings)))
{
    try {
        m_impl->bind();
    } catch (...) {
        m_impl->stop();
        throw;
    }
}

Links::~Links() { m_impl->stop(); }

void Links::onReceive(Handler handler) { m_impl->setHandler(std::move(handler)); }

void Links::onLinkState(StateHandler handler) { m_impl->setStateHandler(std::move(handler)); }

void Links::start() { m_impl->start(); }

void Links::stop() { m_impl->stop(); }

std::string Links::address() const { return m_impl->address(); }

bool Links::send(const std::string& address, Channel channel, Envelope envelope)
{
    return m_impl->send(address, channel, std::move(envelope));
}

void Links::keepOpen(const std::string& address, Channel channel) { m_impl->keepOpen(address, channel); }

LinkCounters Links::counters() const { return m_impl->counters(); }

} // namespace citronplank
