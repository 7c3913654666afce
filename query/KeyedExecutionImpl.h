// Member function definitions of KeyedExecution, for instantiation with policies other than ReplicaStatistics.
#pragma once

#include "query/KeyedExecution.h"

#include <algorithm>

namespace citronplank {

template <QueryPolicies Policies>
KeyedActions KeyedExecution<Policies>::start(TimePoint now)
{
    KeyedActions actions;
    const auto& request = m_context.request;
    m_deadline = now + std::min(request.deadline, m_context.rules.deadline);
    m_fingerprint = fingerprintOf(request.service, request.operation, request.body);
    const auto time = parseRequestKey(request.key);
    if (!time) {
        answerError(ErrorKind::BadRequest, "the request key is not of the form UNIXSECONDS-RANDOM", actions);
        return completeActions(std::move(actions), now);
    }
    m_keySeconds = *time;
    begin(actions);
    return completeActions(std::move(actions), now);
}

template <QueryPolicies Policies>
void KeyedExecution<Policies>::begin(KeyedActions& actions)
{
    m_state = State::Beginning;
    actions.propose = BeginKeyed { .key = m_context.request.key,
        .attempt = m_context.attempt,
        .fingerprint = m_fingerprint,
        .keySeconds = m_keySeconds };
}

template <QueryPolicies Policies>
KeyedActions KeyedExecution<Policies>::onProposal(const ProposalReply& reply, TimePoint now)
{
    KeyedActions actions;
    if (m_state == State::Finishing)
        onFinishReply(reply, now);
    if (m_state != State::Beginning)
        return completeActions(std::move(actions), now);
    switch (reply.status) {
    case ProposalStatus::Applied:
        if (reply.record)
            onExistingRecord(*reply.record, actions, now);
        else
            onBeginUnknown(actions, now);
        break;
    case ProposalStatus::KeyExpired:
        m_state = State::Done;
        answerError(ErrorKind::KeyExpired, "the request key is too old; the request may have run", actions);
        break;
    case ProposalStatus::TableFull:
        m_state = State::Done;
        answerError(ErrorKind::Overloaded, "too many request keys are stored", actions);
        break;
    case ProposalStatus::NotApplied:
        // An earlier proposal of this attempt may still be applied, so the outcome is not known to be "not run".
        if (m_beginUnknown) {
            wait(State::BeginAgain, proposalRetry, now);
            break;
        }
        m_state = State::Done;
        answerError(ErrorKind::NoMajority, "no majority of the control members is available", actions);
        break;
    case ProposalStatus::Unknown:
        onBeginUnknown(actions, now);
        break;
    }
    return completeActions(std::move(actions), now);
}

/// Handles a BeginKeyed that may still be applied: reads the record, or waits if the caller was answered meanwhile.
template <QueryPolicies Policies>
void KeyedExecution<Policies>::onBeginUnknown(KeyedActions& actions, TimePoint now)
{
    m_beginUnknown = true;
    if (m_answered) {
        wait(State::BeginAgain, proposalRetry, now);
        return;
    }
    m_state = State::ConfirmingBegin;
    actions.readRecord = true;
}

template <QueryPolicies Policies>
KeyedActions KeyedExecution<Policies>::onRecord(const RecordReply& reply, TimePoint now)
{
    KeyedActions actions;
    if (m_state == State::ConfirmingBegin) {
        if (reply.known && reply.record)
            onExistingRecord(*reply.record, actions, now);
        else
            wait(State::BeginAgain, proposalRetry, now);
    } else if (m_state == State::Reading) {
        if (!reply.known)
            wait(State::Waiting, pollInterval, now);
        else if (reply.record)
            onExistingRecord(*reply.record, actions, now);
        else
            begin(actions);
    }
    return completeActions(std::move(actions), now);
}

/// Handles the current record of the key. Precondition: the part has not been dispatched.
template <QueryPolicies Policies>
void KeyedExecution<Policies>::onExistingRecord(const KeyedRecord& record, KeyedActions& actions, TimePoint now)
{
    if (record.fingerprint != m_fingerprint) {
        m_state = State::Done;
        answerError(ErrorKind::KeyReused, "the request key was used for another request", actions);
        return;
    }
    if (record.finished) {
        if (record.finished->outcome == Outcome::NotRun && !m_answered)
            begin(actions);
        else
            onStored(*record.finished, actions);
        return;
    }
    if (record.attempt != m_context.attempt) {
        if (m_answered)
            m_state = State::Done;
        else
            wait(State::Waiting, pollInterval, now);
        return;
    }
    if (m_answered || now >= m_deadline) {
        finishRecord({ .outcome = Outcome::NotRun }, actions);
        answerError(ErrorKind::DeadlineUnreachable, "the deadline passed before the request was sent", actions);
        return;
    }
    dispatch(actions, now);
}

/// Answers with the outcome stored by another attempt.
template <QueryPolicies Policies>
void KeyedExecution<Policies>::onStored(const StoredOutcome& stored, KeyedActions& actions)
{
    m_state = State::Done;
    if (stored.outcome != Outcome::Ran)
        answerError(ErrorKind::OutcomeUnknown, "an earlier attempt of this request may have run", actions);
    else if (stored.bodyOmitted)
        answerError(ErrorKind::BackendFailed, "the request ran, but its answer was too long to be stored", actions);
    else if (stored.failed)
        answerError(ErrorKind::BackendFailed, "the backend server returned an error", actions);
    else
        answer(KeyedAnswer { stored.body }, actions);
}

/// Sends the part to a leaf, or answers with an error that says "not run". Precondition: the record of the key is held
/// by this attempt.
template <QueryPolicies Policies>
void KeyedExecution<Policies>::dispatch(KeyedActions& actions, TimePoint now)
{
    if (m_dispatched)
        return;
    const auto& request = m_context.request;
    const auto count = m_context.layout ? m_context.layout->layout.shardCount : 0;
    const auto shard = count > 0 ? static_cast<std::uint32_t>(hash64(request.routing) % count) : 0;
    if (m_policies.suspicionOf(m_fingerprint, now) == Suspicion::Blocked) {
        finishRecord({ .outcome = Outcome::NotRun }, actions);
        answerError(
            ErrorKind::RequestBlocked, "the request crashed backend servers and is blocked for 10 minutes", actions);
        return;
    }
    if (count == 0 || m_context.layout->layout.replicas[shard].empty()) {
        finishRecord({ .outcome = Outcome::NotRun }, actions);
        answerError(ErrorKind::NoReplica, "no replica of the shard selected by the routing key is usable", actions);
        return;
    }
    const auto& layout = m_context.layout->layout;
    ReplicaList candidates;
    for (const auto& it : layout.replicas[shard])
        candidates.push_back(&it);
    const auto& replica = *candidates[m_policies.chooseReplica(candidates, now)];
    m_dispatched = true;
    m_state = State::Running;
    m_partId = partIdOf(m_context.queryId, 0);
    m_leaf = replica.leaf;
    m_zone = replica.zone;
    m_sentAt = now;
    PartSend send;
    send.part = { .queryId = m_context.queryId,
        .partId = m_partId,
        .service = request.service,
        .operation = request.operation,
        .leaf = replica.leaf,
        .shard = { .version = layout.version, .shard = shard, .shardCount = count },
        .remaining = std::chrono::ceil<milliseconds>(m_deadline - now),
        .requestKey = request.key,
        .fingerprint = m_fingerprint,
        .body = request.body };
    send.zone = replica.zone;
    send.address = replica.address;
    m_policies.onPartSent(request.service, replica.leaf, now);
    actions.send = std::move(send);
}

template <QueryPolicies Policies>
KeyedActions KeyedExecution<Policies>::onResult(const PartResult& result, TimePoint now)
{
    KeyedActions actions;
    if (m_state != State::Running || result.partId != m_partId)
        return completeActions(std::move(actions), now);
    updatePolicies(result, now);
    if (result.status == PartStatus::Ok || result.status == PartStatus::Failed) {
        const bool failed = result.status == PartStatus::Failed;
        const bool isTooLong = result.body.size() > maxStoredBodyBytes;
        finishRecord({ .outcome = Outcome::Ran,
                         .failed = failed,
                         .bodyOmitted = isTooLong,
                         .body = isTooLong ? std::string() : result.body },
            actions);
        if (failed)
            answerError(ErrorKind::BackendFailed, "the backend server returned an error", actions);
        else
            answer(KeyedAnswer { result.body }, actions);
        return completeActions(std::move(actions), now);
    }
    // A part that crashed its leaf had been started, whatever outcome was reported.
    if (result.outcome != Outcome::NotRun || result.status == PartStatus::Crashed) {
        finishRecord({ .outcome = Outcome::MayHaveRun }, actions);
        answerError(ErrorKind::OutcomeUnknown, "the backend server did not respond; the request may have run", actions);
        return completeActions(std::move(actions), now);
    }
    finishRecord({ .outcome = Outcome::NotRun }, actions);
    switch (result.status) {
    case PartStatus::Blocked:
        answerError(
            ErrorKind::RequestBlocked, "the request crashed backend servers and is blocked for 10 minutes", actions);
        break;
    case PartStatus::Deadline:
        answerError(ErrorKind::DeadlineUnreachable, "the request could not start before its deadline", actions);
        break;
    case PartStatus::Refused:
        answerError(ErrorKind::Overloaded, "the backend server refused the request without running it", actions);
        break;
    default:
        answerError(ErrorKind::NoReplica, "the selected replica is unreachable or holds another version", actions);
        break;
    }
    return completeActions(std::move(actions), now);
}

template <QueryPolicies Policies>
void KeyedExecution<Policies>::updatePolicies(const PartResult& result, TimePoint now)
{
    const auto& service = m_context.request.service;
    switch (result.status) {
    case PartStatus::Ok:
    case PartStatus::Failed:
        m_policies.onPartAnswered(service, m_leaf, now - m_sentAt, now);
        return;
    case PartStatus::Crashed:
        m_policies.onCrash({ .fingerprint = m_fingerprint }, now);
        m_policies.onPartFailed(m_leaf, now);
        return;
    case PartStatus::Unreachable:
        m_policies.onPartFailed(m_leaf, now);
        return;
    case PartStatus::Refused:
        m_policies.onPartRefused(m_leaf, now);
        return;
    default:
        m_policies.onPartAbandoned(service, m_leaf, Duration::zero(), now);
    }
}

template <QueryPolicies Policies>
void KeyedExecution<Policies>::finishRecord(StoredOutcome result, KeyedActions& actions)
{
    m_result = std::move(result);
    m_finishProposals = 0;
    proposeFinish(actions);
}

template <QueryPolicies Policies>
void KeyedExecution<Policies>::proposeFinish(KeyedActions& actions)
{
    m_state = State::Finishing;
    ++m_finishProposals;
    actions.propose = FinishKeyed { .key = m_context.request.key, .attempt = m_context.attempt, .result = m_result };
}

template <QueryPolicies Policies>
void KeyedExecution<Policies>::onFinishReply(const ProposalReply& reply, TimePoint now)
{
    const bool needsRetry = reply.status == ProposalStatus::Unknown || reply.status == ProposalStatus::NotApplied;
    if (needsRetry && m_finishProposals < maxFinishProposals)
        wait(State::FinishAgain, proposalRetry, now);
    else
        m_state = State::Done;
}

template <QueryPolicies Policies>
KeyedActions KeyedExecution<Policies>::onTimer(TimePoint now)
{
    KeyedActions actions;
    if (!m_answered && now >= m_deadline)
        onDeadline(actions, now);
    wake(actions, now);
    return completeActions(std::move(actions), now);
}

/// Performs the action of the current state that is due, if any.
template <QueryPolicies Policies>
void KeyedExecution<Policies>::wake(KeyedActions& actions, TimePoint now)
{
    const bool isGraceOver = now >= m_deadline + lateResultGrace;
    switch (m_state) {
    case State::BeginAgain:
        if (now < m_wakeAt)
            return;
        // The caller was answered, so the request must not run any more. If this attempt holds the record, finish it
        // so that a resend of the caller can run.
        if (m_answered)
            finishRecord({ .outcome = Outcome::NotRun }, actions);
        else
            begin(actions);
        return;
    case State::Waiting:
        if (now < m_wakeAt)
            return;
        m_state = State::Reading;
        actions.readRecord = true;
        return;
    case State::FinishAgain:
        if (now >= m_wakeAt)
            proposeFinish(actions);
        return;
    case State::Running:
        if (!isGraceOver)
            return;
        m_policies.onPartFailed(m_leaf, now);
        finishRecord({ .outcome = Outcome::MayHaveRun }, actions);
        return;
    case State::Beginning:
    case State::ConfirmingBegin:
    case State::Reading:
    case State::Finishing:
        // No reply is expected any more, and no part of this attempt can be dispatched from here on.
        if (isGraceOver && m_answered)
            m_state = State::Done;
        return;
    case State::Done:
        return;
    }
}

/// Answers the caller. The actual outcome of a part that was dispatched is still recorded.
template <QueryPolicies Policies>
void KeyedExecution<Policies>::onDeadline(KeyedActions& actions, TimePoint now)
{
    switch (m_state) {
    case State::Running:
        // Cancel the part if it is still queued at the owner, so that "not run" can be recorded.
        actions.cancels.push_back({ .partId = m_partId, .leaf = m_leaf, .zone = m_zone, .queuedOnly = true });
        break;
    case State::BeginAgain:
        m_wakeAt = now;
        break;
    case State::Waiting:
    case State::Reading:
        m_state = State::Done;
        break;
    default:
        break;
    }
    answerError(ErrorKind::OutcomeUnknown, "the outcome of the request was not known at its deadline", actions);
}

template <QueryPolicies Policies>
void KeyedExecution<Policies>::wait(State state, Duration duration, TimePoint now)
{
    m_state = state;
    m_wakeAt = now + duration;
}

template <QueryPolicies Policies>
void KeyedExecution<Policies>::answer(KeyedOutcome outcome, KeyedActions& actions)
{
    if (m_answered)
        return;
    m_answered = true;
    actions.finish = std::move(outcome);
}

template <QueryPolicies Policies>
void KeyedExecution<Policies>::answerError(ErrorKind kind, const std::string& message, KeyedActions& actions)
{
    answer(Error(kind, message), actions);
}

template <QueryPolicies Policies>
KeyedActions KeyedExecution<Policies>::completeActions(KeyedActions actions, TimePoint)
{
    if (m_state == State::Done && m_answered)
        return actions;
    auto timer = m_answered ? m_deadline + lateResultGrace : m_deadline;
    if (m_state == State::BeginAgain || m_state == State::Waiting || m_state == State::FinishAgain)
        timer = std::min(timer, m_wakeAt);
    actions.nextTimer = timer;
    return actions;
}

} // namespace citronplank
