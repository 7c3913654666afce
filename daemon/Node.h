// Common part of all daemons: links, gossip, the control role and the configuration in force.
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

/// Base class of the daemons. The protected methods run on the worker threads unless stated otherwise. Because the
/// hooks are virtual, a derived class calls `startNode` once it is fully constructed and `shutDownNode` first in its
/// destructor.
class Node {
public:
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

protected:
    explicit Node(const Settings&);
    virtual ~Node();

    /// Starts links, gossip, the control role, timers and worker threads. Precondition: called once.
    void startNode();
    /// Stops timers and threads; no hook is called afterwards. May be called twice. Precondition: not called on a
    /// worker.
    void shutDownNode();

    // Hooks
    virtual void onMessage(const Envelope&); // of a kind that Node does not handle; throws Error(BadRequest)
    /// A new version of the published state is in force. `source`: "control_log" or the name of the peer that sent it.
    virtual void onConfiguration(const std::string& source) { static_cast<void>(source); }
    virtual void onItem(const GossipItem&); // a gossip item that is neither a leaf nor a freshness notice
    virtual void onMembers() { }            // the live members have changed
    virtual void onDirectory() { }          // the leaf directory has changed
    virtual void onDirectoryAnswered() { }  // the directory of a peer has been merged into the own one
    virtual void onLinkDown(const std::string& /*address*/, Channel) { } // a channel to a peer was lost
    virtual void onViews(const std::vector<ZoneView>&) { }               // on the control thread
    virtual void onControlTick() { }                                     // on the control thread, every 20 ms
    /// On the control thread: a quorum has confirmed this process as the leader, which has applied all that was
    /// committed before its term.
    virtual void onLeadershipConfirmed(std::uint64_t /*term*/) { }

    // Messages. Thread safe.
    /// Link address of an instance; empty if unknown.
    std::string addressOf(const std::string& name) const;
    /// Sends a message to an instance, which may be this one. Returns false if it was not sent and will not be sent
    /// later.
    bool sendTo(const std::string& name, MessageKind, std::string body, std::uint64_t correlation = 0,
        Channel channel = Channel::Control, milliseconds timeToLive = milliseconds(0));
    /// Sends a message to all live peers, which is faster than gossip; see planFanout.
    void sendToPeers(MessageKind kind, const std::string& body);
    /// Runs `task` on the workers every `interval`, first after one interval; runs of one task do not overlap.
    void runEvery(milliseconds interval, std::function<void()> task);

    /// Requests configuration and directory from some control members.
    void requestNews();
    /// Requests a missing or outdated configuration from a peer of the own zone and some control members, and a missing
    /// directory from one of them.
    void fetchMissingState();
    bool hasConfiguration() const { return m_configuration.current()->published.cluster != 0; }

    Settings m_settings;
    std::uint64_t m_incarnation;
    TimePoint m_startedAt = Clock::now();
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_workers;
    std::atomic<bool> m_isShutDown { false };

    Counters m_counters;
    TrafficCounters m_traffic { m_counters };
    ConfigurationTable m_configuration;
    std::unique_ptr<ControlClient> m_controlClient;
    std::unique_ptr<Links> m_links;
    std::unique_ptr<MembershipService> m_membership;
    std::unique_ptr<ControlService> m_control;
    /// Whether a peer has sent its complete leaf directory, or the own one counts as complete after a timeout.
    std::atomic<bool> m_hasDirectory { false };
    /// Whether a peer has sent its member list. Before that, notices of leaves would reach only a few peers.
    std::atomic<bool> m_hasMemberList { false };

private:
    void onEnvelope(const Envelope&);
    void dispatch(const Envelope&);
    void onControlMessage(const Envelope&);
    bool sendProposal(const std::string& member, const Propose&);
    std::unique_ptr<ControlService> makeControl();
    void onPublished(const PublishedDifference&, const std::string& source);
    void onFreshness(const Freshness&);
    void onFreshnessNotice(std::string_view bytes);
    void onMembersChanged();
    void introduceToControlMembers();
    void fetchConfiguration(const std::string& name);
    void fetchDirectory(const std::string& name, bool wantsDirectory);
    bool sendAndCount(
        const std::string& name, const std::string& address, Envelope envelope, Channel channel = Channel::Control);
    std::vector<std::string> sampleControlMembers();
    void onConfigurationFetch(const Envelope&);
    void onDirectoryFetch(const Envelope&);
    void onDirectoryAnswer(const Envelope&);
    void onForward(const Envelope&);

    std::atomic<std::uint64_t> m_freshnessNotices { 0 };  // sent so far
    std::atomic<bool> m_isVersionMissing { false };       // at the last fetchMissingState
    Guarded<std::set<std::string>> m_knownControlMembers; // names ever seen, including failed ones
    /// Control members that know this instance, with their incarnations.
    Guarded<std::map<std::string, std::uint64_t>> m_introducedIncarnations;
};

/// Milliseconds since 1970. Thread safe.
std::uint64_t wallTimeMs();

} // namespace citronplank
