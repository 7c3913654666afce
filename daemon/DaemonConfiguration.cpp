#include "daemon/DaemonImpl.h"
#include "daemon/Logging.h"

#include <asio/post.hpp>
#include <msgpack.hpp>
#include <random>

namespace citronplank {

namespace {

constexpr std::string_view freshnessKey = "control/freshness";
/// This many peers are told directly of freshness and suspicions. Gossip alone took up to 5 s for freshness while an
/// index roll used its budget, and a poison request that was resent every 100 ms crashed a third leaf before gossip had
/// spread the first crash. Beyond this number of peers gossip carries the notice.
constexpr std::size_t directPeers = 64;
constexpr std::string_view suspicionPrefix = "suspicion/";

/// A suspicion as it travels by gossip. The end is in wall time, so that an item that arrives late ends on time.
struct SuspicionNotice {
    SuspicionEvent event;
    std::uint64_t expiresMs = 0;
};

using PackedSuspicion = std::tuple<std::uint64_t, std::uint32_t, bool, std::uint8_t, std::uint64_t>;

std::string encodeSuspicion(const SuspicionNotice& notice)
{
    const auto& event = notice.event;
    msgpack::sbuffer buf;
    msgpack::pack(buf,
        PackedSuspicion {
            event.fingerprint, event.shard, event.alone, static_cast<std::uint8_t>(event.state), notice.expiresMs });
    return { buf.data(), buf.size() };
}

std::optional<SuspicionNotice> decodeSuspicion(std::string_view bytes)
{
    try {
        auto packed = msgpack::unpack(bytes.data(), bytes.size()).get().as<PackedSuspicion>();
        if (std::get<3>(packed) > static_cast<std::uint8_t>(Suspicion::Blocked))
            return std::nullopt;
        SuspicionEvent event { std::get<0>(packed), std::get<1>(packed), std::get<2>(packed),
            static_cast<Suspicion>(std::get<3>(packed)) };
        return SuspicionNotice { event, std::get<4>(packed) };
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::uint64_t wallTimeMs()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------
// Configuration

void Daemon::Impl::onPublished(const PublishedDifference& difference)
{
    if (m_configuration.apply(difference))
        onConfigurationChanged();
}

void Daemon::Impl::onConfigurationChanged()
{
    auto configuration = m_configuration.current();
    if (!configuration->rulesError.empty())
        log(LogLevel::Error, "rules", "The rules cannot be read: " + configuration->rulesError + ".");
    m_entry->onConfiguration();
    m_parts->setRules(configuration->rules);
    if (auto it = configuration->views.find(m_settings.zone); it != configuration->views.end())
        m_lease->adopt(it->second);
    auto nowMs = wallTimeMs();
    for (const auto& it : configuration->published.blocked) {
        if (it.expiresMs <= nowMs)
            continue;
        SuspicionEvent event { it.fingerprint, 0, false, Suspicion::Blocked };
        auto until = Clock::now() + milliseconds(it.expiresMs - nowMs);
        m_parts->adoptSuspicion(event, until);
        m_entry->adoptSuspicion(event, until);
    }
}

void Daemon::Impl::onFreshness(const Freshness& freshness)
{
    FreshnessNotice notice { m_control->state().membership().cluster, m_control->state().publishedVersion(),
        freshness.timestampMs, m_settings.name };
    m_configuration.noteFreshness(notice, Clock::now());
    m_controlClient->noteLeader(m_settings.name);
    auto bytes = encodeFreshness(notice);
    m_membership->publish(std::string(freshnessKey), bytes);
    tellPeers(MessageKind::Freshness, bytes);
}

/// Sends a notice to the peers without waiting for gossip, which carries it as well.
void Daemon::Impl::tellPeers(MessageKind kind, const std::string& body)
{
    auto peers = m_membership->livePeers();
    for (std::size_t i = 0; i < std::min(peers.size(), directPeers); ++i)
        sendTo(peers[i].name, kind, body);
}

void Daemon::Impl::onFreshnessNotice(std::string_view bytes)
{
    auto notice = decodeFreshness(bytes);
    if (!m_configuration.noteFreshness(notice, Clock::now()))
        return;
    m_controlClient->noteLeader(notice.leader);
    if (notice.publishedVersion > m_configuration.current()->published.version)
        catchUp();
}

void Daemon::Impl::onItem(const GossipItem& item)
{
    if (item.key == freshnessKey && !item.removed) {
        onFreshnessNotice(item.payload);
    } else if (std::string_view(item.key).starts_with(suspicionPrefix)) {
        if (!item.removed)
            adoptSuspicion(item.payload);
    }
}

/// Asks for what this daemon lacks: a peer of the own zone first, then any control member.
void Daemon::Impl::catchUp()
{
    auto notice = m_configuration.lastNotice();
    auto peers = m_membership->livePeers();
    if (peers.empty())
        return;
    thread_local std::mt19937 random { std::random_device {}() };
    std::shuffle(peers.begin(), peers.end(), random);
    auto isNear = [&](const Instance& it) { return it.zone == m_settings.zone; };
    if (m_configuration.current()->published.version < notice.publishedVersion || notice.leader.empty()) {
        auto member = std::find_if(peers.begin(), peers.end(), [](const Instance& it) { return it.controlMember; });
        auto near = std::find_if(peers.begin(), peers.end(), isNear);
        if (near != peers.end())
            fetchFrom(*near, MessageKind::ConfigurationFetch);
        if (member != peers.end())
            fetchFrom(*member, MessageKind::ConfigurationFetch);
    }
    if (!m_hasDirectory) {
        auto near = std::find_if(peers.begin(), peers.end(), isNear);
        fetchFrom(near != peers.end() ? *near : peers.front(), MessageKind::DirectoryFetch);
    }
}

void Daemon::Impl::fetchFrom(const Instance& peer, MessageKind kind)
{
    Envelope envelope;
    envelope.kind = static_cast<std::uint16_t>(kind);
    envelope.body = encodeConfigurationFetch({ m_configuration.current()->published.version });
    m_links->send(peer.linkAddress, Lane::Control, std::move(envelope));
}

void Daemon::Impl::onConfigurationFetch(const Envelope& envelope)
{
    auto fetch = decodeConfigurationFetch(envelope.body);
    auto difference = m_configuration.differenceFor(fetch.sinceVersion);
    if (difference.cluster == 0 || difference.version <= fetch.sinceVersion)
        return;
    Envelope answer;
    answer.kind = static_cast<std::uint16_t>(MessageKind::ConfigurationAnswer);
    answer.body = encode(difference);
    m_links->send(envelope.from, Lane::Control, std::move(answer));
}

void Daemon::Impl::onConfigurationAnswer(const Envelope& envelope)
{
    onPublished(decodePublishedDifference(envelope.body));
}

void Daemon::Impl::onDirectoryFetch(const Envelope& envelope)
{
    Envelope answer;
    answer.kind = static_cast<std::uint16_t>(MessageKind::DirectoryAnswer);
    answer.body = m_membership->exportDirectory();
    // A peer that is itself starting has not heard all announcements.
    answer.correlation = m_hasDirectory ? 1 : 0;
    m_links->send(envelope.from, Lane::Control, std::move(answer));
}

void Daemon::Impl::onDirectoryAnswer(const Envelope& envelope)
{
    bool isComplete = envelope.correlation == 1;
    m_membership->importDirectory(envelope.body, [this, isComplete] {
        if (isComplete)
            m_hasDirectory = true;
    });
}

void Daemon::Impl::updateReadiness()
{
    if (m_entry->state() != EntryState::Starting)
        return;
    bool isAlone = Clock::now() - m_startedAt > aloneLimit;
    bool hasConfiguration = m_configuration.current()->published.cluster != 0;
    if (isAlone)
        m_hasDirectory = true;
    if ((hasConfiguration && m_hasDirectory) || isAlone) {
        m_entry->setState(EntryState::Ready);
        log(LogLevel::Info, "query",
            hasConfiguration ? "Ready." : "Ready without a configuration; serving leaves of the own zone only.");
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Poison requests

/// A gate of this daemon learned about a fingerprint: tell this entry, the other instances and the control log.
void Daemon::Impl::onSuspicion(const SuspicionEvent& event)
{
    m_entry->adoptSuspicion(event, Clock::now() + SuspicionList::holdTime);
    auto key = std::string(suspicionPrefix) + std::to_string(event.fingerprint);
    auto holdMs = std::chrono::duration_cast<milliseconds>(SuspicionList::holdTime).count();
    auto bytes = encodeSuspicion({ event, wallTimeMs() + static_cast<std::uint64_t>(holdMs) });
    tellPeers(MessageKind::Suspicion, bytes);
    m_membership->publish(key, bytes);
    if (event.state != Suspicion::Blocked)
        return;
    log(LogLevel::Warning, "gate",
        "Request fingerprint " + std::to_string(event.fingerprint)
            + " crashed back ends and is blocked for 10 minutes.");
    m_controlClient->submit(
        BlockFingerprint { event.fingerprint }, milliseconds(2000), [](const SubmitResult&) {}, Clock::now());
}

void Daemon::Impl::adoptSuspicion(std::string_view bytes)
{
    auto notice = decodeSuspicion(bytes);
    auto nowMs = wallTimeMs();
    if (!notice || notice->expiresMs <= nowMs)
        return;
    auto until = Clock::now() + milliseconds(notice->expiresMs - nowMs);
    m_parts->adoptSuspicion(notice->event, until);
    m_entry->adoptSuspicion(notice->event, until);
}

} // namespace citronplank
