#include "daemon/DaemonImpl.h"
#include "daemon/Logging.h"

#include <asio/post.hpp>

namespace citronplank {

void Daemon::Impl::onEnvelope(const Envelope& envelope)
{
    m_heardPeer = true;
    try {
        dispatch(envelope);
    } catch (const Error& error) {
        log(LogLevel::Warning, "link", "A message from " + envelope.sender + " is dropped: " + error.what() + ".");
    }
}

void Daemon::Impl::dispatch(const Envelope& envelope)
{
    switch (static_cast<MessageKind>(envelope.kind)) {
    case MessageKind::Control:
        return onControlMessage(envelope);
    case MessageKind::Lease:
        return onZoneMessage(envelope);
    case MessageKind::PartRequest:
        return m_router->onRequest(envelope);
    case MessageKind::PartAnswer:
        return m_router->onAnswer(envelope);
    case MessageKind::PartCancel:
        return m_router->onCancel(envelope);
    case MessageKind::ConfigurationFetch:
        return onConfigurationFetch(envelope);
    case MessageKind::ConfigurationAnswer:
        return onConfigurationAnswer(envelope);
    case MessageKind::DirectoryFetch:
        return onDirectoryFetch(envelope);
    case MessageKind::DirectoryAnswer:
        return onDirectoryAnswer(envelope);
    case MessageKind::Freshness:
        return onFreshnessNotice(envelope.body);
    case MessageKind::Suspicion:
        return adoptSuspicion(envelope.body);
    }
    throw Error(ErrorKind::BadRequest, "unknown message kind " + std::to_string(envelope.kind));
}

void Daemon::Impl::onControlMessage(const Envelope& envelope)
{
    auto message = decodeControlMessage(envelope.body);
    if (const auto* answer = std::get_if<ProposeAnswer>(&message.body))
        m_controlClient->onAnswer(*answer, Clock::now());
    else if (m_control)
        m_control->receive(envelope.sender, std::move(message));
}

void Daemon::Impl::onZoneMessage(const Envelope& envelope)
{
    auto message = decodeZoneMessage(envelope.body);
    if (!message)
        throw Error(ErrorKind::BadRequest, "malformed zone message");
    bool isForLeader = std::holds_alternative<LeaseRequest>(*message) || std::holds_alternative<ViewJoin>(*message)
        || std::holds_alternative<ViewLeave>(*message);
    if (!isForLeader)
        m_lease->receive(*message);
    else if (m_views)
        m_views->receive(*message);
}

/// Control members are known from the settings, so that they find each other before gossip does.
std::string Daemon::Impl::addressOf(const std::string& name) const
{
    auto it = m_settings.controlMembers.find(name);
    return it != m_settings.controlMembers.end() ? it->second : m_membership->linkAddressOf(name);
}

bool Daemon::Impl::sendTo(const std::string& name, MessageKind kind, std::string body)
{
    Envelope envelope;
    envelope.kind = static_cast<std::uint16_t>(kind);
    envelope.body = std::move(body);
    if (name == m_settings.name) {
        envelope.from = m_links->address();
        envelope.sender = name;
        envelope.incarnation = m_incarnation;
        asio::post(m_io, [this, envelope = std::move(envelope)] { onEnvelope(envelope); });
        return true;
    }
    auto address = addressOf(name);
    return !address.empty() && m_links->send(address, Lane::Control, std::move(envelope));
}

bool Daemon::Impl::offerProposal(const std::string& member, const Propose& proposal)
{
    ControlMessage message;
    message.from.name = m_settings.name;
    message.body = proposal;
    return sendTo(member, MessageKind::Control, encode(message));
}

void Daemon::Impl::sendZoneMessage(const std::string& member, const ZoneMessage& message)
{
    auto name = member.empty() ? m_controlClient->leader() : member;
    if (!name.empty())
        sendTo(name, MessageKind::Lease, encodeZoneMessage(message));
}

} // namespace citronplank
