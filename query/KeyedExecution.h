// Execution of one keyed (non-idempotent) request: records its key in the control log, dispatches it at most once and
// stores the outcome.
#pragma once

#include "query/KeyedRecords.h"
#include "query/LayoutChooser.h"
#include "query/PartActions.h"
#include "query/QueryPolicies.h"

#include <memory>

namespace citronplank {

/// Returned to the caller if the request ran.
struct KeyedAnswer {
    std::string body;
};

using KeyedOutcome = std::variant<KeyedAnswer, Error>;

/// What the user of KeyedExecution has to do after a call, in this order.
struct KeyedActions {
    std::optional<KeyedProposal> propose; // then call `onProposal` once
    bool readRecord = false;              // make a leader-confirmed read of the record, then call `onRecord` once
    std::vector<PartCancel> cancels;
    std::optional<PartSend> send;
    std::optional<KeyedOutcome> finish; // result for the caller; set exactly once
    std::optional<TimePoint> nextTimer; // when to call `onTimer`; replaces the previous value
};

/// Returns the time in a key of the form "UNIXSECONDS-RANDOM", or nothing if the key is malformed.
std::optional<std::uint64_t> parseRequestKey(std::string_view key);

/// Input of one keyed execution.
struct KeyedContext {
    KeyedRequest request;
    std::uint64_t queryId = 0;                  // unique per entry instance, from the same counter as queries
    std::string attempt;                        // unique across all instances and restarts
    std::shared_ptr<const PinnedLayout> layout; // null if no version of the service is known
    ServiceRules rules;
};

/// State machine of one keyed request. The part is dispatched at most once, and only after a reply confirms that the
/// record was begun by this attempt. There are no hedges, and no retries after the dispatch. Keep the object until
/// `isDone`, also after the caller was answered, so that the actual outcome is recorded.
/// Not thread safe. Hold the lock that guards `policies` during each call; `policies` must outlive this object.
template <QueryPolicies Policies>
class KeyedExecution {
public:
    static constexpr milliseconds pollInterval { 100 };      // between reads of a record held by another attempt
    static constexpr milliseconds proposalRetry { 200 };     // between proposals whose result is unknown
    static constexpr milliseconds lateResultGrace { 10000 }; // after the deadline; equals the maximum deadline
    static constexpr std::uint32_t maxFinishProposals = 20;  // after these, the record is left unfinished

    KeyedExecution(KeyedContext context, Policies& policies)
        : m_context(std::move(context))
        , m_policies(policies)
    {
    }
    KeyedExecution(const KeyedExecution&) = delete;
    KeyedExecution& operator=(const KeyedExecution&) = delete;

    /// Proposes the record of the key, or finishes with an error if the key is malformed. Precondition: called once,
    /// before the other methods.
    KeyedActions start(TimePoint now);
    /// Handles the result of the outstanding proposal. At most one is outstanding.
    KeyedActions onProposal(const ProposalReply&, TimePoint now);
    /// Handles the result of the outstanding read. At most one is outstanding.
    KeyedActions onRecord(const RecordReply&, TimePoint now);
    /// Handles the result of the part. Results of other parts and duplicates are ignored.
    KeyedActions onResult(const PartResult&, TimePoint now);
    /// Repeats proposals and reads that are due, answers the caller at the deadline, and records a missing result when
    /// `lateResultGrace` has passed. May be called early or late.
    KeyedActions onTimer(TimePoint now);

    /// True once the caller is answered and no further actions will follow. The object can then be destroyed.
    bool isDone() const { return m_answered && m_state == State::Done; }
    bool isDispatched() const { return m_dispatched; }

private:
    enum class State : std::uint8_t {
        Beginning,       // a BeginKeyed is proposed
        ConfirmingBegin, // the result of the BeginKeyed is unknown; a read of the record is outstanding
        BeginAgain,      // waiting to propose the BeginKeyed again
        Waiting,         // another attempt holds the record; waiting to read it again
        Reading,         // another attempt held the record; a read is outstanding
        Running,         // dispatched
        Finishing,       // a FinishKeyed is proposed
        FinishAgain,     // waiting to propose the FinishKeyed again
        Done,
    };

    void begin(KeyedActions&);
    void onBeginUnknown(KeyedActions&, TimePoint now);
    void onExistingRecord(const KeyedRecord&, KeyedActions&, TimePoint now);
    void onStored(const StoredOutcome&, KeyedActions&);
    void dispatch(KeyedActions&, TimePoint now);
    void finishRecord(StoredOutcome, KeyedActions&);
    void proposeFinish(KeyedActions&);
    void onFinishReply(const ProposalReply&, TimePoint now);
    void answer(KeyedOutcome, KeyedActions&);
    void answerError(ErrorKind, const std::string& message, KeyedActions&);
    void onDeadline(KeyedActions&, TimePoint now);
    void updatePolicies(const PartResult&, TimePoint now);
    void wake(KeyedActions&, TimePoint now);
    void wait(State, Duration, TimePoint now);
    KeyedActions completeActions(KeyedActions, TimePoint now);

    KeyedContext m_context;
    Policies& m_policies;
    std::uint64_t m_fingerprint = 0;
    std::uint64_t m_keySeconds = 0;
    TimePoint m_deadline;
    TimePoint m_wakeAt; // in the states BeginAgain, Waiting and FinishAgain
    State m_state = State::Done;
    bool m_dispatched = false;
    bool m_answered = false;
    bool m_beginUnknown = false; // a BeginKeyed of this attempt may still be applied
    std::uint64_t m_partId = 0;
    std::string m_leaf;
    std::string m_zone;
    TimePoint m_sentAt;
    StoredOutcome m_result;
    std::uint32_t m_finishProposals = 0;
};

extern template class KeyedExecution<ReplicaStatistics>;

} // namespace citronplank
