// System under test of bench_RoutedSoak. Instances run as processes of the platform's program. Leaves, and the relays
// in front of leaves and instances, run on one thread of this process together with the callers, so that each request
// is observed where it is sent, executed and answered.
#pragma once

#include "standins/HttpClient.h"
#include "standins/relay/Relay.h"
#include "tests/ProcessHarness.h"
#include "tests/SoakNotices.h"

#include <random>
#include <set>

namespace citronplank::testing {

using SoakClock = std::chrono::steady_clock;
using SoakTime = SoakClock::time_point;
using std::chrono::milliseconds;

/// Time spans in which targets were disrupted. A target is the name of an instance, "link of LEAF", or `controlMembers`
/// for all control members as one group. "faults of TARGET" holds the disruptions that are not planned stops or
/// reloads. Not thread safe.
class Disruptions {
public:
    static constexpr const char* controlMembers = "control members";

    /// Begins a disruption of `target`, which lasts until end().
    void begin(const std::string& target) { m_spans[target].push_back({ SoakClock::now(), SoakTime::max() }); }
    /// Ends all current disruptions of `target`.
    void end(const std::string& target)
    {
        for (auto& it : m_spans[target])
            it.until = std::min(it.until, SoakClock::now());
    }
    void add(const std::string& target, SoakTime from, SoakTime until) { m_spans[target].push_back({ from, until }); }
    /// Whether no disruption of `target` overlaps the time span.
    bool isUndisrupted(const std::string& target, SoakTime from, SoakTime until) const;

private:
    struct Span {
        SoakTime from;
        SoakTime until;
    };
    std::map<std::string, std::vector<Span>> m_spans;
};

/// A stand-in leaf of this process, and the relay through which instances reach it.
struct SoakLeaf {
    std::string name;
    std::string service;
    std::string zone;
    std::string address; // listening address
    std::unique_ptr<standins::Link> link;
    std::string announcedAddress; // address of the link
    std::uint64_t boot = 0;       // start time in milliseconds since the Unix epoch
    std::uint64_t sequence = 0;   // sequence number of the last announcement since `boot`
    bool isUp = false;
    bool isSilent = false;             // executes requests but does not respond
    bool isLeaving = false;            // says so in its answers, but not in its announcements
    std::optional<milliseconds> pause; // refuses all requests and wants none for this time
    std::optional<SoakTime> drainAcknowledgedAt;
    bool isDraining = false;
    std::unique_ptr<standins::HttpServer> server;
    std::vector<std::weak_ptr<standins::HttpSession>> sessions;
};

/// Execution of a request by a leaf.
struct SoakExecution {
    std::string leaf;
    std::string service;
    std::string zone;
    SoakTime at;
    std::optional<SoakClock::duration> afterDrain; // time since the draining announcement was acknowledged
};

/// An instance process. Entry instances have a relay in front of their caller port.
struct SoakInstance {
    std::string ip; // also the name of the instance
    std::string zone;
    bool isControl = false;
    std::string callerLinkAddress;         // address of the link, which callers use; empty for control members
    std::unique_ptr<standins::Link> link;  // null for control members
    std::unique_ptr<ChildProcess> process; // null while it is not running
    std::optional<SoakTime> stopRequestedAt;
};

/// 3 zones, each with a control member, an entry instance and a leaf of each unsharded service, and 2 leaves per shard
/// in different zones. Not thread safe: everything runs on `io`, which must outlive this object.
class SoakSystem {
public:
    /// Opens the relays, but starts no instance or leaf. Uses the ports from `portBase` on, of addresses from
    /// 127.60.0.0 to 127.63.255.255, and replaces the folder "run-soak-SEED" beside the program. Throws
    /// asio::system_error if an address of a relay is in use.
    SoakSystem(asio::io_context& io, std::uint64_t seed, int portBase);
    SoakSystem(const SoakSystem&) = delete;
    SoakSystem& operator=(const SoakSystem&) = delete;

    // Instances
    /// Names of the control members, or else of the entry instances.
    std::vector<std::string> instanceNames(bool isControl) const;
    /// Precondition for this and the other functions with an instance name: the instance exists.
    SoakInstance& instance(const std::string& name) { return m_instances.at(name); }
    /// Starts an instance that is not running, with the data folder of its last run.
    void startInstance(const std::string& name);
    /// Kills an instance with SIGKILL and waits for its exit; has no effect if it is not running.
    void killInstance(const std::string& name);
    std::filesystem::path dataFolder(const std::string& name) const { return m_folder / ("data-" + name); }
    const std::filesystem::path& folder() const { return m_folder; }
    /// Returns a description of each instance that has exited unexpectedly since the last call.
    std::vector<std::string> takeUnexpectedExits();

    // Leaves
    std::vector<std::unique_ptr<SoakLeaf>>& leaves() { return m_leaves; }
    /// Starts a leaf that is down and announces it regularly until it crashes. Throws asio::system_error if its address
    /// is in use.
    void startLeaf(SoakLeaf&);
    /// Closes the listening socket of a leaf that is up and resets its connections.
    void crashLeaf(SoakLeaf&);
    /// Sends an announcement to a random control member; `done` is called with true if it was acknowledged.
    void announce(SoakLeaf&, const std::function<void(bool)>& done);

    // Control requests and configuration
    /// Sends a request to a random control member, on a connection of its own; `done` gets the result and the name of
    /// the member, also after a timeout or a connection error.
    void sendControlRequest(const std::string& method, const std::string& path, const std::string& body,
        std::function<void(standins::HttpResult, const std::string& member)> done);
    /// Configuration of this version as JSON, as sent to control members.
    std::string configuration(int version) const;
    /// Service of the route /one/ in a version of the configuration.
    static std::string serviceOf(int version) { return version % 2 == 0 ? "one-a" : "one-b"; }

    /// Services that the gather route /list/ queries, one for each shard.
    static std::vector<std::string> shards() { return { "s0", "s1", "s2", "s3" }; }
    static constexpr std::size_t topRecords = 4; // records in a merged response
    static constexpr milliseconds routeTimeout { 800 };
    static constexpr double minCoverage = 0.5; // fraction of the shards that a merged response must contain
    static constexpr std::size_t recordBytes = 16;
    static constexpr std::size_t recordsPerResponse = 40; // so many that instances relay parts of other zones
    /// Response body of each leaf of a service to the request `id`.
    static std::string bodyOf(const std::string& service, const std::string& id);
    /// Value by which a leaf signs its response to a request (header Server-Stamp).
    static std::string signatureOf(const std::string& leaf, const std::string& id) { return leaf + "/" + id; }

    /// Executions by request id, in the order in which they began.
    std::map<std::string, std::vector<SoakExecution>>& executions() { return m_executions; }
    Disruptions& disruptions() { return m_disruptions; }
    SoakNotices& notices() { return m_notices; }
    /// Violations of the bounds of SoakNotices since the last call.
    std::vector<std::string> takeNoticeViolations() { return std::exchange(m_noticeViolations, {}); }
    /// Returns a pseudo-random number less than `n`, which must be positive.
    std::uint64_t randomBelow(std::uint64_t n) { return m_random() % n; }
    /// Runs `task` on `io` after a delay.
    void runAfter(milliseconds delay, std::function<void()> task);

private:
    void handleRequest(SoakLeaf&, const standins::HttpMessage&, const std::shared_ptr<standins::HttpSession>&);
    void announceRegularly(SoakLeaf&);

    asio::io_context& m_io;
    std::mt19937_64 m_random;
    int m_port; // first port
    std::filesystem::path m_folder;
    std::map<std::string, SoakInstance> m_instances; // by name
    std::vector<std::unique_ptr<SoakLeaf>> m_leaves;
    std::vector<std::unique_ptr<standins::HttpServer>> m_closedServers; // kept alive for pending accept handlers
    std::map<std::string, std::vector<SoakExecution>> m_executions;     // by request ID
    Disruptions m_disruptions;
    std::vector<std::string> m_noticeViolations;
    SoakNotices m_notices { [this](const std::string& entry, const std::string& leaf, SoakTime from, SoakTime until) {
                               return m_disruptions.isUndisrupted(entry, from, until)
                                   && m_disruptions.isUndisrupted("faults of " + entry, from, until)
                                   && m_disruptions.isUndisrupted("link of " + leaf, from, until);
                           },
        [this](const std::string& violation) { m_noticeViolations.push_back(violation); } };
};

} // namespace citronplank::testing
