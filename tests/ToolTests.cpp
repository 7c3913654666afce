#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tool/Tool.h"
#include "transport/HttpServer.h"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace citronplank;

namespace {

/// Stands in for an entry instance or a daemon: sends `response` to every request and stores the last request.
struct FakeServer {
    FakeServer()
        : work(asio::make_work_guard(io))
        , http(io, { .address = "127.0.0.1:0" }, [this](const HttpRequest& request, const Responder& responder) {
            const std::lock_guard lock(mutex);
            lastRequest = request;
            responder.answer(response);
        })
    {
        http.start();
        thread = std::thread([this] { io.run(); });
    }
    ~FakeServer()
    {
        work.reset();
        io.stop();
        thread.join();
    }
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::mutex mutex;
    HttpRequest lastRequest;
    HttpResponse response;
    HttpServer http;
    std::thread thread;
};

/// Exit code and output of one run of the tool.
struct Run {
    int code = -1;
    std::string out;
    std::string err;
};

Run run(std::vector<std::string> arguments, const std::map<std::string, std::string>& environment = {})
{
    arguments.insert(arguments.begin(), "citronplank");
    std::vector<const char*> argv;
    argv.reserve(arguments.size());
    for (const auto& it : arguments)
        argv.push_back(it.c_str());
    std::ostringstream out;
    std::ostringstream err;
    const int code = runTool(
        static_cast<int>(argv.size()), argv.data(),
        [&](const char* name) -> const char* {
            const auto it = environment.find(name);
            return it == environment.end() ? nullptr : it->second.c_str();
        },
        out, err);
    return { code, out.str(), err.str() };
}

/// Arguments of a complete query.
std::vector<std::string> queryArguments(const FakeServer& server)
{
    return { "query", "--caller-address=" + server.http.address(), "--service=loandesk", "--operation=list",
        "--customer=school", "--deadline=700", "--body=recorders" };
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

// Guards against a partial answer that a script takes for a complete one, and against a lost field of the query.
TEST_CASE("query sends its flags and distinguishes complete from partial answers")
{
    FakeServer server;
    server.response.body
        = R"({"index_version":7,"coverage":{"total":2,"answered":2,"whole":true,"missing":[]},"items":["a","b"]})";
    const Run whole = run(queryArguments(server));
    CHECK(whole.code == 0);
    CHECK(whole.out == "index version 7, complete: 2 of 2 shards\na\nb\n");
    CHECK(server.lastRequest.target == "/query");
    CHECK(nlohmann::json::parse(server.lastRequest.body)
        == nlohmann::json({ { "service", "loandesk" }, { "operation", "list" }, { "customer", "school" },
            { "deadline_ms", 700 }, { "body", "recorders" } }));
    server.response.body = R"({"index_version":7,"coverage":{"total":2,"answered":1,"whole":false,)"
                           R"("missing":[{"shard":1,"reason":"deadline"}]},"items":["a"]})";
    const Run partial = run(queryArguments(server));
    CHECK(partial.code == 4);
    CHECK(contains(partial.out, "PARTIAL: 1 of 2 shards\nmissing shard 1: deadline\na\n"));
    auto asJson = queryArguments(server);
    asJson.emplace_back("--json");
    CHECK(run(asJson).out == server.response.body + "\n");
    CHECK(run(asJson).code == 4);
    server.response.body = "no json";
    CHECK(run(queryArguments(server)).code == 1);
    server.response.body = "{}"; // an answer without coverage is not complete
    CHECK(run(queryArguments(server)).code == 4);
}

// Guards against a tool that is aborted by an answer of another program.
TEST_CASE("an answer of an unexpected form is an error")
{
    FakeServer server;
    for (const char* body : { "[1]", "3", "null", "\"text\"", R"({"coverage":3})" }) {
        CAPTURE(body);
        server.response.body = body;
        const Run query = run(queryArguments(server));
        CHECK(query.code == 1);
        CHECK(contains(query.err, "unexpected form"));
        auto asJson = queryArguments(server);
        asJson.emplace_back("--json");
        CHECK(run(asJson).code != 0);
    }
}

// Guards against a refusal that a script takes for success, and against a message without the outcome.
TEST_CASE("error responses and unreachable entry instances have their own exit codes")
{
    FakeServer server;
    server.response = errorResponse(ErrorKind::NoReplica, "no replica of shard 3");
    const Run refused = run(queryArguments(server));
    CHECK(refused.code == 1);
    CHECK(refused.out.empty());
    CHECK(refused.err == "citronplank: no_replica: no replica of shard 3 (outcome: not_run, retry: later)\n");
    const Run unreachable = run({ "status", "--admin-address=127.0.0.1:1" });
    CHECK(unreachable.code == 3);
    CHECK(contains(unreachable.err, "no connection to 127.0.0.1:1"));
}

// Guards against a retry with a new key, which would run the request twice.
TEST_CASE("request prints the key that it sends, and uses the key of the flag")
{
    FakeServer server;
    server.response.body = R"({"outcome":"ran","body":"ok"})";
    std::vector<std::string> arguments { "request", "--caller-address=" + server.http.address(), "--service=latefees",
        "--operation=charge", "--routing=loan-5" };
    const Run first = run(arguments);
    CHECK(first.code == 0);
    const std::string key(server.lastRequest.header("Request-Key"));
    CHECK(key.size() > 12);
    CHECK(contains(first.err, "request key: " + key + "\n"));
    CHECK(contains(first.out, "outcome: ran\n"));
    CHECK(nlohmann::json::parse(server.lastRequest.body).at("routing") == "loan-5");
    run(arguments);
    CHECK(key != server.lastRequest.header("Request-Key"));
    arguments.push_back("--key=" + key);
    run(arguments);
    CHECK(key == server.lastRequest.header("Request-Key"));
}

// Guards against a lost answer that is reported like a request that did not run.
TEST_CASE("if the connection of a request ends before the answer, the key for a retry is printed")
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
    std::thread entry([&] {
        std::array<char, 4096> buf {};
        acceptor.accept().read_some(asio::buffer(buf));
    });
    const Run lost = run({ "request", "--caller-address=127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
        "--service=s", "--operation=o", "--routing=r", "--key=17-a" });
    entry.join();
    CHECK(lost.code == 3);
    CHECK(contains(lost.err, "the connection ended before the answer"));
    CHECK(contains(lost.err, "may have run; send it again with --key=17-a"));
}

// Guards against a wrong path of an administration page, and against a level of its tree that is not printed.
TEST_CASE("status and dump print a daemon's administration pages")
{
    FakeServer server;
    server.response.body = R"({"name":"atl-1","leaves":[{"leaf":"a","slots":2}],"none":[]})";
    const Run status = run({ "status" }, { { "CITRONPLANK_ADMIN_ADDRESS", server.http.address() } });
    CHECK(status.code == 0);
    CHECK(status.out == "leaves:\n  [0]:\n    leaf: a\n    slots: 2\nname: atl-1\nnone: []\n");
    CHECK(server.lastRequest.target == "/status");
    const Run dump = run({ "dump", "--admin-address=" + server.http.address() });
    CHECK(nlohmann::json::parse(dump.out) == nlohmann::json::parse(server.response.body));
    CHECK(server.lastRequest.target == "/dump");
}

// Guards against a usage error that sends a request or has the exit code of an answer.
TEST_CASE("explain asks for the host and path of the request and prints one line for each leaf")
{
    FakeServer server;
    server.response.body = R"({"route":"shop","services":[{"service":"list","choice":"spread","extra_requests_left":2,)"
                           R"("leaves":[{"leaf":"a1","share":0.5,"zone":"atl"},{"leaf":"a2","excluded":"paused"}]}]})";
    const Run text
        = run({ "explain", "--admin-address=" + server.http.address(), "--host=shop.test", "--path=/a?b=c" });
    CHECK(text.code == 0);
    CHECK(text.out
        == "route: shop\nservice list: choice=spread extra_requests_left=2\n  a1 share=0.5 zone=atl\n"
           "  a2 excluded=paused\n");
    CHECK(server.lastRequest.target == "/explain/a?b=c");
    CHECK(server.lastRequest.header("Host") == "shop.test");
    CHECK(run({ "explain", "--admin-address=" + server.http.address(), "--host=shop.test", "--path=a" }).code == 2);
}

TEST_CASE("a usage error has exit code 2")
{
    FakeServer server;
    const std::vector<std::vector<std::string>> cases { {}, { "nothing" }, { "query" }, { "status", "--unknown" },
        { "status", "--admin-address=nonsense" }, { "version", "extra" }, { "--nothing" } };
    for (const auto& it : cases) {
        const Run wrong = run(it);
        CHECK(wrong.code == 2);
        CHECK(wrong.out.empty());
        CHECK(wrong.err.starts_with("citronplank: "));
    }
    for (const char* flag : { "--deadline=0", "--deadline=1x", "--body=@/none/file" }) {
        auto arguments = queryArguments(server);
        arguments.emplace_back(flag);
        CHECK(run(arguments).code == 2);
    }
    CHECK(server.http.counters().requests == 0);
}

// Guards against a command or exit code that the help does not list.
TEST_CASE("help lists the commands, flags and exit codes")
{
    const Run help = run({ "--help" });
    CHECK(help.code == 0);
    for (const char* command : { "query", "request", "status", "dump", "explain", "version" }) {
        CHECK(contains(help.out, std::string("\n  ") + command));
        CHECK(run({ command, "--help" }).code == 0);
    }
    for (const char* code : { "  0  ", "  1  ", "  2  ", "  3  ", "  4  " })
        CHECK(contains(help.out, code));
    CHECK(contains(run({ "query", "--help" }).out, "CITRONPLANK_CALLER_ADDRESS"));
    CHECK(run({ "version" }).out.starts_with("citronplank "));
}

// Guards against an invalid rules file that passes the check, and against an error without its location.
TEST_CASE("check prints the location of an error")
{
    const std::string name = "/tmp/tool-tests-rules-" + std::to_string(getpid());
    std::ofstream(name) << "zone atl out # nok: power work\n";
    CHECK(run({ "check", name }).code == 0);
    std::ofstream(name) << "zone atl out\n";
    const Run wrong = run({ "check", name });
    std::remove(name.c_str());
    CHECK(wrong.code == 1);
    CHECK(contains(wrong.err, name + ":1:"));
    CHECK(run({ "check", name }).code == 2);
    CHECK(run({ "check" }).code == 2);
}
