#include "daemon/QuotaService.h"

#include "daemon/Logging.h"

namespace citronplank {

namespace {

/// For this long an instance that is not live any more may hold a lease.
constexpr milliseconds maxLeaseAge = quotaLeaseTime + quotaConfirmationTime;

} // namespace

QuotaService::QuotaService(QuotaBounds bounds, QuotaLeadership leadership, TimePoint now)
    : m_bounds(bounds)
    , m_leadership(std::move(leadership))
    , m_allotter(bounds)
    , m_startedAt(now)
    , m_leaderChangedAt(now)
{
}

/// Begins or ends the term of the allotter. A leader without a confirmation for some time may have had a successor, so
/// that it begins a new term.
void QuotaService::followLeadership(TimePoint now)
{
    auto changedAt = m_leaderChangedAt;
    if (auto leader = m_leadership.leader(); leader != m_leader) {
        m_leader = std::move(leader);
        m_leaderChangedAt = now;
    }
    auto confirmation = m_leadership.confirmation();
    if (!confirmation || m_configuration < confirmation->configuration) {
        m_allotter.endTerm();
        return;
    }
    auto term = confirmation->term;
    bool isContinued = m_allotter.isInTerm() && term == m_term && now - m_confirmedAt < quotaConfirmationTime;
    m_confirmedAt = now;
    if (isContinued)
        return;
    m_term = term;
    m_leaderChangedAt = now;
    m_allotter.beginTerm(now - changedAt >= m_bounds.window, now);
    log(LogLevel::Info, "quota", "This member allots the customers' rate limits; term=" + std::to_string(m_term));
}

void QuotaService::setCustomers(std::span<const Customer> customers, std::uint64_t configuration, TimePoint now)
{
    m_allotter.setLimits(customers, now);
    keepCustomers(configuration);
}

void QuotaService::onTimer(TimePoint now)
{
    followLeadership(now);
    auto live = m_leadership.entryInstances();
    for (const auto& it : live.value_or(std::set<std::string>()))
        m_liveAt[it] = now;
    std::erase_if(m_liveAt, [&](const auto& it) { return now - it.second >= maxLeaseAge; });
    std::set<std::string> names;
    for (const auto& [name, at] : m_liveAt)
        names.insert(name);
    m_allotter.setInstances(std::move(names), live && now - m_startedAt >= maxLeaseAge);
}

std::string QuotaService::onReport(
    const std::string& instance, std::uint64_t incarnation, std::string_view body, TimePoint now)
{
    followLeadership(now);
    auto reply = m_allotter.onReport(instance, incarnation, decodeQuotaReport(body), now);
    return reply ? encode(*reply) : std::string();
}

} // namespace citronplank
