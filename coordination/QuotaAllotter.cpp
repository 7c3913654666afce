#include "coordination/QuotaAllotter.h"

#include <algorithm>
#include <cmath>

namespace citronplank {

namespace {

/// By which a lease counts longer here than at the instance, for the drift of clocks.
constexpr milliseconds expiryMargin { 200 };
/// Share of a limit's rate that is leased. The rest becomes tokens for instances that ask for single ones.
constexpr double leasedShare = 0.75;
/// Share of an instance's arrivals that its lease covers. It asks for the rest, so that hardly any token of a lease
/// expires unused.
constexpr double leasedArrivals = 0.6;
constexpr double minLeasedArrivals = 1;  // per second; instances with fewer ask for each token
constexpr double minSpareArrivals = 0.2; // per second; instances with fewer get no token in advance
constexpr double leasedDepthShare = 0.5; // of a limit's depth; the rest is for tokens that are asked for
constexpr double minLeasedDepth = 1.5;   // with less, most tokens of a rate would be lost
constexpr double spareTokens = 2;        // kept by an instance without a rate, for the time without an allotter
constexpr milliseconds minRetryAfter { 50 };

} // namespace

void QuotaAllotter::setLimits(std::span<const Customer> customers, TimePoint now)
{
    std::set<std::string_view> limited;
    for (const auto& it : customers) {
        if (it.ratePerSecond <= 0 || !m_bounds.isEnabled())
            continue;
        limited.insert(it.name);
        auto [found, isNew] = m_accounts.try_emplace(it.name);
        auto& account = found->second;
        if (isNew) {
            account.updatedAt = now;
            account.isKnown = true; // beginTerm resets it
            account.tokens = m_bounds.depthOf(it);
        } else {
            settle(account, now);
        }
        account.limitRate = m_bounds.rateOf(it);
        account.limitDepth = m_bounds.depthOf(it);
        account.unlimitedSince.reset();
    }
    // Leases of removed customers may be in force for some time, and the customer may come back.
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        auto& since = it->second.unlimitedSince;
        if (!since && !limited.contains(it->first))
            since = now;
        bool isOver = since && now >= *since + quotaLeaseTime + quotaConfirmationTime + m_bounds.window;
        it = isOver ? m_accounts.erase(it) : std::next(it);
    }
}

void QuotaAllotter::beginTerm(bool hasHandoverTokens, TimePoint now)
{
    m_termStart = now;
    ++m_term;
    m_hasUnknown = true;
    for (auto& [customer, it] : m_accounts) {
        it.isKnown = false;
        it.leases.clear();
        it.rate = it.depth = it.arrivals = 0;
        it.tokens = hasHandoverTokens ? m_bounds.handoverTokens() : 0;
        it.updatedAt = it.promisedUntil = now;
    }
}

void QuotaAllotter::setInstances(std::set<std::string> names, bool isComplete)
{
    m_instances = std::move(names);
    m_isComplete = isComplete;
}

void QuotaAllotter::setLease(Account& account, const std::string& instance, const Lease& lease)
{
    endLease(account, instance);
    account.rate += lease.rate;
    account.depth += lease.depth;
    account.arrivals += lease.arrivals;
    account.nextExpiry = account.leases.empty() ? lease.until : std::min(account.nextExpiry, lease.until);
    account.leases[instance] = lease;
}

void QuotaAllotter::endLease(Account& account, const std::string& instance)
{
    if (account.leases.erase(instance) == 0)
        return;
    // Summed anew, so that rounding errors do not accumulate.
    account.rate = account.depth = account.arrivals = 0;
    for (const auto& [name, it] : account.leases) {
        account.rate += it.rate;
        account.depth += it.depth;
        account.arrivals += it.arrivals;
    }
}

void QuotaAllotter::expireLeases(Account& account, TimePoint now)
{
    if (account.leases.empty() || now < account.nextExpiry)
        return;
    std::vector<std::string> expired;
    auto next = TimePoint::max();
    for (const auto& [instance, it] : account.leases) {
        if (now >= it.until)
            expired.push_back(instance);
        else
            next = std::min(next, it.until);
    }
    for (const auto& it : expired)
        endLease(account, it);
    account.nextExpiry = next;
}

/// Adds the tokens that have arisen since the last call. Leases that expired meanwhile count as valid all the time.
void QuotaAllotter::settle(Account& it, TimePoint now) const
{
    auto elapsed = std::chrono::duration<double>(std::max(now - it.updatedAt, Duration::zero())).count();
    it.updatedAt = std::max(it.updatedAt, now);
    if (it.isKnown)
        it.tokens += std::max(0.0, it.limitRate - it.rate) * elapsed;
    expireLeases(it, now);
    if (it.isKnown)
        it.tokens = std::clamp(it.tokens, 0.0, std::max(0.0, it.limitDepth - it.depth));
}

/// Ends the time in which leases of an earlier term may be unknown, once all instances have reported, or all such
/// leases have expired.
void QuotaAllotter::learnLeases(TimePoint now)
{
    if (!m_hasUnknown)
        return;
    auto hasReported = [&](const std::string& name) {
        auto found = m_reported.find(name);
        return found != m_reported.end() && found->second.term == m_term;
    };
    bool allReported = m_isComplete && std::all_of(m_instances.begin(), m_instances.end(), hasReported);
    bool allExpired = now >= *m_termStart + quotaLeaseTime + quotaConfirmationTime + expiryMargin;
    if (!allReported && !allExpired)
        return;
    m_hasUnknown = false;
    // An instance that was restarted has forgotten what it admitted before.
    bool isUseKnown = std::all_of(m_instances.begin(), m_instances.end(), [&](const std::string& name) {
        auto found = m_reported.find(name);
        return found != m_reported.end() && found->second.coversWindow;
    });
    for (auto& [customer, it] : m_accounts) {
        if (it.isKnown)
            continue;
        settle(it, now);
        it.isKnown = true;
        it.tokens = 0;
        if (!allReported || !isUseKnown)
            continue;
        // What all instances have used in the last window and the tokens in force are within the depth.
        double used = 0;
        for (const auto& [instance, lease] : it.leases)
            used += lease.used;
        it.tokens = std::max(0.0, it.limitDepth - it.depth - used);
    }
}

std::optional<QuotaReply> QuotaAllotter::onReport(
    const std::string& name, std::uint64_t incarnation, const QuotaReport& report, TimePoint now)
{
    if (!m_termStart)
        return std::nullopt;
    auto& instance = m_reported[name];
    if (std::pair(incarnation, report.number) <= std::pair(instance.incarnation, instance.lastReport))
        return std::nullopt;
    instance.incarnation = incarnation;
    instance.lastReport = report.number;
    instance.term = m_term;
    instance.coversWindow = report.coversWindow;
    std::set<std::string> listed;
    for (const auto& it : report.demands) {
        auto found = m_accounts.find(it.customer);
        if (found == m_accounts.end() || !listed.insert(it.customer).second)
            continue;
        settle(found->second, now);
        setLease(found->second, name, { it.rate, it.depth, it.arrivals, it.used, now + quotaLeaseTime + expiryMargin });
    }
    for (const auto& it : instance.customers) {
        auto found = m_accounts.find(it);
        if (listed.contains(it) || found == m_accounts.end())
            continue;
        settle(found->second, now);
        endLease(found->second, name);
    }
    instance.customers = std::move(listed);
    learnLeases(now);
    QuotaReply reply { report.number, static_cast<std::uint32_t>(m_instances.size()), {} };
    for (const auto& it : report.demands) {
        auto found = m_accounts.find(it.customer);
        if (found != m_accounts.end() && !found->second.unlimitedSince)
            reply.grants.push_back(grant(found->second, name, it, now));
    }
    return reply;
}

/// Precondition: the lease of the instance is what its report states.
QuotaGrant QuotaAllotter::grant(
    Account& account, const std::string& instance, const QuotaDemand& demand, TimePoint now) const
{
    QuotaGrant result { .customer = demand.customer };
    auto leasable = leasedShare * account.limitRate;
    auto scale = std::min(1.0, leasable / std::max(leasable, leasedArrivals * account.arrivals));
    auto target = demand.arrivals < minLeasedArrivals ? 0 : leasedArrivals * demand.arrivals * scale;
    auto freeRate = account.isKnown ? std::max(0.0, leasable - account.rate) : 0;
    result.rate = std::min(target, demand.rate + freeRate);

    auto granted = std::min<double>(demand.wanted, std::floor(account.tokens));
    result.tokens = granted;
    account.tokens -= granted;
    auto freeDepth = account.isKnown ? std::max(0.0, leasedDepthShare * account.limitDepth - account.depth) : 0;
    auto depthByRate = std::min(demand.depth + freeDepth,
        std::max(minLeasedDepth,
            leasedDepthShare * account.limitDepth * result.rate / std::max(account.limitRate, result.rate)));
    if (result.rate <= 0 || depthByRate < minLeasedDepth)
        result.rate = depthByRate = 0;
    auto spareAbove = account.limitDepth / 2;
    if (account.isKnown && demand.arrivals >= minSpareArrivals && account.tokens > spareAbove) {
        auto missing = std::max(spareTokens, depthByRate) - demand.tokens;
        auto spare = std::clamp(missing, 0.0, account.tokens - spareAbove);
        result.tokens += spare;
        account.tokens -= spare;
    }
    // Depth for tokens that were kept here is free, and depth that keeps tokens here is not.
    auto unusedDepth = account.isKnown ? std::max(0.0, account.limitDepth - account.depth - account.tokens) : 0;
    result.depth = std::max(demand.tokens + result.tokens, std::min(depthByRate, demand.depth + unusedDepth));

    // The reply may get lost, so both the reported and the granted lease may be in force.
    auto lease = account.leases.at(instance);
    lease.rate = std::max(lease.rate, result.rate);
    lease.depth = std::max(lease.depth, result.depth);
    setLease(account, instance, lease);

    result.rejected = demand.wanted - static_cast<std::uint32_t>(granted);
    if (result.rejected + demand.denied == 0)
        return result;
    // Rejected requests are promised the next tokens in turn, so that their callers return in order.
    auto inflow = std::chrono::duration<double>(1 / std::max(account.limitRate - account.rate, account.limitRate / 8));
    auto first = std::max(account.promisedUntil, now) + std::chrono::duration_cast<Duration>(inflow);
    result.retryAfter
        = std::chrono::ceil<milliseconds>(std::clamp<Duration>(first - now, minRetryAfter, m_bounds.window));
    auto promised
        = std::min(inflow * (result.rejected + demand.denied), std::chrono::duration<double>(m_bounds.window));
    account.promisedUntil = std::min<TimePoint>(
        std::max(account.promisedUntil, now) + std::chrono::duration_cast<Duration>(promised), now + m_bounds.window);
    return result;
}

} // namespace citronplank
