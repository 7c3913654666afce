#include "daemon/PartService.h"

#include <algorithm>

namespace citronplank {

PartService::PartService(LeafClient& client, PartServiceHandlers handlers, LeafGatesSettings settings)
    : m_client(client)
    , m_handlers(std::move(handlers))
    , m_gates(LockRank::LeafGates, settings)
    , m_connectionLimits(LockRank::LeafGates)
{
}

void PartService::submit(const std::string& sender, const Part& part)
{
    perform(m_gates.with([&](LeafGates& gates) { return gates.submit(sender, part, Clock::now()); }));
}

void PartService::cancel(const std::string& sender, std::uint64_t partId, bool queuedOnly)
{
    perform(m_gates.with([&](LeafGates& gates) { return gates.cancel(sender, partId, queuedOnly, Clock::now()); }));
}

void PartService::setLeaf(const Announcement& announcement)
{
    m_connectionLimits.with([&](auto& connections) { connections[announcement.leaf] = announcement.connections; });
    perform(m_gates.with([&](LeafGates& gates) { return gates.setLeaf(announcement, Clock::now()); }));
}

void PartService::removeLeaf(const std::string& leaf)
{
    m_connectionLimits.with([&](auto& connections) { connections.erase(leaf); });
    perform(m_gates.with([&](LeafGates& gates) { return gates.removeLeaf(leaf, Clock::now()); }));
    m_client.closeConnections(leaf);
}

void PartService::setRules(const Rules& rules)
{
    perform(m_gates.with([&](LeafGates& gates) { return gates.setRules(rules, Clock::now()); }));
}

void PartService::setAllowance(const std::string& leaf, const LeafAllowance& allowance)
{
    perform(m_gates.with([&](LeafGates& gates) { return gates.setAllowance(leaf, allowance, Clock::now()); }));
}

void PartService::applySuspicion(const SuspicionEvent& event, TimePoint expiresAt)
{
    m_gates.with([&](LeafGates& gates) {
        auto& suspicions = gates.suspicions();
        if (event.state == Suspicion::Blocked)
            suspicions.adoptBlocked(event.fingerprint, expiresAt);
        else if (event.state == Suspicion::Suspect)
            suspicions.adoptSuspect(event.fingerprint, event.shard, event.wasAlone, Clock::now());
        else
            suspicions.adoptCleared(event.fingerprint);
    });
}

void PartService::onTimer(TimePoint now)
{
    perform(m_gates.with([&](LeafGates& gates) { return gates.onTimer(now); }));
}

void PartService::perform(GateActions actions)
{
    for (auto& it : actions.dispatches) {
        auto limit = m_connectionLimits.with([&](auto& connections) {
            auto found = connections.find(it.part.leaf);
            return found == connections.end() ? 1U : found->second;
        });
        m_client.send(it.part, it.address, limit, [this](const PartResult& result) {
            perform(m_gates.with([&](LeafGates& gates) { return gates.onResult(result, Clock::now()); }));
        });
    }
    for (auto partId : actions.cancelRunning) {
        // A part that has already ended is reported by its callback.
        if (!m_client.cancel(partId))
            continue;
        PartResult closed;
        closed.partId = partId;
        closed.status = PartStatus::Deadline;
        closed.outcome = Outcome::MayHaveRun;
        perform(m_gates.with([&](LeafGates& gates) { return gates.onResult(closed, Clock::now()); }));
    }
    for (const auto& it : actions.answers)
        m_handlers.answer(it.sender, it.result);
    for (const auto& it : actions.suspicions)
        m_handlers.suspicion(it);
}

std::vector<GateStatus> PartService::status() const
{
    return m_gates.with([](LeafGates& gates) { return gates.status(Clock::now()); });
}

GateCounters PartService::counters() const
{
    return m_gates.with([](LeafGates& gates) { return gates.counters(); });
}

bool PartService::isIdle() const
{
    auto gates = status();
    return std::all_of(
        gates.begin(), gates.end(), [](const GateStatus& it) { return it.running == 0 && it.queued == 0; });
}

} // namespace citronplank
