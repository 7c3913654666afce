#include "query/QueryPolicies.h"

namespace citronplank {

PolicySettings PolicySettings::baseline()
{
    PolicySettings it;
    it.replicas.rule = ReplicaRule::Random;
    it.replicas.ejection = false;
    it.hedge.enabled = false;
    it.retry = false;
    return it;
}

void ReplicaStatistics::setRules(const Rules& rules)
{
    m_rules = rules.services;
    for (auto& [service, budgets] : m_budgets) {
        const auto it = m_rules.find(service);
        const ServiceRules found = it == m_rules.end() ? ServiceRules {} : it->second;
        budgets.hedge.setPercent(found.hedgePercent);
        budgets.retry.setPercent(found.retryPercent);
    }
}

ReplicaStatistics::Budgets& ReplicaStatistics::budgetsOf(const std::string& service)
{
    const auto known = m_budgets.find(service);
    if (known != m_budgets.end())
        return known->second;
    const auto it = m_rules.find(service);
    const ServiceRules found = it == m_rules.end() ? ServiceRules {} : it->second;
    return m_budgets
        .emplace(
            service, Budgets { HedgePolicy(found.hedgePercent, m_settings.hedge), RetryBudget(found.retryPercent) })
        .first->second;
}

void ReplicaStatistics::onPartSent(const std::string& service, const std::string& leaf, TimePoint now)
{
    m_chooser.onSent(leaf, now);
    auto& budgets = budgetsOf(service);
    budgets.hedge.onPart();
    budgets.retry.onPart();
}

void ReplicaStatistics::onPartAnswered(
    const std::string& service, const std::string& leaf, Duration latency, TimePoint now)
{
    m_chooser.onAnswered(leaf, latency, now);
    budgetsOf(service).hedge.onLatency(latency);
}

void ReplicaStatistics::onPartAbandoned(
    const std::string& service, const std::string& leaf, Duration elapsed, TimePoint now)
{
    m_chooser.onAbandoned(leaf, elapsed, now);
    // Without the slower attempts of hedged parts, the percentile would shrink with each hedge and cause more hedges.
    if (elapsed > Duration::zero())
        budgetsOf(service).hedge.onLatency(elapsed);
}

} // namespace citronplank
