// A small system for bench_RoutedSoak: instances of the platform's program as processes; leaves, callers and relays
// between them on one thread of this process, so that each request is seen where it is sent, run and answered.
#pragma once

#include "standins/HttpClient.h"
#include "standins/relay/Relay.h"
#include "tests/ProcessHarness.h"

#include <random>
#include <set>

namespace citronplank::testing {

using SoakClock = std::chrono::steady_clock;
using SoakTime = SoakClock::time_point;
using std::chrono::milliseconds;

/// When instances, links and the core (under its own name) were disrupted.
class Disruptions {
public:
    static constexpr const char* core = "core";

    void begin(const std::string& who) { m_spans[who].push_back({ SoakClock::now(), SoakTime::max() }); }
    void end(const std::string& who)
    {
        for (auto& it : m_spans[who])
            it.until = std::min(it.until, SoakClock::now());
    }
    void add(const std::string& who, SoakTime from, SoakTime until) { m_spans[who].push_back({ from, until }); }
    bool isCalm(const std::string& who, SoakTime from, SoakTime until) const;

private:
    struct Span {
        SoakTime from;
        SoakTime until;
    };
    std::map<std::string, std::vector<Span>> m_spans;
};

struct SoakLeaf {
    std::string name;
    std::string service;
    std::string zone;
    std::string address; // where it listens
    std::unique_ptr<standins::Link> link;
    std::string announced; // address of the link
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
    bool isUp = false;
    bool isSilent = false; // takes requests and answers none
    std::optional<SoakTime> drainAcknowledgedAt;
    bool isDraining = false;
    std::unique_ptr<standins::HttpServer> server;
    std::vector<std::weak_ptr<standins::HttpSession>> sessions;
};

/// A request that a leaf began to run.
struct SoakRun {
    std::string leaf;
    std::string service;
    std::string zone;
    SoakTime at;
    std::optional<SoakClock::duration> afterDrain; // since the leaf's notice was acknowledged
};

struct SoakInstance {
    std::string ip;
    std::string zone;
    bool isControl = false;
    std::string callerLink; // address that callers use; entries only
    std::unique_ptr<standins::Link> link;
    std::unique_ptr<ChildProcess> process; // null while it is down
    std::optional<SoakTime> stopAskedAt;
};

/// Not thread safe; everything runs on `io`, which outlives this object.
class SoakSystem {
public:
    SoakSystem(asio::io_context& io, std::uint64_t seed, int portBase);
    SoakSystem(const SoakSystem&) = delete;
    SoakSystem& operator=(const SoakSystem&) = delete;

    // Instances
    std::vector<std::string> names(bool control) const;
    SoakInstance& instance(const std::string& name) { return m_instances.at(name); }
    void start(const std::string& name);
    void kill(const std::string& name);
    std::filesystem::path dataFolder(const std::string& name) const { return m_folder / ("data-" + name); }
    const std::filesystem::path& folder() const { return m_folder; }
    /// Instances that ended by themselves since the last call.
    std::vector<std::string> takeEnded();

    // Leaves
    std::vector<std::unique_ptr<SoakLeaf>>& leaves() { return m_leaves; }
    void startLeaf(SoakLeaf&);
    void crashLeaf(SoakLeaf&);
    /// Sends the announcement of a leaf to one control member until `done`: with true once it is acknowledged.
    void announce(SoakLeaf&, const std::function<void(bool)>& done);

    // Calls to control members and callers' requests
    void control(const std::string& method, const std::string& path, const std::string& body,
        std::function<void(standins::HttpResult, const std::string& member)> done);
    std::string configuration(int version) const;
    /// The service that the route /one/ has in a version.
    static std::string serviceOf(int version) { return version % 2 == 0 ? "one-a" : "one-b"; }

    static std::vector<std::string> shards() { return { "s0", "s1", "s2", "s3" }; }
    static constexpr std::size_t topRecords = 4;
    static constexpr milliseconds routeTimeout { 800 };
    static constexpr double minCoverage = 0.5;
    static constexpr std::size_t recordBytes = 16;
    /// What a leaf of a service answers to a request.
    static std::string bodyOf(const std::string& service, const std::string& id);
    static std::string proofOf(const std::string& leaf, const std::string& id) { return leaf + "/" + id; }

    std::map<std::string, std::vector<SoakRun>>& runs() { return m_runs; }
    Disruptions& disruptions() { return m_disruptions; }
    std::uint64_t below(std::uint64_t n) { return m_random() % n; }
    /// Runs `task` after a delay, on `io`.
    void after(milliseconds delay, std::function<void()> task);

private:
    void handle(SoakLeaf&, const standins::HttpMessage&, const std::shared_ptr<standins::HttpSession>&);
    void announceRegularly(SoakLeaf&);

    asio::io_context& m_io;
    std::mt19937_64 m_random;
    int m_port;
    std::filesystem::path m_folder;
    std::map<std::string, SoakInstance> m_instances;
    std::vector<std::unique_ptr<SoakLeaf>> m_leaves;
    std::vector<std::unique_ptr<standins::HttpServer>> m_closedServers; // one may have accepted its last connection
    std::map<std::string, std::vector<SoakRun>> m_runs;                 // by request id
    Disruptions m_disruptions;
};

} // namespace citronplank::testing
