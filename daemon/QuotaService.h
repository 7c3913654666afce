// The allotter of customers' rate limits at a control member: follows the leadership of the control log and answers the
// reports of entry instances while this member is the leader.
#pragma once

#include "coordination/QuotaAllotter.h"

#include <functional>

namespace citronplank {

/// What a control member knows of the leadership. Its members are called on one thread at a time.
struct QuotaLeadership {
    /// Term in which a quorum has confirmed this member as the leader within the last quotaConfirmationTime.
    std::function<std::optional<std::uint64_t>()> confirmedTerm;
    std::function<std::string()> leader; // last known; empty: none
    /// Live entry instances; absent if this member may not know all of them.
    std::function<std::optional<std::set<std::string>>()> entryInstances;
};

/// Not thread safe.
class QuotaService {
public:
    QuotaService(QuotaBounds bounds, QuotaLeadership leadership, TimePoint now);

    void setCustomers(std::span<const Customer> customers, TimePoint now) { m_allotter.setLimits(customers, now); }
    /// Must be called about every 200 ms.
    void onTimer(TimePoint now);
    /// Returns the encoded reply, or an empty string if there is none because this member is not the leader. Throws
    /// Error(BadRequest) on malformed input.
    std::string onReport(const std::string& instance, std::uint64_t incarnation, std::string_view body, TimePoint now);

private:
    void followLeadership(TimePoint now);

    QuotaBounds m_bounds;
    QuotaLeadership m_leadership;
    QuotaAllotter m_allotter;
    TimePoint m_startedAt;
    std::string m_leader;
    TimePoint m_leaderChangedAt;
    std::uint64_t m_term = 0;
    TimePoint m_confirmedAt;
    std::map<std::string, TimePoint> m_liveAt; // entry instances and when they were live last
};

} // namespace citronplank
