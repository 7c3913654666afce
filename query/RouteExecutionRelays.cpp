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
/// Fraction of the time that is left to answer the caller after which a gatherer answers with the parts that it has.
/// The rest is for parts that are requested again.
constexpr double batchShareOfTime = 0.5;
constexpr milliseconds minRelayWait { 1 };
/// Relays of one request after which parts are requested again from leaves only. Their numbers have 8 bits in a
/// message.
constexpr std::size_t maxRelays = 128;
constexpr std::uint32_t maxUnsentRelays = 2; // of one part, because links were not open; then it is sent to a leaf

} // namespace

/// Sends relay requests as planned by the policies, mostly for parts without a leaf in the own zone.
void RouteExecution::sendRelays(RouteActions& actions, TimePoint now)
{
    auto hedgeDelay = m_policies.hedgeDelay(*m_route);
    auto batchAfter = std::chrono::ceil<milliseconds>(hedgeDelay);
    auto wait = std::max<Duration>(
        hedgeDelay + relayOverhead, std::chrono::duration_cast<Duration>(m_route->objective * relayShareOfObjective));
    auto budget = RelayBudget::None;
    if (m_policies.usesGroups(*m_route)) {
        auto left = std::max<Duration>(m_answerBy - now, minRelayWait);
        batchAfter = std::chrono::ceil<milliseconds>(left * batchShareOfTime);
        wait = batchAfter + relayOverhead;
        budget = RelayBudget::First;
    }
    for (auto& plan : m_policies.planRelays(*m_route, now))
        sendRelay(std::move(plan), batchAfter, wait, budget, actions, now);
}

/// Requests the parts of a plan from a peer. If `batchAfter` is 0, the peer answers them one by one.
void RouteExecution::sendRelay(RoutePolicies::RelayPlan plan, milliseconds batchAfter, Duration wait,
    RelayBudget budget, RouteActions& actions, TimePoint now)
{
    auto number = static_cast<std::uint32_t>(m_relays.size());
    bool hasBatch = batchAfter <= milliseconds::zero();
    RelaySend send { number, plan.peer, {}, std::chrono::ceil<milliseconds>(wait) };
    for (auto index : plan.shardIndices) {
        auto& part = m_parts[index];
        part.relays.push_back(number);
        ++part.running;
        part.resendAt.reset();
        part.hedgeAt = hasBatch ? std::nullopt : std::optional(now + wait);
        for (auto& leaf : m_policies.leavesIn(part.service, plan.zone))
            part.tried.push_back(std::move(leaf));
        send.request.services.push_back(part.service);
        ++m_counters.relayed;
    }
    send.request.routeName = m_route->name;
    send.request.objective = m_route->objective;
    send.request.topRecords = m_route->topRecords;
    send.request.remaining = leafTimeout(now);
    send.request.batchAfter = batchAfter;
    send.request.budget = budget;
    m_relays.push_back({ plan.peer, std::move(plan.shardIndices), hasBatch });
    actions.relays.push_back(std::move(send));
}

/// Requests parts from peers in zones with leaves that they were not sent to, as hedges or retries. Returns those that
/// must be sent to leaves directly.
std::vector<std::uint32_t> RouteExecution::relayAgain(
    std::span<const std::uint32_t> parts, Again again, RouteActions& actions, TimePoint now)
{
    std::vector<std::uint32_t> direct(parts.begin(), parts.end());
    if (!isGather() || !m_policies.usesGroups(*m_route) || m_relays.size() >= maxRelays)
        return direct;
    std::sort(direct.begin(), direct.end());
    std::vector<RoutePolicies::RelayCandidate> candidates;
    for (auto it : direct) {
        if (m_parts[it].unsentRelays < maxUnsentRelays)
            candidates.push_back({ it, m_parts[it].tried });
    }
    auto until = now < m_answerBy ? m_answerBy : m_deadline;
    auto wait = std::max<Duration>(until - now, minRelayWait);
    for (auto& plan : m_policies.planGroups(*m_route, candidates, now)) {
        for (auto index : plan.shardIndices)
            std::erase(direct, index);
        auto isExtra = [&](std::uint32_t it) { return again == Again::Hedge || m_parts[it].arrived > 0; };
        auto firstExtra = std::stable_partition(
            plan.shardIndices.begin(), plan.shardIndices.end(), [&](std::uint32_t it) { return !isExtra(it); });
        std::vector<std::uint32_t> extra(firstExtra, plan.shardIndices.end());
        plan.shardIndices.erase(firstExtra, plan.shardIndices.end());
        // The batch of a hedge could not be split if the first peer answers one of its parts after all.
        auto batchAfter
            = again == Again::Hedge ? milliseconds(0) : std::chrono::ceil<milliseconds>(wait * batchShareOfTime);
        if (!extra.empty())
            sendRelay({ plan.peer, plan.zone, std::move(extra) }, batchAfter, wait, RelayBudget::Extra, actions, now);
        if (!plan.shardIndices.empty())
            sendRelay(std::move(plan), batchAfter, wait, RelayBudget::None, actions, now);
    }
    return direct;
}

/// Sends hedges, or retries of parts whose attempts have failed.
void RouteExecution::requestAgain(std::vector<std::uint32_t> parts, Again again, RouteActions& actions, TimePoint now)
{
    if (parts.empty())
        return;
    auto direct = relayAgain(parts, again, actions, now);
    auto relayed = static_cast<std::uint32_t>(parts.size() - direct.size());
    (again == Again::Hedge ? m_counters.hedges : m_counters.retries) += relayed;
    for (auto index : direct) {
        auto& part = m_parts[index];
        if (trySend(index, again == Again::Hedge || part.arrived > 0, actions, now)) {
            ++(again == Again::Hedge ? m_counters.hedges : m_counters.retries);
            if (again == Again::Hedge)
                part.hedgeAt.reset();
        } else if (again == Again::Retry) {
            scheduleResend(part, now);
        }
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

/// Ends a part's attempt by a relay. Returns whether the part has to be requested again.
bool RouteExecution::failRelayed(std::uint32_t index, std::uint32_t relay, bool hasArrived, bool mayHaveRun)
{
    auto& part = m_parts[index];
    std::erase(part.relays, relay);
    --part.running;
    part.arrived += hasArrived ? 1 : 0;
    if (mayHaveRun) {
        m_mayHaveRun = true;
        ++part.ran;
        ++m_counters.failures;
    }
    return mayRetry(index);
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
    auto isOpen = [&](std::uint32_t index) {
        const auto& relays = m_parts[index].relays;
        return std::find(relays.begin(), relays.end(), number) != relays.end();
    };
    // Before the batch no part of the relay is requested elsewhere, and without one each answer has one part, so the
    // merged records count each part once.
    bool merges = false;
    for (const auto& it : answer.answered) {
        if (it.service >= relay.parts.size() || !isOpen(relay.parts[it.service]))
            continue;
        acceptRelayed(m_parts[relay.parts[it.service]], it.signature, actions);
        merges = true;
    }
    if (merges)
        m_merge.add(answer.records);
    std::vector<std::uint32_t> retries;
    for (const auto& it : answer.failed) {
        if (it.service < relay.parts.size() && isOpen(relay.parts[it.service])
            && failRelayed(relay.parts[it.service], number, it.hasArrived, it.mayHaveRun))
            retries.push_back(relay.parts[it.service]);
    }
    bool hasOpenParts = false;
    for (auto index : relay.parts) {
        if (!isOpen(index))
            continue;
        hasOpenParts = true;
        if (answer.isBatch)
            m_parts[index].hedgeAt = now;
    }
    relay.ended = !hasOpenParts;
    requestAgain(std::move(retries), Again::Retry, actions, now);
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
    m_relays[number].ended = true;
    ++m_counters.brokenRelays;
    m_counters.unsentRelays += mayHaveArrived ? 0 : 1;
    m_policies.onPeerResult(m_relays[number].peer, false, now);
    actions.relayCancels.emplace_back(m_relays[number].peer, number);
    std::vector<std::uint32_t> retries;
    for (auto index : m_relays[number].parts) {
        auto& part = m_parts[index];
        if (std::find(part.relays.begin(), part.relays.end(), number) == part.relays.end())
            continue;
        if (!mayHaveArrived) {
            part.tried.clear();
            ++part.unsentRelays;
        }
        if (failRelayed(index, number, mayHaveArrived, mayHaveArrived))
            retries.push_back(index);
    }
    requestAgain(std::move(retries), Again::Retry, actions, now);
}

} // namespace citronplank
