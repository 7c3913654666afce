#include "transport/HttpServerImpl.h"

#include <algorithm>
#include <malloc.h>

namespace citronplank {

namespace {

constexpr std::size_t maxRejections = 64; // open connections beyond the limit that still get a response
constexpr milliseconds acceptRetryDelay { 100 };
constexpr milliseconds memoryCheckInterval { 100 };
constexpr std::size_t minShedBytes = 4096; // closing a connection that holds less would not help
constexpr std::size_t defaultMemoryBytes = std::size_t { 64 } << 20U;
constexpr std::size_t calmFraction = 8; // little memory is used if it is less than this part of the budget

} // namespace

HttpServer::Shared::Shared(asio::io_context& io, HttpServerSettings settings, Handler handler)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_handler(std::move(handler))
    , m_acceptor(asio::make_strand(io))
    , m_retryTimer(m_acceptor.get_executor())
    , m_memoryTimer(m_acceptor.get_executor())
{
    if (!m_settings.memory)
        m_settings.memory = std::make_shared<MemoryBudget>(defaultMemoryBytes);
    if (m_settings.maxConnectionsPerPeer == 0)
        m_settings.maxConnectionsPerPeer = m_settings.maxConnections - m_settings.maxConnections / 4;
    m_currentSettings = std::make_shared<const HttpServerSettings>(m_settings);
}

HttpServerCounters HttpServer::Shared::counters()
{
    const std::lock_guard lock(m_mutex);
    HttpServerCounters counters = m_counters;
    counters.connections = m_connections.size();
    return counters;
}

void HttpServer::Shared::setLimits(const CallerLimits& limits)
{
    auto next = m_settings;
    next.maxHeaderBytes = limits.headerBytes;
    next.maxBodyBytes = limits.bodyBytes;
    next.headerTimeout = limits.headerTimeout;
    next.idleTimeout = limits.idleTimeout;
    m_currentSettings = std::make_shared<const HttpServerSettings>(next);
}

void HttpServer::Shared::bind()
{
    try {
        const std::size_t colon = m_settings.address.rfind(':');
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_settings.address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(m_settings.address.substr(colon + 1))));
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_address = endpoint.address().to_string() + ":" + std::to_string(m_acceptor.local_endpoint().port());
    } catch (const std::exception& error) {
        throw Error(ErrorKind::Internal, "cannot listen on " + m_settings.address + ": " + error.what());
    }
}

void HttpServer::Shared::accept()
{
    m_acceptor.async_accept(
        asio::make_strand(m_io), m_acceptedPeer, [self = shared_from_this()](const std::error_code& ec, Socket socket) {
            if (ec == asio::error::operation_aborted || !self->m_acceptor.is_open())
                return;
            if (!ec) {
                self->accepted(std::move(socket));
                self->accept();
                return;
            }
            // The process may be out of file descriptors, for example. The connection stays in the listen queue, so an
            // immediate retry would cause a busy loop.
            self->m_retryTimer.expires_after(acceptRetryDelay);
            self->m_retryTimer.async_wait([self](const std::error_code& cancelled) {
                if (!cancelled)
                    self->accept();
            });
        });
}

/// Precondition: m_mutex is held.
bool HttpServer::Shared::isBeyondLimit(const asio::ip::address& peer) const
{
    auto found = m_perPeer.find(peer);
    return m_connections.size() >= m_settings.maxConnections
        || (found != m_perPeer.end() && found->second >= m_settings.maxConnectionsPerPeer);
}

/// Returns the connection to close in favour of a new one, or null. It is one of the peer that has most connections, or
/// of the new one's peer if that has as many as it may. Precondition: m_mutex is held.
std::shared_ptr<HttpServer::Connection> HttpServer::Shared::connectionToReplace(
    const asio::ip::address& peer, TimePoint now)
{
    auto from = m_perPeer.find(peer);
    if (from == m_perPeer.end() || from->second < m_settings.maxConnectionsPerPeer)
        from = std::max_element(
            m_perPeer.begin(), m_perPeer.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    std::vector<StalledConnection> list;
    for (const auto& [id, entry] : m_connections) {
        const bool isCandidate = entry.peer == from->first && entry.connection;
        if (auto state = isCandidate ? entry.connection->stalled() : std::nullopt)
            list.push_back(*state);
    }
    const auto id = citronplank::connectionToReplace(list, now);
    return id ? m_connections.at(*id).connection : nullptr;
}

void HttpServer::Shared::accepted(Socket&& socket)
{
    bool reject = false;
    std::shared_ptr<Connection> connection;
    std::shared_ptr<Connection> replaced;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped)
            return; // closes the socket
        const auto peer = m_acceptedPeer.address();
        if (isBeyondLimit(peer))
            replaced = connectionToReplace(peer, Clock::now());
        reject = !replaced && isBeyondLimit(peer);
        ++(reject ? m_counters.rejected : m_counters.accepted);
        if (replaced)
            ++m_counters.replaced;
        if (m_connections.size() >= m_settings.maxConnections + maxRejections)
            return; // closes the socket
        const std::uint64_t id = ++m_lastId;
        connection = std::make_shared<Connection>(shared_from_this(), std::move(socket), id);
        m_connections.emplace(id, Entry { connection, peer });
        ++m_perPeer[peer];
    }
    if (replaced)
        asio::post(replaced->strand(), [replaced] { replaced->replace(); });
    asio::post(connection->strand(), [connection, reject] { reject ? connection->reject() : connection->start(); });
}

void HttpServer::Shared::watchMemory()
{
    if (m_watchesMemory.exchange(true))
        return;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        self->m_memoryTimer.expires_after(memoryCheckInterval);
        self->m_memoryTimer.async_wait([self](const std::error_code& ec) {
            if (!ec)
                self->onMemoryTimer();
        });
    });
}

void HttpServer::Shared::onMemoryTimer()
{
    auto list = connections();
    if (const auto excess = memory().excess()) {
        std::vector<StalledConnection> stalled;
        std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> byId;
        for (const auto& it : list) {
            if (auto state = it->stalled()) {
                stalled.push_back(*state);
                byId.emplace(state->id, it);
            }
        }
        const auto ids = connectionsToShed(stalled, excess, minShedBytes, Clock::now());
        count([&](HttpServerCounters& counters) { counters.closedForMemory += ids.size(); });
        for (const auto id : ids)
            asio::post(byId.at(id)->strand(), [it = byId.at(id)] { it->shed(); });
    }
    for (const auto& it : list) {
        if (it->isWaitingForMemory())
            asio::post(it->strand(), [it] { it->resume(); });
    }
    m_watchesMemory = false;
    const bool isWaiting
        = std::any_of(list.begin(), list.end(), [](const auto& it) { return it->isWaitingForMemory(); });
    if (isWaiting || memory().used() > memory().limit() / calmFraction)
        watchMemory();
    else
        malloc_trim(0); // the allocator would keep the memory of the many small buffers
}

void HttpServer::Shared::closeAcceptor()
{
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        std::error_code ignored;
        self->m_acceptor.close(ignored);
        self->m_retryTimer.cancel();
        self->m_memoryTimer.cancel();
    });
}

std::vector<std::shared_ptr<HttpServer::Connection>> HttpServer::Shared::connections()
{
    std::vector<std::shared_ptr<Connection>> list;
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, entry] : m_connections) {
        if (entry.connection)
            list.push_back(entry.connection);
    }
    return list;
}

void HttpServer::Shared::finish(std::function<void()> done)
{
    m_draining = true;
    m_finishing = true;
    closeAcceptor();
    // Runs after the close on the acceptor's strand, so no connection is added afterwards.
    asio::post(m_acceptor.get_executor(), [self = shared_from_this(), done = std::move(done)]() mutable {
        {
            const std::lock_guard lock(self->m_mutex);
            self->m_done = std::move(done);
            if (self->m_connections.empty())
                asio::post(self->m_io, std::exchange(self->m_done, nullptr));
        }
        for (const auto& connection : self->connections())
            asio::post(connection->strand(), [connection] { connection->finish(); });
    });
}

void HttpServer::Shared::shutDown()
{
    m_stopped = true;
    closeAcceptor();
    auto list = connections();
    {
        // The calls below may never run, and a connection owns this object.
        const std::lock_guard lock(m_mutex);
        for (auto& [id, entry] : m_connections)
            entry.connection.reset();
    }
    for (const auto& connection : list)
        asio::post(connection->strand(), [connection] { connection->close(); });
}

void HttpServer::Shared::remove(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    auto count = m_perPeer.find(found->second.peer);
    if (--count->second == 0)
        m_perPeer.erase(count);
    m_connections.erase(found);
    if (m_connections.empty() && m_done)
        asio::post(m_io, std::exchange(m_done, nullptr));
}

// ---- HttpServer

HttpServer::HttpServer(asio::io_context& io, HttpServerSettings settings, Handler handler)
    : m_shared(std::make_shared<Shared>(io, std::move(settings), std::move(handler)))
{
    m_shared->bind();
}

HttpServer::~HttpServer() { m_shared->shutDown(); }

void HttpServer::start() { m_shared->accept(); }

void HttpServer::beginDrain() { m_shared->beginDrain(); }

void HttpServer::stopAccepting() { m_shared->closeAcceptor(); }

void HttpServer::finish(std::function<void()> done) { m_shared->finish(std::move(done)); }

std::string HttpServer::address() const { return m_shared->address(); }

void HttpServer::setLimits(const CallerLimits& limits) { m_shared->setLimits(limits); }

HttpServerCounters HttpServer::counters() const { return m_shared->counters(); }

} // namespace citronplank
