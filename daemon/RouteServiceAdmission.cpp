// Admission of gathered requests: runs them, queues them until a slot of the concurrency limit is free, or refuses
// them.
#include "daemon/RouteService.h"

#include <algorithm>

namespace citronplank {

namespace {

constexpr std::uint32_t maxHighPriorityNumber = 1; // lower numbers are more important; up to this one priority is high
constexpr milliseconds minRetryAfter { 150 };      // time in which a few requests end
constexpr milliseconds retryAfterSpread { 500 };   // random part, so that callers do not retry together

} // namespace

void RouteService::admitToRoute(WaitingRequest it)
{
    if (it.route->shards.empty()) {
        startRequest(std::move(it), nullptr);
        return;
    }
    auto& queue = m_admissionQueues[it.route->shards.front()];
    admit(std::move(it), queue);
}

/// Runs a request, queues it until a slot is free, or refuses it if as many requests wait as may run at the same time.
void RouteService::admit(WaitingRequest it, AdmissionQueue& queue)
{
    bool isHighPriority = it.priority() <= maxHighPriorityNumber;
    if (queue.waiting.empty() && queue.limit.tryAcquire(isHighPriority)) {
        startQueued(std::move(it), queue);
        return;
    }
    enqueue(std::move(it), queue);
    admitWaiting();
}

/// Adds a request to the queue. If that is full, refuses the request that is last in the order of customers; without
/// customers that is this one.
void RouteService::enqueue(WaitingRequest it, AdmissionQueue& queue)
{
    bool isFull = static_cast<double>(queue.waiting.size()) >= queue.limit.limit();
    queue.waiting.push_back(std::move(it));
    if (!isFull)
        return;
    orderWaiting(queue);
    auto last = std::move(queue.waiting.back());
    queue.waiting.pop_back();
    refuseOverload(last, queue);
}

/// Orders the queue by priority and by the customers' shares of capacity. Without customers the order of arrival stays.
void RouteService::orderWaiting(AdmissionQueue& queue)
{
    if (!m_policies.table()->requiresKeys())
        return;
    std::stable_sort(queue.waiting.begin(), queue.waiting.end(),
        [&, now = Clock::now()](const WaitingRequest& a, const WaitingRequest& b) {
            return m_capacityShares.precedes(a.claim(), b.claim(), now);
        });
}

/// Starts a request that holds a slot of the queue's limit.
void RouteService::startQueued(WaitingRequest it, AdmissionQueue& queue)
{
    if (m_policies.table()->requiresKeys())
        m_capacityShares.onUse(it.customer.name, static_cast<double>(it.route->shards.size()), Clock::now());
    startRequest(std::move(it), &queue.limit);
}

void RouteService::refuseOverload(const WaitingRequest& it, const AdmissionQueue& queue)
{
    if (it.hasToken && m_quota) {
        m_quota->refund(it.customer.name, Clock::now());
        ++m_capacityRejections[it.customer.name];
    }
    // Callers that retry at the same moment would meet the same load again.
    auto spread = static_cast<double>(m_random()) / static_cast<double>(std::mt19937::max());
    auto retryAfter = std::chrono::duration_cast<milliseconds>(
        minRetryAfter + std::chrono::duration_cast<Duration>(spread * retryAfterSpread));
    refuse(it.caller, it.request, it.responder,
        { .error = ErrorKind::Overloaded,
            .reason = "the concurrency limit of " + formatDecimal(queue.limit.limit()) + " requests is reached",
            .retryAfter = retryAfter });
}

/// Runs queued requests while slots are free, those with high priority first, and refuses those whose wait deadline has
/// passed.
void RouteService::admitWaiting()
{
    checkView();
    auto now = Clock::now();
    std::optional<TimePoint> nextDeadline;
    for (auto& [shard, queue] : m_admissionQueues) {
        orderWaiting(queue);
        auto& waiting = queue.waiting;
        for (bool isHighPriority : { true, false }) {
            for (std::size_t i = 0; i < waiting.size();) {
                bool isDisconnected = waiting[i].responder.isCallerDisconnected();
                bool isExpired = now >= waiting[i].waitDeadline;
                if ((waiting[i].priority() <= maxHighPriorityNumber) != isHighPriority && !isDisconnected
                    && !isExpired) {
                    ++i;
                    continue;
                }
                bool isRefused = !isDisconnected && !isExpired
                    && !authorize(waiting[i].customer, waiting[i].request, *waiting[i].route);
                bool ends = isDisconnected || isExpired || isRefused;
                bool runs = !ends && queue.limit.tryAcquire(isHighPriority);
                if (!ends && !runs) {
                    ++i;
                    continue;
                }
                auto it = std::move(waiting[i]);
                waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
                if (runs)
                    startQueued(std::move(it), queue);
                else if (isDisconnected)
                    --m_runningCount;
                else if (isRefused)
                    refuseUnauthorized(it.caller, it.request, it.responder);
                else
                    refuseOverload(it, queue);
            }
        }
        for (const auto& it : waiting)
            nextDeadline = std::min(nextDeadline.value_or(it.waitDeadline), it.waitDeadline);
    }
    if (!nextDeadline)
        return;
    m_waitTimer.expires_at(*nextDeadline);
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
    // Posted, so that no request starts within the processing of another one.
    asio::post(m_strand, [this] { admitWaiting(); });
}

/// Returns the load that the outcome of a request indicates. A request that was late because of a single slow leaf does
/// not count as congestion.
ObservedLoad RouteService::observedLoad(const RunningRequest& running, const RouteOutcome& outcome, TimePoint now)
{
    const auto& execution = *running.execution;
    auto objective = execution.route().objective;
    if (objective == milliseconds::zero())
        return ObservedLoad::Busy;
    bool isIncomplete = outcome.kind == RouteOutcome::Kind::Error || outcome.missing > 0;
    auto share = std::chrono::duration<double>(now - running.arrivedAt) / std::chrono::duration<double>(objective);
    auto load = isIncomplete ? ObservedLoad::Congested : loadOf(share);
    return load == ObservedLoad::Congested && !execution.isCongested() ? ObservedLoad::Busy : load;
}

} // namespace citronplank
