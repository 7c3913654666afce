// citronplank: a query tier between callers and many small sharded backend servers.
//
// This header is the overview of the library. It declares the types that all modules share: outcomes and errors,
// leaves and layouts, rules, queries and answers. The modules are in the folders named below; each can be embedded
// without the daemon. Those marked (*) use no sockets or threads and take the time as an argument.
//
// Two kinds of traffic are served. Queries and keyed requests use the announced shards of a service and the rules file.
// Requests on routes are forwarded as HTTP messages according to the serving configuration. They share the control log
// and the membership, but use different classes of policy/, query/ and backend/.
//
//   coordination/   replicated control log, gossip membership, leaf directory, zone lease         (*)
//   policy/         replica selection, hedging, retry budgets, slow start, admission, fair shares,
//                   concurrency limits, blocking of requests that crash leaves                    (*)
//   rules/          grammar of the rules file, changes to a base version, file watcher             (*)
//   query/          layout pinning, fan-out, merging, coverage, request keys, routes               (*)
//   backend/        HTTP client for leaves, encoding of their announcements
//   transport/      links between daemons, gossip over UDP, HTTP server for callers
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace citronplank {

// ---------------------------------------------------------------------------------------------------------------
// Time. Modules marked (*) take `now` as an argument and never read this clock. Only the file watcher of rules/ reads
// the wall clock, for the time in its status file.

/// Monotonic like std::chrono::steady_clock, but also counts time during which the machine was suspended, so that
/// leases and deadlines expire meanwhile. Meets the named requirement TrivialClock. Thread safe.
struct Clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required name
    static time_point now() noexcept;
};
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

// ---------------------------------------------------------------------------------------------------------------
// Outcomes and errors

/// What is known about whether a request was executed by a backend server.
enum class Outcome : std::uint8_t {
    NotRun,     // it was not started and will not be
    Ran,        // it was executed
    MayHaveRun, // it may or may not have been executed; a retry needs the same request key
};

/// All errors that a caller can receive. The table `errorAnswers` gives the HTTP status, outcome and retry advice of
/// each.
enum class ErrorKind : std::uint8_t {
    BadRequest,          // malformed or not supported
    Unauthorized,        // the request carries no valid key of a customer
    KeyRevoked,          // the customer's key was removed from the configuration while the request ran
    RequestTooLarge,     // the header or the body exceeds its limit
    RequestTimeout,      // the request did not arrive in time
    UnknownService,      // no such service, route or path
    KeyMissing,          // the operation needs a request key
    KeyReused,           // the request key was used for another request
    KeyExpired,          // the request key is older than the retention time of keys
    RequestBlocked,      // the query or keyed request crashed leaves and is blocked for some time
    CrashSuspect,        // the request on a route crashed leaves and is blocked for some time
    ShareExceeded,       // the customer uses more than its share of the instance
    Overloaded,          // the instance, the service or its leaves are at a limit
    DeadlineUnreachable, // the estimated wait is too long for the deadline
    Stopping,            // the instance is stopping
    NotReady,            // the instance is starting
    NoMajority,          // too few control members confirmed the operation in time
    NoReplica,           // no usable replica
    CoverageTooLow,      // fewer shards answered than the minimum coverage requires
    BackendFailed,       // the leaf or leaves answered with errors
    OutcomeUnknown,      // the request was sent to a leaf, but its outcome is not known
    Internal,            // an unexpected error of the instance
};

/// When a caller may send the same request again.
enum class RetryAdvice : std::uint8_t {
    Never,
    Later,       // after a delay
    Elsewhere,   // to another instance
    MoreTime,    // with a longer deadline
    SameKeyOnly, // it may have run: only with the same request key, or if it is idempotent
    Now
};

/// Error response for one error kind.
struct ErrorAnswer {
    ErrorKind kind = ErrorKind::Internal;
    std::string_view name;
    int httpStatus = 500;
    RetryAdvice retry = RetryAdvice::Never;
    Outcome outcome = Outcome::NotRun;
};

/// All error responses, indexed by ErrorKind. Thread safe: constant data.
std::span<const ErrorAnswer> errorAnswers();
/// Error response of one kind. Thread safe.
const ErrorAnswer& errorAnswer(ErrorKind);
/// Names used in responses. Thread safe.
std::string_view outcomeName(Outcome);         // "not_run", "ran", "may_have_run"
std::string_view retryAdviceName(RetryAdvice); // "never", "later", ...

/// The only exception type that module interfaces throw. `what()` is one sentence for the caller.
class Error : public std::runtime_error {
public:
    Error(ErrorKind kind, const std::string& message)
        : std::runtime_error(message)
        , m_kind(kind)
    {
    }
    ErrorKind kind() const { return m_kind; }

private:
    ErrorKind m_kind;
};

// ---------------------------------------------------------------------------------------------------------------
// Leaves. A leaf is one backend server process that holds a replica of one shard, in one or more index versions.

/// A shard of a service at one index version: shard `shard` of `shardCount`.
struct ShardVersion {
    std::uint64_t version = 0;    // index version; a greater number is newer
    std::uint32_t shard = 0;      // 0 .. shardCount-1
    std::uint32_t shardCount = 0; // number of shards of the layout at this version
    auto operator<=>(const ShardVersion&) const = default;
};

/// State that a leaf reports about itself, renewed every `announcementInterval`.
struct Announcement {
    std::string leaf;                   // unique name of the leaf
    std::string service;                // for example "loandesk"
    std::string zone;                   // for example "atl"
    std::string address;                // "IP:PORT" for parts and for requests on routes
    std::uint64_t boot = 0;             // identifies the process run: differs after each restart, greater is newer
    std::uint64_t sequence = 0;         // counts announcements within one boot
    std::uint32_t slots = 1;            // parts or requests on routes that it runs concurrently when warm
    std::uint32_t connections = 1;      // connections it accepts
    std::vector<ShardVersion> versions; // what it can serve now
    bool draining = false;              // true: no new work
    milliseconds warmupLeft { 0 };      // remaining warm-up time as the leaf reports it
};

constexpr milliseconds announcementInterval { 500 };
constexpr milliseconds announcementTimeout { 2000 }; // without a renewal for this long, a leaf is removed

constexpr milliseconds maxWarmup = std::chrono::hours(24); // an announcement with a longer `warmupLeft` is refused

/// The shards of one service at one index version. The denominator of coverage is `shardCount`.
struct Layout {
    std::string service;
    std::uint64_t version = 0;
    std::uint32_t shardCount = 0;
    std::vector<std::vector<Announcement>> replicas; // by shard; an empty list is a shard without a live replica
};

// ---------------------------------------------------------------------------------------------------------------
// Instances. An instance is one daemon process of the system on one host.

struct Instance {
    std::string name;              // stable across restarts
    std::string region;            // for example "georgia"
    std::string zone;              // for example "atl"
    std::string linkAddress;       // "IP:PORT" for links between daemons (nng)
    std::string gossipAddress;     // "IP:PORT" for gossip (UDP)
    std::string adminAddress;      // "IP:PORT" for operators, announcements and readiness
    std::uint64_t incarnation = 0; // greater after each restart
    bool controlMember = false;    // holds a replica of the control log
};

/// The daemons of one zone that own its leaves. The owner of a leaf is computed from the member names.
struct ZoneView {
    std::string zone;
    std::uint64_t number = 0;          // counts the views of the zone; 0: it has none yet
    std::vector<std::string> members;  // sorted
    std::vector<std::string> previous; // members of the view with number - 1; sorted
    std::uint64_t version = 0;         // log index of the change; 0 before it is committed
    bool operator==(const ZoneView&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------
// Rules in force, as parsed from the rules file. Absent values take the default.

/// Which instances send the parts of a service to a leaf.
enum class SendPolicy : std::uint8_t {
    Owner,      // only the owner of the leaf, which queues the parts of all instances
    Independent // every instance itself, without regard to the load from others (baseline for comparison)
};

struct ServiceRules {
    milliseconds deadline { 1000 };     // default and maximum deadline of a query
    double minCoverage = 0.0;           // fraction of the shards below which the answer is an error
    std::optional<milliseconds> wait;   // after this time, a query ends as soon as minCoverage is reached
    double hedgePercent = 5.0;          // extra parts allowed for hedging, in percent of ordinary parts
    double retryPercent = 10.0;         // extra parts allowed for retries, in percent of ordinary parts
    std::optional<std::uint32_t> limit; // queries in flight at one entry instance
    SendPolicy policy = SendPolicy::Owner;
    std::set<std::string, std::less<>> nonIdempotent; // names of operations that must not run twice
};

struct LeafRules {
    std::optional<std::uint32_t> limit; // maximum parts in flight; lowers the announced slots
    bool out = false;                   // true: taken out of service, receives no new work
};

struct Rules {
    std::uint64_t version = 0;                   // control log index of the last accepted edit; 0 before the first
    std::set<std::string, std::less<>> zonesOut; // taken out of service: their leaves receive no new work
    std::map<std::string, ServiceRules, std::less<>> services;
    std::map<std::string, LeafRules, std::less<>> leaves;
    std::map<std::string, double, std::less<>> customerShares; // weight by customer; 1 if absent
};

/// One line of the rules file. `key` is the line without its value and comment; it identifies the line across edits.
struct RuleLine {
    std::string key;     // "service loandesk hedge"
    std::string value;   // "2%"
    std::string comment; // "nok: stragglers in october"
    bool operator==(const RuleLine&) const = default;
};

/// One difference between two versions of the rules. An absent `line` removes the key.
struct RuleChange {
    std::string key;
    std::optional<RuleLine> line;
    bool operator==(const RuleChange&) const = default;
};

/// Applies changes to lines. Returns the resulting lines ordered by key. Thread safe.
std::vector<RuleLine> applyRuleChanges(std::span<const RuleLine> lines, std::span<const RuleChange> changes);

// ---------------------------------------------------------------------------------------------------------------
// Serving configuration: a complete, versioned document that names the routes callers use and the services behind them.
// It is independent of the rules: the document is replaced as a whole, and the highest version takes effect.

/// One of the services that the requests of a route are distributed over.
struct WeightedService {
    std::string service;
    double weight = 1.0; // share of the requests, relative to the sum of the route's weights
    bool operator==(const WeightedService&) const = default;
};

/// Where requests of one host and path prefix go. Exactly one of `targets` and `shards` is not empty.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;               // begins and ends with '/'; the longest matching prefix of a host wins
    bool idempotent = true;               // false: a request is never sent to a second leaf once it may have run
    milliseconds timeout { 1000 };        // maximum time until the caller gets a response
    milliseconds objective { 0 };         // target latency set by the operator; 0: none
    std::uint32_t priority = 0;           // 0 is the highest
    std::uint32_t attempts = 1;           // maximum number of leaves that one request, or one part of it, is sent to
    std::vector<WeightedService> targets; // a request is forwarded to one leaf of one of these
    std::vector<std::string> shards;      // a request is forwarded to one leaf of each of these, and the parts merged
    std::uint32_t topRecords = 0;         // number of records in a merged answer
    double minCoverage = 0;               // fraction of the shards below which an answer is an error
    bool isPublic = false;                // requests need no key of a customer
    bool operator==(const Route&) const = default;
};

/// Limits of each leaf of one service.
struct ServiceLimits {
    std::uint32_t connections = 1;    // connections that a leaf accepts from all instances together
    double coldRequestsPerSecond = 0; // request rate that a leaf can handle while it is warming up
    milliseconds warmupTime { 0 };    // from the start of a leaf
    bool operator==(const ServiceLimits&) const = default;
};

/// Size limits and timeouts of requests from callers.
struct CallerLimits {
    std::size_t headerBytes = std::size_t { 16 } << 10U;
    std::size_t bodyBytes = std::size_t { 1 } << 20U;
    milliseconds headerTimeout { 5000 };
    milliseconds idleTimeout { 30000 };
    bool operator==(const CallerLimits&) const = default;
};

/// An organisation whose callers use the system.
struct Customer {
    std::string name;
    std::vector<std::string> keys;         // secrets of its callers; never logged, and not sent to leaves or peers
    double ratePerSecond = 0;              // requests of all instances together; 0: no limit
    double burst = 0;                      // requests allowed on top of the rate
    std::optional<std::uint32_t> priority; // takes precedence over the route's
    bool operator==(const Customer&) const = default;
};

struct ServingConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceLimits, std::less<>> services;
    CallerLimits callerLimits;
    // Absent: requests need no key. Otherwise they need one of these customers, also if there are none, except on
    // public routes.
    std::optional<std::vector<Customer>> customers;
    std::vector<std::string> unknownFields; // names of fields that have no effect, for the log; never a key
};

// ---------------------------------------------------------------------------------------------------------------
// Queries and answers

/// One query over all shards of a service.
struct Query {
    std::string service;
    std::string operation;
    std::string customer;
    milliseconds deadline { 1000 }; // maximum time until the answer, a duration
    std::string body;               // passed to the leaves unchanged
};

/// Why a shard is missing from an answer.
enum class MissingReason : std::uint8_t {
    NoReplica,    // none is announced, or all are draining or taken out of service
    Deadline,     // no answer before the query ended
    Refused,      // the leaf or its owner refused the part, or the leaf answered with an error
    Crashed,      // the leaf's connection ended while the part ran
    WrongVersion, // no leaf answered at the pinned index version
    Blocked,      // the request is blocked because it crashes leaves
    Unreachable,  // no connection to the leaf or its owner
    ZoneOut,      // all replicas are in zones that are taken out of service
};
/// Name used in answers. Thread safe.
std::string_view missingReasonName(MissingReason);

struct MissingShard {
    std::uint32_t shard = 0;
    MissingReason reason = MissingReason::NoReplica;
};

struct Coverage {
    std::uint32_t total = 0;    // shards of the layout
    std::uint32_t answered = 0; // shards whose answer was merged
    std::vector<MissingShard> missing;
    bool isWhole() const { return answered == total && missing.empty(); }
};

struct QueryAnswer {
    std::uint64_t version = 0; // index version of all merged parts
    Coverage coverage;
    std::vector<std::string> parts; // bodies in shard order without the missing shards
};

/// A request with side effects, executed at most once.
struct KeyedRequest {
    std::string key; // "UNIXSECONDS-RANDOM", chosen by the caller when it first sends the request
    std::string service;
    std::string operation;
    std::string customer;
    std::string routing; // routing key; its hash selects the shard
    milliseconds deadline { 1000 };
    std::string body;
};

// ---------------------------------------------------------------------------------------------------------------
// Parts: the subrequest of a query or keyed request that one leaf runs

struct Part {
    std::uint64_t queryId = 0; // unique per entry instance
    std::uint64_t partId = 0;  // unique per entry instance; a hedge or retry gets a new one
    std::string service;
    std::string operation;
    std::string leaf;              // the selected replica
    ShardVersion shard;            // the pinned version and layout
    milliseconds remaining { 0 };  // until the deadline, measured when the message is sent
    std::string requestKey;        // empty for idempotent parts
    std::uint64_t fingerprint = 0; // hash of service, operation and body; identifies a request that crashes leaves
    bool mayQueue = true;          // false: refused at once if no slot is free, because another replica can be used
    std::string body;
};

/// How a part ended. The comments name the usual outcome; `PartResult::outcome` decides.
enum class PartStatus : std::uint8_t {
    Ok,           // ran: the body is the shard's answer
    Refused,      // not run: shed, draining, queue full or no longer owner
    WrongVersion, // not run: the leaf does not hold the pinned version
    Crashed,      // may have run: the connection ended while the part ran
    Deadline,     // may have run: no answer in time
    Failed,       // ran: the leaf answered with an error
    Blocked,      // not run: the request is blocked because it crashes leaves
    Unreachable,  // not run: no connection to the leaf or its owner
};

struct PartResult {
    std::uint64_t partId = 0;
    PartStatus status = PartStatus::Unreachable;
    Outcome outcome = Outcome::NotRun;
    ShardVersion shard;   // version and shard the body was computed on
    bool wasBusy = false; // refused by the owner because `mayQueue` of the part was false and no slot was free
    std::chrono::microseconds leafTime { 0 }; // from dispatch at the owner to the answer
    std::string body;
};

/// 64-bit hash used for rendezvous hashing, fingerprints and checksums of text. The algorithm (XXH64) must not
/// change: all instances compute the same owners, and checksums are stored. Thread safe.
std::uint64_t hash64(std::string_view, std::uint64_t seed = 0);

} // namespace citronplank
