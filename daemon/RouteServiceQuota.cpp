// Rate limits of customers: takes a token for each request, and exchanges reports and replies with the allotter.
#include "daemon/RouteService.h"

#include <algorithm>

namespace citronplank {

namespace {

/// Share of the latency objective that a request may wait for a token. The bounds are the time that a small instance
/// needs for an exchange with the allotter, and the time after which that has probably failed.
constexpr double maxTokenWaitShare = 0.2;
constexpr milliseconds minTokenWait { 25 };
constexpr milliseconds maxTokenWait { 100 };
constexpr milliseconds metricsInterval { 1000 };
constexpr std::size_t maxCustomerLabels = 20;     // bounds the size of the metrics with thousands of customers
constexpr milliseconds quotaTimerInterval { 25 }; // while requests wait

} // namespace

void RouteService::setQuota(QuotaBounds bounds, QuotaLink link)
{
    m_quota.emplace(m_instance, bounds, Clock::now(), m_lastId);
    m_quotaLink = std::move(link);
}

/// Admits a request that its customer's rate limit allows, lets it wait for the allotter, or rejects it.
void RouteService::admitWithinLimit(WaitingRequest it)
{
    const auto& customer = it.customer.name;
    if (!m_quota || !m_quota->isLimited(customer)) {
        admitToRoute(std::move(it));
        return;
    }
    auto now = Clock::now();
    switch (m_quota->onArrival(customer, now)) {
    case QuotaDecision::Admitted:
        it.hasToken = true;
        admitToRoute(std::move(it));
        return;
    case QuotaDecision::Rejected:
        rejectOverLimit(it);
        return;
    case QuotaDecision::Ask:
        break;
    }
    auto wait = std::chrono::duration_cast<Duration>(maxTokenWaitShare * it.route->objective);
    it.tokenDeadline = now + std::clamp<Duration>(wait, minTokenWait, maxTokenWait);
    m_waitingForToken[customer].push_back(std::move(it));
    checkQuota();
}

void RouteService::rejectOverLimit(const WaitingRequest& it)
{
    m_counters.counter("route_rejected_by_limit_total").add();
    refuse(it.caller, it.request, it.responder,
        { .error = ErrorKind::ShareExceeded,
            .reason = "the customer is at its rate limit",
            .retryAfter = m_quota->reject(it.customer.name, Clock::now()) });
}

/// Admits the waiting requests of a customer for which there are tokens. Rejects up to `refusals` of the others, and
/// those whose deadline has passed.
void RouteService::resumeWaiting(const std::string& customer, std::uint32_t refusals)
{
    auto node = m_waitingForToken.extract(customer);
    if (!node)
        return;
    std::deque<WaitingRequest> left;
    for (auto& it : node.mapped()) {
        auto now = Clock::now();
        if (it.responder.isCallerDisconnected()) {
            m_counters.counter("route_callers_gone_total").add();
            --m_runningCount;
        } else if (!authorize(it.customer, it.request, *it.route)) {
            refuseUnauthorized(it.caller, it.request, it.responder);
        } else if (!m_quota->isLimited(it.customer.name)) {
            admitToRoute(std::move(it));
        } else if (m_quota->tryTake(it.customer.name, now)
            || (now >= it.tokenDeadline && m_quota->tryTakeReserve(it.customer.name, now))) {
            it.hasToken = true;
            admitToRoute(std::move(it));
        } else if (refusals > 0 || now >= it.tokenDeadline) {
            refusals -= refusals > 0 ? 1 : 0;
            rejectOverLimit(it);
        } else {
            left.push_back(std::move(it));
        }
    }
    if (!left.empty())
        m_waitingForToken[customer] = std::move(left);
}

/// Sends a report if one is due, and ends the wait of requests for which no reply has arrived in time.
void RouteService::checkQuota()
{
    if (!m_quota)
        return;
    std::vector<std::string> customers;
    std::unordered_map<std::string, std::uint32_t> counts;
    for (const auto& [customer, waiting] : m_waitingForToken)
        customers.push_back(customer);
    for (const auto& it : customers)
        resumeWaiting(it, 0);
    for (const auto& [customer, waiting] : m_waitingForToken)
        counts[customer] = static_cast<std::uint32_t>(waiting.size());
    auto allotter = m_quotaLink.allotter();
    if (auto now = Clock::now(); !allotter.empty() && m_quota->isReportDue(allotter, !counts.empty(), now))
        m_quotaLink.send(allotter, encode(m_quota->startReport(allotter, counts, now)));
    if (counts.empty())
        return;
    m_quotaTimer.expires_after(quotaTimerInterval);
    m_quotaTimer.async_wait([this](const std::error_code& ec) {
        if (!ec)
            checkQuota();
    });
}

std::string RouteService::customerMetrics() const
{
    return m_customerMetrics.with([](const std::string& it) { return it; });
}

void RouteService::updateCustomerMetrics()
{
    auto now = Clock::now();
    if (!m_quota || now < m_metricsAt + metricsInterval)
        return;
    m_metricsAt = now;
    std::vector<std::pair<std::string, QuotaStatus>> all;
    for (auto& it : m_quota->status(now))
        all.emplace_back(it);
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.second.admitted + a.second.rejected > b.second.admitted + b.second.rejected;
    });
    std::string text;
    auto append = [&](std::string_view name, const std::string& customer, const std::string& value) {
        text.append("citronplank_customer_").append(name).append("{customer=\"");
        for (char c : customer)
            text.append(c == '"' || c == '\\' ? "\\" : "").push_back(c);
        text.append("\"} ").append(value).append("\n");
    };
    auto appendAll = [&](const std::string& customer, const QuotaStatus& it, std::uint64_t capacityRejections) {
        append("admitted_total", customer, std::to_string(it.admitted));
        append("rejected_by_limit_total", customer, std::to_string(it.rejected));
        append("rejected_for_capacity_total", customer, std::to_string(capacityRejections));
        append("leased_rate", customer, formatDecimal(it.rate));
        append("leased_tokens", customer, formatDecimal(it.tokens));
    };
    QuotaStatus others;
    std::uint64_t othersCapacity = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const auto& [customer, it] = all[i];
        auto found = m_capacityRejections.find(customer);
        auto capacity = found == m_capacityRejections.end() ? 0 : found->second;
        if (i < maxCustomerLabels) {
            appendAll(customer, it, capacity);
            continue;
        }
        others.admitted += it.admitted;
        others.rejected += it.rejected;
        others.rate += it.rate;
        others.tokens += it.tokens;
        othersCapacity += capacity;
    }
    if (all.size() > maxCustomerLabels)
        appendAll("other", others, othersCapacity);
    m_customerMetrics.with([&](std::string& it) { it = std::move(text); });
}

void RouteService::onQuotaReply(QuotaReply reply)
{
    asio::post(m_strand, [this, reply = std::move(reply)] {
        if (!m_quota || !m_quota->onReply(reply, Clock::now()))
            return;
        checkView();
        for (const auto& it : reply.grants)
            resumeWaiting(it.customer, it.rejected);
        checkQuota();
    });
}

} // namespace citronplank
