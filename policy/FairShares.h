// Weighted fair shares of an entry instance's capacity per customer.
#pragma once

#include "citronplank.h"

namespace citronplank {

struct FairSharesSettings {
    bool enabled = true;                // false: first come, first served up to the capacity (baseline for comparison)
    std::uint32_t capacity = 512;       // queries in flight at this instance
    milliseconds demandWindow { 1000 }; // a customer that was refused this recently has unmet demand
};

enum class ShareDecision : std::uint8_t {
    Admitted,
    OverShare, // above the customer's share, and the capacity is full or other customers have unmet demand
    Full,      // the capacity is full, although the customer is within its share
};

/// Divides the capacity among active customers by weight. A customer is active while it has queries in flight or was
/// refused within the demand window. Customers may borrow unused capacity. Once a customer below its share has been
/// refused, borrowers are refused until that customer has reached its share or its demand window is over.
/// Not thread safe.
class FairShares {
public:
    explicit FairShares(FairSharesSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Admits or refuses one query of a customer. Each admitted query needs one call of `release`.
    ShareDecision admit(const std::string& customer, const Rules&, TimePoint now);
    void release(const std::string& customer, TimePoint now);
    std::uint32_t inUse(const std::string& customer) const;
    std::uint32_t totalInUse() const { return m_total; }

private:
    struct Customer {
        std::uint32_t inUse = 0;
        double weight = 1;
        std::optional<TimePoint> refusedAt; // last refusal below its share
    };

    void removeIdle(TimePoint now);
    bool hasDemand(const Customer&, TimePoint now) const;
    double shareOf(const Customer&) const;

    FairSharesSettings m_settings;
    std::map<std::string, Customer> m_customers; // active ones
    double m_totalWeight = 0;
    std::uint32_t m_total = 0;
    TimePoint m_nextRemoval;
};

} // namespace citronplank
