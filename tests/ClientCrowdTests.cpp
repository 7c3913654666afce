// Crowds of misbehaving clients against real processes on loopback: a control member, an entry instance, and a leaf in
// this process. Each case is one ctest test, run alone.
//
// Guards against: a process that terminates for lack of memory or descriptors, keeps the memory of a crowd afterwards,
// or no longer answers an ordinary request, because clients that send too much, too slowly or without an end are not
// bounded. The bounds follow from the settings memory-mb and max-fds of the processes and are not to be changed.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tests/ClientCrowd.h"
#include "tests/ProcessHarness.h"
#include "transport/HttpServer.h"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <httplib.h>
#include <thread>

using namespace citronplank;
using citronplank::testing::ChildProcess;
using citronplank::testing::ClientCrowd;
using citronplank::testing::eventually;

namespace {

constexpr std::size_t memoryMb = 64; // of each process; VmHWM must stay below it
constexpr std::size_t maxFds = 512;  // of each process
constexpr std::size_t marginMb = 16; // by which VmRSS may exceed its earlier value after the crowd has left
constexpr std::size_t bodyBytes = 262144;
constexpr std::size_t bodyClients = 400; // about 100 MB in bodies
constexpr std::size_t slowClients = 700; // above max-fds
constexpr milliseconds crowdTime { 4000 };
constexpr seconds waitTime { 30 };
constexpr std::size_t kilobytesPerMb = 1024;

/// Processes whose ids differ modulo 100 use different ports.
int port(int offset) { return 24000 + 10 * (::getpid() % 100) + offset; }

/// Value of a line of /proc/PID/status in kB.
std::size_t statusValue(const ChildProcess& process, const std::string& name)
{
    std::ifstream file("/proc/" + std::to_string(process.pid()) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name + ":"))
            return std::stoul(line.substr(name.size() + 1));
    }
    return 0;
}

std::size_t openFds(const ChildProcess& process)
{
    std::filesystem::directory_iterator it("/proc/" + std::to_string(process.pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(it), end(it)));
}

/// One control member, one entry instance and one leaf. Precondition: one at a time in a process.
class System {
public:
    System()
    {
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder / "data");
        HttpServerSettings settings;
        settings.address = "127.0.0.1:0";
        m_leaf = std::make_unique<HttpServer>(m_io, settings, [](const HttpRequest& request, const Responder& it) {
            it.answer({ 200, "", "ok",
                { { "Server-Stamp", "stamp" }, { "Request-Id", std::string(request.header("Request-Id")) } } });
        });
        m_leaf->start();
        m_thread = std::jthread([this] { m_io.run(); });
        control = start("127.50.1.1",
            "data-dir " + (m_folder / "data").string() + "\nbootstrap true\ncontrol-address " + controlAddress);
        entry = start(
            "127.50.1.11", "bootstrap false\ncaller-address " + callerAddress + "\nready-address " + readyAddress);
        REQUIRE(eventually(waitTime, [this] { return put("/-/config", configuration()) == 200; }));
        REQUIRE(eventually(waitTime, [this] { return put("/-/instances/leaf-1", announcement()) == 200; }));
        REQUIRE(eventually(waitTime, [this] { return get(readyAddress, "/ready") == 200; }));
        REQUIRE(get(callerAddress, "/one/x") == 200);
        m_entryBefore = statusValue(*entry, "VmRSS");
        m_controlBefore = statusValue(*control, "VmRSS");
    }

    /// Lets the crowd act, checks the bounds and one ordinary request at each address while its connections are still
    /// open on the side of the clients, closes them, and checks that the memory is given back.
    void withstand(const std::string& address, std::size_t clients, std::string bytes, std::size_t bytesPerStep = 0)
    {
        std::size_t maxOpenFds = 0;
        {
            ClientCrowd crowd(address, clients, std::move(bytes), bytesPerStep);
            for (int i = 0; i < 8; ++i) {
                crowd.run(crowdTime / 8);
                maxOpenFds = std::max({ maxOpenFds, openFds(*entry), openFds(*control) });
            }
            CHECK(entry->isRunning());
            CHECK(control->isRunning());
            CHECK(eventually(waitTime, [this] { return get(callerAddress, "/one/x") == 200; }));
            CHECK(eventually(waitTime, [this] { return get(readyAddress, "/ready") == 200; }));
            CHECK(eventually(waitTime, [this] { return get(controlAddress, "/-/config") == 200; }));
        }
        CHECK(maxOpenFds <= maxFds);
        CHECK(eventually(waitTime, [] { return countedConnections() == 0; }));
        CHECK(statusValue(*entry, "VmHWM") <= memoryMb * kilobytesPerMb);
        CHECK(statusValue(*control, "VmHWM") <= memoryMb * kilobytesPerMb);
        CHECK(eventually(waitTime, [this] {
            return statusValue(*entry, "VmRSS") <= m_entryBefore + marginMb * kilobytesPerMb
                && statusValue(*control, "VmRSS") <= m_controlBefore + marginMb * kilobytesPerMb;
        }));
        MESSAGE("entry VmHWM kB ", statusValue(*entry, "VmHWM"), " VmRSS ", statusValue(*entry, "VmRSS"), " before ",
            m_entryBefore, "; control VmHWM ", statusValue(*control, "VmHWM"), " VmRSS ",
            statusValue(*control, "VmRSS"), " before ", m_controlBefore, "; descriptors ", maxOpenFds);
    }

    inline static const std::string controlAddress = "127.50.1.1:" + std::to_string(port(0));
    inline static const std::string callerAddress = "127.50.1.11:" + std::to_string(port(1));
    inline static const std::string readyAddress = "127.50.1.11:" + std::to_string(port(2));
    std::unique_ptr<ChildProcess> control;
    std::unique_ptr<ChildProcess> entry;

private:
    std::unique_ptr<ChildProcess> start(const std::string& ip, const std::string& addresses)
    {
        auto path = m_folder / ("settings-" + ip);
        std::ofstream(path) << "instance " << ip << "\nzone z1\nregion crowd\nannouncement-interval-ms 60000\n"
                            << "tolerated-members 0\ngrace-time-s 6\nfirst-internal-port " << port(3) << "\nseeds "
                            << controlAddress << "\n"
                            << "memory-mb " << memoryMb << "\nmax-fds " << maxFds << "\n"
                            << addresses << "\n";
        return std::make_unique<ChildProcess>(
            std::vector<std::string> { (testing::programFolder() / "citronplank_platform").string() },
            m_folder / ("log-" + ip), std::vector<std::string> { "CITRONPLANK_CONFIG=" + path.string() });
    }
    static int get(const std::string& address, const std::string& path)
    {
        return testing::httpGet(address, path).status;
    }
    /// Connections of callers that the entry instance counts as open, or nothing if its metrics are not available.
    static std::optional<int> countedConnections()
    {
        const std::string metric = "citronplank_http_callers_connections ";
        auto body = testing::httpGet("127.50.1.11:" + std::to_string(port(3) + 2), "/metrics").body;
        auto found = body.find("\n" + metric);
        return found == std::string::npos ? std::nullopt
                                          : std::optional(std::stoi(body.substr(found + 1 + metric.size())));
    }
    static int put(const std::string& path, const std::string& body)
    {
        httplib::Client client("127.50.1.1", port(0));
        client.set_read_timeout(5);
        auto result = client.Put(path, body, "application/json");
        return result ? result->status : 0;
    }
    static std::string configuration()
    {
        nlohmann::json route { { "name", "one" }, { "host", "127.50.1.11" }, { "path_prefix", "/one/" },
            { "route_type", "idempotent" }, { "timeout_ms", 3000 }, { "target_latency_ms", 1000 },
            { "max_attempts", 2 }, { "service", "one" } };
        nlohmann::json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", bodyBytes },
            { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
        return nlohmann::json {
            { "version", 1 }, { "services", { { { "name", "one" }, { "max_connections", 8 } } } },
            { "routes", { route } }, { "limits", limits }
        }.dump();
    }
    std::string announcement() const
    {
        return nlohmann::json {
            { "service", "one" }, { "address", m_leaf->address() }, { "zone", "z1" }, { "version", "v1" },
            { "slots", 4 }, { "state", "ready" }, { "warmup_left_ms", 0 }, { "seq", 1 }, { "born", 1 }
        }.dump();
    }

    std::filesystem::path m_folder = testing::programFolder() / "run-client-crowds";
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work = asio::make_work_guard(m_io);
    std::unique_ptr<HttpServer> m_leaf;
    /// Runs m_io. Ends also if a check in the constructor fails.
    std::jthread m_thread;
    struct Stopper {
        asio::io_context& io;
        ~Stopper() { io.stop(); }
    } m_stopper { m_io };
    std::size_t m_entryBefore = 0;
    std::size_t m_controlBefore = 0;
};

std::string head(const std::string& path, const std::string& fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: 127.50.1.11\r\n" + fields + "\r\n";
}

/// A request whose body ends one byte short of its length.
std::string shortBody(const std::string& path)
{
    return head(path, "Content-Length: " + std::to_string(bodyBytes) + "\r\n") + std::string(bodyBytes - 1, 'x');
}

/// A request whose chunked body lacks its last chunk, in chunks of `chunkBytes`.
std::string endlessChunks(const std::string& path, std::size_t bytes, std::size_t chunkBytes)
{
    auto text = head(path, "Transfer-Encoding: chunked\r\n");
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
    for (std::size_t n = 0; n + chunkBytes <= bytes; n += chunkBytes)
        text.append(size.data()).append(chunkBytes, 'x').append("\r\n");
    return text;
}

std::string repeated(const std::string& text, std::size_t n)
{
    std::string all;
    for (std::size_t i = 0; i < n; ++i)
        all += text;
    return all;
}

} // namespace

// Guards against: memory of the entry instance follows the number of bodies that are not complete.
TEST_CASE("unfinished bodies on a route")
{
    System().withstand(System::callerAddress, bodyClients, shortBody("/one/x"));
}

// Guards against: as above, for bodies whose length is not stated.
TEST_CASE("unfinished chunked bodies on a route")
{
    System().withstand(System::callerAddress, bodyClients, endlessChunks("/one/x", bodyBytes - 1, 1000));
}

// Guards against: bodies are kept although no route needs them.
TEST_CASE("unfinished bodies without a route")
{
    System().withstand(System::callerAddress, bodyClients, shortBody("/nowhere"));
}

// Guards against: chunked bodies are kept although no route needs them.
TEST_CASE("unfinished chunked bodies without a route")
{
    System().withstand(System::callerAddress, bodyClients, endlessChunks("/nowhere", bodyBytes - 1, 1000));
}

// Guards against: the readiness endpoint is outside the bounds.
TEST_CASE("unfinished bodies at the ready address")
{
    System().withstand(System::readyAddress, bodyClients, endlessChunks("/ready", bodyBytes - 1, 1000));
}

// Guards against: memory of a control member follows the number of bodies that are not complete.
TEST_CASE("unfinished bodies at the control address")
{
    System().withstand(System::controlAddress, bodyClients, shortBody("/-/config"));
}

// Guards against: as above, for chunks, on a path that does not exist.
TEST_CASE("unfinished chunked bodies at the control address")
{
    System().withstand(System::controlAddress, bodyClients, endlessChunks("/nowhere", bodyBytes - 1, 1000));
}

// Guards against: a body is kept up to its end before it is found too large.
TEST_CASE("bodies far over the limit")
{
    System().withstand(System::callerAddress, bodyClients, endlessChunks("/one/x", 4 * bodyBytes, 4000));
}

// Guards against: a header of legal size takes many times its size in memory.
TEST_CASE("very many short header fields")
{
    System().withstand(System::callerAddress, slowClients,
        "POST /one/x HTTP/1.1\r\nHost: 127.50.1.11\r\n" + repeated("a: b\r\n", 2500));
}

// Guards against: requests that are sent ahead, or responses that nobody reads, are kept without a bound.
TEST_CASE("requests sent ahead without reading")
{
    System().withstand(System::callerAddress, 100,
        repeated("GET /one/x HTTP/1.1\r\nHost: 127.50.1.11\r\nRequest-Id: 1\r\n\r\n", 5000));
}

// Guards against: clients that send a few bytes a second hold descriptors until none are left.
TEST_CASE("slow senders") { System().withstand(System::callerAddress, slowClients, shortBody("/one/x"), 1); }

// Guards against: half of a header holds a connection, and the number of connections is not bounded by descriptors.
TEST_CASE("half-sent headers")
{
    System().withstand(System::callerAddress, slowClients, "GET /one/x HTTP/1.1\r\nHost: te");
}

// Guards against: the same at the control address.
TEST_CASE("half-sent headers at the control address")
{
    System().withstand(System::controlAddress, slowClients, "GET /-/config HTTP/1.1\r\nHost: te");
}
