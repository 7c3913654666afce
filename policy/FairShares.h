// Weighted shares of an entry's capacity per customer.
#pragma once

#include "citronplank.h"

namespace citronplank {

struct FairSharesSettings {
    bool enabled = true;                // false: baseline, first come first served up to the capacity
    std::uint32_t capacity = 512;       // queries in flight at this entry
    milliseconds demandWindow { 1000 }; // a customer refused this recently still counts as wanting its share
};

enum class ShareDecision : std::uint8_t {
    Admitted,
    OverShare, // others are waiting for capacity that this customer borrows
    Full,      // the capacity is used up; within the customer's share
};

/// Divides the capacity among active customers by weight. A customer is active while it has queries in flight or was
/// refused within the demand window. Unused capacity may be borrowed; as soon as another customer below its share has
/// been refused, borrowers get nothing until that customer has reached its share or its window is over.
/// Not thread safe; callers serialize calls.
class FairShares {
public:
    explicit FairShares(FairSharesSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Admits one query of a customer or refuses it. Each admitted one is followed by one `release`.
    ShareDecision admit(const std::string& customer, const Rules&, TimePoint now);
    void release(const std::string& customer, TimePoint now);
    std::uint32_t inUse(const std::string& customer) const;
    std::uint32_t totalInUse() const { return m_total; }

private:
    struct Customer {
        std::uint32_t inUse = 0;
        double weight = 1;
        std::optional<TimePoint> refusedAt; // while below its share
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
