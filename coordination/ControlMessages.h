// Messages, commands and results of the replicated control log, and their msgpack encoding.
#pragma once

#include "citronplank.h"
#include "coordination/SharedText.h"

#include <tuple>
#include <variant>

namespace citronplank {

// ---------------------------------------------------------------------------------------------------------------
// Members of the control log

using DiskIdentity = std::uint64_t; // random, created once for each data folder; 0 means none
using ClusterId = std::uint64_t;    // random, created once at bootstrap; 0 means none

/// One member of the control log. A member that lost its disk returns with the same name and another disk identity.
struct ControlMember {
    std::string name;
    DiskIdentity disk = 0;
    bool operator==(const ControlMember&) const = default;
    bool operator<(const ControlMember& other) const { return std::tie(name, disk) < std::tie(other.name, other.disk); }
};

/// The members of a cluster. Learners receive the log and have no vote.
struct Membership {
    ClusterId cluster = 0; // 0 means that no cluster is known
    std::vector<ControlMember> voters;
    std::vector<ControlMember> learners;
    bool operator==(const Membership&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------
// Commands. Each can be resent after a lost answer without being applied twice.

/// Changes rule lines, all or none. Refused if another edit changed one of the keys after `baseVersion`, unless the
/// change is already in force.
struct EditRules {
    std::string submissionId; // a resend with the same ID gets the first answer
    std::string author;
    std::uint64_t baseVersion = 0; // version of the rules that the changes were derived from
    std::vector<RuleChange> changes;
    bool operator==(const EditRules&) const = default;
};

/// Claims the execution of a keyed request for one attempt.
struct BeginRequest {
    std::string key;               // the caller's request key
    std::string attempt;           // unique for each execution attempt of a daemon
    std::uint64_t fingerprint = 0; // of service, operation and body
    std::uint64_t keyTimeMs = 0;   // time stated in the key, milliseconds since 1970
    bool operator==(const BeginRequest&) const = default;
};

/// Stores the result of the attempt that owns the record of a request key.
struct FinishRequest {
    std::string key;
    std::string attempt;
    Outcome outcome = Outcome::NotRun; // NotRun lets the same key begin again
    std::string answer;                // at most `maxStoredAnswerBytes`; longer answers are not stored
    bool answerOmitted = false;        // true: the answer was too long and was left out by the sender
    bool operator==(const FinishRequest&) const = default;
};

/// Replaces the view of a zone, see ZoneView.
struct ChangeView {
    std::string zone;
    std::uint64_t expectedNumber = 0; // number of the view that is replaced; 0 for the first view of a zone
    std::vector<std::string> members;
    bool operator==(const ChangeView&) const = default;
};

/// Blocks requests with a fingerprint for some time, because they crashed leaves.
struct BlockFingerprint {
    std::uint64_t fingerprint = 0;
    std::uint64_t durationMs = 600'000; // counted from the timestamp of the log entry
    bool operator==(const BlockFingerprint&) const = default;
};

/// Proposed only by the leader itself; a submitted one is refused.
struct ChangeMembers {
    Membership membership;
    bool operator==(const ChangeMembers&) const = default;
};

// A longer document is refused when it is submitted. 5,000 routes take 1.1 MB, and 1.8 MB with a service for each. A
// message over a link may take 8 MiB.
constexpr std::size_t maxDocumentBytes = 4UL * 1024 * 1024;

/// Replaces the serving configuration as a whole. The highest version wins; any other changes nothing.
struct PutDocument {
    std::uint64_t version = 0;
    SharedText content; // opaque to the control state, so that it is read back as it was sent
    bool operator==(const PutDocument&) const = default;
};

struct NoOp {
    bool operator==(const NoOp&) const = default;
};

using Command = std::variant<NoOp, ChangeMembers, EditRules, BeginRequest, FinishRequest, ChangeView, BlockFingerprint,
    PutDocument>;

struct LogEntry {
    std::uint64_t index = 0; // 1 is the bootstrap entry
    std::uint64_t term = 0;
    std::uint64_t timestampMs = 0; // leader's wall clock, never smaller than the entry before
    Command command;
    bool operator==(const LogEntry&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------
// Results of commands, one type for each command

enum class EditStatus : std::uint8_t {
    Accepted,
    Conflict,    // a key was changed by another edit after the base version
    BaseTooOld,  // the changes since the base version are no longer held
    BaseUnknown, // the base version is newer than the rules in force
    Invalid      // malformed, or the rules would not be valid together
};

struct EditResult {
    EditStatus status = EditStatus::Invalid;
    std::uint64_t version = 0;         // rules version after the edit; the one in force if refused
    std::string conflictKey;           // of a conflict: the key that another edit changed
    std::uint64_t conflictVersion = 0; // of a conflict: the version that changed it
    std::string conflictAuthor;
    bool operator==(const EditResult&) const = default;
};

enum class BeginStatus : std::uint8_t {
    Begun,       // this attempt owns the record: it alone may dispatch, once
    InProgress,  // another attempt owns the record
    Finished,    // outcome and answer are those of the finished attempt
    KeyReused,   // same key with another body
    Expired,     // the key's time is at least 15 minutes old
    KeyInFuture, // the key's time is over a minute ahead of the state clock; not run
    Full,        // 200,000 keys are held; not run
};

struct BeginResult {
    BeginStatus status = BeginStatus::Full;
    std::string attempt; // the attempt that owns the record
    Outcome outcome = Outcome::NotRun;
    std::string answer;
    bool answerOmitted = false;
    bool operator==(const BeginResult&) const = default;
};

enum class FinishStatus : std::uint8_t {
    Stored,
    AlreadyFinished, // this attempt has a result already; it stays
    OtherAttempt,    // another attempt owns the record
    UnknownKey       // no record, or it has expired
};

struct FinishResult {
    FinishStatus status = FinishStatus::UnknownKey;
    bool operator==(const FinishResult&) const = default;
};

struct ViewResult {
    bool changed = false;                    // false: the expected number was not the current one
    std::uint64_t number = 0;                // of the view now in force
    std::vector<std::string> currentMembers; // of the view now in force
    bool operator==(const ViewResult&) const = default;
};

struct BlockResult {
    std::uint64_t expiresMs = 0;
    bool operator==(const BlockResult&) const = default;
};

struct DocumentResult {
    bool stored = false;             // false: a document of this or a higher version is already stored
    std::uint64_t storedVersion = 0; // of the document now in force
    bool operator==(const DocumentResult&) const = default;
};

struct NoResult {
    bool operator==(const NoResult&) const = default;
};

using CommandResult
    = std::variant<NoResult, EditResult, BeginResult, FinishResult, ViewResult, BlockResult, DocumentResult>;

// ---------------------------------------------------------------------------------------------------------------
// Messages

/// Asks a voter whether it would grant a vote in `proposedTerm`. Changes no term.
struct PreVote {
    std::uint64_t proposedTerm = 0;
    std::uint64_t lastIndex = 0; // of the sender's log
    std::uint64_t lastTerm = 0;  // of the entry at `lastIndex`
    bool operator==(const PreVote&) const = default;
};

struct PreVoteAnswer {
    std::uint64_t proposedTerm = 0;
    bool granted = false;
    bool operator==(const PreVoteAnswer&) const = default;
};

/// Requests a vote in the term of the message.
struct Vote {
    std::uint64_t lastIndex = 0; // of the sender's log
    std::uint64_t lastTerm = 0;  // of the entry at `lastIndex`
    bool operator==(const Vote&) const = default;
};

struct VoteAnswer {
    bool granted = false;
    bool operator==(const VoteAnswer&) const = default;
};

/// Replicates entries; without entries it is the heartbeat.
struct Append {
    std::uint64_t previousIndex = 0; // of the entry before `entries`
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t round = 0;       // quorum round, echoed by the answer
    std::uint64_t freshnessMs = 0; // last freshness timestamp that a quorum confirmed
    std::vector<LogEntry> entries;
    bool operator==(const Append&) const = default;
};

struct AppendAnswer {
    bool accepted = false;
    std::uint64_t index = 0; // accepted: greatest index known to match; rejected: the leader continues after it
    std::uint64_t round = 0;
    bool operator==(const AppendAnswer&) const = default;
};

/// The first membership of a cluster, equal to log entry 1 and kept in every snapshot.
struct Bootstrap {
    std::uint64_t timestampMs = 0;
    Membership membership;
    bool operator==(const Bootstrap&) const = default;
};

/// Metadata of a snapshot.
struct SnapshotHeader {
    std::uint64_t index = 0; // last log entry that the snapshot contains
    std::uint64_t term = 0;
    std::uint64_t timestampMs = 0; // of that entry
    Membership membership;         // in force at that entry
    Bootstrap bootstrap;
    bool operator==(const SnapshotHeader&) const = default;
};

/// One chunk of a snapshot, in order of offset.
struct InstallSnapshot {
    SnapshotHeader header;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::uint64_t round = 0;
    std::string chunk;
    bool operator==(const InstallSnapshot&) const = default;
};

struct InstallSnapshotAnswer {
    std::uint64_t snapshotIndex = 0;
    std::uint64_t nextOffset = 0; // of the next chunk to send
    bool installed = false;
    std::uint64_t round = 0;
    bool operator==(const InstallSnapshotAnswer&) const = default;
};

/// Asks a member whether it knows a cluster. A leader treats it as a request to join.
struct Probe {
    bool empty = false; // the sender has never been part of a cluster
    bool operator==(const Probe&) const = default;
};

struct ProbeAnswer {
    bool empty = false;
    Membership membership; // as the answering member knows it; its cluster is 0 if it knows none
    std::string leader;    // empty if not known
    bool operator==(const ProbeAnswer&) const = default;
};

/// Asks a voter to start an election at once, because the leader is about to stop.
struct TransferLeadership {
    bool operator==(const TransferLeadership&) const = default;
};

/// Submits a command to the leader. The sender may be any daemon.
struct Propose {
    std::uint64_t proposalId = 0; // unique per sender
    Command command;
    bool operator==(const Propose&) const = default;
};

enum class ProposeStatus : std::uint8_t {
    Committed, // `result` is the result of the command
    NotLeader, // it was not and will not be applied; `leader` may name the leader
    Unknown,   // leadership was lost; it may or may not be applied, so submit it again
    Refused,   // it was not and will not be applied: this command cannot be submitted
};

struct ProposeAnswer {
    std::uint64_t proposalId = 0;
    ProposeStatus status = ProposeStatus::Unknown;
    std::string leader;
    std::uint64_t index = 0; // log index of the committed command
    CommandResult result;
    bool operator==(const ProposeAnswer&) const = default;
};

using ControlBody = std::variant<PreVote, PreVoteAnswer, Vote, VoteAnswer, Append, AppendAnswer, InstallSnapshot,
    InstallSnapshotAnswer, Probe, ProbeAnswer, Bootstrap, Propose, ProposeAnswer, TransferLeadership>;

struct ControlMessage {
    ClusterId cluster = 0;   // 0 if the sender knows none
    ControlMember from;      // disk is 0 if the sender is not a control member
    DiskIdentity toDisk = 0; // the message is for this identity only; 0 for any
    std::uint64_t term = 0;  // the sender's current term
    ControlBody body;
    bool operator==(const ControlMessage&) const = default;
};

/// Encodes by msgpack. Thread safe.
std::string encode(const ControlMessage&);
/// Decodes what `encode` wrote. Throws Error(ErrorKind::BadRequest) on malformed input. Thread safe.
ControlMessage decodeControlMessage(std::string_view);

/// Encodes by msgpack, for the disk. Thread safe.
std::string encode(const LogEntry&);
/// Decodes what `encode` wrote. Throws Error(ErrorKind::BadRequest) on malformed input. Thread safe.
LogEntry decodeLogEntry(std::string_view);

/// Encodes by msgpack, for the disk. Thread safe.
std::string encode(const SnapshotHeader&);
/// Decodes what `encode` wrote. Throws Error(ErrorKind::BadRequest) on malformed input. Thread safe.
SnapshotHeader decodeSnapshotHeader(std::string_view);

} // namespace citronplank
