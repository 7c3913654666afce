#pragma once

#include "citronplank.h"

#include <array>
#include <asio.hpp>
#include <functional>
#include <http_parser.h>
#include <memory>
#include <optional>

namespace citronplank {

/// How an exchange on a leaf connection ended.
struct LeafReply {
    enum class End : std::uint8_t {
        Complete,         // a whole answer
        NoFreeConnection, // no connection was free, and the leaf takes no more
        NotWritten,       // failed before the first byte was written
        Lost,             // the connection ended after that
        Malformed,        // the answer is not valid HTTP, has no length or is too large
    };
    End end = End::Lost;
    int status = 0;
    bool anyByte = false; // some of an answer had arrived
    std::optional<std::uint64_t> version;
    std::optional<std::uint32_t> shard;
    std::vector<std::pair<std::string, std::string>> headers; // all, as sent
    std::string body;

    /// Value of the first header of that name, compared without regard to case; empty when absent.
    std::string_view header(std::string_view name) const;
    /// About as many bytes as were received.
    std::size_t size() const;
};

/// One HTTP/1.1 connection to a leaf, for one exchange at a time. Not thread safe: every call and callback is on the
/// strand given to the constructor.
class LeafConnection : public std::enable_shared_from_this<LeafConnection> {
public:
    using Strand = asio::strand<asio::io_context::executor_type>;
    using Timer = asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Strand>;

    /// With `acceptsCloseDelimited` an answer without a length is complete when the leaf ends the connection in order.
    LeafConnection(const Strand&, std::size_t maxAnswerBytes, bool acceptsCloseDelimited = false);

    /// Connects and calls `done` once, unless closed before. Precondition: called once.
    void connect(const asio::ip::tcp::endpoint&, milliseconds timeout, std::function<void(bool)> done);
    /// Writes a request and calls `done` once with the reply, unless closed before. Precondition: connected and idle.
    /// `isHead`: the answer has no body whatever its headers say.
    void exchange(std::string request, std::function<void(LeafReply)> done, bool isHead = false);
    /// Sets the callback for an end of the connection between exchanges: by the leaf, by unexpected bytes, or after
    /// `idleTimeout`. Precondition: connected and idle.
    void watchIdle(milliseconds idleTimeout, std::function<void()> ended);
    /// Closes without a callback. May be called at any time.
    void close();

    bool isOpen() const { return m_phase == Phase::Idle || m_phase == Phase::Busy; }
    /// False when the last exchange leaves the connection unfit for another one.
    bool isReusable() const { return m_phase == Phase::Idle && m_keepAlive && m_written; }
    std::uint64_t exchanges() const { return m_exchanges; }
    TimePoint lastReceived() const { return m_lastReceived; }

private:
    enum class Phase : std::uint8_t { Connecting, Idle, Busy, Closed };

    static LeafConnection& of(http_parser* parser) { return *static_cast<LeafConnection*>(parser->data); }
    static const http_parser_settings& callbacks();
    void read();
    void readDone(const std::error_code&, std::size_t n);
    void writeDone(const std::error_code&, std::size_t n);
    void parse(std::size_t n);
    int headersComplete();
    void takeHeader();
    void complete();
    void finish(LeafReply::End);

    asio::basic_stream_socket<asio::ip::tcp, Strand> m_socket;
    Timer m_timer;
    std::size_t m_maxAnswerBytes;
    bool m_acceptsCloseDelimited;
    bool m_isHead = false;
    Phase m_phase = Phase::Connecting;
    bool m_keepAlive = true;
    bool m_written = true;
    bool m_hasMessage = false;
    bool m_awaitsWrite = false; // the answer is whole, the write has not been reported yet
    bool m_inHeaderValue = false;
    std::uint64_t m_exchanges = 0;
    TimePoint m_lastReceived = Clock::now();
    http_parser m_parser {};
    std::array<char, 8192> m_buf {};
    std::string m_request;
    std::string m_headerName;
    std::string m_headerValue;
    LeafReply m_reply;
    std::function<void(LeafReply)> m_done;
    std::function<void()> m_idleEnded;
};

} // namespace citronplank
