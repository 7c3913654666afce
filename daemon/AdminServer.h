// Administration port: readiness, announcements of leaves, status, dump and metrics; for operators, leaves and load
// balancers. Not reachable by callers.
//
//   AdminServer admin({ .address = "10.0.0.1:7301" }, { .ready = [] { return HttpResponse { .body = "{}" }; }, ... });
//   admin.start();
#pragma once

#include "transport/HttpServer.h"

namespace citronplank {

/// Each handler runs on one of the server's threads, several at a time. It returns the answer or throws Error, which
/// becomes the answer of the error table.
struct AdminHandlers {
    std::function<HttpResponse()> ready;                           // GET /ready: 200 or not_ready
    std::function<HttpResponse(const std::string& body)> announce; // POST /announce
    std::function<HttpResponse()> status;                          // GET /status: JSON
    std::function<HttpResponse()> dump;                            // GET /dump: JSON, the whole state
    std::function<HttpResponse()> metrics;                         // GET /metrics: text
};

struct AdminServerSettings {
    std::string address; // "IP:PORT"; port 0 takes a free one
    std::size_t threads = 16;
    std::size_t maxQueued = 256; // accepted connections that wait for a thread; beyond it they wait in the kernel
    std::size_t maxBodyBytes = std::size_t { 64 } << 10U;
    milliseconds readTimeout { 2000 };
    milliseconds writeTimeout { 2000 };
};

/// Every method is thread safe but for the order given. cpp-httplib keeps a thread for each open connection, so every
/// answer closes its connection: a few leaves with kept-alive connections would otherwise take all threads.
class AdminServer {
public:
    /// Binds the address. Precondition: all handlers are set. Throws Error(Internal) when it cannot be bound.
    AdminServer(AdminServerSettings, AdminHandlers);
    /// Stops.
    ~AdminServer();
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    /// Starts to serve. Precondition: called once.
    void start();
    /// Ends the listener and waits for running handlers. May be called twice. Precondition: not called by a handler.
    void stop();
    /// Bound "IP:PORT".
    std::string address() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace citronplank
