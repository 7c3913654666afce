// Member function definitions of QueryExecution, for instantiation with policies other than ReplicaStatistics.
#pragma once

#include "query/QueryExecution.h"

#include <algorithm>

namespace citronplank {

template <QueryPolicies Policies>
QueryActions QueryExecution<Policies>::start(TimePoint now)
{
    QueryActions actions;
    const auto& query = m_context.query;
    m_stopRule.emplace(query.deadline, m_context.rules, now);
    m_fingerprint = fingerprintOf(query.service, query.operation, query.body);
    const auto suspicion = m_policies.suspicionOf(m_fingerprint, now);
    m_isSuspect = suspicion == Suspicion::Suspect;
    std::optional<Error> refusal;
    if (m_context.rules.nonIdempotent.contains(query.operation))
        refusal.emplace(ErrorKind::KeyMissing,
            "operation " + query.operation + " of " + query.service + " is not idempotent and requires a request key");
    else if (suspicion == Suspicion::Blocked)
        refusal.emplace(ErrorKind::RequestBlocked, "the request crashed backend servers and is blocked for 10 minutes");
    else if (!m_context.layout || m_context.layout->coveredShards == 0)
        refusal.emplace(ErrorKind::NoReplica, "no replica of " + query.service + " is usable");
    if (refusal) {
        m_finished = true;
        actions.finish = *refusal;
        return actions;
    }
    beginLayout(actions, now);
    return completeActions(std::move(actions), now);
}

template <QueryPolicies Policies>
void QueryExecution<Policies>::beginLayout(QueryActions& actions, TimePoint now)
{
    const auto count = layout().shardCount;
    m_shards.assign(count, {});
    m_answered = 0;
    m_openShards = count;
    m_nextSuspectShard = 0;
    m_hedgeQueue.clear();
    m_failures.clear();
    m_hedgeDelay = m_isSuspect ? std::nullopt : m_policies.hedgeDelay(m_context.query.service);
    for (std::uint32_t shard = 0; shard < count; ++shard) {
        m_shards[shard].tried.resize(layout().replicas[shard].size());
        if (layout().replicas[shard].empty())
            setMissing(shard, m_context.layout->emptyReasons[shard]);
        else if (!m_isSuspect)
            sendAttempt(shard, false, false, actions, now);
    }
}

/// Sends the part of the next shard of a suspect query, which has at most one part running.
template <QueryPolicies Policies>
void QueryExecution<Policies>::sendNextSuspectPart(QueryActions& actions, TimePoint now)
{
    const bool busy
        = std::any_of(m_attempts.begin(), m_attempts.end(), [](const auto& it) { return !it.second.ended; });
    while (!busy && m_nextSuspectShard < m_shards.size()) {
        const auto shard = m_nextSuspectShard++;
        if (m_shards[shard].state == ShardState::NotSent && sendAttempt(shard, false, false, actions, now))
            return;
    }
}

/// Returns the replicas that the shard has not tried, and appends their indices in the layout to `indices`.
template <QueryPolicies Policies>
ReplicaList QueryExecution<Policies>::untried(
    const Shard& it, std::uint32_t shard, std::vector<std::uint32_t>& indices) const
{
    ReplicaList list;
    const auto& replicas = layout().replicas[shard];
    for (std::uint32_t i = 0; i < replicas.size(); ++i) {
        if (!it.tried[i]) {
            list.push_back(&replicas[i]);
            indices.push_back(i);
        }
    }
    return list;
}

/// Sends one part to a replica that this shard has not tried. Returns false if there is none, the shard has used all
/// its attempts or the deadline has passed.
template <QueryPolicies Policies>
bool QueryExecution<Policies>::sendAttempt(
    std::uint32_t shard, bool isHedge, bool isRetry, QueryActions& actions, TimePoint now)
{
    auto& it = m_shards[shard];
    std::vector<std::uint32_t> indices;
    const auto candidates = untried(it, shard, indices);
    if (candidates.empty() || it.sent >= maxAttempts || now >= m_stopRule->deadline())
        return false;
    const auto chosen = m_policies.chooseReplica(candidates, now);
    const auto& replica = *candidates[chosen];
    it.tried[indices[chosen]] = true;
    it.state = ShardState::Running;
    ++it.running;
    ++it.sent;
    PartSend send;
    send.part = { .queryId = m_context.queryId,
        .partId = partIdOf(m_context.queryId, m_partCounter++),
        .service = m_context.query.service,
        .operation = m_context.query.operation,
        .leaf = replica.leaf,
        .shard = { .version = layout().version, .shard = shard, .shardCount = layout().shardCount },
        .remaining = std::chrono::ceil<milliseconds>(m_stopRule->deadline() - now),
        .fingerprint = m_fingerprint,
        // Wait for a busy leaf only if there is no other replica to try first. Hedges never wait.
        .mayQueue = m_isSuspect || isRetry || (!isHedge && candidates.size() == 1),
        .body = m_context.query.body };
    send.zone = replica.zone;
    send.address = replica.address;
    send.isHedge = isHedge;
    const bool isFirst = !isHedge && !isRetry;
    m_attempts[send.part.partId]
        = { .shard = shard, .replica = indices[chosen], .sentAt = now, .ended = false, .isFirst = isFirst };
    if (isHedge) {
        m_policies.onHedgeSent(replica.leaf, now);
        ++m_counters.hedges;
    } else if (isRetry) {
        m_policies.onRetrySent(replica.leaf, now);
        ++m_counters.retries;
    } else {
        m_policies.onPartSent(m_context.query.service, replica.leaf, now);
        ++m_counters.parts;
        m_hedgeQueue.push_back(send.part.partId);
    }
    actions.sends.push_back(std::move(send));
    return true;
}

template <QueryPolicies Policies>
QueryActions QueryExecution<Policies>::onResult(const PartResult& result, TimePoint now)
{
    QueryActions actions;
    const auto found = m_attempts.find(result.partId);
    if (found == m_attempts.end()) {
        // Attempts from before a restart are no longer stored, but their results are late rather than unknown.
        const bool isOwn = queryIdOfPart(result.partId) == m_context.queryId
            && result.partId < partIdOf(m_context.queryId, m_partCounter);
        ++(isOwn ? m_counters.lateResults : m_counters.unknownResults);
        return completeActions(std::move(actions), now);
    }
    auto& attempt = found->second;
    if (attempt.ended) {
        // Cancelled parts may still end. A second result of an ended part means that a message was sent twice.
        ++(m_finished || m_shards[attempt.shard].state == ShardState::Answered ? m_counters.lateResults
                                                                               : m_counters.duplicateResults);
        return completeActions(std::move(actions), now);
    }
    const ShardVersion expected {
        .version = layout().version, .shard = attempt.shard, .shardCount = layout().shardCount
    };
    auto status = result.status;
    if (status == PartStatus::Ok && result.shard != expected) {
        ++m_counters.foreignResults;
        status = PartStatus::WrongVersion;
    }
    const bool expiredInQueue = status == PartStatus::Deadline && result.outcome == Outcome::NotRun;
    if (status == PartStatus::Ok || expiredInQueue)
        actions.partWait = now - attempt.sentAt - (expiredInQueue ? Duration::zero() : Duration(result.leafTime));
    PartResult checked {
        .partId = result.partId, .status = status, .outcome = result.outcome, .wasBusy = result.wasBusy
    };
    endAttempt(attempt, checked, status == PartStatus::Ok, now);
    const auto shard = attempt.shard;
    if (status == PartStatus::Ok) {
        merge(shard, result, actions, now);
        return completeActions(std::move(actions), now);
    }
    if (status == PartStatus::Crashed)
        onCrashed(attempt, actions, now);
    onFailedAttempt(shard, status, checked, actions, now);
    return completeActions(std::move(actions), now);
}

/// Marks an attempt as ended and reports its result to the policies.
template <QueryPolicies Policies>
void QueryExecution<Policies>::endAttempt(Attempt& attempt, const PartResult& result, bool isAnswered, TimePoint now)
{
    attempt.ended = true;
    --m_shards[attempt.shard].running;
    const auto& leaf = layout().replicas[attempt.shard][attempt.replica].leaf;
    const auto& service = m_context.query.service;
    const Duration elapsed = now - attempt.sentAt;
    const bool isLeafFailure = result.status == PartStatus::Crashed || result.status == PartStatus::Unreachable
        || (result.status == PartStatus::Deadline && result.outcome != Outcome::NotRun);
    if (isAnswered)
        m_policies.onPartAnswered(service, leaf, elapsed, now);
    else if (isLeafFailure)
        m_policies.onPartFailed(leaf, now);
    else if (result.status == PartStatus::Refused && !result.wasBusy)
        m_policies.onPartRefused(leaf, now);
    else
        m_policies.onPartAbandoned(service, leaf, Duration::zero(), now);
}

template <QueryPolicies Policies>
void QueryExecution<Policies>::merge(
    std::uint32_t shard, const PartResult& result, QueryActions& actions, TimePoint now)
{
    auto& it = m_shards[shard];
    if (it.state == ShardState::Answered)
        return;
    // A shard that was marked as missing may still be answered, for example while it awaited a new layout.
    if (it.state != ShardState::Missing)
        --m_openShards;
    it.state = ShardState::Answered;
    it.body = result.body;
    ++m_answered;
    cancelAttempts(shard, actions, now);
}

/// Cancels the running attempts of one shard, or of all shards.
template <QueryPolicies Policies>
void QueryExecution<Policies>::cancelAttempts(std::optional<std::uint32_t> shard, QueryActions& actions, TimePoint now)
{
    if (shard && m_shards[*shard].running == 0)
        return;
    for (auto& [partId, attempt] : m_attempts) {
        if (attempt.ended || (shard && attempt.shard != *shard))
            continue;
        attempt.ended = true;
        --m_shards[attempt.shard].running;
        const auto& replica = layout().replicas[attempt.shard][attempt.replica];
        m_policies.onPartAbandoned(m_context.query.service, replica.leaf, now - attempt.sentAt, now);
        actions.cancels.push_back({ .partId = partId, .leaf = replica.leaf, .zone = replica.zone });
    }
}

/// Reports the crash to the policies, cancels the parts that have not reached a leaf yet and marks the shards without a
/// part as missing. Running parts continue because their leaves have already started them.
template <QueryPolicies Policies>
void QueryExecution<Policies>::onCrashed(const Attempt& crashed, QueryActions& actions, TimePoint now)
{
    m_policies.onCrash({ .fingerprint = m_fingerprint, .shard = crashed.shard, .wasSuspect = m_isSuspect }, now);
    if (m_crashed)
        return;
    m_crashed = true;
    for (const auto& [partId, attempt] : m_attempts) {
        if (attempt.ended)
            continue;
        const auto& replica = layout().replicas[attempt.shard][attempt.replica];
        actions.cancels.push_back({ .partId = partId, .leaf = replica.leaf, .zone = replica.zone, .queuedOnly = true });
    }
    for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard) {
        if (m_shards[shard].state == ShardState::NotSent || m_shards[shard].state == ShardState::AwaitsLayout)
            setMissing(shard, MissingReason::Blocked);
    }
}

/// Sends the part to another replica, requests a newer layout or marks the shard as missing.
template <QueryPolicies Policies>
void QueryExecution<Policies>::onFailedAttempt(
    std::uint32_t shard, PartStatus status, const PartResult& result, QueryActions& actions, TimePoint now)
{
    auto& it = m_shards[shard];
    if (it.state != ShardState::Running)
        return;
    m_failures.insert(status);
    if (retry(shard, status, result, actions, now) || it.running > 0)
        return;
    if (status == PartStatus::WrongVersion && !m_crashed && m_counters.restarts == 0) {
        it.state = ShardState::AwaitsLayout;
        actions.needsLayout = !m_layoutRequested;
        m_layoutRequested = true;
        return;
    }
    switch (status) {
    case PartStatus::WrongVersion:
        return setMissing(shard, MissingReason::WrongVersion);
    case PartStatus::Crashed:
        return setMissing(shard, MissingReason::Crashed);
    case PartStatus::Deadline:
        return setMissing(shard, MissingReason::Deadline);
    case PartStatus::Blocked:
        return setMissing(shard, MissingReason::Blocked);
    case PartStatus::Unreachable:
        return setMissing(shard, MissingReason::Unreachable);
    case PartStatus::Refused:
        // After a crash, this query itself has cancelled its queued parts.
        return setMissing(shard, m_crashed ? MissingReason::Blocked : MissingReason::Refused);
    case PartStatus::Ok:
    case PartStatus::Failed:
        return setMissing(shard, MissingReason::Refused);
    }
}

/// Whether hedges and retries may be sent. They may not for a request that crashed a leaf, in this query or in a
/// concurrent one with the same content.
template <QueryPolicies Policies>
bool QueryExecution<Policies>::allowsExtraParts(TimePoint now) const
{
    return !m_crashed && !m_isSuspect && m_policies.suspicionOf(m_fingerprint, now) == Suspicion::None;
}

/// Sends the part to another replica, where it may be queued, after a busy replica refused it. The part did not run, so
/// this needs no retry budget, and the busy replica may still be used for a hedge.
template <QueryPolicies Policies>
bool QueryExecution<Policies>::sendToOtherReplica(
    std::uint32_t shard, std::uint64_t busyPart, QueryActions& actions, TimePoint now)
{
    const auto busyReplica = m_attempts.at(busyPart).replica;
    if (!sendAttempt(shard, false, true, actions, now))
        return false;
    m_shards[shard].tried[busyReplica] = false;
    m_hedgeQueue.push_back(actions.sends.back().part.partId);
    return true;
}

/// Sends the part to another replica if its failure and the retry budget permit it. Returns whether it was sent.
template <QueryPolicies Policies>
bool QueryExecution<Policies>::retry(
    std::uint32_t shard, PartStatus status, const PartResult& result, QueryActions& actions, TimePoint now)
{
    auto& it = m_shards[shard];
    std::vector<std::uint32_t> indices;
    if (result.wasBusy)
        return it.running == 0 && !m_crashed && sendToOtherReplica(shard, result.partId, actions, now);
    if (it.running > 0 || !allowsExtraParts(now) || untried(it, shard, indices).empty())
        return false;
    const auto& service = m_context.query.service;
    bool allowed = false;
    switch (status) {
    case PartStatus::WrongVersion:
        // The part did not run, so the retry causes no extra load.
        allowed = true;
        break;
    case PartStatus::Unreachable:
        // The budget limits extra load on backend servers. A part that is known not to have run caused none.
        allowed = result.outcome == Outcome::NotRun || m_policies.tryTakeRetry(service);
        break;
    case PartStatus::Refused:
        allowed = !it.wasRefused && m_policies.tryTakeRetry(service);
        it.wasRefused = true;
        break;
    case PartStatus::Failed:
        allowed = m_policies.tryTakeRetry(service);
        break;
    default:
        break;
    }
    return allowed && sendAttempt(shard, false, true, actions, now);
}

template <QueryPolicies Policies>
void QueryExecution<Policies>::setMissing(std::uint32_t shard, MissingReason reason)
{
    auto& it = m_shards[shard];
    it.state = ShardState::Missing;
    it.reason = reason;
    --m_openShards;
}

template <QueryPolicies Policies>
QueryActions QueryExecution<Policies>::onLayout(std::shared_ptr<const PinnedLayout> fresh, TimePoint now)
{
    QueryActions actions;
    if (m_finished || !m_layoutRequested || m_counters.restarts > 0)
        return completeActions(std::move(actions), now);
    const bool isNewer = fresh && fresh->coveredShards > 0 && fresh->layout.version > layout().version;
    const bool hasTime = now + m_hedgeDelay.value_or(Duration::zero()) < m_stopRule->deadline();
    if (m_crashed || !isNewer || !hasTime) {
        abandonLayoutChange();
        return completeActions(std::move(actions), now);
    }
    cancelAttempts(std::nullopt, actions, now);
    m_previous
        = Snapshot { .layout = std::move(m_context.layout), .shards = std::move(m_shards), .answered = m_answered };
    m_context.layout = std::move(fresh);
    ++m_counters.restarts;
    m_attempts.clear();
    beginLayout(actions, now);
    return completeActions(std::move(actions), now);
}

/// Keeps the pinned layout. The shards that awaited a newer one are missing.
template <QueryPolicies Policies>
void QueryExecution<Policies>::abandonLayoutChange()
{
    m_layoutRequested = false;
    for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard) {
        if (m_shards[shard].state == ShardState::AwaitsLayout)
            setMissing(shard, MissingReason::WrongVersion);
    }
}

template <QueryPolicies Policies>
QueryActions QueryExecution<Policies>::onTimer(TimePoint now)
{
    QueryActions actions;
    if (!m_finished)
        hedge(actions, now);
    return completeActions(std::move(actions), now);
}

template <QueryPolicies Policies>
void QueryExecution<Policies>::hedge(QueryActions& actions, TimePoint now)
{
    if (!m_hedgeDelay || now >= m_stopRule->deadline() || !allowsExtraParts(now))
        return;
    while (!m_hedgeQueue.empty()) {
        const auto it = m_attempts.find(m_hedgeQueue.front());
        const bool isOpen = it != m_attempts.end() && !it->second.ended;
        if (isOpen && it->second.sentAt + *m_hedgeDelay > now)
            return;
        m_hedgeQueue.pop_front();
        if (!isOpen)
            continue;
        const auto shard = it->second.shard;
        std::vector<std::uint32_t> indices;
        if (!untried(m_shards[shard], shard, indices).empty() && m_policies.tryTakeHedge(m_context.query.service))
            sendAttempt(shard, true, false, actions, now);
    }
}

/// Called at the end of each method: sends the next part of a suspect query, finishes if due and sets the timer.
template <QueryPolicies Policies>
QueryActions QueryExecution<Policies>::completeActions(QueryActions actions, TimePoint now)
{
    if (m_finished)
        return actions;
    if (m_isSuspect && !m_crashed)
        sendNextSuspectPart(actions, now);
    if (m_openShards == 0 || m_stopRule->shouldStop(now, m_answered, layout().shardCount))
        finish(actions, now);
    else
        actions.nextTimer = nextTimer(now);
    return actions;
}

template <QueryPolicies Policies>
TimePoint QueryExecution<Policies>::nextTimer(TimePoint now)
{
    const auto stop = m_stopRule->nextCheck(now);
    if (!m_hedgeDelay || m_crashed)
        return stop;
    for (; !m_hedgeQueue.empty(); m_hedgeQueue.pop_front()) {
        const auto it = m_attempts.find(m_hedgeQueue.front());
        if (it != m_attempts.end() && !it->second.ended)
            return std::min(stop, it->second.sentAt + *m_hedgeDelay);
    }
    return stop;
}

template <QueryPolicies Policies>
void QueryExecution<Policies>::finish(QueryActions& actions, TimePoint now)
{
    m_finished = true;
    cancelAttempts(std::nullopt, actions, now);
    if (m_previous && isPreviousBetter()) {
        m_context.layout = std::move(m_previous->layout);
        m_shards = std::move(m_previous->shards);
        m_answered = m_previous->answered;
    }
    for (auto& it : m_shards) {
        if (it.state == ShardState::Answered || it.state == ShardState::Missing)
            continue;
        it.reason = it.state == ShardState::AwaitsLayout ? MissingReason::WrongVersion : MissingReason::Deadline;
        it.state = ShardState::Missing;
    }
    actions.needsLayout = false;
    actions.nextTimer.reset();
    actions.finish = outcome();
}

/// Whether the layout before the restart had a larger coverage when it was replaced. The answer is taken from one of
/// the two layouts, never from both.
template <QueryPolicies Policies>
bool QueryExecution<Policies>::isPreviousBetter() const
{
    return std::uint64_t { m_previous->answered } * layout().shardCount
        > std::uint64_t { m_answered } * m_previous->layout->layout.shardCount;
}

template <QueryPolicies Policies>
QueryOutcome QueryExecution<Policies>::outcome()
{
    if (m_answered == 0) {
        if (const auto error = errorWithoutAnswer())
            return *error;
    }
    const auto total = layout().shardCount;
    if (!m_stopRule->isCoverageReached(m_answered, total))
        return Error(ErrorKind::CoverageTooLow,
            std::to_string(m_answered) + " of " + std::to_string(total)
                + " shards answered, below the minimum coverage");
    QueryAnswer answer;
    answer.version = layout().version;
    answer.coverage.total = total;
    answer.coverage.answered = m_answered;
    answer.parts.reserve(m_answered);
    for (std::uint32_t shard = 0; shard < total; ++shard) {
        if (m_shards[shard].state == ShardState::Answered)
            answer.parts.push_back(std::move(m_shards[shard].body));
        else
            answer.coverage.missing.push_back({ .shard = shard, .reason = m_shards[shard].reason });
    }
    return answer;
}

/// Returns an error that is more specific than an answer without any shard, if there is one.
template <QueryPolicies Policies>
std::optional<Error> QueryExecution<Policies>::errorWithoutAnswer() const
{
    if (m_failures.contains(PartStatus::Crashed))
        return Error(ErrorKind::OutcomeUnknown, "a backend server crashed while running the request");
    if (m_failures.contains(PartStatus::Blocked))
        return Error(ErrorKind::RequestBlocked, "the request crashed backend servers and is blocked for 10 minutes");
    if (m_failures.contains(PartStatus::Failed))
        return Error(ErrorKind::BackendFailed, "the backend servers returned errors");
    return std::nullopt;
}

template <QueryPolicies Policies>
QueryActions QueryExecution<Policies>::cancel(TimePoint now)
{
    QueryActions actions;
    if (m_finished)
        return actions;
    m_finished = true;
    cancelAttempts(std::nullopt, actions, now);
    return actions;
}

} // namespace citronplank
