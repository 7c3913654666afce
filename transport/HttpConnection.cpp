#include "transport/HttpServerImpl.h"

#include <algorithm>
#include <array>

namespace citronplank {

namespace {

constexpr std::size_t headerReadBytes = 8192; // of one read before the body of a request
constexpr std::size_t bodyReadBytes = 16384;
constexpr std::size_t maxReadAheadBytes = 8192; // of the requests after the one that is being handled
constexpr std::size_t maxWriteBytes = 65536;    // of one write, so that the progress of the reader is seen
constexpr std::size_t connectionBytes = 2048;   // charged for the objects of a connection, its timer and its socket
constexpr std::size_t minHeaderLineBytes = 4;   // name, colon and line end: bounds the lines of a header by its size
constexpr milliseconds lingerTime { 1000 };     // how long input is discarded after the last response
constexpr milliseconds maxMemoryWait { 1000 };  // then a request that has no room to be received is refused

/// Memory that a request holds. The vector of the headers may have twice the elements that it needs.
std::size_t requestBytes(const HttpRequest& request, std::size_t headerBytes)
{
    return headerBytes + request.headers.size() * 2 * sizeof(request.headers[0]) + request.body.capacity();
}

std::string renderResponse(const HttpResponse& answer, bool close, bool withBody)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " "
        + http_status_str(static_cast<http_status>(answer.status)) + "\r\n";
    if (!answer.contentType.empty())
        text += "Content-Type: " + answer.contentType + "\r\n";
    for (const auto& [name, value] : answer.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    bool hasLength = answer.status / 100 != 1 && answer.status != 204;
    if (hasLength)
        text += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    text += close ? "Connection: close\r\n\r\n" : "\r\n";
    if (withBody)
        text += answer.body;
    return text;
}

} // namespace

HttpServer::Connection::Connection(std::shared_ptr<Shared> shared, Shared::Socket&& socket, std::uint64_t id)
    : m_shared(std::move(shared))
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_id(id)
    , m_charge(m_shared->memory())
{
    m_parser.data = this;
}

void HttpServer::Connection::start()
{
    m_socket.set_option(asio::ip::tcp::no_delay(true));
    m_socket.non_blocking(true);
    beginRequest();
    // A caller that sends nothing is disconnected as early as one that sends an incomplete header.
    setTimeout(Phase::Idle, m_shared->settings()->headerTimeout);
    updateCharge();
    read();
}

void HttpServer::Connection::reject() { write(errorResponse(ErrorKind::Overloaded, "too many connections"), true); }

void HttpServer::Connection::beginRequest()
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_request = {};
    m_refusal.reset();
    m_hasMessage = false;
    m_lastHeaderWasValue = false;
    m_headerBytes = 0;
}

/// Waits until input can be read, so that a connection without input has no buffer.
void HttpServer::Connection::read()
{
    if (m_reading || m_phase == Phase::Closed || m_waitsForMemory || readLimit() == 0)
        return;
    m_reading = true;
    m_socket.async_wait(
        asio::socket_base::wait_read, [self = shared_from_this()](const std::error_code& ec) { self->onReadable(ec); });
}

/// Bytes that may be read at once. While a request is handled or answered, a bounded part of the next ones is buffered.
/// TCP flow control delays callers that send more.
std::size_t HttpServer::Connection::readLimit() const
{
    if (m_phase == Phase::Handling || m_phase == Phase::Writing)
        return maxReadAheadBytes - std::min(m_input.size(), maxReadAheadBytes);
    return m_phase == Phase::Idle || m_phase == Phase::Header ? headerReadBytes : bodyReadBytes;
}

void HttpServer::Connection::onReadable(const std::error_code& error)
{
    thread_local std::array<char, bodyReadBytes> buf; // shared by all connections, which do not keep it
    m_reading = false;
    if (m_phase == Phase::Closed)
        return;
    if (m_phase != Phase::Lingering && !m_shared->memory().hasRoom(m_charge.bytes(), headerReadBytes)) {
        m_waitsSince = Clock::now();
        m_waitsForMemory = true;
        m_shared->watchMemory();
        return;
    }
    std::error_code ec = error;
    const std::size_t n = ec ? 0 : m_socket.read_some(asio::buffer(buf, readLimit()), ec);
    if (ec && ec != asio::error::would_block) {
        inputEnded();
        return;
    }
    if (n > 0 && m_phase != Phase::Lingering) // the input of a lingering connection is discarded
        received({ buf.data(), n });
    read();
}

void HttpServer::Connection::inputEnded()
{
    if (m_phase == Phase::Writing)
        m_closeAfterResponse = true; // the caller may only have shut down its sending side
    else
        close();
}

void HttpServer::Connection::received(std::string_view input)
{
    recordProgress(input.size());
    if (m_phase == Phase::Idle || m_phase == Phase::Header || m_phase == Phase::Body)
        parse(input);
    else
        m_input.append(input);
    updateCharge();
}

/// Precondition: m_input is empty, and `input` does not refer to it.
void HttpServer::Connection::parse(std::string_view input)
{
    if (input.empty())
        return;
    if (m_phase == Phase::Idle)
        setTimeout(Phase::Header, m_shared->settings()->headerTimeout);
    const std::size_t n = http_parser_execute(&m_parser, &callbacks(), input.data(), input.size());
    const http_errno error = HTTP_PARSER_ERRNO(&m_parser);
    m_input.assign(input.substr(n)); // of the next requests
    if (m_refusal)
        refuse(m_refusal->first, m_refusal->second);
    else if (m_hasMessage)
        handle();
    else if (error == HPE_HEADER_OVERFLOW)
        refuse(ErrorKind::RequestTooLarge, "the header is too large");
    else if (error != HPE_OK)
        refuse(ErrorKind::BadRequest, "the request is not valid HTTP");
}

const http_parser_settings& HttpServer::Connection::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings it {};
        it.on_url = [](http_parser* parser, const char* at, std::size_t n) {
            return onText(parser, connectionOf(parser).m_request.target, at, n);
        };
        it.on_header_field = &Connection::onHeaderField;
        it.on_header_value = [](http_parser* parser, const char* at, std::size_t n) {
            Connection& self = connectionOf(parser);
            self.m_lastHeaderWasValue = true;
            return onText(parser, self.m_request.headers.back().second, at, n);
        };
        it.on_headers_complete = [](http_parser* parser) { return connectionOf(parser).headersComplete(); };
        it.on_body = &Connection::onBody;
        it.on_message_complete = [](http_parser* parser) {
            connectionOf(parser).m_hasMessage = true;
            http_parser_pause(parser, 1); // the next pipelined request is parsed after this one is answered
            return 0;
        };
        return it;
    }();
    return settings;
}

/// Appends a piece of the target or of a header line. Refuses the request if its header exceeds the size limit.
int HttpServer::Connection::onText(http_parser* parser, std::string& destination, const char* at, std::size_t n)
{
    Connection& self = connectionOf(parser);
    self.m_headerBytes += n;
    if (self.m_headerBytes > self.m_shared->settings()->maxHeaderBytes) {
        self.m_refusal = { ErrorKind::RequestTooLarge, "the header is too large" };
        return 1;
    }
    destination.append(at, n);
    return 0;
}

int HttpServer::Connection::onHeaderField(http_parser* parser, const char* at, std::size_t n)
{
    Connection& self = connectionOf(parser);
    auto& headers = self.m_request.headers;
    if (headers.empty() || self.m_lastHeaderWasValue)
        headers.emplace_back();
    self.m_lastHeaderWasValue = false;
    if (headers.size() > self.m_shared->settings()->maxHeaderBytes / minHeaderLineBytes) {
        self.m_refusal = { ErrorKind::RequestTooLarge, "too many header lines" };
        return 1;
    }
    return onText(parser, headers.back().first, at, n);
}

int HttpServer::Connection::headersComplete()
{
    m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
    const bool hasLength = m_parser.content_length != ULLONG_MAX;
    if (hasLength && m_parser.content_length > m_shared->settings()->maxBodyBytes) {
        m_refusal = { ErrorKind::RequestTooLarge, "the body is too large" };
        return -1;
    }
    if (m_parser.method == HTTP_CONNECT) {
        m_refusal = { ErrorKind::BadRequest, "CONNECT is not supported" };
        return -1;
    }
    m_parser.upgrade = 0; // ignore a requested upgrade and respond in HTTP/1.1
    if (equalsIgnoringCase(m_request.header("Expect"), "100-continue")) {
        std::error_code ignored; // without this response the caller still sends the body, but later
        m_socket.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }
    setTimeout(Phase::Body, m_shared->settings()->bodyTimeout);
    return 0;
}

int HttpServer::Connection::onBody(http_parser* parser, const char* at, std::size_t n)
{
    Connection& self = connectionOf(parser);
    if (self.m_request.body.size() + n > self.m_shared->settings()->maxBodyBytes) {
        self.m_refusal = { ErrorKind::RequestTooLarge, "the body is too large" };
        return 1;
    }
    self.m_request.body.append(at, n);
    return 0;
}

/// Whether the caller has closed the connection and has sent nothing after the current request. The end of the
/// connection may be known to the kernel before this server has read it.
bool HttpServer::Connection::hasCallerClosed()
{
    char next = 0;
    std::error_code ec;
    m_socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::eof || ec == asio::error::connection_reset;
}

void HttpServer::Connection::handle()
{
    m_phase = Phase::Handling;
    m_timer.cancel();
    m_requestBytes = requestBytes(m_request, m_headerBytes);
    m_closeAfterResponse = http_should_keep_alive(&m_parser) == 0;
    auto state = std::make_shared<Responder::State>(
        strand(),
        [weak = weak_from_this(), strand = strand()](HttpResponse answer) {
            asio::post(strand, [weak, answer = std::move(answer)] {
                const auto self = weak.lock();
                if (self && self->m_phase == Phase::Handling)
                    self->write(
                        answer, answer.closesConnection || self->m_closeAfterResponse || self->m_shared->isDraining());
            });
        },
        [weak = weak_from_this()] {
            const auto self = weak.lock();
            return self && self->m_phase == Phase::Handling && !self->hasCallerClosed();
        });
    m_responder = state;
    if (m_shared->settings()->detectsEarlyDisconnects && hasCallerClosed())
        state->callerDisconnected();
    m_shared->count([](HttpServerCounters& counters) { ++counters.requests; });
    if (m_shared->isStopped())
        return;
    const Responder responder(std::move(state));
    try {
        m_shared->handler()(std::move(m_request), responder);
    } catch (const Error& error) {
        responder.fail(error.kind(), error.what());
    } catch (const std::exception& error) {
        responder.fail(ErrorKind::Internal, error.what());
    }
}

/// Responds to a request that is not passed to the handler, and closes the connection because subsequent input cannot
/// be parsed.
void HttpServer::Connection::refuse(ErrorKind kind, std::string_view message)
{
    m_shared->count([kind](HttpServerCounters& counters) {
        ++counters.badRequests;
        if (kind == ErrorKind::RequestTimeout)
            ++counters.timeouts;
        if (kind == ErrorKind::Overloaded)
            ++counters.refusedForMemory;
    });
    m_waitsForMemory = false;
    std::string().swap(m_input);
    m_request = {};
    write(errorResponse(kind, message), true);
}

void HttpServer::Connection::write(const HttpResponse& answer, bool close)
{
    setTimeout(Phase::Writing, m_shared->settings()->writeTimeout);
    m_requestBytes = 0;
    m_output = renderResponse(answer, close, m_parser.method != HTTP_HEAD);
    updateCharge();
    auto transferred = [this, last = std::size_t { 0 }](const std::error_code& ec, std::size_t n) mutable {
        recordProgress(n - std::exchange(last, n));
        return ec ? 0 : maxWriteBytes;
    };
    asio::async_write(m_socket, asio::buffer(m_output), std::move(transferred),
        [self = shared_from_this(), close](const std::error_code& ec, std::size_t) { self->writeDone(ec, close); });
}

void HttpServer::Connection::writeDone(const std::error_code& ec, bool close)
{
    std::string().swap(m_output);
    if (m_phase == Phase::Closed)
        return;
    if (ec) {
        this->close();
        return;
    }
    if (close || m_closeAfterResponse) {
        linger();
        return;
    }
    // The response was rendered before `finish` was called, so it has no `Connection: close`.
    if (m_shared->isFinishing() && m_input.empty()) {
        linger();
        return;
    }
    beginRequest();
    setTimeout(Phase::Idle, m_shared->settings()->idleTimeout);
    const auto input = std::exchange(m_input, {});
    parse(input);
    updateCharge();
    read();
}

/// Closes the connection gracefully. Closing it with unread input would make TCP reset it, and the caller might lose
/// the response. Therefore shuts down the sending side first, then reads and discards input for a short time.
void HttpServer::Connection::linger()
{
    std::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::string().swap(m_input);
    m_waitsForMemory = false;
    setTimeout(Phase::Lingering, lingerTime);
    updateCharge();
    read();
}

void HttpServer::Connection::finish()
{
    if (m_phase == Phase::Idle)
        linger();
}

void HttpServer::Connection::close()
{
    if (m_phase == Phase::Closed)
        return;
    if (m_phase == Phase::Handling) {
        m_shared->count([](HttpServerCounters& counters) { ++counters.callerDisconnects; });
        if (const auto responder = m_responder.lock())
            responder->callerDisconnected();
    }
    m_phase = Phase::Closed;
    m_timer.cancel();
    std::error_code ignored;
    m_socket.close(ignored);
    m_request = {};
    m_requestBytes = 0;
    std::string().swap(m_input);
    updateCharge();
    m_shared->remove(m_id);
}

void HttpServer::Connection::setTimeout(Phase phase, milliseconds timeout)
{
    m_phase = phase;
    m_timer.expires_after(timeout);
    m_sinceProgress = 0;
    m_progressAt.store(m_timer.expiry() - timeout, std::memory_order_relaxed);
    m_timer.async_wait([self = shared_from_this()](const std::error_code& ec) {
        if (!ec && self->m_timer.expiry() <= Clock::now())
            self->timedOut();
    });
}

void HttpServer::Connection::timedOut()
{
    if (m_phase == Phase::Header || m_phase == Phase::Body)
        refuse(ErrorKind::RequestTimeout, "the request did not arrive in time");
    else if (m_phase != Phase::Handling) {
        if (m_phase == Phase::Writing)
            m_shared->count([](HttpServerCounters& counters) { ++counters.timeouts; });
        close();
    }
}

void HttpServer::Connection::shed()
{
    if (m_phase == Phase::Header || m_phase == Phase::Body)
        refuse(ErrorKind::Overloaded, "the memory for requests that are being received is short");
    else if (m_phase == Phase::Idle || m_phase == Phase::Writing)
        close();
}

void HttpServer::Connection::replace()
{
    if (m_phase != Phase::Handling)
        close();
}

void HttpServer::Connection::resume()
{
    if (!m_waitsForMemory || m_phase == Phase::Closed)
        return;
    const bool isReceiving = m_phase == Phase::Idle || m_phase == Phase::Header || m_phase == Phase::Body;
    if (m_shared->memory().hasRoom(m_charge.bytes(), headerReadBytes)) {
        m_waitsForMemory = false;
        read();
    } else if (isReceiving && Clock::now() - m_waitsSince >= maxMemoryWait) {
        refuse(ErrorKind::Overloaded, "the memory for requests that are being received is short");
    }
}

std::optional<StalledConnection> HttpServer::Connection::stalled() const
{
    const Phase phase = m_phase;
    if (phase == Phase::Handling || phase == Phase::Lingering || phase == Phase::Closed)
        return std::nullopt;
    return StalledConnection { m_id, m_charge.bytes(), m_progressAt.load(std::memory_order_relaxed),
        phase != Phase::Idle };
}

/// Charges what the connection holds now. Called after each change, not within one: the bytes of one read may be in
/// memory before they are charged.
void HttpServer::Connection::updateCharge()
{
    m_charge.set(connectionBytes + m_input.capacity() + m_output.capacity() + m_requestBytes
        + (m_phase == Phase::Handling ? 0 : requestBytes(m_request, m_headerBytes)));
    if (m_shared->memory().used() > m_shared->memory().limit() / 2)
        m_shared->watchMemory();
}

void HttpServer::Connection::recordProgress(std::size_t n)
{
    m_sinceProgress += n;
    if (m_sinceProgress < minProgressBytes)
        return;
    m_sinceProgress = 0;
    m_progressAt.store(Clock::now(), std::memory_order_relaxed);
}

} // namespace citronplank
