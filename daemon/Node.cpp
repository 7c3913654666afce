#include "daemon/Node.h"

#include "daemon/Logging.h"
#include "transport/Compression.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <random>

namespace citronplank {

namespace {

constexpr milliseconds catchUpTick { 200 };      // fetches of configuration and directory
constexpr milliseconds introductionTick { 200 }; // until answered; some round trips of a busy instance
constexpr seconds introductionTime { 10 };       // to members that gossip does not know; they start within it
constexpr milliseconds noticeLimit { 1500 };     // three notices of the leader were missed
constexpr std::size_t controlMembersAsked = 3;   // at once, of which one or two may be lost
constexpr int silentHeartbeats = 3;              // of a link that is dialled again
constexpr std::uint64_t noticesPerItem = 4;      // of the leader to all peers, for each one that gossip carries too
constexpr milliseconds controlClientTick { 50 }; // offers and time-outs of proposals
constexpr milliseconds reopenInterval { 1000 };  // of a disk that failed; each try writes the log once
constexpr std::size_t maxConfigurationBytes = std::size_t { 64 } << 20U; // decoded; far above any in use
constexpr std::string_view freshnessKey = "control/freshness";
/// This many peers are told directly of freshness and suspicions. Gossip alone took up to 5 s for freshness while an
/// index roll used its budget, and a poison request that was resent every 100 ms crashed a third leaf before gossip had
/// spread the first crash. Beyond this number of peers gossip carries the notice.
constexpr std::size_t directPeers = 128;

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
    , m_knownControl(LockRank::Requests)
    , m_introducedTo(LockRank::Requests)
{
    auto names = namesOf(settings.controlMembers);
    m_knownControl.with([&](std::set<std::string>& it) { it.insert(names.begin(), names.end()); });
    m_controlClient = std::make_unique<ControlClient>(namesOf(settings.controlMembers),
        [this](const std::string& member, const Propose& proposal) { return offerProposal(member, proposal); });
    LinkSettings links;
    links.listenAddress = settings.linkAddress;
    links.sender = settings.name;
    links.incarnation = m_incarnation;
    links.partChannelIntervals = settings.partChannelIntervals;
    if (settings.linkHeartbeat) {
        links.heartbeatInterval = *settings.linkHeartbeat;
        links.heartbeatTimeout = silentHeartbeats * *settings.linkHeartbeat;
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
        onPublished(difference);
        if (m_control && m_control->isLeader())
            tellPeers(MessageKind::ConfigurationAnswer, compressed(encode(difference)));
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
    every(controlClientTick, [this] { m_controlClient->onTimer(Clock::now()); });
    every(catchUpTick, [this] { catchUp(); });
    every(introductionTick, [this] { introduce(); });
    if (m_control)
        m_control->start();
    for (unsigned i = 0; i < m_settings.workers; ++i)
        m_workers.emplace_back([this] { m_io.run(); });
}

void Node::shutDownNode()
{
    if (m_timersEnded.exchange(true))
        return;
    if (m_control)
        m_control->stop();
    m_links->stop();
    m_membership->stop();
    m_io.stop();
    for (auto& it : m_workers)
        it.join();
}

void Node::every(milliseconds interval, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_io);
    auto step = std::make_shared<std::function<void(const asio::error_code&)>>();
    *step = [this, interval, task = std::move(task), timer, weak = std::weak_ptr(step)](const asio::error_code& ec) {
        auto self = weak.lock();
        if (ec || !self || m_timersEnded)
            return;
        task();
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
        log(LogLevel::Warning, "link", "A message from " + envelope.sender + " is dropped: " + error.what() + ".");
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
        return onPublished(decodePublishedDifference(decompressed(envelope.body, maxConfigurationBytes)));
    case MessageKind::DirectoryFetch:
        return onDirectoryFetch(envelope);
    case MessageKind::DirectoryAnswer:
        return onDirectoryAnswer(envelope);
    case MessageKind::Freshness:
        return onFreshnessNotice(envelope.body);
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

/// Control members are known from the settings, so that they find each other before gossip does. With open membership
/// a control member's name is its IP address and all instances use the same port.
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

bool Node::sendTo(
    const std::string& name, MessageKind kind, std::string body, std::uint64_t correlation, Channel channel)
{
    Envelope envelope;
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
    return !address.empty() && sendCounted(name, address, std::move(envelope), channel);
}

/// An instance that gossip does not know counts as one of another zone.
bool Node::sendCounted(const std::string& name, const std::string& address, Envelope envelope, Channel channel)
{
    auto kind = static_cast<MessageKind>(envelope.kind);
    auto bytes = envelope.body.size();
    if (!m_links->send(address, channel, std::move(envelope)))
        return false;
    auto instance = m_membership->instanceOf(name);
    m_traffic.onLinkMessage(kind, instance && instance->zone == m_settings.zone, bytes);
    return true;
}

bool Node::offerProposal(const std::string& member, const Propose& proposal)
{
    ControlMessage message;
    message.from.name = m_settings.name;
    message.body = proposal;
    return sendTo(member, MessageKind::Control, encode(message));
}

void Node::tellPeers(MessageKind kind, const std::string& body)
{
    auto peers = m_membership->livePeers();
    for (std::size_t i = 0; i < std::min(peers.size(), directPeers); ++i)
        sendTo(peers[i].name, kind, body);
}

// ---------------------------------------------------------------------------------------------------------------
// Configuration and directory

void Node::onPublished(const PublishedDifference& difference)
{
    if (m_configuration.apply(difference)) {
        log(LogLevel::Info, "config",
            "version=" + std::to_string(difference.version)
                + " document=" + std::to_string(m_configuration.current()->published.document.version) + " in force");
        onConfiguration();
    }
}

void Node::onFreshness(const Freshness& freshness)
{
    FreshnessNotice notice { m_control->state().membership().cluster, m_control->state().publishedVersion(),
        freshness.timestampMs, m_settings.name };
    m_configuration.noteFreshness(notice, Clock::now());
    m_controlClient->noteLeader(m_settings.name);
    auto bytes = encodeFreshness(notice);
    if (m_noticeCount++ % noticesPerItem == 0 || m_membership->livePeers().size() > directPeers)
        m_membership->publish(std::string(freshnessKey), bytes);
    tellPeers(MessageKind::Freshness, bytes);
}

void Node::onFreshnessNotice(std::string_view bytes)
{
    auto notice = decodeFreshness(bytes);
    auto age = m_configuration.freshnessAge(Clock::now());
    if (!m_configuration.noteFreshness(notice, Clock::now()))
        return;
    // Announcements were missed too while this instance heard nothing of the leader.
    if (age && *age > noticeLimit) {
        log(LogLevel::Info, "config", "The leader " + notice.leader + " is heard of again.");
        m_introducedTo.with([](auto& it) { it.clear(); });
        for (const auto& it : someControlMembers())
            fetchDirectory(it, true);
    }
    m_controlClient->noteLeader(notice.leader);
    if (notice.publishedVersion > m_configuration.current()->published.version)
        catchUp();
}

/// With open membership the control members are those that gossip knows.
void Node::onMembersChanged()
{
    if (m_settings.openControlMembership) {
        std::set<std::string> control;
        for (const auto& it : m_membership->livePeers()) {
            if (it.controlMember)
                control.insert(it.name);
        }
        m_knownControl.with([&](std::set<std::string>& it) { it.insert(control.begin(), control.end()); });
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

void Node::catchUp()
{
    auto notice = m_configuration.lastNotice();
    auto peers = m_membership->livePeers();
    thread_local std::mt19937 random { std::random_device {}() };
    std::shuffle(peers.begin(), peers.end(), random);
    auto isNear = [&](const Instance& it) { return it.zone == m_settings.zone; };
    auto near = std::find_if(peers.begin(), peers.end(), isNear);
    auto age = m_configuration.freshnessAge(Clock::now());
    bool isStale = !age || *age > noticeLimit;
    if (m_configuration.current()->published.version < notice.publishedVersion || isStale) {
        if (near != peers.end())
            fetchConfiguration(near->name);
        for (const auto& it : someControlMembers())
            fetchConfiguration(it);
    }
    if (!m_hasDirectory) {
        auto members = someControlMembers();
        auto other = members.empty() ? std::string() : members.front();
        if (near != peers.end() || !other.empty())
            fetchDirectory(near != peers.end() ? near->name : other, true);
    }
}

/// Leaves give their notices to control members, which hand them to the instances that they know. Gossip needs seconds
/// to tell many members of one that starts, so it tells the control members itself.
void Node::introduce()
{
    auto known = m_knownControl.with([](std::set<std::string>& it) { return it; });
    auto introducedTo = m_introducedTo.with([](auto& it) { return it; });
    for (const auto& it : known) {
        auto found = introducedTo.find(it);
        auto instance = m_membership->instanceOf(it);
        bool isKnownThere = found != introducedTo.end() && (!instance || instance->incarnation <= found->second);
        bool isUp = m_membership->isLive(it) || Clock::now() - m_startedAt < introductionTime;
        if (it != m_settings.name && !isKnownThere && isUp)
            fetchDirectory(it, false);
    }
}

/// Control members to ask, also if gossip takes them for dead: after a partition has healed, gossip needs seconds to
/// find all members again, and the configuration must not be older for so long.
std::vector<std::string> Node::someControlMembers()
{
    auto names = m_knownControl.with([](std::set<std::string>& it) { return it; });
    names.erase(m_settings.name);
    std::vector<std::string> some;
    thread_local std::mt19937 random { std::random_device {}() };
    std::sample(names.begin(), names.end(), std::back_inserter(some), controlMembersAsked, random);
    return some;
}

void Node::fetchConfiguration(const std::string& name)
{
    sendTo(name, MessageKind::ConfigurationFetch,
        encodeConfigurationFetch({ m_configuration.current()->published.version }));
}

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
    sendCounted(envelope.sender, envelope.from, std::move(answer));
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
    sendCounted(envelope.sender, envelope.from, std::move(answer));
}

void Node::onDirectoryAnswer(const Envelope& envelope)
{
    auto answer = decodeDirectoryAnswer(decompressed(envelope.body, maxConfigurationBytes));
    m_introducedTo.with([&](auto& it) { it[envelope.sender] = envelope.incarnation; });
    if (answer.directory.empty())
        return;
    m_hasMembers = true;
    m_membership->importMembers(std::move(answer.members), false);
    m_membership->importDirectory(std::move(answer.directory), [this, isComplete = answer.isComplete] {
        if (isComplete)
            m_hasDirectory = true;
    });
}

} // namespace citronplank
