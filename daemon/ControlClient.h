// Submits commands to the control leader from any daemon, and finds out which control member is the leader.
#pragma once

#include "coordination/ControlMessages.h"
#include "daemon/OrderedMutex.h"

#include <functional>

namespace citronplank {

constexpr milliseconds proposalAnswerTimeout { 1000 }; // after it the outcome of the command is unknown
constexpr milliseconds leaderRetryInterval { 50 };     // delay before the next member after one that is not the leader

/// How a submitted command ended.
struct SubmitResult {
    ProposeStatus status = ProposeStatus::Unknown; // NotLeader: not applied, no leader was found in time
    std::uint64_t index = 0;                       // if committed
    CommandResult result;                          // if committed
};

/// Every method is thread safe. Handlers run without a lock held, on the thread that calls `submit`, `onAnswer` or
/// `onTimer`.
class ControlClient {
public:
    using Handler = std::function<void(const SubmitResult&)>;
    /// Sends a proposal to a control member, which may be this daemon. Returns false only if it was not sent.
    using Sender = std::function<bool(const std::string& member, const Propose&)>;

    /// `members` are the names of all control members. Proposals are numbered above `lastId`; pass the incarnation of
    /// this process, so that a late answer to an earlier run is not taken for one to this run.
    ControlClient(std::vector<std::string> members, Sender sender, std::uint64_t lastId = 0);

    /// Replaces the members' names.
    void setMembers(std::vector<std::string> members);
    /// Submits a command, which is applied at most once. A member that is not the leader refuses it; it is then sent to
    /// the leader that this member names or else to the next member, until `timeout` has passed. If an answer is
    /// missing it is not sent again, because only the caller knows whether a second submission is safe. `handler` runs
    /// once, at the latest about `timeout` and `proposalAnswerTimeout` after this call, unless this object is destroyed
    /// before.
    void submit(Command, milliseconds timeout, Handler, TimePoint now);
    /// Handles the answer of a member.
    void onAnswer(const ProposeAnswer&, TimePoint now);
    /// Must be called about every 50 ms.
    void onTimer(TimePoint now);
    /// Sets the leader that a freshness notice named.
    void setLeader(const std::string& name);
    /// Name of the last known leader; empty if unknown.
    std::string leader() const;

private:
    struct Pending {
        Command command;
        Handler handler;
        TimePoint retryDeadline;
        TimePoint answerDeadline;         // valid while `sent`
        std::optional<TimePoint> retryAt; // when to send it again after a refusal
        bool sent = false;                // sent and not refused
    };
    struct Table {
        std::map<std::uint64_t, Pending> pending;
        std::vector<std::string> members;
        std::string leader;
        std::size_t nextMember = 0;
        std::uint64_t lastId = 0;
    };
    struct OutgoingProposal {
        std::string member;
        Propose proposal;
    };
    using Finished = std::vector<std::pair<Handler, SubmitResult>>;

    OutgoingProposal prepareProposal(Table&, std::uint64_t id, Pending&, TimePoint now);
    void sendProposals(const std::vector<OutgoingProposal>&, TimePoint now);

    Sender m_sender;
    mutable Guarded<Table> m_table;
};

} // namespace citronplank
