// Relays: parts of requests that this entry instance delegates to peers, and those that it runs for peers.
#include "daemon/RouteService.h"

namespace citronplank {

void RouteService::sendRelay(Id id, const RelaySend& send)
{
    const auto& request = m_running.at(id)->request;
    m_counters.counter("relays_sent_total").add();
    RelayedCall call { send.request, request.method, request.target, request.headers, request.body };
    if (m_sender(send.peer, MessageKind::RelayRequest, encode(call), (id << relayNumberBits) | send.relay))
        return;
    asio::post(m_strand, [this, id, relay = send.relay] {
        if (auto found = m_running.find(id); found != m_running.end())
            perform(id, found->second->execution->onRelayFailed(relay, Clock::now()));
    });
}

void RouteService::onRelayMessage(
    const std::string& sender, MessageKind kind, std::string_view body, std::uint64_t correlation)
{
    if (kind == MessageKind::RelayRequest) {
        asio::post(m_strand, [this, sender, correlation, call = decodeRelayedCall(body)]() mutable {
            beginRelayed(sender, correlation, std::move(call));
        });
    } else if (kind == MessageKind::RelayCancel) {
        asio::post(m_strand, [this, sender, correlation] { cancelRelayed(sender, correlation); });
    } else {
        asio::post(m_strand, [this, correlation, answer = decodeRelayAnswer(body)] {
            auto id = correlation >> relayNumberBits;
            auto relay = static_cast<std::uint32_t>(correlation & relayNumberMask);
            if (auto found = m_running.find(id); found != m_running.end())
                perform(id, found->second->execution->onRelayAnswer(relay, answer, Clock::now()));
        });
    }
}

void RouteService::beginRelayed(const std::string& entry, std::uint64_t correlation, RelayedCall call)
{
    auto id = ++m_lastId;
    m_counters.counter("relays_served_total").add();
    HttpRequest request { std::move(call.method), std::move(call.target), std::move(call.headers),
        std::move(call.body) };
    auto caller = m_protocol.readCallerInfo(request);
    auto fingerprint = fingerprintOf(request);
    auto gather
        = std::make_unique<RelayedGather>(std::move(call.relay), id * RouteExecution::attemptsPerRequest, m_policies);
    auto actions = gather->start(Clock::now());
    m_relayedIds[{ entry, correlation }] = id;
    m_relayed.emplace(id,
        std::make_unique<RelayedRequest>(RelayedRequest { entry, correlation, std::move(caller), std::move(request),
            fingerprint, std::move(gather), LeafConnection::Timer(m_strand) }));
    performRelayed(id, std::move(actions));
}

void RouteService::cancelRelayed(const std::string& entry, std::uint64_t correlation)
{
    auto found = m_relayedIds.find({ entry, correlation });
    if (found != m_relayedIds.end())
        performRelayed(found->second, m_relayed.at(found->second)->gather->cancel());
}

void RouteService::performRelayed(Id id, RelayActions actions)
{
    auto& relayed = *m_relayed.at(id);
    for (auto attempt : actions.cancels)
        cancelAttempt(relayed.gather->leafOf(attempt), attempt);
    for (const auto& it : actions.answers)
        m_sender(relayed.entry, MessageKind::RelayAnswer, encode(it), relayed.correlation);
    for (const auto& it : actions.sends) {
        sendToLeaf(it, relayed.request, [this, id, attempt = it.attempt, leaf = it.leaf](LeafReply reply) {
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
