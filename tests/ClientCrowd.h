// A crowd of misbehaving clients: many connections to one address that send given bytes as fast as the peer reads them,
// and read nothing. One thread serves all of them.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace citronplank::testing {

/// Not thread safe. The destructor closes all connections.
class ClientCrowd {
public:
    /// `bytesPerStep` limits what a connection sends in one step of 10 ms; 0: no limit.
    ClientCrowd(const std::string& address, std::size_t connections, std::string bytes, std::size_t bytesPerStep = 0)
        : m_bytes(std::move(bytes))
        , m_bytesPerStep(bytesPerStep)
    {
        auto colon = address.rfind(':');
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        for (std::size_t i = 0; i < connections; ++i) {
            int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            (void)::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
            m_connections.push_back({ fd, 0 });
        }
    }
    ~ClientCrowd()
    {
        for (const auto& it : m_connections)
            ::close(it.fd);
    }
    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    /// Sends for the duration. Connections that the peer has closed stay open on this side and send nothing more.
    void run(std::chrono::milliseconds duration)
    {
        constexpr std::chrono::milliseconds step { 10 };
        for (auto end = std::chrono::steady_clock::now() + duration; std::chrono::steady_clock::now() < end;) {
            for (auto& it : m_connections)
                send(it);
            ::poll(nullptr, 0, static_cast<int>(step.count()));
        }
    }

private:
    struct Connection {
        int fd;
        std::size_t sent;
    };
    void send(Connection& it) const
    {
        auto end = m_bytesPerStep == 0 ? m_bytes.size() : std::min(m_bytes.size(), it.sent + m_bytesPerStep);
        while (it.sent < end) {
            auto n = ::send(it.fd, m_bytes.data() + it.sent, end - it.sent, MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS)
                it.sent = m_bytes.size(); // closed by the peer
            if (n <= 0)
                return;
            it.sent += static_cast<std::size_t>(n);
        }
    }

    std::string m_bytes;
    std::size_t m_bytesPerStep;
    std::vector<Connection> m_connections;
};

} // namespace citronplank::testing
