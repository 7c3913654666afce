#include "daemon/Node.h"

#include "daemon/Handlers.h"
#include "daemon/Logging.h"
#include "daemon/ZoneFanout.h"
#include "transport/Compression.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <random>

namespace citronplank {

namespace {

constexpr milliseconds fetchInterval { 200 }; // between fetches of missing configuration or directory
/// Until a control member answers, an introduction is repeated at this interval, which covers several round trips to a
/// busy instance.
constexpr milliseconds introductionInterval { 200 };
/// For this time after the start introductions also go to control members that gossip does not know to be live, because
/// they may be starting too.
constexpr seconds introductionPeriod { 10 };
constexpr milliseconds freshnessNoticeTimeout { 1500 }; // three missed notices; the leader sends one every 500 ms
constexpr std::size_t controlMembersPerFetch = 3;       // at once, since one or two may have failed
constexpr int missedHeartbeatLimit = 3;                 // heartbeats without an answer before a link reconnects
constexpr std::uint64_t noticesPerGossipItem = 4;       // gossip also spreads one of this many freshness notices
constexpr milliseconds controlClientInterval { 50 };    // between checks for due retries and timeouts of proposals
constexpr milliseconds reopenInterval { 1000 };         // between attempts to reopen failed storage; each logs one line
constexpr std::size_t maxDecodedBytes = std::size_t { 64 } << 20U; // of a decompressed message; far above any in use
constexpr std::string_view freshnessKey = "control/freshness";
/// Idle timeout of links if `Settings::linkHeartbeat` is set. With hundreds of members, heartbeats on unused channels
/// cost more than opening them again.
constexpr milliseconds linkIdleTimeout { 5000 };

std::uint64_t makeIncarnation()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::vector<std::string> namesOf(const std::map<std::string, std::string>& members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const auto& [name, address] : members)
        names.push_back(name);
    return names;
}

} // namespace

std::uint64_t wallTimeMs()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

Node::Node(const Settings& settings)
    : m_settings(settings)
    , m_incarnation(makeIncarnation())
    , m_work(asio::make_work_guard(m_io))
    , m_knownControlMembers(LockRank::Requests)
    , m_introducedIncarnations(LockRank::Requests)
{
    auto names = namesOf(settings.controlMembers);
    m_knownControlMembers.with([&](std::set<std::string>& it) { it.insert(names.begin(), names.end()); });
    m_controlClient = std::make_unique<ControlClient>(
        namesOf(settings.controlMembers),
        [this](const std::string& member, const Propose& proposal) { return sendProposal(member, proposal); },
        m_incarnation);
    LinkSettings links;
    links.listenAddress = settings.linkAddress;
    links.sender = settings.name;
    links.incarnation = m_incarnation;
    links.partChannelIntervals = settings.partChannelIntervals;
    if (settings.linkHeartbeat) {
        links.heartbeatInterval = *settings.linkHeartbeat;
        links.idleTimeout = linkIdleTimeout;
        links.heartbeatTimeout = missedHeartbeatLimit * *settings.linkHeartbeat;
    }
    m_links = std::make_unique<Links>(m_io, links);
    Instance self { settings.name, settings.region, settings.zone, settings.linkAddress, settings.gossipAddress,
        settings.adminAddress, m_incarnation, settings.isControlMember() };
    MembershipHandlers handlers;
    handlers.itemChanged = [this](const GossipItem& item) {
        if (item.key == freshnessKey && !item.removed)
            onFreshnessNotice(item.payload);
        else
            onItem(item);
    };
    handlers.membersChanged = [this] { onMembersChanged(); };
    handlers.directoryChanged = [this] { onDirectory(); };
    m_membership = std::make_unique<MembershipService>(
        m_io, self, settings.seeds, std::move(handlers), settings.announcementTimeout, settings.rejoinInterval);
    m_control = makeControl();
}

Node::~Node() { shutDownNode(); }

std::unique_ptr<ControlService> Node::makeControl()
{
    if (!m_settings.isControlMember())
        return nullptr;
    ControlServiceHandlers handlers;
    handlers.send
        = [this](const std::string& name, std::string bytes) { sendTo(name, MessageKind::Control, std::move(bytes)); };
    handlers.published = [this](const PublishedDifference& difference) {
        onPublished(difference, "control_log");
        if (m_control && m_control->isLeader())
            sendToPeers(MessageKind::ConfigurationAnswer, compressed(encode(difference)));
    };
    handlers.freshness = [this](const Freshness& freshness) { onFreshness(freshness); };
    handlers.views = [this](const std::vector<ZoneView>& views, std::uint64_t) { onViews(views); };
    handlers.tick = [this] { onControlTick(); };
    ControlServiceSettings settings { m_settings.name, namesOf(m_settings.controlMembers), m_settings.dataDir.string(),
        m_settings.openControlMembership, m_settings.bootstrap, m_settings.voterTarget };
    if (m_settings.openControlMembership)
        settings.reopenAfter = reopenInterval;
    return std::make_unique<ControlService>(settings, std::move(handlers));
}

void Node::startNode()
{
    m_links->onReceive([this](const Envelope& envelope) { onEnvelope(envelope); });
    m_links->onLinkState([this](const std::string& address, Channel channel, bool isUp) {
        if (!isUp)
            onLinkDown(address, channel);
        log(LogLevel::Info, "link", "The link to " + address + (isUp ? " is up." : " is down."));
    });
    m_links->start();
    m_membership->start();
    runEvery(controlClientInterval, [this] { m_controlClient->onTimer(Clock::now()); });
    runEvery(fetchInterval, [this] { fetchMissingState(); });
    runEvery(introductionInterval, [this] { introduceToControlMembers(); });
    if (m_control)
        m_control->start();
    for (unsigned i = 0; i < m_settings.workers; ++i)
        m_workers.emplace_back([this] { runHandlers(m_io); });
}

void Node::shutDownNode()
{
    if (m_isShutDown.exchange(true))
        return;
    if (m_control)
        m_control->stop();
    m_links->stop();
    m_membership->stop();
    m_io.stop();
    for (auto& it : m_workers)
        it.join();
}

void Node::runEvery(milliseconds interval, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_io);
    auto step = std::make_shared<std::function<void(const asio::error_code&)>>();
    *step = [this, interval, task = std::move(task), timer, weak = std::weak_ptr(step)](const asio::error_code& ec) {
        auto self = weak.lock();
        if (ec || !self || m_isShutDown)
            return;
        callGuarded("timer", task);
        timer->expires_after(interval);
        timer->async_wait([self](const asio::error_code& it) { (*self)(it); });
    };
    timer->expires_after(interval);
    timer->async_wait([step](const asio::error_code& it) { (*step)(it); });
}

// ---------------------------------------------------------------------------------------------------------------
// Messages

void Node::onEnvelope(const Envelope& envelope)
{
    try {
        dispatch(envelope);
    } catch (const Error& error) {
        log(LogLevel::Warning, "link", "Dropped a message from " + envelope.sender + ": " + error.what() + ".");
    } catch (...) {
        logUnexpectedException("link");
    }
}

void Node::dispatch(const Envelope& envelope)
{
    switch (static_cast<MessageKind>(envelope.kind)) {
    case MessageKind::Control:
        return onControlMessage(envelope);
    case MessageKind::ConfigurationFetch:
        return onConfigurationFetch(envelope);
    case MessageKind::ConfigurationAnswer:
        return onPublished(decodePublishedDifference(decompressed(envelope.body, maxDecodedBytes)), envelope.sender);
    case MessageKind::DirectoryFetch:
        return onDirectoryFetch(envelope);
    case MessageKind::DirectoryAnswer:
        return onDirectoryAnswer(envelope);
    case MessageKind::Freshness:
        return onFreshnessNotice(envelope.body);
    case MessageKind::Forward:
        return onForward(envelope);
    default:
        return onMessage(envelope);
    }
}

void Node::onMessage(const Envelope& envelope)
{
    throw Error(ErrorKind::BadRequest, "unknown message kind " + std::to_string(envelope.kind));
}

void Node::onItem(const GossipItem& /*item*/) { }

void Node::onControlMessage(const Envelope& envelope)
{
    auto message = decodeControlMessage(envelope.body);
    if (const auto* answer = std::get_if<ProposeAnswer>(&message.body))
        m_controlClient->onAnswer(*answer, Clock::now());
    else if (m_control)
        m_control->receive(envelope.sender, std::move(message));
}

/// The addresses of configured control members come from the settings, so that they find each other before gossip does.
/// With open membership a control member's name is its IP address and all instances use the same port.
std::string Node::addressOf(const std::string& name) const
{
    if (auto it = m_settings.controlMembers.find(name); it != m_settings.controlMembers.end())
        return it->second;
    auto instance = m_membership->instanceOf(name);
    auto address = instance ? instance->linkAddress : std::string();
    if (address.empty() && m_settings.openControlMembership)
        address = name + m_settings.linkAddress.substr(m_settings.linkAddress.rfind(':'));
    return address;
}

bool Node::sendTo(const std::string& name, MessageKind kind, std::string body, std::uint64_t correlation,
    Channel channel, milliseconds timeToLive)
{
    Envelope envelope;
    envelope.timeToLive = timeToLive;
    envelope.kind = static_cast<std::uint16_t>(kind);
    envelope.body = std::move(body);
    envelope.correlation = correlation;
    if (name == m_settings.name) {
        envelope.from = m_links->address();
        envelope.sender = name;
        envelope.incarnation = m_incarnation;
        asio::post(m_io, [this, envelope = std::move(envelope)] { onEnvelope(envelope); });
        return true;
    }
    auto address = addressOf(name);
    return !address.empty() && sendAndCount(name, address, std::move(envelope), channel);
}

/// Sends a message and counts its bytes. An instance unknown to gossip counts as one of another zone.
bool Node::sendAndCount(const std::string& name, const std::string& address, Envelope envelope, Channel channel)
{
    auto kind = static_cast<MessageKind>(envelope.kind);
    auto bytes = envelope.body.size();
    if (!m_links->send(address, channel, std::move(envelope)))
        return false;
    auto instance = m_membership->instanceOf(name);
    m_traffic.onLinkMessage(kind, instance && instance->zone == m_settings.zone, bytes);
    return true;
}

bool Node::sendProposal(const std::string& member, const Propose& proposal)
{
    ControlMessage message;
    message.from.name = m_settings.name;
    message.body = proposal;
    return sendTo(member, MessageKind::Control, encode(message));
}

void Node::sendToPeers(MessageKind kind, const std::string& body)
{
    // Other messages than notices may be large and are left to the control members. An instance that missed one learns
    // so from the next notice.
    auto turn = kind == MessageKind::Freshness ? m_freshnessNotices.load() : 0;
    auto plan = planFanout(m_settings.zone, m_membership->livePeers(), m_settings.maxDirectPeers, turn);
    for (const auto& it : plan.direct)
        sendTo(it, kind, body);
    if (plan.forwarders.empty())
        return;
    auto forwarded = encodeForwardedMessage({ kind, body });
    for (const auto& zone : plan.forwarders) {
        for (const auto& it : zone) {
            if (sendTo(it, MessageKind::Forward, forwarded))
                break;
        }
    }
}

/// Handles the content as a message to this instance and sends it to the other peers of this zone.
void Node::onForward(const Envelope& envelope)
{
    auto message = decodeForwardedMessage(envelope.body);
    for (const auto& it : m_membership->livePeers()) {
        if (it.zone == m_settings.zone && it.name != envelope.sender)
            sendTo(it.name, message.kind, message.body);
    }
    Envelope content = envelope;
    content.kind = static_cast<std::uint16_t>(message.kind);
    content.body = std::move(message.body);
    dispatch(content);
}

// ---------------------------------------------------------------------------------------------------------------
// Configuration and directory

void Node::onPublished(const PublishedDifference& difference, const std::string& source)
{
    if (m_configuration.apply(difference)) {
        log(LogLevel::Info, "config",
            "version=" + std::to_string(difference.version) + " document="
                + std::to_string(m_configuration.current()->published.document.version) + " in force source=" + source);
        onConfiguration(source);
    }
}

void Node::onFreshness(const Freshness& freshness)
{
    FreshnessNotice notice { m_control->state().membership().cluster, m_control->state().publishedVersion(),
        freshness.timestampMs, m_settings.name };
    m_configuration.recordFreshness(notice, Clock::now());
    m_controlClient->setLeader(m_settings.name);
    auto bytes = encodeFreshness(notice);
    if (m_freshnessNotices++ % noticesPerGossipItem == 0)
        m_membership->publish(std::string(freshnessKey), bytes);
    sendToPeers(MessageKind::Freshness, bytes);
    onLeadershipConfirmed(freshness.term);
}

void Node::onFreshnessNotice(std::string_view bytes)
{
    auto notice = decodeFreshness(bytes);
    auto age = m_configuration.freshnessAge(Clock::now());
    if (!m_configuration.recordFreshness(notice, Clock::now()))
        return;
    // Announcements of leaves may have been missed too while no notices arrived.
    if (age && *age > freshnessNoticeTimeout) {
        log(LogLevel::Info, "config", "Freshness notices of the leader " + notice.leader + " arrive again.");
        m_introducedIncarnations.with([](auto& it) { it.clear(); });
        for (const auto& it : sampleControlMembers())
            fetchDirectory(it, true);
    }
    m_controlClient->setLeader(notice.leader);
}

/// With open membership the control members are those that gossip knows, in addition to the configured ones.
void Node::onMembersChanged()
{
    if (m_settings.openControlMembership) {
        std::set<std::string> control;
        for (const auto& it : m_membership->livePeers()) {
            if (it.controlMember)
                control.insert(it.name);
        }
        m_knownControlMembers.with([&](std::set<std::string>& it) { it.insert(control.begin(), control.end()); });
        if (m_control) {
            control.insert(m_settings.name);
            m_control->setContacts(control);
        }
        for (const auto& [name, address] : m_settings.controlMembers)
            control.insert(name);
        m_controlClient->setMembers({ control.begin(), control.end() });
    }
    onMembers();
}

void Node::requestNews()
{
    for (const auto& it : sampleControlMembers()) {
        fetchConfiguration(it); // first, so that its answer arrives first
        fetchDirectory(it, true);
    }
}

void Node::fetchMissingState()
{
    auto notice = m_configuration.lastNotice();
    auto peers = m_membership->livePeers();
    thread_local std::mt19937 random { std::random_device {}() };
    std::shuffle(peers.begin(), peers.end(), random);
    auto isInSameZone = [&](const Instance& it) { return it.zone == m_settings.zone; };
    auto sameZonePeer = std::find_if(peers.begin(), peers.end(), isInSameZone);
    auto age = m_configuration.freshnessAge(Clock::now());
    bool isStale = !age || *age > freshnessNoticeTimeout;
    bool isMissing = m_configuration.current()->published.version < notice.publishedVersion;
    // The leader pushes each change, so only one that has not arrived some time after its notice is fetched.
    bool wasMissing = m_isVersionMissing.exchange(isMissing);
    if ((isMissing && wasMissing) || isStale) {
        if (sameZonePeer != peers.end())
            fetchConfiguration(sameZonePeer->name);
        for (const auto& it : sampleControlMembers())
            fetchConfiguration(it);
    }
    if (!m_hasDirectory) {
        auto members = sampleControlMembers();
        auto controlMember = members.empty() ? std::string() : members.front();
        if (sameZonePeer != peers.end() || !controlMember.empty())
            fetchDirectory(sameZonePeer != peers.end() ? sameZonePeer->name : controlMember, true);
    }
}

/// Leaves send their notices to control members, which forward them to the instances they know. Because gossip needs
/// seconds to spread a new instance to many members, a starting instance introduces itself to the control members
/// directly.
void Node::introduceToControlMembers()
{
    auto known = m_knownControlMembers.with([](std::set<std::string>& it) { return it; });
    auto introducedTo = m_introducedIncarnations.with([](auto& it) { return it; });
    for (const auto& it : known) {
        auto found = introducedTo.find(it);
        auto instance = m_membership->instanceOf(it);
        bool isKnownThere = found != introducedTo.end() && (!instance || instance->incarnation <= found->second);
        bool mayBeUp = m_membership->isLive(it) || Clock::now() - m_startedAt < introductionPeriod;
        if (it != m_settings.name && !isKnownThere && mayBeUp)
            fetchDirectory(it, false);
    }
}

/// Returns up to `controlMembersPerFetch` random control members, including those that gossip considers failed: after a
/// network partition gossip needs seconds to find all members again, and the configuration must not stay outdated for
/// so long.
std::vector<std::string> Node::sampleControlMembers()
{
    auto names = m_knownControlMembers.with([](std::set<std::string>& it) { return it; });
    names.erase(m_settings.name);
    std::vector<std::string> sample;
    thread_local std::mt19937 random { std::random_device {}() };
    std::sample(names.begin(), names.end(), std::back_inserter(sample), controlMembersPerFetch, random);
    return sample;
}

void Node::fetchConfiguration(const std::string& name)
{
    sendTo(name, MessageKind::ConfigurationFetch,
        encodeConfigurationFetch({ m_configuration.current()->published.version }));
}

/// Introduces this instance to another one and, with `wantsDirectory`, requests its member list and directory.
void Node::fetchDirectory(const std::string& name, bool wantsDirectory)
{
    sendTo(name, MessageKind::DirectoryFetch, encodeDirectoryFetch({ m_membership->exportSelf(), wantsDirectory }));
}

void Node::onConfigurationFetch(const Envelope& envelope)
{
    auto fetch = decodeConfigurationFetch(envelope.body);
    auto difference = m_configuration.differenceFor(fetch.sinceVersion);
    if (difference.cluster == 0 || difference.version <= fetch.sinceVersion)
        return;
    Envelope answer;
    answer.kind = static_cast<std::uint16_t>(MessageKind::ConfigurationAnswer);
    answer.body = compressed(encode(difference));
    sendAndCount(envelope.sender, envelope.from, std::move(answer));
}

void Node::onDirectoryFetch(const Envelope& envelope)
{
    auto fetch = decodeDirectoryFetch(envelope.body);
    m_membership->importMembers(std::move(fetch.self), true);
    DirectoryAnswer content;
    if (fetch.wantsDirectory)
        content = { m_membership->exportMembers(), m_membership->exportDirectory(), m_hasDirectory };
    Envelope answer;
    answer.kind = static_cast<std::uint16_t>(MessageKind::DirectoryAnswer);
    answer.body = compressed(encodeDirectoryAnswer(content));
    sendAndCount(envelope.sender, envelope.from, std::move(answer));
}

void Node::onDirectoryAnswer(const Envelope& envelope)
{
    auto answer = decodeDirectoryAnswer(decompressed(envelope.body, maxDecodedBytes));
    m_introducedIncarnations.with([&](auto& it) { it[envelope.sender] = envelope.incarnation; });
    if (answer.directory.empty())
        return;
    m_hasMemberList = true;
    m_membership->importMembers(std::move(answer.members), false);
    m_membership->importDirectory(std::move(answer.directory), [this, isComplete = answer.isComplete] {
        if (isComplete)
            m_hasDirectory = true;
        onDirectoryAnswered();
    });
}

} // namespace citronplank
