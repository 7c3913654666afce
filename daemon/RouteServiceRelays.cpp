// Relays: parts of requests that this entry instance delegates to peers, and those that it runs for peers.
#include "daemon/RouteService.h"

#include "daemon/Logging.h"

namespace citronplank {

namespace {

constexpr milliseconds unlimited { 0 }; // time to live of a message
constexpr milliseconds minBatchAfter { 1 };
constexpr milliseconds batchLogInterval { 100 };

} // namespace

void RouteService::sendRelay(Id id, const RelaySend& send)
{
    const auto& request = m_running.at(id)->request;
    m_counters.counter("relays_sent_total").add();
    RelayedCall call { send.request, request.method, request.target, request.headers, request.body };
    if (m_sender(send.peer, MessageKind::RelayRequest, encode(call), (id << relayNumberBits) | send.relay, send.wait))
        return;
    asio::post(m_strand, [this, id, relay = send.relay] {
        if (auto* running = findConnected(id))
            perform(id, running->execution->onRelayFailed(relay, Clock::now()));
    });
}

void RouteService::cancelRelay(Id id, const CallerInfo& caller, const std::string& peer, std::uint32_t relay)
{
    if (m_sender(peer, MessageKind::RelayCancel, {}, (id << relayNumberBits) | relay, unlimited))
        return;
    m_counters.counter("relay_cancels_unsent_total").add();
    log(LogLevel::Info, "relay",
        "request id=" + caller.id + " peer=" + peer
            + " outcome=cancel_unsent; the peer stops at the time limit of its leaves");
}

void RouteService::onRelayMessage(const Envelope& envelope)
{
    auto kind = static_cast<MessageKind>(envelope.kind);
    if (kind == MessageKind::RelayRequest) {
        Envelope head { .sender = envelope.sender,
            .correlation = envelope.correlation,
            .timeToLive = envelope.timeToLive,
            .sentAt = envelope.sentAt };
        asio::post(m_strand, [this, head = std::move(head), call = decodeRelayedCall(envelope.body)]() mutable {
            beginRelayed(head, std::move(call));
        });
    } else if (kind == MessageKind::RelayCancel) {
        asio::post(m_strand, [this, sender = envelope.sender, correlation = envelope.correlation] {
            cancelRelayed(sender, correlation);
        });
    } else {
        asio::post(m_strand, [this, correlation = envelope.correlation, answer = decodeRelayAnswer(envelope.body)] {
            auto id = correlation >> relayNumberBits;
            auto relay = static_cast<std::uint32_t>(correlation & relayNumberMask);
            for (const auto& it : answer.leaving) {
                Announcement leaf;
                leaf.leaf = it.leaf;
                leaf.boot = it.boot;
                recordNotice(leaf, { .isLeaving = true }, "relay=" + std::to_string(correlation));
            }
            if (auto* running = findConnected(id))
                perform(id, running->execution->onRelayAnswer(relay, answer, Clock::now()));
        });
    }
}

void RouteService::beginRelayed(const Envelope& envelope, RelayedCall call)
{
    checkView();
    const auto& entry = envelope.sender;
    auto correlation = envelope.correlation;
    auto now = Clock::now();
    HttpRequest request { std::move(call.method), std::move(call.target), std::move(call.headers),
        std::move(call.body) };
    auto caller = m_protocol.readCallerInfo(request);
    if (envelope.sentAt)
        m_counters.latency("relay_age").record(std::max(now - *envelope.sentAt, Duration::zero()));
    if (envelope.isExpired(now)) {
        m_counters.counter("relays_expired_total").add();
        log(LogLevel::Info, "relay",
            "request id=" + caller.id + " entry=" + entry + " parts=" + std::to_string(call.relay.services.size())
                + " age_ms=" + formatDecimal(inMilliseconds(now - *envelope.sentAt))
                + " time_to_live_ms=" + std::to_string(envelope.timeToLive.count()) + " outcome=expired");
        return;
    }
    if (envelope.sentAt) {
        // The entry instance counts these times from its send.
        auto age = std::chrono::floor<milliseconds>(std::max(now - *envelope.sentAt, Duration::zero()));
        call.relay.remaining = std::max(call.relay.remaining - age, milliseconds::zero());
        // 0 means that no batch is expected.
        if (call.relay.batchAfter > milliseconds::zero())
            call.relay.batchAfter = std::max(call.relay.batchAfter - age, minBatchAfter);
    }
    auto id = ++m_lastId;
    m_counters.counter("relays_served_total").add();
    auto fingerprint = fingerprintOf(request);
    auto gather
        = std::make_unique<RelayedGather>(std::move(call.relay), id * RouteExecution::attemptsPerRequest, m_policies);
    auto actions = gather->start(now);
    m_relayedIds[{ entry, correlation }] = id;
    m_relayed.emplace(id,
        std::make_unique<RelayedRequest>(RelayedRequest { entry, correlation, std::move(caller), std::move(request),
            fingerprint, std::move(gather), LeafConnection::Timer(m_strand), now }));
    performRelayed(id, std::move(actions));
}

void RouteService::cancelRelayed(const std::string& entry, std::uint64_t correlation)
{
    auto found = m_relayedIds.find({ entry, correlation });
    m_counters.counter(found == m_relayedIds.end() ? "relays_cancelled_late_total" : "relays_cancelled_total").add();
    if (found != m_relayedIds.end())
        performRelayed(found->second, m_relayed.at(found->second)->gather->cancel());
}

void RouteService::onPeerLost(std::string peer)
{
    asio::post(m_strand, [this, peer = std::move(peer)] {
        std::vector<Id> lost;
        for (const auto& [id, it] : m_relayed) {
            if (it->entry == peer)
                lost.push_back(id);
        }
        if (lost.empty())
            return;
        log(LogLevel::Info, "relay",
            "entry=" + peer + " is not reachable; cancelled its relay requests=" + std::to_string(lost.size()));
        for (auto id : lost)
            performRelayed(id, m_relayed.at(id)->gather->cancel());
    });
}

/// Logs a batch that lacks parts, at most once per `batchLogInterval`.
void RouteService::logBatch(const RelayedRequest& relayed, const RelayAnswer& answer)
{
    auto now = Clock::now();
    if (!answer.isBatch || answer.answered.size() == relayed.gather->partCount() || !isLogged(LogLevel::Info)
        || now - m_lastBatchLogAt < batchLogInterval)
        return;
    m_lastBatchLogAt = now;
    log(LogLevel::Info, "relay",
        "request id=" + relayed.caller.id + " entry=" + relayed.entry + " parts="
            + std::to_string(relayed.gather->partCount()) + " answered=" + std::to_string(answer.answered.size())
            + " not_sent_or_failed=" + std::to_string(answer.failed.size())
            + " ms=" + formatDecimal(inMilliseconds(now - relayed.startedAt))
            + " waits_for=" + joinNames(relayed.gather->waitingLeaves()));
}

void RouteService::performRelayed(Id id, RelayActions actions)
{
    auto& relayed = *m_relayed.at(id);
    for (auto attempt : actions.cancels)
        cancelAttempt(relayed.gather->leafOf(attempt), attempt);
    for (const auto& it : actions.answers) {
        logBatch(relayed, it);
        m_sender(relayed.entry, MessageKind::RelayAnswer, encode(it), relayed.correlation, unlimited);
    }
    for (const auto& it : actions.sends) {
        sendToLeaf(
            it, relayed.request, relayed.caller, [this, id, attempt = it.attempt, leaf = it.leaf](LeafReply reply) {
                auto found = m_relayed.find(id);
                if (found == m_relayed.end())
                    return;
                auto result = m_protocol.readReply(std::move(reply), found->second->caller);
                result.attempt = attempt;
                recordAttemptEnd(found->second->fingerprint, found->second->caller, leaf, result.status);
                performRelayed(id, found->second->gather->onResult(std::move(result), Clock::now()));
            });
    }
    if (actions.finished) {
        m_relayedIds.erase({ relayed.entry, relayed.correlation });
        m_relayed.erase(id);
        return;
    }
    if (!actions.nextTimer)
        return;
    relayed.timer.expires_at(*actions.nextTimer);
    relayed.timer.async_wait([this, id](const std::error_code& ec) {
        auto found = m_relayed.find(id);
        if (!ec && found != m_relayed.end())
            performRelayed(id, found->second->gather->onTimer(Clock::now()));
    });
}

} // namespace citronplank
