// Failure detection of Gossip: probes with relays, suspicion and local health.
#include "coordination/Gossip.h"
#include "coordination/GossipLimits.h"

#include <algorithm>

namespace citronplank {

namespace {

constexpr std::uint32_t maxLocalHealthScore = 8; // as in Lifeguard
constexpr int maxFinalPings = 3;                 // a ping and its answer are lost 1 in 10 times at a loss of 5%
constexpr int probeAttempts = 3;                 // one direct, then two with relays; see retryProbe

} // namespace

// Probing in shuffled rounds bounds the time until each member is probed; independent random choices do not.
void Gossip::startProbe(TimePoint now, Output& out)
{
    if (m_probeOrder.empty()) {
        for (const auto& [name, instance] : m_alive)
            m_probeOrder.push_back(name);
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    while (!m_probeOrder.empty()) {
        const auto name = m_probeOrder.front();
        m_probeOrder.pop_front();
        const auto it = m_alive.find(name);
        if (it == m_alive.end())
            continue;
        const auto number = m_nextNumber++;
        // If the ping is not sent for lack of budget, a missing ack would say nothing about the target.
        if (send(it->second.gossipAddress, name, GossipPing { number, name }, out))
            m_probes.emplace(number, Probe { name, now + attemptTimeout() });
        return;
    }
}

void Gossip::advanceProbes(TimePoint now, Output& out)
{
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        auto& [number, probe] = *it;
        if (now < probe.attemptEnds) {
            ++it;
        } else if (probe.attempts < probeAttempts && m_alive.contains(probe.target)) {
            retryProbe(number, probe, now, out);
            ++it;
        } else {
            const Probe failed = probe;
            it = m_probes.erase(it);
            failProbe(failed, now, out);
        }
    }
}

// With 5% loss a direct ping fails 1 in 10 times. Repeating it twice, together with relays, reduces false suspicions to
// about 1 in a million probes; each one would cost the group two updates, the suspicion and its refutation. The first
// repetition uses one relay only, because at 20% loss relayed pings would otherwise exhaust the budget.
void Gossip::retryProbe(std::uint64_t number, Probe& probe, TimePoint now, Output& out)
{
    const std::size_t relays = probe.attempts == 1 ? 1 : m_settings.relays;
    ++probe.attempts;
    probe.attemptEnds = now + attemptTimeout();
    const auto target = instanceOf(probe.target);
    send(target->gossipAddress, probe.target, GossipPing { number, probe.target }, out, Piggyback::None);
    for (const auto& relay : randomMembers(relays, probe.target)) {
        const GossipPingRequest request { number, probe.target, target->gossipAddress };
        if (send(m_alive.at(relay).gossipAddress, relay, request, out, Piggyback::None))
            ++probe.nacksExpected;
    }
}

void Gossip::failProbe(const Probe& probe, TimePoint now, Output& out)
{
    // If fewer than half of the relays answered with a nack, the fault may be on this member's side.
    if (probe.nacksExpected == 0 || probe.nacks * 2 < probe.nacksExpected)
        raiseLocalHealthScore(1);
    const auto* record = m_store.find(GossipRecordKind::Member, probe.target);
    if (!record || record->status != static_cast<std::uint8_t>(MemberStatus::Alive))
        return;
    ++m_counters.suspicions;
    setStatus(probe.target, MemberStatus::Suspect, now, out);
}

void Gossip::advanceRelayedPings(TimePoint now, Output& out)
{
    for (auto it = m_relayedPings.begin(); it != m_relayedPings.end();) {
        auto& relayedPing = it->second;
        if (now >= relayedPing.nackAt && !relayedPing.nackSent) {
            relayedPing.nackSent = true;
            send(relayedPing.address, {}, GossipNack { relayedPing.number }, out, Piggyback::None);
        }
        it = now >= relayedPing.ends ? m_relayedPings.erase(it) : std::next(it);
    }
}

void Gossip::expireSuspicions(TimePoint now, Output& out)
{
    std::vector<std::string> expired;
    for (auto& [name, it] : m_suspicions) {
        if (now < it.deadline)
            continue;
        const auto instance = m_alive.find(name);
        if (it.finalPings == maxFinalPings || instance == m_alive.end()) {
            expired.push_back(name);
            continue;
        }
        // The refutation may not have reached this member yet. The ping carries the suspicion to the suspect, whose
        // answer carries the refutation. A ping that was not sent for lack of budget does not count.
        it.deadline = now + m_settings.ackTimeout;
        if (send(instance->second.gossipAddress, name, GossipPing { m_nextNumber++, name }, out, Piggyback::None))
            ++it.finalPings;
    }
    for (const auto& name : expired)
        setStatus(name, MemberStatus::Dead, now, out);
}

void Gossip::setStatus(const std::string& name, MemberStatus status, TimePoint now, Output& out)
{
    const auto* held = m_store.find(GossipRecordKind::Member, name);
    if (!held)
        return;
    const GossipRecord before = *held;
    GossipRecord record = before;
    record.status = static_cast<std::uint8_t>(status);
    m_store.put(record, now);
    processChange(record, &before, now, out);
}

// The time is long enough for the suspicion to reach the suspect and for its refutation to return.
Duration Gossip::suspicionTimeout() const
{
    const Duration byCount = gossipScaled(m_settings.suspicionPerDoubling, gossipDoublings(m_alive.size() + 1));
    return std::max<Duration>(m_settings.suspicionTimeout, byCount) + attemptTimeout() * m_localHealthScore;
}

void Gossip::raiseLocalHealthScore(std::uint32_t by)
{
    m_localHealthScore = std::min(maxLocalHealthScore, m_localHealthScore + by);
}

void Gossip::handle(const GossipPing& ping, const Sender& sender, TimePoint, Output& out)
{
    if (ping.target == m_self.name)
        send(sender.address, sender.name, GossipAck { ping.number }, out);
}

void Gossip::handle(const GossipAck& ack, const Sender&, TimePoint, Output& out)
{
    if (const auto it = m_relayedPings.find(ack.number); it != m_relayedPings.end()) {
        send(it->second.address, {}, GossipAck { it->second.number }, out, Piggyback::None);
        m_relayedPings.erase(it);
    } else if (m_probes.erase(ack.number) > 0 && m_localHealthScore > 0) {
        --m_localHealthScore;
    }
}

void Gossip::handle(const GossipNack& nack, const Sender&, TimePoint, Output&)
{
    if (const auto it = m_probes.find(nack.number); it != m_probes.end())
        ++it->second.nacks;
}

void Gossip::handle(const GossipPingRequest& request, const Sender& sender, TimePoint now, Output& out)
{
    const auto number = m_nextNumber++;
    if (!send(request.targetAddress, request.target, GossipPing { number, request.target }, out, Piggyback::None))
        return;
    // The nack has to arrive within the attempt of the member that asked.
    m_relayedPings.emplace(number,
        RelayedPing { sender.address, request.number, now + m_settings.ackTimeout * 2 / 3, false,
            now + m_settings.ackTimeout * 4 });
}

} // namespace citronplank
