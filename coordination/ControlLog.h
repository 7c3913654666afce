// Replicated control log based on Raft: the protocol as a state machine without sockets, threads or clocks.
//
// The caller passes in time and messages and processes the returned output. All state that a message depends on is
// durable before the call that outputs the message returns.
#pragma once

#include "coordination/ControlLogTypes.h"
#include "coordination/ControlStorage.h"

#include <random>

namespace citronplank {

/// One member of the control log. Not thread safe: callers serialize all calls to one object. A storage failure after
/// construction is reported once in ControlOutput::failure; the member then stops and ignores all further input.
///
/// In a quorum round the leader sends every member an Append with the number of the round. Once a majority of the
/// voters has answered, the round is confirmed: the member was still the leader when the round started.
template <ControlStorage Storage>
class ControlLog {
public:
    /// Loads the stored state. `storage` must outlive the object. Throws StorageError if the storage cannot be read,
    /// and Error(ErrorKind::BadRequest) if `settings.name` is not among the configured members.
    ControlLog(Storage& storage, ControlLogSettings settings, TimePoint now);

    /// The snapshot that the state machine has to start from, if there is one. Committed entries after it are returned
    /// in later outputs. Precondition: called before any other member function. Throws StorageError if it cannot be
    /// read.
    std::optional<RestoredSnapshot> storedSnapshot();

    /// Runs timers. Precondition: called at least every 20 ms or so; `now` never goes back.
    ControlOutput tick(TimePoint now);
    /// Handles a message from the member named `from`; Propose and ProposeAnswer are ignored. Messages for another disk
    /// identity are dropped. Probe, ProbeAnswer and Bootstrap are accepted from any cluster and in any term, other
    /// messages from this member's cluster only. Of those with an old term, an Append, InstallSnapshot or Vote is
    /// rejected and the rest is dropped, except PreVote and PreVoteAnswer.
    ControlOutput receive(const std::string& from, const ControlMessage&, TimePoint now);
    /// Proposes a command; see proposeAll.
    ControlOutput propose(Command, std::uint64_t proposalId, TimePoint now);
    /// Proposes commands and stores them with a single sync. Each completes exactly once, in this or a later output:
    /// immediately as NotLeader if this member is not the leader, or as Refused if it is a ChangeMembers, which only
    /// the log itself may propose, a document over `maxDocumentBytes`, or would exceed `maxUncommittedBytes`. A refused
    /// command is not applied.
    ControlOutput proposeAll(std::vector<Proposal>, TimePoint now);
    /// Requests a quorum round that starts after this call, for a linearizable read. The read completes exactly once,
    /// in this or a later output; it completes unconfirmed if this member is not the leader or loses leadership.
    ControlOutput confirmLeadership(std::uint64_t readId, TimePoint now);
    /// Stores a snapshot of the state after all committed entries returned so far, and truncates the log. Does nothing
    /// if no entry was committed since the last snapshot. Precondition: the state machine has applied them all.
    ControlOutput saveSnapshot(std::string_view state, TimePoint now);
    /// For a planned stop: asks the live voter with the most complete log to take over, so that the cluster does not
    /// wait for an election timeout. Does nothing if this member is not the leader or no other voter is live.
    ControlOutput transferLeadership(TimePoint now);

    /// With open membership: replaces the names of members to probe in addition to the configured ones, such as those
    /// known from gossip.
    void setContacts(std::set<std::string> names) { m_contacts = std::move(names); }

    ControlLogStatus status() const;
    bool isLeader() const { return m_role == ControlRole::Leader; }
    bool isStopped() const { return m_role == ControlRole::Stopped; }
    ControlMember self() const { return { m_settings.name, m_disk }; }
    const std::string& leader() const { return m_leader; }
    ClusterId cluster() const { return m_members.current().cluster; }
    /// The last freshness timestamp that this member knows to be confirmed, in ms since 1970; 0 if none. See Freshness.
    std::uint64_t freshnessMs() const { return m_freshnessMs; }

private:
    struct QuorumRound {
        std::uint64_t number = 0;
        TimePoint startedAt;
        std::uint64_t wallMs = 0;
    };
    struct WaitingRead {
        std::uint64_t id = 0;
        std::uint64_t round = 0; // first round that confirms it
    };
    struct PendingProposal {
        std::uint64_t id = 0;
        std::uint64_t term = 0;
    };
    struct ProbeResult {
        ControlMember member;
        ClusterId cluster = 0;
        bool empty = false;
        TimePoint at;
    };

    // Common
    template <typename F>
    ControlOutput run(TimePoint now, F&& handler);
    void stop(const std::string& reason);
    void send(const ControlMember& to, ControlBody body);
    void sendToName(const std::string& name, ControlBody body); // whatever disk identity the member has
    std::uint64_t wallMs() const { return m_settings.wallTimeMs(m_now); }
    void setRole(ControlRole);
    void handle(const ControlMessage&);
    bool acceptsSender(const ControlMessage&) const;
    void dispatch(const ControlMessage&);
    void rejectOldTerm(const ControlMessage&);
    void checkTimers();

    // Elections (ControlLogElection.h)
    void resetElectionTimer();
    bool knowsLiveLeader() const;
    bool logIsUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const;
    void startPreVote();
    void startElection();
    void becomeLeader();
    void becomeFollower(const std::string& leader);
    void adoptTerm(std::uint64_t term);
    void stepDown();
    void checkQuorum();
    void on(const ControlMessage& envelope, const PreVote&);
    void on(const ControlMessage& envelope, const PreVoteAnswer&);
    void on(const ControlMessage& envelope, const Vote&);
    void on(const ControlMessage& envelope, const VoteAnswer&);
    void on(const ControlMessage& envelope, const TransferLeadership&);

    // Replication (ControlLogReplication.h)
    void appendAsLeader(std::vector<Command> commands);
    void broadcast();
    void sendEntries(const ControlMember& to, PeerProgress&);
    void recordAnswer(PeerProgress&, std::uint64_t round);
    void updateQuorum();
    void startRoundForReads();
    void completeReads();
    void failReads();
    void advanceCommitAsLeader();
    void commitThrough(std::uint64_t index);
    bool ownTermCommitted() const { return m_window.termAt(m_commitIndex).value_or(0) == m_term; }
    static bool isWithinLimits(const Command&, std::size_t uncommittedBytes);
    static bool areConsecutive(const Append&);
    bool isSnapshotDue() const;
    bool storeEntries(const Append&);
    void on(const ControlMessage& envelope, const Append&);
    void on(const ControlMessage& envelope, const AppendAnswer&);

    // Snapshots (ControlLogSnapshot.h)
    SnapshotHeader headerAt(std::uint64_t index) const;
    void truncateWindow();
    void sendSnapshot(const ControlMember& to, PeerProgress&);
    void installSnapshot();
    void on(const ControlMessage& envelope, const InstallSnapshot&);
    void on(const ControlMessage& envelope, const InstallSnapshotAnswer&);

    // Members (ControlLogMembers.h)
    bool hasCluster() const { return cluster() != 0; }
    bool isEmpty() const { return !hasCluster() && m_term == 0; }
    bool isConfigured(const std::string& name) const;
    Duration maxElectionTimeout() const { return 2 * m_settings.electionTimeout; }
    void sendProbes();
    void bootstrapIfAllEmpty();
    void storeBootstrap(const Bootstrap&);
    void updatePeers();
    bool isLive(const ControlMember&) const;
    void manageMembers();
    std::optional<Membership> nextMembership();
    std::optional<Membership> withoutReplacedVoter() const;
    std::optional<Membership> withoutUnresponsiveLearner() const;
    std::optional<Membership> withoutSurplusVoter() const;
    std::size_t liveVoters() const;
    bool mayPromote() const;
    std::optional<Membership> withPromotedLearner() const;
    std::optional<Membership> withNewLearner();
    bool isRepairComplete() const;
    void on(const ControlMessage& envelope, const Probe&);
    void on(const ControlMessage& envelope, const ProbeAnswer&);
    void on(const ControlMessage& envelope, const Bootstrap&);
    bool canLeaveClusterFor(const Bootstrap&) const;
    void on(const ControlMessage& /*envelope*/, const Propose&) { }
    void on(const ControlMessage& /*envelope*/, const ProposeAnswer&) { }

    Storage& m_storage;
    ControlLogSettings m_settings;
    DiskIdentity m_disk = 0;
    std::mt19937_64 m_random;

    // Durable state and its copy in memory
    std::uint64_t m_term = 0;
    ControlMember m_votedFor;
    EntryWindow m_window;
    MembershipHistory m_members;
    std::optional<SnapshotHeader> m_snapshot;
    Bootstrap m_bootstrap; // first membership of the cluster; its cluster is 0 if none is known
    std::size_t m_snapshotBytes = 0;
    std::size_t m_committedBytes = 0; // approximate size of the entries committed since the snapshot

    // Volatile state
    ControlRole m_role = ControlRole::Follower;
    std::string m_leader;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_freshnessMs = 0;
    TimePoint m_now;
    TimePoint m_electionDeadline;
    std::optional<TimePoint> m_heardLeaderAt;
    TimePoint m_nextProbe;
    std::map<std::string, ProbeResult> m_probeResults; // by name
    std::set<std::string> m_contacts;                  // names from setContacts and from answers to probes since
    std::optional<InstallSnapshot> m_incomingSnapshot; // its chunk holds the data received so far

    // Candidate
    std::set<ControlMember> m_votes;

    // Leader
    std::map<ControlMember, PeerProgress> m_peers;
    std::map<std::uint64_t, PendingProposal> m_pending; // by log index
    std::vector<WaitingRead> m_reads;
    std::deque<QuorumRound> m_rounds; // not yet confirmed
    std::uint64_t m_round = 0;
    std::uint64_t m_confirmedRound = 0;
    std::uint64_t m_readRound = 0;  // last round that was started for a read
    bool m_readRoundWanted = false; // some reads wait for a round that has not started yet
    TimePoint m_quorumAt;           // start of the last confirmed round
    TimePoint m_nextHeartbeat;
    std::optional<TimePoint> m_freshnessAt; // when this leader last issued a freshness timestamp
    std::map<std::string, std::pair<ControlMember, TimePoint>> m_joinRequests; // last probe of each name
    std::weak_ptr<const std::string> m_snapshotData;                           // shared by running transfers

    ControlOutput m_out;
};

// ---------------------------------------------------------------------------------------------------------------
// Common

template <ControlStorage Storage>
ControlLog<Storage>::ControlLog(Storage& storage, ControlLogSettings settings, TimePoint now)
    : m_storage(storage)
    , m_settings(std::move(settings))
    , m_disk(storage.disk())
    , m_random(m_settings.seed)
    , m_now(now)
    , m_nextProbe(now)
{
    auto stored = m_storage.load();
    m_snapshot = stored.snapshot;
    if (m_snapshot) {
        m_window.reset(m_snapshot->index, m_snapshot->term);
        m_members.reset(m_snapshot->index, m_snapshot->membership);
        m_bootstrap = m_snapshot->bootstrap;
        m_commitIndex = m_snapshot->index;
    }
    for (const auto& it : stored.entries) {
        m_window.append(it);
        m_members.append(it);
        if (it.index == 1)
            m_bootstrap = { it.timestampMs, m_members.current() };
    }
    // storeBootstrap() writes an entry of term 1 without a vote record.
    m_term = std::max(stored.vote.term, m_window.lastTerm());
    if (m_term == stored.vote.term)
        m_votedFor = stored.vote.votedFor;
    if (!m_settings.openMembership && !isConfigured(m_settings.name))
        throw Error(ErrorKind::BadRequest, m_settings.name + " is not one of the configured control members");
    resetElectionTimer();
    if (m_settings.firstElectionTimeout) {
        auto first = static_cast<std::uint64_t>(m_settings.firstElectionTimeout->count());
        m_electionDeadline = now + milliseconds(first + m_random() % (first + 1));
    }
}

template <ControlStorage Storage>
std::optional<RestoredSnapshot> ControlLog<Storage>::storedSnapshot()
{
    if (!m_snapshot)
        return std::nullopt;
    auto data = m_storage.readSnapshotData();
    m_snapshotBytes = data.size();
    return RestoredSnapshot { *m_snapshot, std::move(data) };
}

/// Calls `handler` at time `now` and returns the output that it added to `m_out`. A storage failure stops the member; a
/// member that has stopped does not call `handler`.
template <ControlStorage Storage>
template <typename F>
ControlOutput ControlLog<Storage>::run(TimePoint now, F&& handler)
{
    m_out = {};
    m_now = std::max(m_now, now);
    if (isStopped())
        return {};
    try {
        // Must come first: a leader whose process was paused must not act as leader on input that queued up meanwhile.
        checkQuorum();
        handler();
    } catch (const StorageError& e) {
        stop(e.what());
    }
    return std::move(m_out);
}

template <ControlStorage Storage>
void ControlLog<Storage>::stop(const std::string& reason)
{
    stepDown();
    setRole(ControlRole::Stopped);
    m_out.messages.clear(); // some may depend on state that was not stored
    m_out.snapshotDue = false;
    m_out.failure = reason;
}

template <ControlStorage Storage>
ControlOutput ControlLog<Storage>::tick(TimePoint now)
{
    return run(now, [&] { checkTimers(); });
}

template <ControlStorage Storage>
ControlOutput ControlLog<Storage>::receive(const std::string& from, const ControlMessage& message, TimePoint now)
{
    return run(now, [&] {
        if (message.from.name == from && from != m_settings.name)
            handle(message);
    });
}

template <ControlStorage Storage>
ControlOutput ControlLog<Storage>::propose(Command command, std::uint64_t proposalId, TimePoint now)
{
    std::vector<Proposal> proposals;
    proposals.push_back({ proposalId, std::move(command) });
    return proposeAll(std::move(proposals), now);
}

template <ControlStorage Storage>
ControlOutput ControlLog<Storage>::proposeAll(std::vector<Proposal> proposals, TimePoint now)
{
    auto output = run(now, [&] {
        std::vector<Command> commands;
        auto uncommitted = m_window.bytesBetween(m_commitIndex, m_window.lastIndex());
        for (auto& it : proposals) {
            auto bytes = approximateBytes(it.command);
            if (!isLeader()) {
                m_out.completedProposals.push_back({ it.id, ProposeStatus::NotLeader });
            } else if (std::holds_alternative<ChangeMembers>(it.command)
                || !isWithinLimits(it.command, uncommitted + bytes)) {
                m_out.completedProposals.push_back({ it.id, ProposeStatus::Refused });
            } else {
                commands.push_back(std::move(it.command));
                uncommitted += bytes;
                m_pending.emplace(m_window.lastIndex() + commands.size(), PendingProposal { it.id, m_term });
            }
        }
        if (!commands.empty())
            appendAsLeader(std::move(commands));
    });
    // The member had stopped before this call, so the handler did not run.
    if (isStopped() && output.failure.empty()) {
        for (const auto& it : proposals)
            output.completedProposals.push_back({ it.id, ProposeStatus::NotLeader });
    }
    return output;
}

template <ControlStorage Storage>
ControlOutput ControlLog<Storage>::confirmLeadership(std::uint64_t readId, TimePoint now)
{
    auto output = run(now, [&] {
        if (!isLeader()) {
            m_out.reads.push_back({ readId, false });
            return;
        }
        m_reads.push_back({ readId, m_round + 1 });
        m_readRoundWanted = true;
        startRoundForReads();
    });
    // The member had stopped before this call, so the handler did not run.
    if (isStopped() && output.failure.empty())
        output.reads.push_back({ readId, false });
    return output;
}

template <ControlStorage Storage>
void ControlLog<Storage>::setRole(ControlRole role)
{
    if (m_role == role)
        return;
    m_role = role;
    m_out.roleChanged = true;
}

template <ControlStorage Storage>
void ControlLog<Storage>::send(const ControlMember& to, ControlBody body)
{
    m_out.messages.push_back({ to.name, { cluster(), self(), to.disk, m_term, std::move(body) } });
}

template <ControlStorage Storage>
void ControlLog<Storage>::sendToName(const std::string& name, ControlBody body)
{
    send({ name, 0 }, std::move(body));
}

template <ControlStorage Storage>
void ControlLog<Storage>::checkTimers()
{
    if (isLeader()) {
        if (m_now >= m_nextHeartbeat)
            broadcast();
        manageMembers();
        return;
    }
    if (m_now >= m_electionDeadline && isVoter(m_members.current(), self()))
        startPreVote();
    if (m_now >= m_nextProbe && !knowsLiveLeader())
        sendProbes();
}

/// Whether a message is for this member and comes from its cluster. A member without a cluster accepts a leader that
/// addresses its disk identity, because that leader has added it; its answers to that leader are accepted as well.
template <ControlStorage Storage>
bool ControlLog<Storage>::acceptsSender(const ControlMessage& message) const
{
    if (message.toDisk != 0 && message.toDisk != m_disk)
        return false;
    if (std::holds_alternative<Probe>(message.body) || std::holds_alternative<ProbeAnswer>(message.body)
        || std::holds_alternative<Bootstrap>(message.body))
        return true;
    bool answersLeader = std::holds_alternative<AppendAnswer>(message.body)
        || std::holds_alternative<InstallSnapshotAnswer>(message.body);
    if (hasCluster())
        return message.cluster == cluster() || (message.cluster == 0 && answersLeader);
    bool fromLeader
        = std::holds_alternative<Append>(message.body) || std::holds_alternative<InstallSnapshot>(message.body);
    return fromLeader && message.cluster != 0 && message.toDisk == m_disk;
}

template <ControlStorage Storage>
void ControlLog<Storage>::handle(const ControlMessage& message)
{
    if (!acceptsSender(message))
        return;
    bool ignoresTerm = std::holds_alternative<Probe>(message.body) || std::holds_alternative<ProbeAnswer>(message.body)
        || std::holds_alternative<Bootstrap>(message.body) || std::holds_alternative<PreVote>(message.body);
    if (ignoresTerm) {
        dispatch(message);
        return;
    }
    // A member in an older term may grant a pre-vote: its answer names the term that it grants.
    if (message.term < m_term && !std::holds_alternative<PreVoteAnswer>(message.body)) {
        rejectOldTerm(message);
        return;
    }
    // The handler of Vote stores term and vote with one write.
    if (message.term > m_term && !std::holds_alternative<Vote>(message.body))
        adoptTerm(message.term);
    dispatch(message);
}

template <ControlStorage Storage>
void ControlLog<Storage>::dispatch(const ControlMessage& message)
{
    std::visit([&](const auto& it) { on(message, it); }, message.body);
}

/// Rejects a request from a leader or candidate of an old term, and so sends it the current term. Only the term
/// matters, so InstallSnapshot gets an AppendAnswer as well. Other messages of an old term are dropped.
template <ControlStorage Storage>
void ControlLog<Storage>::rejectOldTerm(const ControlMessage& message)
{
    if (std::holds_alternative<Append>(message.body) || std::holds_alternative<InstallSnapshot>(message.body))
        send(message.from, AppendAnswer {});
    else if (std::holds_alternative<Vote>(message.body))
        send(message.from, VoteAnswer {});
}

template <ControlStorage Storage>
ControlLogStatus ControlLog<Storage>::status() const
{
    return { m_role, self(), m_term, m_leader, m_commitIndex, m_window.lastIndex(), m_snapshot ? m_snapshot->index : 0,
        m_members.current(), isRepairComplete() };
}

} // namespace citronplank

#include "coordination/ControlLogElection.h"
#include "coordination/ControlLogMembers.h"
#include "coordination/ControlLogReplication.h"
#include "coordination/ControlLogSnapshot.h"
