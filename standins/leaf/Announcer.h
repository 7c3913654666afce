// Sends the announcements of one leaf to the entry instances. Not thread safe.
#pragma once

#include "standins/HttpClient.h"
#include "standins/leaf/Leaf.h"

namespace standins {

/// Announces a leaf every 500 ms to one of `addresses`, the administration addresses of entry instances. After a
/// failure it tries the next address immediately; each address is tried at most once per announcement. `leaf` must
/// outlive it.
class Announcer {
public:
    Announcer(asio::io_context& io, Leaf& leaf, std::vector<tcp::endpoint> addresses, std::size_t firstAddress);
    /// Sends the first announcement after `delay`.
    void start(std::chrono::milliseconds delay);
    std::uint64_t failures() const { return m_failures; } // announcements that no address accepted

private:
    void announce();
    void send(const std::shared_ptr<const std::string>& body, std::size_t attemptsLeft);

    asio::io_context& m_io;
    Leaf& m_leaf;
    std::vector<tcp::endpoint> m_addresses;
    std::size_t m_current; // index of the address to try first
    asio::steady_timer m_timer;
    std::uint64_t m_failures = 0;
};

} // namespace standins
