// Elections of the control log. Included by ControlLog.h only.
#pragma once

#include "coordination/ControlLog.h"

namespace citronplank {

template <ControlStorage Storage>
void ControlLog<Storage>::resetElectionTimer()
{
    auto span = static_cast<std::uint64_t>(m_settings.electionTimeout.count());
    m_electionDeadline = m_now + m_settings.electionTimeout + milliseconds(m_random() % (span + 1));
}

template <ControlStorage Storage>
bool ControlLog<Storage>::knowsLiveLeader() const
{
    return isLeader() || (m_heardLeaderAt && m_now - *m_heardLeaderAt < m_settings.electionTimeout);
}

/// Whether a log that ends with the given entry is at least as up to date as the log of this member (Raft,
/// section 5.4.1).
template <ControlStorage Storage>
bool ControlLog<Storage>::logIsUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const
{
    if (lastTerm != m_window.lastTerm())
        return lastTerm > m_window.lastTerm();
    return lastIndex >= m_window.lastIndex();
}

/// Asks the voters whether they would grant a vote, without changing any term. So a member that was isolated does not
/// depose a leader that the others still hear from.
template <ControlStorage Storage>
void ControlLog<Storage>::startPreVote()
{
    resetElectionTimer();
    setRole(ControlRole::PreCandidate);
    m_leader.clear();
    m_votes = { self() };
    if (hasMajority(m_members.current(), m_votes)) {
        startElection();
        return;
    }
    for (const auto& it : m_members.current().voters) {
        if (it != self())
            send(it, PreVote { m_term + 1, m_window.lastIndex(), m_window.lastTerm() });
    }
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const PreVote& message)
{
    bool granted
        = !knowsLiveLeader() && message.proposedTerm > m_term && logIsUpToDate(message.lastIndex, message.lastTerm);
    send(envelope.from, PreVoteAnswer { message.proposedTerm, granted });
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const PreVoteAnswer& message)
{
    if (m_role != ControlRole::PreCandidate || !message.granted || message.proposedTerm != m_term + 1)
        return;
    m_votes.insert(envelope.from);
    if (hasMajority(m_members.current(), m_votes))
        startElection();
}

template <ControlStorage Storage>
void ControlLog<Storage>::startElection()
{
    m_storage.saveVote({ m_term + 1, self() });
    ++m_term;
    m_votedFor = self();
    setRole(ControlRole::Candidate);
    resetElectionTimer();
    m_votes = { self() };
    if (hasMajority(m_members.current(), m_votes)) {
        becomeLeader();
        return;
    }
    for (const auto& it : m_members.current().voters) {
        if (it != self())
            send(it, Vote { m_window.lastIndex(), m_window.lastTerm() });
    }
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const Vote& message)
{
    bool newTerm = envelope.term > m_term;
    bool canVote = newTerm || m_votedFor.name.empty() || m_votedFor == envelope.from;
    bool granted = canVote && logIsUpToDate(message.lastIndex, message.lastTerm);
    auto vote = granted ? envelope.from : (newTerm ? ControlMember {} : m_votedFor);
    if (newTerm || vote != m_votedFor)
        m_storage.saveVote({ envelope.term, vote });
    if (newTerm)
        stepDown();
    m_term = envelope.term;
    m_votedFor = vote;
    if (granted) {
        setRole(ControlRole::Follower);
        resetElectionTimer();
    }
    send(envelope.from, VoteAnswer { granted });
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const VoteAnswer& message)
{
    if (m_role != ControlRole::Candidate || !message.granted)
        return;
    m_votes.insert(envelope.from);
    if (hasMajority(m_members.current(), m_votes))
        becomeLeader();
}

template <ControlStorage Storage>
ControlOutput ControlLog<Storage>::transferLeadership(TimePoint now)
{
    return run(now, [&] {
        const ControlMember* best = nullptr;
        for (const auto& [member, peer] : m_peers) {
            bool better = !best || peer.match > m_peers.at(*best).match;
            if (isVoter(m_members.current(), member) && isLive(member) && better)
                best = &member;
        }
        if (isLeader() && best)
            send(*best, TransferLeadership {});
    });
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const TransferLeadership& /*message*/)
{
    // Skips the pre-vote, which the others would refuse: they still hear from the leader that requested this election.
    if (envelope.from.name == m_leader && isVoter(m_members.current(), self()))
        startElection();
}

template <ControlStorage Storage>
void ControlLog<Storage>::becomeLeader()
{
    setRole(ControlRole::Leader);
    m_leader = m_settings.name;
    m_peers.clear();
    m_joinRequests.clear();
    m_rounds.clear();
    m_confirmedRound = m_round;
    m_readRound = m_round;
    m_readRoundWanted = false;
    m_quorumAt = m_now;
    m_freshnessAt.reset();
    updatePeers();
    // Entries of earlier terms can be committed only together with one of this term.
    appendAsLeader({ NoOp {} });
}

template <ControlStorage Storage>
void ControlLog<Storage>::becomeFollower(const std::string& leader)
{
    if (m_role != ControlRole::Follower)
        stepDown();
    m_leader = leader;
    m_heardLeaderAt = m_now;
    resetElectionTimer();
}

template <ControlStorage Storage>
void ControlLog<Storage>::adoptTerm(std::uint64_t term)
{
    m_storage.saveVote({ term, {} });
    stepDown();
    m_term = term;
    m_votedFor = {};
}

/// Becomes a follower without a known leader. Pending proposals complete as Unknown, because the next leader may still
/// commit them.
template <ControlStorage Storage>
void ControlLog<Storage>::stepDown()
{
    bool wasLeader = isLeader();
    setRole(ControlRole::Follower);
    m_leader.clear();
    m_votes.clear();
    if (!wasLeader)
        return;
    for (const auto& [index, it] : m_pending)
        m_out.completedProposals.push_back({ it.id, ProposeStatus::Unknown });
    m_pending.clear();
    failReads();
    m_peers.clear();
    m_rounds.clear();
    m_heardLeaderAt.reset();
    resetElectionTimer();
}

/// Steps down if the last confirmed round started longer ago than the maximum election timeout: the other members may
/// have elected another leader since.
template <ControlStorage Storage>
void ControlLog<Storage>::checkQuorum()
{
    if (isLeader() && m_now - m_quorumAt > maxElectionTimeout())
        stepDown();
}

} // namespace citronplank
