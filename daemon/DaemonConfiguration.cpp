#include "daemon/DaemonImpl.h"
#include "daemon/Logging.h"

#include <msgpack.hpp>

namespace citronplank {

namespace {

constexpr std::string_view suspicionKeyPrefix = "suspicion/";

/// A suspicion as spread by gossip. The expiry is in wall time, so that an item that arrives late expires on time.
struct SuspicionNotice {
    SuspicionEvent event;
    std::uint64_t expiresMs = 0;
};

/// Fingerprint, shard, whether the part ran alone, state, expiry in milliseconds since 1970.
using PackedSuspicion = std::tuple<std::uint64_t, std::uint32_t, bool, std::uint8_t, std::uint64_t>;

std::string encodeSuspicion(const SuspicionNotice& notice)
{
    const auto& event = notice.event;
    msgpack::sbuffer buf;
    msgpack::pack(buf,
        PackedSuspicion {
            event.fingerprint, event.shard, event.wasAlone, static_cast<std::uint8_t>(event.state), notice.expiresMs });
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

} // namespace

// ---------------------------------------------------------------------------------------------------------------
// Configuration

void Daemon::Impl::onConfiguration(const std::string& /*source*/)
{
    auto configuration = m_configuration.current();
    if (!configuration->rulesError.empty())
        log(LogLevel::Error, "rules",
            "The rules cannot be parsed; the previous ones stay in force: " + configuration->rulesError + ".");
    m_entry->onConfiguration();
    m_parts->setRules(configuration->rules);
    if (auto it = configuration->views.find(m_settings.zone); it != configuration->views.end())
        m_lease->adopt(it->second);
    auto nowMs = wallTimeMs();
    for (const auto& it : configuration->published.blocked) {
        if (it.expiresMs <= nowMs)
            continue;
        SuspicionEvent event { it.fingerprint, 0, false, Suspicion::Blocked };
        auto expiresAt = Clock::now() + milliseconds(it.expiresMs - nowMs);
        m_parts->applySuspicion(event, expiresAt);
        m_entry->applySuspicion(event, expiresAt);
    }
}

void Daemon::Impl::onItem(const GossipItem& item)
{
    if (std::string_view(item.key).starts_with(suspicionKeyPrefix) && !item.removed)
        applySuspicion(item.payload);
}

void Daemon::Impl::updateReadiness()
{
    if (m_entry->state() != EntryState::Starting)
        return;
    bool isIsolated = Clock::now() - m_startedAt > isolationTimeout;
    if (isIsolated)
        m_hasDirectory = true;
    if ((hasConfiguration() && m_hasDirectory) || isIsolated) {
        m_entry->setState(EntryState::Ready);
        log(LogLevel::Info, "query",
            hasConfiguration()
                ? "This instance is ready."
                : "This instance is ready without a configuration; it serves leaves of its own zone only.");
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Requests that crash leaves

/// Passes a suspicion that a gate of this daemon reported to the entry service, the other instances and, if the
/// fingerprint is blocked, the control log.
void Daemon::Impl::onSuspicion(const SuspicionEvent& event)
{
    m_entry->applySuspicion(event, Clock::now() + SuspicionList::retentionTime);
    auto key = std::string(suspicionKeyPrefix) + std::to_string(event.fingerprint);
    auto retentionMs = std::chrono::duration_cast<milliseconds>(SuspicionList::retentionTime).count();
    auto bytes = encodeSuspicion({ event, wallTimeMs() + static_cast<std::uint64_t>(retentionMs) });
    sendToPeers(MessageKind::Suspicion, bytes);
    m_membership->publish(key, bytes);
    if (event.state != Suspicion::Blocked)
        return;
    log(LogLevel::Warning, "gate",
        "Requests with fingerprint=" + std::to_string(event.fingerprint)
            + " crashed backend servers and are blocked for 10 minutes.");
    m_controlClient->submit(
        BlockFingerprint { event.fingerprint }, milliseconds(2000), [](const SubmitResult&) {}, Clock::now());
}

void Daemon::Impl::applySuspicion(std::string_view bytes)
{
    auto notice = decodeSuspicion(bytes);
    auto nowMs = wallTimeMs();
    if (!notice || notice->expiresMs <= nowMs)
        return;
    auto expiresAt = Clock::now() + milliseconds(notice->expiresMs - nowMs);
    m_parts->applySuspicion(notice->event, expiresAt);
    m_entry->applySuspicion(notice->event, expiresAt);
}

} // namespace citronplank
