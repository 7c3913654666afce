// Tests of a whole routed system that runs in this process on loopback addresses: control members, entry instances, and
// leaves, which are small HTTP servers.
//
// Guards against: configurations that are lost, reverted or not applied; leaves that still get requests while they
// drain, after they left or while their zone is out of service; entry instances that report ready too early; an
// instance that misses changes because gossip cannot reach it; a request that crashes one leaf after the other; a log
// in which the cause of a failure cannot be found by the request's id.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/Logging.h"
#include "platform/ConfigurationCodec.h"
#include "platform/ControlApi.h"
#include "platform/RequestProtocol.h"

#include <asio.hpp>
#include <asio/executor_work_guard.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

using namespace citronplank;
using nlohmann::json;

namespace {

// Consecutive systems of a process use different ports, and so do processes whose ids differ modulo `runs`.
constexpr int basePort = 23000;
constexpr int portsPerSystem = 10;
constexpr int systemsPerRun = 8; // port ranges; ports of an earlier test case may still be in use for a moment
constexpr int runs = 100;
int systemsMade = 0;
int port(int offset)
{
    return basePort + portsPerSystem * (systemsPerRun * (::getpid() % runs) + systemsMade % systemsPerRun) + offset;
}

template <typename Condition>
bool eventually(Condition condition, milliseconds limit = milliseconds(15000))
{
    for (auto end = Clock::now() + limit; Clock::now() < end; std::this_thread::sleep_for(milliseconds(20))) {
        if (condition())
            return true;
    }
    return condition();
}

/// Leaves of all services, each an HTTP server with its own address. A leaf answers with a record of 16 characters,
/// each the last one of its name, and refuses requests that are addressed to another leaf with status 421.
class Leaves {
public:
    Leaves()
        : m_work(asio::make_work_guard(m_io))
        , m_thread([this] { m_io.run(); })
    {
    }
    ~Leaves()
    {
        m_work.reset();
        m_io.stop();
        m_thread.join();
    }
    /// Starts a leaf and returns its address.
    std::string add(const std::string& name)
    {
        HttpServerSettings settings;
        settings.address = "127.0.0.1:0";
        m_servers.push_back(std::make_unique<HttpServer>(
            m_io, settings, [this, name](const HttpRequest& request, const Responder& responder) {
                ++m_counts[name];
                if (request.target.find("/slow") != std::string::npos) {
                    auto timer = std::make_shared<asio::steady_timer>(m_io, slowTime);
                    timer->async_wait([responder, timer, id = std::string(request.header("Request-Id"))](
                                          const std::error_code&) {
                        responder.answer({ 200, "", "slow", { { "Server-Stamp", "stamp" }, { "Request-Id", id } } });
                    });
                    return;
                }
                HttpResponse answer { 200, "", std::string(16, name.back()) };
                answer.headers = { { "Server-Stamp", "stamp-" + name },
                    { "Request-Id", std::string(request.header("Request-Id")) } };
                {
                    const std::lock_guard lock(m_mutex);
                    if (auto refused = m_refusedFor.find(name); refused != m_refusedFor.end()) {
                        answer = { 503, "", "" };
                        answer.headers = { { "Not-Executed", "1" }, { "Retry-After", refused->second },
                            { "Request-Id", std::string(request.header("Request-Id")) } };
                    }
                    if (m_leaving.contains(name))
                        answer.headers.emplace_back("Server-Leaving", "1");
                }
                if (request.header("Expect-Instance") != name)
                    answer = { 421, "", "" };
                responder.answer(std::move(answer));
            }));
        m_servers.back()->start();
        return m_servers.back()->address();
    }
    /// From now on the answers of the leaf say that it is leaving.
    void leave(const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        m_leaving.insert(name);
    }
    /// From now on the leaf refuses requests with this Retry-After; empty: it accepts them again.
    void refuse(const std::string& name, const std::string& retryAfter)
    {
        const std::lock_guard lock(m_mutex);
        if (retryAfter.empty())
            m_refusedFor.erase(name);
        else
            m_refusedFor[name] = retryAfter;
    }
    static constexpr milliseconds slowTime { 2000 }; // of a request whose path contains "/slow"
    /// Number of requests that the leaf received.
    int count(const std::string& name) { return m_counts[name]; }

private:
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::map<std::string, std::atomic<int>> m_counts;
    std::mutex m_mutex; // guards the members below
    std::set<std::string> m_leaving;
    std::map<std::string, std::string> m_refusedFor;
    std::thread m_thread;
};

/// A leaf that simulates a crash when it gets a request for /one/crash: it closes all sockets and listens at the same
/// address again after `downTime`.
class CrashingLeaf {
public:
    explicit CrashingLeaf(std::string name)
        : m_name(std::move(name))
        , m_work(asio::make_work_guard(m_io))
        , m_timer(m_io)
    {
        listen(0);
        m_port = m_acceptor->local_endpoint().port();
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~CrashingLeaf()
    {
        m_work.reset();
        m_io.stop();
        m_thread.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    int crashes() const { return m_crashes; }

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;
    static constexpr milliseconds downTime { 700 };

    void listen(std::uint16_t port)
    {
        m_acceptor.emplace(m_io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
        accept();
    }
    void accept()
    {
        m_acceptor->async_accept([this](std::error_code ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            m_sockets.push_back(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            serve(m_sockets.back());
            accept();
        });
    }
    void serve(const Socket& socket)
    {
        auto buf = std::make_shared<std::string>();
        asio::async_read_until(
            *socket, asio::dynamic_buffer(*buf), "\r\n\r\n", [this, socket, buf](std::error_code ec, std::size_t) {
                if (ec)
                    return;
                if (buf->find("/one/crash") != std::string::npos) {
                    crash();
                    return;
                }
                auto id = buf->substr(buf->find("Request-Id: "));
                asio::write(*socket,
                    asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nServer-Stamp: stamp-" + m_name + "\r\n"
                        + id.substr(0, id.find('\n') + 1) + "\r\nok"),
                    ec);
                serve(socket);
            });
    }
    void crash()
    {
        ++m_crashes;
        m_acceptor.reset();
        for (const auto& it : m_sockets)
            it->close();
        m_sockets.clear();
        m_timer.expires_after(downTime);
        m_timer.async_wait([this](std::error_code) { listen(m_port); });
    }

    std::string m_name;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    asio::steady_timer m_timer;
    std::optional<asio::ip::tcp::acceptor> m_acceptor;
    std::vector<Socket> m_sockets;
    std::uint16_t m_port = 0;
    std::atomic<int> m_crashes { 0 };
    std::thread m_thread;
};

/// Daemons of one system. The instance at the address 127.40.Z.N is in the zone "zoneZ"; the control members are
/// 127.40.1.1, 127.40.2.1 and 127.40.3.1. The functions that return a status return 0 if there was no response.
class System {
public:
    System()
    {
        ++systemsMade;
        std::filesystem::remove_all(m_folder);
        for (const char* ip : { "127.40.1.1", "127.40.2.1", "127.40.3.1" })
            m_control.push_back(ip);
    }
    ~System()
    {
        m_daemons.clear();
        std::filesystem::remove_all(m_folder);
    }

    /// Starts a control member or an entry instance. Without `hasReachableSeeds`, nothing listens at the addresses of
    /// its gossip seeds. `bootstrap` as in Settings.
    void start(const std::string& ip, bool isControl, bool hasReachableSeeds = true, bool bootstrap = true,
        const ConfigurationDecoder& decode = platform::decodeConfiguration)
    {
        RoutedDaemonSettings settings;
        auto& node = settings.node;
        node.name = ip;
        node.region = "region";
        node.zone = "zone" + ip.substr(7, 1);
        node.gossipAddress = ip + ":" + std::to_string(port(0));
        node.linkAddress = ip + ":" + std::to_string(port(1));
        node.openControlMembership = true;
        node.bootstrap = bootstrap;
        node.voterTarget = 3;
        node.announcementTimeout = milliseconds(20000);
        for (const auto& it : m_control) {
            node.controlMembers[it] = it + ":" + std::to_string(port(1));
            node.seeds.push_back((hasReachableSeeds ? it : std::string("127.40.9.9")) + ":" + std::to_string(port(0)));
        }
        if (isControl) {
            node.dataDir = m_folder / ip;
            std::filesystem::create_directories(node.dataDir);
            settings.controlAddress = ip + ":" + std::to_string(port(2));
        } else {
            settings.callerAddress = ip + ":" + std::to_string(port(3));
            settings.readyAddress = ip + ":" + std::to_string(port(4));
        }
        settings.metricsAddress = ip + ":" + std::to_string(port(5));
        node.adminAddress = isControl ? settings.controlAddress : settings.readyAddress;
        m_daemons[ip] = std::make_unique<RoutedDaemon>(settings, m_protocol, decode, platform::handleControlRequest);
        m_daemons[ip]->start();
    }
    void startControl()
    {
        for (const auto& it : m_control)
            start(it, true);
    }
    void stop(const std::string& ip) { m_daemons.erase(ip); }
    /// Performs a planned stop, as after SIGTERM. Blocks for the grace time.
    void stopGracefully(const std::string& ip)
    {
        m_daemons.at(ip)->stopGracefully();
        stop(ip);
    }

    /// Sends a configuration to the control member `ip`; returns the HTTP status.
    int put(const json& configuration, const std::string& ip = "127.40.1.1")
    {
        return call(
            ip, [&](httplib::Client& it) { return it.Put("/-/config", configuration.dump(), "application/json"); });
    }
    /// The configuration that the control member `ip` returns; nothing if the status is not 200.
    std::optional<json> read(const std::string& ip = "127.40.1.1")
    {
        httplib::Client client(ip, port(2));
        auto result = client.Get("/-/config");
        if (!result || result->status != 200)
            return std::nullopt;
        return json::parse(result->body);
    }
    /// Announces a leaf to the control member `ip`; returns the HTTP status.
    int announce(const std::string& name, const std::string& service, const std::string& zone,
        const std::string& address, int sequence, const char* state = "ready", const std::string& ip = "127.40.1.1")
    {
        json body { { "service", service }, { "address", address }, { "zone", zone }, { "version", "v1" },
            { "slots", 2 }, { "state", state }, { "warmup_left_ms", 0 }, { "seq", sequence }, { "born", 1 } };
        return call(
            ip, [&](httplib::Client& it) { return it.Put("/-/instances/" + name, body.dump(), "application/json"); });
    }
    /// Sends a request to the control address of `ip`; returns the HTTP status.
    template <typename Call>
    int call(const std::string& ip, Call call)
    {
        httplib::Client client(ip, port(2));
        client.set_read_timeout(std::chrono::seconds(4));
        auto result = call(client);
        return result ? result->status : 0;
    }
    bool isReady(const std::string& ip)
    {
        httplib::Client client(ip, port(4));
        auto result = client.Get("/-/ready");
        return result && result->status == 200;
    }
    /// Sends a request to the entry instance `ip`. `attempt` is appended to the request id "idPATH", so that it differs
    /// for each retry.
    std::shared_ptr<httplib::Response> query(
        const std::string& ip, const std::string& path, const std::string& attempt = "")
    {
        httplib::Client client(ip, port(3));
        auto result = client.Get(
            path, { { "Host", "h.example" }, { "Request-Id", "id" + path + attempt }, { "Deadline-Ms", "2000" } });
        auto answer = std::make_shared<httplib::Response>();
        answer->status = 0;
        if (result)
            *answer = *result;
        return answer;
    }

private:
    std::filesystem::path m_folder
        = std::filesystem::temp_directory_path() / ("citronplank-routed-" + std::to_string(::getpid()));
    std::vector<std::string> m_control;
    platform::RequestProtocol m_protocol;
    std::map<std::string, std::unique_ptr<RoutedDaemon>> m_daemons;
};

/// A configuration with the routes /list/, which gathers from the services s1 and s2, and /one/, which sends to
/// `service`.
json configurationOf(int version, const std::string& service = "single")
{
    return { { "version", version },
        { "routes",
            { { { "name", "list" }, { "host", "h.example" }, { "path_prefix", "/list/" },
                  { "route_type", "idempotent" }, { "timeout_ms", 1000 }, { "target_latency_ms", 500 },
                  { "gather", { "s1", "s2" } }, { "top_k", 2 }, { "max_attempts", 2 }, { "min_coverage", 0.5 } },
                { { "name", "one" }, { "host", "h.example" }, { "path_prefix", "/one/" },
                    { "route_type", "idempotent" }, { "timeout_ms", 1000 }, { "target_latency_ms", 500 },
                    { "service", service }, { "max_attempts", 2 } } } },
        { "services",
            { { { "name", "s1" }, { "max_connections", 25 } }, { { "name", "s2" }, { "max_connections", 25 } },
                { { "name", "single" }, { "max_connections", 25 } },
                { { "name", "other" }, { "max_connections", 25 } } } } };
}

const std::string entry = "127.40.1.2";

} // namespace

// Guards against an entry instance that reports ready before it has a configuration and leaves, a configuration that is
// not applied or replaced by an older one, and requests to a leaf that drains, has left or is in a zone out of service.
TEST_CASE("a change of the configuration, of a zone or of a leaf takes effect on the requests of an entry instance")
{
    Leaves leaves;
    System system;
    system.startControl();
    system.start(entry, false);
    CHECK_FALSE(system.isReady(entry));
    CHECK(system.query(entry, "/one/x")->status == 503);
    REQUIRE(eventually([&] { return system.put(configurationOf(3)) == 200; }));
    std::map<std::string, std::string> addresses;
    for (const auto& [name, service, zone] :
        std::vector<std::array<std::string, 3>> { { "a", "s1", "zone1" }, { "b", "s2", "zone2" },
            { "c", "single", "zone1" }, { "d", "single", "zone2" }, { "e", "other", "zone1" } }) {
        addresses[name] = leaves.add(name);
        CHECK(system.announce(name, service, zone, addresses[name], 1) == 200);
    }
    REQUIRE(eventually([&] { return system.isReady(entry); }));

    // A merged answer has the records in descending order and the signatures of both parts.
    auto merged = system.query(entry, "/list/x");
    REQUIRE(merged->status == 200);
    CHECK(merged->body == std::string(16, 'b') + std::string(16, 'a'));
    CHECK(merged->get_header_value("Missing-Parts") == "0");
    CHECK(merged->get_header_value("Part-Stamps").find("stamp-a") != std::string::npos);
    CHECK(system.query(entry, "/none/x")->status == 404);
    httplib::Client metrics(entry, port(5));
    CHECK(metrics.Get("/metrics")->body.find("citronplank_route_answers_merged_total 1") != std::string::npos);
    CHECK(metrics.Get("/dump")->body.find("configuration_version 3") != std::string::npos);

    // The highest version wins; equal and lower versions are accepted without effect; invalid ones are refused.
    CHECK(system.put(configurationOf(5, "other"), "127.40.2.1") == 200);
    CHECK(system.put(configurationOf(4), "127.40.3.1") == 200);
    CHECK(system.put(configurationOf(5, "single"), "127.40.3.1") == 200);
    CHECK(system.put(configurationOf(6, "nowhere")) == 400);
    for (const char* ip : { "127.40.1.1", "127.40.2.1", "127.40.3.1" }) {
        auto stored = system.read(ip);
        REQUIRE(stored);
        CHECK(*stored == configurationOf(5, "other"));
    }
    CHECK(eventually([&] { return system.query(entry, "/one/x")->body == std::string(16, 'e'); }, milliseconds(3000)));
    CHECK(system.put(configurationOf(7)) == 200);
    CHECK(eventually([&] { return system.query(entry, "/one/x")->body == std::string(16, 'c'); }, milliseconds(3000)));

    // The entry instance prefers leaves of its own zone. A zone out of service gets no requests until it is back in
    // service.
    CHECK(system.call("127.40.2.1", [](httplib::Client& it) { return it.Post("/-/evacuation/zone1", "", ""); }) == 200);
    CHECK(eventually([&] { return system.query(entry, "/one/x")->body == std::string(16, 'd'); }, milliseconds(5000)));
    CHECK(system.call("127.40.3.1", [](httplib::Client& it) { return it.Delete("/-/evacuation/zone1"); }) == 200);
    CHECK(eventually([&] { return system.query(entry, "/one/x")->body == std::string(16, 'c'); }, milliseconds(5000)));

    // A leaf that drains or leaves gets no requests once its notice is acknowledged.
    CHECK(system.announce("c", "single", "zone1", addresses["c"], 2, "draining", "127.40.3.1") == 200);
    CHECK(system.query(entry, "/one/x")->body == std::string(16, 'd'));
    CHECK(system.call("127.40.1.1", [](httplib::Client& it) { return it.Delete("/-/instances/d"); }) == 200);
    auto refused = system.query(entry, "/one/x");
    CHECK(refused->status == 503);
    CHECK(refused->has_header("Retry-After"));

    // A leaf that took the address of a leaf that is still announced refuses its requests, so the part is missing.
    CHECK(system.announce("b2", "s2", "zone2", addresses["a"], 1) == 200);
    CHECK(system.announce("b", "s2", "zone2", addresses["b"], 2, "draining") == 200);
    auto partial = system.query(entry, "/list/x");
    CHECK(partial->status == 200);
    CHECK(partial->get_header_value("Missing-Parts") == "1");
}

// Guards against an accepted configuration that is not on disk, and against a member without data that is counted as a
// replica of the configuration.
TEST_CASE("an accepted configuration survives a restart of all control members and the loss of one member's data")
{
    System system;
    system.startControl();
    REQUIRE(eventually([&] { return system.put(configurationOf(3)) == 200; }));
    for (const char* ip : { "127.40.1.1", "127.40.2.1", "127.40.3.1" })
        system.stop(ip);
    system.startControl();
    REQUIRE(eventually([&] { return system.read().has_value(); }));
    CHECK(*system.read() == configurationOf(3));
    // A member that restarts with an empty data folder replaces its former incarnation. After that, one more member may
    // fail.
    system.stop("127.40.2.1");
    std::filesystem::remove_all(
        std::filesystem::temp_directory_path() / ("citronplank-routed-" + std::to_string(::getpid())) / "127.40.2.1");
    system.start("127.40.2.1", true, true, false);
    REQUIRE(eventually([&] { return system.put(configurationOf(9), "127.40.2.1") == 200; }));
    std::this_thread::sleep_for(milliseconds(4000)); // time to repair the membership
    system.stop("127.40.3.1");
    REQUIRE(eventually([&] { return system.read("127.40.2.1").has_value(); }));
    CHECK(*system.read("127.40.2.1") == configurationOf(9));
}

// Guards against a configuration of a size in use that the control address refuses, and against one beyond the limit
// that is acknowledged.
TEST_CASE("a configuration of 5,000 routes is stored, and one over the limit is refused when it is sent")
{
    System system;
    system.startControl();
    auto large = configurationOf(1);
    auto route = large.at("routes").at(0);
    for (int i = 0; i < 5000; ++i) {
        route["name"] = "additional-route-" + std::to_string(i);
        route["path_prefix"] = "/additional/" + std::to_string(i) + "/";
        large["routes"].push_back(route);
    }
    REQUIRE(eventually([&] { return system.put(large) == 200; }));
    auto tooLarge = configurationOf(2);
    tooLarge["comment"] = std::string(maxDocumentBytes, 'x');
    CHECK(system.put(tooLarge) == 413);
    REQUIRE(eventually([&] { return system.read().has_value(); }));
    CHECK(*system.read() == large);
}

// Guards against an entry instance without a configuration because it would get one only from members known to gossip.
TEST_CASE("an entry instance that gossip cannot reach still gets the configuration")
{
    Leaves leaves;
    System system;
    system.startControl();
    system.start(entry, false, false);
    REQUIRE(eventually([&] { return system.put(configurationOf(3)) == 200; }));
    CHECK(eventually([&] { return system.query(entry, "/none/x")->status == 404; }, milliseconds(4000)));
}

// Guards against requests of operators and leaves that a control member reads late, after their callers have asked
// another member and then for something else.
TEST_CASE("a control member that was suspended does not carry out the requests of callers that have left meanwhile")
{
    Leaves leaves;
    System system;
    std::atomic<bool> isSuspended { false };
    const std::string suspended = "127.40.3.1";
    system.start("127.40.1.1", true);
    system.start("127.40.2.1", true);
    system.start(suspended, true, true, true, [&](const std::string& text) {
        while (isSuspended) // keeps the only worker thread of the member
            std::this_thread::sleep_for(milliseconds(10));
        return platform::decodeConfiguration(text);
    });
    system.start(entry, false);
    REQUIRE(eventually([&] { return system.put(configurationOf(3)) == 200; }));
    auto a = leaves.add("a");
    auto b = leaves.add("b");
    REQUIRE(eventually([&] { return system.announce("a", "single", "zone1", a, 1) == 200; }));
    REQUIRE(eventually([&] { return system.announce("b", "single", "zone2", b, 1) == 200; }));
    REQUIRE(eventually([&] { return system.query(entry, "/one/x")->body == std::string(16, 'a'); }));
    auto orderZone1Out = [&](const std::string& ip) {
        return system.call(ip, [](httplib::Client& it) { return it.Post("/-/evacuation/zone1", "", ""); }) == 200;
    };
    REQUIRE(eventually([&] { return orderZone1Out("127.40.1.1"); }));

    isSuspended = true;
    std::thread blocking([&] { system.put(configurationOf(3), suspended); });
    std::this_thread::sleep_for(milliseconds(200));
    asio::io_context io;
    for (const char* line : { "DELETE /-/evacuation/zone1", "DELETE /-/instances/b" }) {
        asio::ip::tcp::socket caller(io);
        caller.connect({ asio::ip::make_address(suspended), static_cast<std::uint16_t>(port(2)) });
        asio::write(caller, asio::buffer(line + std::string(" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")));
    }
    // Some orders fail while another leader is elected; operators repeat them.
    REQUIRE(eventually([&] {
        return system.call("127.40.2.1", [](httplib::Client& it) { return it.Delete("/-/evacuation/zone1"); }) == 200;
    }));
    REQUIRE(eventually([&] { return orderZone1Out("127.40.1.1"); }));
    isSuspended = false;
    blocking.join();
    std::this_thread::sleep_for(milliseconds(1500));
    CHECK(system.query(entry, "/one/y")->body == std::string(16, 'b'));
}

// Guards against requests to a leaf after its answers have said that it is leaving or wants none for a while.
TEST_CASE("an entry instance sends nothing more to a leaf that leaves or wants no requests, by what its answers say")
{
    Leaves leaves;
    System system;
    system.startControl();
    system.start(entry, false);
    REQUIRE(eventually([&] { return system.put(configurationOf(3)) == 200; }));
    int sequence = 1;
    std::map<std::string, std::string> addresses;
    auto announce = [&](const std::string& name, const std::string& service, const std::string& zone) {
        if (addresses[name].empty())
            addresses[name] = leaves.add(name);
        return system.announce(name, service, zone, addresses[name], ++sequence) == 200;
    };
    REQUIRE(eventually([&] { return announce("c", "single", "zone1"); }));
    REQUIRE(eventually([&] { return announce("d", "single", "zone2"); }));
    REQUIRE(eventually([&] { return system.query(entry, "/one/x")->body == std::string(16, 'c'); }));

    leaves.refuse("c", "4.5");
    CHECK(system.query(entry, "/one/p")->body == std::string(16, 'd'));
    auto refused = leaves.count("c");
    leaves.refuse("c", "");
    for (auto end = Clock::now() + milliseconds(4000); Clock::now() < end;) {
        system.query(entry, "/one/p");
        std::this_thread::sleep_for(milliseconds(50));
    }
    CHECK(leaves.count("c") == refused);
    CHECK(eventually([&] { return system.query(entry, "/one/x")->body == std::string(16, 'c'); }, milliseconds(4000)));

    leaves.leave("c");
    CHECK(system.query(entry, "/one/l")->body == std::string(16, 'c')); // the answer itself is passed on
    auto left = leaves.count("c");
    for (int i = 0; i < 20; ++i) {
        CHECK(announce("c", "single", "zone1")); // goes on as if it stayed
        CHECK(system.query(entry, "/one/l" + std::to_string(i))->body == std::string(16, 'd'));
    }
    CHECK(leaves.count("c") == left);

    // Without another leaf, the caller is refused at once with the time of the pause.
    leaves.refuse("d", "60");
    system.query(entry, "/one/q");
    auto last = system.query(entry, "/one/r");
    CHECK(last->status == 503);
    CHECK(std::stod("0" + last->get_header_value("Retry-After")) > 50);
}

// Gossip needs seconds to spread a restarted instance to 74 members. Guards against an instance that misses the notice
// of a draining leaf during this time.
TEST_CASE("an entry instance that is unknown to gossip learns of a draining leaf before the notice is confirmed")
{
    Leaves leaves;
    System system;
    system.startControl();
    REQUIRE(eventually([&] { return system.put(configurationOf(3)) == 200; }));
    auto address = leaves.add("c");
    CHECK(system.announce("c", "single", "zone1", address, 1) == 200);
    system.start(entry, false, false);
    REQUIRE(eventually([&] { return system.query(entry, "/one/x")->status == 200; }));
    CHECK(system.announce("c", "single", "zone1", address, 2, "draining", "127.40.3.1") == 200);
    CHECK(system.query(entry, "/one/x")->status == 503);
}

namespace {

/// Captures the lines logged during its lifetime.
class LogCapture {
public:
    LogCapture()
    {
        startLogging(LogLevel::Info, [this](std::string_view line) {
            const std::lock_guard lock(m_mutex);
            m_lines.emplace_back(line);
        });
    }
    ~LogCapture() { stopLogging(); }
    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;

    /// The captured lines that contain both texts, each with a newline.
    std::string grep(const std::string& first, const std::string& second = "")
    {
        const std::lock_guard lock(m_mutex);
        std::string found;
        for (const auto& it : m_lines) {
            if (it.find(first) != std::string::npos && it.find(second) != std::string::npos)
                found += it + "\n";
        }
        return found;
    }

private:
    std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

// Guards against a request that crashes one leaf after the other because its caller resends it, to any entry instance.
TEST_CASE("a request that crashes leaves is refused by all entry instances after three attempts, and others are served")
{
    LogCapture logged;
    CrashingLeaf first("a");
    CrashingLeaf second("b");
    System system;
    system.startControl();
    const std::string otherEntry = "127.40.2.2";
    system.start(entry, false);
    system.start(otherEntry, false);
    REQUIRE(eventually([&] { return system.put(configurationOf(3)) == 200; }));
    CHECK(system.announce("a", "single", "zone1", first.address(), 1) == 200);
    CHECK(system.announce("b", "single", "zone2", second.address(), 1) == 200);
    REQUIRE(eventually([&] { return system.query(entry, "/one/x")->status == 200; }));
    REQUIRE(eventually([&] { return system.query(otherEntry, "/one/x")->status == 200; }));
    for (int send = 0; send < 3; ++send) {
        auto crashed = system.query(send % 2 == 0 ? entry : otherEntry, "/one/crash", std::to_string(send));
        CHECK(crashed->status != 200);
        CHECK(eventually([&] { return system.query(entry, "/one/x")->status == 200; }));
        CHECK(eventually([&] { return system.query(otherEntry, "/one/x")->status == 200; }));
    }
    auto crashes = first.crashes() + second.crashes();
    CHECK(crashes >= 3);
    INFO(logged.grep("crash:") << logged.grep("leaf:") << logged.grep("members:"));
    auto noticesReceived = [&] {
        auto lines = logged.grep("crash:", "reported by=");
        return std::count(lines.begin(), lines.end(), '\n');
    };
    auto noticesBefore = noticesReceived();
    for (int send = 3; send < 6; ++send) {
        for (const auto& it : { entry, otherEntry }) {
            auto refused = system.query(it, "/one/crash", std::to_string(send));
            CHECK(refused->status == 503);
            CHECK(refused->body.find("crash_suspect") != std::string::npos);
        }
    }
    CHECK(first.crashes() + second.crashes() == crashes);
    CHECK(system.query(entry, "/one/x")->status == 200);

    // An entry instance that starts later gets the crash notices too.
    const std::string lateEntry = "127.40.3.2";
    system.start(lateEntry, false);
    REQUIRE(eventually([&] { return system.query(lateEntry, "/one/x")->status == 200; }));
    CHECK(eventually([&] { return noticesReceived() >= noticesBefore + 3; }, milliseconds(5000)));
    CHECK(system.query(lateEntry, "/one/crash", "late")->status == 503);
    CHECK(first.crashes() + second.crashes() == crashes);
}

// Searches the log as docs/OPERATIONS.md describes, for failures that the test causes.
TEST_CASE("the cause of a failed request can be found in the log by the id of the request")
{
    LogCapture logged;
    CrashingLeaf crashing("c");
    Leaves leaves;
    System system;
    system.startControl();
    system.start(entry, false);
    REQUIRE(eventually([&] { return system.put(configurationOf(3)) == 200; }));
    auto address = leaves.add("a");
    CHECK(system.announce("a", "s1", "zone1", address, 1) == 200);
    CHECK(system.announce("b", "s2", "zone1", address, 1) == 200); // at this address is leaf a
    CHECK(system.announce("c", "single", "zone1", crashing.address(), 1) == 200);
    REQUIRE(eventually([&] { return system.isReady(entry); }));

    INFO(logged.grep("query:") << logged.grep("leaf:"));
    // A partial answer without one shard: the query line names the shard, and the leaf line with the same id states the
    // outcome.
    REQUIRE(system.query(entry, "/list/partial")->get_header_value("Missing-Parts") == "1");
    CHECK(eventually([&] { return contains(logged.grep("query: request id=id/list/partial"), "missing=s2"); }));
    auto attempt = logged.grep("leaf: attempt id=id/list/partial", "service=s2");
    CHECK(contains(attempt, "outcome=wrong_leaf"));

    // No answer, and the request may have run: the leaf line states that the attempt was lost, and the crash line that
    // the leaf terminated.
    CHECK(system.query(entry, "/one/crash")->status != 200);
    CHECK(eventually([&] { return contains(logged.grep("query: request id=id/one/crash"), "outcome=error"); }));
    CHECK(contains(logged.grep("leaf: attempt id=id/one/crash", "leaf=c"), "outcome=lost"));
    CHECK(eventually([&] { return contains(logged.grep("crash: request id=id/one/crash"), "leaf=c terminated"); }));

    // Refused at the entry instance without an attempt: the line states the reason and the configuration version.
    CHECK(system.announce("c", "single", "zone1", crashing.address(), 2, "draining") == 200);
    REQUIRE(eventually([&] { return system.query(entry, "/one/refused")->status == 503; }));
    CHECK(eventually([&] { return contains(logged.grep("query: request id=id/one/refused"), "no_replica"); }));
    CHECK(contains(logged.grep("query: request id=id/one/refused"), "config=3"));
    CHECK(logged.grep("leaf: attempt id=id/one/refused").empty());
}

// Guards against a list of customers that an instance loses on one of the ways by which it learns a configuration: an
// empty one would open all routes. The padding makes the text larger than one message without compression.
TEST_CASE("requests need keys whether the configuration comes from a caller, a peer or the disk, large or small")
{
    LogCapture logged;
    Leaves leaves;
    System system;
    system.startControl();
    system.start(entry, false);
    auto address = leaves.add("c");
    int version = 0;
    int sequence = 0;
    auto check = [&](const char* way, std::size_t customers) {
        CAPTURE(way);
        CAPTURE(customers);
        REQUIRE(eventually([&] { return system.announce("c", "single", "zone1", address, ++sequence) == 200; }));
        auto used = "config: document=" + std::to_string(version) + " in use";
        CHECK(eventually([&] { return contains(logged.grep(used), " customers=" + std::to_string(customers)); }));
        CHECK(eventually([&] { return system.query(entry, "/one/x")->status == 401; }));
        CHECK(leaves.count("c") == 0);
    };
    for (std::size_t padding : { 0, 100000 }) {
        for (std::size_t customers : { 1, 0 }) {
            auto configuration = configurationOf(++version);
            configuration["comment"] = std::string(padding, 'x');
            configuration["tenants"] = json::array();
            if (customers > 0)
                configuration["tenants"].push_back({ { "name", "c" }, { "api_keys", { "k" } } });
            REQUIRE(eventually([&] { return system.put(configuration) == 200; }));
            check("change", customers);
            system.stop(entry);
            system.start(entry, false);
            check("peer", customers);
        }
        system.stop(entry);
        for (const char* ip : { "127.40.1.1", "127.40.2.1", "127.40.3.1" })
            system.stop(ip);
        system.startControl();
        system.start(entry, false);
        check("disk", 0);
    }
    CHECK(contains(logged.grep("config: document=1"), "source="));
    // Only an absent list opens the routes, and the log says so.
    REQUIRE(eventually([&] { return system.put(configurationOf(++version)) == 200; }));
    CHECK(eventually([&] { return system.query(entry, "/one/x")->status == 200; }));
    auto line = logged.grep("config: document=" + std::to_string(version));
    CHECK(contains(line, "customers=absent"));
    CHECK(contains(line, "requests need no key any more"));
}

// Guards against a process that ends because of an error that its authors did not expect.
TEST_CASE(
    "an entry instance survives an unexpected exception while it applies a configuration, and applies the next one")
{
    System system;
    system.startControl();
    system.start(entry, false, true, true, [](const std::string& text) {
        auto configuration = platform::decodeConfiguration(text);
        if (configuration.version == 4)
            throw std::logic_error("unexpected");
        return configuration;
    });
    auto serves = [&](const std::string& prefix) { return system.query(entry, prefix + "x")->status == 503; };
    REQUIRE(eventually([&] { return system.put(configurationOf(3)) == 200; }));
    REQUIRE(eventually([&] { return serves("/one/"); }));
    REQUIRE(eventually([&] { return system.put(configurationOf(4)) == 200; }));
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(serves("/one/"));
    auto next = configurationOf(5);
    next["routes"][1]["path_prefix"] = "/two/";
    REQUIRE(eventually([&] { return system.put(next) == 200; }));
    CHECK(eventually([&] { return serves("/two/"); }));
}

// Guards against requests that a stopping instance accepts and then cuts off. Those that must not run twice are never
// cut off, whenever they arrive during the grace time and whether their connection is new.
TEST_CASE("a planned stop cuts off no request that must not run twice, and refuses truthfully those that come too late")
{
    Leaves leaves;
    System system;
    system.startControl();
    system.start(entry, false);
    auto configuration = configurationOf(3);
    configuration["routes"][1]["route_type"] = "non_idempotent";
    configuration["routes"][1]["timeout_ms"] = 15000;
    REQUIRE(eventually([&] { return system.put(configuration) == 200; }));
    auto address = leaves.add("leaf");
    REQUIRE(eventually([&] { return system.announce("leaf", "single", "zone1", address, 1) == 200; }));
    REQUIRE(eventually([&] { return system.query(entry, "/one/x")->status == 200; }));
    auto before = leaves.count("leaf");

    struct Caller {
        int status = 0;
        std::thread thread;
    };
    constexpr std::size_t tenths = 10;
    std::vector<Caller> callers(2 * tenths);
    auto start = Clock::now();
    for (std::size_t i = 0; i < callers.size(); ++i) {
        callers[i].thread = std::thread([&, i] {
            httplib::Client client(entry, port(3));
            client.set_read_timeout(std::chrono::seconds(10));
            auto headers = [](const std::string& id) {
                return httplib::Headers { { "Host", "h.example" }, { "Request-Id", id }, { "Deadline-Ms", "15000" } };
            };
            bool isKept = i % 2 == 1;
            client.set_keep_alive(isKept);
            if (isKept)
                client.Get("/one/open", headers("open" + std::to_string(i)));
            std::this_thread::sleep_until(start + milliseconds(600 * static_cast<int>(i) / 2 + 100));
            auto result = client.Post("/one/slow", headers("slow" + std::to_string(i)), "x", "text/plain");
            callers[i].status = result ? result->status : 0;
        });
    }
    std::this_thread::sleep_until(start + milliseconds(100));
    system.stopGracefully(entry);
    int served = 0;
    for (auto& it : callers) {
        it.thread.join();
        served += it.status == 200 ? 1 : 0;
        // 0: the connection was refused or closed before the request was read.
        CHECK((it.status == 200 || it.status == 503 || it.status == 0));
    }
    CHECK(served > 0);
    CHECK(leaves.count("leaf") - before
        == served + static_cast<int>(tenths)); // the kept connections were opened by one request each
}
