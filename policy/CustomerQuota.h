// Admission of customers' requests at one instance, from the leases that it holds of their rate limits.
#pragma once

#include "policy/QuotaMessages.h"

#include <unordered_map>

namespace citronplank {

enum class QuotaDecision : std::uint8_t {
    Admitted, // a token was taken
    Ask,      // no token here: request one from the allotter by a report
    Rejected, // the limit is reached; see retryAfter
};

/// Counts since the start, and what is held now, of one customer.
struct QuotaStatus {
    std::uint64_t admitted = 0;
    std::uint64_t rejected = 0;
    double rate = 0;
    double tokens = 0;
};

/// Takes tokens for requests and exchanges reports and replies with the allotter. Tokens arise at the rate of the
/// lease, end with it, and are only ever added by a reply to the newest report. Not thread safe.
class CustomerQuota {
public:
    /// `instance` is the name of this instance. Reports are numbered from `lastReport` on, which must be greater than
    /// the numbers of earlier runs of the instance, so that replies to those are void.
    CustomerQuota(std::string instance, QuotaBounds bounds, TimePoint now, std::uint64_t lastReport = 0);

    /// Replaces the limits. Leases of a customer whose limit is lowered shrink in proportion at once.
    void setLimits(std::span<const Customer> customers, TimePoint now);
    bool isLimited(const std::string& customer) const { return m_accounts.contains(customer); }
    /// Sets the names of all live entry instances.
    void setInstances(std::span<const std::string> names);

    /// Counts an arrival and takes a token if possible. Precondition: the customer is limited, as for the methods
    /// below.
    QuotaDecision onArrival(const std::string& customer, TimePoint now);
    /// Takes a token for a request that waits since its arrival.
    bool tryTake(const std::string& customer, TimePoint now);
    /// Admits a request from the reserve, which a few instances may use while no allotter is in reach.
    bool tryTakeReserve(const std::string& customer, TimePoint now);
    /// Returns the token of a request that was admitted, but has not run and will not.
    void refund(const std::string& customer, TimePoint now);
    /// Counts a rejection and returns the time after which a token is likely to be available. Customers are promised
    /// one token each time.
    milliseconds reject(const std::string& customer, TimePoint now);

    /// Starts a new report to an allotter, to which only the reply counts from now on. `waiting` counts the waiting
    /// requests by customer.
    QuotaReport startReport(
        std::string allotter, const std::unordered_map<std::string, std::uint32_t>& waiting, TimePoint now);
    /// Applies the reply to the newest report. Returns false if it is a reply to another one.
    bool onReply(const QuotaReply&, TimePoint now);
    /// Whether to send a report now: at once if requests wait and no reply is outstanding, else in intervals while
    /// customers are active. An allotter that has not replied yet gets a report in any case, because it must learn who
    /// holds leases. `allotter` is its name.
    bool isReportDue(std::string_view allotter, bool hasWaiting, TimePoint now) const;

    /// Status by customer, of those that have sent requests.
    std::map<std::string, QuotaStatus> status(TimePoint now) const;

private:
    struct Account {
        double limitRate = 0; // of all instances together
        double limitDepth = 0;
        double rate = 0; // the lease
        double depth = 0;
        double tokens = 0;
        TimePoint updatedAt;
        TimePoint validUntil;
        double arrivals = 0; // per second, smoothed, at `seenAt`
        std::optional<TimePoint> seenAt;
        TimePoint rejectsUntil; // the allotter has no tokens until then
        TimePoint promisedUntil;
        std::optional<TimePoint> reserveUsedAt;
        std::uint32_t deniedSinceReport = 0;
        std::map<std::int64_t, std::uint32_t> uses; // by slice of the window
        std::uint64_t admitted = 0;
        std::uint64_t rejected = 0;
    };
    Account& settled(const std::string& customer, TimePoint now);
    void settle(Account&, TimePoint now) const;
    void countUse(Account&, TimePoint now) const;
    std::int64_t sliceOf(TimePoint) const;
    static bool isListed(const Account&, TimePoint now);

    std::string m_instance;
    QuotaBounds m_bounds;
    TimePoint m_startedAt;
    std::unordered_map<std::string, Account> m_accounts; // of the limited customers
    std::set<std::string> m_instances;                   // all entry instances ever known to this process
    std::uint32_t m_knownToAllotter = 0;                 // as of the last reply; 0: there was none
    std::uint64_t m_lastReport = 0;
    std::string m_allotter;    // that the newest report is for
    std::string m_confirmedBy; // the allotter that has replied last
    TimePoint m_reportSentAt;
    bool m_isWaitingForReply = false;
};

} // namespace citronplank
