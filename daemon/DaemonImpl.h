// The parts of a daemon and how they are joined. Private to daemon/Daemon*.cpp.
#pragma once

#include "backend/LeafClient.h"
#include "daemon/AdminServer.h"
#include "daemon/ConfigurationTable.h"
#include "daemon/ControlClient.h"
#include "daemon/ControlService.h"
#include "daemon/Daemon.h"
#include "daemon/EntryService.h"
#include "daemon/LeaseService.h"
#include "daemon/MembershipService.h"
#include "daemon/PartMessages.h"
#include "daemon/PartRouter.h"
#include "daemon/PartService.h"
#include "daemon/RulesService.h"
#include "daemon/ViewService.h"
#include "transport/HttpServer.h"
#include "transport/Links.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <atomic>
#include <thread>

namespace citronplank {

constexpr milliseconds gateTick { 10 };       // queue expiry and lease checks of the gates
constexpr std::uint32_t spareConnections = 2; // to a leaf, beyond one for each slot
constexpr milliseconds leaseTick { 50 };      // requests of the zone lease, allowances of the gates
constexpr milliseconds catchUpTick { 200 };   // fetches of configuration and directory
constexpr seconds aloneLimit { 5 };           // without an answer of a peer the daemon becomes ready as stale
constexpr milliseconds leaveSpread { 1000 };  // for gossip to spread that this instance leaves
constexpr seconds finishLimit { 12 };         // greatest deadline of 10 s and a margin

class Daemon::Impl {
public:
    explicit Impl(const Settings&);
    ~Impl();

    void start();
    void stopGracefully();
    std::string status() const;
    std::string dump() const;
    std::string metrics() const;

private:
    // Messages (DaemonMessages.cpp)
    void onEnvelope(const Envelope&);
    void dispatch(const Envelope&);
    void onControlMessage(const Envelope&);
    void onZoneMessage(const Envelope&);
    std::string addressOf(const std::string& name) const;
    bool sendTo(const std::string& name, MessageKind, std::string body);
    bool offerProposal(const std::string& member, const Propose&);
    void sendZoneMessage(const std::string& member, const ZoneMessage&);

    // Configuration and readiness (DaemonConfiguration.cpp)
    void onPublished(const PublishedDifference&);
    void onConfigurationChanged();
    void onFreshness(const Freshness&);
    void onFreshnessNotice(std::string_view bytes);
    void onItem(const GossipItem&);
    void onSuspicion(const SuspicionEvent&);
    void adoptSuspicion(std::string_view bytes);
    void tellPeers(MessageKind, const std::string& body);
    void catchUp();
    void updateReadiness();
    void fetchFrom(const Instance&, MessageKind);
    void onConfigurationFetch(const Envelope&);
    void onConfigurationAnswer(const Envelope&);
    void onDirectoryFetch(const Envelope&);
    void onDirectoryAnswer(const Envelope&);

    // Leaves (DaemonLeaves.cpp)
    void syncGates();
    void keepConnections(const Announcement&, std::uint32_t limit);
    void every(milliseconds interval, std::function<void()> task);
    std::string ownerOf(std::string_view zone, std::string_view leaf) const;
    HttpAnswer onAnnouncement(const std::string& body);

    // Construction (Daemon.cpp)
    std::unique_ptr<ControlService> makeControl();
    MembershipHandlers membershipHandlers();
    PartRouterLinks routerLinks();
    EntryLinks entryLinks();
    AdminHandlers adminHandlers();
    HttpAnswer ready() const;
    void waitForIdle(TimePoint until);

    Settings m_settings;
    std::uint64_t m_incarnation;
    TimePoint m_startedAt = Clock::now();
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_workers;
    std::atomic<bool> m_timersEnded { false };

    ConfigurationTable m_configuration;
    std::unique_ptr<ControlClient> m_controlClient;
    std::unique_ptr<Links> m_links;
    std::unique_ptr<MembershipService> m_membership;
    std::unique_ptr<LeafClient> m_leafClient;
    std::unique_ptr<PartService> m_parts;
    std::unique_ptr<PartRouter> m_router;
    std::unique_ptr<LeaseService> m_lease;
    std::unique_ptr<EntryService> m_entry;
    std::unique_ptr<ControlService> m_control;
    std::unique_ptr<ViewService> m_views;
    std::unique_ptr<RulesService> m_rules;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<AdminServer> m_adminServer;

    std::set<std::string> m_gatedLeaves;       // leaves with a gate here; used by syncGates only
    std::map<std::string, bool> m_ownedLeaves; // whether parts may be sent to them; used by syncGates only
    std::atomic<bool> m_hasDirectory { false };
    std::atomic<bool> m_heardPeer { false };
};

} // namespace citronplank
