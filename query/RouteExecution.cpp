#include "query/RouteExecution.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronplank {

namespace {

/// Time within the objective that passes outside this instance: connection setup, request and response between caller
/// and instance, at about 3 ms one way.
constexpr milliseconds callerPathTime { 14 };
/// From the time at which an answer is due until it is written: a late timer, merging and rendering with 0.12 of a
/// core.
constexpr milliseconds answerTime { 3 };
constexpr double maxPathShare = 0.5;       // of the objective; limits the two times above if it is very short
constexpr milliseconds resendDelay { 25 }; // first delay if no leaf can accept a part; doubles each time
constexpr std::uint32_t maxResends = 4;    // of one part that no leaf could accept
constexpr std::uint32_t maxArrivals = 4;   // of one part at leaves, including refusals
constexpr milliseconds minRemaining { 1 }; // no part is sent with less time left
constexpr milliseconds answerMargin { 5 }; // before the deadline, so that the answer arrives in time
/// Share of the parts of a request. If more are late or refused, many leaves are overloaded. Individual leaves that are
/// down, slow or shedding load cause fewer.
constexpr double congestedShare = 0.4;
/// Share of the objective that a leaf may use after the time by which the caller should be answered. Leaves drop parts
/// that are later.
constexpr double leafTimeoutBeyondObjective = 0.5;
constexpr milliseconds shortRetryAfter { 200 }; // typical duration of a burst or of a full leaf
constexpr milliseconds longRetryAfter { 1000 }; // unavailable leaves take seconds to return

} // namespace

std::string_view attemptStatusName(AttemptResult::Status status)
{
    switch (status) {
    case AttemptResult::Status::Answered:
        return "answered";
    case AttemptResult::Status::Refused:
        return "refused";
    case AttemptResult::Status::WrongLeaf:
        return "wrong_leaf";
    case AttemptResult::Status::Failed:
        return "failed";
    case AttemptResult::Status::Lost:
        return "lost";
    case AttemptResult::Status::Busy:
        return "busy";
    case AttemptResult::Status::NotSent:
        break;
    }
    return "not_sent";
}

AttemptEnd attemptEndOf(AttemptResult::Status status)
{
    switch (status) {
    case AttemptResult::Status::Answered:
        return AttemptEnd::Answered;
    case AttemptResult::Status::Refused:
        return AttemptEnd::Refused;
    case AttemptResult::Status::Failed:
        return AttemptEnd::Failed;
    case AttemptResult::Status::Lost:
        return AttemptEnd::Lost;
    case AttemptResult::Status::NotSent:
        return AttemptEnd::Unreachable;
    case AttemptResult::Status::WrongLeaf:
    case AttemptResult::Status::Busy:
        break;
    }
    return AttemptEnd::Abandoned;
}

bool mayHaveRun(AttemptResult::Status status)
{
    using Status = AttemptResult::Status;
    return status == Status::Answered || status == Status::Failed || status == Status::Lost;
}

bool hasArrived(AttemptResult::Status status)
{
    return status != AttemptResult::Status::NotSent && status != AttemptResult::Status::Busy;
}

RouteExecution::RouteExecution(std::shared_ptr<const Route> route, std::shared_ptr<const RouteTable> table,
    TimePoint arrival, TimePoint deadline, std::uint64_t firstAttempt, RoutePolicies& policies)
    : m_route(std::move(route))
    , m_table(std::move(table))
    , m_policies(policies)
    , m_deadline(deadline - answerMargin)
    , m_answerBy(m_deadline)
    , m_firstAttempt(firstAttempt)
    , m_merge(m_route->topRecords)
{
    if (m_route->objective > milliseconds::zero()) {
        auto path = std::min<Duration>(callerPathTime + answerTime + m_policies.answerDelay(),
            std::chrono::duration_cast<Duration>(m_route->objective * maxPathShare));
        m_answerBy = std::min<TimePoint>(m_deadline, arrival + m_route->objective - path);
    }
    if (isGather()) {
        for (const auto& it : m_route->shards)
            m_parts.push_back({ .service = it });
    } else {
        m_parts.push_back({ .service = m_policies.chooseTarget(*m_route) });
    }
}

std::size_t RouteExecution::minAnswered() const
{
    if (!isGather())
        return 1;
    constexpr double roundingMargin = 1e-9; // avoids rounding 0.75 * 20 up to 16
    auto minimum = std::ceil(m_route->minCoverage * static_cast<double>(m_parts.size()) - roundingMargin);
    return std::max<std::size_t>(1, static_cast<std::size_t>(minimum));
}

RouteActions RouteExecution::start(TimePoint now)
{
    RouteActions actions;
    auto isReachable = [&](Part& it) { return isAvailable(it, now) || waitForPause(it, now); };
    auto reachable = static_cast<std::size_t>(std::count_if(m_parts.begin(), m_parts.end(), isReachable));
    if (reachable < minAnswered()) {
        finish({ .error = ErrorKind::NoReplica,
                   .reason = "too few services of the route have an available leaf",
                   .retryAfter = retryAfter(longRetryAfter, now) },
            actions);
        return actions;
    }
    if (isGather())
        sendRelays(actions, now);
    bool peersCountRelayed = isGather() && m_policies.usesGroups(*m_route);
    for (std::uint32_t i = 0; i < m_parts.size(); ++i) {
        bool isRelayed = !m_parts[i].relays.empty();
        if (!isRelayed || !peersCountRelayed)
            m_policies.onFirstRequest(m_parts[i].service);
        if (!isRelayed && !m_parts[i].resendAt && !trySend(i, false, actions, now))
            scheduleResend(m_parts[i], now);
    }
    return completeActions(std::move(actions), now);
}

/// Time limit for a leaf. A response well after the objective is of little use, so a leaf with a long queue should drop
/// the part.
milliseconds RouteExecution::leafTimeout(TimePoint now) const
{
    auto until = m_deadline;
    if (isGather() && now < m_answerBy)
        until = std::min(
            until, m_answerBy + std::chrono::duration_cast<Duration>(m_route->objective * leafTimeoutBeyondObjective));
    return std::chrono::floor<milliseconds>(until - now);
}

/// Sends a part to the best leaf that it has not been sent to yet. Returns false if no leaf can accept it now, too
/// little time is left or the budget of extra requests is used up.
bool RouteExecution::trySend(std::uint32_t index, bool isExtra, RouteActions& actions, TimePoint now)
{
    auto& part = m_parts[index];
    auto remaining = leafTimeout(now);
    if (remaining < minRemaining || m_attempts.size() >= attemptsPerRequest)
        return false;
    auto typicalLatency = m_policies.typicalLatency(*m_route);
    const auto* leaf = m_policies.pick(part.service, part.tried, typicalLatency, now);
    if (!leaf)
        return false;
    if (isExtra && !m_policies.tryTakeExtra(part.service))
        return false;
    auto number = m_firstAttempt + m_attempts.size();
    auto sentBefore = firstSentAt(index, leaf->leaf);
    m_attempts.push_back({ index, leaf->leaf, *leaf, now });
    m_policies.onStart(*leaf, number, typicalLatency, now);
    part.tried.push_back(leaf->leaf);
    ++part.running;
    part.resendAt.reset();
    part.hedgeAt = now + m_policies.hedgeDelay(*m_route);
    ++m_counters.sends;
    actions.sends.push_back({ number, *leaf, m_policies.connectionLimit(*leaf), remaining, isExtra, sentBefore });
    return true;
}

/// When the part was first sent to the leaf by this instance. Only a part that is sent again after a wait may go to a
/// leaf that it was sent to before.
std::optional<TimePoint> RouteExecution::firstSentAt(std::uint32_t part, std::string_view leaf) const
{
    if (m_parts[part].resends == 0)
        return std::nullopt;
    auto found = std::find_if(
        m_attempts.begin(), m_attempts.end(), [&](const Attempt& it) { return it.part == part && it.leaf == leaf; });
    return found == m_attempts.end() ? std::nullopt : std::optional(found->sentAt);
}

/// Schedules another try for a part that could not be sent, or marks the part as exhausted.
void RouteExecution::scheduleResend(Part& part, TimePoint now)
{
    // A gather does not wait for a shard without an available leaf. A forwarded request has no other part to return.
    bool isPaused = m_policies.pausedUntil(part.service, now).has_value();
    if (part.resends >= maxResends || (isGather() && !isAvailable(part, now))
        || (isPaused && !waitForPause(part, now))) {
        part.isExhausted = true;
        return;
    }
    if (isPaused)
        return;
    part.resendAt = now + resendDelay * (1U << part.resends++);
    part.hedgeAt.reset(); // no attempt of the part is running
    part.tried.clear();
}

/// Whether a leaf of the part's service can be asked now.
bool RouteExecution::isAvailable(const Part& part, TimePoint now) const
{
    return m_policies.hasLeaf(part.service) && !m_policies.pausedUntil(part.service, now);
}

/// Schedules a forwarded request for the end of the pause of its leaves, if it can then still be answered by the time
/// at which its answer is due. Otherwise the caller fares better with a refusal that states the time.
bool RouteExecution::waitForPause(Part& part, TimePoint now)
{
    auto until = m_policies.pausedUntil(part.service, now);
    if (isGather() || !until || part.resends >= maxResends || *until + m_policies.typicalLatency(*m_route) > m_answerBy)
        return false;
    ++part.resends;
    part.resendAt = *until;
    part.hedgeAt.reset();
    part.tried.clear();
    return true;
}

/// Time after which a retry of the caller may succeed: `minimum`, or the end of the first pause among the services of
/// the missing parts.
milliseconds RouteExecution::retryAfter(milliseconds minimum, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto& it : m_parts) {
        auto until = it.answered ? std::nullopt : m_policies.pausedUntil(it.service, now);
        if (until)
            first = std::min(first.value_or(*until), *until);
    }
    return first ? std::chrono::ceil<milliseconds>(*first - now) : minimum;
}

void RouteExecution::endAttempt(Attempt& attempt, AttemptEnd end, TimePoint now)
{
    attempt.ended = true;
    --m_parts[attempt.part].running;
    auto number = m_firstAttempt + static_cast<std::uint64_t>(&attempt - m_attempts.data());
    m_policies.onEnd(attempt.leaf, number, end, now);
}

RouteActions RouteExecution::onResult(AttemptResult result, TimePoint now)
{
    RouteActions actions;
    auto index = result.attempt - m_firstAttempt;
    if (m_finished || index >= m_attempts.size() || m_attempts[index].ended)
        return actions;
    auto& attempt = m_attempts[index];
    auto partIndex = attempt.part;
    auto& part = m_parts[partIndex];
    using Status = AttemptResult::Status;
    part.arrived += hasArrived(result.status) ? 1 : 0;
    part.ran += mayHaveRun(result.status) ? 1 : 0;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun(result.status);
    m_counters.refusals += result.status == Status::Refused ? 1 : 0;
    if (result.status == Status::WrongLeaf)
        m_policies.exclude(attempt.announcement);
    endAttempt(attempt, attemptEndOf(result.status), now);
    if (result.status == Status::Answered) {
        accept(part, attempt, result, actions, now);
        return completeActions(std::move(actions), now);
    }
    m_counters.failures += mayHaveRun(result.status) ? 1 : 0;
    if (result.status == Status::Failed)
        m_lastError = std::move(result.answer);
    if (mayRetry(partIndex))
        requestAgain({ partIndex }, Again::Retry, actions, now);
    return completeActions(std::move(actions), now);
}

void RouteExecution::accept(Part& part, Attempt& attempt, AttemptResult& result, RouteActions& actions, TimePoint now)
{
    m_policies.onLatency(*m_route, now - attempt.sentAt);
    if (part.answered)
        return;
    answerPart(part, actions);
    if (isGather()) {
        m_policies.onPartBytes(*m_route, result.answer.body.size());
        m_merge.add(result.answer.body);
        m_signatures.push_back(std::move(result.answer.signature));
    } else {
        m_forwarded = std::move(result.answer);
    }
}

/// Marks a part as answered and cancels its running attempts.
void RouteExecution::answerPart(Part& part, RouteActions& actions)
{
    part.answered = true;
    part.hedgeAt.reset();
    part.resendAt.reset();
    part.relays.clear();
    ++m_answered;
    for (std::size_t i = 0; i < m_attempts.size() && part.running > 0; ++i) {
        auto& other = m_attempts[i];
        if (other.ended || &m_parts[other.part] != &part)
            continue;
        actions.cancels.push_back(m_firstAttempt + i);
        other.ended = true;
    }
    part.running = 0;
}

/// Whether a part without a running attempt is to be requested again. Marks it as exhausted if that is not allowed.
bool RouteExecution::mayRetry(std::uint32_t index)
{
    auto& part = m_parts[index];
    if (part.answered || part.running > 0)
        return false;
    part.isExhausted = !mayRunAgain(part) || part.arrived >= maxArrivals;
    return !part.isExhausted;
}

RouteActions RouteExecution::onTimer(TimePoint now)
{
    RouteActions actions;
    if (m_finished)
        return actions;
    std::vector<std::uint32_t> hedges;
    for (std::uint32_t i = 0; i < m_parts.size(); ++i) {
        auto& part = m_parts[i];
        if (part.answered || part.isExhausted)
            continue;
        if (part.resendAt && now >= *part.resendAt) {
            part.resendAt.reset();
            if (!trySend(i, part.arrived > 0, actions, now))
                scheduleResend(part, now);
        } else if (part.hedgeAt && now >= *part.hedgeAt) {
            part.hedgeAt.reset();
            ++m_counters.late;
            auto unanswered = std::find_if(
                part.relays.begin(), part.relays.end(), [&](std::uint32_t it) { return !m_relays[it].hasBatch; });
            if (unanswered != part.relays.end()) {
                abandonRelay(*unanswered, true, actions, now);
                continue;
            }
            // Running attempts count as having run.
            if (m_route->idempotent && part.running > 0 && part.ran + part.running < m_route->attempts)
                hedges.push_back(i);
        }
    }
    requestAgain(std::move(hedges), Again::Hedge, actions, now);
    return completeActions(std::move(actions), now);
}

RouteActions RouteExecution::cancel()
{
    RouteActions actions;
    if (m_finished)
        return actions;
    m_finished = true;
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        if (m_attempts[i].ended)
            continue;
        actions.cancels.push_back(m_firstAttempt + i);
        m_attempts[i].ended = true;
    }
    for (std::uint32_t i = 0; i < m_relays.size(); ++i) {
        if (!std::exchange(m_relays[i].ended, true))
            actions.relayCancels.emplace_back(m_relays[i].peer, i);
    }
    return actions;
}

bool RouteExecution::isCongested() const
{
    return m_counters.late + m_counters.refusals > congestedShare * static_cast<double>(m_parts.size());
}

std::vector<std::string> RouteExecution::missingShards(TimePoint now) const
{
    std::vector<std::string> missing;
    for (const auto& it : m_parts) {
        if (!it.answered)
            missing.push_back(it.service + (m_policies.pausedUntil(it.service, now) ? "(paused)" : ""));
    }
    return missing;
}

/// Called at the end of each method: finishes the request if it is complete or can wait no longer, else sets the timer.
RouteActions RouteExecution::completeActions(RouteActions actions, TimePoint now)
{
    if (m_finished)
        return actions;
    auto open = static_cast<std::size_t>(
        std::count_if(m_parts.begin(), m_parts.end(), [](const Part& it) { return !it.answered && !it.isExhausted; }));
    bool isEnough = m_answered >= minAnswered();
    bool canSucceed = m_answered + open >= minAnswered();
    if (isEnough && open > 0 && now >= m_answerBy && !m_isOverdue)
        m_policies.onAnswerDelay(now - m_answerBy);
    m_isOverdue = m_isOverdue || now >= m_answerBy;
    if (isEnough && (open == 0 || now >= m_answerBy))
        finish(
            isGather() ? merged() : RouteOutcome { RouteOutcome::Kind::Forwarded, std::move(*m_forwarded) }, actions);
    else if (!canSucceed || now >= m_deadline)
        finish(failure(now), actions);
    else
        actions.nextTimer = nextTimer(now);
    return actions;
}

void RouteExecution::finish(RouteOutcome outcome, RouteActions& actions)
{
    auto ended = cancel();
    actions.cancels.insert(actions.cancels.end(), ended.cancels.begin(), ended.cancels.end());
    // Sends of the current call have not been executed yet, so they are dropped instead of cancelled.
    for (const auto& it : actions.sends) {
        std::erase(actions.cancels, it.attempt);
        m_policies.onEnd(it.leaf.leaf, it.attempt, AttemptEnd::Abandoned, m_deadline);
    }
    actions.sends.clear();
    actions.relayCancels.insert(actions.relayCancels.end(), ended.relayCancels.begin(), ended.relayCancels.end());
    actions.relays.clear();
    m_finished = true;
    actions.finish = std::move(outcome);
    actions.nextTimer.reset();
}

RouteOutcome RouteExecution::merged()
{
    RouteOutcome outcome;
    outcome.kind = RouteOutcome::Kind::Merged;
    outcome.answer.status = 200;
    outcome.answer.body = m_merge.take();
    outcome.signatures = std::move(m_signatures);
    outcome.missing = static_cast<std::uint32_t>(m_parts.size() - m_answered);
    return outcome;
}

RouteOutcome RouteExecution::failure(TimePoint now) const
{
    bool mayHaveRun = m_mayHaveRun
        || std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& it) { return !it.ended; })
        || std::any_of(m_relays.begin(), m_relays.end(), [](const Relay& it) { return !it.ended; });
    if (!mayHaveRun) {
        return { .error = ErrorKind::Overloaded,
            .reason = "no leaf could accept the request",
            .retryAfter = retryAfter(shortRetryAfter, now) };
    }
    if (!isGather() && m_lastError)
        return { RouteOutcome::Kind::Forwarded, *m_lastError };
    bool isLate = now >= m_deadline;
    if (isGather())
        return { .error = ErrorKind::CoverageTooLow,
            .reason = "fewer shards answered than the minimum coverage requires" };
    return { .error = ErrorKind::OutcomeUnknown,
        .reason
        = isLate ? "no leaf responded in time" : "the connection to the leaf ended without a complete response" };
}

std::optional<TimePoint> RouteExecution::nextTimer(TimePoint now) const
{
    auto next = m_deadline;
    if (m_answerBy > now)
        next = std::min(next, m_answerBy);
    for (const auto& it : m_parts) {
        if (it.answered || it.isExhausted)
            continue;
        if (it.hedgeAt)
            next = std::min(next, *it.hedgeAt);
        if (it.resendAt)
            next = std::min(next, *it.resendAt);
    }
    return next;
}

} // namespace citronplank
