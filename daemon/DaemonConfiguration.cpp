#include "daemon/DaemonImpl.h"
#include "daemon/Logging.h"

#include <msgpack.hpp>

namespace citronplank {

namespace {

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

} // namespace

// ---------------------------------------------------------------------------------------------------------------
// Configuration

void Daemon::Impl::onConfiguration()
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

void Daemon::Impl::onItem(const GossipItem& item)
{
    if (std::string_view(item.key).starts_with(suspicionPrefix) && !item.removed)
        adoptSuspicion(item.payload);
}

void Daemon::Impl::updateReadiness()
{
    if (m_entry->state() != EntryState::Starting)
        return;
    bool isAlone = Clock::now() - m_startedAt > aloneLimit;
    if (isAlone)
        m_hasDirectory = true;
    if ((hasConfiguration() && m_hasDirectory) || isAlone) {
        m_entry->setState(EntryState::Ready);
        log(LogLevel::Info, "query",
            hasConfiguration() ? "Ready." : "Ready without a configuration; serving leaves of the own zone only.");
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Poison requests

/// A gate of this daemon learned about a fingerprint: tell this entry, the other instances and the control log.
void Daemon::Impl::onSuspicion(const SuspicionEvent& event)
{
    m_entry->adoptSuspicion(event, Clock::now() + SuspicionList::retentionTime);
    auto key = std::string(suspicionPrefix) + std::to_string(event.fingerprint);
    auto holdMs = std::chrono::duration_cast<milliseconds>(SuspicionList::retentionTime).count();
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
