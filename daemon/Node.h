// What every daemon is made of, whatever it serves: links, gossip, the control role and the configuration in force.
#pragma once

#include "daemon/ConfigurationTable.h"
#include "daemon/ControlClient.h"
#include "daemon/ControlService.h"
#include "daemon/MembershipService.h"
#include "daemon/PartMessages.h"
#include "daemon/Settings.h"
#include "daemon/Traffic.h"
#include "transport/Links.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <atomic>
#include <thread>

namespace citronplank {

/// Base of the daemons. The protected methods run on the workers unless they say otherwise. A derived class calls
/// `startNode` once it is complete and `shutDownNode` first in its destructor, because the hooks are virtual.
class Node {
public:
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

protected:
    explicit Node(const Settings&);
    virtual ~Node();

    /// Starts links, gossip, the control role, timers and workers. Precondition: called once.
    void startNode();
    /// Ends timers and threads; no hook starts afterwards. May be called twice; not on a worker.
    void shutDownNode();

    // Hooks
    virtual void onMessage(const Envelope&); // of a kind that the node does not handle; throws Error(BadRequest)
    virtual void onConfiguration() { }       // another version of the published state is in force
    virtual void onItem(const GossipItem&);  // neither a leaf nor a freshness notice
    virtual void onMembers() { }
    virtual void onDirectory() { }
    virtual void onLinkDown(const std::string& /*address*/, Channel) { }
    virtual void onViews(const std::vector<ZoneView>&) { } // on the control thread
    virtual void onControlTick() { }                       // on the control thread, every 20 ms

    // Messages. Thread safe.
    std::string addressOf(const std::string& name) const;
    bool sendTo(const std::string& name, MessageKind, std::string body, std::uint64_t correlation = 0,
        Channel channel = Channel::Control);
    /// Sends a notice to the peers without waiting for gossip, which carries it as well.
    void tellPeers(MessageKind kind, const std::string& body);
    /// Runs `task` on the workers every `interval`, never twice at once.
    void every(milliseconds interval, std::function<void()> task);

    /// Asks for what this daemon lacks: a peer of the own zone and some control members.
    void catchUp();
    bool hasConfiguration() const { return m_configuration.current()->published.cluster != 0; }

    Settings m_settings;
    std::uint64_t m_incarnation;
    TimePoint m_startedAt = Clock::now();
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_workers;
    std::atomic<bool> m_timersEnded { false };

    Counters m_counters;
    TrafficCounters m_traffic { m_counters };
    ConfigurationTable m_configuration;
    std::unique_ptr<ControlClient> m_controlClient;
    std::unique_ptr<Links> m_links;
    std::unique_ptr<MembershipService> m_membership;
    std::unique_ptr<ControlService> m_control;
    std::atomic<bool> m_hasDirectory { false };
    std::atomic<bool> m_hasMembers { false }; // a peer told whom it knows; before, notices of leaves would reach few

private:
    void onEnvelope(const Envelope&);
    void dispatch(const Envelope&);
    void onControlMessage(const Envelope&);
    bool offerProposal(const std::string& member, const Propose&);
    std::unique_ptr<ControlService> makeControl();
    void onPublished(const PublishedDifference&);
    void onFreshness(const Freshness&);
    void onFreshnessNotice(std::string_view bytes);
    void onMembersChanged();
    void introduce();
    void fetchConfiguration(const std::string& name);
    void fetchDirectory(const std::string& name, bool wantsDirectory);
    bool sendCounted(
        const std::string& name, const std::string& address, Envelope envelope, Channel channel = Channel::Control);
    std::vector<std::string> someControlMembers();
    void onConfigurationFetch(const Envelope&);
    void onDirectoryFetch(const Envelope&);
    void onDirectoryAnswer(const Envelope&);

    std::uint64_t m_noticeCount = 0;                              // on the control thread
    Guarded<std::set<std::string>> m_knownControl;                // names ever seen, lost ones included
    Guarded<std::map<std::string, std::uint64_t>> m_introducedTo; // control members that know this one: incarnations
};

/// Milliseconds since 1970. Thread safe.
std::uint64_t wallTimeMs();

} // namespace citronplank
