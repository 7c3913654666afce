// Bootstrap and membership changes of the control log. Included by ControlLog.h only.
#pragma once

#include "coordination/ControlLog.h"

namespace citronplank {

template <ControlStorage Storage>
bool ControlLog<Storage>::isConfigured(const std::string& name) const
{
    const auto& names = m_settings.configuredMembers;
    return std::find(names.begin(), names.end(), name) != names.end();
}

// ---------------------------------------------------------------------------------------------------------------
// Probes and bootstrap

/// Probes all members that this one knows of, while it hears from no leader. From a probe the leader learns of an
/// identity that wants to join; from the answers an empty member learns whether a cluster exists.
template <ControlStorage Storage>
void ControlLog<Storage>::sendProbes()
{
    m_nextProbe = m_now + probeInterval;
    std::set<std::string> names(m_settings.configuredMembers.begin(), m_settings.configuredMembers.end());
    for (const auto& it : m_members.current().voters)
        names.insert(it.name);
    if (m_settings.openMembership)
        names.insert(m_contacts.begin(), m_contacts.end());
    names.erase(m_settings.name);
    for (const auto& it : names)
        sendToName(it, Probe { isEmpty() });
    bootstrapIfAllEmpty();
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const Probe& /*message*/)
{
    send(envelope.from, ProbeAnswer { isEmpty(), m_members.current(), m_leader });
    // A member that missed the bootstrap message has to store the first membership before it may vote.
    bool knowsCluster = envelope.cluster == cluster();
    if (hasCluster() && !knowsCluster && isVoter(m_bootstrap.membership, envelope.from))
        send(envelope.from, m_bootstrap);
    if (isLeader() && (knowsCluster || envelope.cluster == 0))
        m_joinRequests.insert_or_assign(envelope.from.name, std::pair(envelope.from, m_now));
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const ProbeAnswer& message)
{
    m_probeResults.insert_or_assign(
        envelope.from.name, ProbeResult { envelope.from, envelope.cluster, message.empty, m_now });
    for (const auto& it : message.membership.voters)
        m_contacts.insert(it.name);
    bootstrapIfAllEmpty();
}

/// Only the configured member with the smallest name creates a cluster, and only while every configured member reports
/// that it has never been part of one. Answers older than two probe intervals do not count.
template <ControlStorage Storage>
void ControlLog<Storage>::bootstrapIfAllEmpty()
{
    const auto& names = m_settings.configuredMembers;
    if (!m_settings.mayBootstrap || !isEmpty() || names.empty()
        || *std::min_element(names.begin(), names.end()) != m_settings.name)
        return;
    Membership membership;
    for (const auto& name : std::set<std::string>(names.begin(), names.end())) {
        if (name == m_settings.name) {
            membership.voters.push_back(self());
            continue;
        }
        auto found = m_probeResults.find(name);
        if (found == m_probeResults.end() || !found->second.empty || m_now - found->second.at > 2 * probeInterval)
            return;
        membership.voters.push_back(found->second.member);
    }
    while (membership.cluster == 0)
        membership.cluster = m_random();
    storeBootstrap({ wallMs(), membership });
    for (const auto& it : membership.voters) {
        if (it != self())
            send(it, m_bootstrap);
    }
}

/// Writes the first membership as log entry 1 of term 1, which is the same on every member.
template <ControlStorage Storage>
void ControlLog<Storage>::storeBootstrap(const Bootstrap& bootstrap)
{
    LogEntry entry { 1, 1, bootstrap.timestampMs, ChangeMembers { bootstrap.membership } };
    m_storage.append(std::span(&entry, 1));
    m_window.truncateFrom(1);
    m_members.truncateFrom(1);
    m_window.append(entry);
    m_members.append(entry);
    m_bootstrap = bootstrap;
    m_term = std::max<std::uint64_t>(m_term, 1);
    resetElectionTimer();
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& /*envelope*/, const Bootstrap& message)
{
    if (message.membership.cluster == 0 || !isVoter(message.membership, self()))
        return;
    if (!hasCluster() || canLeaveClusterFor(message))
        storeBootstrap(message);
}

/// Whether this member may leave its cluster for a newer one, because its own cannot have committed anything. This is
/// needed if the bootstrapping member loses its disk and bootstraps again, and a message of the first bootstrap arrives
/// late. This member must hold the first entry only, so that it has never acknowledged another one. And the other
/// voters that may still belong to its cluster must be fewer than a majority: the rest answer from another cluster or
/// with another disk identity.
template <ControlStorage Storage>
bool ControlLog<Storage>::canLeaveClusterFor(const Bootstrap& other) const
{
    bool newer = other.membership.cluster != cluster() && other.timestampMs > m_bootstrap.timestampMs;
    if (!newer || isLeader() || m_snapshot || m_window.lastIndex() != 1 || m_commitIndex != 0)
        return false;
    const auto& voters = m_members.current().voters;
    auto remaining = std::count_if(voters.begin(), voters.end(), [&](const ControlMember& it) {
        auto found = m_probeResults.find(it.name);
        if (it == self())
            return false;
        bool elsewhere = found != m_probeResults.end() && m_now - found->second.at <= 2 * probeInterval
            && (found->second.member != it || (found->second.cluster != 0 && found->second.cluster != cluster()));
        return !elsewhere;
    });
    return static_cast<std::size_t>(remaining) < majorityOf(voters.size());
}

// ---------------------------------------------------------------------------------------------------------------
// Membership changes

template <ControlStorage Storage>
void ControlLog<Storage>::updatePeers()
{
    std::set<ControlMember> members;
    for (const auto* list : { &m_members.current().voters, &m_members.current().learners })
        members.insert(list->begin(), list->end());
    members.erase(self());
    std::erase_if(m_peers, [&](const auto& it) { return !members.contains(it.first); });
    for (const auto& it : members) {
        auto [peer, isNew] = m_peers.try_emplace(it);
        if (isNew) {
            peer->second.next = m_window.lastIndex() + 1;
            peer->second.sentAfter = m_window.lastIndex();
            peer->second.lastAnswer = m_now;
        }
    }
}

template <ControlStorage Storage>
bool ControlLog<Storage>::isLive(const ControlMember& member) const
{
    auto found = m_peers.find(member);
    return member == self()
        || (found != m_peers.end() && found->second.answered
            && m_now - found->second.lastAnswer < maxElectionTimeout());
}

/// Proposes the next membership change that replaces a lost voter or adds a member. Only one change may be in flight,
/// because two could form disjoint majorities. So could a change proposed before an entry of the leader's own term is
/// committed, together with one of the former leader.
template <ControlStorage Storage>
void ControlLog<Storage>::manageMembers()
{
    if (!isLeader() || !ownTermCommitted() || m_members.currentIndex() > m_commitIndex)
        return;
    if (auto next = nextMembership())
        appendAsLeader({ ChangeMembers { *next } });
}

/// The membership after the next change, in order of precedence; absent if none is needed.
template <ControlStorage Storage>
std::optional<Membership> ControlLog<Storage>::nextMembership()
{
    if (auto next = withoutReplacedVoter())
        return next;
    if (auto next = withoutUnresponsiveLearner())
        return next;
    if (mayPromote()) {
        if (auto next = withPromotedLearner())
            return next;
    }
    if (auto next = withoutSurplusVoter())
        return next;
    return withNewLearner();
}

/// Removes the former identity of a member whose new identity is a voter.
template <ControlStorage Storage>
std::optional<Membership> ControlLog<Storage>::withoutReplacedVoter() const
{
    auto next = m_members.current();
    for (auto it = next.voters.begin(); it != next.voters.end(); ++it) {
        // Voters are in order of addition, so a later one of the same name is the replacement.
        bool replaced = std::any_of(
            it + 1, next.voters.end(), [&](const ControlMember& other) { return other.name == it->name; });
        if (replaced && *it != self()) {
            next.voters.erase(it);
            return next;
        }
    }
    return std::nullopt;
}

template <ControlStorage Storage>
std::optional<Membership> ControlLog<Storage>::withoutUnresponsiveLearner() const
{
    auto next = m_members.current();
    auto n = std::erase_if(next.learners, [&](const ControlMember& it) {
        auto peer = m_peers.find(it);
        return peer == m_peers.end() || m_now - peer->second.lastAnswer > unresponsiveLearnerTimeout;
    });
    return n > 0 ? std::optional(next) : std::nullopt;
}

/// The number of voters that have answered within `unresponsiveVoterTimeout`. Unlike in isLive(), a voter that has not
/// answered yet counts for that long after the leader's election or its own addition.
template <ControlStorage Storage>
std::size_t ControlLog<Storage>::liveVoters() const
{
    const auto& voters = m_members.current().voters;
    return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), [&](const ControlMember& it) {
        auto peer = m_peers.find(it);
        return it == self()
            || (peer != m_peers.end() && m_now - peer->second.lastAnswer < m_settings.unresponsiveVoterTimeout);
    }));
}

/// With open membership a learner becomes a voter only to replace a missing one: a larger majority would make every
/// change wait for more disks.
template <ControlStorage Storage>
bool ControlLog<Storage>::mayPromote() const
{
    return !m_settings.openMembership || liveVoters() < m_settings.voterTarget;
}

/// With open membership, removes an unresponsive voter once there are more voters than the target, so that a majority
/// survives the loss of another one. If all voters respond, the one that was added last becomes a learner again.
template <ControlStorage Storage>
std::optional<Membership> ControlLog<Storage>::withoutSurplusVoter() const
{
    auto next = m_members.current();
    if (!m_settings.openMembership || next.voters.size() <= m_settings.voterTarget)
        return std::nullopt;
    for (auto it = next.voters.begin(); it != next.voters.end(); ++it) {
        auto peer = m_peers.find(*it);
        if (*it == self() || peer == m_peers.end()
            || m_now - peer->second.lastAnswer < m_settings.unresponsiveVoterTimeout)
            continue;
        next.voters.erase(it);
        return next;
    }
    // All voters respond.
    if (next.voters.back() == self())
        return std::nullopt;
    next.learners.push_back(next.voters.back());
    next.voters.pop_back();
    return next;
}

template <ControlStorage Storage>
std::optional<Membership> ControlLog<Storage>::withPromotedLearner() const
{
    auto next = m_members.current();
    for (auto it = next.learners.begin(); it != next.learners.end(); ++it) {
        auto peer = m_peers.find(*it);
        if (peer == m_peers.end() || !isLive(*it) || peer->second.match < m_commitIndex)
            continue;
        next.voters.push_back(*it);
        next.learners.erase(it);
        return next;
    }
    return std::nullopt;
}

/// Adds an identity that asked for membership and is not known yet. An identity of the same name that is still live is
/// not replaced: the probe is then a delayed message.
template <ControlStorage Storage>
std::optional<Membership> ControlLog<Storage>::withNewLearner()
{
    std::erase_if(m_joinRequests, [&](const auto& it) { return m_now - it.second.second > maxElectionTimeout(); });
    for (const auto& [name, it] : m_joinRequests) {
        const auto& joiner = it.first;
        auto next = m_members.current();
        bool known = isVoter(next, joiner) || isLearner(next, joiner);
        auto sameName = [&](const ControlMember& other) { return other.name == joiner.name; };
        auto live = [&](const ControlMember& other) { return sameName(other) && isLive(other); };
        bool replacesLive = std::any_of(next.voters.begin(), next.voters.end(), live)
            || std::any_of(next.learners.begin(), next.learners.end(), live);
        bool allowed = m_settings.openMembership || isConfigured(joiner.name)
            || std::any_of(next.voters.begin(), next.voters.end(), sameName);
        if (known || replacesLive || !allowed || joiner.disk == 0)
            continue;
        std::erase_if(next.learners, sameName);
        next.learners.push_back(joiner);
        return next;
    }
    return std::nullopt;
}

template <ControlStorage Storage>
bool ControlLog<Storage>::isRepairComplete() const
{
    const auto& current = m_members.current();
    std::set<std::string> names;
    for (const auto& it : current.voters)
        names.insert(it.name);
    bool all = std::all_of(m_settings.configuredMembers.begin(), m_settings.configuredMembers.end(),
        [&](const std::string& it) { return names.contains(it); });
    bool allLive = std::all_of(
        current.voters.begin(), current.voters.end(), [&](const ControlMember& it) { return isLive(it); });
    bool hasSurplus = m_settings.openMembership && current.voters.size() > m_settings.voterTarget;
    return isLeader() && all && allLive && !hasSurplus && names.size() == current.voters.size()
        && current.learners.empty() && m_members.currentIndex() <= m_commitIndex;
}

} // namespace citronplank
