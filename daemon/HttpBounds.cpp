#include "daemon/HttpBounds.h"

#include "daemon/Logging.h"

#include <algorithm>
#include <sys/resource.h>

namespace citronplank {

namespace {

constexpr std::size_t memoryShare = 4;              // one part in this many is for what callers can fill
constexpr std::size_t maxConnectionsLimit = 4096;   // whatever the descriptors allow
constexpr std::size_t defaultMaxDescriptors = 8192; // if the operating system has no limit

std::size_t descriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return defaultMaxDescriptors;
    return limit.rlim_cur;
}

struct Kind {
    const char* name;
    std::uint64_t HttpServerCounters::*value;
};

/// The reasons for which callers are refused or disconnected.
constexpr Kind kinds[] = {
    { "rejected", &HttpServerCounters::rejected },
    { "replaced", &HttpServerCounters::replaced },
    { "refused_for_memory", &HttpServerCounters::refusedForMemory },
    { "closed_for_memory", &HttpServerCounters::closedForMemory },
    { "timeouts", &HttpServerCounters::timeouts },
    { "bad_requests", &HttpServerCounters::badRequests },
};

} // namespace

HttpBounds HttpBounds::of(const MachineLimits& limits, bool servesCallers)
{
    auto descriptors = descriptorLimit();
    if (limits.maxDescriptors > 0)
        descriptors = std::min(descriptors, limits.maxDescriptors);
    HttpBounds bounds;
    bounds.memory = std::make_shared<MemoryBudget>(limits.memoryBytes / memoryShare);
    bounds.callerConnections = std::min(descriptors / 2, maxConnectionsLimit);
    bounds.controlConnections = std::min(descriptors / (servesCallers ? 4 : 2), maxConnectionsLimit);
    return bounds;
}

void HttpReports::update(const MemoryBudget& memory)
{
    m_counters.gauge("http_memory_bytes").set(static_cast<std::int64_t>(memory.used()));
    m_counters.gauge("http_memory_limit_bytes").set(static_cast<std::int64_t>(memory.limit()));
    for (auto& it : m_servers) {
        auto now = it.server->counters();
        m_counters.gauge("http_" + it.name + "_connections").set(static_cast<std::int64_t>(now.connections));
        std::string changes;
        for (const auto& kind : kinds) {
            auto n = now.*kind.value - it.last.*kind.value;
            if (n == 0)
                continue;
            m_counters.counter("http_" + it.name + "_" + kind.name + "_total").add(n);
            changes.append(" ").append(kind.name).append("=").append(std::to_string(n));
        }
        if (!changes.empty())
            log(LogLevel::Info, "http",
                "refused or closed: address=" + it.name + changes + " connections=" + std::to_string(now.connections)
                    + " memory_bytes=" + std::to_string(memory.used()));
        it.last = now;
    }
}

} // namespace citronplank
