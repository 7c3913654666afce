#include "query/RelayedGather.h"

#include <utility>

namespace citronplank {

RelayedGather::RelayedGather(RelayRequest request, std::uint64_t firstAttempt, RoutePolicies& policies)
    : m_request(std::move(request))
    , m_firstAttempt(firstAttempt)
    , m_policies(policies)
    , m_merge(m_request.topRecords)
{
    m_route.name = m_request.routeName;
    m_route.objective = m_request.objective;
    m_batch.isBatch = true;
}

RelayActions RelayedGather::start(TimePoint now)
{
    RelayActions actions;
    // Parts that are late for this instance, which knows the usual latency of its leaves, do not delay the others.
    Duration batchAfter = m_request.batchAfter;
    if (m_request.budget != RelayBudget::None && m_request.objective > milliseconds::zero())
        batchAfter = std::min(batchAfter, m_policies.hedgeDelay(m_route));
    m_batchAt = now + batchAfter;
    // Without a batch all parts are answered one by one.
    m_batchSent = m_request.batchAfter <= milliseconds::zero();
    m_deadline = now + m_request.remaining;
    auto typicalLatency = m_policies.typicalLatency(m_route);
    for (std::uint32_t i = 0; i < m_request.services.size(); ++i) {
        const auto& service = m_request.services[i];
        if (m_request.budget == RelayBudget::First)
            m_policies.onFirstRequest(service);
        const auto* leaf = m_policies.pickForPeer(service, typicalLatency, now);
        if (!leaf || (m_request.budget == RelayBudget::Extra && !m_policies.tryTakeExtra(service))) {
            m_batch.failed.push_back({ i });
            continue;
        }
        auto number = m_firstAttempt + m_attempts.size();
        m_attempts.push_back({ i, leaf->leaf, leaf->boot, now });
        m_policies.onStart(*leaf, number, typicalLatency, now);
        actions.sends.push_back({ number, *leaf, m_policies.connectionLimit(*leaf), m_request.remaining, false });
        ++m_running;
    }
    if (m_batchSent && !m_batch.failed.empty())
        actions.answers.push_back({ false, {}, {}, std::exchange(m_batch.failed, {}), {} });
    return completeActions(std::move(actions), now);
}

RelayActions RelayedGather::onResult(AttemptResult result, TimePoint now)
{
    RelayActions actions;
    auto index = result.attempt - m_firstAttempt;
    if (index >= m_attempts.size() || m_attempts[index].ended)
        return actions;
    auto& attempt = m_attempts[index];
    attempt.ended = true;
    --m_running;
    bool isAnswered = result.status == AttemptResult::Status::Answered;
    m_policies.onEnd(attempt.leaf, result.attempt, attemptEndOf(result.status), now);
    if (isAnswered)
        m_policies.onLatency(m_route, now - attempt.sentAt);
    std::vector<RelayAnswer::Leaving> leaving;
    if (result.isLeafLeaving)
        leaving.push_back({ attempt.leaf, attempt.boot });
    RelayAnswer::Failed failed { attempt.service, hasArrived(result.status), mayHaveRun(result.status) };
    if (!m_batchSent) {
        m_batch.leaving.insert(m_batch.leaving.end(), leaving.begin(), leaving.end());
        if (isAnswered) {
            m_merge.add(result.answer.body);
            m_batch.answered.push_back({ attempt.service, std::move(result.answer.signature) });
        } else {
            m_batch.failed.push_back(failed);
        }
    } else if (isAnswered) {
        TopRecords merge(m_request.topRecords);
        merge.add(result.answer.body);
        actions.answers.push_back({ false, { { attempt.service, std::move(result.answer.signature) } }, merge.take(),
            {}, std::move(leaving) });
    } else {
        actions.answers.push_back({ false, {}, {}, { failed }, std::move(leaving) });
    }
    return completeActions(std::move(actions), now);
}

RelayActions RelayedGather::onTimer(TimePoint now)
{
    RelayActions actions;
    if (now >= m_deadline) {
        // Report the missing parts so that the entry instance does not wait for them.
        RelayAnswer late;
        for (const auto& it : m_attempts) {
            if (!it.ended)
                late.failed.push_back({ it.service, true, true });
        }
        actions = cancel();
        if (!m_batchSent) {
            m_batch.failed.insert(m_batch.failed.end(), late.failed.begin(), late.failed.end());
            emitBatch(actions);
        } else if (!late.failed.empty()) {
            actions.answers.push_back(std::move(late));
        }
        return actions;
    }
    return completeActions(std::move(actions), now);
}

RelayActions RelayedGather::cancel()
{
    RelayActions actions;
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        if (std::exchange(m_attempts[i].ended, true))
            continue;
        actions.cancels.push_back(m_firstAttempt + i);
    }
    m_running = 0;
    actions.finished = true;
    return actions;
}

RelayActions RelayedGather::completeActions(RelayActions actions, TimePoint now)
{
    if (!m_batchSent && (m_running == 0 || now >= m_batchAt))
        emitBatch(actions);
    actions.finished = m_running == 0;
    if (!actions.finished)
        actions.nextTimer = m_batchSent ? m_deadline : std::min(m_batchAt, m_deadline);
    return actions;
}

std::vector<std::string> RelayedGather::waitingLeaves() const
{
    std::vector<std::string> leaves;
    for (const auto& it : m_attempts) {
        if (!it.ended)
            leaves.push_back(it.leaf);
    }
    return leaves;
}

void RelayedGather::emitBatch(RelayActions& actions)
{
    m_batchSent = true;
    m_batch.records = m_merge.take();
    actions.answers.insert(actions.answers.begin(), std::move(m_batch));
}

} // namespace citronplank
