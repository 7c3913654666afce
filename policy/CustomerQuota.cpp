#include "policy/CustomerQuota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronplank {

namespace {

constexpr milliseconds arrivalsTime { 2000 };     // over which arrivals are smoothed
constexpr milliseconds demandTime { 4000 };       // a customer without arrivals for this long holds no lease
constexpr milliseconds maxRejectTime { 200 };     // between two questions for a customer at its limit
constexpr milliseconds intervalPerInstance { 3 }; // at most 330 reports per second reach the allotter
constexpr int slicesPerWindow = 10;               // of the counts of admitted requests
constexpr milliseconds replyTimeout { 100 };      // then the report is repeated
constexpr milliseconds minRetryAfter { 50 };
constexpr milliseconds unknownRetryAfter { 500 }; // half an election
constexpr double rounding = 1e-9;

} // namespace

CustomerQuota::CustomerQuota(std::string instance, QuotaBounds bounds, TimePoint now, std::uint64_t lastReport)
    : m_instance(std::move(instance))
    , m_bounds(bounds)
    , m_startedAt(now)
    , m_lastReport(lastReport)
{
}

void CustomerQuota::setLimits(std::span<const Customer> customers, TimePoint now)
{
    std::set<std::string_view> limited;
    for (const auto& it : customers) {
        if (it.ratePerSecond <= 0 || !m_bounds.isEnabled())
            continue;
        limited.insert(it.name);
        auto& account = settled(it.name, now);
        auto rate = m_bounds.rateOf(it);
        auto depth = m_bounds.depthOf(it);
        if (account.limitRate > rate)
            account.rate *= rate / account.limitRate;
        if (account.limitDepth > depth)
            account.depth *= depth / account.limitDepth;
        account.tokens = std::min(account.tokens, account.depth);
        account.limitRate = rate;
        account.limitDepth = depth;
    }
    std::erase_if(m_accounts, [&](const auto& it) { return !limited.contains(it.first); });
}

/// Instances that are not live any more count too: they may only be out of reach, and then use the reserve as well.
void CustomerQuota::setInstances(std::span<const std::string> names) { m_instances.insert(names.begin(), names.end()); }

CustomerQuota::Account& CustomerQuota::settled(const std::string& customer, TimePoint now)
{
    auto& account = m_accounts[customer];
    settle(account, now);
    return account;
}

void CustomerQuota::settle(Account& it, TimePoint now) const
{
    if (now >= it.validUntil) {
        it.rate = it.depth = it.tokens = 0;
    } else if (now > it.updatedAt) {
        auto elapsed = std::chrono::duration<double>(now - it.updatedAt).count();
        it.tokens = std::min(it.tokens + it.rate * elapsed, it.depth);
    }
    it.updatedAt = std::max(it.updatedAt, now);
}

std::int64_t CustomerQuota::sliceOf(TimePoint at) const
{
    return at.time_since_epoch() / (m_bounds.window / slicesPerWindow);
}

void CustomerQuota::countUse(Account& it, TimePoint now) const
{
    ++it.admitted;
    ++it.uses[sliceOf(now)];
    while (it.uses.begin()->first < sliceOf(now) - slicesPerWindow)
        it.uses.erase(it.uses.begin());
}

QuotaDecision CustomerQuota::onArrival(const std::string& customer, TimePoint now)
{
    auto& it = settled(customer, now);
    auto elapsed = it.seenAt ? now - *it.seenAt : Duration(arrivalsTime);
    auto inTimes = std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(arrivalsTime);
    it.arrivals = it.arrivals * std::exp(-inTimes) + 1 / std::chrono::duration<double>(arrivalsTime).count();
    it.seenAt = now;
    if (tryTake(customer, now))
        return QuotaDecision::Admitted;
    return now < it.rejectsUntil ? QuotaDecision::Rejected : QuotaDecision::Ask;
}

bool CustomerQuota::tryTake(const std::string& customer, TimePoint now)
{
    auto& it = settled(customer, now);
    if (it.tokens < 1 - rounding)
        return false;
    it.tokens = std::max(0.0, it.tokens - 1);
    countUse(it, now);
    return true;
}

/// The instances with the reserve of a customer are those with the highest hashes of all that were ever known here. The
/// same ones result at all instances that know all others; an instance that may know too few does not use it.
bool CustomerQuota::tryTakeReserve(const std::string& customer, TimePoint now)
{
    auto& it = settled(customer, now);
    if (now < m_startedAt + m_bounds.window || m_knownToAllotter == 0 || m_instances.size() < m_knownToAllotter
        || (it.reserveUsedAt && now <= *it.reserveUsedAt + m_bounds.window))
        return false;
    auto hashOf = [&](const std::string& name) { return hash64(name, hash64(customer)); };
    auto own = hashOf(m_instance);
    auto higher = std::count_if(m_instances.begin(), m_instances.end(),
        [&](const std::string& name) { return name != m_instance && hashOf(name) >= own; });
    if (static_cast<std::size_t>(higher) >= m_bounds.reserveInstances())
        return false;
    it.reserveUsedAt = now;
    countUse(it, now);
    return true;
}

void CustomerQuota::refund(const std::string& customer, TimePoint now)
{
    auto found = m_accounts.find(customer);
    if (found == m_accounts.end())
        return;
    auto& it = found->second;
    settle(it, now);
    it.tokens = std::min(it.tokens + 1, it.depth);
    --it.admitted;
}

milliseconds CustomerQuota::reject(const std::string& customer, TimePoint now)
{
    auto& it = settled(customer, now);
    ++it.rejected;
    ++it.deniedSinceReport;
    if (now >= it.rejectsUntil)
        return unknownRetryAfter;
    auto wait = std::max<Duration>(it.promisedUntil - now, minRetryAfter);
    auto perRequest = std::chrono::duration<double>(1 / std::max(it.limitRate, rounding));
    it.promisedUntil = std::min<TimePoint>(now + wait
            + std::chrono::duration_cast<Duration>(
                std::min(perRequest, std::chrono::duration<double>(m_bounds.window))),
        now + m_bounds.window);
    return std::chrono::ceil<milliseconds>(wait);
}

bool CustomerQuota::isListed(const Account& it, TimePoint now) { return it.seenAt && now < *it.seenAt + demandTime; }

bool CustomerQuota::isReportDue(std::string_view allotter, bool hasWaiting, TimePoint now) const
{
    auto age = now - m_reportSentAt;
    if (hasWaiting && (!m_isWaitingForReply || age >= replyTimeout))
        return true;
    if (m_accounts.empty())
        return false;
    if (allotter != m_confirmedBy)
        return age >= replyTimeout;
    // Longer with many instances, since one process answers all.
    auto interval = std::max<Duration>(quotaReportInterval, m_knownToAllotter * intervalPerInstance);
    return age >= interval
        && std::any_of(m_accounts.begin(), m_accounts.end(), [&](const auto& it) { return isListed(it.second, now); });
}

QuotaReport CustomerQuota::startReport(
    std::string allotter, const std::unordered_map<std::string, std::uint32_t>& waiting, TimePoint now)
{
    m_allotter = std::move(allotter);
    m_isWaitingForReply = true;
    QuotaReport report { ++m_lastReport, {}, now - m_startedAt >= m_bounds.window };
    m_reportSentAt = now;
    for (auto& [customer, it] : m_accounts) {
        settle(it, now);
        if (!isListed(it, now)) {
            it.rate = it.depth = it.tokens = 0;
            continue;
        }
        auto wanted = waiting.find(customer);
        std::uint32_t used = 0;
        for (const auto& [slice, n] : it.uses)
            used += slice >= sliceOf(now) - slicesPerWindow ? n : 0;
        auto silence = std::chrono::duration<double>(now - *it.seenAt) / std::chrono::duration<double>(arrivalsTime);
        report.demands.push_back({ customer, it.rate, it.depth, it.tokens, wanted == waiting.end() ? 0 : wanted->second,
            std::exchange(it.deniedSinceReport, 0), it.arrivals * std::exp(-silence), used });
    }
    return report;
}

bool CustomerQuota::onReply(const QuotaReply& reply, TimePoint now)
{
    if (reply.number != m_lastReport || !std::exchange(m_isWaitingForReply, false))
        return false;
    m_confirmedBy = m_allotter;
    m_knownToAllotter = reply.instances;
    for (const auto& grant : reply.grants) {
        auto found = m_accounts.find(grant.customer);
        if (found == m_accounts.end())
            continue;
        auto& it = found->second;
        settle(it, now);
        it.rate = std::min(grant.rate, it.limitRate);
        it.depth = std::min(grant.depth, it.limitDepth);
        it.tokens = std::min(it.tokens + grant.tokens, it.depth);
        it.validUntil = m_reportSentAt + quotaLeaseTime;
        settle(it, now); // ends the lease at once if the reply is that late
        if (grant.rejected == 0) {
            it.rejectsUntil = TimePoint();
            continue;
        }
        it.rejectsUntil = now + std::clamp<Duration>(grant.retryAfter, minRetryAfter, maxRejectTime);
        it.promisedUntil = now + grant.retryAfter;
    }
    return true;
}

std::map<std::string, QuotaStatus> CustomerQuota::status(TimePoint now) const
{
    std::map<std::string, QuotaStatus> result;
    for (const auto& [customer, account] : m_accounts) {
        if (!account.seenAt)
            continue;
        auto it = account;
        settle(it, now);
        result[customer] = { it.admitted, it.rejected, it.rate, it.tokens };
    }
    return result;
}

} // namespace citronplank
