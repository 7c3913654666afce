// Second level of a gather: an entry instance requests the parts held by leaves of another zone from a peer there. The
// peer merges them, so that one small answer crosses between zones instead of one body for each shard.
#pragma once

#include "query/RelayMessages.h"
#include "query/RouteExecution.h"

namespace citronplank {

/// What the user of RelayedGather has to do after a call.
struct RelayActions {
    std::vector<RouteSend> sends;
    std::vector<std::uint64_t> cancels; // see RouteActions
    std::vector<RelayAnswer> answers;   // for the entry instance, in this order
    std::optional<TimePoint> nextTimer; // when to call onTimer; if set, replaces the previous value
    bool finished = false;              // all parts have ended, no further answers follow
};

/// State machine of one relay request at the peer. Each part is sent once, to a leaf of the peer's zone. Hedges and
/// retries are left to the entry instance, which tracks the attempts of the request.
/// Not thread safe. Hold the lock that guards `policies` during each call; `policies` must outlive this object.
class RelayedGather {
public:
    /// For `firstAttempt` see RouteExecution.
    RelayedGather(RelayRequest request, std::uint64_t firstAttempt, RoutePolicies& policies);

    /// Precondition: called once, before the other methods.
    RelayActions start(TimePoint now);
    /// Handles the result of an attempt. Results of ended attempts are ignored.
    RelayActions onResult(AttemptResult, TimePoint now);
    /// Sends the batch, and at the deadline reports the missing parts as failed. May be called early or late.
    RelayActions onTimer(TimePoint now);
    /// Cancels all attempts when the entry instance no longer needs the answer.
    RelayActions cancel();

    std::size_t partCount() const { return m_request.services.size(); }
    /// Returns the leaves that have not answered yet, for the log.
    std::vector<std::string> waitingLeaves() const;
    /// Returns the leaf of an attempt. Precondition: the attempt was sent by this request.
    const std::string& leafOf(std::uint64_t attempt) const { return m_attempts.at(attempt - m_firstAttempt).leaf; }

private:
    struct Attempt {
        std::uint32_t service = 0; // index in the request
        std::string leaf;
        std::uint64_t boot = 0; // of the leaf
        TimePoint sentAt;
        bool ended = false;
    };
    RelayActions completeActions(RelayActions, TimePoint now);
    void emitBatch(RelayActions&);

    RelayRequest m_request;
    Route m_route; // only name and objective are set; selects the latency statistics
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
