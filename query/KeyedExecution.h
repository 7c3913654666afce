// One keyed (non-idempotent) request: begin in the control log, dispatch at most once, finish.
#pragma once

#include "query/KeyedRecords.h"
#include "query/LayoutChooser.h"
#include "query/PartActions.h"
#include "query/QueryPolicies.h"

#include <memory>

namespace citronplank {

/// The caller's answer to a keyed request that ran.
struct KeyedAnswer {
    std::string body;
};

using KeyedOutcome = std::variant<KeyedAnswer, Error>;

/// What the caller of KeyedExecution has to do after a call, in this order.
struct KeyedActions {
    std::optional<KeyedProposal> propose; // then call `onProposal` once
    bool readRecord = false;              // read the key's record with confirmation, then call `onRecord` once
    std::vector<PartCancel> cancels;
    std::optional<PartSend> send;
    std::optional<KeyedOutcome> finish; // answer the caller; set exactly once
    std::optional<TimePoint> nextTimer; // when to call `onTimer`; replaces the earlier one
};

/// The time in a key "UNIXSECONDS-RANDOM"; nothing if the key is malformed.
std::optional<std::uint64_t> parseRequestKey(std::string_view key);

struct KeyedContext {
    KeyedRequest request;
    std::uint64_t queryId = 0; // unique per entry instance, shared with the queries
    std::string attempt;       // unique across all instances and restarts
    std::shared_ptr<const PinnedLayout> layout;
    ServiceRules rules;
};

/// Runs one keyed request. The part is dispatched at most once, and only after a reply that shows the record begun with
/// this attempt. There is no hedge, and no retry after the dispatch. The object lives on after the caller's answer
/// until `isDone`, so that the true outcome reaches the record.
/// Not thread safe: callers serialize the calls and hold the lock of the policies, which must outlive this object.
template <QueryPolicies Policies>
class KeyedExecution {
public:
    static constexpr milliseconds pollInterval { 100 };      // of a record that another attempt holds
    static constexpr milliseconds proposalRetry { 200 };     // between proposals whose result is unknown
    static constexpr milliseconds lateResultGrace { 10000 }; // after the deadline; the greatest deadline is as long
    static constexpr std::uint32_t finishAttempts = 20;

    KeyedExecution(KeyedContext context, Policies& policies)
        : m_context(std::move(context))
        , m_policies(policies)
    {
    }
    KeyedExecution(const KeyedExecution&) = delete;
    KeyedExecution& operator=(const KeyedExecution&) = delete;

    /// Precondition: called once, before the other methods.
    KeyedActions start(TimePoint now);
    /// The end of the one outstanding proposal.
    KeyedActions onProposal(const ProposalReply&, TimePoint now);
    /// The answer to the one outstanding read.
    KeyedActions onRecord(const RecordReply&, TimePoint now);
    /// The part ended. Results of other parts and second results are ignored.
    KeyedActions onResult(const PartResult&, TimePoint now);
    /// May be called early or late.
    KeyedActions onTimer(TimePoint now);

    /// True once the caller is answered and nothing more will be asked for; the object can be dropped.
    bool isDone() const { return m_answered && m_state == State::Done; }
    bool isDispatched() const { return m_dispatched; }

private:
    enum class State : std::uint8_t {
        Beginning,   // a BeginKeyed is proposed
        Rereading,   // its result is unknown; the record is read
        BeginAgain,  // waits to propose the BeginKeyed again
        Waiting,     // another attempt holds the record; waits for the next read
        Reading,     // another attempt held the record; it is read
        Running,     // dispatched
        Finishing,   // a FinishKeyed is proposed
        FinishAgain, // waits to propose the FinishKeyed again
        Done,
    };

    void begin(KeyedActions&);
    void onBeginUnknown(KeyedActions&, TimePoint now);
    void onStanding(const KeyedRecord&, KeyedActions&, TimePoint now);
    void onStored(const StoredOutcome&, KeyedActions&);
    void dispatch(KeyedActions&, TimePoint now);
    void finishRecord(StoredOutcome, KeyedActions&);
    void proposeFinish(KeyedActions&);
    void onFinishReply(const ProposalReply&, TimePoint now);
    void answer(KeyedOutcome, KeyedActions&);
    void answerError(ErrorKind, const std::string& message, KeyedActions&);
    void onDeadline(KeyedActions&, TimePoint now);
    void tellPolicies(const PartResult&, TimePoint now);
    void wake(KeyedActions&, TimePoint now);
    void wait(State, Duration, TimePoint now);
    KeyedActions settle(KeyedActions, TimePoint now);

    KeyedContext m_context;
    Policies& m_policies;
    std::uint64_t m_fingerprint = 0;
    std::uint64_t m_keySeconds = 0;
    TimePoint m_deadline;
    TimePoint m_wakeAt; // in the states that wait
    State m_state = State::Done;
    bool m_dispatched = false;
    bool m_answered = false;
    bool m_beginUnknown = false; // some BeginKeyed of this attempt may still be applied
    std::uint64_t m_partId = 0;
    std::string m_leaf;
    std::string m_zone;
    TimePoint m_sentAt;
    StoredOutcome m_result;
    std::uint32_t m_finishProposals = 0;
};

extern template class KeyedExecution<ReplicaStatistics>;

} // namespace citronplank
