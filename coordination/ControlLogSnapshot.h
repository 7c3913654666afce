// Snapshots of the control log. Included by ControlLog.h only.
#pragma once

#include "coordination/ControlLog.h"

namespace citronplank {

/// Precondition: the index is committed and within the window.
template <ControlStorage Storage>
SnapshotHeader ControlLog<Storage>::headerAt(std::uint64_t index) const
{
    const auto& entry = m_window.at(index);
    return { index, entry.term, entry.timestampMs, m_members.at(index), m_bootstrap };
}

template <ControlStorage Storage>
ControlOutput ControlLog<Storage>::saveSnapshot(std::string_view state, TimePoint now)
{
    return run(now, [&] {
        if (m_commitIndex <= (m_snapshot ? m_snapshot->index : 0))
            return;
        auto header = headerAt(m_commitIndex);
        m_storage.saveSnapshot(header, state);
        m_snapshot = header;
        m_snapshotBytes = state.size();
        m_committedBytes = 0;
        m_snapshotData.reset();
        truncateWindow();
    });
}

/// Keeps some entries before the snapshot, so that a member that lags slightly needs no snapshot. While a snapshot is
/// being sent to a member, the entries after it are kept as well, up to `maxEntriesInMemory` and `maxBytesInMemory`
/// before the new snapshot. A member that needs older ones gets the new snapshot.
template <ControlStorage Storage>
void ControlLog<Storage>::truncateWindow()
{
    auto snapshotIndex = m_snapshot->index;
    auto through = std::max(snapshotIndex - std::min(snapshotIndex, m_settings.entriesKeptInMemory),
        m_window.startWithin(snapshotIndex, m_settings.bytesKeptInMemory));
    for (const auto& [member, peer] : m_peers) {
        if (peer.transfer)
            through = std::min(through, peer.transfer->header.index);
    }
    auto minThrough = std::max(snapshotIndex - std::min(snapshotIndex, maxEntriesInMemory),
        m_window.startWithin(snapshotIndex, maxBytesInMemory));
    m_window.dropThrough(std::max(through, minThrough));
    m_members.dropThrough(snapshotIndex);
}

/// Sends the next chunk of a snapshot, or the same one again if it was not answered within `snapshotResendInterval`.
template <ControlStorage Storage>
void ControlLog<Storage>::sendSnapshot(const ControlMember& to, PeerProgress& peer)
{
    if (peer.transfer && peer.transfer->sentAt && m_now - *peer.transfer->sentAt < snapshotResendInterval)
        return;
    if (!peer.transfer) {
        auto data = m_snapshotData.lock();
        if (!data) {
            data = std::make_shared<const std::string>(m_storage.readSnapshotData());
            m_snapshotData = data;
        }
        peer.transfer = SnapshotTransfer { *m_snapshot, std::move(data), 0, {} };
    }
    auto& it = *peer.transfer;
    it.sentAt = m_now;
    send(to,
        InstallSnapshot { it.header, it.offset, it.data->size(), m_round,
            it.data->substr(it.offset, m_settings.snapshotChunkBytes) });
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const InstallSnapshot& message)
{
    if (isLeader())
        return;
    becomeFollower(envelope.from.name);
    if (message.header.index <= m_commitIndex) {
        m_incomingSnapshot.reset();
        send(envelope.from, InstallSnapshotAnswer { message.header.index, message.totalBytes, true, message.round });
        return;
    }
    if (!m_incomingSnapshot || m_incomingSnapshot->header != message.header
        || m_incomingSnapshot->totalBytes != message.totalBytes) {
        m_incomingSnapshot = message;
        m_incomingSnapshot->chunk.clear();
    }
    if (message.offset == m_incomingSnapshot->chunk.size())
        m_incomingSnapshot->chunk += message.chunk;
    auto received = m_incomingSnapshot->chunk.size();
    bool complete = received >= message.totalBytes;
    if (complete)
        installSnapshot();
    send(envelope.from, InstallSnapshotAnswer { message.header.index, received, complete, message.round });
}

template <ControlStorage Storage>
void ControlLog<Storage>::installSnapshot()
{
    auto header = std::move(m_incomingSnapshot->header);
    auto data = std::move(m_incomingSnapshot->chunk);
    m_incomingSnapshot.reset();
    m_storage.saveSnapshot(header, data);
    bool agrees = m_window.termAt(header.index) == header.term;
    if (agrees)
        m_window.dropThrough(header.index);
    else
        m_window.reset(header.index, header.term);
    m_members.reset(header.index, header.membership);
    for (auto i = header.index + 1; i <= m_window.lastIndex(); ++i)
        m_members.append(m_window.at(i));
    m_snapshot = header;
    m_bootstrap = header.bootstrap;
    m_commitIndex = header.index;
    m_snapshotBytes = data.size();
    m_committedBytes = 0;
    m_out.restore = RestoredSnapshot { std::move(header), std::move(data) };
}

template <ControlStorage Storage>
void ControlLog<Storage>::on(const ControlMessage& envelope, const InstallSnapshotAnswer& message)
{
    auto found = m_peers.find(envelope.from);
    if (!isLeader() || found == m_peers.end())
        return;
    auto& peer = found->second;
    recordAnswer(peer, message.round);
    if (peer.transfer && peer.transfer->header.index == message.snapshotIndex) {
        auto& it = *peer.transfer;
        if (message.installed) {
            peer.match = std::max(peer.match, message.snapshotIndex);
            peer.next = peer.match + 1;
            peer.transfer.reset();
            sendEntries(envelope.from, peer);
            advanceCommitAsLeader();
        } else if (message.nextOffset <= it.data->size() && message.nextOffset != it.offset) {
            it.offset = message.nextOffset;
            it.sentAt.reset();
            sendSnapshot(envelope.from, peer);
        }
    }
    updateQuorum();
}

} // namespace citronplank
