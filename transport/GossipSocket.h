// UDP socket for gossip that sends datagrams and passes received ones to a handler.
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
/// this class.
class GossipSocket {
public:
    using Handler = std::function<void(const std::string& fromAddress, std::string_view bytes)>;

    /// Binds to `address` ("IP:PORT", or "[IP]:PORT" for IPv6; port 0 selects a free port). Throws Error(Internal) if
    /// the address is malformed or cannot be bound. The io_context must outlive the socket.
    GossipSocket(asio::io_context&, const std::string& address, Handler);
    /// Closes the socket. No handler call starts after this returns, but a running call may still be in progress.
    ~GossipSocket();
    GossipSocket(const GossipSocket&) = delete;
    GossipSocket& operator=(const GossipSocket&) = delete;

    /// Sends one datagram. Delivery is not guaranteed. Thread safe.
    void send(const std::string& address, std::string_view bytes);
    /// Returns the bound address with the actual port. Thread safe.
    std::string address() const;
    /// Returns the number of datagrams that could not be sent because of a malformed address or an error of the
    /// operating system. Thread safe.
    std::uint64_t failedSends() const;
    /// Stops receiving. Thread safe; may be called more than once.
    void close();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace citronplank
