// Blocking HTTP/1.1 over loopback sockets for the stand-ins of the review: messages with a Content-Length or without a
// body. One thread serves one connection.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct HttpMessage {
    int status = 0;     // responses only
    std::string method; // requests only
    std::string target; // requests only
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Returns the value of the first header with this name, ignoring case, or an empty string if there is none.
    std::string header(std::string_view name) const;
};

/// Owns a socket. Not thread safe, except for `shutDown`.
class Socket {
public:
    explicit Socket(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    ~Socket() { close(); }
    Socket(Socket&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept;
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;

    int descriptor() const { return m_descriptor; }
    bool isOpen() const { return m_descriptor >= 0; }
    void close();
    /// Ends all calls of other threads that wait for this socket.
    void shutDown() const;

private:
    int m_descriptor;
};

/// Opens a listening socket on "IP:PORT". Throws std::runtime_error if the address is in use.
Socket listenOn(const std::string& address);
/// Connects to "IP:PORT". The socket is not open if that fails.
Socket connectTo(const std::string& address, milliseconds timeout);

/// Reads messages one after another and keeps what follows a message for the next call.
class HttpReader {
public:
    explicit HttpReader(const Socket& socket)
        : m_socket(socket)
    {
    }
    /// Returns the next message, or nothing if the connection ends, `timeout` passes or the input is malformed.
    std::optional<HttpMessage> read(milliseconds timeout);

private:
    bool receive(Clock::time_point deadline);

    const Socket& m_socket;
    std::string m_input;
};

/// Returns false if the connection has ended.
bool writeAll(const Socket&, std::string_view);

/// Sends a request on a new connection and returns the response, or nothing if there was none in time. `headers` holds
/// complete header lines, each terminated by CRLF.
std::optional<HttpMessage> request(const std::string& address, const std::string& method, const std::string& target,
    const std::string& headers, const std::string& body, milliseconds timeout);

} // namespace review
