// UDP socket for gossip: sends datagrams and delivers those received to a handler.
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

/// Shell around one UDP socket. The handler runs on the io_context's threads, one datagram at a time, never under a
/// lock of this class.
class GossipSocket {
public:
    using Handler = std::function<void(const std::string& fromAddress, std::string_view bytes)>;

    /// Binds to `address` ("IP:PORT"; "[IP]:PORT" for IPv6; port 0 takes a free one). Throws Error (Internal) when the
    /// address is malformed or cannot be bound. The io_context must outlive the socket.
    GossipSocket(asio::io_context&, const std::string& address, Handler);
    /// Closes the socket. No handler call starts after this returns, but one that is running may still end.
    ~GossipSocket();
    GossipSocket(const GossipSocket&) = delete;
    GossipSocket& operator=(const GossipSocket&) = delete;

    /// Sends one datagram; losing it is not an error. Thread safe.
    void send(const std::string& address, std::string_view bytes);
    /// The bound address, with the port that was taken. Thread safe.
    std::string address() const;
    /// Datagrams that could not be sent: malformed address, or refused by the operating system. Thread safe.
    std::uint64_t failedSends() const;
    /// Stops receiving. Thread safe; may be called more than once.
    void close();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace citronplank
