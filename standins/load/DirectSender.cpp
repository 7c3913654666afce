#include "standins/load/DirectSender.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace standins {

namespace {
// Completed parts per increment of the concurrency limit; twice the default ramp of a leaf, so that the limit never
// exceeds the leaf's capacity.
constexpr std::uint32_t partsPerIncrement = 16;
} // namespace

std::uint32_t DirectSender::Leaf::concurrencyLimit() const
{
    return std::min(slots, 1 + completed / partsPerIncrement);
}

DirectSender::DirectSender(asio::io_context& io, const std::vector<std::string>& controlAddresses)
    : m_io(io)
{
    for (const auto& address : controlAddresses)
        fetchLeaves(io, address);
}

void DirectSender::fetchLeaves(asio::io_context& io, const std::string& address)
{
    const auto client = std::make_shared<HttpClient>(io, parseEndpoint(address));
    std::optional<HttpResult> result;
    client->request("GET", "/leaves", "Connection: close\r\n", "", std::chrono::seconds(5),
        [&](HttpResult it) { result = std::move(it); });
    while (!result)
        io.run_one();
    if (result->response.status != 200)
        throw std::runtime_error("cannot list the leaves at " + address + ": " + result->error);
    addLeaves(result->response.body);
}

void DirectSender::addLeaves(const std::string& text)
{
    for (const auto& it : nlohmann::json::parse(text)) {
        Leaf leaf;
        leaf.address = parseEndpoint(it.at("address").get<std::string>());
        leaf.slots = it.at("slots").get<std::uint32_t>();
        const auto& newest = it.at("versions").back();
        auto& service = m_services[it.at("service").get<std::string>()];
        service.version = newest.at("version").get<std::uint64_t>();
        service.replicas.resize(newest.at("of").get<std::size_t>());
        service.replicas.at(newest.at("shard").get<std::size_t>()).push_back(m_leaves.size());
        m_leaves.push_back(std::move(leaf));
    }
}

void DirectSender::send(const LoadRequest& request, Callback callback)
{
    const auto it = m_services.find(request.service);
    if (it == m_services.end())
        throw std::runtime_error("the control endpoints of --direct list no leaf of service " + request.service);
    const auto& service = it->second;
    auto query = std::make_shared<Query>();
    query->request = request;
    query->callback = std::move(callback);
    query->deadline = Clock::now() + request.deadline;
    query->version = service.version;
    query->total = static_cast<std::uint32_t>(service.replicas.size());
    query->parts.resize(query->total);
    const auto first = request.isKeyed ? static_cast<std::uint32_t>(request.number % query->total) : 0;
    const auto count = request.isKeyed ? 1 : query->total;
    query->partsLeft = count;
    for (auto shard = first; shard < first + count; ++shard) {
        const auto& replicas = service.replicas[shard];
        if (replicas.empty()) {
            finishPart(query, shard, 0, "");
            continue;
        }
        const auto best = *std::ranges::min_element(replicas, {}, [this](std::size_t leaf) {
            return static_cast<double>(m_leaves[leaf].inFlight + m_leaves[leaf].queue.size()) / m_leaves[leaf].slots;
        });
        m_leaves[best].queue.push_back({ query, shard });
        dispatchQueued(best);
    }
}

void DirectSender::dispatchQueued(std::size_t index)
{
    auto& leaf = m_leaves[index];
    while (!leaf.queue.empty() && leaf.inFlight < leaf.concurrencyLimit()) {
        const auto waiting = leaf.queue.front();
        leaf.queue.pop_front();
        if (Clock::now() < waiting.query->deadline)
            dispatch(index, waiting.query, waiting.shard);
        else
            finishPart(waiting.query, waiting.shard, 0, "");
    }
}

void DirectSender::dispatch(std::size_t index, const std::shared_ptr<Query>& query, std::uint32_t shard)
{
    auto& leaf = m_leaves[index];
    ++leaf.inFlight;
    std::shared_ptr<HttpClient> client;
    if (leaf.idle.empty())
        client = std::make_shared<HttpClient>(m_io, leaf.address);
    else {
        client = leaf.idle.back();
        leaf.idle.pop_back();
    }
    const auto remaining = std::max(std::chrono::milliseconds(1),
        std::chrono::duration_cast<std::chrono::milliseconds>(query->deadline - Clock::now()));
    auto headers = "Index-Version: " + std::to_string(query->version) + "\r\nShard: " + std::to_string(shard)
        + "\r\nOf: " + std::to_string(query->total) + "\r\nDeadline-Ms: " + std::to_string(remaining.count())
        + "\r\nOperation: " + query->request.operation + "\r\nRequest-Id: " + std::to_string(query->request.number)
        + "\r\n";
    if (query->request.isKeyed)
        headers += "Request-Key: " + query->request.key + "\r\n";
    client->request("POST", "/part", headers, query->request.nonce, remaining,
        [this, index, client, query, shard](const HttpResult& result) {
            auto& it = m_leaves[index];
            --it.inFlight;
            ++it.completed;
            if (client->isConnected())
                it.idle.push_back(client);
            finishPart(query, shard, result.response.status, result.response.body);
            dispatchQueued(index);
        });
}

void DirectSender::finishPart(
    const std::shared_ptr<Query>& query, std::uint32_t shard, int status, const std::string& body)
{
    query->parts[shard] = { status == 200, body };
    query->status = status;
    if (--query->partsLeft)
        return;
    // Posted, because the callback must not run before `send` has returned.
    asio::post(m_io, [query] { finishQuery(*query); });
}

void DirectSender::finishQuery(Query& query)
{
    LoadReply reply;
    reply.entry = "direct";
    reply.wasSent = true;
    if (query.request.isKeyed) {
        const auto first = query.request.number % query.total;
        reply.status = query.status;
        reply.body = query.parts[first].second;
        reply.transportError = query.status ? "" : "no answer";
        return query.callback(std::move(reply));
    }
    using nlohmann::json;
    json missing = json::array();
    json items = json::array();
    for (std::uint32_t shard = 0; shard < query.total; ++shard) {
        const auto& [isAnswered, body] = query.parts[shard];
        if (isAnswered)
            items.push_back(json::parse(body, nullptr, false));
        else
            missing.push_back({ { "shard", shard }, { "reason", "deadline" } });
    }
    const json coverage { { "total", query.total }, { "answered", query.total - missing.size() },
        { "whole", missing.empty() }, { "missing", missing } };
    reply.status = 200;
    reply.body = json { { "index_version", query.version }, { "coverage", coverage }, { "items", items } }.dump();
    query.callback(std::move(reply));
}

} // namespace standins
