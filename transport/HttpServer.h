// Asynchronous HTTP/1.1 server for callers, based on Asio and http_parser. Connections do not occupy threads, so
// incomplete and slow requests do not affect other callers.
//
//   HttpServer server(io, { .address = "10.0.0.1:7300" }, [](HttpRequest request, Responder responder) {
//       responder.answer({ .body = "{}" }); // now or later, from any thread
//   });
//   server.start();
#pragma once

#include "citronplank.h"
#include "policy/MemoryBudget.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace citronplank {

struct HttpRequest {
    std::string method; // "POST"
    std::string target; // path with query, not decoded
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Returns the value of the first header with this name, ignoring case, or an empty string if there is none.
    std::string_view header(std::string_view name) const;
};

struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json"; // empty: no Content-Type header
    std::string body;
    /// In addition to Content-Type, Content-Length and Connection.
    std::vector<std::pair<std::string, std::string>> headers {};
    bool closesConnection = false; // the server closes the connection after this response
};

/// Returns the response to an error, with the JSON body {error, message, retry, outcome}. Thread safe.
HttpResponse errorResponse(ErrorKind, std::string_view message);

struct HttpServerSettings {
    std::string address;                                    // "IP:PORT"; port 0 selects a free port
    std::size_t maxHeaderBytes = std::size_t { 16 } << 10U; // of the target and the header names and values
    std::size_t maxBodyBytes = std::size_t { 1 } << 20U;
    /// At the limits, the connection that made no progress for longest is closed for a new one; see
    /// ConnectionShedding. If there is none, the new one gets one "overloaded" response.
    std::size_t maxConnections = 4096;
    std::size_t maxConnectionsPerPeer = 0; // of one IP address; 0: three quarters of maxConnections
    std::shared_ptr<MemoryBudget> memory;  // shared by the servers of a process; null: 64 MiB for this server
    milliseconds headerTimeout { 5000 };   // from the first byte of a request, or from the accept of a new connection
    milliseconds bodyTimeout { 5000 };     // from the end of the header
    milliseconds idleTimeout { 30000 };    // between requests of one connection
    milliseconds writeTimeout { 10000 };   // for sending the whole response
    /// Checks before each call of the handler whether the caller has closed the connection already, so that the
    /// responder reports it as disconnected from the start. A caller that has only shut down its sending side gets no
    /// response.
    bool detectsEarlyDisconnects = false;
};

struct HttpServerCounters {
    std::uint64_t connections = 0;       // open now
    std::uint64_t accepted = 0;          // without the rejected ones
    std::uint64_t rejected = 0;          // exceeded a connection limit
    std::uint64_t replaced = 0;          // closed for a new connection at a connection limit
    std::uint64_t refusedForMemory = 0;  // answered as overloaded because the memory budget is short
    std::uint64_t closedForMemory = 0;   // chosen to be closed because they held memory without progress
    std::uint64_t timeouts = 0;          // too slow in sending a request or in reading a response
    std::uint64_t requests = 0;          // passed to the handler
    std::uint64_t badRequests = 0;       // answered by the server itself: malformed, too large or too slow
    std::uint64_t callerDisconnects = 0; // connections that ended before the response was sent
};

/// Answers one request exactly once. Copies refer to the same request. If the last copy is destroyed without an answer,
/// the caller gets the error "internal". Thread safe.
class Responder {
public:
    /// Sends the response. Returns false if the request was already answered or the caller has disconnected.
    bool answer(HttpResponse) const;
    /// Sends an error response. Returns false in the same cases as `answer`.
    bool fail(ErrorKind, std::string_view message) const;
    /// Sets a callback that runs once on the server's io_context if the caller disconnects before the response. It is
    /// posted immediately if the caller has already disconnected. Replaces an earlier callback.
    void onCallerDisconnected(std::function<void()>) const;
    /// Whether the caller's connection has ended, as far as this server has read its input.
    bool isCallerDisconnected() const;
    /// Looks at the socket and passes to `done` whether the caller still waits for the response. Unlike
    /// `isCallerDisconnected`, it also notices an end of the connection that this server has not read yet, for example
    /// because the process was suspended. `done` runs once on the server's io_context.
    void checkCaller(std::function<void(bool isWaiting)> done) const;

private:
    friend class HttpServer;
    class State;
    explicit Responder(std::shared_ptr<State> state)
        : m_state(std::move(state))
    {
    }
    std::shared_ptr<State> m_state;
};

/// The handler and callbacks run on the io_context, serialized for each connection. If the handler throws, the caller
/// gets the response to that Error, or "internal" for another std::exception. Pipelined requests of a connection are
/// processed in order. A caller that shuts down its sending side is treated as disconnected. Thread safe.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, Responder)>;

    /// Binds the address. Throws Error(Internal) if it cannot be bound. Precondition: `io` outlives this object and all
    /// responders.
    HttpServer(asio::io_context& io, HttpServerSettings, Handler);
    /// Stops accepting and closes all connections, both asynchronously on the io_context. Responders remain valid; once
    /// its connection is closed, a responder reports its caller as disconnected.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Starts accepting connections. Precondition: called once.
    void start();
    /// Adds `Connection: close` to all further responses. New connections are still accepted.
    void beginDrain();
    /// Closes the listener. Open connections are not affected.
    void stopAccepting();
    /// Implies `beginDrain` and `stopAccepting`. Closes idle connections now and the others after their response.
    /// `done` runs once on the io_context when no connection is left. Precondition: called once.
    void finish(std::function<void()> done);

    /// Changes the size limits, the header timeout and the idle timeout. The size limits also apply to the rest of a
    /// request that is being received; a timeout that is running is not changed.
    void setLimits(const CallerLimits&);
    /// Returns the bound address "IP:PORT".
    std::string address() const;
    HttpServerCounters counters() const;

private:
    class Connection;
    class Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace citronplank
