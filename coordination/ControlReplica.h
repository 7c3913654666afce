// A control member: the control log together with the state machine that it replicates.
#pragma once

#include "coordination/ControlLog.h"
#include "coordination/ControlState.h"

namespace citronplank {

/// The answer to a proposal of this process.
struct LocalAnswer {
    std::uint64_t id = 0; // the `proposalId`
    ProposeStatus status = ProposeStatus::Unknown;
    std::string leader;      // the member to ask instead, if known
    std::uint64_t index = 0; // if committed
    CommandResult result;    // if committed
};

struct AppliedEntry {
    LogEntry entry;
    CommandResult result;
};

/// What the caller has to do after a call. The state already reflects everything listed here.
struct ReplicaOutput {
    std::vector<OutgoingControlMessage> messages;
    std::vector<AppliedEntry> applied;
    std::vector<LocalAnswer> answers;
    std::vector<CompletedRead> reads; // confirmed ones may be answered from the state at once
    std::optional<Freshness> freshness;
    bool restored = false;         // the state was replaced by a snapshot; `applied` does not list the entries in it
    bool publishedChanged = false; // state().publishedVersion() is newer
    bool roleChanged = false;
    std::string failure; // not empty: storage failed, the control role stopped
};

/// Applies committed entries, answers proposals with typed results and takes snapshots. Not thread safe: callers
/// serialize all calls to one object.
template <ControlStorage Storage>
class ControlReplica {
public:
    /// Loads log and state. Throws StorageError if the storage cannot be read, and Error(ErrorKind::BadRequest) if
    /// `settings.name` is not among the configured members or the stored state cannot be decoded. `storage` must
    /// outlive the object.
    ControlReplica(Storage& storage, ControlLogSettings settings, TimePoint now, RulesValidator validator = {})
        : m_log(storage, std::move(settings), now)
        , m_state(std::move(validator))
    {
        if (auto stored = m_log.storedSnapshot())
            m_state.restore(stored->data);
    }

    /// Runs timers and submits queued proposals. Precondition: called at least every 20 ms or so.
    ReplicaOutput tick(TimePoint now)
    {
        beginCall();
        submit(now);
        processOutput(m_log.tick(now), now);
        return std::move(m_out);
    }

    /// Handles a message. A Propose is queued until flush() or tick(), so that several share one sync. The caller
    /// handles ProposeAnswer itself. Throws Error(ErrorKind::BadRequest) if a received snapshot cannot be decoded; the
    /// control role must stop then.
    ReplicaOutput receive(const std::string& from, const ControlMessage& message, TimePoint now)
    {
        beginCall();
        if (const auto* it = std::get_if<Propose>(&message.body))
            m_queue.push_back({ Origin { from, it->proposalId }, it->command });
        else
            processOutput(m_log.receive(from, message, now), now);
        return std::move(m_out);
    }

    /// Queues a command until flush() or tick(). It is answered exactly once, in the output of a later call.
    /// `proposalId` is unique among the proposals of this process that are not answered yet.
    void propose(Command command, std::uint64_t proposalId)
    {
        m_queue.push_back({ Origin { {}, proposalId }, std::move(command) });
    }

    /// Submits queued proposals with one sync. Call it after a batch of receive() and propose().
    ReplicaOutput flush(TimePoint now)
    {
        beginCall();
        submit(now);
        return std::move(m_out);
    }

    /// Requests a quorum round that starts after this call; see ControlLog.
    ReplicaOutput confirmLeadership(std::uint64_t readId, TimePoint now)
    {
        beginCall();
        processOutput(m_log.confirmLeadership(readId, now), now);
        return std::move(m_out);
    }

    /// For a planned stop; see ControlLog.
    ReplicaOutput transferLeadership(TimePoint now)
    {
        beginCall();
        processOutput(m_log.transferLeadership(now), now);
        return std::move(m_out);
    }

    /// See ControlLog.
    void setContacts(std::set<std::string> names) { m_log.setContacts(std::move(names)); }

    /// The references stay valid as long as the object; their content changes with each call.
    const ControlState& state() const { return m_state; }
    const ControlLog<Storage>& log() const { return m_log; }

private:
    struct Origin {
        std::string sender; // empty: this process
        std::uint64_t proposalId = 0;
    };
    struct QueuedProposal {
        Origin origin;
        Command command;
    };

    void beginCall()
    {
        m_out = {};
        m_results.clear();
    }

    void submit(TimePoint now)
    {
        if (m_queue.empty())
            return;
        std::vector<Proposal> proposals;
        for (auto& it : m_queue) {
            proposals.push_back({ ++m_lastId, std::move(it.command) });
            m_origins.emplace(m_lastId, std::move(it.origin));
        }
        m_queue.clear();
        processOutput(m_log.proposeAll(std::move(proposals), now), now);
    }

    void processOutput(ControlOutput output, TimePoint now)
    {
        append(m_out.messages, std::move(output.messages));
        append(m_out.reads, std::move(output.reads));
        m_out.roleChanged |= output.roleChanged;
        if (output.freshness)
            m_out.freshness = output.freshness;
        if (!output.failure.empty())
            m_out.failure = output.failure;
        auto publishedBefore = m_state.publishedVersion();
        if (output.restore) {
            m_state.restore(output.restore->data);
            m_out.restored = true;
        }
        for (auto& it : output.committed) {
            auto result = m_state.apply(it);
            m_results.insert_or_assign(it.index, result);
            m_out.applied.push_back({ std::move(it), std::move(result) });
        }
        m_out.publishedChanged |= m_state.publishedVersion() != publishedBefore;
        for (const auto& it : output.completedProposals)
            answer(it);
        if (output.snapshotDue)
            processOutput(m_log.saveSnapshot(m_state.snapshot(), now), now);
    }

    void answer(const CompletedProposal& proposal)
    {
        auto found = m_origins.find(proposal.id);
        if (found == m_origins.end())
            return;
        auto origin = std::move(found->second);
        m_origins.erase(found);
        CommandResult result;
        if (proposal.status == ProposeStatus::Committed)
            result = m_results.at(proposal.index);
        if (origin.sender.empty()) {
            m_out.answers.push_back({ origin.proposalId, proposal.status, m_log.leader(), proposal.index, result });
            return;
        }
        ProposeAnswer answer { origin.proposalId, proposal.status, m_log.leader(), proposal.index, result };
        m_out.messages.push_back({ origin.sender, { m_log.cluster(), m_log.self(), 0, 0, std::move(answer) } });
    }

    template <typename T>
    static void append(std::vector<T>& list, std::vector<T>&& more)
    {
        list.insert(list.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }

    ControlLog<Storage> m_log;
    ControlState m_state;
    std::vector<QueuedProposal> m_queue;
    std::map<std::uint64_t, Origin> m_origins; // of proposals that are not answered yet, by their ID in ControlLog
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, CommandResult> m_results; // of the entries applied in this call, by index
    ReplicaOutput m_out;
};

} // namespace citronplank
