// The parts of a daemon and how they are joined. Private to daemon/Daemon*.cpp.
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

constexpr milliseconds gateTick { 10 };       // queue expiry and lease checks of the gates
constexpr std::uint32_t spareConnections = 2; // to a leaf, beyond one for each slot
constexpr milliseconds leaseTick { 50 };      // requests of the zone lease, allowances of the gates
constexpr milliseconds readinessTick { 200 };
constexpr seconds aloneLimit { 5 };          // without an answer of a peer the daemon becomes ready as stale
constexpr milliseconds leaveSpread { 1000 }; // for gossip to spread that this instance leaves
constexpr seconds finishLimit { 12 };        // greatest deadline of 10 s and a margin

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
    void onConfiguration() override;
    void onItem(const GossipItem&) override;
    void onSuspicion(const SuspicionEvent&);
    void adoptSuspicion(std::string_view bytes);
    void updateReadiness();

    // Leaves (DaemonLeaves.cpp)
    void syncGates();
    void keepConnections(const Announcement&, std::uint32_t limit);
    std::string ownerOf(std::string_view zone, std::string_view leaf) const;
    HttpResponse onAnnouncement(const std::string& body);

    // Construction (Daemon.cpp)
    void onMembers() override;
    void onLinkDown(const std::string& address, Channel) override;
    void onViews(const std::vector<ZoneView>&) override;
    void onControlTick() override;
    PartRouterLinks routerLinks();
    EntryLinks entryLinks();
    AdminHandlers adminHandlers();
    HttpResponse ready() const;
    void waitForIdle(TimePoint until);

    std::unique_ptr<LeafClient> m_leafClient;
    std::unique_ptr<PartService> m_parts;
    std::unique_ptr<PartRouter> m_router;
    std::unique_ptr<LeaseService> m_lease;
    std::unique_ptr<EntryService> m_entry;
    std::unique_ptr<ViewService> m_views;
    std::unique_ptr<RulesService> m_rules;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<AdminServer> m_adminServer;

    std::set<std::string> m_gatedLeaves;       // leaves with a gate here; used by syncGates only
    std::map<std::string, bool> m_ownedLeaves; // whether parts may be sent to them; used by syncGates only
};

} // namespace citronplank
