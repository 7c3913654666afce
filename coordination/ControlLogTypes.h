// Settings, inputs and outputs of the control log.
#pragma once

#include "coordination/ControlEntries.h"

#include <functional>
#include <memory>

namespace citronplank {

constexpr milliseconds controlHeartbeatInterval { 100 };
constexpr milliseconds shortestElectionTimeout { 500 };
constexpr milliseconds longestElectionTimeout { 1000 };
constexpr milliseconds freshnessInterval { 500 }; // minimum time between two freshness timestamps of a leader
constexpr milliseconds probeInterval { 500 };     // between the probes of a member that hears from no leader
// A learner that has not answered for this long is removed, so that it does not block the next repair.
constexpr milliseconds unresponsiveLearnerTimeout { 10'000 };
// Below the shortest election timeout, because a member that receives a snapshot gets its chunks instead of heartbeats.
constexpr milliseconds snapshotResendInterval { 300 };
constexpr std::uint64_t maxEntriesInMemory = 16'384; // kept before the snapshot while an older one is being sent
constexpr std::size_t maxEntriesPerAppend = 512;
// The sizes of entries below are by approximateBytes().
constexpr std::size_t maxBytesPerAppend = 1024UL * 1024; // a larger entry is sent alone
// Entries sent to a member that it has not acknowledged; at the limit it gets heartbeats only. A member that does not
// read its link would otherwise cost the leader a copy of each entry.
constexpr std::size_t maxUnacknowledgedBytes = 4UL * 1024 * 1024;
// At the limit a leader refuses further commands, such as one that cannot reach a majority for a while.
constexpr std::size_t maxUncommittedBytes = 16UL * 1024 * 1024;
constexpr std::size_t maxBytesInMemory = 16UL * 1024 * 1024; // as maxEntriesInMemory

struct ControlLogSettings {
    std::string name;                           // of this member
    std::vector<std::string> configuredMembers; // names; without open membership this one is among them
    std::uint64_t seed = 0;                     // of election timeouts and the cluster identity; random in production
    std::function<std::uint64_t(TimePoint)> wallTimeMs; // wall clock at a time of `Clock`, ms since 1970
    std::uint64_t entriesPerSnapshot = 256;             // minimum number of entries committed between two snapshots
    // A state whose last snapshot exceeded this size is stored again only once the log has grown by half of that
    // snapshot, which keeps the cost proportional to the log: with 200,000 request keys and 200-byte answers a snapshot
    // takes 50 MB and about 0.28 s to encode and store.
    std::size_t smallSnapshotBytes = 1024UL * 1024;
    // A snapshot is due at any number of entries once they exceed this size and that of the last snapshot. The log on
    // disk then takes at most about this size, or that of a snapshot, and the uncommitted entries.
    std::size_t bytesPerSnapshot = 8UL * 1024 * 1024;
    std::uint64_t entriesKeptInMemory = 512;           // before the snapshot, for members that lag slightly
    std::size_t bytesKeptInMemory = 4UL * 1024 * 1024; // the same by size
    std::size_t snapshotChunkBytes = 256UL * 1024;
    // Members that are not configured may join: they become learners, and voters while there are fewer than
    // `voterTarget` live voters. The configured members are then only the initial voters and the first to probe.
    bool openMembership = false;
    bool mayBootstrap = true;    // false: this member never creates a cluster
    std::size_t voterTarget = 0; // with open membership: number of voters to keep
    // With open membership: a voter that has not answered for this long is replaced by a live learner.
    milliseconds unresponsiveVoterTimeout { 2500 };
    // Election timeout that applies once after the start, which may be shorter: if all members were down there is no
    // leader to wait for, and the pre-vote keeps a member that has not heard from a live leader yet from deposing it.
    // The random timeout is at most twice as long. Absent: `electionTimeout`.
    std::optional<milliseconds> firstElectionTimeout {};
    milliseconds heartbeatInterval { controlHeartbeatInterval };
    milliseconds electionTimeout { shortestElectionTimeout }; // the random timeout is at most twice as long
};

enum class ControlRole : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    Stopped, // storage failed; all further input is ignored
};
std::string_view controlRoleName(ControlRole);

struct Proposal {
    std::uint64_t id = 0; // chosen by the caller
    Command command;
};

struct CompletedProposal {
    std::uint64_t id = 0;
    ProposeStatus status = ProposeStatus::Unknown;
    std::uint64_t index = 0; // if committed
};

struct CompletedRead {
    std::uint64_t id = 0;
    bool confirmed = false;      // false: this member is not the leader and must not serve the read
    std::uint64_t readIndex = 0; // the state must have applied this index before the answer is computed
};

struct OutgoingControlMessage {
    std::string to; // member name
    ControlMessage message;
};

struct RestoredSnapshot {
    SnapshotHeader header;
    std::string data; // what ControlState::snapshot() wrote
};

/// A quorum confirmed that this member was the leader at the timestamp, so a state that has applied `commitIndex` is at
/// least as recent as the timestamp.
struct Freshness {
    std::uint64_t term = 0;        // of the leader
    std::uint64_t timestampMs = 0; // leader's wall clock, ms since 1970; increases
    std::uint64_t commitIndex = 0; // the leader's state at this index holds everything committed by then
};

/// What the caller has to do after a call to the control log, in this order: send the messages, restore the snapshot,
/// apply the committed entries, then process the rest.
struct ControlOutput {
    std::vector<OutgoingControlMessage> messages;
    std::optional<RestoredSnapshot> restore;
    std::vector<LogEntry> committed;
    std::vector<CompletedProposal> completedProposals;
    std::vector<CompletedRead> reads;
    std::optional<Freshness> freshness;
    bool snapshotDue = false; // call saveSnapshot() with the state after the committed entries
    bool roleChanged = false;
    std::string failure; // not empty: storage failed, the control role stopped
};

struct ControlLogStatus {
    ControlRole role = ControlRole::Follower;
    ControlMember self;
    std::uint64_t term = 0;
    std::string leader; // empty if not known
    std::uint64_t commitIndex = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t snapshotIndex = 0;
    Membership membership;
    // Known to the leader only: every configured name is one live voter, there is no learner, and the membership is
    // committed. The cluster can then lose any one member.
    bool repairComplete = false;
};

/// The status as one line of text, for the state dump of the daemon. Thread safe.
std::string describe(const ControlLogStatus&);

/// A snapshot that is being sent to a member.
struct SnapshotTransfer {
    SnapshotHeader header;
    std::shared_ptr<const std::string> data;
    std::uint64_t offset = 0;
    std::optional<TimePoint> sentAt; // of the chunk at `offset`; absent: not sent yet
};

/// The leader's record of another member.
struct PeerProgress {
    std::uint64_t next = 1;          // index of the next entry to send
    std::uint64_t match = 0;         // greatest index known to be durable there
    std::uint64_t sentAfter = 0;     // the entries after this one and before `next` were sent
    std::uint64_t answeredRound = 0; // latest quorum round that it has answered
    std::uint64_t resentRound = 0;   // rejections of rounds up to this one have been handled
    TimePoint lastAnswer;            // before the first answer: when this record was created
    bool answered = false;           // since this record was created
    std::optional<SnapshotTransfer> transfer;
};

} // namespace citronplank
