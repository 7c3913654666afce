#include "standins/load/EntrySender.h"

#include <nlohmann/json.hpp>

namespace standins {

namespace {
constexpr std::chrono::milliseconds readinessInterval { 500 }; // between readiness checks; also their timeout
constexpr std::chrono::seconds refusedEntrySkipTime { 1 };
} // namespace

EntrySender::EntrySender(asio::io_context& io, const std::vector<std::string>& entries)
    : m_io(io)
    , m_readinessTimer(io)
{
    for (const auto& text : entries) {
        const auto slash = text.find('/');
        Entry entry;
        entry.name = text.substr(0, slash);
        entry.address = parseEndpoint(entry.name);
        if (slash != std::string::npos)
            entry.adminAddress = parseEndpoint(text.substr(slash + 1));
        m_entries.push_back(std::move(entry));
    }
    if (m_entries.empty())
        throw std::invalid_argument("no entry instances: --entries or --direct is required");
    checkReadiness();
}

EntrySender::Entry& EntrySender::chooseEntry()
{
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        auto& entry = m_entries[m_next++ % m_entries.size()];
        if (entry.isReady && entry.skipUntil <= now)
            return entry;
    }
    return m_entries[m_next++ % m_entries.size()];
}

void EntrySender::send(const LoadRequest& request, Callback callback)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->request = request;
    exchange->callback = std::move(callback);
    exchange->attemptsLeft = m_entries.size();
    exchange->target = request.isKeyed ? "/request" : "/query";
    exchange->headers = "Content-Type: application/json\r\n";
    nlohmann::json body { { "service", request.service }, { "operation", request.operation },
        { "customer", request.customer }, { "deadline_ms", request.deadline.count() }, { "body", request.nonce } };
    if (request.isKeyed) {
        exchange->headers += "Request-Key: " + request.key + "\r\n";
        body["routing"] = request.nonce;
    }
    exchange->body = body.dump();
    attempt(exchange);
}

void EntrySender::attempt(const std::shared_ptr<Exchange>& exchange)
{
    auto& entry = chooseEntry();
    --exchange->attemptsLeft;
    std::shared_ptr<HttpClient> client;
    // Discards connections that the instance has closed while they were idle.
    while (!entry.idle.empty() && !entry.idle.back()->isReusable())
        entry.idle.pop_back();
    if (entry.idle.empty())
        client = std::make_shared<HttpClient>(m_io, entry.address);
    else {
        client = entry.idle.back();
        entry.idle.pop_back();
    }
    client->request("POST", exchange->target, exchange->headers, exchange->body,
        exchange->request.deadline + clientTimeoutMargin,
        [this, exchange, &entry, client](const HttpResult& result) { finish(exchange, entry, client, result); });
}

void EntrySender::finish(const std::shared_ptr<Exchange>& exchange, Entry& entry,
    const std::shared_ptr<HttpClient>& client, const HttpResult& result)
{
    if (client->isConnected())
        entry.idle.push_back(client);
    const bool isRefused = result.error == "connect";
    // The instance may close an idle connection just as a request is sent on it. This does not count as a failure of
    // the request: a query, unlike a keyed request, can safely be sent again.
    const bool isStale = result.error == "closed" && result.isReusedConnection && !exchange->request.isKeyed;
    if (isRefused)
        entry.skipUntil = std::chrono::steady_clock::now() + refusedEntrySkipTime;
    if (isStale)
        entry.idle.clear();
    if ((isRefused || isStale) && exchange->attemptsLeft > 0)
        return attempt(exchange);
    LoadReply reply;
    reply.status = result.response.status;
    reply.body = result.response.body;
    reply.transportError = result.error;
    reply.entry = entry.name;
    reply.wasSent = result.wasSent;
    exchange->callback(std::move(reply));
}

void EntrySender::checkReadiness()
{
    for (auto& entry : m_entries) {
        if (!entry.adminAddress)
            continue;
        const auto client = std::make_shared<HttpClient>(m_io, *entry.adminAddress);
        client->request("GET", "/ready", "Connection: close\r\n", "", readinessInterval,
            [&entry](const HttpResult& result) { entry.isReady = result.response.status == 200; });
    }
    m_readinessTimer.expires_after(readinessInterval);
    m_readinessTimer.async_wait([this](asio::error_code ec) {
        if (!ec)
            checkReadiness();
    });
}

} // namespace standins
