// Administration server for operators, leaves and load balancers: readiness, announcements of leaves, status, dump and
// metrics. Not reachable by callers.
//
//   AdminServer admin({ .address = "10.0.0.1:7301" }, { .ready = [] { return HttpResponse { .body = "{}" }; }, ... });
//   admin.start();
#pragma once

#include "transport/HttpServer.h"

namespace citronplank {

/// Handlers run concurrently on the server's threads. A handler returns the response or throws Error, which is answered
/// according to the error table.
struct AdminHandlers {
    std::function<HttpResponse()> ready;                           // GET /ready: 200 or not_ready
    std::function<HttpResponse(const std::string& body)> announce; // POST /announce
    std::function<HttpResponse()> status;                          // GET /status: JSON
    std::function<HttpResponse()> dump;                            // GET /dump: JSON, the whole state
    std::function<HttpResponse()> metrics;                         // GET /metrics: text
};

struct AdminServerSettings {
    std::string address; // "IP:PORT"; port 0 selects a free one
    std::size_t threads = 16;
    std::size_t maxQueued = 256; // accepted connections that wait for a thread; further ones wait in the kernel
    std::size_t maxBodyBytes = std::size_t { 64 } << 10U;
    milliseconds readTimeout { 2000 }; // an incomplete request occupies a thread until then
    milliseconds writeTimeout { 2000 };
};

/// Every method is thread safe within the order that the preconditions state. cpp-httplib uses a thread for each open
/// connection, so every response closes its connection: otherwise a few leaves with keep-alive connections would occupy
/// all threads.
class AdminServer {
public:
    /// Binds the address. Precondition: all handlers are set. Throws Error(Internal) if it cannot be bound.
    AdminServer(AdminServerSettings, AdminHandlers);
    /// Calls `stop`.
    ~AdminServer();
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    /// Starts serving. Precondition: called once.
    void start();
    /// Closes the listener and waits for running handlers. May be called twice. Precondition: not called by a handler.
    void stop();
    /// The bound "IP:PORT".
    std::string address() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace citronplank
