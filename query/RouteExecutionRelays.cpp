// Relay requests of a RouteExecution to peers.
#include "query/RouteExecution.h"

#include <algorithm>
#include <utility>

namespace citronplank {

namespace {

constexpr milliseconds relayOverhead { 12 }; // for two messages between instances, in addition to the time of a leaf
/// Fraction of the objective after which a relay request times out. A small or busy instance needs tens of milliseconds
/// to send to about twenty leaves. The remaining time is sufficient to send to the leaves directly.
constexpr double relayShareOfObjective = 0.55;

} // namespace

/// Sends relay requests as planned by the policies, mostly for parts without a leaf in the own zone.
void RouteExecution::sendRelays(RouteActions& actions, TimePoint now)
{
    auto hedgeDelay = m_policies.hedgeDelay(*m_route);
    auto wait = std::max<Duration>(
        hedgeDelay + relayOverhead, std::chrono::duration_cast<Duration>(m_route->objective * relayShareOfObjective));
    for (auto& plan : m_policies.planRelays(*m_route, now)) {
        auto number = static_cast<std::uint32_t>(m_relays.size());
        RelaySend send { number, plan.peer, {}, std::chrono::ceil<milliseconds>(wait) };
        for (auto index : plan.shardIndices) {
            auto& part = m_parts[index];
            part.relay = number;
            part.running = 1;
            part.hedgeAt = now + wait;
            part.tried = m_policies.leavesIn(part.service, plan.zone);
            send.request.services.push_back(part.service);
            ++m_counters.relayed;
        }
        send.request.routeName = m_route->name;
        send.request.objective = m_route->objective;
        send.request.topRecords = m_route->topRecords;
        send.request.remaining = leafTimeout(now);
        send.request.batchAfter = std::chrono::ceil<milliseconds>(hedgeDelay);
        m_relays.push_back({ plan.peer, std::move(plan.shardIndices) });
        actions.relays.push_back(std::move(send));
    }
}

void RouteExecution::acceptRelayed(Part& part, std::string signature, RouteActions& actions)
{
    m_mayHaveRun = true;
    ++part.ran;
    ++part.arrived;
    answerPart(part, actions);
    m_signatures.push_back(std::move(signature));
}

void RouteExecution::failRelayed(
    std::uint32_t index, bool hasArrived, bool mayHaveRun, RouteActions& actions, TimePoint now)
{
    auto& part = m_parts[index];
    part.relay.reset();
    --part.running;
    part.arrived += hasArrived ? 1 : 0;
    if (mayHaveRun) {
        m_mayHaveRun = true;
        ++part.ran;
        ++m_counters.failures;
    }
    onFailed(index, actions, now);
}

RouteActions RouteExecution::onRelayAnswer(std::uint32_t number, const RelayAnswer& answer, TimePoint now)
{
    RouteActions actions;
    if (m_finished || number >= m_relays.size() || m_relays[number].ended)
        return actions;
    auto& relay = m_relays[number];
    if (answer.isBatch) {
        relay.hasBatch = true;
        m_policies.onPeerResult(relay.peer, true, now);
    }
    // No part of the relay is requested elsewhere before the batch, so its merged records count each part once.
    bool merges = false;
    for (const auto& it : answer.answered) {
        if (it.service >= relay.parts.size() || m_parts[relay.parts[it.service]].relay != number)
            continue;
        acceptRelayed(m_parts[relay.parts[it.service]], it.signature, actions);
        merges = true;
    }
    if (merges)
        m_merge.add(answer.records);
    for (const auto& it : answer.failed) {
        if (it.service < relay.parts.size() && m_parts[relay.parts[it.service]].relay == number)
            failRelayed(relay.parts[it.service], it.hasArrived, it.mayHaveRun, actions, now);
    }
    bool isOpen = false;
    for (auto index : relay.parts) {
        auto& part = m_parts[index];
        if (part.relay != number)
            continue;
        isOpen = true;
        if (answer.isBatch)
            part.hedgeAt = now;
    }
    relay.ended = !isOpen;
    return completeActions(std::move(actions), now);
}

RouteActions RouteExecution::onRelayFailed(std::uint32_t number, TimePoint now)
{
    RouteActions actions;
    if (m_finished || m_relays[number].ended)
        return actions;
    abandonRelay(number, false, actions, now);
    return completeActions(std::move(actions), now);
}

/// Ends a relay whose peer failed or did not answer in time, and requests its parts elsewhere. A later batch is ignored
/// because it would count these parts twice.
void RouteExecution::abandonRelay(std::uint32_t number, bool mayHaveArrived, RouteActions& actions, TimePoint now)
{
    auto& relay = m_relays[number];
    relay.ended = true;
    ++m_counters.brokenRelays;
    m_policies.onPeerResult(relay.peer, false, now);
    actions.relayCancels.emplace_back(relay.peer, number);
    for (auto index : relay.parts) {
        if (m_parts[index].relay == number)
            failRelayed(index, mayHaveArrived, mayHaveArrived, actions, now);
    }
}

} // namespace citronplank
