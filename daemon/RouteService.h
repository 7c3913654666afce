// Shell of the requests on configured routes: sockets to leaves, timers, log lines and counters around RouteExecution.
#pragma once

#include "backend/UpstreamClient.h"
#include "daemon/RouteProtocol.h"
#include "daemon/Traffic.h"
#include "policy/ConcurrencyLimit.h"
#include "policy/CrashGuard.h"
#include "query/RelayedGather.h"

#include <atomic>
#include <deque>
#include <random>

namespace citronplank {

/// Sends a message to another instance; false: it was not sent and never will be. Thread safe.
using RelaySender
    = std::function<bool(const std::string& peer, MessageKind, std::string body, std::uint64_t correlation)>;

/// Tells all other instances of a crash.
using CrashTeller = std::function<void(const CrashNotice&)>;

/// Position of a relay's number within the correlation of its messages; the request's number is above it.
constexpr unsigned relayBits = 8;
constexpr std::uint64_t relayMask = (1ULL << relayBits) - 1;

/// Every public method is thread safe; all state is changed on one strand.
class RouteService {
public:
    /// Precondition: `io`, `protocol`, `counters` and `traffic` outlive this object.
    RouteService(asio::io_context& io, const std::string& instance, const std::string& zone,
        const RouteProtocol& protocol, const SharedBounds& bounds, RelaySender sender, CrashTeller tellCrash,
        Counters& counters, TrafficCounters& traffic);
    ~RouteService();
    RouteService(const RouteService&) = delete;
    RouteService& operator=(const RouteService&) = delete;

    /// Serves one request; the responder is answered once, later.
    void onRequest(HttpRequest, Responder);

    void setTable(std::shared_ptr<const RouteTable>);
    void setZonesOut(std::set<std::string, std::less<>> zones);
    void setLeaves(std::vector<Announcement> leaves);
    /// Names of all entries, this one included, and of the others by zone.
    void setSenders(std::vector<std::string> names, RoutePolicies::PeersByZone peers);
    /// A relay message of another instance arrived. Throws Error(BadRequest) if it is malformed.
    void onRelayMessage(const std::string& sender, MessageKind, std::string_view body, std::uint64_t correlation);

    /// Another instance saw a request crash a leaf.
    void onCrashNotice(std::string peer, CrashNotice);
    /// Tells an entry that was not known before which crashes this one has seen.
    void tellCrashes(std::string peer);

    /// Whether most of the configured routes have the leaves that an answer needs, as of the last few milliseconds.
    bool canServe() const { return m_canServe; }
    /// Requests that are not answered yet.
    std::size_t runningCount() const { return m_runningCount; }
    /// Answers what still runs with an error; for the end of a planned stop.
    void giveUp();
    /// Closes the connections to leaves. Nothing is answered afterwards.
    void stop();

private:
    using Strand = UpstreamClient::Strand;
    struct Running {
        CallerInfo call;
        HttpRequest request;
        std::uint64_t fingerprint = 0; // see fingerprintOf
        Responder responder;
        TimePoint arrivedAt;
        std::unique_ptr<RouteExecution> execution;
        LeafConnection::Timer timer;
        ConcurrencyLimit* limit = nullptr; // a place in it is taken
        std::optional<TimePoint> timerAt;  // while the timer runs
    };
    /// A request that waits for a place.
    struct Waiting {
        CallerInfo call;
        HttpRequest request;
        Responder responder;
        TimePoint arrivedAt;
        TimePoint until;
        std::shared_ptr<const Route> route;
    };
    /// The requests on routes that gather the same shards.
    struct Gathers {
        ConcurrencyLimit limit;
        std::deque<Waiting> waiting;
    };
    /// A relay that this instance runs for another one.
    struct Relayed {
        std::string entry;
        std::uint64_t correlation = 0;
        CallerInfo call;
        HttpRequest request;
        std::uint64_t fingerprint = 0;
        std::unique_ptr<RelayedGather> gather;
        LeafConnection::Timer timer;
    };
    using Id = std::uint64_t;

    void checkRoutes();
    milliseconds startRetryAfter() const;
    void begin(HttpRequest, Responder, TimePoint arrivedAt);
    void run(CallerInfo, HttpRequest, Responder, TimePoint arrivedAt, std::shared_ptr<const Route>, ConcurrencyLimit*);
    void admit(Waiting, Gathers&);
    void refuseOverload(const Waiting&, const Gathers&);
    void admitWaiting();
    void release(ConcurrencyLimit*, ObservedLoad);
    static ObservedLoad observedLoad(const Running&, const RouteOutcome&, TimePoint now);
    void refuse(const CallerInfo&, const HttpRequest&, const Responder&, RouteOutcome);
    void perform(Id, RouteActions);
    void sendRelay(Id, const RelaySend&);
    void beginRelayed(const std::string& entry, std::uint64_t correlation, RelayedCall);
    void cancelRelayed(const std::string& entry, std::uint64_t correlation);
    void performRelayed(Id, RelayActions);
    void sendToLeaf(const RouteSend&, const HttpRequest&, const UpstreamClient::Callback&);
    void sendPart(Id, const RouteSend&);
    static std::uint64_t fingerprintOf(const HttpRequest&);
    void noteEnd(std::uint64_t fingerprint, const CallerInfo&, const Announcement& leaf, AttemptResult::Status);
    void noteUnreached(const std::string& leaf);
    void checkLost(const Announcement& leaf);
    void cancelAttempt(const std::string& leaf, std::uint64_t attempt);
    void finish(Id, RouteOutcome);
    void onReply(Id, std::uint64_t attempt, const Announcement& leaf, LeafReply);
    void onTimer(Id);
    void onCallerDisconnected(Id);
    void logAnswer(const Running&, const RouteOutcome&, TimePoint now);
    static std::string decimal(double value);
    void logAttempt(const Running&, const Announcement& leaf, const AttemptResult&);

    Strand m_strand;
    const RouteProtocol& m_protocol;
    Counters& m_counters;
    TrafficCounters& m_traffic;
    std::string m_zone;
    RoutePolicies m_policies;
    std::shared_ptr<UpstreamClient> m_upstream;
    std::mt19937 m_random { std::random_device {}() };
    RelaySender m_sender;
    CrashTeller m_tellCrash;
    CrashGuard m_crashGuard;
    std::set<std::string> m_silentZones;                    // as logged last
    std::unordered_map<std::string, TimePoint> m_checkedAt; // leaves that lost a request lately
    std::unordered_map<Id, std::unique_ptr<Running>> m_running;
    std::map<std::string, Gathers> m_gathers; // by first shard
    LeafConnection::Timer m_waitTimer;
    std::unordered_map<Id, std::unique_ptr<Relayed>> m_relayed;
    std::map<std::pair<std::string, std::uint64_t>, Id> m_relayedIds; // by entry and correlation
    std::atomic<std::size_t> m_runningCount { 0 };
    TimePoint m_startedAt = Clock::now();
    Id m_lastId;
    std::atomic<bool> m_canServe { false };
    LeafConnection::Timer m_checkTimer;
};

} // namespace citronplank
