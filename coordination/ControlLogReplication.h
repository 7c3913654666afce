// Replication, quorum rounds and commit of the control log. Included by ControlLog.h only.
#pragma once

#include "coordination/ControlLog.h"

#include <algorithm>

namespace citronplank {

/// Appends commands to the log as entries of this term, with one sync, and sends them. All get the same timestamp,
/// which is never smaller than that of the entry before.
template <ControlStorage Storage>
void ControlLog<Storage>::appendAsLeader(std::vector<Command> commands)
{
    std::uint64_t lastTimestamp = m_snapshot ? m_snapshot->timestampMs : 0;
    if (m_window.lastIndex() > m_window.baseIndex())
        lastTimestamp = m_window.at(m_window.lastIndex()).timestampMs;
    auto timestamp = std::max(lastTimestamp, wallMs());
    std::vector<LogEntry> entries;
    entries.reserve(commands.size());
    for (auto& it : commands)
        entries.push_back({ m_window.lastIndex() + 1 + entries.size(), m_term, timestamp, std::move(it) });
    m_storage.append(entries);
    for (const auto& it : entries) {
        m_window.append(it);
        m_members.append(it);
    }
    updatePeers();
    broadcast();
    advanceCommitAsLeader();
}

/// Starts a quorum round: sends every member an Append, with the entries that it lacks.
template <ControlStorage Storage>
void ControlLog<Storage>::broadcast()
{
    m_rounds.push_back({ ++m_round, m_now, wallMs() });
    if (m_readRoundWanted) {
        m_readRound = m_round;
        m_readRoundWanted = false;
    }
    m_nextHeartbeat = m_now + m_settings.heartbeatInterval;
    for (auto& [member, peer] : m_peers)
        sendEntries(member, peer);
    updateQuorum();
}

/// Sends the entries from `peer.next` on, or a snapshot if the log no longer holds them in memory.
template <ControlStorage Storage>
void ControlLog<Storage>::sendEntries(const ControlMember& to, PeerProgress& peer)
{
    if (peer.transfer || peer.next <= m_window.baseIndex()) {
        sendSnapshot(to, peer);
        return;
    }
    Append message { peer.next - 1, *m_window.termAt(peer.next - 1), m_commitIndex, m_round, m_freshnessMs, {} };
    auto unacknowledged = m_window.bytesBetween(std::max(peer.match, peer.sentAfter), peer.next - 1);
    if (unacknowledged < maxUnacknowledgedBytes)
        message.entries = m_window.slice(peer.next, maxEntriesPerAppend, maxBytesPerAppend);
    // Links preserve the order of messages, so the next one may continue after this one. If this one is lost, the
    // member rejects the next heartbeat and names the index to continue after.
    peer.next += message.entries.size();
    send(to, std::move(message));
}

template <ControlStorage Storage>
void ControlLog<Storage>::recordAnswer(PeerProgress& peer, std::uint64_t round)
{
    peer.answered = true;
    peer.lastAnswer = m_now;
    peer.answeredRound = std::max(peer.answeredRound, std::min(round, m_round));
}

/// Finds the newest round that a majority has answered, which proves that this member was the leader when the round
/// started.
template <ControlStorage Storage>
void ControlLog<Storage>::updateQuorum()
{
    std::vector<std::uint64_t> answered;
    for (const auto& it : m_members.current().voters) {
        auto peer = m_peers.find(it);
        answered.push_back(it == self() ? m_round : peer == m_peers.end() ? 0 : peer->second.answeredRound);
    }
    std::sort(answered.rbegin(), answered.rend());
    auto confirmed = answered.empty() ? 0 : answered[majorityOf(answered.size()) - 1];
    if (confirmed <= m_confirmedRound)
        return;
    m_confirmedRound = confirmed;
    QuorumRound last;
    while (!m_rounds.empty() && m_rounds.front().number <= confirmed) {
        last = m_rounds.front();
        m_rounds.pop_front();
    }
    m_quorumAt = std::max(m_quorumAt, last.startedAt);
    // Before an entry of its own term is committed, the leader may not know the commit index of its predecessor.
    if (ownTermCommitted() && (!m_freshnessAt || m_now - *m_freshnessAt >= freshnessInterval)) {
        m_freshnessAt = m_now;
        m_freshnessMs = std::max(m_freshnessMs + 1, last.wallMs);
        m_out.freshness = Freshness { m_term, m_freshnessMs, m_commitIndex };
    }
    completeReads();
    startRoundForReads();
}

/// Reads that arrive during a round for earlier reads share the next one.
template <ControlStorage Storage>
void ControlLog<Storage>::startRoundForReads()
{
    if (m_readRoundWanted && m_confirmedRound >= m_readRound)
        broadcast();
}

template <ControlStorage Storage>
void ControlLog<Storage>::completeReads()
{
    if (!ownTermCommitted())
        return;
    std::erase_if(m_reads, [&](const WaitingRead& it) {
        if (it.round > m_confirmedRound)
            return false;
        m_out.reads.push_back({ it.id, true, m_commitIndex });
        return true;
    });
}

template <ControlStorage Storage>
void ControlLog<Storage>::failReads()
{
    for (const auto& it : m_reads)
        m_out.reads.push_back({ it.id, false });
    m_reads.clear();
}

template <ControlStorage Storage>
void ControlLog<Storage>::advanceCommitAsLeader()
{
    std::vector<std::uint64_t> durable;
    for (const auto& it : m_members.current().voters) {
        auto peer = m_peers.find(it);
        durable.push_back(it == self() ? m_window.lastIndex() : peer == m_peers.end() ? 0 : peer->second.match);
    }
    std::sort(durable.rbegin(), durable.rend());
    auto index = durable.empty() ? 0 : durable[majorityOf(durable.size()) - 1];
    // An entry of an earlier term can still be replaced even if a majority holds it (Raft, section 5.4.2); it is
    // committed together with an entry of this term.
    if (index <= m_commitIndex || m_window.termAt(index) != m_term)
        return;
    commitThrough(index);
    completeReads();
}

template <ControlStorage Storage>
void ControlLog<Storage>::commitThrough(std::uint64_t index)
{
    while (m_commitIndex < index) {
        const auto& entry = m_window.at(++m_commitIndex);
        m_committedBytes += approximateBytes(entry);
        m_out.committed.push_back(entry);
        auto pending = m_pending.find(entry.index);
        if (pending == m_pending.end())
            continue;
        bool same = pending->second.term == entry.term;
        m_out.completedProposals.push_back(
            { pending->second.id, same ? ProposeStatus::Committed : ProposeStatus::Unknown, same ? entry.index : 0 });
        m_pending.erase(pending);
    }
    m_out.snapshotDue = isSnapshotDue();
}

template <ControlStorage Storage>
bool ControlLog<Storage>::isSnapshotDue() const
{
    auto entries = m_commitIndex - (m_snapshot ? m_snapshot->index : 0);
    bool large = m_snapshotBytes > m_settings.smallSnapshotBytes;
    if (entries > 0 && m_committedBytes >= std::max(m_settings.bytesPerSnapshot, m_snapshotBytes))
        return true;
    return entries >= m_settings.entriesPerSnapshot && (!large || m_committedBytes >= m_snapshotBytes / 2);
}

/// Whether a command is within the limits of a document and of the entries that are not committed yet, of which
/// `uncommittedBytes` are held.
template <ControlStorage Storage>
bool ControlLog<Storage>::isWithinLimits(const Command& command, std::size_t uncommittedBytes)
{
    if (const auto* it = std::get_if<PutDocument>(&command); it && it->content.size() > maxDocumentBytes)
        return false;
    return uncommittedBytes <= maxUncommittedBytes;
}

template <ControlStorage Storage>
bool ControlLog<Storage>::areConsecutive(const Append& message)
{
    auto index = message.previousIndex;
    return std::all_of(
        message.entries.begin(), message.entries.end(), [&](const LogEntry& it) { return it.index == ++index; });
}

/// Stores the entries that are missing or differ. False if the log does not hold the entry before them.
template <ControlStorage Storage>
bool ControlLog<Storage>::storeEntries(const Append& message)
{
    // The entries through the base are in a snapshot, so they are committed and equal to the leader's.
    bool known = message.previousIndex < m_window.baseIndex()
        || m_window.termAt(message.previousIndex) == message.previousTerm;
    if (!known)
        return false;
    auto first = std::find_if(message.entries.begin(), message.entries.end(),
        [&](const LogEntry& it) { return it.index > m_window.baseIndex() && m_window.termAt(it.index) != it.term; });
    if (first == message.entries.end())
        return true;
    if (first->index <= m_commitIndex)
        throw StorageError(
            "log entry " + std::to_string(first->index) + " from the leader contradicts a committed entry");
    std::span<const LogEntry> entries(first, message.entries.end());
    m_storage.append(entries);
    m_window.truncateFrom(first->index);
    m_members.truncateFrom(first->index);
    for (const auto& it : entries) {
        m_window.append(it);
        m_members.append(it);
        if (it.index == 1)
            m_bootstrap = { it.timestampMs, m_members.current() };
    }
    return true;
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const Append& message)
{
    if (isLeader() || !areConsecutive(message))
        return;
    becomeFollower(envelope.from.name);
    m_freshnessMs = std::max(m_freshnessMs, message.freshnessMs);
    if (!storeEntries(message)) {
        // Entries above the commit index may differ, so if the terms differ the leader continues after that index.
        auto last = m_window.lastIndex() < message.previousIndex ? m_window.lastIndex() : m_commitIndex;
        send(envelope.from, AppendAnswer { false, last, message.round });
        return;
    }
    auto match = std::max(message.previousIndex + message.entries.size(), m_window.baseIndex());
    commitThrough(std::min(message.commitIndex, match));
    send(envelope.from, AppendAnswer { true, match, message.round });
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const AppendAnswer& message)
{
    auto found = m_peers.find(envelope.from);
    if (!isLeader() || found == m_peers.end())
        return;
    auto& peer = found->second;
    recordAnswer(peer, message.round);
    if (message.accepted) {
        peer.match = std::max(peer.match, std::min(message.index, m_window.lastIndex()));
        peer.next = std::max(peer.next, peer.match + 1);
        advanceCommitAsLeader();
        if (isLeader() && !peer.transfer && peer.next <= m_window.lastIndex())
            sendEntries(envelope.from, peer);
    } else if (message.round > peer.resentRound && !peer.transfer) {
        // A new round number distinguishes a rejection of this message from delayed rejections of earlier ones.
        peer.resentRound = m_round;
        m_rounds.push_back({ ++m_round, m_now, wallMs() });
        peer.sentAfter = std::max(peer.match, std::min(message.index, m_window.lastIndex()));
        peer.next = peer.sentAfter + 1;
        sendEntries(envelope.from, peer);
    }
    updateQuorum();
}

} // namespace citronplank
