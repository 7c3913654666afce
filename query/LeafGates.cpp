#include "query/LeafGates.h"

#include <algorithm>

namespace citronplank {

LeafGates::Gate& LeafGates::gateOf(const std::string& leaf)
{
    auto [it, isNew] = m_gates.try_emplace(leaf);
    if (isNew) {
        it->second.leaf.leaf = leaf;
        it->second.slowStart = SlowStart(m_settings.slowStart);
        it->second.isRemoved = true;
    }
    return it->second;
}

GateActions LeafGates::setLeaf(const Announcement& it, TimePoint now)
{
    GateActions actions;
    auto& gate = gateOf(it.leaf);
    const bool isOlder = it.boot < gate.leaf.boot || (it.boot == gate.leaf.boot && it.sequence < gate.leaf.sequence);
    if (!gate.isRemoved && isOlder)
        return completeActions(std::move(actions), now);
    // A leaf that was removed may have restarted or stalled, so its current load is unknown.
    if (gate.isRemoved || it.boot != gate.leaf.boot)
        gate.slowStart.reset();
    gate.leaf = it;
    gate.isRemoved = false;
    dispatchQueued(gate, actions, now);
    return completeActions(std::move(actions), now);
}

GateActions LeafGates::removeLeaf(const std::string& leaf, TimePoint now)
{
    GateActions actions;
    const auto it = m_gates.find(leaf);
    if (it != m_gates.end()) {
        it->second.isRemoved = true;
        dispatchQueued(it->second, actions, now);
        if (it->second.running.empty())
            m_gates.erase(it);
    }
    return completeActions(std::move(actions), now);
}

GateActions LeafGates::setRules(const Rules& rules, TimePoint now)
{
    GateActions actions;
    m_rules = rules;
    for (auto& [leaf, gate] : m_gates)
        dispatchQueued(gate, actions, now);
    return completeActions(std::move(actions), now);
}

GateActions LeafGates::setAllowance(const std::string& leaf, const LeafAllowance& allowance, TimePoint now)
{
    GateActions actions;
    auto& gate = gateOf(leaf);
    const auto isValid = [now](const LeafAllowance& it) { return it.limit > 0 && now < it.until; };
    // Another owner may have sent parts in the meantime.
    if (isValid(allowance) && !isValid(gate.allowance))
        gate.slowStart.reset();
    gate.allowance = allowance;
    dispatchQueued(gate, actions, now);
    return completeActions(std::move(actions), now);
}

/// Number of parts that may be in flight on the leaf now. 0 if the leaf is not announced or the allowance has ended.
std::uint32_t LeafGates::limitOf(const Gate& gate, TimePoint now) const
{
    if (gate.isRemoved || now >= gate.allowance.until)
        return 0;
    auto limit = std::min({ gate.leaf.slots, gate.leaf.connections, gate.allowance.limit });
    const auto rule = m_rules.leaves.find(gate.leaf.leaf);
    if (rule != m_rules.leaves.end() && rule->second.limit)
        limit = std::min(limit, *rule->second.limit);
    return std::min(limit, gate.slowStart.limit(gate.leaf.slots));
}

/// Number of parts in flight on the current boot. The parts of an earlier boot ended with its process.
std::uint32_t LeafGates::runningOf(const Gate& gate) const
{
    return static_cast<std::uint32_t>(std::count_if(gate.running.begin(), gate.running.end(),
        [&](std::uint64_t id) { return m_running.at(id).boot == gate.leaf.boot; }));
}

bool LeafGates::runsSuspect(const Gate& gate) const
{
    return std::any_of(
        gate.running.begin(), gate.running.end(), [&](std::uint64_t id) { return m_running.at(id).wasSuspect; });
}

/// Whether the leaf may get parts at all, regardless of how many are in flight. Otherwise its queue is refused.
bool LeafGates::mayStart(const Gate& gate, TimePoint now) const
{
    const auto rule = m_rules.leaves.find(gate.leaf.leaf);
    const bool isLeafOut = rule != m_rules.leaves.end() && rule->second.out;
    return !gate.leaf.draining && !isLeafOut && !m_rules.zonesOut.contains(gate.leaf.zone) && limitOf(gate, now) > 0;
}

/// Whether a part that is submitted now does not have to wait for others.
bool LeafGates::hasFreeSlot(const Gate& gate, TimePoint now) const
{
    return gate.queue.empty() && gate.running.size() < limitOf(gate, now);
}

/// Whether the part will probably complete in time after the queued parts with earlier deadlines. Always true for an
/// idle gate, because the recent latency may be outdated and only another completion can correct it. Precondition:
/// `limit` is not 0.
bool LeafGates::meetsDeadline(const Gate& gate, std::uint32_t limit, TimePoint deadline, TimePoint now) const
{
    const auto latency = recentLatency(gate);
    const auto queued = std::distance(gate.queue.begin(), gate.queue.upper_bound(deadline));
    const auto ahead = static_cast<std::int64_t>(gate.running.size()) + queued;
    if (!m_settings.estimateWait || ahead == 0)
        return true;
    return now + latency * ahead / limit + latency <= deadline;
}

void LeafGates::recordLatency(Gate& gate, Duration latency)
{
    constexpr double recentWeight = 0.25; // averages over about the last four parts
    const double sample = std::chrono::duration<double>(latency).count();
    gate.recentSeconds += (gate.recentSeconds > 0 ? recentWeight : 1.0) * (sample - gate.recentSeconds);
}

Duration LeafGates::recentLatency(const Gate& gate)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gate.recentSeconds));
}

GateActions LeafGates::submit(const std::string& sender, const Part& part, TimePoint now)
{
    GateActions actions;
    const PartKey key { sender, part.partId };
    if (m_queuedLeaves.contains(key) || m_runningIds.contains(key)) {
        ++m_counters.duplicateParts;
        return completeActions(std::move(actions), now);
    }
    QueuedPart queued { .sender = sender, .part = part, .deadline = now + part.remaining };
    const auto found = m_gates.find(part.leaf);
    const bool isBlocked = m_suspicions.stateOf(part.fingerprint, now) == Suspicion::Blocked;
    if (found == m_gates.end() || !mayStart(found->second, now)) {
        ++m_counters.refusedRules;
        refuse(queued, PartStatus::Refused, actions);
    } else if (isBlocked) {
        ++m_counters.refusedBlocked;
        refuse(queued, PartStatus::Blocked, actions);
    } else if (!part.mayQueue && !hasFreeSlot(found->second, now)) {
        ++m_counters.refusedBusy;
        refuse(queued, PartStatus::Refused, actions);
        actions.answers.back().result.wasBusy = true;
    } else if (found->second.queue.size() >= m_settings.queueLimit) {
        ++m_counters.refusedQueueFull;
        refuse(queued, PartStatus::Refused, actions);
    } else if (!meetsDeadline(found->second, limitOf(found->second, now), queued.deadline, now)) {
        ++m_counters.refusedWait;
        refuse(queued, PartStatus::Refused, actions);
    } else {
        m_queuedLeaves[key] = part.leaf;
        found->second.queue.emplace(queued.deadline, std::move(queued));
        dispatchQueued(found->second, actions, now);
    }
    return completeActions(std::move(actions), now);
}

/// Answers a part that was not started. The caller removes the part from its queue.
void LeafGates::refuse(const QueuedPart& it, PartStatus status, GateActions& actions)
{
    m_queuedLeaves.erase({ it.sender, it.part.partId });
    actions.answers.push_back({ .sender = it.sender,
        .result = { .partId = it.part.partId, .status = status, .outcome = Outcome::NotRun, .shard = it.part.shard } });
}

/// Removes expired parts from the queue and starts as many queued parts as the gate currently allows.
void LeafGates::dispatchQueued(Gate& gate, GateActions& actions, TimePoint now)
{
    expire(gate, actions, now);
    if (!mayStart(gate, now)) {
        m_counters.refusedRules += gate.queue.size();
        for (const auto& [deadline, it] : gate.queue)
            refuse(it, PartStatus::Refused, actions);
        gate.queue.clear();
        return;
    }
    while (startFirst(gate, actions, now)) { }
}

void LeafGates::expire(Gate& gate, GateActions& actions, TimePoint now)
{
    while (!gate.queue.empty() && gate.queue.begin()->first <= now) {
        ++m_counters.expiredInQueue;
        refuse(gate.queue.begin()->second, PartStatus::Deadline, actions);
        gate.queue.erase(gate.queue.begin());
    }
}

/// Starts or refuses the first queued part. Returns false if it has to wait or there is none.
bool LeafGates::startFirst(Gate& gate, GateActions& actions, TimePoint now)
{
    if (gate.queue.empty())
        return false;
    const auto first = gate.queue.begin();
    const auto suspicion = m_suspicions.stateOf(first->second.part.fingerprint, now);
    if (suspicion == Suspicion::Blocked) {
        ++m_counters.refusedBlocked;
        refuse(first->second, PartStatus::Blocked, actions);
        gate.queue.erase(first);
        return true;
    }
    const auto limit = limitOf(gate, now);
    const auto running = runningOf(gate);
    const bool isSuspect = suspicion == Suspicion::Suspect;
    if (running >= limit || gate.running.size() >= gate.leaf.connections || runsSuspect(gate)
        || (isSuspect && !gate.running.empty()))
        return false;
    auto part = std::move(first->second);
    gate.queue.erase(first);
    // Under overload, a part that can no longer complete in time would only occupy the slot of one that can.
    if (m_settings.estimateWait && !gate.queue.empty() && now + recentLatency(gate) > part.deadline) {
        ++m_counters.expiredInQueue;
        refuse(part, PartStatus::Deadline, actions);
        return true;
    }
    start(gate, std::move(part), isSuspect, limit, actions, now);
    return true;
}

void LeafGates::start(
    Gate& gate, QueuedPart it, bool isSuspect, std::uint32_t limit, GateActions& actions, TimePoint now)
{
    const auto id = m_nextId++;
    const PartKey key { it.sender, it.part.partId };
    const bool isKeyed = !it.part.requestKey.empty();
    const bool atLimit = runningOf(gate) + 1 >= limit;
    m_queuedLeaves.erase(key);
    m_runningIds[key] = id;
    gate.running.insert(id);
    m_running[id] = { .sender = it.sender,
        .partId = it.part.partId,
        .leaf = gate.leaf.leaf,
        .boot = gate.leaf.boot,
        .fingerprint = it.part.fingerprint,
        .shard = it.part.shard.shard,
        .startedAt = now,
        .deadline = isKeyed ? it.deadline + m_settings.keyedGrace : it.deadline,
        .isKeyed = isKeyed,
        .wasSuspect = isSuspect,
        .atLimit = atLimit };
    ++m_counters.dispatched;
    it.part.partId = id;
    it.part.remaining = std::chrono::ceil<milliseconds>(it.deadline - now);
    actions.dispatches.push_back({ .part = std::move(it.part), .address = gate.leaf.address });
}

GateActions LeafGates::onResult(const PartResult& result, TimePoint now)
{
    GateActions actions;
    const auto found = m_running.find(result.partId);
    if (found == m_running.end()) {
        ++m_counters.unknownResults;
        return completeActions(std::move(actions), now);
    }
    const auto part = std::move(found->second);
    const auto gateIt = m_gates.find(part.leaf);
    auto& gate = gateIt->second;
    m_running.erase(found);
    m_runningIds.erase({ part.sender, part.partId });
    gate.running.erase(result.partId);
    if (!part.isCancelled)
        recordOutcome(gate, part, result, actions, now);
    if (!part.isAnswered)
        actions.answers.push_back({ .sender = part.sender, .result = answerOf(part, result, now) });
    dispatchQueued(gate, actions, now);
    if (gate.isRemoved && gate.running.empty())
        m_gates.erase(gateIt);
    return completeActions(std::move(actions), now);
}

/// Returns the result for the sender, with the sender's part id and, where the status determines it, the outcome.
PartResult LeafGates::answerOf(const RunningPart& part, PartResult result, TimePoint now)
{
    result.partId = part.partId;
    if (result.leafTime.count() == 0)
        result.leafTime = std::chrono::duration_cast<std::chrono::microseconds>(now - part.startedAt);
    // The gate closed the connection itself, so this is not a crash.
    if (part.isCancelled && (result.status == PartStatus::Crashed || result.status == PartStatus::Unreachable))
        result.status = PartStatus::Deadline;
    switch (result.status) {
    case PartStatus::Ok:
    case PartStatus::Failed:
        result.outcome = Outcome::Ran;
        break;
    case PartStatus::Crashed:
        result.outcome = Outcome::MayHaveRun;
        break;
    case PartStatus::Deadline:
        if (part.isCancelled)
            result.outcome = Outcome::MayHaveRun;
        break;
    default:
        break;
    }
    return result;
}

/// Updates slow start, the recent latency and the suspicions with the result of a part that was not cancelled.
void LeafGates::recordOutcome(
    Gate& gate, const RunningPart& part, const PartResult& result, GateActions& actions, TimePoint now)
{
    const bool isCurrentBoot = part.boot == gate.leaf.boot;
    switch (result.status) {
    case PartStatus::Ok:
    case PartStatus::Failed:
        if (isCurrentBoot) {
            recordLatency(gate, now - part.startedAt);
            gate.slowStart.onCompleted(now - part.startedAt, part.atLimit, gate.leaf.slots);
        }
        if ((part.wasSuspect || part.ranDuringCrash) && m_suspicions.onCompleted(part.fingerprint, part.shard))
            actions.suspicions.push_back({ .fingerprint = part.fingerprint, .shard = part.shard });
        return;
    case PartStatus::Crashed:
        if (isCurrentBoot)
            gate.slowStart.onConnectionLost();
        onCrash(gate, part, actions, now);
        return;
    case PartStatus::Refused:
        if (isCurrentBoot)
            gate.slowStart.onRefused();
        return;
    case PartStatus::Unreachable:
        if (isCurrentBoot)
            gate.slowStart.onConnectionLost();
        return;
    case PartStatus::Deadline:
        if (isCurrentBoot)
            gate.slowStart.onTimedOut();
        return;
    default:
        return;
    }
}

/// Marks the part and all others that were running on the leaf as suspects. Precondition: the part has been removed
/// from `gate.running`.
void LeafGates::onCrash(Gate& gate, const RunningPart& part, GateActions& actions, TimePoint now)
{
    bool wasAlone = !part.ranDuringCrash;
    for (const auto id : gate.running) {
        auto& other = m_running.at(id);
        if (other.boot != part.boot)
            continue;
        wasAlone = false;
        if (other.ranDuringCrash)
            continue;
        other.ranDuringCrash = true;
        const auto state = m_suspicions.onCrash({ .fingerprint = other.fingerprint, .shard = other.shard }, now);
        actions.suspicions.push_back({ .fingerprint = other.fingerprint, .shard = other.shard, .state = state });
    }
    const CrashReport report {
        .fingerprint = part.fingerprint, .shard = part.shard, .wasAlone = wasAlone, .wasSuspect = part.wasSuspect
    };
    const auto state = m_suspicions.onCrash(report, now);
    actions.suspicions.push_back(
        { .fingerprint = part.fingerprint, .shard = part.shard, .wasAlone = wasAlone, .state = state });
}

GateActions LeafGates::cancel(const std::string& sender, std::uint64_t partId, bool queuedOnly, TimePoint now)
{
    GateActions actions;
    const PartKey key { sender, partId };
    const auto queued = m_queuedLeaves.find(key);
    if (queued != m_queuedLeaves.end()) {
        auto& gate = m_gates.at(queued->second);
        const auto it = std::find_if(gate.queue.begin(), gate.queue.end(),
            [&](const auto& entry) { return entry.second.sender == sender && entry.second.part.partId == partId; });
        const auto part = std::move(it->second);
        gate.queue.erase(it);
        refuse(part, PartStatus::Refused, actions);
        dispatchQueued(gate, actions, now);
        return completeActions(std::move(actions), now);
    }
    const auto running = m_runningIds.find(key);
    if (running != m_runningIds.end() && !queuedOnly) {
        auto& part = m_running.at(running->second);
        if (!part.isCancelled)
            actions.cancelRunning.push_back(running->second);
        part.isCancelled = true;
        part.isAnswered = true;
    }
    return completeActions(std::move(actions), now);
}

GateActions LeafGates::onTimer(TimePoint now)
{
    GateActions actions;
    for (auto& [id, part] : m_running) {
        if (part.isCancelled || part.deadline > now)
            continue;
        part.isCancelled = true;
        actions.cancelRunning.push_back(id);
        auto& gate = m_gates.at(part.leaf);
        if (part.boot == gate.leaf.boot) {
            gate.slowStart.onTimedOut();
            recordLatency(gate, std::max(now - part.startedAt, recentLatency(gate)));
        }
        // A keyed part is answered once it has ended, because the leaf may still report its outcome.
        if (part.isKeyed)
            continue;
        part.isAnswered = true;
        actions.answers.push_back({ .sender = part.sender,
            .result = { .partId = part.partId, .status = PartStatus::Deadline, .outcome = Outcome::MayHaveRun } });
    }
    for (auto& [leaf, gate] : m_gates)
        dispatchQueued(gate, actions, now);
    return completeActions(std::move(actions), now);
}

GateActions LeafGates::completeActions(GateActions actions, TimePoint now) const
{
    std::optional<TimePoint>& timer = actions.nextTimer;
    const auto include = [&](TimePoint it) { timer = timer ? std::min(*timer, it) : it; };
    for (const auto& [leaf, gate] : m_gates) {
        if (!gate.queue.empty())
            include(std::min(gate.queue.begin()->first, gate.allowance.until));
    }
    for (const auto& [id, part] : m_running) {
        if (!part.isCancelled)
            include(part.deadline);
    }
    if (timer)
        timer = std::max(*timer, now);
    return actions;
}

std::vector<GateStatus> LeafGates::status(TimePoint now) const
{
    std::vector<GateStatus> list;
    for (const auto& [leaf, gate] : m_gates)
        list.push_back({ .leaf = leaf,
            .limit = limitOf(gate, now),
            .running = static_cast<std::uint32_t>(gate.running.size()),
            .queued = gate.queue.size() });
    return list;
}

} // namespace citronplank
