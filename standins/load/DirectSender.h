// Baseline for the load generator: sends parts directly to the leaves, without entry instances.
#pragma once

#include "standins/HttpClient.h"
#include "standins/load/Request.h"

#include <deque>
#include <map>
#include <vector>

namespace standins {

/// Never exceeds the slots of a leaf, because it knows them and must be the only client. Uses the index version that is
/// newest at construction, without hedging or retries. Keyed requests run once on one leaf, without deduplication.
class DirectSender : public Sender {
public:
    /// Fetches the list of leaves from the control endpoints. Throws std::runtime_error if a request fails.
    DirectSender(asio::io_context& io, const std::vector<std::string>& controlAddresses);
    /// Throws std::runtime_error if there are no leaves of the service.
    void send(const LoadRequest& request, Callback callback) override;

private:
    using Clock = std::chrono::steady_clock;
    struct Query {
        LoadRequest request;
        Callback callback;
        Clock::time_point deadline;
        std::uint64_t version = 0;
        std::uint32_t total = 0;                         // number of shards
        std::uint32_t partsLeft = 0;                     // number of parts without a result
        std::vector<std::pair<bool, std::string>> parts; // by shard: whether it was answered, and the body
        int status = 0;                                  // of the only part of a keyed request
    };
    struct QueuedPart {
        std::shared_ptr<Query> query;
        std::uint32_t shard = 0;
    };
    struct Leaf {
        tcp::endpoint address;
        std::uint32_t slots = 1;
        std::uint32_t inFlight = 0;
        std::uint32_t completed = 0;
        std::deque<QueuedPart> queue;
        std::vector<std::shared_ptr<HttpClient>> idle; // open connections without a request
        std::uint32_t concurrencyLimit() const;
    };
    struct Service {
        std::uint64_t version = 0;
        std::vector<std::vector<std::size_t>> replicas; // by shard: indexes of leaves
    };

    void fetchLeaves(asio::io_context& io, const std::string& address);
    void addLeaves(const std::string& text);
    void dispatch(std::size_t leaf, const std::shared_ptr<Query>& query, std::uint32_t shard);
    void dispatchQueued(std::size_t leaf);
    void finishPart(const std::shared_ptr<Query>& query, std::uint32_t shard, int status, const std::string& body);
    static void finishQuery(Query& query);

    asio::io_context& m_io;
    std::vector<Leaf> m_leaves;
    std::map<std::string, Service> m_services;
};

} // namespace standins
