// Order in which waiting requests of customers get capacity when there is too little of it.
#pragma once

#include "citronplank.h"

#include <unordered_map>

namespace citronplank {

/// A waiting request, as far as its order depends on it.
struct CapacityClaim {
    std::uint32_t priority = 0; // 0 is the highest
    std::string_view customer;  // empty: requests without a customer count as one
    TimePoint arrivedAt;
};

/// The lower priority number comes first. Within a priority the customer that has used less capacity recently comes
/// first, so that customers with waiting requests get equal shares, whatever their numbers of requests. Requests of one
/// customer keep their order of arrival.
/// Not thread safe.
class CapacityShares {
public:
    /// Records the use of capacity by a customer, in parts sent to leaves.
    void onUse(std::string_view customer, double parts, TimePoint now);
    /// Whether the first claim is served before the second one.
    bool precedes(const CapacityClaim&, const CapacityClaim&, TimePoint now) const;

private:
    struct Use {
        double parts = 0; // decayed, at the time `at`
        TimePoint at;
    };
    static double decayed(const Use&, TimePoint now);
    double usedBy(std::string_view customer, TimePoint now) const;

    std::unordered_map<std::string, Use> m_uses; // by customer
    TimePoint m_nextRemoval;
};

} // namespace citronplank
