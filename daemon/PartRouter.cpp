#include "daemon/PartRouter.h"

#include "daemon/PartMessages.h"

namespace citronplank {

namespace {

/// Sender identity of this daemon's own parts at its own gates.
const std::string localSender;

/// Identifies an entry instance in one incarnation. The link address comes first, so that answers find the way back.
std::string senderOf(const Envelope& envelope) { return envelope.from + "|" + std::to_string(envelope.incarnation); }

bool isIndependent(const Configuration& configuration, const std::string& service)
{
    auto it = configuration.rules.services.find(service);
    return it != configuration.rules.services.end() && it->second.policy == SendPolicy::Independent;
}

} // namespace

PartRouter::PartRouter(std::string self, ConfigurationTable& configuration, PartService& parts, PartRouterLinks links)
    : m_self(std::move(self))
    , m_configuration(configuration)
    , m_parts(parts)
    , m_links(std::move(links))
    , m_remote(LockRank::Requests)
{
}

void PartRouter::failLater(std::uint64_t partId, Outcome outcome)
{
    m_links.post([this, partId, outcome] {
        PartResult result;
        result.partId = partId;
        result.status = PartStatus::Unreachable;
        result.outcome = outcome;
        m_links.deliver(result);
    });
}

void PartRouter::send(const PartSend& it)
{
    auto owner
        = isIndependent(*m_configuration.current(), it.part.service) ? m_self : m_links.ownerOf(it.zone, it.part.leaf);
    if (owner == m_self) {
        m_parts.submit(localSender, it.part);
        return;
    }
    auto address = owner.empty() ? std::string() : m_links.linkAddressOf(owner);
    if (address.empty()) {
        failLater(it.part.partId, Outcome::NotRun);
        return;
    }
    // Noted before the send: the answer may arrive on another thread before the send returns.
    m_remote.with([&](auto& remote) { remote.emplace(it.part.partId, address); });
    Envelope envelope;
    envelope.correlation = it.part.partId;
    envelope.kind = static_cast<std::uint16_t>(MessageKind::PartRequest);
    envelope.body = encodePart(it.part);
    if (m_links.send(address, std::move(envelope)))
        return;
    if (m_remote.with([&](auto& remote) { return remote.erase(it.part.partId); }) > 0)
        failLater(it.part.partId, Outcome::NotRun);
}

void PartRouter::cancel(const PartCancel& it)
{
    auto address = m_remote.with([&](auto& remote) {
        auto found = remote.find(it.partId);
        if (found == remote.end())
            return std::string();
        auto text = found->second;
        if (!it.queuedOnly)
            remote.erase(found);
        return text;
    });
    if (address.empty()) {
        m_parts.cancel(localSender, it.partId, it.queuedOnly);
        return;
    }
    Envelope envelope;
    envelope.correlation = it.partId;
    envelope.kind = static_cast<std::uint16_t>(MessageKind::PartCancel);
    envelope.body = encodePartCancel({ it.partId, it.queuedOnly });
    m_links.send(address, std::move(envelope));
}

void PartRouter::onRequest(const Envelope& envelope) { m_parts.submit(senderOf(envelope), decodePart(envelope.body)); }

void PartRouter::onCancel(const Envelope& envelope)
{
    auto message = decodePartCancel(envelope.body);
    m_parts.cancel(senderOf(envelope), message.partId, message.queuedOnly);
}

void PartRouter::onAnswer(const Envelope& envelope)
{
    auto result = decodePartResult(envelope.body);
    // An answer to a part that this run did not send, or that was settled when its link was lost, is dropped.
    if (m_remote.with([&](auto& remote) { return remote.erase(result.partId); }) > 0)
        m_links.deliver(result);
}

void PartRouter::onLinkDown(const std::string& address)
{
    std::vector<std::uint64_t> lost;
    m_remote.with([&](auto& remote) {
        for (auto it = remote.begin(); it != remote.end();) {
            if (it->second == address) {
                lost.push_back(it->first);
                it = remote.erase(it);
            } else {
                ++it;
            }
        }
    });
    for (auto partId : lost)
        failLater(partId, Outcome::MayHaveRun);
}

void PartRouter::answer(const std::string& sender, const PartResult& result)
{
    if (sender == localSender) {
        m_links.deliver(result);
        return;
    }
    Envelope envelope;
    envelope.correlation = result.partId;
    envelope.kind = static_cast<std::uint16_t>(MessageKind::PartAnswer);
    envelope.body = encodePartResult(result);
    m_links.send(sender.substr(0, sender.find('|')), std::move(envelope));
}

} // namespace citronplank
