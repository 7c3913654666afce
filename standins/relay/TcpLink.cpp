#include "standins/relay/Relay.h"

namespace standins {

namespace {

class TcpLink;

/// The two sockets of a relayed connection, with a delay queue for each direction.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection> {
public:
    RelayedConnection(asio::io_context& io, TcpLink& link, tcp::socket accepted)
        : m_link(link)
        , m_sides { Side { std::move(accepted), DelayQueue(io) }, Side { tcp::socket(io), DelayQueue(io) } }
    {
    }

    /// Connects to `target`, then forwards in both directions; resets the accepted connection if that fails.
    void start(const tcp::endpoint& target);
    /// Closes both sockets, with a TCP reset if `reset`, and discards delayed data.
    void close(bool reset);
    /// Keeps both sockets open but forwards nothing more.
    void silence() { m_isSilent = true; }
    /// Forwards held-back data and resumes reading, as far as the current faults allow.
    void resume();

private:
    struct Side {
        tcp::socket socket;
        DelayQueue delayQueue; // of data that this side sent
        std::array<char, 65536> buffer {};
        std::deque<std::string> output; // to this side; an empty string marks the end of the stream
        bool isWriting = false;
        bool isPaused = false; // reading is suspended because the other side is blocked
        bool hasEnded = false; // the stream to this side has ended and its socket is shut down for sending
    };

    /// Whether a fault holds back data to side `to`.
    bool isBlocked(int to) const;
    void read(int from);
    /// Queues delayed data of side `from` for the other side; an empty string ends the stream.
    void forward(int from, std::string data);
    /// Writes the queued output of side `to`, unless a fault holds it back.
    void write(int to);
    /// Ends the stream to side `to`; closes the connection if the other stream has ended too.
    void endStream(int to);

    TcpLink& m_link;
    std::array<Side, 2> m_sides; // 0: caller, 1: target
    bool m_isSilent = false;
    bool m_isClosed = false;
};

class TcpLink : public Link {
public:
    TcpLink(asio::io_context& io, std::string name, const tcp::endpoint& listen, const tcp::endpoint& target,
        std::uint64_t seed)
        : Link(std::move(name), seed)
        , m_io(io)
        , m_acceptor(io, listen)
        , m_target(target)
    {
        accept();
    }

    LinkCounts counts() const override
    {
        auto counts = m_counts;
        counts.open = m_connections.size();
        return counts;
    }
    void reset() override
    {
        for (const auto& connection : std::set(m_connections))
            connection->close(true);
    }
    void silenceOpenConnections() override
    {
        for (const auto& connection : m_connections)
            connection->silence();
    }
    void onFaultsChanged() override
    {
        for (const auto& connection : std::set(m_connections))
            connection->resume();
    }
    void remove(const std::shared_ptr<RelayedConnection>& connection) { m_connections.erase(connection); }
    void countBytes(std::size_t bytes) { m_counts.bytes += bytes; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](asio::error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted)
                return;
            if (!ec && faults().isCut) {
                asio::error_code ignored;
                // The destructor of `socket` closes the connection, but Asio clears the linger option there: the peer
                // sees the end of the stream instead of a reset, unless it has sent data.
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
            } else if (!ec) {
                ++m_counts.accepted;
                const auto connection = std::make_shared<RelayedConnection>(m_io, *this, std::move(socket));
                m_connections.insert(connection);
                connection->start(m_target);
            }
            accept();
        });
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    std::set<std::shared_ptr<RelayedConnection>> m_connections;
    LinkCounts m_counts;
};

void RelayedConnection::start(const tcp::endpoint& target)
{
    m_sides[1].socket.async_connect(target, [self = shared_from_this()](asio::error_code ec) {
        if (ec)
            return self->close(true);
        asio::error_code ignored;
        for (auto& side : self->m_sides)
            side.socket.set_option(tcp::no_delay(true), ignored);
        self->read(0);
        self->read(1);
    });
}

void RelayedConnection::close(bool reset)
{
    if (std::exchange(m_isClosed, true))
        return;
    const auto self = shared_from_this();
    asio::error_code ec;
    for (auto& side : m_sides) {
        side.delayQueue.clear();
        if (reset)
            side.socket.set_option(asio::socket_base::linger(true, 0), ec);
        side.socket.close(ec);
    }
    m_link.remove(self);
}

void RelayedConnection::read(int from)
{
    auto& side = m_sides[from];
    side.socket.async_read_some(
        asio::buffer(side.buffer), [self = shared_from_this(), from](asio::error_code ec, std::size_t n) {
            auto& it = self->m_sides[from];
            if (self->m_isClosed)
                return;
            if (ec && ec != asio::error::eof)
                return self->close(true);
            it.delayQueue.push(ec ? std::string() : std::string(it.buffer.data(), n), self->m_link.drawDelay(),
                [weak = self->weak_from_this(), from](std::string data) {
                    if (const auto connection = weak.lock())
                        connection->forward(from, std::move(data));
                });
            it.isPaused = !ec && self->isBlocked(1 - from);
            if (!ec && !it.isPaused)
                self->read(from);
        });
}

bool RelayedConnection::isBlocked(int to) const
{
    const auto& faults = m_link.faults();
    return m_isSilent || faults.isSilent || (to == 0 && faults.blocksResponses);
}

void RelayedConnection::resume()
{
    for (int i = 0; i < 2 && !m_isClosed; ++i) {
        write(i);
        if (!isBlocked(1 - i) && std::exchange(m_sides[i].isPaused, false))
            read(i);
    }
}

void RelayedConnection::forward(int from, std::string data)
{
    if (m_isClosed)
        return;
    m_link.countBytes(data.size());
    m_sides[1 - from].output.push_back(std::move(data));
    write(1 - from);
}

void RelayedConnection::write(int to)
{
    auto& side = m_sides[to];
    if (side.isWriting || side.output.empty() || isBlocked(to))
        return;
    if (side.output.front().empty())
        return endStream(to);
    side.isWriting = true;
    asio::async_write(side.socket, asio::buffer(side.output.front()),
        [self = shared_from_this(), to](asio::error_code ec, std::size_t) {
            auto& it = self->m_sides[to];
            it.isWriting = false;
            if (self->m_isClosed)
                return;
            if (ec)
                return self->close(true);
            it.output.pop_front();
            self->write(to);
        });
}

void RelayedConnection::endStream(int to)
{
    asio::error_code ec;
    m_sides[to].socket.shutdown(tcp::socket::shutdown_send, ec);
    m_sides[to].hasEnded = true;
    if (m_sides[1 - to].hasEnded)
        close(false);
}

} // namespace

std::unique_ptr<Link> makeTcpLink(
    asio::io_context& io, std::string name, const std::string& listen, const std::string& target, std::uint64_t seed)
{
    return std::make_unique<TcpLink>(io, std::move(name), parseEndpoint(listen), parseEndpoint(target), seed);
}

} // namespace standins
