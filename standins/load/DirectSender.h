// Reference for the load generator: fans out to the leaves itself, as the only client they have.
#pragma once

#include "standins/HttpClient.h"
#include "standins/load/Request.h"

#include <deque>
#include <map>
#include <vector>

namespace standins {

/// Knows every leaf's slots and is the only sender, so it never exceeds them. It uses no hedging, no retries and the
/// newest index version at the time of construction. Keyed requests run once on one leaf, without a record.
class DirectSender : public Sender {
public:
    /// Fetches the leaves from the control endpoints of the stand-in leaves. Throws std::runtime_error if one fails.
    DirectSender(asio::io_context& io, const std::vector<std::string>& controlAddresses);
    void send(const LoadRequest& request, Callback callback) override;

private:
    using Clock = std::chrono::steady_clock;
    struct Query {
        LoadRequest request;
        Callback callback;
        Clock::time_point deadline;
        std::uint64_t version = 0;
        std::uint32_t total = 0;
        std::uint32_t open = 0;                          // parts without a result
        std::vector<std::pair<bool, std::string>> parts; // by shard: answered, body
        int status = 0;                                  // of the single part of a keyed request
    };
    struct Waiting {
        std::shared_ptr<Query> query;
        std::uint32_t shard = 0;
    };
    struct Leaf {
        tcp::endpoint address;
        std::uint32_t slots = 1;
        std::uint32_t inFlight = 0;
        std::uint32_t completed = 0;
        std::deque<Waiting> queue;
        std::vector<std::shared_ptr<HttpClient>> idle;
        std::uint32_t limit() const;
    };
    struct Service {
        std::uint64_t version = 0;
        std::vector<std::vector<std::size_t>> replicas; // by shard: indexes of leaves
    };

    void fetch(asio::io_context& io, const std::string& address);
    void addLeaves(const std::string& text);
    void dispatch(std::size_t leaf, const std::shared_ptr<Query>& query, std::uint32_t shard);
    void drainQueue(std::size_t leaf);
    void finishPart(const std::shared_ptr<Query>& query, std::uint32_t shard, int status, const std::string& body);
    static void finishQuery(Query& query);

    asio::io_context& m_io;
    std::vector<Leaf> m_leaves;
    std::map<std::string, Service> m_services;
};

} // namespace standins
