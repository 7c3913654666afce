// Submits commands to the control leader from any daemon and finds out who the leader is.
#pragma once

#include "coordination/ControlMessages.h"
#include "daemon/OrderedMutex.h"

#include <functional>

namespace citronplank {

constexpr milliseconds proposalAnswerTimeout { 1000 }; // then the command may or may not be applied
constexpr milliseconds leaderRetryInterval { 50 };     // between two members that are not the leader

/// How a submitted command ended.
struct SubmitResult {
    ProposeStatus status = ProposeStatus::Unknown; // NotLeader: certainly not applied, no leader was found in time
    std::uint64_t index = 0;                       // if committed
    CommandResult result;                          // if committed
};

/// Every method is thread safe. Handlers run on the thread that delivers the answer or calls `onTimer`, without a lock.
class ControlClient {
public:
    using Handler = std::function<void(const SubmitResult&)>;
    /// Sends a proposal to a control member, this daemon's own included; false if it was certainly not sent.
    using Sender = std::function<bool(const std::string& member, const Propose&)>;

    /// `members` are the names of all control members.
    ControlClient(std::vector<std::string> members, Sender sender);

    /// Replaces the members' names.
    void setMembers(std::vector<std::string> members);
    /// Submits once. Before a leader has taken the command it is offered to the members in turn until `timeout`; after
    /// that it is never sent again, because the caller decides whether a second submission is harmless.
    void submit(Command, milliseconds timeout, Handler, TimePoint now);
    /// The answer of a member.
    void onAnswer(const ProposeAnswer&, TimePoint now);
    /// Call it every 20 ms or so.
    void onTimer(TimePoint now);
    /// Notes who the leader is, as heard by gossip.
    void noteLeader(const std::string& name);
    std::string leader() const;

private:
    struct Pending {
        Command command;
        Handler handler;
        TimePoint giveUpAt;
        TimePoint answerDue;              // valid while `sent`
        std::optional<TimePoint> offerAt; // when to offer it to the next member
        bool sent = false;                // offered, and no refusal came back
    };
    struct Table {
        std::map<std::uint64_t, Pending> pending;
        std::vector<std::string> members;
        std::string leader;
        std::size_t nextMember = 0;
        std::uint64_t lastId = 0;
    };
    struct Offer {
        std::string member;
        Propose proposal;
    };
    using Finished = std::vector<std::pair<Handler, SubmitResult>>;

    Offer prepareOffer(Table&, std::uint64_t id, Pending&, TimePoint now);
    void sendOffers(const std::vector<Offer>&, TimePoint now);

    Sender m_sender;
    mutable Guarded<Table> m_table;
};

} // namespace citronplank
