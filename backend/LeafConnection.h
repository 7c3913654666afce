#pragma once

#include "citronplank.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <functional>
#include <http_parser.h>
#include <memory>
#include <optional>

namespace citronplank {

/// Result of an exchange on a leaf connection: how it ended, and the response as far as it was received.
struct LeafReply {
    enum class End : std::uint8_t {
        Complete,         // a complete response
        NoFreeConnection, // no connection was free, and the connection limit is reached
        NotWritten,       // failed before the first byte was written
        Lost,             // the connection ended after the first byte was written
        Malformed,        // the response is not valid HTTP, has no length, no status from 200 to 599 or is too large
    };
    End end = End::Lost;
    int status = 0;                                           // HTTP status; 0 if no complete header was received
    bool anyByteReceived = false;                             // any byte of a response was received
    std::optional<std::uint64_t> version;                     // value of the header Index-Version, if it is a number
    std::optional<std::uint32_t> shard;                       // value of the header Shard, if it is a number
    std::vector<std::pair<std::string, std::string>> headers; // all, as received
    std::string body;

    /// Returns the value of the first header with this name, ignoring case, or an empty string if there is none.
    std::string_view header(std::string_view name) const;
    /// Returns the approximate number of bytes of the headers and the body.
    std::size_t size() const;
};

/// Memory that the replies on all connections of a client may take together while they are received. Each reply has
/// `freeBytes` of its own in any case, so that leaves that send too much do not impede those with short answers.
/// Thread safe.
class ReplyMemory {
public:
    static constexpr std::size_t freeBytes = std::size_t { 16 } << 10U;

    /// `limit` is the sum of what all replies take beyond their `freeBytes`, in bytes.
    explicit ReplyMemory(std::size_t limit)
        : m_limit(limit)
    {
    }
    /// Returns false, and takes nothing, if the limit would be exceeded.
    bool tryTake(std::size_t n);
    void release(std::size_t n) { m_used -= n; }
    /// Returns the bytes that are taken now.
    std::size_t used() const { return m_used; }

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_used { 0 };
};

/// One HTTP/1.1 connection to a leaf, for one exchange at a time. Not thread safe: every call and callback runs on the
/// strand given to the constructor.
class LeafConnection : public std::enable_shared_from_this<LeafConnection> {
public:
    using Strand = asio::strand<asio::io_context::executor_type>;
    using Timer = asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Strand>;

    /// `maxAnswerBytes` limits the body of a response. A response for which `memory` has no room is Malformed. With
    /// `acceptsCloseDelimited`, a response without a length is complete when the leaf closes the connection cleanly;
    /// otherwise such a response is Malformed.
    LeafConnection(const Strand&, std::size_t maxAnswerBytes, std::shared_ptr<ReplyMemory> memory,
        bool acceptsCloseDelimited = false);
    ~LeafConnection() { releaseMemory(); }
    LeafConnection(const LeafConnection&) = delete;
    LeafConnection& operator=(const LeafConnection&) = delete;

    /// Connects and calls `done` once with whether it succeeded, unless closed before. Precondition: called only once.
    void connect(const asio::ip::tcp::endpoint&, milliseconds timeout, std::function<void(bool)> done);
    /// Writes a request and calls `done` once with the response, unless closed before. Precondition: connected and
    /// idle. `isHead` marks a HEAD request, whose response has no body, whatever its headers say.
    void exchange(std::string request, std::function<void(LeafReply)> done, bool isHead = false);
    /// Calls `ended` once if the connection ends while it is idle: closed by the leaf, closed because the leaf sent
    /// unexpected bytes, or closed after `idleTimeout`. `exchange` and `close` remove the callback. Precondition:
    /// connected and idle.
    void watchIdle(milliseconds idleTimeout, std::function<void()> ended);
    /// Closes without a callback. May be called at any time.
    void close();

    /// Whether the connection is established and not closed.
    bool isOpen() const { return m_phase == Phase::Idle || m_phase == Phase::Busy; }
    /// Whether the connection can be used for another exchange.
    bool isReusable() const { return m_phase == Phase::Idle && m_keepAlive && m_written; }
    /// Number of exchanges started; above 1, the connection was reused.
    std::uint64_t exchanges() const { return m_exchanges; }
    /// Whether the leaf's address refused the connection, which shows that no process listens there or that it accepts
    /// no further connection.
    bool wasRefused() const { return m_wasRefused; }
    /// Whether the leaf ended the connection while it was idle.
    bool endedByLeaf() const { return m_endedByLeaf; }
    /// Time at which data of a response was last received, or at which the connection was established.
    TimePoint lastReceived() const { return m_lastReceived; }

private:
    enum class Phase : std::uint8_t { Connecting, Idle, Busy, Closed };

    static LeafConnection& connectionOf(http_parser* parser) { return *static_cast<LeafConnection*>(parser->data); }
    static const http_parser_settings& callbacks();
    void read();
    void onRead(const std::error_code&, std::size_t n);
    void onWritten(const std::error_code&, std::size_t n);
    void parse(std::size_t n);
    void beginResponse();
    std::size_t parse(std::string_view);
    bool hasValidStatus() const;
    int onHeadersComplete();
    bool storeHeader();
    bool takeMemory();
    void releaseMemory();
    void complete();
    void finish(LeafReply::End);

    asio::basic_stream_socket<asio::ip::tcp, Strand> m_socket;
    Timer m_timer;
    std::size_t m_maxAnswerBytes;
    bool m_acceptsCloseDelimited;
    bool m_isHead = false;
    bool m_wasRefused = false;
    bool m_endedByLeaf = false;
    Phase m_phase = Phase::Connecting;
    bool m_keepAlive = true;
    bool m_written = true;      // the request of the last exchange was written
    bool m_hasMessage = false;  // the parser has reached the end of a response
    bool m_awaitsWrite = false; // the response is complete, but not the write of the request
    bool m_inHeaderValue = false;
    std::uint64_t m_exchanges = 0;
    std::size_t m_received = 0; // bytes of the current exchange
    std::shared_ptr<ReplyMemory> m_memory;
    std::size_t m_taken = 0; // bytes taken from m_memory
    TimePoint m_lastReceived = Clock::now();
    http_parser m_parser {};
    std::array<char, 8192> m_buf {};
    std::string m_request;
    std::string m_statusLine; // its first statusLineBytes, as received
    std::string m_headerName;
    std::string m_headerValue;
    LeafReply m_reply;
    std::function<void(LeafReply)> m_done;
    std::function<void()> m_idleEnded;
};

} // namespace citronplank
