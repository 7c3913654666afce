#include "transport/HttpServer.h"

#include "transport/ResponderState.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <http_parser.h>
#include <mutex>
#include <unordered_map>

namespace citronplank {

namespace {

constexpr std::size_t readBytes = 8192;     // buffer of one read
constexpr std::size_t maxHeaders = 128;     // header lines of one request
constexpr std::size_t maxRejections = 64;   // open connections beyond the limit that still get a response
constexpr milliseconds lingerTime { 1000 }; // how long input is discarded after the last response
constexpr milliseconds acceptRetryDelay { 100 };

using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;

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

// ---- Shared: state shared by the connections of a server

class HttpServer::Shared : public std::enable_shared_from_this<HttpServer::Shared> {
public:
    Shared(asio::io_context& io, HttpServerSettings settings, Handler handler)
        : m_io(io)
        , m_settings(std::move(settings))
        , m_currentSettings(std::make_shared<const HttpServerSettings>(m_settings))
        , m_handler(std::move(handler))
        , m_acceptor(asio::make_strand(io))
        , m_retryTimer(m_acceptor.get_executor())
    {
    }

    void bind();
    void accept();
    void closeAcceptor();
    void finish(std::function<void()> done);
    void shutDown();
    void remove(std::uint64_t id);
    template <typename Change>
    void count(Change change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_counters);
    }
    HttpServerCounters counters()
    {
        const std::lock_guard lock(m_mutex);
        HttpServerCounters counters = m_counters;
        counters.connections = m_connections.size();
        return counters;
    }

    HttpServerSettings settings() const { return *m_currentSettings.load(); }
    void setLimits(const CallerLimits& limits)
    {
        auto next = m_settings;
        next.maxHeaderBytes = limits.headerBytes;
        next.maxBodyBytes = limits.bodyBytes;
        next.headerTimeout = limits.headerTimeout;
        next.idleTimeout = limits.idleTimeout;
        m_currentSettings = std::make_shared<const HttpServerSettings>(next);
    }
    const Handler& handler() const { return m_handler; }
    const std::string& address() const { return m_address; }
    bool isDraining() const { return m_draining; }
    bool isFinishing() const { return m_finishing; }
    bool isStopped() const { return m_stopped; }
    void beginDrain() { m_draining = true; }

private:
    void accepted(Socket&&);
    std::vector<std::shared_ptr<Connection>> connections();

    asio::io_context& m_io;
    HttpServerSettings m_settings;
    std::atomic<std::shared_ptr<const HttpServerSettings>> m_currentSettings; // m_settings with the current limits
    Handler m_handler;
    std::string m_address;
    asio::basic_socket_acceptor<asio::ip::tcp, Strand> m_acceptor;
    asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Strand> m_retryTimer;
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_finishing { false };
    std::atomic<bool> m_stopped { false };

    std::mutex m_mutex; // guards the members below; never held across I/O or a callback
    std::unordered_map<std::uint64_t, std::weak_ptr<Connection>> m_connections;
    std::uint64_t m_lastId = 0;
    HttpServerCounters m_counters;
    std::function<void()> m_done;
};

// ---- Connection: every method runs on the strand of the connection

class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
public:
    Connection(std::shared_ptr<Shared> shared, Socket&& socket, std::uint64_t id)
        : m_shared(std::move(shared))
        , m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_id(id)
    {
        m_parser.data = this;
    }

    Strand strand() { return m_socket.get_executor(); }
    void start();
    void reject();
    void finish();
    void close();

private:
    enum class Phase : std::uint8_t { Idle, Header, Body, Handling, Writing, Lingering, Closed };

    static Connection& connectionOf(http_parser* parser) { return *static_cast<Connection*>(parser->data); }
    static const http_parser_settings& callbacks();
    static int onText(http_parser*, std::string& destination, const char* at, std::size_t n);
    static int onHeaderField(http_parser*, const char* at, std::size_t n);
    static int onBody(http_parser*, const char* at, std::size_t n);

    void beginRequest();
    void read();
    void readDone(const std::error_code&, std::size_t n);
    void parse();
    int headersComplete();
    bool hasCallerClosed();
    void handle();
    void refuse(ErrorKind, std::string_view message);
    void write(const HttpResponse&, bool close);
    void writeDone(const std::error_code&, bool close);
    void linger();
    void setTimeout(Phase, milliseconds);
    void timedOut();

    std::shared_ptr<Shared> m_shared;
    Socket m_socket;
    asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Strand> m_timer;
    std::uint64_t m_id;
    Phase m_phase = Phase::Idle;
    bool m_reading = false; // a read of the socket is pending
    bool m_closeAfterResponse = false;
    bool m_lastHeaderWasValue = false;
    bool m_hasMessage = false;                                       // the request is complete
    std::size_t m_headerBytes = 0;                                   // of the target and the header names and values
    std::optional<std::pair<ErrorKind, std::string_view>> m_refusal; // why a parser callback refused the request
    http_parser m_parser {};
    std::array<char, readBytes> m_buf {};
    std::string m_input; // received and not yet parsed
    std::string m_output;
    HttpRequest m_request;
    std::weak_ptr<Responder::State> m_responder;
};

void HttpServer::Connection::start()
{
    m_socket.set_option(asio::ip::tcp::no_delay(true));
    m_socket.non_blocking(true);
    beginRequest();
    // A caller that sends nothing is disconnected as early as one that sends an incomplete header.
    setTimeout(Phase::Idle, m_shared->settings().headerTimeout);
    read();
}

/// Responds to a connection beyond the limit without parsing a request, and closes it.
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

void HttpServer::Connection::read()
{
    // While a request is being handled, at most about one header of the next one is buffered. TCP flow control delays
    // callers that send more.
    if (m_reading || m_phase == Phase::Closed || m_input.size() >= m_shared->settings().maxHeaderBytes)
        return;
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_buf),
        [self = shared_from_this()](const std::error_code& ec, std::size_t n) { self->readDone(ec, n); });
}

void HttpServer::Connection::readDone(const std::error_code& ec, std::size_t n)
{
    m_reading = false;
    if (m_phase == Phase::Closed)
        return;
    if (ec) {
        if (m_phase == Phase::Writing)
            m_closeAfterResponse = true; // the caller may only have shut down its sending side
        else
            close();
        return;
    }
    if (m_phase == Phase::Lingering) {
        read(); // the received input is discarded
        return;
    }
    m_input.append(m_buf.data(), n);
    if (m_phase == Phase::Idle || m_phase == Phase::Header || m_phase == Phase::Body)
        parse();
    read();
}

void HttpServer::Connection::parse()
{
    if (m_input.empty())
        return;
    if (m_phase == Phase::Idle)
        setTimeout(Phase::Header, m_shared->settings().headerTimeout);
    const std::size_t n = http_parser_execute(&m_parser, &callbacks(), m_input.data(), m_input.size());
    const http_errno error = HTTP_PARSER_ERRNO(&m_parser);
    m_input.erase(0, n);
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
    if (self.m_headerBytes > self.m_shared->settings().maxHeaderBytes) {
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
    if (headers.size() > maxHeaders) {
        self.m_refusal = { ErrorKind::RequestTooLarge, "too many header lines" };
        return 1;
    }
    return onText(parser, headers.back().first, at, n);
}

int HttpServer::Connection::headersComplete()
{
    m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
    const bool hasLength = m_parser.content_length != ULLONG_MAX;
    if (hasLength && m_parser.content_length > m_shared->settings().maxBodyBytes) {
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
    setTimeout(Phase::Body, m_shared->settings().bodyTimeout);
    return 0;
}

int HttpServer::Connection::onBody(http_parser* parser, const char* at, std::size_t n)
{
    Connection& self = connectionOf(parser);
    if (self.m_request.body.size() + n > self.m_shared->settings().maxBodyBytes) {
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
    if (m_shared->settings().detectsEarlyDisconnects && hasCallerClosed())
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
    m_shared->count([](HttpServerCounters& counters) { ++counters.badRequests; });
    m_input.clear();
    write(errorResponse(kind, message), true);
}

void HttpServer::Connection::write(const HttpResponse& answer, bool close)
{
    setTimeout(Phase::Writing, m_shared->settings().writeTimeout);
    m_output = renderResponse(answer, close, m_parser.method != HTTP_HEAD);
    asio::async_write(m_socket, asio::buffer(m_output),
        [self = shared_from_this(), close](const std::error_code& ec, std::size_t) { self->writeDone(ec, close); });
}

void HttpServer::Connection::writeDone(const std::error_code& ec, bool close)
{
    m_output.clear();
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
    setTimeout(Phase::Idle, m_shared->settings().idleTimeout);
    parse();
    read();
}

/// Closes the connection gracefully. Closing it with unread input would make TCP reset it, and the caller might lose
/// the response. Therefore shuts down the sending side first, then reads and discards input for a short time.
void HttpServer::Connection::linger()
{
    std::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_input.clear();
    setTimeout(Phase::Lingering, lingerTime);
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
    m_shared->remove(m_id);
}

void HttpServer::Connection::setTimeout(Phase phase, milliseconds timeout)
{
    m_phase = phase;
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](const std::error_code& ec) {
        if (!ec && self->m_timer.expiry() <= Clock::now())
            self->timedOut();
    });
}

void HttpServer::Connection::timedOut()
{
    if (m_phase == Phase::Header || m_phase == Phase::Body)
        refuse(ErrorKind::RequestTimeout, "the request did not arrive in time");
    else if (m_phase != Phase::Handling)
        close();
}

// ---- Shared

void HttpServer::Shared::bind()
{
    try {
        const std::size_t colon = m_settings.address.rfind(':');
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_settings.address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(m_settings.address.substr(colon + 1))));
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_address = endpoint.address().to_string() + ":" + std::to_string(m_acceptor.local_endpoint().port());
    } catch (const std::exception& error) {
        throw Error(ErrorKind::Internal, "cannot listen on " + m_settings.address + ": " + error.what());
    }
}

void HttpServer::Shared::accept()
{
    m_acceptor.async_accept(
        asio::make_strand(m_io), [self = shared_from_this()](const std::error_code& ec, Socket socket) {
            if (ec == asio::error::operation_aborted || !self->m_acceptor.is_open())
                return;
            if (!ec) {
                self->accepted(std::move(socket));
                self->accept();
                return;
            }
            // The process may be out of file descriptors, for example. The connection stays in the listen queue, so an
            // immediate retry would cause a busy loop.
            self->m_retryTimer.expires_after(acceptRetryDelay);
            self->m_retryTimer.async_wait([self](const std::error_code& cancelled) {
                if (!cancelled)
                    self->accept();
            });
        });
}

void HttpServer::Shared::accepted(Socket&& socket)
{
    bool reject = false;
    std::shared_ptr<Connection> connection;
    {
        const std::lock_guard lock(m_mutex);
        reject = m_connections.size() >= m_settings.maxConnections;
        ++(reject ? m_counters.rejected : m_counters.accepted);
        if (m_connections.size() >= m_settings.maxConnections + maxRejections)
            return; // closes the socket
        const std::uint64_t id = ++m_lastId;
        connection = std::make_shared<Connection>(shared_from_this(), std::move(socket), id);
        m_connections.emplace(id, connection);
    }
    asio::post(connection->strand(), [connection, reject] { reject ? connection->reject() : connection->start(); });
}

void HttpServer::Shared::closeAcceptor()
{
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        std::error_code ignored;
        self->m_acceptor.close(ignored);
        self->m_retryTimer.cancel();
    });
}

std::vector<std::shared_ptr<HttpServer::Connection>> HttpServer::Shared::connections()
{
    std::vector<std::shared_ptr<Connection>> list;
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, weak] : m_connections) {
        if (auto connection = weak.lock())
            list.push_back(std::move(connection));
    }
    return list;
}

void HttpServer::Shared::finish(std::function<void()> done)
{
    m_draining = true;
    m_finishing = true;
    closeAcceptor();
    // Runs after the close on the acceptor's strand, so no connection is added afterwards.
    asio::post(m_acceptor.get_executor(), [self = shared_from_this(), done = std::move(done)]() mutable {
        {
            const std::lock_guard lock(self->m_mutex);
            self->m_done = std::move(done);
            if (self->m_connections.empty())
                asio::post(self->m_io, std::exchange(self->m_done, nullptr));
        }
        for (const auto& connection : self->connections())
            asio::post(connection->strand(), [connection] { connection->finish(); });
    });
}

void HttpServer::Shared::shutDown()
{
    m_stopped = true;
    closeAcceptor();
    for (const auto& connection : connections())
        asio::post(connection->strand(), [connection] { connection->close(); });
}

void HttpServer::Shared::remove(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(id);
    if (m_connections.empty() && m_done)
        asio::post(m_io, std::exchange(m_done, nullptr));
}

// ---- HttpServer

HttpServer::HttpServer(asio::io_context& io, HttpServerSettings settings, Handler handler)
    : m_shared(std::make_shared<Shared>(io, std::move(settings), std::move(handler)))
{
    m_shared->bind();
}

HttpServer::~HttpServer() { m_shared->shutDown(); }

void HttpServer::start() { m_shared->accept(); }

void HttpServer::beginDrain() { m_shared->beginDrain(); }

void HttpServer::stopAccepting() { m_shared->closeAcceptor(); }

void HttpServer::finish(std::function<void()> done) { m_shared->finish(std::move(done)); }

std::string HttpServer::address() const { return m_shared->address(); }

void HttpServer::setLimits(const CallerLimits& limits) { m_shared->setLimits(limits); }

HttpServerCounters HttpServer::counters() const { return m_shared->counters(); }

} // namespace citronplank
