// Sends the announcements of one leaf. Not thread safe.
#pragma once

#include "standins/HttpClient.h"
#include "standins/leaf/Leaf.h"

namespace standins {

/// Announces a leaf every 500 ms to one of `addresses`. After a failure it tries the next address immediately; each
/// address is tried at most once per announcement.
class Announcer {
public:
    Announcer(asio::io_context& io, Leaf& leaf, std::vector<tcp::endpoint> addresses, std::size_t firstAddress);
    void start(std::chrono::milliseconds delay);
    std::uint64_t failures() const { return m_failures; } // announcements that no address accepted

private:
    void announce();
    void send(const std::shared_ptr<const std::string>& body, std::size_t attemptsLeft);

    asio::io_context& m_io;
    Leaf& m_leaf;
    std::vector<tcp::endpoint> m_addresses;
    std::size_t m_current;
    asio::steady_timer m_timer;
    std::uint64_t m_failures = 0;
};

} // namespace standins
