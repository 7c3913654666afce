#include "policy/FairShares.h"

#include <algorithm>

namespace citronplank {

ShareDecision FairShares::admit(const std::string& name, const Rules& rules, TimePoint now)
{
    removeIdle(now);
    auto [it, isNew] = m_customers.try_emplace(name);
    auto& customer = it->second;
    const auto rule = rules.customerShares.find(name);
    const double weight = rule == rules.customerShares.end() ? 1.0 : rule->second;
    m_totalWeight += weight - (isNew ? 0.0 : customer.weight);
    customer.weight = weight;
    const bool isFull = m_total >= m_settings.capacity;
    const bool isBorrowing = customer.inUse + 1 > shareOf(customer);
    auto decision = isFull ? ShareDecision::Full : ShareDecision::Admitted;
    if (m_settings.enabled && isBorrowing) {
        const bool othersHaveDemand = std::any_of(m_customers.begin(), m_customers.end(),
            [&](const auto& other) { return other.first != name && hasDemand(other.second, now); });
        if (isFull || othersHaveDemand)
            decision = ShareDecision::OverShare;
    }
    if (decision == ShareDecision::Admitted) {
        ++customer.inUse;
        ++m_total;
    } else if (decision == ShareDecision::Full) {
        customer.refusedAt = now;
    } else if (isNew) {
        m_totalWeight -= customer.weight;
        m_customers.erase(it);
    }
    return decision;
}

void FairShares::release(const std::string& name, TimePoint now)
{
    const auto it = m_customers.find(name);
    if (it == m_customers.end() || it->second.inUse == 0)
        return;
    --it->second.inUse;
    --m_total;
    if (it->second.inUse == 0 && !hasDemand(it->second, now)) {
        m_totalWeight -= it->second.weight;
        m_customers.erase(it);
    }
}

std::uint32_t FairShares::inUse(const std::string& name) const
{
    const auto it = m_customers.find(name);
    return it == m_customers.end() ? 0 : it->second.inUse;
}

/// Removes customers that have no queries in flight and no recent refusal, at most once per demand window.
void FairShares::removeIdle(TimePoint now)
{
    if (now < m_nextRemoval)
        return;
    m_nextRemoval = now + m_settings.demandWindow;
    std::erase_if(m_customers, [&](const auto& it) { return it.second.inUse == 0 && !hasDemand(it.second, now); });
    m_totalWeight = 0; // recomputed, so that rounding errors do not accumulate
    for (const auto& [name, customer] : m_customers)
        m_totalWeight += customer.weight;
}

bool FairShares::hasDemand(const Customer& it, TimePoint now) const
{
    return it.refusedAt && now < *it.refusedAt + m_settings.demandWindow && it.inUse < shareOf(it);
}

/// At least 1, so that a customer with a small weight is not starved.
double FairShares::shareOf(const Customer& it) const
{
    return m_totalWeight <= 0 ? 1.0 : std::max(1.0, m_settings.capacity * it.weight / m_totalWeight);
}

} // namespace citronplank
