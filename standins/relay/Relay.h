// Relays TCP connections or UDP datagrams and can delay, cut, drop or silence them. Used from one thread.
#pragma once

#include "standins/HttpServer.h"

#include <deque>
#include <random>
#include <string>

namespace standins {

/// Faults of one link, switched at run time.
struct LinkFaults {
    double delayMs = 0;        // one-way delay, in both directions
    double jitterMs = 0;       // uniform addition to the delay; TCP data stays in order
    double dropRate = 0;       // UDP: share of datagrams that are lost
    bool isCut = false;        // TCP: new connections are closed at once; UDP: all datagrams are lost
    bool holdsAnswers = false; // TCP: what the target sends is not passed on until it ends; a cut in one direction
    bool isSilent = false; // TCP: connections stay open and pass nothing on until it ends; UDP: all datagrams are lost
};

struct LinkCounts {
    std::uint64_t accepted = 0;
    std::uint64_t bytes = 0;     // passed on, both directions
    std::uint64_t datagrams = 0; // passed on, both directions
    std::uint64_t lost = 0;      // datagrams
    std::size_t open = 0;        // TCP connections
};

/// One direction of traffic with a delay: data is released in order, each piece at its own time.
class DelayLine {
public:
    using Release = std::function<void(std::string)>;
    explicit DelayLine(asio::io_context& io)
        : m_timer(io)
    {
    }
    void push(std::string data, double ms, Release release);
    void clear();

private:
    struct Piece {
        std::chrono::steady_clock::time_point at;
        std::string data;
        Release release;
    };
    void wait();
    std::deque<Piece> m_pieces;
    asio::steady_timer m_timer;
    std::shared_ptr<int> m_life = std::make_shared<int>(0); // ends with this object
};

/// A relay from one listening address to one target.
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
    /// To be called after a change of `faults()`.
    virtual void onFaultsChanged() { }
    /// TCP: resets all open connections; new ones work unless the link is cut. No effect on UDP.
    virtual void reset() { }
    /// TCP: the connections open now pass nothing on any more and stay open; new ones work. No effect on UDP.
    virtual void silenceOpen() { }

    double drawDelay()
    {
        return m_faults.delayMs + m_faults.jitterMs * std::uniform_real_distribution<double>()(m_random);
    }
    bool drawLoss() { return std::uniform_real_distribution<double>()(m_random) < m_faults.dropRate; }

private:
    std::string m_name;
    LinkFaults m_faults;
    std::mt19937_64 m_random;
};

std::unique_ptr<Link> makeTcpLink(
    asio::io_context& io, std::string name, const std::string& listen, const std::string& target, std::uint64_t seed);
std::unique_ptr<Link> makeUdpLink(
    asio::io_context& io, std::string name, const std::string& listen, const std::string& target, std::uint64_t seed);

} // namespace standins
