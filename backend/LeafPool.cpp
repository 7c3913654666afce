#include "backend/LeafPool.h"

#include <algorithm>

namespace citronplank {

namespace {

// A crashing process closes its listener within this time; a connection that stays open longer shows that the leaf
// runs.
constexpr milliseconds probeDuration { 20 };

std::string requestOf(const LeafExchange& exchange, const asio::ip::tcp::endpoint& endpoint)
{
    const Part& part = exchange.part;
    const auto remaining = std::chrono::duration_cast<milliseconds>(exchange.deadline - Clock::now()).count();
    std::string text = "POST /part HTTP/1.1\r\nHost: " + endpoint.address().to_string() + ":"
        + std::to_string(endpoint.port()) + "\r\nService: " + part.service + "\r\nOperation: " + part.operation
        + "\r\nIndex-Version: " + std::to_string(part.shard.version) + "\r\nShard: " + std::to_string(part.shard.shard)
        + "\r\nOf: " + std::to_string(part.shard.shardCount)
        + "\r\nDeadline-Ms: " + std::to_string(std::max<long>(remaining, 0))
        + "\r\nRequest-Id: " + std::to_string(part.queryId) + "-" + std::to_string(part.partId);
    if (!part.requestKey.empty())
        text += "\r\nRequest-Key: " + part.requestKey;
    text += "\r\nContent-Length: " + std::to_string(part.body.size()) + "\r\n\r\n";
    return text + part.body;
}

} // namespace

LeafPool::LeafPool(const Strand& strand, const asio::ip::tcp::endpoint& endpoint, LeafClientSettings settings,
    std::shared_ptr<ReplyMemory> replyMemory, LeafPoolCounters& counters, Finish finish)
    : m_strand(strand)
    , m_endpoint(endpoint)
    , m_settings(settings)
    , m_replyMemory(std::move(replyMemory))
    , m_counters(counters)
    , m_finish(std::move(finish))
{
}

LeafPool::~LeafPool() { m_counters.openConnections -= m_connections.size(); }

void LeafPool::send(const std::shared_ptr<LeafExchange>& exchange, std::uint32_t connectionLimit)
{
    if (exchange->ended)
        return;
    if (exchange->deadline <= Clock::now()) {
        end(*exchange, PartStatus::Deadline, Outcome::NotRun);
        return;
    }
    m_limit = std::max<std::uint32_t>(connectionLimit, 1);
    exchange->timer.emplace(m_strand);
    exchange->timer->expires_at(exchange->deadline);
    exchange->timer->async_wait([self = shared_from_this(), exchange](const std::error_code& ec) {
        if (!ec && !exchange->ended)
            self->onTimeout(exchange);
    });
    if (!m_idle.empty()) {
        const Connection connection = m_idle.back();
        m_idle.pop_back();
        start(connection, exchange);
        return;
    }
    if (m_connecting <= m_waiting.size()) { // each connection being established has an exchange that waits for it
        if (m_connections.size() >= m_limit) {
            end(*exchange, PartStatus::Refused, Outcome::NotRun);
            return;
        }
        connect();
    }
    m_waiting.push_back(exchange);
}

void LeafPool::cancel(LeafExchange& exchange)
{
    if (exchange.ended)
        return;
    exchange.ended = true;
    if (exchange.timer)
        exchange.timer->cancel();
    std::erase_if(m_waiting, [&](const auto& it) { return it.get() == &exchange; });
    if (const Connection connection = std::move(exchange.connection)) {
        connection->close();
        drop(connection);
    }
}

void LeafPool::preconnect(std::uint32_t count)
{
    m_limit = std::max(m_limit, count);
    while (!m_retired && m_connections.size() < count)
        connect();
}

void LeafPool::retire()
{
    m_retired = true;
    for (const Connection& it : std::exchange(m_idle, {})) {
        it->close();
        drop(it);
    }
}

void LeafPool::closeAll()
{
    m_retired = true;
    for (const auto& it : m_connections)
        it->close();
    m_counters.openConnections -= m_connections.size();
    m_connections.clear();
    m_idle.clear();
    m_waiting.clear();
}

void LeafPool::connect()
{
    auto connection = std::make_shared<LeafConnection>(m_strand, m_settings.maxAnswerBytes, m_replyMemory);
    m_connections.push_back(connection);
    ++m_counters.openConnections;
    ++m_connecting;
    connection->connect(m_endpoint, m_settings.connectTimeout,
        [self = shared_from_this(), connection](bool ok) { self->onConnected(connection, ok); });
}

void LeafPool::onConnected(const Connection& connection, bool ok)
{
    --m_connecting;
    if (ok) {
        ++m_counters.connects;
        makeAvailable(connection);
        return;
    }
    ++m_counters.connectFailures;
    drop(connection);
    if (m_waiting.size() > m_connecting) {
        const auto exchange = m_waiting.front();
        m_waiting.pop_front();
        end(*exchange, PartStatus::Unreachable, Outcome::NotRun);
    }
}

/// Starts a waiting exchange on a free connection, or keeps the connection idle.
void LeafPool::makeAvailable(const Connection& connection)
{
    if (!m_waiting.empty()) {
        const auto exchange = m_waiting.front();
        m_waiting.pop_front();
        start(connection, exchange);
        return;
    }
    if (m_retired || m_connections.size() > m_limit) {
        connection->close();
        drop(connection);
        return;
    }
    m_idle.push_back(connection);
    connection->watchIdle(m_settings.idleTimeout, [weak = weak_from_this(), connection] {
        if (const auto self = weak.lock())
            self->drop(connection);
    });
}

void LeafPool::start(const Connection& connection, const std::shared_ptr<LeafExchange>& exchange)
{
    if (exchange->deadline <= Clock::now()) { // its timer has expired, but the handler has not run yet
        end(*exchange, PartStatus::Deadline, Outcome::NotRun);
        makeAvailable(connection);
        return;
    }
    exchange->connection = connection;
    connection->exchange(
        requestOf(*exchange, m_endpoint), [self = shared_from_this(), connection, exchange](LeafReply reply) {
            self->onReply(connection, exchange, std::move(reply));
        });
}

void LeafPool::onReply(const Connection& connection, const std::shared_ptr<LeafExchange>& exchange, LeafReply&& reply)
{
    exchange->connection = nullptr;
    if (connection->isReusable()) {
        makeAvailable(connection);
    } else {
        connection->close();
        drop(connection);
    }
    if (exchange->ended)
        return;
    switch (reply.end) {
    case LeafReply::End::Complete: {
        PartResult result = resultOf(*exchange, std::move(reply));
        end(*exchange, result.status, result.outcome, std::move(result.body), result.shard);
        break;
    }
    case LeafReply::End::NotWritten:
        end(*exchange, PartStatus::Unreachable, Outcome::NotRun);
        break;
    case LeafReply::End::Malformed:
        end(*exchange, PartStatus::Failed, Outcome::MayHaveRun);
        break;
    case LeafReply::End::Lost:
        onConnectionLost(exchange, connection->exchanges() > 1 && !reply.anyByteReceived);
        break;
    }
}

/// Ends an exchange whose connection was lost. A leaf may close a kept-alive connection while a part is written to it.
/// A new connection is opened to distinguish this from a crash, because a crash makes the request suspect of crashing
/// leaves.
void LeafPool::onConnectionLost(const std::shared_ptr<LeafExchange>& exchange, bool maybeStale)
{
    if (!maybeStale || !exchange->part.requestKey.empty()) {
        end(*exchange, PartStatus::Crashed, Outcome::MayHaveRun);
        return;
    }
    auto probe = std::make_shared<LeafConnection>(m_strand, m_settings.maxAnswerBytes, m_replyMemory);
    exchange->connection = probe;
    probe->connect(m_endpoint, m_settings.connectTimeout, [self = shared_from_this(), exchange, probe](bool ok) {
        if (exchange->ended)
            return;
        if (!ok) {
            self->end(*exchange, PartStatus::Crashed, Outcome::MayHaveRun);
            return;
        }
        auto timer = std::make_shared<LeafConnection::Timer>(self->m_strand, probeDuration);
        timer->async_wait([self, exchange, probe, timer](const std::error_code&) {
            const bool alive = probe->isOpen();
            probe->close();
            if (exchange->ended)
                return;
            if (alive)
                ++self->m_counters.staleClosed;
            self->end(*exchange, alive ? PartStatus::Unreachable : PartStatus::Crashed, Outcome::MayHaveRun);
        });
    });
}

void LeafPool::onTimeout(const std::shared_ptr<LeafExchange>& exchange)
{
    const Connection connection = std::move(exchange->connection);
    if (!connection) {
        std::erase(m_waiting, exchange);
        end(*exchange, PartStatus::Deadline, Outcome::NotRun);
        return;
    }
    connection->close();
    drop(connection);
    end(*exchange, PartStatus::Deadline, Outcome::MayHaveRun);
    if (connection->exchanges() > 1)
        closeUnresponsive(exchange->startedAt);
}

/// Called after a timeout on a kept-alive connection. If a new connection works, idle connections that have received
/// nothing since `since` may be permanently unresponsive and are closed.
void LeafPool::closeUnresponsive(TimePoint since)
{
    auto probe = std::make_shared<LeafConnection>(m_strand, m_settings.maxAnswerBytes, m_replyMemory);
    probe->connect(m_endpoint, m_settings.connectTimeout, [self = shared_from_this(), probe, since](bool ok) {
        if (!ok)
            return;
        std::vector<Connection> unresponsive;
        for (const Connection& it : self->m_idle) {
            if (it->lastReceived() < since)
                unresponsive.push_back(it);
        }
        for (const Connection& it : unresponsive) {
            it->close();
            self->drop(it);
            ++self->m_counters.unresponsiveClosed;
        }
        if (self->m_connections.size() < self->m_limit) {
            self->m_connections.push_back(probe);
            ++self->m_counters.openConnections;
            ++self->m_counters.connects;
            self->makeAvailable(probe);
        } else {
            probe->close();
        }
    });
}

void LeafPool::end(LeafExchange& exchange, PartStatus status, Outcome outcome, std::string body, ShardVersion shard)
{
    exchange.ended = true;
    exchange.connection = nullptr;
    if (exchange.timer)
        exchange.timer->cancel();
    PartResult result;
    result.partId = exchange.part.partId;
    result.status = status;
    result.outcome = outcome;
    result.shard = shard;
    result.leafTime = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - exchange.startedAt);
    result.body = std::move(body);
    m_finish(exchange, std::move(result));
}

void LeafPool::drop(const Connection& connection)
{
    std::erase(m_idle, connection);
    m_counters.openConnections -= std::erase(m_connections, connection);
}

PartResult LeafPool::resultOf(const LeafExchange& exchange, LeafReply&& reply) const
{
    const Part& part = exchange.part;
    PartResult result;
    if (reply.status == 409) {
        result.status = PartStatus::WrongVersion;
    } else if (reply.status == 429 || reply.status == 503) {
        result.status = PartStatus::Refused;
    } else {
        result.outcome = Outcome::Ran;
        result.status = PartStatus::Failed;
        if (reply.version && reply.shard)
            result.shard = { *reply.version, *reply.shard, part.shard.shardCount };
        const bool matches = result.shard == part.shard;
        if (reply.status == 200 && matches)
            result.status = PartStatus::Ok;
        else if (reply.status == 200 && reply.version && reply.shard && part.requestKey.empty())
            result.status = PartStatus::WrongVersion; // must not be merged
        if (reply.status != 200 || matches)
            result.body = std::move(reply.body);
    }
    return result;
}

} // namespace citronplank
