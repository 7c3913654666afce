#include "transport/GossipSocket.h"

#include "citronplank.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <charconv>
#include <mutex>
#include <optional>

namespace citronplank {

using asio::ip::udp;

namespace {

std::optional<udp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t number = 0;
    const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (ec != std::errc() || end != port.data() + port.size())
        return std::nullopt;
    asio::error_code addressError;
    const auto address = asio::ip::make_address(std::string(host), addressError);
    if (addressError)
        return std::nullopt;
    return udp::endpoint(address, number);
}

std::string formatEndpoint(const udp::endpoint& endpoint)
{
    const auto host = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace

// Pending operations hold a reference, so that they can complete after the GossipSocket was destroyed.
struct GossipSocket::State : std::enable_shared_from_this<State> {
    State(asio::io_context& context, Handler handlerToCall)
        : strand(asio::make_strand(context))
        , socket(strand)
        , handler(std::move(handlerToCall))
    {
    }

    void receive()
    {
        socket.async_receive_from(asio::buffer(buffer), sender,
            [self = shared_from_this()](asio::error_code ec, std::size_t size) { self->received(ec, size); });
    }

    void received(asio::error_code ec, std::size_t size)
    {
        if (closed || ec == asio::error::operation_aborted)
            return;
        // A receive also reports errors of earlier sends, for example to a port without a listener. They are ignored.
        if (!ec)
            handler(formatEndpoint(sender), { buffer.data(), size });
        const std::lock_guard lock(mutex);
        if (!closed)
            receive();
    }

    asio::strand<asio::io_context::executor_type> strand;
    udp::socket socket;
    Handler handler;
    std::mutex mutex; // guards the socket; never held while the handler runs
    std::atomic<bool> closed = false;
    std::atomic<std::uint64_t> failedSends = 0;
    udp::endpoint sender;
    // Larger than any gossip datagram, so that longer ones, which are truncated, are detected as malformed.
    std::array<char, 2048> buffer {};
};

GossipSocket::GossipSocket(asio::io_context& context, const std::string& address, Handler handler)
    : m_state(std::make_shared<State>(context, std::move(handler)))
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        throw Error(ErrorKind::Internal, "gossip address '" + address + "' is not IP:PORT");
    asio::error_code ec;
    m_state->socket.open(endpoint->protocol(), ec);
    if (!ec)
        m_state->socket.non_blocking(true, ec);
    if (!ec)
        m_state->socket.bind(*endpoint, ec);
    if (ec)
        throw Error(ErrorKind::Internal, "cannot bind gossip address " + address + ": " + ec.message());
    m_state->receive();
}

GossipSocket::~GossipSocket() { close(); }

void GossipSocket::send(const std::string& address, std::string_view bytes)
{
    const auto endpoint = parseEndpoint(address);
    asio::error_code ec;
    if (endpoint) {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->closed)
            return;
        m_state->socket.send_to(asio::buffer(bytes.data(), bytes.size()), *endpoint, 0, ec);
    }
    if (!endpoint || ec)
        ++m_state->failedSends;
}

std::string GossipSocket::address() const
{
    const std::lock_guard lock(m_state->mutex);
    asio::error_code ec;
    return formatEndpoint(m_state->socket.local_endpoint(ec));
}

std::uint64_t GossipSocket::failedSends() const { return m_state->failedSends; }

void GossipSocket::close()
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->closed.exchange(true))
        return;
    asio::error_code ec;
    m_state->socket.close(ec);
}

} // namespace citronplank
