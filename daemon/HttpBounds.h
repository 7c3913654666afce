// Bounds of the HTTP servers of a process, derived from the memory and the descriptors of its machine, and their
// counters.
#pragma once

#include "daemon/Counters.h"
#include "transport/HttpServer.h"

namespace citronplank {

/// What the machine of a process has for it.
struct MachineLimits {
    std::size_t memoryBytes = std::size_t { 256 } << 20U;
    std::size_t maxDescriptors = 0; // 0: the limit of the operating system for this process
};

/// What the HTTP servers of a process may use together. The rest of the memory is for everything that is not filled by
/// callers, and for copies: a request is copied for each attempt at a leaf. The rest of the descriptors is for
/// connections to leaves, links, files and timers.
struct HttpBounds {
    std::shared_ptr<MemoryBudget> memory;
    std::size_t callerConnections = 0;
    std::size_t controlConnections = 0;

    /// A quarter of the memory. Half of the descriptors for the address that most connections come to, and a quarter
    /// for the control address of a process that also serves callers.
    static HttpBounds of(const MachineLimits&, bool servesCallers);
};

/// Exports the counters of HTTP servers, and logs refusals and closed connections in at most one line for each server
/// and call. Not thread safe.
class HttpReports {
public:
    /// Precondition: `counters` and the servers outlive this object.
    explicit HttpReports(Counters& counters)
        : m_counters(counters)
    {
    }
    /// `name` is part of the names of the metrics and of the log lines.
    void add(std::string name, const HttpServer* server) { m_servers.push_back({ std::move(name), server, {} }); }
    void update(const MemoryBudget&);

private:
    struct Reported {
        std::string name;
        const HttpServer* server;
        HttpServerCounters last;
    };
    Counters& m_counters;
    std::vector<Reported> m_servers;
};

} // namespace citronplank
