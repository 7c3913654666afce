#include "daemon/PartRouter.h"

#include "daemon/PartMessages.h"

namespace citronplank {

namespace {

/// Sender name of this daemon's own parts at its own gates.
const std::string localSender;

/// Identifies an entry instance in one incarnation. Starts with the link address, to which the answer is sent.
std::string senderOf(const Envelope& envelope) { return envelope.from + "|" + std::to_string(envelope.incarnation); }

bool isIndependent(const Configuration& configuration, const std::string& service)
{
    auto it = configuration.rules.services.find(service);
    return it != configuration.rules.services.end() && it->second.policy == SendPolicy::Independent;
}

} // namespace

PartRouter::PartRouter(
    std::string self, ConfigurationTable& configuration, PartService& parts, PartRouterCallbacks callbacks)
    : m_self(std::move(self))
    , m_configuration(configuration)
    , m_parts(parts)
    , m_callbacks(std::move(callbacks))
    , m_remoteParts(LockRank::Requests)
{
}

void PartRouter::postFailure(std::uint64_t partId, Outcome outcome)
{
    m_callbacks.post([this, partId, outcome] {
        PartResult result;
        result.partId = partId;
        result.status = PartStatus::Unreachable;
        result.outcome = outcome;
        m_callbacks.deliver(result);
    });
}

void PartRouter::send(const PartSend& it)
{
    auto owner = isIndependent(*m_configuration.current(), it.part.service)
        ? m_self
        : m_callbacks.ownerOf(it.zone, it.part.leaf);
    if (owner == m_self) {
        m_parts.submit(localSender, it.part);
        return;
    }
    auto address = owner.empty() ? std::string() : m_callbacks.linkAddressOf(owner);
    if (address.empty()) {
        postFailure(it.part.partId, Outcome::NotRun);
        return;
    }
    // Stored before sending: the answer may arrive on another thread before send() returns.
    m_remoteParts.with([&](auto& remote) { remote.emplace(it.part.partId, address); });
    Envelope envelope;
    envelope.correlation = it.part.partId;
    envelope.kind = static_cast<std::uint16_t>(MessageKind::PartRequest);
    envelope.body = encodePart(it.part);
    Envelope timed = envelope;
    timed.timeToLive = it.part.remaining;
    // The owner's clock is not known while the link opens.
    if (m_callbacks.send(address, std::move(timed)) || m_callbacks.send(address, std::move(envelope)))
        return;
    if (m_remoteParts.with([&](auto& remote) { return remote.erase(it.part.partId); }) > 0)
        postFailure(it.part.partId, Outcome::NotRun);
}

void PartRouter::cancel(const PartCancel& it)
{
    auto address = m_remoteParts.with([&](auto& remote) {
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
    m_callbacks.send(address, std::move(envelope));
}

/// The time since the send counts towards the deadline, so that a part which was delayed on its way, or in this
/// process, does not run after its query has ended.
void PartRouter::onRequest(const Envelope& envelope)
{
    auto part = decodePart(envelope.body);
    auto now = Clock::now();
    if (envelope.isExpired(now)) {
        PartResult result;
        result.partId = part.partId;
        result.status = PartStatus::Deadline;
        result.outcome = Outcome::NotRun;
        answer(senderOf(envelope), result);
        return;
    }
    if (envelope.sentAt)
        part.remaining -= std::chrono::floor<milliseconds>(std::max(now - *envelope.sentAt, Duration::zero()));
    m_parts.submit(senderOf(envelope), part);
}

void PartRouter::onCancel(const Envelope& envelope)
{
    auto message = decodePartCancel(envelope.body);
    m_parts.cancel(senderOf(envelope), message.partId, message.queuedOnly);
}

void PartRouter::onAnswer(const Envelope& envelope)
{
    auto result = decodePartResult(envelope.body);
    // Drops an answer to a part of an earlier incarnation, or to one that has already failed because its link was lost.
    if (m_remoteParts.with([&](auto& remote) { return remote.erase(result.partId); }) > 0)
        m_callbacks.deliver(result);
}

void PartRouter::onLinkDown(const std::string& address)
{
    std::vector<std::uint64_t> lost;
    m_remoteParts.with([&](auto& remote) {
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
        postFailure(partId, Outcome::MayHaveRun);
}

void PartRouter::answer(const std::string& sender, const PartResult& result)
{
    if (sender == localSender) {
        m_callbacks.deliver(result);
        return;
    }
    Envelope envelope;
    envelope.correlation = result.partId;
    envelope.kind = static_cast<std::uint16_t>(MessageKind::PartAnswer);
    envelope.body = encodePartResult(result);
    m_callbacks.send(sender.substr(0, sender.find('|')), std::move(envelope));
}

} // namespace citronplank
