// The services of a daemon and their connections. Private to daemon/Daemon*.cpp.
#pragma once

#include "backend/LeafClient.h"
#include "daemon/AdminServer.h"
#include "daemon/Daemon.h"
#include "daemon/EntryService.h"
#include "daemon/LeaseService.h"
#include "daemon/Node.h"
#include "daemon/PartRouter.h"
#include "daemon/PartService.h"
#include "daemon/RulesService.h"
#include "daemon/ViewService.h"
#include "transport/HttpServer.h"

namespace citronplank {

constexpr milliseconds gateInterval { 10 };   // between checks of the gates for expired parts and ended leases
constexpr std::uint32_t spareConnections = 2; // to a leaf, beyond one for each slot
constexpr milliseconds leaseInterval { 50 };  // between ticks of the zone lease and updates of the gates
constexpr milliseconds readinessInterval { 200 };
/// After this time a daemon is ready even without an answer from a peer. It serves only leaves of its own zone until
/// its configuration is fresh.
constexpr seconds isolationTimeout { 5 };
constexpr milliseconds leavePropagationTime { 1000 }; // for gossip to spread that this instance leaves
constexpr seconds finishTimeout { 12 };               // maximum deadline of 10 s and a margin

class Daemon::Impl : private Node {
public:
    explicit Impl(const Settings&);
    ~Impl() override;

    void start();
    void stopGracefully();
    std::string status() const;
    std::string dump() const;
    std::string metrics() const;

private:
    // Messages (DaemonMessages.cpp)
    void onMessage(const Envelope&) override;
    void onZoneMessage(const Envelope&);
    void sendZoneMessage(const std::string& member, const ZoneMessage&);

    // Configuration and readiness (DaemonConfiguration.cpp)
    void onConfiguration(const std::string& source) override;
    void onItem(const GossipItem&) override;
    void onSuspicion(const SuspicionEvent&);
    void applySuspicion(std::string_view bytes);
    void updateReadiness();

    // Leaves (DaemonLeaves.cpp)
    void syncGates();
    void updateConnections(const Announcement&, std::uint32_t limit);
    std::string ownerOf(std::string_view zone, std::string_view leaf) const;
    HttpResponse onAnnouncement(const std::string& body);

    // Hooks of Node and callbacks of the services (Daemon.cpp)
    void onMembers() override;
    void onLinkDown(const std::string& address, Channel) override;
    void onViews(const std::vector<ZoneView>&) override;
    void onControlTick() override;
    PartRouterCallbacks routerCallbacks();
    EntryCallbacks entryCallbacks();
    AdminHandlers adminHandlers();
    HttpResponse ready() const;
    void waitForIdle(TimePoint deadline);

    std::unique_ptr<LeafClient> m_leafClient;
    std::unique_ptr<PartService> m_parts;
    std::unique_ptr<PartRouter> m_router;
    std::unique_ptr<LeaseService> m_lease;
    std::unique_ptr<EntryService> m_entry;
    std::unique_ptr<ViewService> m_views;
    std::unique_ptr<RulesService> m_rules;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<AdminServer> m_adminServer;

    std::set<std::string> m_leavesWithGate;    // leaves with a gate on this daemon; used by syncGates only
    std::map<std::string, bool> m_ownedLeaves; // whether parts may be sent to them; used by syncGates only
};

} // namespace citronplank
