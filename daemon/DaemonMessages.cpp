#include "daemon/DaemonImpl.h"

namespace citronplank {

void Daemon::Impl::onMessage(const Envelope& envelope)
{
    switch (static_cast<MessageKind>(envelope.kind)) {
    case MessageKind::Lease:
        return onZoneMessage(envelope);
    case MessageKind::PartRequest:
        return m_router->onRequest(envelope);
    case MessageKind::PartAnswer:
        return m_router->onAnswer(envelope);
    case MessageKind::PartCancel:
        return m_router->onCancel(envelope);
    case MessageKind::Suspicion:
        return applySuspicion(envelope.body);
    default:
        return Node::onMessage(envelope);
    }
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

void Daemon::Impl::sendZoneMessage(const std::string& member, const ZoneMessage& message)
{
    auto name = member.empty() ? m_controlClient->leader() : member;
    if (!name.empty())
        sendTo(name, MessageKind::Lease, encodeZoneMessage(message));
}

} // namespace citronplank
