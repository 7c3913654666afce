// One running request on a configured route: a forwarded request has one part, a gathered one a part for each shard.
// Every part goes to one leaf and, if that one is slow or fails, to another.
#pragma once

#include "query/RecordMerge.h"
#include "query/RelayMessages.h"
#include "query/RoutePolicies.h"

namespace citronplank {

/// What a leaf sent back, headers that concern only one connection left out.
struct LeafResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string signature; // by which the leaf vouches for its answer; empty if it gave none
};

/// The end of one attempt at one leaf.
struct AttemptResult {
    enum class Status : std::uint8_t {
        Answered,  // a success
        Refused,   // not run: the leaf was full or the deadline had passed in its queue
        WrongLeaf, // not run: another leaf has the address
        Failed,    // the leaf answered with an error; `answer` holds it
        Lost,      // may have run: no whole answer came
        Busy,      // not run: all connections to the leaf are in use
        NotSent,   // not run: the leaf cannot be reached
    };
    std::uint64_t attempt = 0;
    Status status = Status::Lost;
    LeafResponse answer;
};
std::string_view attemptStatusName(AttemptResult::Status);
AttemptEnd attemptEndOf(AttemptResult::Status);
/// Whether the leaf ran the request or may have.
bool mayHaveRun(AttemptResult::Status);
/// Whether the request came to a leaf, which counts towards the budget of extra requests.
bool hasArrived(AttemptResult::Status);

struct RouteSend {
    std::uint64_t attempt = 0;
    Announcement leaf;
    std::uint32_t connectionLimit = 1; // of this instance to the leaf
    milliseconds remaining { 0 };      // time that the leaf is given
    bool isExtra = false;              // beyond the first of its part
};

/// Parts that a peer in another zone is asked for.
struct RelaySend {
    std::uint32_t relay = 0; // number within the request
    std::string peer;
    RelayRequest request;
};

/// The answer to the caller. Exactly one of the three kinds.
struct RouteOutcome {
    enum class Kind : std::uint8_t { Forwarded, Merged, Error } kind = Kind::Error;
    LeafResponse answer;                 // Forwarded: as the leaf gave it. Merged: `body` only
    std::vector<std::string> signatures; // Merged: of the parts that are in
    std::uint32_t missing = 0;           // Merged: shards that are left out
    ErrorKind error = ErrorKind::Internal;
    std::string reason;                     // Error
    std::optional<milliseconds> retryAfter; // Error: when another try may be served
};

/// What the caller of RouteExecution has to do after a call.
struct RouteActions {
    /// Attempts whose results are no longer wanted. The policies still count them as running: tell them with onEnd when
    /// an answer comes all the same, or when none has come for a while.
    std::vector<std::uint64_t> cancels;
    std::vector<RouteSend> sends;
    std::vector<RelaySend> relays;
    std::vector<std::pair<std::string, std::uint32_t>> relayCancels; // peer and number of relays without use
    std::optional<RouteOutcome> finish;                              // set exactly once, unless the caller goes
    std::optional<TimePoint> nextTimer;                              // when to call onTimer; replaces the earlier one
};

struct RouteCounters {
    std::uint32_t sends = 0;
    std::uint32_t late = 0;   // parts that took longer than most do
    std::uint32_t hedges = 0; // of these, sent to another leaf
    std::uint32_t retries = 0;
    std::uint32_t refusals = 0; // by leaves
    std::uint32_t failures = 0;
    std::uint32_t relayed = 0; // parts asked of peers
    std::uint32_t brokenRelays = 0;
};

/// Not thread safe: callers serialize the calls with those of the policies, which must outlive this object.
class RouteExecution {
public:
    /// `firstAttempt` starts a range of attempt numbers that no other request uses; see attemptsPerRequest.
    /// Precondition: `deadline` is at most the route's timeout away.
    RouteExecution(std::shared_ptr<const Route> route, std::shared_ptr<const RouteTable> table, TimePoint arrival,
        TimePoint deadline, std::uint64_t firstAttempt, RoutePolicies& policies);
    RouteExecution(const RouteExecution&) = delete;
    RouteExecution& operator=(const RouteExecution&) = delete;

    static constexpr std::uint64_t attemptsPerRequest = 1ULL << 16U;

    /// Sends the first parts, or finishes with a refusal that is "not run". Precondition: called once, first.
    RouteActions start(TimePoint now);
    /// An attempt ended. Results of ended attempts are ignored.
    RouteActions onResult(AttemptResult, TimePoint now);
    /// A peer answered a relay. Answers to ended relays are ignored.
    RouteActions onRelayAnswer(std::uint32_t relay, const RelayAnswer&, TimePoint now);
    /// A relay could not be sent.
    RouteActions onRelayFailed(std::uint32_t relay, TimePoint now);
    /// Hedges, retries, stops waiting or meets the deadline. May be called early or late.
    RouteActions onTimer(TimePoint now);
    /// The caller has gone: cancels all attempts; there is no finish action after it.
    RouteActions cancel();

    bool isFinished() const { return m_finished; }
    const Route& route() const { return *m_route; }
    /// The leaf of an attempt. Precondition: it was sent by this request.
    const std::string& leafOf(std::uint64_t attempt) const { return m_attempts.at(attempt - m_firstAttempt).leaf; }
    const RouteCounters& counters() const { return m_counters; }
    /// Shards without an answer, for the log.
    std::vector<std::string> missingShards() const;
    /// Whether many parts were late or refused: a sign that leaves have more load than they can take.
    bool isCongested() const;
    /// Parts whose answer came.
    std::size_t answered() const { return m_answered; }
    std::size_t parts() const { return m_parts.size(); }

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
        bool hopeless = false;             // no other attempt is allowed
        std::optional<TimePoint> hedgeAt;  // if no answer has come
        std::optional<TimePoint> resendAt; // no leaf could take it
        std::uint32_t resends = 0;
        std::optional<std::uint32_t> relay; // that it is expected from; counts as one running attempt
    };
    struct Relay {
        std::string peer;
        std::vector<std::uint32_t> parts;
        bool hasBatch = false;
        bool ended = false;
    };

    bool isGather() const { return !m_route->shards.empty(); }
    std::size_t minAnswered() const;
    milliseconds leafTime(TimePoint now) const;
    bool trySend(std::uint32_t part, bool isExtra, RouteActions&, TimePoint now);
    void sendRelays(RouteActions&, TimePoint now);
    void breakRelay(std::uint32_t relay, bool mayHaveArrived, RouteActions&, TimePoint now);
    void acceptRelayed(Part&, std::string signature, RouteActions&);
    void failRelayed(std::uint32_t part, bool hasArrived, bool hasRun, RouteActions&, TimePoint now);
    void answerPart(Part&, RouteActions&);
    void scheduleResend(Part&, TimePoint now);
    bool mayRunAgain(const Part& it) const
    {
        return it.ran < m_route->attempts && (m_route->idempotent || it.ran == 0);
    }
    void endAttempt(Attempt&, AttemptEnd, TimePoint now);
    void accept(Part&, Attempt&, AttemptResult&, RouteActions&, TimePoint now);
    void onFailed(std::uint32_t part, RouteActions&, TimePoint now);
    RouteActions settle(RouteActions, TimePoint now);
    void finish(RouteOutcome, RouteActions&);
    RouteOutcome merged();
    RouteOutcome failure(TimePoint now) const;
    std::optional<TimePoint> nextTimer(TimePoint now) const;

    std::shared_ptr<const Route> m_route;
    std::shared_ptr<const RouteTable> m_table;
    RoutePolicies& m_policies;
    TimePoint m_deadline;
    TimePoint m_answerBy; // a partial answer goes out then
    std::uint64_t m_firstAttempt;
    std::vector<Part> m_parts;
    std::vector<Attempt> m_attempts; // by number since m_firstAttempt
    std::vector<Relay> m_relays;
    std::size_t m_answered = 0;
    TopRecords m_merge;
    std::vector<std::string> m_signatures;
    std::optional<LeafResponse> m_forwarded; // success of a forwarded request
    std::optional<LeafResponse> m_lastError; // of a leaf, to be passed on if nothing better comes
    bool m_mayHaveRun = false;
    bool m_finished = false;
    RouteCounters m_counters;
};

} // namespace citronplank
