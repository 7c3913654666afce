// HTTP/1.1 server for callers, on Asio and http_parser. A connection costs no thread, so half-sent and slow requests
// cost other callers nothing.
//
//   HttpServer server(io, { .address = "10.0.0.1:7300" }, [](HttpRequest request, Responder responder) {
//       responder.answer({ .body = "{}" }); // now or later, from any thread
//   });
//   server.start();
#pragma once

#include "citronplank.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace citronplank {

struct HttpRequest {
    std::string method; // "POST"
    std::string target; // path with query, as sent
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Value of the first header of that name, compared without regard to case; empty when absent.
    std::string_view header(std::string_view name) const;
};

struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json"; // empty: none
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers {}; // besides type, length and connection
    bool closes = false;                                         // the connection ends after this answer
};

/// JSON body {error, message, retry, outcome} and status of an error. Thread safe.
HttpResponse errorResponse(ErrorKind, std::string_view message);

struct HttpServerSettings {
    std::string address; // "IP:PORT"; port 0 takes a free one
    std::size_t maxHeaderBytes = std::size_t { 16 } << 10U;
    std::size_t maxBodyBytes = std::size_t { 1 } << 20U;
    std::size_t maxConnections = 4096;   // beyond it a connection gets one "overloaded" answer
    milliseconds headerTimeout { 5000 }; // from the first byte of a request; on a new connection from the accept
    milliseconds bodyTimeout { 5000 };   // from the end of the header
    milliseconds idleTimeout { 30000 };  // between requests of one connection
    milliseconds writeTimeout { 10000 }; // for the caller to take the whole answer
};

struct HttpServerCounters {
    std::uint64_t connections = 0; // open now
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;    // beyond the connection limit
    std::uint64_t requests = 0;    // given to the handler
    std::uint64_t badRequests = 0; // answered by the server itself: malformed, oversized or slow
    std::uint64_t callersGone = 0; // connections that ended before the answer
};

/// Answers one request, exactly once. Copies share the same request. Every method is thread safe. When the last copy
/// goes away without an answer, the caller gets "internal".
class Responder {
public:
    /// Sends the answer. Returns false when there was an answer before or the caller has gone.
    bool answer(HttpResponse) const;
    /// Sends the answer to an error. Returns false like `answer`.
    bool fail(ErrorKind, std::string_view message) const;
    /// Sets the callback that runs once on the server's io_context if the caller's connection ends before the answer;
    /// it is posted at once when the caller has gone already. An earlier callback is replaced.
    void onCallerDisconnected(std::function<void()>) const;
    /// True once the caller's connection has ended.
    bool isCallerDisconnected() const;

private:
    friend class HttpServer;
    class State;
    explicit Responder(std::shared_ptr<State> state)
        : m_state(std::move(state))
    {
    }
    std::shared_ptr<State> m_state;
};

/// Every method is thread safe. The handler and callbacks run on the io_context, those of one connection one after the
/// other; pipelined requests of one connection are served in order. A caller that shuts down its sending side counts
/// as gone.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, Responder)>;

    /// Binds the address. Precondition: `io` outlives this object and all responders. Throws Error(Internal) when the
    /// address cannot be bound.
    HttpServer(asio::io_context& io, HttpServerSettings, Handler);
    /// Stops accepting and closes all connections; responders may still be called and do nothing then.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Starts to accept. Precondition: called once.
    void start();
    /// From now on every answer carries `Connection: close`; new connections are still accepted.
    void beginDrain();
    /// Closes the listener. Open connections are served on.
    void stopAccepting();
    /// Implies `beginDrain` and `stopAccepting`; closes connections without a request now, the others after their
    /// answer. `done` runs once on the io_context when no connection is left.
    void finish(std::function<void()> done);

    /// Changes what callers may send and how long they may take, for requests that begin from now on.
    void setLimits(const CallerLimits&);
    /// Bound "IP:PORT".
    std::string address() const;
    HttpServerCounters counters() const;

private:
    class Connection;
    class Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace citronplank
