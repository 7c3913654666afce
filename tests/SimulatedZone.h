// Simulates the daemons of one zone, the control leader and the committed views in one process. Time is simulated, with
// clocks that run at different rates. Simulates message loss, delays, partitions, paused processes, crashes and leader
// changes.
#pragma once

#include "coordination/ViewCoordinator.h"
#include "coordination/ZoneLease.h"

#include <cmath>
#include <functional>
#include <queue>
#include <random>

namespace citronplank {

class SimulatedZone {
public:
    static constexpr std::size_t controlLeader = 1000; // node index of the control leader in reachability checks

    struct Node {
        std::string name;
        std::uint64_t incarnation = 0;
        double clockRate = 1.0;
        std::optional<ZoneLease> lease; // empty while the process is down
        TimePoint pausedUntil {};
    };

    SimulatedZone(std::size_t count, std::uint64_t seed, double loss, milliseconds maxDelay)
        : m_random(seed)
        , m_loss(loss)
        , m_maxDelay(maxDelay)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_nodes.push_back({ "atl-" + std::to_string(i), 0, 1.0, std::nullopt, {} });
        m_view.zone = "atl";
        m_coordinator.becomeLeader({}, leaderNow());
    }

    std::mt19937_64& random() { return m_random; }
    TimePoint now() const { return m_now; }
    std::vector<Node>& nodes() { return m_nodes; }
    ZoneLease& at(std::size_t i) { return *m_nodes.at(i).lease; }
    const ZoneView& committed() const { return m_view; }
    /// Sets whether a message from node a to node b is delivered; controlLeader stands for the leader. Empty: always.
    void setReachable(std::function<bool(std::size_t, std::size_t)> reachable) { m_reachable = std::move(reachable); }
    void setLoss(double loss) { m_loss = loss; }
    void setSendsWithoutView(bool sends) { m_sendsWithoutView = sends; }
    void setLeaderClockRate(double clockRate) { m_leaderClockRate = clockRate; }

    /// Starts or restarts the process of a node.
    void start(std::size_t i)
    {
        auto& node = m_nodes.at(i);
        ZoneLeaseSettings settings { "atl", node.name, ++node.incarnation };
        settings.sendsWithoutView = m_sendsWithoutView;
        node.lease.emplace(settings);
        node.pausedUntil = {};
    }
    void crash(std::size_t i) { m_nodes.at(i).lease.reset(); }
    void pause(std::size_t i, Duration duration) { m_nodes.at(i).pausedUntil = m_now + duration; }
    bool isRunning(std::size_t i) const { return m_nodes.at(i).lease && m_nodes.at(i).pausedUntil <= m_now; }
    /// The time on the clock of a node.
    TimePoint nowAt(std::size_t i) const { return scaled(m_nodes.at(i).clockRate); }

    /// Lets a daemon fetch the zone view from another one, which may be out of date.
    void fetchView(std::size_t to, std::size_t from)
    {
        if (isRunning(to) && isRunning(from) && isReachable(from, to))
            adopt(to, ZoneView(at(from).view()));
    }

    /// Lets the leader fail and another one take over after `gap`.
    void changeLeader(Duration gap)
    {
        m_coordinator.resign();
        m_nextElectionAt = m_now + gap;
        m_leaderClockRate = 1.0 / 1.1 + (1.1 - 1.0 / 1.1) * randomFraction();
    }

    /// Runs in steps of 10 ms and calls `check` after each.
    void run(Duration duration, const std::function<void()>& check = {})
    {
        for (const auto end = m_now + duration; m_now < end; m_now += milliseconds(10)) {
            step();
            if (check)
                check();
        }
    }

    /// Returns the sum of the limits of all running daemons for a leaf, in parts. Without `withProvisional`, daemons
    /// that send provisionally are left out.
    std::uint32_t totalAllowed(const std::string& leaf, std::uint32_t slots, bool withProvisional = true)
    {
        std::uint32_t total = 0;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            if (isRunning(i) && (withProvisional || !isProvisional(i, leaf)))
                total += at(i).allowedLimit(leaf, slots, nowAt(i));
        return total;
    }

    /// Whether the known limitation applies that a new owner sends although isolated members of a replaced view may do
    /// so too: at least leaseDuration after the replacement of a view of two or more members, none of its members had a
    /// lease on it or had adopted a newer view. Also true until their last grants to each other have expired.
    bool hasIsolatedPredecessors()
    {
        for (auto& [number, replaced] : m_replacedViews) {
            if (replaced.members.size() < 2)
                continue;
            if (!replaced.adopted && !hasLeaseOn(number) && m_now >= replaced.replacedAt + leaseDuration)
                replaced.wasIsolated = true;
            if (replaced.wasIsolated && (!replaced.adopted || m_now < *replaced.adopted + seconds(3)))
                return true;
        }
        return false;
    }

    double randomFraction() { return std::uniform_real_distribution<>(0, 1)(m_random); }

private:
    struct InFlightMessage {
        TimePoint arrives;
        std::uint64_t order;
        std::size_t from;
        std::size_t to;
        std::string bytes;
        // The earliest comes first in a priority queue.
        bool operator<(const InFlightMessage& other) const
        {
            return arrives != other.arrives ? arrives > other.arrives : order > other.order;
        }
    };
    struct ReplacedView {
        std::vector<std::string> members;
        TimePoint replacedAt;
        std::optional<TimePoint> adopted; // when the first member adopted a later view
        bool wasIsolated = false;
    };

    TimePoint scaled(double clockRate) const
    {
        return TimePoint(
            Duration(static_cast<std::int64_t>(static_cast<double>(m_now.time_since_epoch().count()) * clockRate)));
    }
    TimePoint leaderNow() const { return scaled(m_leaderClockRate); }
    bool isReachable(std::size_t a, std::size_t b) const { return !m_reachable || m_reachable(a, b); }

    std::size_t indexOf(const std::string& name) const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            if (m_nodes[i].name == name)
                return i;
        return controlLeader;
    }

    bool isProvisional(std::size_t i, const std::string& leaf)
    {
        const auto& view = at(i).view();
        return view.number == 0
            || (!at(i).isPreviousViewRetired(nowAt(i)) && rendezvousOwner(leaf, view.previous) != m_nodes[i].name);
    }

    bool hasLeaseOn(std::uint64_t number) const
    {
        for (const auto& node : m_nodes)
            if (node.lease && node.lease->view().number == number && node.lease->hasLease(scaled(node.clockRate)))
                return true;
        return false;
    }

    void send(std::size_t from, std::size_t to, const ZoneMessage& message)
    {
        if (randomFraction() < m_loss || !isReachable(from, to))
            return;
        // Mostly short delays, sometimes one longer than a lease.
        auto delay = std::chrono::duration_cast<milliseconds>(m_maxDelay * std::pow(randomFraction(), 4));
        m_inFlight.push({ m_now + delay, m_nextOrder++, from, to, encodeZoneMessage(message) });
    }

    void sendOutput(std::size_t from, const ZoneLease::Output& out)
    {
        recordAdoption(from);
        for (const auto& it : out)
            send(from, it.to.empty() ? controlLeader : indexOf(it.to), it.message);
    }

    void sendOutput(const ViewCoordinator::Output& out)
    {
        for (const auto& it : out.answers)
            send(controlLeader, indexOf(it.to), it.message);
        for (const auto& proposal : out.proposals)
            m_proposals.push_back({ m_now + milliseconds(20 + static_cast<int>(200 * randomFraction())), proposal });
    }

    void adopt(std::size_t i, const ZoneView& view) { sendOutput(i, at(i).adopt(view, nowAt(i))); }

    void recordAdoption(std::size_t i)
    {
        const auto number = at(i).view().number;
        for (auto& [replacedNumber, entry] : m_replacedViews)
            if (replacedNumber < number && !entry.adopted
                && std::find(entry.members.begin(), entry.members.end(), m_nodes[i].name) != entry.members.end())
                entry.adopted = m_now;
    }

    // Like an uncommitted log entry, a proposal may survive a leader change.
    void commit()
    {
        for (auto it = m_proposals.begin(); it != m_proposals.end();) {
            if (it->first > m_now || !m_coordinator.isLeader()) {
                ++it;
                continue;
            }
            if (it->second.expected == m_view.number) {
                m_replacedViews[m_view.number] = { m_view.members, m_now, std::nullopt, false };
                m_view = nextZoneView(m_view, it->second.members);
                m_coordinator.onViewCommitted(m_view, leaderNow());
            }
            it = m_proposals.erase(it);
        }
    }

    void deliver(const InFlightMessage& inFlight)
    {
        const auto message = decodeZoneMessage(inFlight.bytes);
        if (!message)
            throw std::logic_error("an encoded message cannot be decoded");
        if (inFlight.to == controlLeader)
            sendOutput(m_coordinator.receive(*message, leaderNow()));
        else
            sendOutput(inFlight.to, at(inFlight.to).receive(*message, nowAt(inFlight.to)));
    }

    void electLeader()
    {
        m_nextElectionAt.reset();
        if (randomFraction() < 0.5)
            m_proposals.clear();
        // Proposals of the previous leader are committed by an entry of the new leader's term before it starts to
        // serve.
        for (auto& [commitAt, proposal] : m_proposals)
            commitAt = m_now;
        m_coordinator.becomeLeader({}, leaderNow());
        commit();
        const std::vector<ZoneView> views { m_view };
        m_coordinator.becomeLeader(m_view.number == 0 ? std::span<const ZoneView>() : views, leaderNow());
    }

    void step()
    {
        if (m_nextElectionAt && m_now >= *m_nextElectionAt)
            electLeader();
        commit();
        while (!m_inFlight.empty() && m_inFlight.top().arrives <= m_now) {
            InFlightMessage inFlight = m_inFlight.top();
            m_inFlight.pop();
            if (inFlight.to != controlLeader && m_nodes[inFlight.to].lease && !isRunning(inFlight.to)) {
                inFlight.arrives = m_nodes[inFlight.to].pausedUntil; // stays in the socket buffer
                m_inFlight.push(inFlight);
            } else if (inFlight.to == controlLeader || isRunning(inFlight.to)) {
                deliver(inFlight);
            }
        }
        if (m_coordinator.isLeader())
            sendOutput(m_coordinator.tick(leaderNow()));
        std::set<std::string> live;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            if (m_nodes[i].lease)
                live.insert(m_nodes[i].name);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!isRunning(i))
                continue;
            at(i).setLiveMembers(live);
            sendOutput(i, at(i).tick(nowAt(i)));
            // Committed views spread by gossip: a view reaches each daemon some time after its commit.
            if (at(i).view().number < m_view.number && isReachable(controlLeader, i) && randomFraction() < 0.02)
                adopt(i, m_view);
        }
    }

    std::mt19937_64 m_random;
    double m_loss;
    milliseconds m_maxDelay;
    TimePoint m_now { std::chrono::hours(1) };
    double m_leaderClockRate = 1.0;
    bool m_sendsWithoutView = false;
    std::vector<Node> m_nodes;
    ZoneView m_view;
    std::map<std::uint64_t, ReplacedView> m_replacedViews;
    ViewCoordinator m_coordinator;
    std::optional<TimePoint> m_nextElectionAt;
    std::vector<std::pair<TimePoint, ViewProposal>> m_proposals;
    std::function<bool(std::size_t, std::size_t)> m_reachable;
    std::priority_queue<InFlightMessage> m_inFlight;
    std::uint64_t m_nextOrder = 0;
};

} // namespace citronplank
