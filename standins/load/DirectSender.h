// Sends parts directly to the leaves, without entry instances, as a baseline for measurements. Not thread safe.
#pragma once

#include "standins/HttpClient.h"
#include "standins/load/Request.h"

#include <deque>
#include <map>
#include <vector>

namespace standins {

/// Never has more parts in flight on a leaf than the leaf has slots, provided that it is the only client. Uses the
/// index version that is newest at construction, without hedging or retries. Keyed requests run once on one leaf,
/// without deduplication. Must exist as long as the io_context runs.
class DirectSender : public Sender {
public:
    /// Fetches the list of leaves from the control endpoints of `standin_leaf` ("IP:PORT") before it returns. Throws
    /// std::runtime_error if a request fails and std::invalid_argument on a malformed address.
    DirectSender(asio::io_context& io, const std::vector<std::string>& controlAddresses);
    /// Throws std::runtime_error if there are no leaves of the service.
    void send(const LoadRequest& request, Callback callback) override;

private:
    using Clock = std::chrono::steady_clock;
    /// A query, or a keyed request as a query with a single part.
    struct Query {
        LoadRequest request;
        Callback callback;
        Clock::time_point deadline;
        std::uint64_t version = 0;
        std::uint32_t total = 0;                         // number of shards
        std::uint32_t partsLeft = 0;                     // number of parts without a result
        std::vector<std::pair<bool, std::string>> parts; // by shard: whether it was answered, and the body
        int status = 0; // HTTP status of the only part of a keyed request; 0: no response
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
        /// Starts at 1, because the leaf may be cold, and grows to `slots` with the completed parts.
        std::uint32_t concurrencyLimit() const;
    };
    struct Service {
        std::uint64_t version = 0;
        std::vector<std::vector<std::size_t>> replicas; // by shard: indexes of leaves
    };

    void fetchLeaves(asio::io_context& io, const std::string& address);
    /// `text` is the body of a response to GET /leaves.
    void addLeaves(const std::string& text);
    /// Sends one part to a leaf. Precondition: `inFlight` is below the concurrency limit.
    void dispatch(std::size_t leaf, const std::shared_ptr<Query>& query, std::uint32_t shard);
    /// Sends queued parts up to the concurrency limit; those whose deadline has passed end without a result.
    void dispatchQueued(std::size_t leaf);
    /// Records the result of a part (status 0: no response) and finishes the query after the last one.
    void finishPart(const std::shared_ptr<Query>& query, std::uint32_t shard, int status, const std::string& body);
    static void finishQuery(Query& query);

    asio::io_context& m_io;
    std::vector<Leaf> m_leaves;
    std::map<std::string, Service> m_services;
};

} // namespace standins
