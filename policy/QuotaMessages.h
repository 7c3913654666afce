// Messages between the entry instances, which admit requests of customers, and the allotter on the control leader,
// which divides each customer's rate limit among them. See docs/design/shared-budgets.md.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// Bounds of a customer's requests in each window, summed over all instances: at most
/// (rate * window + burst) * (1 + overage) + slack. The depth of all token buckets of a customer together, the tokens
/// of a new allotter and the reserve are parts of this sum, so that it holds whatever happens to messages.
struct QuotaBounds {
    Duration window { 0 }; // 0: customers are not limited
    double overage = 0;
    double slack = 0;

    bool isEnabled() const { return window > Duration::zero(); }
    /// Requests in one window on top of the rate that fill all token buckets of a customer.
    double depthOf(const Customer&) const;
    /// Rate at which tokens of a customer arise, per second. Lower than the limit only if that is needed for a depth of
    /// one request.
    double rateOf(const Customer&) const;
    /// Tokens per customer that an allotter may grant before it knows the leases of its predecessor.
    double handoverTokens() const;
    /// Number of instances that may admit one request of a customer per window without an allotter.
    std::size_t reserveInstances() const;
};

constexpr milliseconds quotaLeaseTime { 6000 };        // longer than an election or a partition of about 5 s
constexpr milliseconds quotaConfirmationTime { 1500 }; // an allotter grants nothing without a quorum for this long
constexpr milliseconds quotaReportInterval { 300 };

/// What an instance holds and needs of one customer's limit.
struct QuotaDemand {
    std::string customer;
    double rate = 0;          // held, tokens per second
    double depth = 0;         // held, maximum number of tokens
    double tokens = 0;        // held
    std::uint32_t wanted = 0; // requests that wait for a token
    std::uint32_t denied = 0; // requests rejected since the last report
    double arrivals = 0;      // per second, smoothed
    std::uint32_t used = 0;   // requests admitted during the last window
};

/// Report of an instance. It holds nothing of customers that are not listed.
struct QuotaReport {
    std::uint64_t number = 0; // greater than in earlier reports of this run of the instance
    std::vector<QuotaDemand> demands;
    bool coversWindow = true; // the instance has run for a window, so `used` counts all that it has admitted in it
};

/// Lease that replaces the one held before. It is valid for `quotaLeaseTime` from the time at which the instance sent
/// the report.
struct QuotaGrant {
    std::string customer;
    double rate = 0;
    double depth = 0;
    double tokens = 0;             // added to those held, up to `depth`
    std::uint32_t rejected = 0;    // of the waiting requests: there are no tokens for them
    milliseconds retryAfter { 0 }; // until there is a token for the first rejected one
};

struct QuotaReply {
    std::uint64_t number = 0;    // of the report
    std::uint32_t instances = 0; // entry instances that the allotter knows
    std::vector<QuotaGrant> grants;
};

/// Encoding as msgpack. The decoders throw Error(BadRequest) on malformed input or numbers that are negative or not
/// finite. Thread safe.
std::string encode(const QuotaReport&);
QuotaReport decodeQuotaReport(std::string_view);
std::string encode(const QuotaReply&);
QuotaReply decodeQuotaReply(std::string_view);

} // namespace citronplank
