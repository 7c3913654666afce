// The inner level of a gather: an entry asks a peer in another zone for the parts that leaves of that zone hold. The
// peer merges them, so that one small answer crosses between zones instead of a body for each shard.
#pragma once

#include "query/RelayMessages.h"
#include "query/RouteExecution.h"

namespace citronplank {

struct RelayActions {
    std::vector<RouteSend> sends;
    std::vector<std::uint64_t> cancels; // see RouteActions
    std::vector<RelayAnswer> answers;
    std::optional<TimePoint> nextTimer;
    bool finished = false;
};

/// Runs one relay request at the peer. Each part is sent once, to a leaf of the own zone: hedges and retries are the
/// entry's, which knows what the request may still cost.
/// Not thread safe: callers serialize the calls with those of the policies, which must outlive this object.
class RelayedGather {
public:
    /// `firstAttempt`: see RouteExecution.
    RelayedGather(RelayRequest request, std::uint64_t firstAttempt, RoutePolicies& policies);

    /// Precondition: called once, first.
    RelayActions start(TimePoint now);
    RelayActions onResult(AttemptResult, TimePoint now);
    RelayActions onTimer(TimePoint now);
    /// The entry has no more use for the answer.
    RelayActions cancel();

    const std::string& leafOf(std::uint64_t attempt) const { return m_attempts.at(attempt - m_firstAttempt).leaf; }

private:
    struct Attempt {
        std::uint32_t service = 0;
        std::string leaf;
        TimePoint sentAt;
        bool ended = false;
    };
    RelayActions settle(RelayActions, TimePoint now);
    void emitBatch(RelayActions&);

    RelayRequest m_request;
    Route m_route; // name and objective only
    std::uint64_t m_firstAttempt;
    RoutePolicies& m_policies;
    TimePoint m_batchAt;
    TimePoint m_deadline;
    std::vector<Attempt> m_attempts;
    std::size_t m_running = 0;
    bool m_batchSent = false;
    RelayAnswer m_batch;
    TopRecords m_merge;
};

} // namespace citronplank
