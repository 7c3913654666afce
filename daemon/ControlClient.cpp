#include "daemon/ControlClient.h"

namespace citronplank {

ControlClient::ControlClient(std::vector<std::string> members, Sender sender, std::uint64_t lastId)
    : m_sender(std::move(sender))
    , m_table(LockRank::Requests)
{
    m_table.with([&](Table& table) { table.lastId = lastId; });
    setMembers(std::move(members));
}

void ControlClient::setMembers(std::vector<std::string> members)
{
    m_table.with([&](Table& table) { table.members = std::move(members); });
}

ControlClient::OutgoingProposal ControlClient::prepareProposal(
    Table& table, std::uint64_t id, Pending& it, TimePoint now)
{
    it.sent = true;
    it.retryAt.reset();
    it.answerDeadline = now + proposalAnswerTimeout;
    auto member = table.leader;
    if (member.empty())
        member = table.members[table.nextMember++ % table.members.size()];
    return { member, { id, it.command } };
}

void ControlClient::submit(Command command, milliseconds timeout, Handler handler, TimePoint now)
{
    if (m_table.with([](Table& table) { return table.members.empty(); })) {
        handler({ ProposeStatus::NotLeader, 0, {} });
        return;
    }
    auto outgoing = m_table.with([&](Table& table) {
        auto id = ++table.lastId;
        auto& it = table.pending[id];
        it.command = std::move(command);
        it.handler = std::move(handler);
        it.retryDeadline = now + timeout;
        return prepareProposal(table, id, it, now);
    });
    sendProposals({ std::move(outgoing) }, now);
}

void ControlClient::sendProposals(const std::vector<OutgoingProposal>& outgoing, TimePoint now)
{
    for (const auto& it : outgoing) {
        if (!m_sender(it.member, it.proposal))
            onAnswer({ it.proposal.proposalId, ProposeStatus::NotLeader, {}, 0, {} }, now);
    }
}

void ControlClient::onAnswer(const ProposeAnswer& answer, TimePoint now)
{
    Handler handler;
    m_table.with([&](Table& table) {
        auto found = table.pending.find(answer.proposalId);
        if (found == table.pending.end() || !found->second.sent)
            return;
        if (answer.status != ProposeStatus::NotLeader) {
            handler = std::move(found->second.handler);
            table.pending.erase(found);
            return;
        }
        table.leader = answer.leader;
        found->second.sent = false;
        found->second.retryAt = now + leaderRetryInterval;
    });
    if (handler)
        handler({ answer.status, answer.index, answer.result });
}

void ControlClient::onTimer(TimePoint now)
{
    std::vector<OutgoingProposal> outgoing;
    Finished finished;
    m_table.with([&](Table& table) {
        for (auto it = table.pending.begin(); it != table.pending.end();) {
            auto& pending = it->second;
            bool isLost = pending.sent && now >= pending.answerDeadline;
            bool isExpired = !pending.sent && now >= pending.retryDeadline;
            if (isLost || isExpired) {
                auto status = isLost ? ProposeStatus::Unknown : ProposeStatus::NotLeader;
                finished.emplace_back(std::move(pending.handler), SubmitResult { status, 0, {} });
                if (isLost)
                    table.leader.clear();
                it = table.pending.erase(it);
                continue;
            }
            if (pending.retryAt && now >= *pending.retryAt)
                outgoing.push_back(prepareProposal(table, it->first, pending, now));
            ++it;
        }
    });
    for (auto& [handler, result] : finished)
        handler(result);
    sendProposals(outgoing, now);
}

void ControlClient::setLeader(const std::string& name)
{
    m_table.with([&](Table& table) { table.leader = name; });
}

std::string ControlClient::leader() const
{
    return m_table.with([](Table& table) { return table.leader; });
}

} // namespace citronplank
