#include "backend/LeafClient.h"

#include "backend/LeafPool.h"

#include <algorithm>
#include <mutex>
#include <unordered_map>

namespace citronplank {

namespace {

/// Whether the text can be sent in a header field without changing the structure of the message.
bool isHeaderSafe(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
}

/// Endpoint of "IP:PORT"; its port is 0 if the address is malformed.
asio::ip::tcp::endpoint endpointOf(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    std::error_code ec;
    const auto host = asio::ip::make_address(address.substr(0, colon), ec);
    const unsigned long port = colon == std::string::npos ? 0 : std::strtoul(address.c_str() + colon + 1, nullptr, 10);
    if (ec || port == 0 || port > 65535)
        return {};
    return { host, static_cast<std::uint16_t>(port) };
}

} // namespace

class LeafClient::Impl : public std::enable_shared_from_this<LeafClient::Impl> {
public:
    Impl(asio::io_context& io, LeafClientSettings settings)
        : m_io(io)
        , m_settings(settings)
        , m_replyMemory(std::make_shared<ReplyMemory>(settings.maxReplyBytes))
    {
    }

    void send(const Part&, const std::string& address, std::uint32_t connectionLimit, Callback);
    bool cancel(std::uint64_t partId);
    void preconnect(const std::string& leaf, const std::string& address, std::uint32_t count);
    void closeConnections(const std::string& leaf);
    void close();
    LeafClientCounters counters();

private:
    struct RunningPart {
        std::shared_ptr<LeafExchange> exchange;
        std::shared_ptr<LeafPool> pool;
    };

    std::shared_ptr<LeafPool> poolOf(const std::string& leaf, const asio::ip::tcp::endpoint&);
    void finish(LeafExchange&, PartResult&&);
    void fail(const Part&, PartStatus, Callback&&);

    asio::io_context& m_io;
    LeafClientSettings m_settings;
    std::shared_ptr<ReplyMemory> m_replyMemory;
    LeafPoolCounters m_poolCounters;

    std::mutex m_mutex; // guards the members below; never held across I/O or a callback
    bool m_closed = false;
    std::unordered_map<std::string, std::shared_ptr<LeafPool>> m_pools;
    std::unordered_map<std::uint64_t, RunningPart> m_running;
    std::uint64_t m_parts = 0;
    std::uint64_t m_cancelled = 0;
};

void LeafClient::Impl::send(
    const Part& part, const std::string& address, std::uint32_t connectionLimit, Callback callback)
{
    const asio::ip::tcp::endpoint endpoint = endpointOf(address);
    if (endpoint.port() == 0) {
        fail(part, PartStatus::Unreachable, std::move(callback));
        return;
    }
    if (!isHeaderSafe(part.service) || !isHeaderSafe(part.operation) || !isHeaderSafe(part.requestKey)) {
        fail(part, PartStatus::Failed, std::move(callback));
        return;
    }
    const std::shared_ptr<LeafPool> pool = poolOf(part.leaf, endpoint);
    auto exchange = std::make_shared<LeafExchange>();
    exchange->part = part;
    exchange->callback = std::move(callback);
    exchange->startedAt = Clock::now();
    exchange->deadline = exchange->startedAt + part.remaining;
    bool added = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed)
            return;
        ++m_parts;
        added = m_running.emplace(part.partId, RunningPart { exchange, pool }).second;
    }
    if (added)
        asio::post(pool->strand(), [pool, exchange, connectionLimit] { pool->send(exchange, connectionLimit); });
    else
        fail(part, PartStatus::Failed, std::move(exchange->callback));
}

/// A part is removed from m_running here or in `finish`, whichever comes first, so that the callback of a cancelled
/// part is not called.
bool LeafClient::Impl::cancel(std::uint64_t partId)
{
    RunningPart running;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_running.find(partId);
        if (it == m_running.end())
            return false;
        running = std::move(it->second);
        m_running.erase(it);
        ++m_cancelled;
    }
    asio::post(running.pool->strand(), [running] { running.pool->cancel(*running.exchange); });
    return true;
}

void LeafClient::Impl::preconnect(const std::string& leaf, const std::string& address, std::uint32_t count)
{
    const asio::ip::tcp::endpoint endpoint = endpointOf(address);
    if (endpoint.port() == 0)
        return;
    const std::shared_ptr<LeafPool> pool = poolOf(leaf, endpoint);
    asio::post(pool->strand(), [pool, count] { pool->preconnect(count); });
}

void LeafClient::Impl::closeConnections(const std::string& leaf)
{
    std::shared_ptr<LeafPool> pool;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_pools.find(leaf);
        if (it == m_pools.end())
            return;
        pool = std::move(it->second);
        m_pools.erase(it);
    }
    asio::post(pool->strand(), [pool] { pool->retire(); });
}

void LeafClient::Impl::close()
{
    std::unordered_map<std::string, std::shared_ptr<LeafPool>> pools;
    std::unordered_map<std::uint64_t, RunningPart> running;
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        pools.swap(m_pools);
        running.swap(m_running);
    }
    for (const auto& entry : running) { // including those in pools that were replaced
        const RunningPart it = entry.second;
        asio::post(it.pool->strand(), [it] { it.pool->cancel(*it.exchange); });
    }
    for (const auto& entry : pools)
        asio::post(entry.second->strand(), [pool = entry.second] { pool->closeAll(); });
}

LeafClientCounters LeafClient::Impl::counters()
{
    LeafClientCounters counters;
    counters.connects = m_poolCounters.connects;
    counters.connectFailures = m_poolCounters.connectFailures;
    counters.staleClosed = m_poolCounters.staleClosed;
    counters.unresponsiveClosed = m_poolCounters.unresponsiveClosed;
    counters.openConnections = m_poolCounters.openConnections;
    const std::lock_guard lock(m_mutex);
    counters.parts = m_parts;
    counters.cancelled = m_cancelled;
    return counters;
}

std::shared_ptr<LeafPool> LeafClient::Impl::poolOf(const std::string& leaf, const asio::ip::tcp::endpoint& endpoint)
{
    std::shared_ptr<LeafPool> old;
    std::shared_ptr<LeafPool> pool;
    {
        const std::lock_guard lock(m_mutex);
        std::shared_ptr<LeafPool>& entry = m_pools[leaf];
        if (entry && entry->endpoint() == endpoint)
            return entry;
        old = std::move(entry); // the leaf has moved to another address
        entry = std::make_shared<LeafPool>(asio::make_strand(m_io), endpoint, m_settings, m_replyMemory, m_poolCounters,
            [self = shared_from_this()](
                LeafExchange& exchange, PartResult result) { self->finish(exchange, std::move(result)); });
        pool = entry;
    }
    if (old)
        asio::post(old->strand(), [old] { old->retire(); });
    return pool;
}

void LeafClient::Impl::finish(LeafExchange& exchange, PartResult&& result)
{
    std::shared_ptr<LeafExchange> kept; // m_running may hold the last reference
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_running.find(exchange.part.partId);
        if (it == m_running.end() || it->second.exchange.get() != &exchange)
            return; // cancelled
        kept = it->second.exchange;
        m_running.erase(it);
    }
    const Callback callback = std::move(exchange.callback);
    callback(std::move(result));
}

void LeafClient::Impl::fail(const Part& part, PartStatus status, Callback&& callback)
{
    PartResult result;
    result.partId = part.partId;
    result.status = status;
    asio::post(m_io, [callback = std::move(callback), result] { callback(result); });
}

LeafClient::LeafClient(asio::io_context& io, LeafClientSettings settings)
    : m_impl(std::make_shared<Impl>(io, settings))
{
}

LeafClient::~LeafClient() { m_impl->close(); }

void LeafClient::send(const Part& part, const std::string& address, std::uint32_t connectionLimit, Callback callback)
{
    m_impl->send(part, address, connectionLimit, std::move(callback));
}

bool LeafClient::cancel(std::uint64_t partId) { return m_impl->cancel(partId); }

void LeafClient::preconnect(const std::string& leaf, const std::string& address, std::uint32_t count)
{
    m_impl->preconnect(leaf, address, count);
}

void LeafClient::closeConnections(const std::string& leaf) { m_impl->closeConnections(leaf); }

LeafClientCounters LeafClient::counters() const { return m_impl->counters(); }

} // namespace citronplank
