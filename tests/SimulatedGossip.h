// Gossip members in one process with simulated time, latency, loss and partitions. Used by tests and benchmarks.
#pragma once

#include "coordination/Gossip.h"

#include <functional>
#include <queue>

namespace citronplank {

class SimulatedGossip {
public:
    struct Node {
        std::optional<Gossip> gossip; // nothing while the process is down
        Instance instance;
        TimePoint nextTick;
        TimePoint pausedUntil {};
        std::vector<std::string> sent;             // unused
        std::map<std::string, GossipItem> changes; // last reported version of each item
        std::vector<MemberEvent> events;
    };

    /// `loss`: probability that a datagram is lost.
    SimulatedGossip(std::size_t count, std::uint64_t seed, double loss, GossipSettings settings = {})
        : m_settings(settings)
        , m_random(seed)
        , m_loss(loss)
    {
        for (std::size_t i = 0; i < count; ++i)
            addNode();
    }

    TimePoint now() const { return m_now; }
    std::vector<Node>& nodes() { return m_nodes; }
    Gossip& at(std::size_t i) { return *m_nodes.at(i).gossip; }
    /// Sets whether a datagram from node a to node b is delivered. Empty: always.
    void setReachable(std::function<bool(std::size_t, std::size_t)> reachable) { m_reachable = std::move(reachable); }
    void setLoss(double loss) { m_loss = loss; }

    std::size_t addNode()
    {
        const auto i = m_nodes.size();
        Node node;
        node.instance.name = "entry-" + std::to_string(i);
        node.instance.region = "georgia";
        node.instance.zone = "zone-" + std::to_string(i % 4);
        node.instance.linkAddress = "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200) + ":7001";
        node.instance.gossipAddress = "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200) + ":7002";
        node.instance.adminAddress = "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200) + ":7003";
        m_nodes.push_back(std::move(node));
        m_byAddress[m_nodes[i].instance.gossipAddress] = i;
        start(i);
        return i;
    }

    /// Starts or restarts the process of a node.
    void start(std::size_t i)
    {
        auto& node = m_nodes[i];
        ++node.instance.incarnation;
        node.gossip.emplace(GossipBuilder()
                                .self(node.instance)
                                .seeds({ "10.0.0.0:7002", "10.0.0.1:7002", "10.0.0.2:7002" })
                                .settings(m_settings)
                                .randomSeed(m_random())
                                .build());
        node.nextTick = m_now + milliseconds(m_random() % 20);
    }

    /// Ends the process of a node without a notice to the others.
    void stop(std::size_t i) { m_nodes[i].gossip.reset(); }
    void pause(std::size_t i, Duration duration) { m_nodes[i].pausedUntil = m_now + duration; }

    void run(Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += milliseconds(5))
            step();
    }

    /// Runs until the condition holds at all running nodes. Returns the time taken, or nothing after `limit`.
    std::optional<Duration> runUntil(const std::function<bool(Gossip&)>& condition, Duration limit)
    {
        const auto begin = m_now;
        for (; m_now < begin + limit; m_now += milliseconds(5)) {
            step();
            bool all = true;
            for (auto& node : m_nodes)
                all = all && (!node.gossip || condition(*node.gossip));
            if (all)
                return m_now - begin;
        }
        return std::nullopt;
    }

    /// Records the changes and events of a node's output and puts its datagrams in flight.
    void processOutput(std::size_t from, Gossip::Output out)
    {
        auto& node = m_nodes[from];
        for (auto& item : out.changedItems)
            node.changes[item.key] = item;
        node.events.insert(node.events.end(), out.memberEvents.begin(), out.memberEvents.end());
        for (auto& datagram : out.datagrams) {
            const auto it = m_byAddress.find(datagram.address);
            const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < m_loss;
            if (it == m_byAddress.end() || isLost || (m_reachable && !m_reachable(from, it->second)))
                continue;
            const auto latency = std::chrono::microseconds(500 + m_random() % 2000);
            m_inFlight.push({ m_now + latency, m_nextOrder++, from, it->second, std::move(datagram.bytes) });
        }
    }

private:
    struct InFlightDatagram {
        TimePoint arrives;
        std::uint64_t order;
        std::size_t from;
        std::size_t to;
        std::string bytes;
        // The earliest comes first in a priority queue.
        bool operator<(const InFlightDatagram& other) const
        {
            return arrives != other.arrives ? arrives > other.arrives : order > other.order;
        }
    };

    void step()
    {
        while (!m_inFlight.empty() && m_inFlight.top().arrives <= m_now) {
            InFlightDatagram inFlight = m_inFlight.top();
            m_inFlight.pop();
            auto& node = m_nodes[inFlight.to];
            if (!node.gossip)
                continue;
            if (node.pausedUntil > m_now) { // it stays in the socket buffer until the process resumes
                inFlight.arrives = node.pausedUntil + milliseconds(5);
                m_inFlight.push(inFlight);
                continue;
            }
            processOutput(inFlight.to,
                node.gossip->receive(m_nodes[inFlight.from].instance.gossipAddress, inFlight.bytes, m_now));
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto& node = m_nodes[i];
            if (!node.gossip || node.nextTick > m_now || node.pausedUntil > m_now)
                continue;
            node.nextTick = m_now + milliseconds(20);
            processOutput(i, node.gossip->tick(m_now));
        }
    }

    GossipSettings m_settings;
    std::mt19937_64 m_random;
    double m_loss;
    TimePoint m_now { std::chrono::hours(1) };
    std::vector<Node> m_nodes;
    std::map<std::string, std::size_t> m_byAddress;
    std::function<bool(std::size_t, std::size_t)> m_reachable;
    std::priority_queue<InFlightDatagram> m_inFlight;
    std::uint64_t m_nextOrder = 0;
};

} // namespace citronplank
