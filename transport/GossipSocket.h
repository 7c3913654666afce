// UDP socket for the gossip between daemons. Passes received datagrams to a handler.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace citronplank {

/// One UDP socket. The handler runs on the threads of the io_context, one datagram at a time, without holding a lock of
/// this class. A received datagram of more than 2048 bytes is passed on truncated.
class GossipSocket {
public:
    using Handler = std::function<void(const std::string& fromAddress, std::string_view bytes)>;

    /// Binds to `address` ("IP:PORT", or "[IP]:PORT" for IPv6; port 0 selects a free port). Throws Error(Internal) if
    /// the address is malformed or cannot be bound. The io_context must outlive the socket.
    GossipSocket(asio::io_context&, const std::string& address, Handler);
    /// Calls `close`.
    ~GossipSocket();
    GossipSocket(const GossipSocket&) = delete;
    GossipSocket& operator=(const GossipSocket&) = delete;

    /// Sends one datagram to `address` ("IP:PORT" or "[IP]:PORT"). Never blocks. Delivery is not guaranteed; after
    /// `close` nothing is sent. Thread safe.
    void send(const std::string& address, std::string_view bytes);
    /// Returns the bound address with the actual port. Thread safe.
    std::string address() const;
    /// Returns the number of datagrams that could not be sent because of a malformed address or an error of the
    /// operating system. Sends after `close` are not counted. Thread safe.
    std::uint64_t failedSends() const;
    /// Closes the socket. No further datagram is received, but the handler call for the last one may still start
    /// or be running when this returns. Thread safe; further calls have no effect.
    void close();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace citronplank
