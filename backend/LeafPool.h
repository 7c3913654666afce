#pragma once

#include "backend/LeafClient.h"
#include "backend/LeafConnection.h"

#include <atomic>
#include <deque>
#include <list>

namespace citronplank {

/// Counters of all pools; updated from many strands.
struct LeafPoolCounters {
    std::atomic<std::uint64_t> connects { 0 };
    std::atomic<std::uint64_t> connectFailures { 0 };
    std::atomic<std::uint64_t> staleClosed { 0 };
    std::atomic<std::uint64_t> unresponsiveClosed { 0 };
    std::atomic<std::uint64_t> openConnections { 0 };
};

/// One part that is being sent to a leaf.
struct LeafExchange {
    Part part;
    LeafClient::Callback callback;
    TimePoint startedAt;
    TimePoint deadline;
    std::optional<LeafConnection::Timer> timer;
    std::shared_ptr<LeafConnection> connection; // null while waiting for one; after a lost connection, the probe
    bool ended = false;
};

/// The connections to one leaf. Not thread safe: every method runs on the pool's strand.
class LeafPool : public std::enable_shared_from_this<LeafPool> {
public:
    using Strand = LeafConnection::Strand;
    using Finish = std::function<void(LeafExchange&, PartResult)>;

    /// `finish` is called with the result of each exchange that was not cancelled.
    LeafPool(const Strand&, const asio::ip::tcp::endpoint&, LeafClientSettings, std::shared_ptr<ReplyMemory>,
        LeafPoolCounters&, Finish finish);
    ~LeafPool();
    LeafPool(const LeafPool&) = delete;
    LeafPool& operator=(const LeafPool&) = delete;

    const Strand& strand() const { return m_strand; }
    const asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }
    /// Starts an exchange on an idle connection, or opens one for it. Ends the exchange as Refused if all
    /// `connectionLimit` connections are in use, and as Deadline when its deadline has passed.
    void send(const std::shared_ptr<LeafExchange>&, std::uint32_t connectionLimit);
    /// Ends an exchange without a result and closes its connection.
    void cancel(LeafExchange&);
    /// Opens connections until there are `count`, unless retired.
    void preconnect(std::uint32_t count);
    /// Closes idle connections now and busy ones after their exchange, and opens no new idle ones.
    void retire();
    /// Closes all connections; no results are reported.
    void closeAll();

private:
    using Connection = std::shared_ptr<LeafConnection>;

    void connect();
    void onConnected(const Connection&, bool ok);
    void makeAvailable(const Connection&);
    void start(const Connection&, const std::shared_ptr<LeafExchange>&);
    void onReply(const Connection&, const std::shared_ptr<LeafExchange>&, LeafReply&&);
    void onConnectionLost(const std::shared_ptr<LeafExchange>&, bool maybeStale);
    void onTimeout(const std::shared_ptr<LeafExchange>&);
    void closeUnresponsive(TimePoint since);
    void end(LeafExchange&, PartStatus, Outcome, std::string body = {}, ShardVersion = {});
    void drop(const Connection&);
    PartResult resultOf(const LeafExchange&, LeafReply&&) const;

    Strand m_strand;
    asio::ip::tcp::endpoint m_endpoint;
    LeafClientSettings m_settings;
    std::shared_ptr<ReplyMemory> m_replyMemory;
    LeafPoolCounters& m_counters;
    Finish m_finish;
    std::uint32_t m_limit = 1; // maximum number of m_connections
    bool m_retired = false;
    std::size_t m_connecting = 0;                        // connections that are being established
    std::list<Connection> m_connections;                 // all, including connecting ones
    std::vector<Connection> m_idle;                      // the last used one is reused first
    std::deque<std::shared_ptr<LeafExchange>> m_waiting; // for a connection that is being established
};

} // namespace citronplank
