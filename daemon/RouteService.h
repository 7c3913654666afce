// Runs requests on configured routes: connects the state machine RouteExecution to leaf connections, timers, log lines
// and counters.
#pragma once

#include "backend/UpstreamClient.h"
#include "daemon/OrderedMutex.h"
#include "daemon/RouteProtocol.h"
#include "daemon/Traffic.h"
#include "policy/CapacityShares.h"
#include "policy/ConcurrencyLimit.h"
#include "policy/CrashGuard.h"
#include "policy/CustomerQuota.h"
#include "policy/PauseDetector.h"
#include "policy/StopAdmission.h"
#include "query/RelayedGather.h"
#include "transport/Links.h"

#include <atomic>
#include <deque>
#include <random>

namespace citronplank {

/// Sends a message to another instance. `timeToLive` as in Envelope. Returns false if it was not sent and will not be
/// sent later. Thread safe.
using RelaySender = std::function<bool(
    const std::string& peer, MessageKind, std::string body, std::uint64_t correlation, milliseconds timeToLive)>;

/// Sends a crash notice to all other instances.
using CrashNotifier = std::function<void(const CrashNotice&)>;

/// Access to the allotter of customers' rate limits. Thread safe.
struct QuotaLink {
    std::function<std::string()> allotter; // name of the control leader; empty: unknown
    std::function<void(const std::string& allotter, std::string report)> send;
};

/// The correlation of a relay message has the relay's number in its low bits and the request's id above them.
constexpr unsigned relayNumberBits = 8;
constexpr std::uint64_t relayNumberMask = (1ULL << relayNumberBits) - 1;

/// Every public method is thread safe. Methods that change state return at once and do their work on one strand later.
class RouteService {
public:
    /// Precondition: `io`, `protocol`, `counters` and `traffic` outlive this object.
    RouteService(asio::io_context& io, const std::string& instance, const std::string& zone,
        const RouteProtocol& protocol, const SharedBounds& bounds, RelaySender sender, CrashNotifier notifyCrash,
        Counters& counters, TrafficCounters& traffic);
    ~RouteService();
    RouteService(const RouteService&) = delete;
    RouteService& operator=(const RouteService&) = delete;

    /// Serves one request; the responder is answered later, once, unless the caller disconnects first.
    void onRequest(HttpRequest, Responder);

    /// Sets the routes for requests that start from now on. Precondition: the table is not null.
    void setTable(std::shared_ptr<const RouteTable>);
    /// Sets the zones taken out of service, whose leaves get no new requests.
    void setZonesOut(std::set<std::string, std::less<>> zones);
    /// Replaces all known leaves and closes the idle connections to those that are missing from `leaves`.
    void setLeaves(std::vector<Announcement> leaves);
    /// Sets the names of all entry instances, this one included, and of the others by zone.
    void setEntryInstances(std::vector<std::string> names, RoutePolicies::PeersByZone peers);
    /// Returns the peers that relay requests are sent to; see RoutePolicies::relayPeers. Updated every 100 ms.
    std::set<std::string> relayPeers() const;
    /// Lines of the metrics for the customers with the most requests here, and for all others together; see
    /// docs/OPERATIONS.md. Updated every second.
    std::string customerMetrics() const;
    /// Answers with a JSON object that states where a request to this host and target would go now and why. Nothing is
    /// sent and no state or budget changes.
    void explain(std::string host, std::string target, Responder);
    /// Handles a relay message from another instance. Throws Error(BadRequest) if it is malformed.
    void onRelayMessage(const Envelope&);

    /// Cancels the relay requests of an entry instance to which the link was lost, since their answers cannot be sent.
    void onPeerLost(std::string peer);

    /// Enables the rate limits of customers. Precondition: called before the first table is set.
    void setQuota(QuotaBounds, QuotaLink);
    /// Handles the reply of the allotter to a report.
    void onQuotaReply(QuotaReply);

    /// Sets what requests news of leaves, peers and the configuration; it runs after each pause of the process, on the
    /// strand, and must not block. Requests that arrive then wait for `onNews`, see PauseDetector.
    void onPauseEnded(std::function<void()> requestNews);
    /// News that were requested after a pause have arrived, and have been passed on by the setters above.
    void onNews();

    /// Handles a notice from another instance that a request crashed a leaf.
    void onCrashNotice(std::string peer, CrashNotice);
    /// Sends the crashes that this instance observed, or all that it knows, to an entry instance that was unknown or
    /// has restarted.
    void sendKnownCrashes(std::string peer, bool includesReported);

    /// Whether at least half of the recent requests could be answered now; see RoutePolicies::canServe. Updated every
    /// 100 ms.
    bool canServe() const { return m_canServe; }
    /// Number of requests that are not answered yet, including those that wait for a slot of a concurrency limit.
    std::size_t runningCount() const { return m_runningCount; }
    /// Starts a planned stop: refuses the requests that `admission` does not take.
    void beginStop(StopAdmission admission);
    /// Answers all running requests with the error OutcomeUnknown, at the end of a planned stop, and refuses those that
    /// wait for a slot.
    void abortAll();
    /// Closes the connections to leaves. No request is answered afterwards.
    void stop();

private:
    using Strand = UpstreamClient::Strand;
    /// The customer of a request, as of the configuration that authorized it last.
    struct CustomerIdentity {
        std::shared_ptr<const RouteTable> authorizedBy; // null: no configuration has
        bool isKeyTaken = false;                        // from the request, whose headers may now leave this instance
        std::string key;                                // empty: none
        std::string name;                               // empty: no customer
        std::optional<std::uint32_t> priority;          // takes precedence over the route's
    };
    struct RunningRequest {
        CallerInfo caller;
        CustomerIdentity customer;
        HttpRequest request;
        std::uint64_t fingerprint = 0; // see fingerprintOf
        Responder responder;
        TimePoint arrivedAt;
        std::unique_ptr<RouteExecution> execution;
        LeafConnection::Timer timer;
        ConcurrencyLimit* limit = nullptr; // holds one of its slots; null: the route has no limit
        std::optional<TimePoint> timerAt;  // expiry of the timer while it runs
    };
    /// A request that waits for a slot of the concurrency limit.
    struct WaitingRequest {
        CallerInfo caller;
        CustomerIdentity customer;
        HttpRequest request;
        Responder responder;
        TimePoint arrivedAt;
        TimePoint waitDeadline;
        std::shared_ptr<const Route> route;
        bool hasToken = false; // of the customer's rate limit
        TimePoint tokenDeadline;
        CapacityClaim claim() const { return { priority(), customer.name, arrivedAt }; }
        std::uint32_t priority() const { return customer.priority.value_or(route->priority); }
    };
    /// A request that waits for news of a peer after a pause.
    struct UnreadRequest {
        HttpRequest request;
        Responder responder;
        TimePoint arrivedAt;
    };
    /// Limit and queue of the requests on all routes with the same first shard, which gather the same shards.
    struct AdmissionQueue {
        ConcurrencyLimit limit;
        std::deque<WaitingRequest> waiting;
    };
    /// A relayed request that this instance runs for an entry instance.
    struct RelayedRequest {
        std::string entry;
        std::uint64_t correlation = 0;
        CallerInfo caller;
        HttpRequest request;
        std::uint64_t fingerprint = 0;
        std::unique_ptr<RelayedGather> gather;
        LeafConnection::Timer timer;
        TimePoint startedAt;
    };
    using Id = std::uint64_t;

    bool checkView();
    void scheduleChecks();
    void checkRoutes();
    void recordTimerDelay();
    void reportSpread();
    milliseconds startRetryAfter() const;
    void handleRequest(HttpRequest, Responder, TimePoint arrivedAt);
    static TimePoint deadlineOf(const Route&, const CallerInfo&, TimePoint arrivedAt);
    bool takesWhileStopping(const Route&, const CallerInfo&, TimePoint arrivedAt) const;
    void refuseStopping(const CallerInfo&, const HttpRequest&, const Responder&);
    bool authorize(CustomerIdentity&, HttpRequest&, const Route&);
    static std::string_view keyCheckOf(const CustomerIdentity&, const Route&);
    void refuseUnauthorized(const CallerInfo&, const HttpRequest&, const Responder&);
    void abortUnauthorized(Id, const RouteActions&);
    void admitWithinLimit(WaitingRequest);
    void rejectOverLimit(const WaitingRequest&);
    void resumeWaiting(const std::string& customer, std::uint32_t refusals);
    void checkQuota();
    void updateCustomerMetrics();
    void admitToRoute(WaitingRequest);
    void enqueue(WaitingRequest, AdmissionQueue&);
    void orderWaiting(AdmissionQueue&);
    void startQueued(WaitingRequest, AdmissionQueue&);
    void startRequest(WaitingRequest, ConcurrencyLimit*);
    void admit(WaitingRequest, AdmissionQueue&);
    void refuseOverload(const WaitingRequest&, const AdmissionQueue&);
    void admitWaiting();
    void release(ConcurrencyLimit*, ObservedLoad);
    static ObservedLoad observedLoad(const RunningRequest&, const RouteOutcome&, TimePoint now);
    void refuse(const CallerInfo&, const HttpRequest&, const Responder&, RouteOutcome);
    void perform(Id, RouteActions);
    void sendRelay(Id, const RelaySend&);
    void cancelRelay(Id, const CallerInfo&, const std::string& peer, std::uint32_t relay);
    void beginRelayed(const Envelope&, RelayedCall);
    void cancelRelayed(const std::string& entry, std::uint64_t correlation);
    void performRelayed(Id, RelayActions);
    void logBatch(const RelayedRequest&, const RelayAnswer&);
    void sendToLeaf(const RouteSend&, const HttpRequest&, const CallerInfo&, const UpstreamClient::Callback&);
    void recordNotice(const Announcement& leaf, const LeafNotice&, std::string_view source);
    void sendPart(Id, const RouteSend&);
    std::uint64_t fingerprintOf(const HttpRequest&) const;
    void recordAttemptEnd(
        std::uint64_t fingerprint, const CallerInfo&, const Announcement& leaf, AttemptResult::Status);
    void onLeafUnreachable(const std::string& leaf);
    void probeAfterLoss(const Announcement& leaf);
    void cancelAttempt(const std::string& leaf, std::uint64_t attempt);
    void performCancels(Id, const RunningRequest&, const RouteActions&);
    void finish(Id, RouteActions);
    void onReply(Id, std::uint64_t attempt, const Announcement& leaf, LeafReply);
    void onTimer(Id);
    RunningRequest* findConnected(Id);
    void onCallerDisconnected(Id);
    void logAnswer(const RunningRequest&, const RouteOutcome&, TimePoint now);
    static double inMilliseconds(Duration);
    static std::string formatDecimal(double value);
    static std::string joinNames(const std::vector<std::string>&);
    void logAttempt(const RunningRequest&, const Announcement& leaf, const AttemptResult&);

    Strand m_strand;
    const RouteProtocol& m_protocol;
    Counters& m_counters;
    TrafficCounters& m_traffic;
    std::string m_instance;
    std::string m_zone;
    RoutePolicies m_policies;
    std::shared_ptr<UpstreamClient> m_upstream;
    std::mt19937 m_random { std::random_device {}() };
    RelaySender m_sender;
    CrashNotifier m_notifyCrash;
    CrashGuard m_crashGuard;
    std::optional<StopAdmission> m_stopAdmission; // during a planned stop
    bool m_relayPeersChanged = true;              // the inputs of m_relayPeers have changed
    mutable Guarded<std::set<std::string>> m_relayPeers;
    std::set<std::string> m_unresponsiveZones;             // as last logged
    std::unordered_map<std::string, TimePoint> m_probedAt; // last probe of leaves that recently lost a request
    std::unordered_map<Id, std::unique_ptr<RunningRequest>> m_running;
    std::map<std::string, AdmissionQueue> m_admissionQueues; // by the first gathered shard
    std::optional<CustomerQuota> m_quota;                    // absent: customers have no rate limits
    QuotaLink m_quotaLink;
    std::unordered_map<std::string, std::uint64_t> m_capacityRejections; // by limited customer
    TimePoint m_metricsAt;
    mutable Guarded<std::string> m_customerMetrics;
    std::unordered_map<std::string, std::deque<WaitingRequest>> m_waitingForToken; // by customer
    CapacityShares m_capacityShares;
    TimePoint m_lastBatchLogAt;
    SpreadCounters m_spreadReported; // as last counted
    SpreadCounters m_spreadLogged;   // as last logged
    TimePoint m_spreadLoggedAt;
    LeafConnection::Timer m_waitTimer; // expires at the next wait deadline of a queued request
    std::unordered_map<Id, std::unique_ptr<RelayedRequest>> m_relayed;
    std::map<std::pair<std::string, std::uint64_t>, Id> m_relayedIds; // by entry instance and correlation
    std::atomic<std::size_t> m_runningCount { 0 };
    TimePoint m_startedAt = Clock::now();
    PauseDetector m_pauses { m_startedAt };
    std::function<void()> m_requestNews;
    std::vector<UnreadRequest> m_waitingForView;
    Id m_lastId; // of the running and the relayed requests, which share one sequence of ids
    std::atomic<bool> m_canServe { false };
    LeafConnection::Timer m_checkTimer;
    LeafConnection::Timer m_quotaTimer;
};

} // namespace citronplank
