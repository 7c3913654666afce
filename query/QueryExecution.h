// Execution of one query: fan-out, hedges, retries, version changes, merging and coverage.
#pragma once

#include "policy/StopRule.h"
#include "query/LayoutChooser.h"
#include "query/PartActions.h"
#include "query/QueryPolicies.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <variant>

namespace citronplank {

using QueryOutcome = std::variant<QueryAnswer, Error>;

/// What the user of QueryExecution has to do after a call, in this order.
struct QueryActions {
    std::vector<PartCancel> cancels;
    std::vector<PartSend> sends;
    bool needsLayout = false;           // choose the layout again and call `onLayout`
    std::optional<Duration> partWait;   // for Admission::onPartWait: time that a part spent outside its leaf
    std::optional<QueryOutcome> finish; // set exactly once, unless the query is cancelled
    std::optional<TimePoint> nextTimer; // when to call `onTimer`; replaces the previous value, absent after the finish
};

/// Counts the events of one query, for the metrics of the daemon.
struct QueryCounters {
    std::uint32_t parts = 0; // first parts of shards, without hedges and retries
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    std::uint32_t restarts = 0;
    std::uint32_t lateResults = 0;      // of a shard that was already merged, or after the finish
    std::uint32_t duplicateResults = 0; // of a part that had already ended
    std::uint32_t unknownResults = 0;   // of a part that this query never sent
    std::uint32_t foreignResults = 0;   // of another version, shard or shard count than the part requested
};

/// Input of one query execution.
struct QueryContext {
    Query query;
    std::uint64_t queryId = 0;                  // unique per entry instance, below 2^44
    std::shared_ptr<const PinnedLayout> layout; // null if no version of the service is known
    ServiceRules rules;
};

/// State machine of one query. Finishes exactly once unless it is cancelled. Each shard is merged at most once, and
/// only from a part that was computed for the pinned version, shard and shard count. Not thread safe. Hold the lock
/// that guards `policies` during each call; `policies` must outlive this object.
template <QueryPolicies Policies>
class QueryExecution {
public:
    static constexpr std::uint32_t maxAttempts = 8; // per shard and layout; limits the range of part ids

    QueryExecution(QueryContext context, Policies& policies)
        : m_context(std::move(context))
        , m_policies(policies)
    {
    }
    QueryExecution(const QueryExecution&) = delete;
    QueryExecution& operator=(const QueryExecution&) = delete;

    /// Sends the first parts, or finishes with an error whose outcome is "not run". Precondition: called once, before
    /// the other methods.
    QueryActions start(TimePoint now);
    /// Handles the result of a part. Results of unknown or ended parts are counted and otherwise ignored.
    QueryActions onResult(const PartResult&, TimePoint now);
    /// Sends hedges, and finishes when the waiting time or the deadline has passed. May be called early or late.
    QueryActions onTimer(TimePoint now);
    /// Handles the layout requested by `needsLayout`. Restarts the query on it if it is newer than the pinned one,
    /// covers a shard, no leaf has crashed and there is time left. Otherwise the shards that awaited it are missing. A
    /// query restarts at most once.
    QueryActions onLayout(std::shared_ptr<const PinnedLayout>, TimePoint now);
    /// Cancels all parts after the caller has disconnected. No finish action follows.
    QueryActions cancel(TimePoint now);

    bool isFinished() const { return m_finished; }
    const QueryCounters& counters() const { return m_counters; }

private:
    struct Attempt {
        std::uint32_t shard = 0;
        std::uint32_t replica = 0; // index into the shard's replicas in the layout
        TimePoint sentAt;
        bool ended = false;
        bool isFirst = false; // neither a hedge nor a retry
    };
    enum class ShardState : std::uint8_t { NotSent, Running, AwaitsLayout, Answered, Missing };
    struct Shard {
        ShardState state = ShardState::NotSent;
        MissingReason reason = MissingReason::Deadline;
        std::uint32_t running = 0; // attempts
        std::uint32_t sent = 0;    // attempts
        bool wasRefused = false;   // by a leaf that was not busy; only the first such refusal is retried
        std::vector<bool> tried;   // by replica
        std::string body;
    };

    /// State of the layout that was replaced by a restart. Returned if the new layout ends up with less coverage.
    struct Snapshot {
        std::shared_ptr<const PinnedLayout> layout;
        std::vector<Shard> shards;
        std::uint32_t answered = 0;
    };

    void beginLayout(QueryActions&, TimePoint now);
    void sendNextSuspectPart(QueryActions&, TimePoint now);
    ReplicaList untried(const Shard&, std::uint32_t shard, std::vector<std::uint32_t>& indices) const;
    bool sendAttempt(std::uint32_t shard, bool isHedge, bool isRetry, QueryActions&, TimePoint now);
    void endAttempt(Attempt&, const PartResult&, bool isAnswered, TimePoint now);
    void merge(std::uint32_t shard, const PartResult&, QueryActions&, TimePoint now);
    void cancelAttempts(std::optional<std::uint32_t> shard, QueryActions&, TimePoint now);
    void onCrashed(const Attempt&, QueryActions&, TimePoint now);
    void onFailedAttempt(std::uint32_t shard, PartStatus, const PartResult&, QueryActions&, TimePoint now);
    bool allowsExtraParts(TimePoint now) const;
    bool sendToOtherReplica(std::uint32_t shard, std::uint64_t busyPart, QueryActions&, TimePoint now);
    bool retry(std::uint32_t shard, PartStatus, const PartResult&, QueryActions&, TimePoint now);
    void setMissing(std::uint32_t shard, MissingReason);
    void abandonLayoutChange();
    void hedge(QueryActions&, TimePoint now);
    QueryActions completeActions(QueryActions, TimePoint now);
    TimePoint nextTimer(TimePoint now);
    bool isPreviousBetter() const;
    void finish(QueryActions&, TimePoint now);
    QueryOutcome outcome();
    std::optional<Error> errorWithoutAnswer() const;
    const Layout& layout() const { return m_context.layout->layout; }

    QueryContext m_context;
    Policies& m_policies;
    std::uint64_t m_partCounter = 0;
    std::uint64_t m_fingerprint = 0;
    std::optional<StopRule> m_stopRule;
    std::optional<Duration> m_hedgeDelay;
    std::vector<Shard> m_shards;
    std::optional<Snapshot> m_previous;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::deque<std::uint64_t> m_hedgeQueue; // parts that may be hedged, in the order of sending
    std::uint32_t m_answered = 0;
    std::uint32_t m_openShards = 0;       // shards neither answered nor missing
    std::uint32_t m_nextSuspectShard = 0; // next shard of a suspect query to be sent
    bool m_isSuspect = false;             // may have crashed a leaf before: sent to one leaf at a time
    bool m_crashed = false;               // a leaf crashed: no further parts are sent
    bool m_layoutRequested = false;
    bool m_finished = false;
    std::set<PartStatus> m_failures; // statuses of failed parts
    QueryCounters m_counters;
};

/// Builds a QueryExecution; set at least `query`, `queryId` and `layout` before `build`.
class QueryBuilder {
public:
    QueryBuilder& query(Query it) { return m_context.query = std::move(it), *this; }
    QueryBuilder& layout(std::shared_ptr<const PinnedLayout> it) { return m_context.layout = std::move(it), *this; }
    QueryBuilder& rules(const ServiceRules& it) { return m_context.rules = it, *this; }
    QueryBuilder& queryId(std::uint64_t it) { return m_context.queryId = it, *this; }
    template <QueryPolicies Policies>
    std::unique_ptr<QueryExecution<Policies>> build(Policies& policies) const
    {
        return std::make_unique<QueryExecution<Policies>>(m_context, policies);
    }

private:
    QueryContext m_context;
};

extern template class QueryExecution<ReplicaStatistics>;

} // namespace citronplank
