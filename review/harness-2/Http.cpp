#include "review/harness-2/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t readBytes = 65536;
constexpr std::string_view endOfHead = "\r\n\r\n";

sockaddr_in addressOf(const std::string& text)
{
    auto colon = text.rfind(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("not IP:PORT: " + text);
    return address;
}

std::string_view trimmed(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    return text.substr(0, text.find_last_not_of(' ') + 1);
}

std::optional<HttpMessage> parseHead(std::string_view head)
{
    HttpMessage message;
    auto lineEnd = head.find("\r\n");
    auto firstLine = head.substr(0, lineEnd);
    auto firstSpace = firstLine.find(' ');
    if (firstSpace == std::string_view::npos)
        return std::nullopt;
    if (firstLine.starts_with("HTTP/")) {
        auto status = firstLine.substr(firstSpace + 1, 3);
        if (std::from_chars(status.data(), status.data() + status.size(), message.status).ec != std::errc())
            return std::nullopt;
    } else {
        message.method = firstLine.substr(0, firstSpace);
        message.target = firstLine.substr(firstSpace + 1, firstLine.rfind(' ') - firstSpace - 1);
    }
    while (lineEnd != std::string_view::npos) {
        head.remove_prefix(lineEnd + 2);
        lineEnd = head.find("\r\n");
        auto line = head.substr(0, lineEnd);
        auto colon = line.find(':');
        if (colon != std::string_view::npos)
            message.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    return message;
}

} // namespace

std::string HttpMessage::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

Socket& Socket::operator=(Socket&& other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
    }
    return *this;
}

void Socket::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

void Socket::shutDown() const { ::shutdown(m_descriptor, SHUT_RDWR); }

Socket listenOn(const std::string& address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    int on = 1;
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto endpoint = addressOf(address);
    constexpr int backlog = 512;
    if (bind(socket.descriptor(), reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0
        || listen(socket.descriptor(), backlog) != 0)
        throw std::runtime_error("cannot listen on " + address);
    return socket;
}

Socket connectTo(const std::string& address, milliseconds timeout)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    timeval limit { seconds.count(), std::chrono::microseconds(timeout - seconds).count() };
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit); // also limits connect()
    int on = 1;
    setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto endpoint = addressOf(address);
    if (connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0)
        socket.close();
    return socket;
}

bool HttpReader::receive(Clock::time_point deadline)
{
    auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now()).count();
    pollfd it { m_socket.descriptor(), POLLIN, 0 };
    if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0)
        return false;
    auto before = m_input.size();
    m_input.resize(before + readBytes);
    auto n = recv(m_socket.descriptor(), m_input.data() + before, readBytes, 0);
    m_input.resize(before + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    return n > 0;
}

std::optional<HttpMessage> HttpReader::read(milliseconds timeout)
{
    auto deadline = Clock::now() + timeout;
    auto end = m_input.find(endOfHead);
    for (; end == std::string::npos; end = m_input.find(endOfHead)) {
        if (!receive(deadline))
            return std::nullopt;
    }
    auto message = parseHead(std::string_view(m_input).substr(0, end));
    if (!message)
        return std::nullopt;
    m_input.erase(0, end + endOfHead.size());
    auto length = message->header("Content-Length");
    std::size_t bytes = 0;
    std::from_chars(length.data(), length.data() + length.size(), bytes);
    while (m_input.size() < bytes) {
        if (!receive(deadline))
            return std::nullopt;
    }
    message->body = m_input.substr(0, bytes);
    m_input.erase(0, bytes);
    return message;
}

bool writeAll(const Socket& socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto n = send(socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::optional<HttpMessage> request(const std::string& address, const std::string& method, const std::string& target,
    const std::string& headers, const std::string& body, milliseconds timeout)
{
    auto deadline = Clock::now() + timeout;
    auto socket = connectTo(address, std::min(timeout, milliseconds(1000)));
    if (!socket.isOpen())
        return std::nullopt;
    std::string text = method;
    text.append(" ").append(target).append(" HTTP/1.1\r\n").append(headers);
    if (!body.empty())
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    text.append("\r\n").append(body);
    if (!writeAll(socket, text))
        return std::nullopt;
    HttpReader reader(socket);
    return reader.read(std::chrono::ceil<milliseconds>(deadline - Clock::now()));
}

} // namespace review
