// Exchanges complete HTTP/1.1 messages of requests on routes with leaves, over kept-alive connections. It does not
// interpret the messages. LeafClient sends the parts of queries and keyed requests.
//
//   auto client = std::make_shared<UpstreamClient>(strand, UpstreamSettings {});
//   client->send(attempt, announcement, limit, { .bytes = request }, [](LeafReply reply) { ... });
//   client->cancel(attempt, milliseconds(250), [](UpstreamClient::CancelResult result) { ... });
#pragma once

#include "backend/LeafConnection.h"

#include <limits>
#include <unordered_map>
#include <unordered_set>

namespace citronplank {

struct UpstreamSettings {
    milliseconds connectTimeout { 500 }; // a leaf accepts within a few milliseconds, unless its listen queue is full
    milliseconds idleTimeout { 50000 };  // if the leaf sends no Keep-Alive timeout
    /// An idle connection is closed after this part of the leaf's Keep-Alive timeout; below 1 because the leaf's timer
    /// starts earlier.
    double idleShare = 0.75;
    /// Time after the end of a connection within which a refused one means that the process of the leaf has ended.
    milliseconds processEndWindow { 5000 };
    std::size_t maxAnswerBytes = std::size_t { 4 } << 20U; // of a body
    std::size_t maxReplyBytes = std::size_t { 16 } << 20U; // of all replies that are being received, see ReplyMemory
};

struct UpstreamCounters {
    std::uint64_t exchanges = 0;
    std::uint64_t connectAttempts = 0; // attempts to connect, including failed ones and probes
    std::uint64_t connectFailures = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t idleEnded = 0; // connections that ended while idle: closed by the leaf or by the idle timeout
    std::uint64_t unresponsiveClosed = 0; // idle connections closed because another one to the leaf was unresponsive
};

/// Which request a reply answers, as far as it says so. Unnamed: the request has no id that the reply could have.
enum class ReplyOwner : std::uint8_t { ThisRequest, AnotherRequest, Unknown, Unnamed };

/// A request as it is written to a connection.
struct UpstreamRequest {
    std::string bytes;
    bool isHead = false;
    /// When this request was first sent to the leaf; absent if it was not sent there before. It then uses a connection
    /// that has carried nothing since: on another one, a late second copy of the earlier reply could not be
    /// distinguished from the reply to this send, because both name the same request.
    std::optional<TimePoint> firstSentAt;
    std::function<ReplyOwner(const LeafReply&)> ownerOf; // may be empty
    /// Called for each complete reply that may answer this request, before the callback and also if the attempt was
    /// cancelled. May be empty.
    std::function<void(const LeafReply&)> onReply;
    /// Asked again once a new connection is open: if it returns false, the request is not written, and the end of the
    /// reply is NoFreeConnection. May be empty.
    std::function<bool()> mayStillSend;
};

/// Not thread safe: every method runs on the strand given to the constructor, and so do the callbacks.
class UpstreamClient : public std::enable_shared_from_this<UpstreamClient> {
public:
    using Strand = LeafConnection::Strand;
    using Callback = std::function<void(LeafReply)>;

    UpstreamClient(const Strand& strand, UpstreamSettings settings)
        : m_strand(strand)
        , m_settings(settings)
        , m_replyMemory(std::make_shared<ReplyMemory>(settings.maxReplyBytes))
    {
    }

    /// Sets what is called when the process of a leaf has ended: its connections did, and its address refuses new ones.
    /// It may be called several times for one process. Precondition: called before the first send or probe.
    void setProcessEndHandler(std::function<void(const std::string& leaf)> handler)
    {
        m_processEnded = std::move(handler);
    }
    /// Sends a request on an idle or a new connection; `limit` is the maximum number of connections to the leaf.
    /// `callback` runs once, after this call returns, unless the attempt is cancelled. If no connection is available,
    /// the end of the reply is NotWritten, or NoFreeConnection if the limit is reached or if the leaf accepts no
    /// further connection while others to it are open. A reply that answers another request, for example a second copy
    /// of an earlier one, counts as Malformed, and so does a success that does not say which request it answers if
    /// others of the leaf did; the response to this request may still follow, so the connection is closed. Throws
    /// Error(BadRequest) if the address is malformed. Precondition: `attempt` is unique among the running ones.
    void send(std::uint64_t attempt, const Announcement& leaf, std::uint32_t limit, UpstreamRequest, Callback);
    /// How a cancelled attempt ended: before it was written (NotSent), with a complete response (Answered), without one
    /// (Ended), or not before the end of its grace period (Unresponsive).
    enum class CancelResult : std::uint8_t { NotSent, Answered, Ended, Unresponsive };
    /// Discards the result of an attempt. Its connection is kept if the response arrives within `grace`; otherwise it
    /// is closed, so that the leaf stops working on the request. `done` runs once with the result of the cancellation;
    /// it is not called for an unknown attempt.
    void cancel(std::uint64_t attempt, milliseconds grace, const std::function<void(CancelResult)>& done);
    /// Changes the limit of the leaf's connections. Excess ones are closed: idle ones now, busy ones after their
    /// exchange.
    void setLimit(const Announcement& leaf, std::uint32_t limit);
    /// Checks whether the leaf is reachable by opening a connection, which is kept for later requests. A malformed
    /// address counts as unreachable; `done` then runs before this returns.
    void probe(const Announcement& leaf, std::function<void(bool reached)> done);
    /// Closes the connections of all leaves except those named in `leaves`: idle ones now, busy ones after their
    /// exchange.
    void keepOnly(const std::unordered_set<std::string_view>& leaves);
    /// Closes all connections; callbacks of running exchanges are not called.
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
        std::vector<Idle> idle;                                          // the last used one is reused first
        std::uint32_t open = 0;                                          // number of idle, busy and connecting ones
        std::uint32_t limit = std::numeric_limits<std::uint32_t>::max(); // maximum of `open`
        bool namesRequests = false;                                      // a reply said which request it answers
        bool isRemoved = false;                                          // by keepOnly; erased with its last connection
        std::optional<TimePoint> endedByLeafAt;                          // when the leaf last ended a connection
    };
    struct Exchange {
        std::string poolName;
        Connection connection;
        Callback callback;
        TimePoint startedAt;
        std::shared_ptr<LeafConnection::Timer> graceTimer; // set once the attempt is cancelled
        UpstreamRequest request; // its bytes are moved to the connection when they are written
    };

    Pool& poolOf(const Announcement&);
    static Connection takeIdle(Pool&, const UpstreamRequest&);
    static void closeOldestIdle(Pool&);
    void releaseConnection(const std::string& poolName);
    void connect(std::uint64_t attempt, Pool&);
    void start(std::uint64_t attempt);
    void endUnsent(std::uint64_t attempt);
    void onReply(std::uint64_t attempt, LeafReply);
    bool isForeign(const Exchange&, const LeafReply&);
    void reuse(const std::string& poolName, const Connection&, const LeafReply&);
    void keepOrClose(const std::string& poolName, const Connection&, bool isReusable, Duration idleTimeout);
    void onGraceExpired(std::uint64_t attempt, const std::function<void(CancelResult)>& done);
    void onIdleEnded(const std::string& poolName, const Connection&);
    void onConnectFailed(const std::string& poolName, const Connection&);
    void closeUnresponsive(const std::string& poolName, TimePoint since);

    Strand m_strand;
    UpstreamSettings m_settings;
    std::shared_ptr<ReplyMemory> m_replyMemory;
    UpstreamCounters m_counters;
    std::function<void(const std::string&)> m_processEnded;  // may be empty
    std::unordered_map<std::string, Pool> m_pools;           // by "LEAF@ADDRESS"
    std::unordered_map<std::uint64_t, Exchange> m_exchanges; // by attempt
};

} // namespace citronplank
