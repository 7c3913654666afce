// HTTP/1.1 client connection on Asio, used by the stand-ins. Not thread safe: everything runs on one io_context with a
// single thread.
#pragma once

#include "standins/HttpServer.h"

#include <chrono>

namespace standins {

struct HttpResult {
    HttpMessage response; // status 0 if there was no response
    /// Empty after a response, else "connect" (no connection could be set up), "closed" (the connection ended before a
    /// complete response), "timeout", "malformed" (the response is not HTTP) or "cancelled" (by `close`).
    std::string error;
    bool wasSent = false;            // at least part of the request may have reached the server
    bool isReusedConnection = false; // the connection had already served a request
};

/// A keep-alive connection that carries one request at a time. Must be owned by a std::shared_ptr; a running request
/// keeps the object alive.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
    /// Called exactly once for each request, after `request` has returned. May send the next request.
    using Callback = std::function<void(HttpResult)>;

    HttpClient(asio::io_context& io, const tcp::endpoint& endpoint)
        : m_socket(io)
        , m_timer(io)
        , m_endpoint(endpoint)
    {
    }

    bool isBusy() const { return static_cast<bool>(m_callback); }
    bool isConnected() const { return m_isConnected; }
    /// Whether the next request can use the open connection: false if there is none, or if the server has closed it or
    /// sent unexpected data. Precondition: not busy.
    bool isReusable()
    {
        char byte = 0;
        asio::error_code ec;
        m_socket.non_blocking(true, ec);
        m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
        return m_isConnected && ec == asio::error::would_block;
    }

    /// Connects if necessary and sends one request. `headers` holds complete header lines, each terminated by CRLF.
    /// `timeout` covers the time from this call to the end of the response, including the connection setup.
    /// Precondition: not busy.
    void request(const std::string& method, const std::string& target, const std::string& headers,
        const std::string& body, std::chrono::milliseconds timeout, Callback callback)
    {
        m_callback = std::move(callback);
        m_result = {};
        m_result.isReusedConnection = m_isConnected;
        m_output = method + " " + target + " HTTP/1.1\r\nHost: stand-in\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this(), generation = ++m_generation](asio::error_code ec) {
            if (!ec && generation == self->m_generation)
                self->fail("timeout");
        });
        if (m_isConnected)
            return write();
        m_socket.async_connect(m_endpoint, [self = shared_from_this(), generation = m_generation](asio::error_code ec) {
            if (generation != self->m_generation)
                return;
            if (ec)
                return self->fail("connect");
            self->m_isConnected = true;
            asio::error_code ignored;
            self->m_socket.set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    /// Closes the connection; calls the callback of a running request with the error "cancelled" before it returns.
    void close() { fail("cancelled"); }

private:
    void write()
    {
        m_result.wasSent = true;
        asio::async_write(m_socket, asio::buffer(m_output),
            [self = shared_from_this(), generation = m_generation](asio::error_code ec, std::size_t) {
                if (generation != self->m_generation)
                    return;
                if (ec)
                    return self->fail("closed");
                self->read();
            });
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer),
            [self = shared_from_this(), generation = m_generation](asio::error_code ec, std::size_t n) {
                if (generation != self->m_generation)
                    return;
                if (ec)
                    return self->fail("closed");
                self->m_input.append(self->m_buffer.data(), n);
                self->m_parser.feed(self->m_input);
                if (self->m_parser.hasFailed())
                    return self->fail("malformed");
                if (!self->m_parser.isComplete())
                    return self->read();
                self->finish();
            });
    }

    void finish()
    {
        ++m_generation;
        m_timer.cancel();
        m_result.response = m_parser.takeMessage();
        if (!m_result.response.isKeepAlive)
            disconnect();
        if (auto callback = std::exchange(m_callback, {}))
            callback(std::move(m_result));
    }

    void fail(const std::string& error)
    {
        ++m_generation;
        m_timer.cancel();
        disconnect();
        m_result.error = error;
        if (auto callback = std::exchange(m_callback, {}))
            callback(std::move(m_result));
    }

    void disconnect()
    {
        asio::error_code ec;
        m_socket.close(ec);
        m_isConnected = false;
        m_input.clear();
        m_parser.restart();
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    tcp::endpoint m_endpoint;
    HttpParser m_parser { HTTP_RESPONSE };
    std::array<char, 16384> m_buffer {};
    std::string m_input;
    std::string m_output;
    Callback m_callback;
    HttpResult m_result;
    /// Incremented at the start and end of each request. Completion handlers of an earlier value do nothing.
    std::uint64_t m_generation = 0;
    bool m_isConnected = false;
};

} // namespace standins
