// Exchanges whole HTTP/1.1 messages with leaves over kept connections. What the messages mean is the caller's business.
//
//   UpstreamClient client(strand, {});
//   client.send(attempt, { leaf, address }, limit, bytes, [](LeafReply reply) { ... });
//   client.cancel(attempt, milliseconds(250));
#pragma once

#include "backend/LeafConnection.h"

#include <limits>
#include <unordered_map>

namespace citronplank {

struct UpstreamSettings {
    milliseconds connectTimeout { 500 }; // a leaf in reach accepts within a few milliseconds, unless its queue is full
    milliseconds idleTimeout { 50000 };  // used when the leaf names none
    double idleShare = 0.75;             // of the idle timeout that a leaf names: its clock started earlier
    std::size_t maxAnswerBytes = std::size_t { 4 } << 20U;
};

struct UpstreamCounters {
    std::uint64_t exchanges = 0;
    std::uint64_t connects = 0;
    std::uint64_t connectFailures = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t closedByLeaf = 0; // kept connections that ended while idle
    std::uint64_t silentClosed = 0; // idle connections closed because one of the same age had gone silent
};

/// Not thread safe: every method runs on the strand given to the constructor, and so do the callbacks.
class UpstreamClient : public std::enable_shared_from_this<UpstreamClient> {
public:
    using Strand = LeafConnection::Strand;
    using Callback = std::function<void(LeafReply)>;

    UpstreamClient(const Strand& strand, UpstreamSettings settings)
        : m_strand(strand)
        , m_settings(settings)
    {
    }

    /// Sends a request on a kept or a new connection; `limit` is the greatest number of connections to the leaf.
    /// `callback` runs once, later, unless the attempt is cancelled. Without a connection the reply's end is
    /// NotWritten. Throws Error(BadRequest) if the address is malformed. Precondition: `attempt` is unique among those
    /// running.
    void send(std::uint64_t attempt, const Announcement& leaf, std::uint32_t limit, std::string request, bool isHead,
        Callback callback);
    /// Drops the result of an attempt. Its connection is kept if the answer comes within `grace`, and closed otherwise,
    /// which tells the leaf to stop. `done` runs once with what the attempt came to; not for an unknown attempt.
    enum class CancelResult : std::uint8_t { Answered, Ended, Silent };
    void cancel(std::uint64_t attempt, milliseconds grace, const std::function<void(CancelResult)>& done);
    /// Applies a new limit to the leaf's connections: idle ones beyond it are closed, busy ones after their exchange.
    void setLimit(const Announcement& leaf, std::uint32_t limit);
    /// Opens a connection, which is kept, to find out whether the leaf can be reached. Errors of the address count as
    /// no.
    void probe(const Announcement& leaf, std::function<void(bool reached)> done);
    /// Closes the idle connections of leaves that are not in `leaves`.
    void keepOnly(const std::set<std::string, std::less<>>& leaves);
    void closeAll();
    const UpstreamCounters& counters() const { return m_counters; }

private:
    using Connection = std::shared_ptr<LeafConnection>;
    struct Idle {
        Connection connection;
        TimePoint since;
    };
    struct Pool {
        asio::ip::tcp::endpoint endpoint;
        std::vector<Idle> idle;                                          // the one used last is reused first
        std::uint32_t open = 0;                                          // idle, busy and connecting ones
        std::uint32_t limit = std::numeric_limits<std::uint32_t>::max(); // of `open`, as of the last send
    };
    struct Exchange {
        std::string leaf;
        Connection connection;
        Callback callback;
        TimePoint startedAt;
        std::shared_ptr<LeafConnection::Timer> graceTimer; // set once cancelled
        bool isHead = false;
    };

    Pool& poolOf(const Announcement&);
    void connect(std::uint64_t attempt, Pool&, std::string request);
    void start(std::uint64_t attempt, std::string request);
    void onReply(std::uint64_t attempt, LeafReply);
    void keep(const std::string& leaf, const Connection&, const LeafReply&);
    void keepOpen(const std::string& leaf, const Connection&, bool isKept, Duration idleTimeout);
    void endSilent(std::uint64_t attempt, const std::function<void(CancelResult)>& done);
    void forget(const std::string& leaf, const Connection&);
    void closeSilent(const std::string& leaf, TimePoint since);

    Strand m_strand;
    UpstreamSettings m_settings;
    UpstreamCounters m_counters;
    std::unordered_map<std::string, Pool> m_pools; // by leaf and address
    std::unordered_map<std::uint64_t, Exchange> m_exchanges;
};

} // namespace citronplank
