// Shell of the requests on configured routes: sockets to leaves, timers, log lines and counters around RouteExecution.
#pragma once

#include "backend/UpstreamClient.h"
#include "daemon/Counters.h"
#include "daemon/RouteProtocol.h"

#include <atomic>

namespace citronplank {

/// Every public method is thread safe; all state is changed on one strand.
class RouteService {
public:
    /// Precondition: `io`, `protocol` and `counters` outlive this object.
    RouteService(asio::io_context& io, const std::string& instance, const std::string& zone,
        const RouteProtocol& protocol, const SharedBounds& bounds, Counters& counters);
    ~RouteService();
    RouteService(const RouteService&) = delete;
    RouteService& operator=(const RouteService&) = delete;

    /// Serves one request; the responder is answered once, later.
    void onRequest(HttpRequest, Responder);

    void setTable(std::shared_ptr<const RouteTable>);
    void setZonesOut(std::set<std::string, std::less<>> zones);
    void setLeaves(std::vector<Announcement> leaves);
    void setSenders(std::vector<std::string> names);

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
        RoutedCall call;
        HttpRequest request;
        Responder responder;
        TimePoint arrivedAt;
        std::unique_ptr<RouteExecution> execution;
        LeafConnection::Timer timer;
    };
    using Id = std::uint64_t;

    void checkRoutes();
    void begin(HttpRequest, Responder, TimePoint arrivedAt);
    void refuse(const RoutedCall&, const HttpRequest&, const Responder&, RouteOutcome);
    void perform(Id, RouteActions);
    void sendPart(Id, const RouteSend&);
    void cancelAttempt(Id, std::uint64_t attempt);
    void finish(Id, RouteOutcome);
    void onReply(Id, std::uint64_t attempt, const Announcement& leaf, LeafReply);
    void onTimer(Id);
    void onCallerGone(Id);
    void logAnswer(const Running&, const RouteOutcome&, TimePoint now);
    void logAttempt(const Running&, const Announcement& leaf, const AttemptResult&);

    Strand m_strand;
    const RouteProtocol& m_protocol;
    Counters& m_counters;
    RoutePolicies m_policies;
    std::shared_ptr<UpstreamClient> m_upstream;
    std::unordered_map<Id, std::unique_ptr<Running>> m_running;
    std::atomic<std::size_t> m_runningCount { 0 };
    Id m_lastId = 0;
    std::atomic<bool> m_canServe { false };
    LeafConnection::Timer m_checkTimer;
};

} // namespace citronplank
