// A daemon that serves configured routes: an entry instance, a control member, or both.
//
// The entry instance accepts requests of callers and sends each part of a request directly to a leaf. Control members
// accept the configuration, the zones taken out of service and the announcements of leaves, and distribute them.
#pragma once

#include "daemon/HttpBounds.h"
#include "daemon/ItemBroadcast.h"
#include "daemon/LogBuffer.h"
#include "daemon/Node.h"
#include "daemon/QuotaService.h"
#include "daemon/RouteService.h"
#include "daemon/ZoneOrders.h"

namespace citronplank {

/// Operations that operators and leaves request from a control member. Every method is thread safe; each `done` runs
/// once.
class ControlOperations {
public:
    enum class PutResult : std::uint8_t { Accepted, Invalid, Unknown };

    virtual ~ControlOperations() = default;
    /// Stores a configuration. Accepted: it is stored and survives the failures that the deployment tolerates, or the
    /// same or a higher version was stored before. Invalid: it cannot be decoded, see `reason`. Unknown: it may or may
    /// not be stored.
    virtual void putConfiguration(std::string content, std::function<void(PutResult, std::string reason)> done) = 0;
    /// Passes the newest stored configuration to `done`, with version 0 if none was ever stored, or nothing if this
    /// member cannot confirm which one is the newest.
    virtual void readConfiguration(std::function<void(std::optional<StoredDocument>)> done) = 0;
    /// Takes a zone out of service, or puts it back. `done` gets true if the change is in force, and false if it is
    /// refused or not confirmed in time; see ZoneOrders.
    virtual void setZoneOut(ZoneOrder, std::function<void(bool)> done) = 0;
    /// Handle the announcement of a leaf, or the notice of one that leaves. `done` gets whether the peers have
    /// confirmed it; see MembershipService.
    virtual void announce(Announcement, std::function<void(bool)> done) = 0;
    virtual void depart(std::string leaf, std::function<void(bool)> done) = 0;
};

struct RoutedDaemonSettings {
    Settings node;              // `callerAddress` and `adminAddress` may be empty; see below
    std::string callerAddress;  // empty: no entry instance
    std::string readyAddress;   // for polling the readiness of the entry instance
    std::string controlAddress; // empty: no control member
    std::string metricsAddress; // for GET /metrics and GET /dump; empty: not served
    SharedBounds bounds;
    MachineLimits machine;
    QuotaBounds quota;                              // of customers' rate limits
    milliseconds graceTime { 6000 };                // from SIGTERM to the end of the process
    milliseconds readinessPropagationTime { 2300 }; // until load balancers have noticed that it is not ready
    milliseconds directoryWait { 3000 };            // from the start; then an incomplete directory counts as complete
};

/// Throws Error(BadRequest) with the reason if the content is not a valid configuration.
using ConfigurationDecoder = std::function<ServingConfiguration(const std::string& content)>;
/// Answers a request received on the control address. Runs on the worker threads.
using ControlHandler = std::function<void(const HttpRequest&, const Responder&, ControlOperations&)>;

class RoutedDaemon : private Node, private ControlOperations {
public:
    /// Binds all addresses. Throws Error(Internal) if one cannot be bound. Precondition: `protocol` outlives the
    /// daemon.
    RoutedDaemon(RoutedDaemonSettings, const RouteProtocol& protocol, ConfigurationDecoder, ControlHandler);
    ~RoutedDaemon() override;

    /// Starts threads and timers. Precondition: called once.
    void start();
    /// Performs the planned stop within the grace time: reports not ready, keeps serving until load balancers have
    /// noticed, closes keep-alive connections between requests and finishes running requests. Precondition: called
    /// once, not on a worker.
    void stopGracefully();
    /// Applies the settings that can change at run time: the seeds. Thread safe.
    void reload(const Settings&);
    /// All counters in the format of Counters::text. Thread safe.
    std::string metrics() const { return m_counters.text() + (m_routes ? m_routes->customerMetrics() : std::string()); }
    /// The state as text with one "name value" per line. Thread safe.
    std::string dump() const;

private:
    void onMessage(const Envelope&) override;
    void onConfiguration(const std::string& source) override;
    void onLeadershipConfirmed(std::uint64_t term) override;
    void onMembers() override;
    void onLinkDown(const std::string& address, Channel) override;
    void onDirectory() override;
    void onDirectoryAnswered() override;

    void putConfiguration(std::string content, std::function<void(PutResult, std::string reason)> done) override;
    void readConfiguration(std::function<void(std::optional<StoredDocument>)> done) override;
    void setZoneOut(ZoneOrder, std::function<void(bool)> done) override;
    void announce(Announcement, std::function<void(bool)> done) override;
    void depart(std::string leaf, std::function<void(bool)> done) override;

    /// A broadcast of a control member in another zone that this instance forwards: sender, its incarnation, number.
    using ForwardedChange = std::tuple<std::string, std::uint64_t, std::uint64_t>;
    struct ForwardState {
        TimePoint startedAt;
        bool isConfirmed = false; // the entry instances of this zone have the change
    };
    void logConfiguration(const ServingConfiguration&, std::string_view text, const std::string& source);
    static void refuseNotice(const std::string& leaf, const std::function<void(bool)>& done);
    void handleControlRequest(const HttpRequest&, const Responder&);
    void answerRead(std::uint64_t index, TimePoint deadline, std::function<void(std::optional<StoredDocument>)> done);
    void broadcast(std::vector<DirectoryItem>, std::function<void(bool)> done);
    void onBroadcastTimer();
    void onDirectoryForward(const Envelope&);
    void forwardChange(const ForwardedChange&, const std::vector<DirectoryItem>&);
    std::vector<std::string> ownZoneEntries() const;
    QuotaLeadership quotaLeadership();
    void onQuotaReport(const Envelope&);
    void onLeavesTimer();
    void updateRouteLeaves();
    void updateReadiness();
    void logTraffic() const;
    std::unique_ptr<HttpServer> makeProbeServer(const std::string& address, HttpServer::Handler);
    void keepRelayLinksOpen();
    void answerReady(const HttpRequest&, const Responder&);
    void answerMetrics(const HttpRequest&, const Responder&) const;

    RoutedDaemonSettings m_routedSettings;
    HttpBounds m_httpBounds; // of all servers below
    const RouteProtocol& m_protocol;
    ConfigurationDecoder m_decodeConfiguration;
    ControlHandler m_controlHandler;
    ZoneOrders m_zoneOrders;
    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_leavesChanged { true };
    std::atomic<bool> m_awaitsNews { false };          // after a pause of the process, see PauseDetector
    std::atomic<std::uint64_t> m_decodedVersion { 0 }; // of the configuration that the routes use; 0: none yet
    std::atomic<bool> m_requiredKeys { false };        // whether the configuration in use asks for keys
    std::atomic<std::size_t> m_submittedBytes { 0 };   // of configurations that are not answered yet
    Guarded<std::map<std::string, std::uint64_t>> m_knownEntries; // incarnations of the live entry instances
    /// Acknowledgements that are not sent yet: peer and broadcast number.
    Guarded<std::vector<std::pair<std::string, std::uint64_t>>> m_directoryAcks;
    asio::strand<asio::io_context::executor_type> m_broadcastStrand;
    // The members below are used on m_broadcastStrand only.
    ItemBroadcast m_broadcast;     // of changes that leaves have sent to this instance
    ItemBroadcast m_zoneBroadcast; // of changes that a control member of another zone has sent
    std::set<std::string, std::less<>> m_directoryForwarders; // the peers of m_broadcast that forward changes
    std::map<ForwardedChange, ForwardState> m_forwardedChanges;
    std::optional<LeadershipConfirmation> m_leadership; // the last one of this process
    std::unique_ptr<QuotaService> m_quota;              // null if this is no control member or there are no limits
    std::unique_ptr<RouteService> m_routes;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_readyServer;
    std::unique_ptr<HttpServer> m_controlServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    HttpReports m_httpReports;
};

} // namespace citronplank
