// Which gathered requests run now, wait for a place, or are refused.
#include "daemon/RouteService.h"

namespace citronplank {

namespace {

constexpr std::uint32_t urgentPriority = 1;      // and below it
constexpr milliseconds minRetryAfter { 150 };    // a few requests end meanwhile
constexpr milliseconds retryAfterSpread { 500 }; // so that callers do not come back together

} // namespace

/// Runs a request, lets it wait for a place, or refuses it.
void RouteService::admit(Waiting it, Gathers& gathers)
{
    bool isHighPriority = it.route->priority <= urgentPriority;
    if (gathers.waiting.empty() && gathers.limit.tryAcquire(isHighPriority)) {
        run(std::move(it.call), std::move(it.request), std::move(it.responder), it.arrivedAt, std::move(it.route),
            &gathers.limit);
        return;
    }
    if (static_cast<double>(gathers.waiting.size()) >= gathers.limit.limit()) {
        refuseOverload(it, gathers);
        return;
    }
    gathers.waiting.push_back(std::move(it));
    admitWaiting();
}

void RouteService::refuseOverload(const Waiting& it, const Gathers& gathers)
{
    // Callers that come back at the same moment would meet the same load again.
    auto spread = static_cast<double>(m_random()) / static_cast<double>(std::mt19937::max());
    auto retryAfter = std::chrono::duration_cast<milliseconds>(
        minRetryAfter + std::chrono::duration_cast<Duration>(spread * retryAfterSpread));
    refuse(it.call, it.request, it.responder,
        { .error = ErrorKind::Overloaded,
            .reason = "all " + decimal(gathers.limit.limit()) + " places for requests are taken",
            .retryAfter = retryAfter });
}

/// Runs waiting requests that have a place now, urgent ones first, and refuses those that have waited long enough.
void RouteService::admitWaiting()
{
    auto now = Clock::now();
    std::optional<TimePoint> next;
    for (auto& [shard, gathers] : m_gathers) {
        auto& waiting = gathers.waiting;
        for (bool isHighPriority : { true, false }) {
            for (std::size_t i = 0; i < waiting.size();) {
                bool isGone = waiting[i].responder.isCallerDisconnected();
                bool isOver = now >= waiting[i].until;
                if ((waiting[i].route->priority <= urgentPriority) != isHighPriority && !isGone && !isOver) {
                    ++i;
                    continue;
                }
                bool runs = !isGone && !isOver && gathers.limit.tryAcquire(isHighPriority);
                if (!isGone && !isOver && !runs) {
                    ++i;
                    continue;
                }
                auto it = std::move(waiting[i]);
                waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
                if (runs)
                    run(std::move(it.call), std::move(it.request), std::move(it.responder), it.arrivedAt,
                        std::move(it.route), &gathers.limit);
                else if (isGone)
                    --m_runningCount;
                else
                    refuseOverload(it, gathers);
            }
        }
        for (const auto& it : waiting)
            next = std::min(next.value_or(it.until), it.until);
    }
    if (!next)
        return;
    m_waitTimer.expires_at(*next);
    m_waitTimer.async_wait([this](const std::error_code& ec) {
        if (!ec)
            admitWaiting();
    });
}

void RouteService::release(ConcurrencyLimit* limit, ObservedLoad load)
{
    if (!limit)
        return;
    limit->release(load, Clock::now());
    // Not from within another request's step.
    asio::post(m_strand, [this] { admitWaiting(); });
}

/// A request that waited for one slow leaf only tells nothing of the load.
ObservedLoad RouteService::observedLoad(const Running& running, const RouteOutcome& outcome, TimePoint now)
{
    const auto& execution = *running.execution;
    auto objective = execution.route().objective;
    if (objective == milliseconds::zero())
        return ObservedLoad::Busy;
    bool isShort = outcome.kind == RouteOutcome::Kind::Error || outcome.missing > 0;
    auto share = std::chrono::duration<double>(now - running.arrivedAt) / std::chrono::duration<double>(objective);
    auto load = isShort ? ObservedLoad::Congested : loadOf(share);
    return load == ObservedLoad::Congested && !execution.isCongested() ? ObservedLoad::Busy : load;
}

} // namespace citronplank
