#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "backend/LeafClient.h"

#include <asio.hpp>
#include <atomic>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace citronplank;
using asio::ip::tcp;

namespace {

constexpr seconds waitTimeout { 20 }; // generous, to tolerate a loaded host

/// Whether the condition becomes true before `waitTimeout`.
template <typename Condition>
bool eventually(Condition condition)
{
    const TimePoint end = Clock::now() + waitTimeout;
    while (Clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(2));
    }
    return false;
}

/// A leaf with one thread for each connection. The operation of a part selects its behaviour.
class FakeLeaf {
public:
    FakeLeaf()
        : m_acceptor(m_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_endpoint(m_acceptor.local_endpoint())
    {
        m_acceptThread = std::thread([this] { accept(); });
    }
    ~FakeLeaf()
    {
        stop();
        for (auto& it : m_threads)
            it.join();
    }
    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        std::error_code ignored;
        {
            tcp::socket wake(m_io);
            wake.connect(m_endpoint, ignored);
        }
        m_acceptThread.join();
        m_acceptor.close(ignored);
        closeConnections();
    }
    /// Closes all connections, as a leaf does with idle ones.
    void closeConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& it : m_sockets)
            ::shutdown(it->native_handle(), SHUT_RDWR);
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_endpoint.port()); }

    std::atomic<int> accepted { 0 }; // connections
    std::atomic<int> ended { 0 };    // connections
    std::atomic<int> requests { 0 };
    std::atomic<bool> closesNewConnections { false }; // accepts connections and closes them at once
    std::atomic<bool> unresponsive { false };         // connections that have served a part receive but never respond
    std::string lastRequest()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastRequest;
    }

private:
    void accept()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(m_io);
            std::error_code ec;
            m_acceptor.accept(*socket, ec);
            if (ec || m_stopped)
                return;
            if (closesNewConnections)
                continue;
            ++accepted;
            const std::lock_guard lock(m_mutex);
            m_sockets.push_back(socket);
            m_threads.emplace_back([this, socket] {
                serve(*socket);
                const std::lock_guard closing(m_mutex);
                std::error_code ignored;
                socket->close(ignored);
                ++ended;
            });
        }
    }
    void serve(tcp::socket& socket)
    {
        std::string input;
        for (int served = 0;; ++served) {
            std::error_code ec;
            const std::size_t header = asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", ec);
            if (ec)
                return;
            const std::size_t total = header + std::stoul(input.substr(input.find("Content-Length: ") + 16));
            if (input.size() < total)
                asio::read(socket, asio::dynamic_buffer(input), asio::transfer_exactly(total - input.size()), ec);
            {
                const std::lock_guard lock(m_mutex);
                m_lastRequest = input.substr(0, total);
            }
            ++requests;
            const std::string operation = input.substr(input.find("Operation: ") + 11);
            input.erase(0, total);
            const bool hang = unresponsive && served > 0;
            if (!answer(socket, hang ? "hang" : operation.substr(0, operation.find('\r'))))
                return;
        }
    }
    /// Returns false if the connection is to be closed.
    static bool answer(tcp::socket& socket, const std::string& operation)
    {
        const std::string headers = "Index-Version: 7\r\nShard: 3\r\n";
        std::string text = "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 4\r\n\r\nbody";
        std::error_code ec;
        if (operation == "crash")
            return false;
        if (operation == "hang") {
            char byte = 0;
            asio::read(socket, asio::buffer(&byte, 1), ec);
            return false;
        }
        const bool isStatus = operation.size() == 3 && std::isdigit(operation[0]) != 0;
        if (isStatus)
            text = "HTTP/1.1 " + operation + " x\r\nContent-Length: 4\r\n\r\nbody";
        else if (operation == "truncated")
            text.pop_back();
        else if (operation == "no-length")
            text = "HTTP/1.1 200 OK\r\n" + headers + "\r\nbody";
        else if (operation == "no-headers")
            text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
        else if (operation == "other-shard")
            text = "HTTP/1.1 200 OK\r\nIndex-Version: 7\r\nShard: 4\r\nContent-Length: 4\r\n\r\nbody";
        else if (operation == "other-version")
            text = "HTTP/1.1 200 OK\r\nIndex-Version: 8\r\nShard: 3\r\nContent-Length: 4\r\n\r\nbody";
        else if (operation == "garbage")
            text = "garbage\r\n\r\n";
        else if (operation == "extra")
            text += "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 5\r\n\r\nother";
        else if (operation == "large")
            text = "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 99999999\r\n\r\n";
        asio::write(socket, asio::buffer(text), ec);
        return operation != "truncated" && operation != "no-length";
    }

    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    std::atomic<bool> m_stopped { false };
    std::mutex m_mutex;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::string m_lastRequest;
    std::thread m_acceptThread;
};

/// A client with two worker threads. Records the results by part id.
struct Client {
    explicit Client(LeafClientSettings settings = {})
        : work(asio::make_work_guard(io))
        , leaves(std::make_unique<LeafClient>(io, settings))
    {
        for (int i = 0; i < 2; ++i)
            threads.emplace_back([this] { io.run(); });
    }
    ~Client()
    {
        leaves.reset();
        work.reset();
        io.stop();
        for (auto& it : threads)
            it.join();
    }
    static Part part(std::uint64_t id, const std::string& operation, milliseconds remaining = seconds(15))
    {
        return { .queryId = 9,
            .partId = id,
            .service = "loandesk",
            .operation = operation,
            .leaf = "loandesk-3a",
            .shard = { 7, 3, 20 },
            .remaining = remaining,
            .body = "{}" };
    }
    void send(const Part& part, const std::string& address, std::uint32_t limit = 4)
    {
        leaves->send(part, address, limit, [this](const PartResult& result) {
            const std::lock_guard lock(mutex);
            results[result.partId].push_back(result);
            changed.notify_all();
        });
    }
    /// Waits for the result of a part and checks that there is only one.
    PartResult result(std::uint64_t id)
    {
        std::unique_lock lock(mutex);
        REQUIRE(changed.wait_for(lock, waitTimeout, [&] { return !results[id].empty(); }));
        CHECK(results[id].size() == 1);
        return results[id].front();
    }
    PartResult run(const Part& part, const std::string& address)
    {
        send(part, address);
        return result(part.partId);
    }
    bool hasResult(std::uint64_t id)
    {
        const std::lock_guard lock(mutex);
        return !results[id].empty();
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<LeafClient> leaves;
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::uint64_t, std::vector<PartResult>> results;
};

} // namespace

// Guards against a request without a header that the leaf needs, and against a connection that is not reused.
TEST_CASE("parts carry the protocol's headers and share a kept-alive connection")
{
    FakeLeaf leaf;
    Client client;
    Part part = Client::part(1, "list");
    part.requestKey = "1700000000-abc";
    const PartResult result = client.run(part, leaf.address());
    CHECK(result.status == PartStatus::Ok);
    CHECK(result.outcome == Outcome::Ran);
    CHECK(result.shard == ShardVersion { 7, 3, 20 });
    CHECK(result.body == "body");
    for (const char* line : { "POST /part HTTP/1.1\r\n", "\r\nIndex-Version: 7\r\n", "\r\nShard: 3\r\n",
             "\r\nOf: 20\r\n", "\r\nRequest-Id: 9-1\r\n", "\r\nRequest-Key: 1700000000-abc\r\n", "\r\nDeadline-Ms: 1" })
        CHECK(leaf.lastRequest().find(line) != std::string::npos);
    for (std::uint64_t id = 2; id < 10; ++id)
        CHECK(client.run(Client::part(id, "list"), leaf.address()).status == PartStatus::Ok);
    CHECK(leaf.lastRequest().find("Request-Key") == std::string::npos);
    CHECK(leaf.accepted == 1);
}

// Guards against a wrong outcome, which makes a caller run a request twice or lose it, and against a body of another
// version or shard in an answer.
TEST_CASE("each end of an exchange maps to its status and outcome")
{
    struct Case {
        const char* operation;
        bool keyed;
        PartStatus status;
        Outcome outcome;
        const char* body;
    };
    const std::vector<Case> cases { { "409", false, PartStatus::WrongVersion, Outcome::NotRun, "" },
        { "429", false, PartStatus::Refused, Outcome::NotRun, "" },
        { "503", true, PartStatus::Refused, Outcome::NotRun, "" },
        { "500", false, PartStatus::Failed, Outcome::Ran, "body" },
        { "404", true, PartStatus::Failed, Outcome::Ran, "body" },
        { "other-shard", false, PartStatus::WrongVersion, Outcome::Ran, "" },
        { "other-version", false, PartStatus::WrongVersion, Outcome::Ran, "" },
        { "other-version", true, PartStatus::Failed, Outcome::Ran, "" },
        { "no-headers", false, PartStatus::Failed, Outcome::Ran, "" },
        { "no-length", false, PartStatus::Failed, Outcome::MayHaveRun, "" },
        { "garbage", true, PartStatus::Failed, Outcome::MayHaveRun, "" },
        { "large", false, PartStatus::Failed, Outcome::MayHaveRun, "" },
        { "truncated", false, PartStatus::Crashed, Outcome::MayHaveRun, "" },
        { "crash", false, PartStatus::Crashed, Outcome::MayHaveRun, "" },
        { "crash", true, PartStatus::Crashed, Outcome::MayHaveRun, "" } };
    FakeLeaf leaf;
    std::uint64_t id = 0;
    for (const Case& it : cases) {
        CAPTURE(it.operation);
        Client client; // no connection is reused
        Part part = Client::part(++id, it.operation);
        part.requestKey = it.keyed ? "1-k" : "";
        const PartResult result = client.run(part, leaf.address());
        CHECK(result.status == it.status);
        CHECK(result.outcome == it.outcome);
        CHECK(result.body == it.body);
    }
}

// Guards against a part that was not sent but is reported as possibly run, or the reverse.
TEST_CASE("a part that cannot be sent is reported as not run")
{
    FakeLeaf leaf;
    Client client;
    const std::string unusedAddress = [] { return FakeLeaf().address(); }();
    CHECK(client.run(Client::part(1, "x"), unusedAddress).status == PartStatus::Unreachable);
    CHECK(client.run(Client::part(2, "x"), "nonsense").status == PartStatus::Unreachable);
    CHECK(client.run(Client::part(3, "x\r\nRequest-Key: 1"), leaf.address()).status == PartStatus::Failed);
    CHECK(client.run(Client::part(4, "x", milliseconds(0)), leaf.address()).status == PartStatus::Deadline);
    for (std::uint64_t id = 1; id < 5; ++id)
        CHECK(client.result(id).outcome == Outcome::NotRun);
    CHECK(leaf.requests == 0);
}

// Guards against more connections than the leaf accepts, and against a limit that counts closed connections.
TEST_CASE("the connection limit is enforced, and each kind of end frees a connection")
{
    FakeLeaf leaf;
    Client client;
    client.send(Client::part(1, "hang"), leaf.address(), 2);
    client.send(Client::part(2, "hang"), leaf.address(), 2);
    REQUIRE(eventually([&] { return leaf.requests == 2; }));
    client.send(Client::part(3, "x"), leaf.address(), 2);
    CHECK(client.result(3).status == PartStatus::Refused);
    CHECK(client.result(3).outcome == Outcome::NotRun);
    CHECK(client.leaves->cancel(1));
    client.send(Client::part(4, "crash"), leaf.address(), 2);
    CHECK(client.result(4).status == PartStatus::Crashed);
    client.send(Client::part(5, "x"), leaf.address(), 2);
    CHECK(client.result(5).status == PartStatus::Ok);
    CHECK(client.leaves->counters().openConnections == 2);
}

// Guards against a cancelled part that still occupies the leaf, and against its late answer reaching the next part.
TEST_CASE("cancel closes the connection and suppresses the callback")
{
    FakeLeaf leaf;
    Client client;
    CHECK(client.run(Client::part(1, "x"), leaf.address()).status == PartStatus::Ok);
    client.send(Client::part(2, "hang"), leaf.address());
    REQUIRE(eventually([&] { return leaf.requests == 2; }));
    CHECK(client.leaves->cancel(2));
    CHECK_FALSE(client.leaves->cancel(2));
    CHECK_FALSE(client.leaves->cancel(1));
    CHECK(eventually([&] { return leaf.ended == 1; }));
    CHECK(client.run(Client::part(3, "x"), leaf.address()).status == PartStatus::Ok);
    CHECK(leaf.accepted == 2);
    CHECK_FALSE(client.hasResult(2));
}

// Guards against an answer that arrives after the deadline and is taken for the next part's.
TEST_CASE("a part without an answer by its deadline may have run and its connection is not reused")
{
    FakeLeaf leaf;
    Client client;
    const PartResult result = client.run(Client::part(1, "hang", milliseconds(200)), leaf.address());
    CHECK(result.status == PartStatus::Deadline);
    CHECK(result.outcome == Outcome::MayHaveRun);
    CHECK(eventually([&] { return leaf.ended == 1; }));
    CHECK(client.run(Client::part(2, "x"), leaf.address()).status == PartStatus::Ok);
}

// Guards against bytes after a response that are read as the response to the next part.
TEST_CASE("a connection with bytes after the response is not reused")
{
    FakeLeaf leaf;
    Client client;
    CHECK(client.run(Client::part(1, "extra"), leaf.address()).body == "body");
    CHECK(client.run(Client::part(2, "x"), leaf.address()).body == "body");
    CHECK(leaf.accepted == 2);
}

// Guards against a part whose request becomes suspect of crashing leaves because of a stale connection, and against a
// crash that is taken for a stale connection.
TEST_CASE("a reused connection that ends without a response is stale only if the leaf accepts new ones")
{
    Client client;
    {
        FakeLeaf leaf;
        CHECK(client.run(Client::part(1, "x"), leaf.address()).status == PartStatus::Ok);
        const PartResult stale = client.run(Client::part(2, "crash"), leaf.address());
        CHECK(stale.status == PartStatus::Unreachable);
        CHECK(stale.outcome == Outcome::MayHaveRun);
        CHECK(client.run(Client::part(3, "x"), leaf.address()).status == PartStatus::Ok);
        Part keyed = Client::part(4, "crash");
        keyed.requestKey = "1-k";
        CHECK(client.run(keyed, leaf.address()).status == PartStatus::Crashed);
        CHECK(client.run(Client::part(5, "x"), leaf.address()).status == PartStatus::Ok);
        leaf.closesNewConnections = true; // an exiting process may still accept connections for a short time
        CHECK(client.run(Client::part(6, "crash"), leaf.address()).status == PartStatus::Crashed);
        leaf.closesNewConnections = false;
        CHECK(client.run(Client::part(7, "x"), leaf.address()).status == PartStatus::Ok);
        client.send(Client::part(8, "hang"), leaf.address());
        REQUIRE(eventually([&] { return leaf.requests == 8; }));
    } // the leaf exits while it runs the part
    CHECK(client.result(8).status == PartStatus::Crashed);
    CHECK(client.result(8).outcome == Outcome::MayHaveRun);
}

// Guards against idle connections that are still used or counted after the leaf has closed them.
TEST_CASE("idle connections closed by the leaf are removed from the pool")
{
    FakeLeaf leaf;
    Client client;
    client.leaves->preconnect("loandesk-3a", leaf.address(), 3);
    REQUIRE(eventually([&] { return leaf.accepted == 3; }));
    leaf.closeConnections();
    CHECK(eventually([&] { return client.leaves->counters().openConnections == 0; }));
    CHECK(client.run(Client::part(1, "x"), leaf.address()).status == PartStatus::Ok);
}

// Guards against permanently unresponsive connections, each of which would let one more part time out.
TEST_CASE("a timeout on a reused connection closes the other unresponsive ones if a new connection works")
{
    FakeLeaf leaf;
    Client client;
    for (std::uint64_t id = 1; id <= 3; ++id)
        client.send(Client::part(id, "x"), leaf.address());
    for (std::uint64_t id = 1; id <= 3; ++id)
        client.result(id);
    const int before = leaf.accepted;
    leaf.unresponsive = true;
    CHECK(client.run(Client::part(4, "x", milliseconds(300)), leaf.address()).status == PartStatus::Deadline);
    CHECK(eventually([&] { return leaf.ended == before; }));
    CHECK(client.run(Client::part(5, "x"), leaf.address()).status == PartStatus::Ok);
    CHECK(client.leaves->counters().unresponsiveClosed == static_cast<std::uint64_t>(before - 1));
}

// Guards against connections that stay open to the old address of a leaf, or to a removed leaf.
TEST_CASE("a leaf's connections are closed when its address changes or it is removed")
{
    FakeLeaf old;
    FakeLeaf fresh;
    Client client;
    CHECK(client.run(Client::part(1, "x"), old.address()).status == PartStatus::Ok);
    CHECK(client.run(Client::part(2, "x"), fresh.address()).status == PartStatus::Ok);
    CHECK(eventually([&] { return old.ended == 1; }));
    client.leaves->closeConnections("loandesk-3a");
    CHECK(eventually([&] { return fresh.ended == 1; }));
    CHECK(client.leaves->counters().openConnections == 0);
}
