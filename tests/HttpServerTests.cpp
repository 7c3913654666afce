#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "transport/HttpServer.h"

#include <asio.hpp>
#include <atomic>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

using namespace citronplank;

namespace {

constexpr seconds waitTimeout { 20 }; // generous, to tolerate a loaded host

/// A server with two worker threads. Requests to /wait are stored until the test answers them.
struct Server {
    explicit Server(HttpServerSettings settings = {})
        : work(asio::make_work_guard(io))
    {
        settings.address = "127.0.0.1:0";
        http = std::make_unique<HttpServer>(
            io, settings, [this](const HttpRequest& request, const Responder& responder) {
                if (request.target == "/drop")
                    return;
                if (request.target == "/throw")
                    throw Error(ErrorKind::NoMajority, "no majority");
                if (request.target != "/wait") {
                    responder.answer({ .body = request.method + request.target + ":" + request.body });
                    return;
                }
                responder.onCallerDisconnected([this] { ++disconnects; });
                const std::lock_guard lock(mutex);
                waiting.push_back(responder);
                changed.notify_all();
            });
        http->start();
        for (int i = 0; i < 2; ++i)
            threads.emplace_back([this] { io.run(); });
    }
    ~Server()
    {
        waiting.clear();
        http.reset();
        work.reset();
        io.stop();
        for (auto& it : threads)
            it.join();
    }
    /// Waits for the next request to /wait and returns its responder.
    Responder nextWaiting()
    {
        std::unique_lock lock(mutex);
        REQUIRE(changed.wait_for(lock, waitTimeout, [this] { return !waiting.empty(); }));
        Responder responder = waiting.front();
        waiting.erase(waiting.begin());
        return responder;
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<HttpServer> http;
    std::vector<std::thread> threads;
    std::atomic<int> disconnects { 0 };
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Responder> waiting;
};

/// A client that writes raw bytes and reads complete responses.
class Caller {
public:
    explicit Caller(const Server& server)
        : m_socket(m_io)
    {
        const std::string address = server.http->address();
        m_socket.connect({ asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))) });
    }
    void send(std::string_view bytes)
    {
        std::error_code ignored; // the server may have closed the connection already, which the response shows
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }
    void close() { m_socket.close(); }
    /// Returns header and body of the next response, or an empty string if the connection ends first.
    std::string answer()
    {
        std::error_code ec;
        const std::size_t header = asio::read_until(m_socket, asio::dynamic_buffer(m_input), "\r\n\r\n", ec);
        if (ec)
            return {};
        const std::size_t at = m_input.find("Content-Length: ");
        const std::size_t total = header + (at < header ? std::stoul(m_input.substr(at + 16)) : 0);
        if (m_input.size() < total)
            asio::read(m_socket, asio::dynamic_buffer(m_input), asio::transfer_exactly(total - m_input.size()), ec);
        std::string text = m_input.substr(0, total);
        m_input.erase(0, total);
        return text;
    }
    /// Whether the server closes the connection without sending anything more. Waits for either.
    bool isClosed()
    {
        char byte = 0;
        std::error_code ec;
        return asio::read(m_socket, asio::buffer(&byte, 1), ec) == 0 && ec == asio::error::eof;
    }

private:
    asio::io_context m_io;
    asio::ip::tcp::socket m_socket;
    std::string m_input;
};

bool contains(const std::string& text, std::string_view part) { return text.find(part) != std::string::npos; }

/// Whether the condition becomes true before `waitTimeout`.
template <typename Condition>
bool eventually(Condition condition)
{
    const TimePoint end = Clock::now() + waitTimeout;
    while (Clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

/// Checks that a response reports this error with the status, outcome and retry advice of its kind.
void checkError(const std::string& answer, ErrorKind kind)
{
    const ErrorAnswer& row = errorAnswer(kind);
    CHECK(contains(answer, "HTTP/1.1 " + std::to_string(row.httpStatus) + " "));
    REQUIRE(contains(answer, "\r\n\r\n"));
    const auto body = nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
    CHECK(body.at("error") == row.name);
    CHECK(body.at("outcome") == outcomeName(row.outcome));
    CHECK(body.at("retry") == retryAdviceName(row.retry));
    CHECK(body.at("message").is_string());
}

} // namespace

// Guards against responses to the wrong request when a caller sends several at once, and against lost bodies.
TEST_CASE("kept-alive and pipelined requests are answered in order")
{
    Server server;
    Caller caller(server);
    caller.send("POST /wait HTTP/1.1\r\nContent-Length: 0\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz"
                "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nuv\r\n0\r\n\r\n");
    CHECK(server.nextWaiting().answer({ .body = "late" }));
    CHECK(contains(caller.answer(), "late"));
    CHECK(contains(caller.answer(), "POST/b:xyz"));
    CHECK(contains(caller.answer(), "POST/c:uv"));
    caller.send("GET /d HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(contains(caller.answer(), "Connection: close"));
    CHECK(caller.isClosed());
}

// Guards against a connection that nothing owns while a request is handled and no more input fits: it was reset, its
// requests were lost, and it was counted as open for ever.
TEST_CASE("many requests sent ahead are answered in order, and their connection leaves the count")
{
    Server server;
    int requests = 0;
    SUBCASE("400") { requests = 400; }
    SUBCASE("4000") { requests = 4000; }
    std::string ahead;
    for (int i = 0; i < requests; ++i)
        ahead += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: server\r\n\r\n";
    auto answersAll = [&](Caller& caller) {
        for (int i = 0; i < requests; ++i) {
            if (!contains(caller.answer(), "GET/" + std::to_string(i) + ":"))
                return false;
        }
        return true;
    };
    {
        Caller caller(server);
        caller.send(ahead);
        CHECK(answersAll(caller));
    }
    {
        Caller behindSlowRequest(server);
        behindSlowRequest.send("GET /wait HTTP/1.1\r\n\r\n" + ahead);
        const Responder slow = server.nextWaiting();
        std::this_thread::sleep_for(milliseconds(100));
        CHECK(slow.answer({ .body = "slow" }));
        CHECK(contains(behindSlowRequest.answer(), "slow"));
        CHECK(answersAll(behindSlowRequest));
    }
    {
        Caller neverReads(server);
        neverReads.send(ahead);
    }
    CHECK(eventually([&] { return server.http->counters().connections == 0; }));
}

// Guards against requests beyond a limit that are buffered or run, or whose connection is reset without a response.
TEST_CASE("oversized and malformed requests get the response of the error table and the connection ends")
{
    HttpServerSettings settings;
    settings.maxBodyBytes = 100;
    settings.maxHeaderBytes = 1000;
    Server server(settings);
    const std::string longHeader = "GET / HTTP/1.1\r\n" + std::string(1200, 'h') + ": v\r\n\r\n";
    const std::vector<std::pair<std::string, ErrorKind>> cases {
        { "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", ErrorKind::RequestTooLarge }, // before any of the body
        { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n",
            ErrorKind::RequestTooLarge },
        { longHeader, ErrorKind::RequestTooLarge },
        { "not http\r\n\r\n", ErrorKind::BadRequest },
        { "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", ErrorKind::BadRequest },
        { "CONNECT a:1 HTTP/1.1\r\n\r\n", ErrorKind::BadRequest },
    };
    for (const auto& it : cases) {
        CAPTURE(it.first);
        Caller caller(server);
        caller.send(it.first);
        checkError(caller.answer(), it.second);
        CHECK(caller.isClosed());
    }
    CHECK(server.http->counters().requests == 0);
    CHECK(server.http->counters().badRequests == cases.size());
}

// Guards against a bound on memory or on header fields that refuses a request within the limits.
TEST_CASE("a single request at the limits of header and body is served")
{
    HttpServerSettings settings;
    settings.maxBodyBytes = 262144;
    settings.memory = std::make_shared<MemoryBudget>(std::size_t { 16 } << 20U);
    Server server(settings);
    std::string request = "POST /full HTTP/1.1\r\nContent-Length: 262144\r\n";
    for (int i = 0; i < 2500; ++i)
        request += "a: b\r\n";
    Caller caller(server);
    caller.send(request + "\r\n" + std::string(262144, 'x'));
    CHECK(contains(caller.answer(), "POST/full"));
    CHECK(eventually([&] { return settings.memory->used() < MemoryBudget::smallBytes; }));
}

// Guards against incomplete requests that occupy a connection indefinitely or delay the requests of others.
TEST_CASE("incomplete requests time out while others are served")
{
    HttpServerSettings settings;
    settings.headerTimeout = milliseconds(400);
    settings.bodyTimeout = milliseconds(400);
    settings.idleTimeout = milliseconds(400);
    Server server(settings);
    std::vector<std::unique_ptr<Caller>> slow;
    for (int i = 0; i < 200; ++i) {
        slow.push_back(std::make_unique<Caller>(server));
        slow.back()->send(i % 2 ? "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf" : "POST / HT");
    }
    Caller caller(server);
    caller.send("GET /quick HTTP/1.1\r\n\r\n");
    CHECK(contains(caller.answer(), "GET/quick:"));
    CHECK(caller.isClosed()); // idle
    for (auto& it : slow)
        checkError(it->answer(), ErrorKind::RequestTimeout);
    Caller idleCaller(server);
    CHECK(idleCaller.isClosed());
    CHECK(eventually([&] { return server.http->counters().connections == 0; }));
}

// Guards against an unlimited number of connections, and against a refusal that the caller cannot read.
TEST_CASE("connections beyond the limit are answered as overloaded")
{
    HttpServerSettings settings;
    settings.maxConnections = 2;
    Server server(settings);
    Caller a(server);
    Caller b(server);
    a.send("GET /a HTTP/1.1\r\n\r\n");
    b.send("GET /b HTTP/1.1\r\n\r\n");
    CHECK(contains(a.answer(), "GET/a"));
    CHECK(contains(b.answer(), "GET/b"));
    Caller c(server);
    c.send("GET /c HTTP/1.1\r\n\r\n");
    checkError(c.answer(), ErrorKind::Overloaded);
    a.close();
    b.close();
    CHECK(eventually([&] {
        Caller d(server);
        d.send("GET /d HTTP/1.1\r\n\r\n");
        return contains(d.answer(), "GET/d");
    }));
}

// Guards against a second response to a request, and against no response if the handler drops the request.
TEST_CASE("each request gets exactly one response")
{
    Server server;
    Caller caller(server);
    caller.send("GET /wait HTTP/1.1\r\n\r\n");
    const Responder responder = server.nextWaiting();
    CHECK(responder.answer({ .body = "first" }));
    CHECK_FALSE(responder.answer({ .body = "second" }));
    CHECK(contains(caller.answer(), "first"));
    caller.send("GET /drop HTTP/1.1\r\n\r\n");
    checkError(caller.answer(), ErrorKind::Internal);
    caller.send("GET /throw HTTP/1.1\r\n\r\n");
    checkError(caller.answer(), ErrorKind::NoMajority);
    CHECK(server.disconnects == 0);
}

// Guards against continuing work for a caller that has closed the connection.
TEST_CASE("the handler is notified when the caller disconnects")
{
    Server server;
    Caller caller(server);
    caller.send("GET /wait HTTP/1.1\r\n\r\n");
    const Responder responder = server.nextWaiting();
    CHECK_FALSE(responder.isCallerDisconnected());
    caller.close();
    CHECK(eventually([&] { return server.disconnects == 1; }));
    CHECK(responder.isCallerDisconnected());
    CHECK_FALSE(responder.answer({}));
    std::atomic<int> late { 0 };
    responder.onCallerDisconnected([&] { ++late; });
    CHECK(eventually([&] { return late == 1; }));
}

// Guards against a planned stop that aborts a running request or never completes because of idle connections.
// Guards against a decision that relies on a caller whose end of the connection is not read yet.
TEST_CASE("a check of the caller looks at the socket")
{
    asio::io_context io; // runs only where the test says so, like a process that is suspended meanwhile
    std::optional<Responder> waiting;
    HttpServerSettings settings;
    settings.address = "127.0.0.1:0";
    HttpServer server(io, settings, [&](const HttpRequest&, const Responder& it) { waiting = it; });
    server.start();
    asio::io_context callerIo;
    asio::ip::tcp::socket caller(callerIo);
    auto address = server.address();
    caller.connect({ asio::ip::make_address("127.0.0.1"),
        static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))) });
    asio::write(caller, asio::buffer(std::string_view("GET /wait HTTP/1.1\r\n\r\n")));
    while (!waiting)
        io.run_one();
    std::optional<bool> isWaiting;
    auto check = [&] {
        isWaiting.reset();
        waiting->checkCaller([&](bool it) { isWaiting = it; });
        while (!isWaiting)
            io.run_one();
        return *isWaiting;
    };
    CHECK(check());
    caller.close();
    CHECK_FALSE(check());
    waiting.reset();
}

TEST_CASE("finish answers open requests with close and ends idle connections")
{
    Server server;
    Caller idle(server);
    idle.send("GET /x HTTP/1.1\r\n\r\n");
    CHECK_FALSE(contains(idle.answer(), "Connection: close"));
    Caller busy(server);
    busy.send("GET /wait HTTP/1.1\r\n\r\n");
    const Responder responder = server.nextWaiting();
    std::atomic<bool> done { false };
    server.http->finish([&] { done = true; });
    CHECK(idle.isClosed());
    CHECK_FALSE(done);
    CHECK(responder.answer({ .body = "finished" }));
    const std::string answer = busy.answer();
    CHECK(contains(answer, "finished"));
    CHECK(contains(answer, "Connection: close"));
    CHECK(busy.isClosed());
    busy.close();
    idle.close();
    CHECK(eventually([&] { return done.load(); }));
    CHECK_THROWS(Caller(server));
}

// Guards against ignoring the Expect header, which makes common clients wait a second before each large body.
TEST_CASE("a caller that expects 100-continue gets it")
{
    Server server;
    Caller caller(server);
    caller.send("POST /e HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    std::thread body([&] {
        std::this_thread::sleep_for(milliseconds(50));
        caller.send("ok");
    });
    CHECK(contains(caller.answer(), "100 Continue"));
    CHECK(contains(caller.answer(), "POST/e:ok"));
    body.join();
}
