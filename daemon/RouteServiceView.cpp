// Requests that arrive after a pause of the process: they wait until a peer has confirmed what this instance knows.
#include "daemon/Logging.h"
#include "daemon/RouteService.h"

namespace citronplank {

void RouteService::onPauseEnded(std::function<void()> requestNews)
{
    asio::post(
        m_strand, [this, requestNews = std::move(requestNews)]() mutable { m_requestNews = std::move(requestNews); });
}

void RouteService::onNews()
{
    asio::post(m_strand, [this] {
        m_pauses.onNews();
        checkView();
    });
}

/// Whether leaves and routes may be chosen now. If a pause has just ended, requests news of peers. Once the view is
/// current, runs the requests that have waited for that.
bool RouteService::checkView()
{
    auto now = Clock::now();
    if (m_pauses.onRunning(now)) {
        m_counters.counter("pauses_total").add();
        log(LogLevel::Info, "stall", "The process has stood still; new requests wait for news of a peer.");
        if (m_requestNews)
            m_requestNews();
    }
    bool isOutdated = m_pauses.isViewOutdated(now);
    m_policies.setViewOutdated(isOutdated);
    if (isOutdated || m_waitingForView.empty())
        return !isOutdated;
    log(LogLevel::Info, "stall",
        "Requests that waited for news of a peer run now; requests=" + std::to_string(m_waitingForView.size())
            + " news=" + (m_pauses.resumedAt() ? "none" : "received")
            + " max_ms=" + formatDecimal(inMilliseconds(now - m_waitingForView.front().arrivedAt)));
    for (auto& it : std::exchange(m_waitingForView, {}))
        handleRequest(std::move(it.request), std::move(it.responder), it.arrivedAt);
    return true;
}

} // namespace citronplank
