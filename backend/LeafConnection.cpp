#include "backend/LeafConnection.h"

#include <charconv>
#include <climits>
#include <strings.h>

namespace citronplank {

namespace {

constexpr std::size_t maxHeaderLineBytes = 4096; // of the name and of the value of a header, each
constexpr std::size_t maxHeaders = 128;          // a stored header takes much more memory than a short line
/// Of everything before the body, interim responses included.
constexpr std::size_t maxHeadBytes = std::size_t { 64 } << 10U;
/// Received bytes of one exchange per byte that a body may have. A chunked body has its chunk headers in addition.
constexpr std::size_t maxFramingFactor = 2;
constexpr std::size_t statusLineBytes
    = 13; // "HTTP/1.1 200 ", with a line end instead of the blank if there is no reason
constexpr int switchingProtocols = 101;
constexpr int noContent = 204;
constexpr int notModified = 304;
constexpr milliseconds writeGrace { 20 }; // how long to wait for the end of a write, see `complete`

template <typename Number>
std::optional<Number> numberIn(const std::string& text)
{
    Number number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

} // namespace

std::string_view LeafReply::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

std::size_t LeafReply::size() const
{
    constexpr std::size_t separators = 4; // ": " and the line end
    std::size_t n = body.size();
    for (const auto& [key, value] : headers)
        n += key.size() + value.size() + separators;
    return n;
}

bool ReplyMemory::tryTake(std::size_t n)
{
    if (m_used.fetch_add(n) + n <= m_limit)
        return true;
    m_used -= n;
    return false;
}

LeafConnection::LeafConnection(
    const Strand& strand, std::size_t maxAnswerBytes, std::shared_ptr<ReplyMemory> memory, bool acceptsCloseDelimited)
    : m_socket(strand)
    , m_timer(strand)
    , m_maxAnswerBytes(maxAnswerBytes)
    , m_acceptsCloseDelimited(acceptsCloseDelimited)
    , m_memory(std::move(memory))
{
}

void LeafConnection::connect(
    const asio::ip::tcp::endpoint& endpoint, milliseconds timeout, std::function<void(bool)> done)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](const std::error_code& ec) {
        std::error_code ignored;
        if (!ec && self->m_phase == Phase::Connecting)
            self->m_socket.close(ignored); // async_connect completes with an error
    });
    m_socket.async_connect(endpoint, [self = shared_from_this(), done = std::move(done)](std::error_code ec) {
        if (self->m_phase != Phase::Connecting)
            return;
        self->m_timer.cancel();
        if (!ec)
            self->m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
        if (ec) {
            self->m_wasRefused = ec == asio::error::connection_refused;
            self->close();
        } else {
            self->m_phase = Phase::Idle;
            self->m_lastReceived = Clock::now();
            self->read();
        }
        done(!ec);
    });
}

void LeafConnection::exchange(std::string request, std::function<void(LeafReply)> done, bool isHead)
{
    m_isHead = isHead;
    m_timer.cancel();
    m_idleEnded = nullptr;
    m_phase = Phase::Busy;
    m_done = std::move(done);
    m_reply = {};
    m_received = 0;
    m_written = false;
    m_hasMessage = false;
    ++m_exchanges;
    beginResponse();
    m_headerName.clear();
    m_headerValue.clear();
    m_inHeaderValue = false;
    m_request = std::move(request);
    asio::async_write(m_socket, asio::buffer(m_request),
        [self = shared_from_this()](const std::error_code& ec, std::size_t n) { self->onWritten(ec, n); });
}

void LeafConnection::watchIdle(milliseconds idleTimeout, std::function<void()> ended)
{
    m_idleEnded = std::move(ended);
    m_timer.expires_after(idleTimeout);
    m_timer.async_wait([self = shared_from_this()](const std::error_code& ec) {
        if (ec || self->m_phase != Phase::Idle || self->m_timer.expiry() > Clock::now())
            return;
        const auto callback = std::exchange(self->m_idleEnded, nullptr);
        self->close();
        if (callback)
            callback();
    });
}

void LeafConnection::close()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    m_done = nullptr;
    m_idleEnded = nullptr;
    m_timer.cancel();
    m_reply = {};
    releaseMemory();
    std::error_code ignored;
    m_socket.close(ignored);
}

/// Takes memory for what was received of the current reply. Returns false if there is none left.
bool LeafConnection::takeMemory()
{
    auto needed = m_received > ReplyMemory::freeBytes ? m_received - ReplyMemory::freeBytes : 0;
    if (needed <= m_taken)
        return true;
    if (!m_memory->tryTake(needed - m_taken))
        return false;
    m_taken = needed;
    return true;
}

void LeafConnection::releaseMemory() { m_memory->release(std::exchange(m_taken, 0)); }

void LeafConnection::read()
{
    m_socket.async_read_some(asio::buffer(m_buf),
        [self = shared_from_this()](const std::error_code& ec, std::size_t n) { self->onRead(ec, n); });
}

void LeafConnection::onRead(const std::error_code& ec, std::size_t n)
{
    if (m_phase == Phase::Closed)
        return;
    if (m_awaitsWrite) {
        // The leaf sent data or closed the connection after a complete response: the response is used, but the
        // connection is not reused.
        m_keepAlive = false;
        finish(LeafReply::End::Complete);
        return;
    }
    if (m_phase == Phase::Idle) {
        // The leaf closed the connection or sent bytes outside an exchange, which would be read as the next response.
        const auto callback = std::exchange(m_idleEnded, nullptr);
        m_endedByLeaf = bool(ec);
        close();
        if (callback)
            callback();
        return;
    }
    if (ec == asio::error::eof && m_acceptsCloseDelimited && http_body_is_final(&m_parser) == 0
        && m_reply.status != 0) {
        http_parser_execute(&m_parser, &callbacks(), m_buf.data(), 0);
        m_keepAlive = false;
        finish(m_hasMessage ? LeafReply::End::Complete : LeafReply::End::Lost);
        return;
    }
    if (ec) {
        finish(LeafReply::End::Lost);
        return;
    }
    m_lastReceived = Clock::now();
    m_reply.anyByteReceived = true;
    m_received += n;
    if (!takeMemory()) {
        finish(LeafReply::End::Malformed);
        return;
    }
    bool isInHead = m_reply.status == 0;
    parse(n);
    // A leaf that sends without end would otherwise keep this instance busy until the deadline of the request.
    bool isEndless = m_received > (isInHead ? maxHeadBytes : maxHeadBytes + maxFramingFactor * m_maxAnswerBytes);
    if (m_phase == Phase::Busy && !m_awaitsWrite && isEndless)
        finish(LeafReply::End::Malformed);
    if (m_phase != Phase::Closed)
        read();
}

void LeafConnection::onWritten(const std::error_code& ec, std::size_t n)
{
    if (m_phase == Phase::Closed)
        return;
    m_request.clear();
    if (!ec) {
        m_written = true;
        if (m_awaitsWrite)
            finish(LeafReply::End::Complete);
    } else if (m_phase == Phase::Busy && !m_awaitsWrite)
        finish(n == 0 ? LeafReply::End::NotWritten : LeafReply::End::Lost);
}

void LeafConnection::beginResponse()
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    m_statusLine.clear();
}

/// Parses input of one response. Returns the number of bytes that belong to it.
std::size_t LeafConnection::parse(std::string_view input)
{
    for (char it : input) {
        bool isLeadingLineEnd = m_statusLine.empty() && (it == '\r' || it == '\n'); // skipped by the parser too
        if (m_statusLine.size() == statusLineBytes)
            break;
        if (!isLeadingLineEnd)
            m_statusLine += it;
    }
    return http_parser_execute(&m_parser, &callbacks(), input.data(), input.size());
}

/// Whether the response has a status of three digits that a final or interim response can have. The parser also accepts
/// fewer and more digits, and blanks.
bool LeafConnection::hasValidStatus() const
{
    constexpr std::size_t at = 9; // after "HTTP/1.1 "
    auto isDigit = [this](std::size_t i) { return m_statusLine[i] >= '0' && m_statusLine[i] <= '9'; };
    if (m_statusLine.size() < statusLineBytes || m_statusLine[at] < '1' || m_statusLine[at] > '5' || !isDigit(at + 1)
        || !isDigit(at + 2))
        return false;
    char next = m_statusLine[at + 3];
    return (next == ' ' || next == '\r' || next == '\n') && m_parser.status_code != switchingProtocols;
}

void LeafConnection::parse(std::size_t n)
{
    std::string_view input(m_buf.data(), n);
    std::size_t done = parse(input);
    while (m_hasMessage && m_reply.status / 100 == 1) { // an interim response; the final one follows
        m_hasMessage = false;
        m_reply = { .anyByteReceived = true };
        beginResponse();
        done += parse(input.substr(done));
    }
    bool isWithoutBody = m_reply.status == noContent || m_reply.status == notModified;
    if (m_hasMessage && !(isWithoutBody && done < n)) {
        m_keepAlive = http_should_keep_alive(&m_parser) != 0 && done == n;
        complete();
    } else if (m_hasMessage || HTTP_PARSER_ERRNO(&m_parser) != HPE_OK || m_parser.upgrade) {
        finish(LeafReply::End::Malformed);
    }
}

const http_parser_settings& LeafConnection::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings it {};
        it.on_header_field = [](http_parser* parser, const char* at, std::size_t n) {
            LeafConnection& self = connectionOf(parser);
            if (self.m_inHeaderValue && !self.storeHeader())
                return 1;
            self.m_headerName.append(at, n);
            return self.m_headerName.size() > maxHeaderLineBytes ? 1 : 0;
        };
        it.on_header_value = [](http_parser* parser, const char* at, std::size_t n) {
            LeafConnection& self = connectionOf(parser);
            self.m_inHeaderValue = true;
            self.m_headerValue.append(at, n);
            return self.m_headerValue.size() > maxHeaderLineBytes ? 1 : 0;
        };
        it.on_headers_complete = [](http_parser* parser) { return connectionOf(parser).onHeadersComplete(); };
        it.on_body = [](http_parser* parser, const char* at, std::size_t n) {
            LeafConnection& self = connectionOf(parser);
            if (self.m_reply.body.size() + n > self.m_maxAnswerBytes)
                return 1;
            self.m_reply.body.append(at, n);
            return 0;
        };
        it.on_message_complete = [](http_parser* parser) {
            connectionOf(parser).m_hasMessage = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return it;
    }();
    return settings;
}

/// Returns false if the response has too many headers.
bool LeafConnection::storeHeader()
{
    if (m_reply.headers.size() >= maxHeaders)
        return false;
    if (!m_headerName.empty())
        m_reply.headers.emplace_back(m_headerName, m_headerValue);
    if (strcasecmp(m_headerName.c_str(), "Index-Version") == 0)
        m_reply.version = numberIn<std::uint64_t>(m_headerValue);
    else if (strcasecmp(m_headerName.c_str(), "Shard") == 0)
        m_reply.shard = numberIn<std::uint32_t>(m_headerValue);
    m_headerName.clear();
    m_headerValue.clear();
    m_inHeaderValue = false;
    return true;
}

/// Returns the result that http_parser expects: 0 to go on, 1 if the response has no body, -1 to reject the response.
int LeafConnection::onHeadersComplete()
{
    if (!storeHeader() || !hasValidStatus())
        return -1;
    m_reply.status = static_cast<int>(m_parser.status_code);
    const bool hasBody = m_reply.status / 100 != 1 && m_reply.status != noContent && m_reply.status != notModified;
    const bool hasLength = m_parser.content_length != ULLONG_MAX;
    // With status 304 the length is the one that the body of a response with status 200 would have.
    if (m_reply.status == noContent
        && ((hasLength && m_parser.content_length > 0) || (m_parser.flags & F_CHUNKED) != 0))
        return -1;
    // A response that ends with the connection cannot be distinguished from a truncated one.
    bool isCloseDelimited = hasBody && !m_isHead && !hasLength && (m_parser.flags & F_CHUNKED) == 0;
    if (isCloseDelimited && !m_acceptsCloseDelimited)
        return -1;
    if (m_isHead || m_reply.status == notModified)
        return 1;
    return hasLength && m_parser.content_length > m_maxAnswerBytes ? -1 : 0;
}

/// Ends the exchange when both the response and the write of its request are complete. Under load the response can be
/// handled before the write is reported. Ending the exchange then would close a connection that can be reused, so this
/// waits for the write, but only up to `writeGrace`, because a leaf may respond without reading the request.
void LeafConnection::complete()
{
    if (m_written) {
        finish(LeafReply::End::Complete);
        return;
    }
    m_awaitsWrite = true;
    m_timer.expires_after(writeGrace);
    m_timer.async_wait([self = shared_from_this()](const std::error_code& ec) {
        if (!ec && self->m_awaitsWrite && self->m_timer.expiry() <= Clock::now())
            self->finish(LeafReply::End::Complete);
    });
}

void LeafConnection::finish(LeafReply::End end)
{
    m_awaitsWrite = false;
    m_reply.end = end;
    const auto done = std::exchange(m_done, nullptr);
    LeafReply reply = std::move(m_reply);
    if (end == LeafReply::End::Complete)
        m_phase = Phase::Idle;
    else
        close();
    if (done)
        done(std::move(reply));
    if (m_phase == Phase::Idle)
        releaseMemory();
}

} // namespace citronplank
