// HTTP/1.1 server on Asio, used by the stand-ins. Not thread safe: everything runs on one io_context with a single
// thread.
#pragma once

#include "standins/HttpParser.h"

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace standins {

using asio::ip::tcp;

/// Parses "IP:PORT". Throws std::invalid_argument on malformed input.
inline tcp::endpoint parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    asio::error_code ec;
    const auto ip = asio::ip::make_address(text.substr(0, colon), ec);
    const auto port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    if (ec || port < 1 || port > 65535)
        throw std::invalid_argument("invalid address \"" + text + "\": expected IP:PORT");
    return { ip, static_cast<std::uint16_t>(port) };
}

/// One accepted connection; its requests are handled sequentially. Must be owned by a std::shared_ptr.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    /// Called with each request. Responds at most once, during the call or later; no further request of the connection
    /// is handled before that response.
    using Handler = std::function<void(const HttpMessage&, const std::shared_ptr<HttpSession>&)>;
    using CloseHandler = std::function<void()>;

    HttpSession(tcp::socket socket, Handler handler)
        : m_socket(std::move(socket))
        , m_handler(std::move(handler))
    {
    }

    /// Starts to read requests.
    void start()
    {
        asio::error_code ec;
        m_socket.set_option(tcp::no_delay(true), ec);
        read();
    }

    /// Sets a handler that is called once, when either side closes the connection. Not called when the peer closes a
    /// connection after `silence`, because nothing is read from it any more.
    void onClose(CloseHandler handler) { m_closeHandler = std::move(handler); }

    /// Responds to the current request; has no effect on a closed connection or after `silence`. `headers` holds
    /// complete header lines, each terminated by CRLF.
    void respond(int status, const std::string& headers, const std::string& body)
    {
        if (m_isClosed || m_isSilent)
            return;
        m_output = "HTTP/1.1 " + std::to_string(status) + " \r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
            + (m_isKeepAlive ? "" : "Connection: close\r\n") + headers + "\r\n" + body;
        asio::async_write(
            m_socket, asio::buffer(m_output), [self = shared_from_this()](asio::error_code ec, std::size_t) {
                self->m_isBusy = false;
                if (ec || !self->m_isKeepAlive)
                    self->close();
                else
                    self->handleInput();
            });
    }

    /// Closes the connection; with `reset`, unsent data is discarded and the peer receives a TCP reset.
    void close(bool reset = false)
    {
        if (std::exchange(m_isClosed, true))
            return;
        asio::error_code ec;
        if (reset)
            m_socket.set_option(asio::socket_base::linger(true, 0), ec);
        m_socket.close(ec);
        if (auto handler = std::exchange(m_closeHandler, {}))
            handler();
    }

    /// Keeps the connection open but stops reading from it and writing to it.
    void silence() { m_isSilent = true; }
    bool isSilent() const { return m_isSilent; }

private:
    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer), [self = shared_from_this()](asio::error_code ec, std::size_t n) {
                if (self->m_isSilent)
                    return;
                if (ec)
                    return self->close();
                self->m_input.append(self->m_buffer.data(), n);
                self->handleInput();
                // Reads on while a request is handled, to notice at once when the peer closes the connection: that
                // cancels the request.
                if (!self->m_isClosed)
                    self->read();
            });
    }

    void handleInput()
    {
        if (m_isBusy || m_isClosed || m_isSilent)
            return;
        m_parser.feed(m_input);
        if (m_parser.hasFailed())
            return close();
        if (!m_parser.isComplete())
            return;
        const auto request = m_parser.takeMessage();
        m_isBusy = true;
        m_isKeepAlive = request.isKeepAlive;
        m_handler(request, shared_from_this());
    }

    tcp::socket m_socket;
    Handler m_handler;
    CloseHandler m_closeHandler;
    HttpParser m_parser { HTTP_REQUEST };
    std::array<char, 16384> m_buffer {};
    std::string m_input;
    std::string m_output;
    bool m_isBusy = false; // a request has not been responded to yet
    bool m_isKeepAlive = true;
    bool m_isClosed = false;
    bool m_isSilent = false;
};

/// Accepts connections on one address. The accept handler, if any, decides whether and when to start each session.
/// Even after `close`, the server must not be destroyed before the io_context has run the pending accept handler.
class HttpServer {
public:
    using AcceptHandler = std::function<void(std::shared_ptr<HttpSession>)>;

    HttpServer(asio::io_context& io, const tcp::endpoint& endpoint, HttpSession::Handler handler,
        AcceptHandler acceptHandler = {})
        : m_acceptor(io)
        , m_endpoint(endpoint)
        , m_handler(std::move(handler))
        , m_acceptHandler(std::move(acceptHandler))
    {
    }

    /// Opens the listening socket; also possible again after `close`. Throws asio::system_error if the address is in
    /// use.
    void open()
    {
        m_acceptor.open(m_endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(m_endpoint);
        m_acceptor.listen();
        accept();
    }

    /// Closes the listening socket; open sessions continue.
    void close()
    {
        asio::error_code ec;
        m_acceptor.close(ec);
    }
    bool isOpen() const { return m_acceptor.is_open(); }

private:
    void accept()
    {
        m_acceptor.async_accept([this](asio::error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted || !m_acceptor.is_open())
                return;
            if (!ec) {
                auto session = std::make_shared<HttpSession>(std::move(socket), m_handler);
                if (m_acceptHandler)
                    m_acceptHandler(std::move(session));
                else
                    session->start();
            }
            accept();
        });
    }

    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    HttpSession::Handler m_handler;
    AcceptHandler m_acceptHandler;
};

} // namespace standins
