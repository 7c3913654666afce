#include "backend/UpstreamClient.h"

#include <algorithm>
#include <charconv>

namespace citronplank {

namespace {

std::string poolNameOf(const Announcement& leaf) { return leaf.leaf + "@" + leaf.address; }

asio::ip::tcp::endpoint endpointOf(const std::string& address)
{
    auto colon = address.rfind(':');
    std::uint16_t port = 0;
    std::error_code ec;
    if (colon != std::string::npos) {
        auto ip = asio::ip::make_address(address.substr(0, colon), ec);
        const char* end = address.data() + address.size();
        auto [stop, error] = std::from_chars(address.data() + colon + 1, end, port);
        if (!ec && error == std::errc() && stop == end && port != 0)
            return { ip, port };
    }
    throw Error(ErrorKind::BadRequest, "leaf address is not IP:PORT: " + address);
}

/// Returns the seconds of "timeout=N" in the value of a Keep-Alive header.
std::optional<seconds> idleTimeoutIn(std::string_view header)
{
    constexpr std::string_view name = "timeout=";
    auto at = header.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    header.remove_prefix(at + name.size());
    int n = 0;
    if (std::from_chars(header.data(), header.data() + header.size(), n).ec != std::errc())
        return std::nullopt;
    return seconds(n);
}

} // namespace

UpstreamClient::Pool& UpstreamClient::poolOf(const Announcement& leaf)
{
    auto [it, isNew] = m_pools.try_emplace(poolNameOf(leaf));
    if (isNew) {
        try {
            it->second.endpoint = endpointOf(leaf.address);
        } catch (const Error&) {
            m_pools.erase(it);
            throw;
        }
    }
    auto& pool = it->second;
    if (std::exchange(pool.isRemoved, false))
        pool.limit = std::numeric_limits<std::uint32_t>::max(); // until the next send
    return pool;
}

void UpstreamClient::send(
    std::uint64_t attempt, const Announcement& leaf, std::uint32_t limit, UpstreamRequest request, Callback callback)
{
    auto& pool = poolOf(leaf);
    pool.limit = limit;
    auto& exchange = m_exchanges[attempt];
    exchange = { poolNameOf(leaf), nullptr, std::move(callback), Clock::now(), nullptr, std::move(request) };
    exchange.connection = takeIdle(pool, exchange.request);
    if (exchange.connection) {
        start(attempt);
        return;
    }
    if (exchange.request.firstSentAt && pool.open >= limit)
        closeOldestIdle(pool);
    if (pool.open < limit) {
        connect(attempt, pool);
        return;
    }
    asio::post(m_strand, [self = shared_from_this(), attempt] {
        LeafReply reply;
        reply.end = LeafReply::End::NoFreeConnection;
        self->onReply(attempt, std::move(reply));
    });
}

/// Removes the last used idle connection that may carry the request from the pool. Returns null if there is none.
UpstreamClient::Connection UpstreamClient::takeIdle(Pool& pool, const UpstreamRequest& request)
{
    auto n = std::erase_if(pool.idle, [](const Idle& it) { return !it.connection->isOpen(); });
    pool.open -= static_cast<std::uint32_t>(n);
    auto found = std::find_if(pool.idle.rbegin(), pool.idle.rend(), [&](const Idle& it) {
        return !request.firstSentAt || it.connection->exchanges() == 0 || it.since < *request.firstSentAt;
    });
    if (found == pool.idle.rend())
        return nullptr;
    auto connection = std::move(found->connection);
    pool.idle.erase(std::next(found).base());
    return connection;
}

void UpstreamClient::closeOldestIdle(Pool& pool)
{
    if (pool.idle.empty())
        return;
    pool.idle.front().connection->close();
    pool.idle.erase(pool.idle.begin());
    --pool.open;
}

void UpstreamClient::connect(std::uint64_t attempt, Pool& pool)
{
    ++pool.open;
    ++m_counters.connectAttempts;
    auto connection = std::make_shared<LeafConnection>(m_strand, m_settings.maxAnswerBytes, m_replyMemory, true);
    m_exchanges.at(attempt).connection = connection;
    connection->connect(pool.endpoint, m_settings.connectTimeout, [self = shared_from_this(), attempt](bool ok) {
        auto found = self->m_exchanges.find(attempt);
        if (found == self->m_exchanges.end())
            return;
        const auto& mayStillSend = found->second.request.mayStillSend;
        if (ok && (found->second.graceTimer || (mayStillSend && !mayStillSend()))) {
            self->endUnsent(attempt);
            return;
        }
        if (ok) {
            self->start(attempt);
            return;
        }
        self->onConnectFailed(found->second.poolName, found->second.connection);
        // A leaf with other open connections is running, so this takes the failure to mean that the leaf accepts no
        // more connections.
        auto pool = self->m_pools.find(found->second.poolName);
        bool isFull = pool != self->m_pools.end() && pool->second.open > 1;
        LeafReply reply;
        reply.end = isFull ? LeafReply::End::NoFreeConnection : LeafReply::End::NotWritten;
        self->onReply(attempt, std::move(reply));
    });
}

/// A process that has no room for a connection keeps its others open, so a refusal shows its end only after the leaf
/// has ended those of this instance too.
void UpstreamClient::onConnectFailed(const std::string& poolName, const Connection& connection)
{
    ++m_counters.connectFailures;
    auto pool = m_pools.find(poolName);
    if (pool == m_pools.end() || !connection->wasRefused() || pool->second.open > 1 || !m_processEnded)
        return;
    auto endedAt = pool->second.endedByLeafAt;
    if (endedAt && Clock::now() - *endedAt <= m_settings.processEndWindow)
        m_processEnded(poolName.substr(0, poolName.rfind('@')));
}

/// Ends an attempt that must not be sent any more once its connection is open, and keeps the connection.
void UpstreamClient::endUnsent(std::uint64_t attempt)
{
    auto node = m_exchanges.extract(attempt);
    auto& exchange = node.mapped();
    if (exchange.graceTimer)
        exchange.graceTimer->cancel();
    keepOrClose(exchange.poolName, exchange.connection, true, m_settings.idleTimeout);
    LeafReply reply;
    reply.end = LeafReply::End::NoFreeConnection;
    exchange.callback(std::move(reply));
}

void UpstreamClient::start(std::uint64_t attempt)
{
    ++m_counters.exchanges;
    auto& exchange = m_exchanges.at(attempt);
    exchange.connection->exchange(
        std::move(exchange.request.bytes),
        [self = shared_from_this(), attempt](LeafReply reply) { self->onReply(attempt, std::move(reply)); },
        exchange.request.isHead);
}

void UpstreamClient::onReply(std::uint64_t attempt, LeafReply reply)
{
    auto node = m_exchanges.extract(attempt);
    if (!node)
        return;
    auto& exchange = node.mapped();
    if (exchange.graceTimer)
        exchange.graceTimer->cancel();
    if (isForeign(exchange, reply))
        reply.end = LeafReply::End::Malformed;
    else if (reply.end == LeafReply::End::Complete && exchange.request.onReply)
        exchange.request.onReply(reply);
    if (auto pool = m_pools.find(exchange.poolName); pool != m_pools.end() && reply.end == LeafReply::End::Lost)
        pool->second.endedByLeafAt = Clock::now();
    if (exchange.connection)
        reuse(exchange.poolName, exchange.connection, reply);
    if (exchange.callback)
        exchange.callback(std::move(reply));
}

bool UpstreamClient::isForeign(const Exchange& exchange, const LeafReply& reply)
{
    auto pool = m_pools.find(exchange.poolName);
    if (reply.end != LeafReply::End::Complete || !exchange.request.ownerOf || pool == m_pools.end())
        return false;
    auto owner = exchange.request.ownerOf(reply);
    if (owner == ReplyOwner::ThisRequest)
        pool->second.namesRequests = true;
    bool isSuccess = reply.status / 100 == 2;
    return owner == ReplyOwner::AnotherRequest
        || (owner == ReplyOwner::Unknown && isSuccess && pool->second.namesRequests);
}

/// Returns the connection of an ended exchange to the pool, or closes it if it cannot be reused.
void UpstreamClient::reuse(const std::string& poolName, const Connection& connection, const LeafReply& reply)
{
    Duration timeout = m_settings.idleTimeout;
    if (auto announced = idleTimeoutIn(reply.header("Keep-Alive")))
        timeout = std::chrono::duration_cast<Duration>(*announced * m_settings.idleShare);
    bool isReusable = reply.end == LeafReply::End::Complete && connection->isReusable();
    keepOrClose(poolName, connection, isReusable, timeout);
}

/// Returns an open connection to the pool, or closes it if it is not reusable or the pool is above its limit.
void UpstreamClient::keepOrClose(
    const std::string& poolName, const Connection& connection, bool isReusable, Duration idleTimeout)
{
    auto pool = m_pools.find(poolName);
    if (pool == m_pools.end() || !isReusable || pool->second.open > pool->second.limit) {
        connection->close();
        releaseConnection(poolName);
        return;
    }
    pool->second.idle.push_back({ connection, Clock::now() });
    connection->watchIdle(std::chrono::duration_cast<milliseconds>(idleTimeout),
        [weakClient = weak_from_this(), poolName, weakConnection = std::weak_ptr<LeafConnection>(connection)] {
            auto self = weakClient.lock();
            auto ended = weakConnection.lock();
            if (self && ended)
                self->onIdleEnded(poolName, ended);
        });
}

/// Counts a connection of the pool that was closed after it was busy or connecting.
void UpstreamClient::releaseConnection(const std::string& poolName)
{
    auto pool = m_pools.find(poolName);
    if (pool != m_pools.end() && --pool->second.open == 0 && pool->second.isRemoved)
        m_pools.erase(pool);
}

void UpstreamClient::onIdleEnded(const std::string& poolName, const Connection& connection)
{
    auto pool = m_pools.find(poolName);
    if (pool == m_pools.end())
        return;
    auto n = std::erase_if(pool->second.idle, [&](const Idle& it) { return it.connection == connection; });
    pool->second.open -= static_cast<std::uint32_t>(n);
    m_counters.idleEnded += n;
    if (connection->endedByLeaf())
        pool->second.endedByLeafAt = Clock::now();
}

void UpstreamClient::setLimit(const Announcement& leaf, std::uint32_t limit)
{
    auto found = m_pools.find(poolNameOf(leaf));
    if (found == m_pools.end())
        return;
    auto& pool = found->second;
    pool.limit = limit;
    while (pool.open > pool.limit && !pool.idle.empty())
        closeOldestIdle(pool);
}

void UpstreamClient::cancel(std::uint64_t attempt, milliseconds grace, const std::function<void(CancelResult)>& done)
{
    auto found = m_exchanges.find(attempt);
    if (found == m_exchanges.end())
        return;
    ++m_counters.cancelled;
    auto& exchange = found->second;
    exchange.callback = [done](const LeafReply& reply) {
        bool isUnsent = reply.end == LeafReply::End::NotWritten || reply.end == LeafReply::End::NoFreeConnection;
        done(reply.end == LeafReply::End::Complete ? CancelResult::Answered
                : isUnsent                         ? CancelResult::NotSent
                                                   : CancelResult::Ended);
    };
    exchange.graceTimer = std::make_shared<LeafConnection::Timer>(m_strand);
    exchange.graceTimer->expires_after(grace);
    exchange.graceTimer->async_wait(
        [self = shared_from_this(), attempt, timer = exchange.graceTimer, done](const std::error_code& ec) {
            if (!ec)
                self->onGraceExpired(attempt, done);
        });
}

void UpstreamClient::onGraceExpired(std::uint64_t attempt, const std::function<void(CancelResult)>& done)
{
    auto node = m_exchanges.extract(attempt);
    if (!node)
        return;
    auto& ended = node.mapped();
    if (ended.connection) {
        ended.connection->close();
        releaseConnection(ended.poolName);
        closeUnresponsive(ended.poolName, ended.startedAt);
    }
    done(CancelResult::Unresponsive);
}

void UpstreamClient::probe(const Announcement& leaf, std::function<void(bool)> done)
{
    auto connection = std::make_shared<LeafConnection>(m_strand, m_settings.maxAnswerBytes, m_replyMemory, true);
    try {
        auto& pool = poolOf(leaf);
        ++pool.open;
        ++m_counters.connectAttempts;
        connection->connect(pool.endpoint, m_settings.connectTimeout,
            [self = shared_from_this(), poolName = poolNameOf(leaf), connection, done = std::move(done)](bool ok) {
                if (!ok)
                    self->onConnectFailed(poolName, connection);
                self->keepOrClose(poolName, connection, ok, self->m_settings.idleTimeout);
                done(ok);
            });
    } catch (const Error&) {
        done(false);
    }
}

/// After an exchange without a response, its connection may be permanently unresponsive, and so may be all connections
/// that have received nothing since the exchange started.
void UpstreamClient::closeUnresponsive(const std::string& poolName, TimePoint since)
{
    auto pool = m_pools.find(poolName);
    if (pool == m_pools.end())
        return;
    auto n = std::erase_if(pool->second.idle, [&](const Idle& it) {
        if (it.connection->lastReceived() >= since)
            return false;
        it.connection->close();
        return true;
    });
    pool->second.open -= static_cast<std::uint32_t>(n);
    m_counters.unresponsiveClosed += n;
}

void UpstreamClient::keepOnly(const std::unordered_set<std::string_view>& leaves)
{
    for (auto it = m_pools.begin(); it != m_pools.end();) {
        auto name = std::string_view(it->first).substr(0, it->first.rfind('@'));
        if (leaves.contains(name)) {
            ++it;
            continue;
        }
        auto& pool = it->second;
        for (auto& idle : pool.idle)
            idle.connection->close();
        pool.open -= static_cast<std::uint32_t>(pool.idle.size());
        pool.idle.clear();
        // The pool counts its busy connections until they end: if the leaf returns meanwhile, it has the same pool.
        pool.limit = 0;
        pool.isRemoved = true;
        it = pool.open == 0 ? m_pools.erase(it) : std::next(it);
    }
}

void UpstreamClient::closeAll()
{
    for (auto& [attempt, exchange] : m_exchanges) {
        if (exchange.connection)
            exchange.connection->close();
    }
    m_exchanges.clear();
    keepOnly({});
    m_pools.clear();
}

} // namespace citronplank
