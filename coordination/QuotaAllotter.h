// Divides the rate limits of customers among the entry instances. Runs on the leader of the control log.
#pragma once

#include "policy/QuotaMessages.h"

#include <unordered_map>

namespace citronplank {

/// For each customer, the tokens of all instances and those kept here never exceed the depth of the limit, and the
/// rates at which they arise never exceed its rate, so that no window contains more requests than both allow. Leases
/// count until they have expired, whatever happened to the messages. An allotter that takes over knows no leases: until
/// all instances that may hold one have reported, or all unknown leases have expired, it only renews what instances
/// report to hold, and grants a few tokens of its own. See docs/design/shared-budgets.md. Not thread safe.
class QuotaAllotter {
public:
    explicit QuotaAllotter(QuotaBounds bounds)
        : m_bounds(bounds)
    {
    }

    /// Replaces the limits. A customer that gets its first limit during a term holds no leases yet; so the term must
    /// not have begun before the customers were set that were limited at its beginning.
    void setLimits(std::span<const Customer> customers, TimePoint now);
    /// Begins a term as the allotter; leases of an earlier one may be in force. `hasHandoverTokens` is false if an
    /// earlier allotter may have granted its handover tokens within the last window.
    void beginTerm(bool hasHandoverTokens, TimePoint now);
    void endTerm() { m_termStart.reset(); }
    bool isInTerm() const { return m_termStart.has_value(); }
    /// Sets the names of the entry instances that may hold a lease, and whether there can be no others. Instances that
    /// are not live count for as long as their leases may be valid.
    void setInstances(std::set<std::string> names, bool isComplete);
    /// Handles the report of an instance; `incarnation` is greater after each restart of it. Returns nothing outside of
    /// a term, and for a report that is not newer than the last one.
    std::optional<QuotaReply> onReport(
        const std::string& instance, std::uint64_t incarnation, const QuotaReport&, TimePoint now);

private:
    struct Lease {
        double rate = 0; // the most that the instance may hold, whichever replies it has received
        double depth = 0;
        double arrivals = 0;
        std::uint32_t used = 0; // in the window before the report
        TimePoint until;
    };
    struct Account {
        double limitRate = 0;
        double limitDepth = 0;
        double tokens = 0;
        bool isKnown = false; // all leases in force are in `leases`
        TimePoint updatedAt;
        TimePoint promisedUntil; // tokens until then are promised to rejected requests
        TimePoint nextExpiry;    // no lease expires earlier
        std::map<std::string, Lease> leases;
        double rate = 0; // sums of the leases
        double depth = 0;
        double arrivals = 0;
        std::optional<TimePoint> unlimitedSince; // the configuration has no limit for the customer any more
    };
    struct Instance {
        std::uint64_t incarnation = 0;
        std::uint64_t lastReport = 0;
        std::uint64_t term = 0;          // of the last report
        bool coversWindow = false;       // see QuotaReport
        std::set<std::string> customers; // with a lease
    };
    static void expireLeases(Account&, TimePoint now);
    void settle(Account&, TimePoint now) const;
    static void setLease(Account&, const std::string& instance, const Lease&);
    static void endLease(Account&, const std::string& instance);
    void learnLeases(TimePoint now);
    QuotaGrant grant(Account&, const std::string& instance, const QuotaDemand&, TimePoint now) const;

    QuotaBounds m_bounds;
    std::unordered_map<std::string, Account> m_accounts; // by customer
    std::unordered_map<std::string, Instance> m_reported;
    std::set<std::string> m_instances;
    bool m_isComplete = false;
    bool m_hasUnknown = false; // an account is not known
    std::uint64_t m_term = 0;
    std::optional<TimePoint> m_termStart;
};

} // namespace citronplank
