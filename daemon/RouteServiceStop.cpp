// Planned stop: which requests are still taken, and the end of those that still run.
#include "daemon/RouteService.h"

#include "daemon/Logging.h"

namespace citronplank {

namespace {

constexpr int usualLatencyMargin = 2; // multiplies the latency after which a part is hedged

} // namespace

TimePoint RouteService::deadlineOf(const Route& route, const CallerInfo& caller, TimePoint arrivedAt)
{
    return arrivedAt + std::min(route.timeout, caller.remaining.value_or(route.timeout));
}

bool RouteService::takesWhileStopping(const Route& route, const CallerInfo& caller, TimePoint arrivedAt) const
{
    if (!m_stopAdmission)
        return true;
    auto usualLatency = std::max<Duration>(route.objective, usualLatencyMargin * m_policies.hedgeDelay(route));
    return m_stopAdmission->takes(Clock::now(), deadlineOf(route, caller, arrivedAt), route.idempotent, usualLatency);
}

/// Other instances can serve the request at once.
void RouteService::refuseStopping(const CallerInfo& caller, const HttpRequest& request, const Responder& responder)
{
    refuse(caller, request, responder,
        { .error = ErrorKind::Stopping,
            .reason = "this instance stops before the request would end",
            .retryAfter = milliseconds(0) });
}

void RouteService::beginStop(StopAdmission admission)
{
    asio::post(m_strand, [this, admission] { m_stopAdmission = admission; });
}

void RouteService::abortAll()
{
    asio::post(m_strand, [this] {
        for (auto& [shard, queue] : m_admissionQueues) {
            for (const auto& it : std::exchange(queue.waiting, {}))
                refuseStopping(it.caller, it.request, it.responder);
        }
        for (auto& [customer, waiting] : std::exchange(m_waitingForToken, {})) {
            for (const auto& it : waiting)
                refuseStopping(it.caller, it.request, it.responder);
        }
        for (const auto& it : std::exchange(m_waitingForView, {}))
            refuseStopping(m_protocol.readCallerInfo(it.request), it.request, it.responder);
        std::vector<Id> ids;
        for (const auto& [id, it] : m_running)
            ids.push_back(id);
        for (auto id : ids) {
            auto actions = m_running.at(id)->execution->cancel();
            actions.finish = RouteOutcome { .error = ErrorKind::OutcomeUnknown, .reason = "this instance is stopping" };
            finish(id, std::move(actions));
        }
    });
}

} // namespace citronplank
