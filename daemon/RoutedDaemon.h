// A daemon that serves configured routes: an entry that sends to leaves, a control member, or both.
//
// The entry takes callers' requests and sends each part of a request to a leaf itself. Control members take the
// configuration, the zones that are out and the announcements of leaves, and spread them.
#pragma once

#include "daemon/ItemBroadcast.h"
#include "daemon/LogBuffer.h"
#include "daemon/Node.h"
#include "daemon/RouteService.h"

namespace citronplank {

/// What operators and leaves ask of a control member. Every method is thread safe; each `done` runs once.
class ControlOperations {
public:
    enum class PutResult : std::uint8_t { Accepted, Invalid, Unknown };

    virtual ~ControlOperations() = default;
    /// Stores a configuration. Accepted once it survives the losses that the deployment tolerates, also if a higher
    /// version was there before. Unknown: it may or may not be stored.
    virtual void putConfiguration(std::string content, std::function<void(PutResult, std::string reason)> done) = 0;
    /// The newest stored configuration; nothing if this member cannot be sure which one that is.
    virtual void readConfiguration(std::function<void(std::optional<StoredDocument>)> done) = 0;
    virtual void setZoneOut(std::string zone, bool out, std::function<void(bool)> done) = 0;
    virtual void announce(Announcement, std::function<void(bool)> done) = 0;
    virtual void depart(std::string leaf, std::function<void(bool)> done) = 0;
};

struct RoutedDaemonSettings {
    Settings node;              // `callerAddress` and `adminAddress` may be empty; see below
    std::string callerAddress;  // empty: no entry
    std::string readyAddress;   // of the entry's readiness
    std::string controlAddress; // empty: no control member
    std::string metricsAddress; // of GET /metrics and GET /dump; empty: not served
    SharedBounds bounds;
    milliseconds graceTime { 6000 };     // from SIGTERM to the end
    milliseconds notReadyTime { 2300 };  // balancers notice within this time that the entry is not ready
    milliseconds directoryWait { 3000 }; // a control member that hears of no complete directory counts its own as one
};

/// Throws Error(BadRequest) with the reason if the content is no valid configuration.
using ConfigurationDecoder = std::function<ServingConfiguration(const std::string& content)>;
/// Answers a request on the control address. Runs on the workers.
using ControlHandler = std::function<void(const HttpRequest&, const Responder&, ControlOperations&)>;

class RoutedDaemon : private Node, private ControlOperations {
public:
    /// Binds all addresses. Throws Error(Internal) when one cannot be had. `protocol` outlives the daemon.
    RoutedDaemon(RoutedDaemonSettings, const RouteProtocol& protocol, ConfigurationDecoder, ControlHandler);
    ~RoutedDaemon() override;

    /// Starts threads and timers. Precondition: called once.
    void start();
    /// The planned stop within the grace time: turns readiness off, serves on while balancers notice, ends kept
    /// connections between requests, finishes what runs. Precondition: called once, not on a worker.
    void stopGracefully();
    /// Takes over what may change while the daemon runs: the seeds. Thread safe.
    void reload(const Settings&);
    /// Text of all counters, and of the state, one "name value" a line. Thread safe.
    std::string metrics() const { return m_counters.text(); }
    std::string dump() const;

private:
    void onMessage(const Envelope&) override;
    void onConfiguration() override;
    void onMembers() override;
    void onDirectory() override;

    void putConfiguration(std::string content, std::function<void(PutResult, std::string reason)> done) override;
    void readConfiguration(std::function<void(std::optional<StoredDocument>)> done) override;
    void setZoneOut(std::string zone, bool out, std::function<void(bool)> done) override;
    void announce(Announcement, std::function<void(bool)> done) override;
    void depart(std::string leaf, std::function<void(bool)> done) override;

    static void refuseNotice(const std::string& leaf, const std::function<void(bool)>& done);
    void submitZone(std::string zone, bool out, std::uint64_t base, TimePoint until, std::function<void(bool)> done);
    void answerRead(std::uint64_t index, TimePoint until, std::function<void(std::optional<StoredDocument>)> done);
    void broadcast(std::vector<DirectoryItem>, std::function<void(bool)> done);
    void onBroadcastTimer();
    void onLeavesTimer();
    void pushLeaves();
    void updateReadiness();
    void logTraffic() const;
    void keepRelayLinks();
    void answerReady(const HttpRequest&, const Responder&);
    void answerMetrics(const HttpRequest&, const Responder&) const;

    RoutedDaemonSettings m_routed;
    const RouteProtocol& m_protocol;
    ConfigurationDecoder m_decode;
    ControlHandler m_controlHandler;
    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_leavesChanged { true };
    std::atomic<std::uint64_t> m_decodedVersion { 0 };
    Guarded<RoutePolicies::PeersByZone> m_relayPeers;
    Guarded<std::map<std::string, std::uint64_t>> m_knownEntries;                // live ones: incarnations
    Guarded<std::vector<std::pair<std::string, std::uint64_t>>> m_directoryAcks; // peer and number, not sent yet
    asio::strand<asio::io_context::executor_type> m_broadcastStrand;
    ItemBroadcast m_broadcast; // on its strand
    std::unique_ptr<RouteService> m_routes;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_readyServer;
    std::unique_ptr<HttpServer> m_controlServer;
    std::unique_ptr<HttpServer> m_metricsServer;
};

} // namespace citronplank
