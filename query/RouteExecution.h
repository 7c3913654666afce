// Execution of one request on a configured route. A forwarded request has one part, a gathered request one part for
// each shard. Each part is sent to one leaf, and to another if that one is slow or fails.
#pragma once

#include "query/RecordMerge.h"
#include "query/RelayMessages.h"
#include "query/RoutePolicies.h"

namespace citronplank {

/// Response of a leaf, without hop-by-hop headers.
struct LeafResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string signature; // signature of the leaf on the response; empty if it has none
};

/// Result of one attempt at one leaf.
struct AttemptResult {
    enum class Status : std::uint8_t {
        Answered,  // success
        Refused,   // not run: the leaf was full, or the deadline had passed in its queue
        WrongLeaf, // not run: another leaf uses the address
        Failed,    // the leaf returned an error, which is in `answer`
        Lost,      // may have run: no complete response was received
        Busy,      // not run: all connections to the leaf are in use
        NotSent,   // not run: the leaf is unreachable
    };
    std::uint64_t attempt = 0;
    Status status = Status::Lost;
    LeafResponse answer;
    bool isLeafLeaving = false; // the leaf has said so in its answer
};
std::string_view attemptStatusName(AttemptResult::Status);
AttemptEnd attemptEndOf(AttemptResult::Status);
/// Whether the leaf ran or may have run the request.
bool mayHaveRun(AttemptResult::Status);
/// Whether the request reached a leaf. Further attempts then draw on the budget of extra requests.
bool hasArrived(AttemptResult::Status);

/// Sends a part to a leaf.
struct RouteSend {
    std::uint64_t attempt = 0;
    Announcement leaf;
    std::uint32_t connectionLimit = 1;    // maximum number of connections of this instance to the leaf
    milliseconds remaining { 0 };         // time limit for the leaf
    bool isExtra = false;                 // a hedge or retry that was taken from the budget of extra requests
    std::optional<TimePoint> firstSentAt; // of this part to this leaf; absent if it was not sent there before
};

/// Parts requested from a peer.
struct RelaySend {
    std::uint32_t relay = 0; // index within the request
    std::string peer;
    RelayRequest request;
    milliseconds wait { 0 }; // the parts are requested elsewhere if the peer has not answered by then
};

/// Response to the caller.
struct RouteOutcome {
    enum class Kind : std::uint8_t { Forwarded, Merged, Error } kind = Kind::Error;
    LeafResponse answer;                 // Forwarded: the response of the leaf. Merged: `body` only
    std::vector<std::string> signatures; // Merged: of the included parts
    std::uint32_t missing = 0;           // Merged: number of missing shards
    ErrorKind error = ErrorKind::Internal;
    std::string reason;                     // Error
    std::optional<milliseconds> retryAfter; // Error: time after which a retry may succeed
};

/// What the user of RouteExecution has to do after a call.
struct RouteActions {
    /// Attempts whose results are no longer needed. The policies still count them as running: call onEnd when a
    /// response arrives anyway, or when none has arrived for some time.
    std::vector<std::uint64_t> cancels;
    std::vector<RouteSend> sends;
    std::vector<RelaySend> relays;
    std::vector<std::pair<std::string, std::uint32_t>> relayCancels; // peer and index of each relay
    std::optional<RouteOutcome> finish;                              // set exactly once, unless cancelled
    std::optional<TimePoint> nextTimer; // when to call onTimer; if set, replaces the previous value
};

/// Counts the events of one request, for the metrics of the daemon.
struct RouteCounters {
    std::uint32_t sends = 0;
    std::uint32_t late = 0;   // parts without an answer after the hedge delay or, if relayed, from the peer in time
    std::uint32_t hedges = 0; // late parts that were sent to another leaf
    std::uint32_t retries = 0;
    std::uint32_t refusals = 0;     // by leaves
    std::uint32_t failures = 0;     // attempts that ran or may have run without a usable response
    std::uint32_t relayed = 0;      // parts requested from peers
    std::uint32_t brokenRelays = 0; // relays whose peer failed or did not answer in time
    std::uint32_t unsentRelays = 0; // of these, those that could not be sent
};

/// State machine of one request on a route.
/// Not thread safe. Hold the lock that guards `policies` during each call; `policies` must outlive this object.
class RouteExecution {
public:
    /// `firstAttempt` is the first of `attemptsPerRequest` attempt numbers that no other request uses.
    /// Precondition: `deadline` is not later than `arrival` plus the timeout of the route.
    RouteExecution(std::shared_ptr<const Route> route, std::shared_ptr<const RouteTable> table, TimePoint arrival,
        TimePoint deadline, std::uint64_t firstAttempt, RoutePolicies& policies);
    RouteExecution(const RouteExecution&) = delete;
    RouteExecution& operator=(const RouteExecution&) = delete;

    static constexpr std::uint64_t attemptsPerRequest = 1ULL << 16U;

    /// Sends the first parts, or finishes with an error whose outcome is "not run". Precondition: called once, before
    /// the other methods.
    RouteActions start(TimePoint now);
    /// Handles the result of an attempt. Results of ended attempts are ignored.
    RouteActions onResult(AttemptResult, TimePoint now);
    /// Handles the answer of a peer to a relay. Answers to ended relays are ignored.
    RouteActions onRelayAnswer(std::uint32_t relay, const RelayAnswer&, TimePoint now);
    /// Handles a relay that could not be sent. Precondition: `relay` is the index of a relay of this request.
    RouteActions onRelayFailed(std::uint32_t relay, TimePoint now);
    /// Sends hedges and retries, and finishes when the waiting time or the deadline has passed. May be called early or
    /// late.
    RouteActions onTimer(TimePoint now);
    /// Cancels all attempts after the caller has disconnected. No finish action follows.
    RouteActions cancel();

    bool isFinished() const { return m_finished; }
    /// Whether the answer was due, but its coverage was too low.
    bool isOverdue() const { return m_isOverdue; }
    const Route& route() const { return *m_route; }
    /// Returns the leaf of an attempt. Precondition: the attempt was sent by this request.
    const std::string& leafOf(std::uint64_t attempt) const { return m_attempts.at(attempt - m_firstAttempt).leaf; }
    const RouteCounters& counters() const { return m_counters; }
    /// Returns the shards without an answer, for the log. Those whose leaves are all paused at `now` are marked.
    std::vector<std::string> missingShards(TimePoint now) const;
    /// Whether many parts were late or refused, which indicates that leaves are overloaded.
    bool isCongested() const;
    /// Number of answered parts.
    std::size_t answeredCount() const { return m_answered; }
    std::size_t partCount() const { return m_parts.size(); }

private:
    struct Attempt {
        std::uint32_t part = 0;
        std::string leaf;
        Announcement announcement;
        TimePoint sentAt;
        bool ended = false;
    };
    struct Part {
        std::string service;
        std::vector<std::string> tried; // leaves, in order
        std::uint32_t running = 0;
        std::uint32_t ran = 0;     // attempts that ran or may have run
        std::uint32_t arrived = 0; // attempts that reached a leaf
        bool answered = false;
        bool isExhausted = false;          // no further attempt is allowed
        std::optional<TimePoint> hedgeAt;  // when to send a hedge or abandon the relay if there is no answer yet
        std::optional<TimePoint> resendAt; // when to try again because no leaf could accept the part
        std::uint32_t resends = 0;
        std::uint32_t unsentRelays = 0;
        std::vector<std::uint32_t> relays; // outstanding relays of the part; each counts as one running attempt
    };
    struct Relay {
        std::string peer;
        std::vector<std::uint32_t> parts;
        bool hasBatch = false; // the first answer of the peer has arrived, or none is expected
        bool ended = false;
    };
    enum class Again : std::uint8_t { Hedge, Retry };

    bool isGather() const { return !m_route->shards.empty(); }
    std::size_t minAnswered() const;
    milliseconds leafTimeout(TimePoint now) const;
    std::optional<TimePoint> firstSentAt(std::uint32_t part, std::string_view leaf) const;
    bool trySend(std::uint32_t part, bool isExtra, RouteActions&, TimePoint now);
    void sendRelays(RouteActions&, TimePoint now);
    void sendRelay(
        RoutePolicies::RelayPlan, milliseconds batchAfter, Duration wait, RelayBudget, RouteActions&, TimePoint now);
    void requestAgain(std::vector<std::uint32_t> parts, Again, RouteActions&, TimePoint now);
    std::vector<std::uint32_t> relayAgain(std::span<const std::uint32_t> parts, Again, RouteActions&, TimePoint now);
    void abandonRelay(std::uint32_t relay, bool mayHaveArrived, RouteActions&, TimePoint now);
    void acceptRelayed(Part&, std::string signature, RouteActions&);
    bool failRelayed(std::uint32_t part, std::uint32_t relay, bool hasArrived, bool mayHaveRun);
    bool mayRetry(std::uint32_t part);
    void answerPart(Part&, RouteActions&);
    void scheduleResend(Part&, TimePoint now);
    bool isAvailable(const Part&, TimePoint now) const;
    bool waitForPause(Part&, TimePoint now);
    milliseconds retryAfter(milliseconds minimum, TimePoint now) const;
    bool mayRunAgain(const Part& it) const
    {
        return it.ran < m_route->attempts && (m_route->idempotent || it.ran == 0);
    }
    void endAttempt(Attempt&, AttemptEnd, TimePoint now);
    void accept(Part&, Attempt&, AttemptResult&, RouteActions&, TimePoint now);
    RouteActions completeActions(RouteActions, TimePoint now);
    void finish(RouteOutcome, RouteActions&);
    RouteOutcome merged();
    RouteOutcome failure(TimePoint now) const;
    std::optional<TimePoint> nextTimer(TimePoint now) const;

    std::shared_ptr<const Route> m_route;
    std::shared_ptr<const RouteTable> m_table;
    RoutePolicies& m_policies;
    TimePoint m_deadline;
    TimePoint m_answerBy; // from then on a partial answer is sent if its coverage is sufficient
    std::uint64_t m_firstAttempt;
    std::vector<Part> m_parts;
    std::vector<Attempt> m_attempts; // by attempt number minus m_firstAttempt
    std::vector<Relay> m_relays;
    std::size_t m_answered = 0;
    TopRecords m_merge;
    std::vector<std::string> m_signatures;   // of the answered parts
    std::optional<LeafResponse> m_forwarded; // successful response to a forwarded request
    std::optional<LeafResponse> m_lastError; // last error response of a leaf, returned if no attempt succeeds
    bool m_mayHaveRun = false;
    bool m_isOverdue = false; // the answer was due before, but its coverage was too low
    bool m_finished = false;
    RouteCounters m_counters;
};

} // namespace citronplank
