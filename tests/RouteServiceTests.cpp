// An entry instance between a caller and one leaf: HttpServer, RouteService and connections to the leaf, on one
// io_context that the tests run step by step. Guards against work that is started for callers that have left, and
// against a request that runs twice.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "coordination/QuotaAllotter.h"
#include "daemon/RouteService.h"
#include "platform/RequestProtocol.h"

#include <asio.hpp>
#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace citronplank;

namespace {

using asio::ip::tcp;

/// Time in which bytes on the loopback interface reach the socket of their receiver.
constexpr milliseconds arrivalTime { 50 };

/// A leaf that refuses the first request that it gets. A connection that has carried a request gets another copy of the
/// refusal as soon as the next request arrives there. All other requests run and are answered after `workTime`.
class CopyingLeaf {
public:
    CopyingLeaf()
        : m_acceptor(m_io, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~CopyingLeaf()
    {
        m_io.stop();
        m_thread.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    int runs() const { return m_runs; }
    int connections() const { return m_connections; }

private:
    static constexpr milliseconds workTime { 20 };
    struct Connection {
        explicit Connection(tcp::socket socket)
            : socket(std::move(socket))
            , timer(this->socket.get_executor())
        {
        }
        tcp::socket socket;
        asio::steady_timer timer;
        std::string input;
        int requests = 0;
    };
    static std::string reply(std::string_view statusLine, std::string_view header)
    {
        return "HTTP/1.1 " + std::string(statusLine) + "\r\nContent-Length: 0\r\nRequest-Id: id\r\n"
            + std::string(header) + "\r\n\r\n";
    }
    void accept()
    {
        m_acceptor.async_accept([this](std::error_code ec, tcp::socket socket) {
            if (ec)
                return;
            ++m_connections;
            serve(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }
    void serve(const std::shared_ptr<Connection>& it)
    {
        asio::async_read_until(
            it->socket, asio::dynamic_buffer(it->input), "\r\n\r\n", [this, it](std::error_code ec, std::size_t n) {
                if (ec)
                    return;
                it->input.erase(0, n);
                bool isRefused = !std::exchange(m_hasRefused, true);
                if (isRefused || ++it->requests > 1)
                    asio::write(
                        it->socket, asio::buffer(reply("503 Service Unavailable", "Not-Executed: queue full")), ec);
                if (isRefused) {
                    ++it->requests;
                    serve(it);
                    return;
                }
                ++m_runs;
                it->timer.expires_after(workTime);
                it->timer.async_wait([this, it](std::error_code) {
                    std::error_code ignored;
                    asio::write(it->socket, asio::buffer(reply("200 OK", "Server-Stamp: stamp")), ignored);
                    serve(it);
                });
            });
    }

    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    bool m_hasRefused = false;
    std::atomic<int> m_runs { 0 };
    std::atomic<int> m_connections { 0 };
    std::thread m_thread;
};

/// A leaf that sends the same bytes to each request and then nothing more.
class RawLeaf {
public:
    explicit RawLeaf(std::string reply)
        : m_reply(std::move(reply))
    {
        accept();
        m_thread = std::jthread([this] { m_io.run(); }); // after accept(), since run() ends at once without work
    }
    ~RawLeaf() { m_io.stop(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    int requests() const { return m_requests; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](std::error_code ec, tcp::socket socket) {
            if (ec)
                return;
            serve(std::make_shared<tcp::socket>(std::move(socket)), std::make_shared<std::string>());
            accept();
        });
    }
    void serve(const std::shared_ptr<tcp::socket>& socket, const std::shared_ptr<std::string>& input)
    {
        asio::async_read_until(*socket, asio::dynamic_buffer(*input), "\r\n\r\n",
            [this, socket, input](std::error_code ec, std::size_t n) {
                if (ec)
                    return;
                input->erase(0, n);
                ++m_requests;
                asio::write(*socket, asio::buffer(m_reply), ec);
                serve(socket, input);
            });
    }

    std::string m_reply;
    asio::io_context m_io;
    tcp::acceptor m_acceptor { m_io, { asio::ip::make_address("127.0.0.1"), 0 } };
    std::atomic<int> m_requests { 0 };
    std::jthread m_thread;
};

/// A leaf that terminates as soon as it gets a request of the customer "acme", and answers all others.
class CrashingLeaf {
public:
    CrashingLeaf()
    {
        listen({ asio::ip::make_address("127.0.0.1"), 0 });
        m_thread = std::jthread([this] { m_io.run(); });
    }
    ~CrashingLeaf() { m_io.stop(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_endpoint.port()); }
    int crashes() const { return m_crashes; }
    int answers() const { return m_answers; }
    /// Listens again at its address.
    void restart()
    {
        std::promise<void> done;
        asio::post(m_io, [&] {
            listen(m_endpoint);
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    struct Connection {
        tcp::socket socket;
        std::string input;
    };
    void listen(const tcp::endpoint& endpoint)
    {
        m_acceptor = tcp::acceptor(m_io, endpoint);
        m_endpoint = m_acceptor.local_endpoint();
        accept();
    }
    void accept()
    {
        m_acceptor.async_accept([this](std::error_code ec, tcp::socket socket) {
            if (ec)
                return;
            m_connections.push_back(std::make_shared<Connection>(Connection { std::move(socket), {} }));
            serve(m_connections.back());
            accept();
        });
    }
    void serve(const std::shared_ptr<Connection>& it)
    {
        asio::async_read_until(
            it->socket, asio::dynamic_buffer(it->input), "\r\n\r\n", [this, it](std::error_code ec, std::size_t n) {
                if (ec)
                    return;
                auto request = it->input.substr(0, n);
                it->input.erase(0, n);
                if (request.find("Tenant: acme") != std::string::npos) {
                    ++m_crashes;
                    m_acceptor.close();
                    m_connections.clear();
                    return;
                }
                ++m_answers;
                auto id = request.substr(request.find("Request-Id: "));
                id.resize(id.find("\r\n"));
                asio::write(it->socket,
                    asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer-Stamp: stamp\r\n" + id + "\r\n\r\n"),
                    ec);
                serve(it);
            });
    }

    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work { m_io.get_executor() }; // also while it is down
    tcp::acceptor m_acceptor { m_io };
    tcp::endpoint m_endpoint;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::atomic<int> m_crashes { 0 };
    std::atomic<int> m_answers { 0 };
    std::jthread m_thread;
};

struct Fixture {
    /// Without `leafAddress`, the leaves "a" and "b" of the service are one HttpServer of the fixture; otherwise its
    /// only leaf is at that address, and requests must not run twice.
    explicit Fixture(const std::string& leafAddress = {})
    {
        HttpServerSettings leafSettings;
        leafSettings.address = "127.0.0.1:0";
        leaf = std::make_unique<HttpServer>(
            leafIo, leafSettings, [this](const HttpRequest& request, const Responder& it) {
                ++arrivals;
                if (request.header("Tenant") == "acme" && request.header("Authorization").empty())
                    ++arrivalsOfCustomer;
                if (isLeafSilent)
                    silenced.push_back(it);
                else
                    it.answer({ 200, "", "ok", { { "Server-Stamp", "stamp" } } });
            });
        leaf->start();
        HttpServerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.detectsEarlyDisconnects = true;
        server = std::make_unique<HttpServer>(io, settings, [this](HttpRequest request, Responder responder) {
            routes.onRequest(std::move(request), std::move(responder));
        });
        server->start();
        Route route;
        route.name = "one";
        route.host = "h.example";
        route.pathPrefix = "/one/";
        route.attempts = 2;
        route.idempotent = leafAddress.empty();
        route.objective = milliseconds(100);
        route.targets = { { "service" } };
        configuration.version = 1;
        configuration.routes = { route };
        configuration.services["service"] = { 25, 0 };
        routes.setTable(std::make_shared<const RouteTable>(configuration));
        std::vector<Announcement> leaves;
        for (const char* name : { "a", "b" }) {
            Announcement announcement;
            announcement.leaf = name;
            announcement.service = "service";
            announcement.zone = "atl";
            announcement.address = leafAddress.empty() ? leaf->address() : leafAddress;
            announcement.slots = 2;
            leaves.push_back(announcement);
        }
        if (!leafAddress.empty())
            leaves.pop_back();
        routes.setLeaves(leaves);
        run(milliseconds(20));
    }
    ~Fixture()
    {
        routes.stop();
        run(milliseconds(20));
        leafIo.stop();
        leafThread.join();
    }
    void run(milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }
    /// Connects a caller and sends a request. The server has not run since.
    tcp::socket sendRequest(const std::string& header = {})
    {
        tcp::socket caller(callerIo);
        auto address = server->address();
        caller.connect({ asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))) });
        const std::string request = "GET /one/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id\r\n" + header + "\r\n";
        asio::write(caller, asio::buffer(request));
        return caller;
    }

    std::atomic<int> arrivals { 0 }; // requests at the leaf
    /// Sets the customers: one with that key, or none if it is empty.
    void setKey(const std::string& key, double rate = 0)
    {
        ++configuration.version;
        configuration.customers = std::vector<Customer> { { "acme", { key }, rate }, { "other", { "other" } } };
        routes.setTable(std::make_shared<const RouteTable>(configuration));
        run(milliseconds(5));
    }
    static std::string readAnswer(tcp::socket& caller)
    {
        std::string answer(4096, '\0');
        caller.non_blocking(true);
        std::error_code ec;
        answer.resize(caller.read_some(asio::buffer(answer), ec));
        return answer;
    }

    ServingConfiguration configuration;
    std::atomic<int> arrivalsOfCustomer { 0 }; // those with the customer's name and without a key
    std::atomic<bool> isLeafSilent { false };
    std::vector<Responder> silenced;
    std::vector<CrashNotice> crashNotices; // sent to the other instances
    asio::io_context leafIo;
    asio::executor_work_guard<asio::io_context::executor_type> leafWork { leafIo.get_executor() };
    asio::io_context callerIo;
    asio::io_context io;
    std::unique_ptr<HttpServer> leaf;
    std::unique_ptr<HttpServer> server;
    Counters counters;
    TrafficCounters traffic { counters };
    platform::RequestProtocol protocol;
    RouteService routes { io, "entry", "atl", protocol, {},
        [](const std::string&, MessageKind, const std::string&, std::uint64_t, milliseconds) { return false; },
        [this](const CrashNotice& it) { crashNotices.push_back(it); }, counters, traffic };
    std::thread leafThread { [this] { leafIo.run(); } };
};

} // namespace

TEST_CASE("a request whose caller closed the connection before it was read is not sent to a leaf")
{
    Fixture it;
    auto caller = it.sendRequest();
    caller.close();
    std::this_thread::sleep_for(arrivalTime);
    it.run(milliseconds(300));
    CHECK(it.arrivals == 0);
    CHECK(it.routes.runningCount() == 0);
    CHECK(it.counters.counter("route_callers_gone_total").value() == 1);
    // A caller that stays is served.
    auto other = it.sendRequest();
    it.run(milliseconds(300));
    CHECK(it.arrivals == 1);
}

TEST_CASE("a hedge that falls due while the process stands still is not sent if the caller left meanwhile")
{
    Fixture it;
    it.isLeafSilent = true;
    auto caller = it.sendRequest();
    std::this_thread::sleep_for(arrivalTime);
    it.run(milliseconds(5));
    REQUIRE(it.arrivals <= 1);
    caller.close();
    std::this_thread::sleep_for(milliseconds(300)); // longer than any hedge delay
    it.run(milliseconds(300));
    CHECK(it.arrivals == 1);
    CHECK(it.counters.counter("route_callers_gone_total").value() == 1);
}

// Guards against a process that wakes from a freeze and sends all requests that wait in its sockets to a leaf that has
// started again meanwhile, before it learns of that.
TEST_CASE("requests that arrive while the process stands still wait for news of a peer")
{
    for (bool hasNews : { true, false }) {
        CAPTURE(hasNews);
        Fixture it;
        int newsRequests = 0;
        it.routes.onPauseEnded([&] { ++newsRequests; });
        it.run(milliseconds(20));
        std::vector<tcp::socket> callers;
        callers.reserve(10);
        for (int i = 0; i < 10; ++i)
            callers.push_back(it.sendRequest());
        auto gone = it.sendRequest();
        std::this_thread::sleep_for(PauseDetector::threshold + arrivalTime);
        it.run(milliseconds(60));
        CHECK(it.arrivals == 0);
        CHECK(newsRequests == 1);
        gone.close();
        if (hasNews) {
            std::vector<Announcement> leaves;
            it.routes.setLeaves(leaves); // the leaves are gone
            it.routes.onNews();
            it.run(milliseconds(100));
            CHECK(it.arrivals == 0);
            CHECK(Fixture::readAnswer(callers.front()).substr(0, 12) == "HTTP/1.1 503");
            continue;
        }
        it.run(PauseDetector::maxWait + milliseconds(200));
        CHECK(it.arrivals == 10);
        for (auto& caller : callers)
            CHECK(Fixture::readAnswer(caller).substr(0, 12) == "HTTP/1.1 200");
        CHECK(it.counters.counter("route_callers_gone_total").value() == 1);
    }
}

// Guards against a request that runs twice, or is answered "not run" though it runs, because a second copy of a refusal
// is taken for the answer to its next attempt at the same leaf.
TEST_CASE("a second copy of a refusal is not taken for the answer to the same request sent again")
{
    CopyingLeaf leaf;
    Fixture it(leaf.address());
    auto caller = it.sendRequest();
    it.run(milliseconds(400));
    std::string answer(4096, '\0');
    caller.non_blocking(true);
    std::error_code ec;
    answer.resize(caller.read_some(asio::buffer(answer), ec));
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    CHECK(leaf.runs() == 1);
    CHECK(leaf.connections() == 2);
}

// Guards against bytes of a leaf in trouble that reach the caller as a response, or as one that says "not run".
TEST_CASE("an invalid response of a leaf is answered with a status of this system")
{
    const std::string rest = "Server-Stamp: stamp\r\nRequest-Id: id\r\n";
    const std::string empty = rest + "Content-Length: 0\r\n\r\n";
    std::vector<std::string> replies;
    for (const char* status : { "000 Zero", "099 Low", "20 Short", "600 High", "999 High", "2000 Long", "0200 Long",
             "+20 Sign", "-200 Sign", "2 00 Blank", " 200 Blank", "", "101 Switching Protocols", "100 Continue",
             "199 Interim", "200 OK\r\nHTTP/1.1 200 OK" })
        replies.push_back("HTTP/1.1 " + std::string(status) + "\r\n" + empty);
    replies.push_back("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + rest + "Content-Length: 2\r\n\r\nab");
    replies.push_back("HTTP/1.1 204 No Content\r\n" + rest + "Content-Length: 2\r\n\r\nab");
    replies.push_back("HTTP/1.1 204 No Content\r\n" + rest + "\r\nab");
    replies.push_back("HTTP/1.1 304 Not Modified\r\n" + rest + "Content-Length: 2\r\n\r\nab");
    for (const auto& reply : replies) {
        CAPTURE(reply);
        RawLeaf leaf(reply);
        Fixture it(leaf.address());
        auto caller = it.sendRequest();
        std::string answer(4096, '\0');
        std::size_t n = 0;
        caller.non_blocking(true);
        for (int i = 0; i < 60 && n == 0; ++i) {
            it.run(milliseconds(100));
            std::error_code ec;
            n = caller.read_some(asio::buffer(answer), ec);
        }
        answer.resize(n);
        CHECK(answer.starts_with("HTTP/1.1 504 "));
        CHECK(answer.find("\"may_have_run\"") != std::string::npos);
        CHECK(leaf.requests() == 1);
    }
}

// Guards against a request without a valid key that runs, and against a key that is sent to a leaf, also by a hedge.
TEST_CASE("with customers a request needs a key, and each attempt carries the customer's name instead")
{
    Fixture it;
    it.setKey("k1");
    for (const char* header : { "", "Authorization: Bearer wrong\r\n", "Tenant: acme\r\n" }) {
        auto caller = it.sendRequest(header);
        it.run(milliseconds(50));
        CHECK(Fixture::readAnswer(caller).starts_with("HTTP/1.1 401 "));
    }
    CHECK(it.arrivals == 0);
    it.isLeafSilent = true;
    auto caller = it.sendRequest("Authorization: Bearer k1\r\nTenant: forged\r\n");
    it.run(milliseconds(400));
    CHECK(it.arrivals == 2); // first attempt and hedge
    CHECK(it.arrivalsOfCustomer == 2);
}

// Guards against a request that is sent again after the key of its customer has been removed.
TEST_CASE("a request whose key is removed while it runs is not sent again")
{
    Fixture it;
    it.setKey("k1");
    it.isLeafSilent = true;
    auto caller = it.sendRequest("Authorization: Bearer k1\r\n");
    it.run(milliseconds(10));
    REQUIRE(it.arrivals == 1);
    it.setKey("k2");
    it.run(milliseconds(400));
    CHECK(it.arrivals == 1);
    auto answer = Fixture::readAnswer(caller);
    CHECK(answer.starts_with("HTTP/1.1 401 "));
    CHECK(answer.find("may_have_run") != std::string::npos);
    CHECK(it.routes.runningCount() == 0);
}

// Guards against a configuration that takes away the last customer and thereby opens all routes to everybody.
TEST_CASE("with an empty list of customers no request runs, except on public routes")
{
    Fixture it;
    it.setKey("k1");
    ++it.configuration.version;
    it.configuration.customers = std::vector<Customer>();
    it.routes.setTable(std::make_shared<const RouteTable>(it.configuration));
    it.run(milliseconds(5));
    for (const char* header : { "", "Authorization: Bearer k1\r\n", "Authorization: Bearer never\r\n" }) {
        auto caller = it.sendRequest(header);
        it.run(milliseconds(50));
        CHECK(Fixture::readAnswer(caller).starts_with("HTTP/1.1 401 "));
    }
    CHECK(it.arrivals == 0);
}

// Guards against a public route that needs a key, passes one on, or believes the name that the caller states.
TEST_CASE("a public route is served without a key and without a customer's name")
{
    Fixture it;
    it.configuration.routes.front().isPublic = true;
    it.setKey("k1");
    auto caller = it.sendRequest("Authorization: Bearer wrong\r\nTenant: acme\r\n");
    it.run(milliseconds(50));
    CHECK(Fixture::readAnswer(caller).starts_with("HTTP/1.1 200 "));
    CHECK(it.arrivals == 1);
    CHECK(it.arrivalsOfCustomer == 0);
}

// Guards against a crashing request that is never refused because requests of other customers for its path are
// answered.
TEST_CASE("a request that crashes leaves is refused while other customers use its path")
{
    CrashingLeaf leaf;
    Fixture it(leaf.address());
    it.setKey("k1");
    auto statusOf = [&](const std::string& key) {
        auto caller = it.sendRequest("Authorization: Bearer " + key + "\r\n");
        it.run(milliseconds(100));
        return Fixture::readAnswer(caller).substr(0, 12);
    };
    CHECK(statusOf("other") == "HTTP/1.1 200");
    CHECK(statusOf("k1") != "HTTP/1.1 503");
    CHECK(leaf.crashes() == 1);
    it.run(milliseconds(400));
    REQUIRE(it.crashNotices.size() == 1);
    leaf.restart();
    it.run(milliseconds(1500)); // until a probe finds the leaf
    CHECK(statusOf("other") == "HTTP/1.1 200");
    auto fingerprint = it.crashNotices.front().fingerprint;
    for (const char* id : { "second", "third" })
        it.routes.onCrashNotice("peer", { fingerprint, id });
    it.run(milliseconds(10));
    CHECK(statusOf("other") == "HTTP/1.1 200");
    CHECK(statusOf("k1") == "HTTP/1.1 503");
    CHECK(leaf.crashes() == 1);
}

// Guards against a leaf that restarts under its name, announces itself late and gets all requests while it is cold.
TEST_CASE("a leaf that was seen to end gets few requests until its warm-up time is over")
{
    CrashingLeaf leaf;
    Fixture it(leaf.address());
    it.configuration.services["service"].warmupTime = milliseconds(1500);
    it.setKey("k1");
    auto send = [&](const std::string& key) {
        auto caller = it.sendRequest("Authorization: Bearer " + key + "\r\n");
        it.run(milliseconds(20));
    };
    send("other"); // leaves an idle connection
    REQUIRE(leaf.answers() == 1);
    send("k1");
    REQUIRE(leaf.crashes() == 1);
    it.run(milliseconds(300));
    leaf.restart();
    it.run(milliseconds(700)); // until a probe finds the leaf
    for (int i = 0; i < 20; ++i)
        send("other");
    CHECK(leaf.answers() <= 1 + 2); // half of the allowance of 5 a second
    it.run(milliseconds(1500));
    auto before = leaf.answers();
    for (int i = 0; i < 20; ++i)
        send("other");
    CHECK(leaf.answers() == before + 20);
}

// Guards against requests over a customer's limit that run, a limited customer that is not served without a lease, and
// requests that wait for ever when no allotter answers.
TEST_CASE("a customer's requests over its limit are rejected with a time, before they run")
{
    Fixture it;
    QuotaBounds bounds { .window = seconds(5), .overage = 0, .slack = 2 };
    QuotaAllotter allotter(bounds);
    allotter.beginTerm(false, Clock::now());
    std::string allotterName = "control";
    it.routes.setQuota(bounds,
        { [&] { return allotterName; },
            [&](const std::string&, const std::string& report) {
                if (auto reply = allotter.onReport("entry", 1, decodeQuotaReport(report), Clock::now()))
                    it.routes.onQuotaReply(*reply);
            } });
    it.setKey("k1", 0.01);
    allotter.setLimits(*it.configuration.customers, Clock::now());
    std::vector<tcp::socket> callers;
    callers.reserve(5);
    for (int i = 0; i < 5; ++i)
        callers.push_back(it.sendRequest("Authorization: Bearer k1\r\n"));
    it.run(milliseconds(300));
    CHECK(it.arrivals == 2);
    int rejected = 0;
    for (auto& caller : callers) {
        auto answer = Fixture::readAnswer(caller);
        rejected += answer.starts_with("HTTP/1.1 429 ") && answer.find("Retry-After: ") != std::string::npos ? 1 : 0;
    }
    CHECK(rejected == 3);
    it.run(milliseconds(1100));
    CHECK(it.routes.customerMetrics().find("customer_admitted_total{customer=\"acme\"} 2\n") != std::string::npos);
    CHECK(it.routes.customerMetrics().find("customer_rejected_by_limit_total{customer=\"acme\"} 3\n")
        != std::string::npos);
    // A customer without a limit is served.
    auto other = it.sendRequest("Authorization: Bearer other\r\n");
    it.run(milliseconds(50));
    CHECK(it.arrivals == 3);
    // Without an allotter the wait ends.
    allotterName.clear();
    std::this_thread::sleep_for(milliseconds(250));
    auto last = it.sendRequest("Authorization: Bearer k1\r\n");
    it.run(milliseconds(300));
    CHECK(Fixture::readAnswer(last).starts_with("HTTP/1.1 429 "));
    CHECK(it.arrivals == 3);
    CHECK(it.routes.runningCount() == 0);
}
