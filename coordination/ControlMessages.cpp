#include "coordination/ControlMessages.h"

#include "coordination/ControlCodec.h"

namespace citronplank {

namespace codec {

template <typename A>
void fields(A& archive, EditRules& it)
{
    archive(it.submissionId, it.author, it.baseVersion, it.changes);
}
template <typename A>
void fields(A& archive, BeginRequest& it)
{
    archive(it.key, it.attempt, it.fingerprint, it.keyTimeMs);
}
template <typename A>
void fields(A& archive, FinishRequest& it)
{
    archive(it.key, it.attempt, it.outcome, it.answer, it.answerOmitted);
}
template <typename A>
void fields(A& archive, ChangeView& it)
{
    archive(it.zone, it.expectedNumber, it.members);
}
template <typename A>
void fields(A& archive, BlockFingerprint& it)
{
    archive(it.fingerprint, it.durationMs);
}
template <typename A>
void fields(A& archive, ChangeMembers& it)
{
    archive(it.membership);
}
template <typename A>
void fields(A& archive, NoOp&)
{
    archive();
}
template <typename A>
void fields(A& archive, LogEntry& it)
{
    archive(it.index, it.term, it.timestampMs, it.command);
}

template <typename A>
void fields(A& archive, BeginResult& it)
{
    archive(it.status, it.attempt, it.outcome, it.answer, it.answerOmitted);
}
template <typename A>
void fields(A& archive, FinishResult& it)
{
    archive(it.status);
}
template <typename A>
void fields(A& archive, ViewResult& it)
{
    archive(it.changed, it.number, it.currentMembers);
}
template <typename A>
void fields(A& archive, BlockResult& it)
{
    archive(it.expiresMs);
}
template <typename A>
void fields(A& archive, PutDocument& it)
{
    archive(it.version, it.content);
}
template <typename A>
void fields(A& archive, DocumentResult& it)
{
    archive(it.stored, it.storedVersion);
}
template <typename A>
void fields(A& archive, NoResult&)
{
    archive();
}

template <typename A>
void fields(A& archive, PreVote& it)
{
    archive(it.proposedTerm, it.lastIndex, it.lastTerm);
}
template <typename A>
void fields(A& archive, PreVoteAnswer& it)
{
    archive(it.proposedTerm, it.granted);
}
template <typename A>
void fields(A& archive, Vote& it)
{
    archive(it.lastIndex, it.lastTerm);
}
template <typename A>
void fields(A& archive, VoteAnswer& it)
{
    archive(it.granted);
}
template <typename A>
void fields(A& archive, Append& it)
{
    archive(it.previousIndex, it.previousTerm, it.commitIndex, it.round, it.freshnessMs, it.entries);
}
template <typename A>
void fields(A& archive, AppendAnswer& it)
{
    archive(it.accepted, it.index, it.round);
}
template <typename A>
void fields(A& archive, InstallSnapshot& it)
{
    archive(it.header, it.offset, it.totalBytes, it.round, it.chunk);
}
template <typename A>
void fields(A& archive, InstallSnapshotAnswer& it)
{
    archive(it.snapshotIndex, it.nextOffset, it.installed, it.round);
}
template <typename A>
void fields(A& archive, Probe& it)
{
    archive(it.empty);
}
template <typename A>
void fields(A& archive, ProbeAnswer& it)
{
    archive(it.empty, it.membership, it.leader);
}
template <typename A>
void fields(A& archive, Propose& it)
{
    archive(it.proposalId, it.command);
}
template <typename A>
void fields(A& archive, ProposeAnswer& it)
{
    archive(it.proposalId, it.status, it.leader, it.index, it.result);
}
template <typename A>
void fields(A& archive, TransferLeadership& /*it*/)
{
    archive();
}
template <typename A>
void fields(A& archive, ControlMessage& it)
{
    archive(it.cluster, it.from, it.toDisk, it.term, it.body);
}

} // namespace codec

std::string encode(const ControlMessage& message) { return codec::encodeValue(message); }

ControlMessage decodeControlMessage(std::string_view data)
{
    return codec::decodeValue<ControlMessage>(data, "control message");
}

std::string encode(const LogEntry& entry) { return codec::encodeValue(entry); }

LogEntry decodeLogEntry(std::string_view data) { return codec::decodeValue<LogEntry>(data, "log entry"); }

std::string encode(const SnapshotHeader& header) { return codec::encodeValue(header); }

SnapshotHeader decodeSnapshotHeader(std::string_view data)
{
    return codec::decodeValue<SnapshotHeader>(data, "snapshot header");
}

} // namespace citronplank
