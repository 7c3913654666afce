// The allotter of customers' rate limits at a control member: follows the leadership of the control log and answers the
// reports of entry instances while this member is the leader.
#pragma once

#include "coordination/QuotaAllotter.h"

#include <functional>

namespace citronplank {

/// A confirmation of this process as the leader by a quorum.
struct LeadershipConfirmation {
    std::uint64_t term = 0;
    std::uint64_t configuration = 0; // version in force when the term was confirmed for the first time; 0: none
    TimePoint at;
};

/// What a control member knows of the leadership. Its members are called on one thread at a time.
struct QuotaLeadership {
    /// The last confirmation, if it is younger than quotaConfirmationTime and this member is still the leader.
    std::function<std::optional<LeadershipConfirmation>()> confirmation;
    std::function<std::string()> leader; // last known; empty: none
    /// Live entry instances; absent if this member may not know all of them.
    std::function<std::optional<std::set<std::string>>()> entryInstances;
};

/// Not thread safe.
class QuotaService {
public:
    QuotaService(QuotaBounds bounds, QuotaLeadership leadership, TimePoint now);

    /// Sets the customers of a version of the configuration. A term does not begin before those are known that were
    /// limited at its start: who appears later is taken for a customer that has used nothing yet.
    void setCustomers(std::span<const Customer>, std::uint64_t configuration, TimePoint now);
    /// A version of the configuration is not used, so that the customers stay as they are.
    void keepCustomers(std::uint64_t configuration) { m_configuration = std::max(m_configuration, configuration); }
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
    std::uint64_t m_configuration = 0; // version that the customers are of
    TimePoint m_confirmedAt;
    std::map<std::string, TimePoint> m_liveAt; // entry instances and when they were live last
};

} // namespace citronplank
