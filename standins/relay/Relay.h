// Relays TCP connections or UDP datagrams and can delay, cut, drop or silence them. Not thread safe: everything runs on
// one io_context with a single thread.
#pragma once

#include "standins/HttpServer.h"

#include <deque>
#include <random>
#include <string>

namespace standins {

/// Injected faults of one link; they can be changed at run time.
struct LinkFaults {
    double delayMs = 0;           // one-way delay, in both directions
    double jitterMs = 0;          // maximum of a uniformly distributed extra delay; TCP data stays in order
    double dropRate = 0;          // UDP: fraction of datagrams that are dropped
    bool isCut = false;           // TCP: new connections are closed immediately; UDP: all datagrams are dropped
    bool blocksResponses = false; // TCP: one-way partition; data from the target is held back until the fault ends
    bool isSilent = false; // TCP: connections stay open but data is held back until the fault ends; UDP: as for isCut
};

struct LinkCounts {
    std::uint64_t accepted = 0;  // TCP connections
    std::uint64_t bytes = 0;     // TCP: both directions, after the delay; includes data that a fault holds back
    std::uint64_t datagrams = 0; // UDP: forwarded, both directions
    std::uint64_t dropped = 0;   // UDP: dropped datagrams
    std::size_t open = 0;        // TCP connections that are open now
};

/// Queue for one direction of traffic: delivers each item after its own delay, but not before the items ahead of it.
class DelayQueue {
public:
    using Deliver = std::function<void(std::string)>;
    explicit DelayQueue(asio::io_context& io)
        : m_timer(io)
    {
    }
    /// Calls `deliver` with `data` after `delayMs` milliseconds, or later if an item ahead is due later.
    /// `deliver` may destroy this object.
    void push(std::string data, double delayMs, Deliver deliver);
    /// Discards the queued items.
    void clear();

private:
    struct QueuedItem {
        std::chrono::steady_clock::time_point at; // when to deliver it
        std::string data;
        Deliver deliver;
    };
    /// Sets the timer to the time of the first item. Precondition: the queue is not empty.
    void scheduleDelivery();
    std::deque<QueuedItem> m_queue;
    asio::steady_timer m_timer;
    std::shared_ptr<int> m_lifetimeToken = std::make_shared<int>(0); // expires when this object is destroyed
};

/// Relays traffic between a listening address and a target. Must exist as long as the io_context runs.
class Link {
public:
    Link(std::string name, std::uint64_t seed)
        : m_name(std::move(name))
        , m_random(seed)
    {
    }
    virtual ~Link() = default;
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    const std::string& name() const { return m_name; }
    LinkFaults& faults() { return m_faults; }
    virtual LinkCounts counts() const = 0;
    /// Must be called after each change of `faults()`: forwards the data that the faults no longer hold back.
    virtual void onFaultsChanged() { }
    /// TCP: resets all open connections; new connections work unless the link is cut. UDP: no effect.
    virtual void reset() { }
    /// TCP: the connections that are open now stay open but forward nothing more; new connections work. UDP: no effect.
    virtual void silenceOpenConnections() { }

    /// Returns the delay of one datagram or piece of TCP data in milliseconds: `delayMs` and a random part of
    /// `jitterMs`.
    double drawDelay()
    {
        return m_faults.delayMs + m_faults.jitterMs * std::uniform_real_distribution<double>()(m_random);
    }
    /// Whether to drop one datagram: true with probability `dropRate`.
    bool drawDrop() { return std::uniform_real_distribution<double>()(m_random) < m_faults.dropRate; }

private:
    std::string m_name;
    LinkFaults m_faults;
    std::mt19937_64 m_random;
};

/// Listens immediately. `listen` and `target` are "IP:PORT"; `seed` determines jitter and dropped datagrams. Throws
/// std::invalid_argument on a malformed address and asio::system_error if `listen` is in use.
std::unique_ptr<Link> makeTcpLink(
    asio::io_context& io, std::string name, const std::string& listen, const std::string& target, std::uint64_t seed);
std::unique_ptr<Link> makeUdpLink(
    asio::io_context& io, std::string name, const std::string& listen, const std::string& target, std::uint64_t seed);

} // namespace standins
