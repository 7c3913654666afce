// Requests that crash leaves: what this instance and its peers have seen of them.
#include "daemon/RouteService.h"

#include "daemon/Logging.h"

namespace citronplank {

namespace {

constexpr milliseconds lossProbeInterval { 1000 }; // per leaf; each probe opens a connection, which costs the leaf

} // namespace

/// Updates the crash guard with the end of an attempt at a leaf.
void RouteService::recordAttemptEnd(
    std::uint64_t fingerprint, const CallerInfo& caller, const Announcement& leaf, AttemptResult::Status status)
{
    if (status == AttemptResult::Status::Answered) {
        m_crashGuard.onAnswered(fingerprint, Clock::now());
    } else if (status == AttemptResult::Status::Lost) {
        m_crashGuard.onAttemptLost({ fingerprint, caller.id }, leaf.leaf, Clock::now());
        probeAfterLoss(leaf);
    } else if (status == AttemptResult::Status::NotSent) {
        onLeafUnreachable(leaf.leaf);
    }
}

void RouteService::onLeafUnreachable(const std::string& leaf)
{
    auto now = Clock::now();
    for (const auto& it : m_crashGuard.onLeafUnreachable(leaf, now)) {
        log(LogLevel::Info, "crash",
            "request id=" + it.requestId + " fingerprint=" + std::to_string(it.fingerprint) + " leaf=" + leaf
                + " terminated while it ran the request"
                + (m_crashGuard.isBlocked(it.fingerprint, now) ? "; the fingerprint is blocked" : ""));
        m_notifyCrash(it);
    }
}

/// Probes whether a leaf that lost a request still accepts connections, at most once per `lossProbeInterval`.
void RouteService::probeAfterLoss(const Announcement& leaf)
{
    auto now = Clock::now();
    std::erase_if(m_probedAt, [&](const auto& it) { return now - it.second >= lossProbeInterval; });
    if (!m_probedAt.try_emplace(leaf.leaf, now).second)
        return;
    m_upstream->probe(leaf, [this, name = leaf.leaf](bool reached) {
        if (reached)
            return;
        log(LogLevel::Info, "leaf", "leaf=" + name + " is unreachable after it lost a request");
        m_policies.onProbe(name, false, Clock::now());
        onLeafUnreachable(name);
    });
}

void RouteService::onCrashNotice(std::string peer, CrashNotice notice)
{
    asio::post(m_strand, [this, peer = std::move(peer), notice = std::move(notice)] {
        auto now = Clock::now();
        if (!m_crashGuard.recordNotice(notice, now))
            return;
        log(LogLevel::Info, "crash",
            "request id=" + notice.requestId + " fingerprint=" + std::to_string(notice.fingerprint)
                + " crashed a leaf, reported by=" + peer
                + (m_crashGuard.isBlocked(notice.fingerprint, now) ? "; the fingerprint is blocked" : ""));
    });
}

void RouteService::sendKnownCrashes(std::string peer, bool includesReported)
{
    asio::post(m_strand, [this, peer = std::move(peer), includesReported] {
        for (const auto& it : m_crashGuard.sharedNotices(Clock::now(), includesReported))
            m_sender(peer, MessageKind::Suspicion, encodeCrashNotice(it), 0, milliseconds(0));
    });
}

} // namespace citronplank
