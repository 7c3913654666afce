#include "policy/CapacityShares.h"

#include <cmath>

namespace citronplank {

namespace {

/// Time after which a use counts half. A customer that sends much more than usual for some seconds pays for about as
/// long, and its earlier restraint does not entitle it to more.
constexpr milliseconds useHalfLife { 2000 };
constexpr milliseconds removalInterval { 10000 };
constexpr double negligibleParts = 0.01;

} // namespace

double CapacityShares::decayed(const Use& it, TimePoint now)
{
    auto halvings = std::chrono::duration<double>(now - it.at) / std::chrono::duration<double>(useHalfLife);
    return it.parts * std::exp2(-halvings);
}

double CapacityShares::usedBy(std::string_view customer, TimePoint now) const
{
    auto found = m_uses.find(std::string(customer));
    return found == m_uses.end() ? 0 : decayed(found->second, now);
}

void CapacityShares::onUse(std::string_view customer, double parts, TimePoint now)
{
    if (now >= m_nextRemoval) {
        m_nextRemoval = now + removalInterval;
        std::erase_if(m_uses, [&](const auto& it) { return decayed(it.second, now) < negligibleParts; });
    }
    auto& it = m_uses[std::string(customer)];
    it = { decayed(it, now) + parts, now };
}

bool CapacityShares::precedes(const CapacityClaim& a, const CapacityClaim& b, TimePoint now) const
{
    if (a.priority != b.priority)
        return a.priority < b.priority;
    if (a.customer == b.customer)
        return a.arrivedAt < b.arrivedAt;
    auto usedByA = usedBy(a.customer, now);
    auto usedByB = usedBy(b.customer, now);
    return usedByA != usedByB ? usedByA < usedByB : a.customer < b.customer;
}

} // namespace citronplank
