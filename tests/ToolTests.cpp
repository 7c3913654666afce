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

/// A server that answers every request alike and keeps the last one.
struct FakeEntry {
    FakeEntry()
        : work(asio::make_work_guard(io))
        , http(io, { .address = "127.0.0.1:0" }, [this](const HttpRequest& request, const Responder& responder) {
            const std::lock_guard lock(mutex);
            last = request;
            responder.answer(answer);
        })
    {
        http.start();
        thread = std::thread([this] { io.run(); });
    }
    ~FakeEntry()
    {
        work.reset();
        io.stop();
        thread.join();
    }
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::mutex mutex;
    HttpRequest last;
    HttpResponse answer;
    HttpServer http;
    std::thread thread;
};

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

std::vector<std::string> query(const FakeEntry& entry)
{
    return { "query", "--caller-address=" + entry.http.address(), "--service=loandesk", "--operation=list",
        "--customer=school", "--deadline=700", "--body=recorders" };
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

// Guards against a partial answer that a script takes for a complete one, and against a lost field of the query.
TEST_CASE("query sends its flags and tells complete from partial answers")
{
    FakeEntry entry;
    entry.answer.body
        = R"({"index_version":7,"coverage":{"total":2,"answered":2,"whole":true,"missing":[]},"items":["a","b"]})";
    const Run whole = run(query(entry));
    CHECK(whole.code == 0);
    CHECK(whole.out == "index version 7, complete: 2 of 2 shards\na\nb\n");
    CHECK(entry.last.target == "/query");
    CHECK(nlohmann::json::parse(entry.last.body)
        == nlohmann::json({ { "service", "loandesk" }, { "operation", "list" }, { "customer", "school" },
            { "deadline_ms", 700 }, { "body", "recorders" } }));
    entry.answer.body = R"({"index_version":7,"coverage":{"total":2,"answered":1,"whole":false,)"
                        R"("missing":[{"shard":1,"reason":"deadline"}]},"items":["a"]})";
    const Run partial = run(query(entry));
    CHECK(partial.code == 4);
    CHECK(contains(partial.out, "PARTIAL: 1 of 2 shards\nmissing shard 1: deadline\na\n"));
    auto asJson = query(entry);
    asJson.emplace_back("--json");
    CHECK(run(asJson).out == entry.answer.body + "\n");
    CHECK(run(asJson).code == 4);
    entry.answer.body = "no json";
    CHECK(run(query(entry)).code == 1);
    entry.answer.body = "{}"; // an answer without coverage is not complete
    CHECK(run(query(entry)).code == 4);
}

// Guards against a refusal that a script takes for success, and against a message without its outcome.
TEST_CASE("error answers and unreachable entries have their own exit codes")
{
    FakeEntry entry;
    entry.answer = errorResponse(ErrorKind::NoReplica, "no replica of shard 3");
    const Run refused = run(query(entry));
    CHECK(refused.code == 1);
    CHECK(refused.out.empty());
    CHECK(refused.err == "citronplank: no_replica: no replica of shard 3 (outcome: not_run, retry: later)\n");
    const Run gone = run({ "status", "--admin-address=127.0.0.1:1" });
    CHECK(gone.code == 3);
    CHECK(contains(gone.err, "no connection to 127.0.0.1:1"));
}

// Guards against a resend under a new key, which would run the request twice.
TEST_CASE("request prints the key that it sends and uses a given one")
{
    FakeEntry entry;
    entry.answer.body = R"({"outcome":"ran","body":"ok"})";
    std::vector<std::string> arguments { "request", "--caller-address=" + entry.http.address(), "--service=latefees",
        "--operation=charge", "--routing=loan-5" };
    const Run first = run(arguments);
    CHECK(first.code == 0);
    const std::string key(entry.last.header("Request-Key"));
    CHECK(key.size() > 12);
    CHECK(contains(first.err, "request key: " + key + "\n"));
    CHECK(contains(first.out, "outcome: ran\n"));
    CHECK(nlohmann::json::parse(entry.last.body).at("routing") == "loan-5");
    run(arguments);
    CHECK(key != entry.last.header("Request-Key"));
    arguments.push_back("--key=" + key);
    run(arguments);
    CHECK(key == entry.last.header("Request-Key"));
}

// Guards against a lost answer that looks like a request that never ran.
TEST_CASE("a request whose connection ends before the answer names the key for a resend")
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

// Guards against an administration page that is asked at another path, and against a lost level of its tree.
TEST_CASE("status and dump show a daemon's pages")
{
    FakeEntry entry;
    entry.answer.body = R"({"name":"atl-1","leaves":[{"leaf":"a","slots":2}],"none":[]})";
    const Run status = run({ "status" }, { { "CITRONPLANK_ADMIN_ADDRESS", entry.http.address() } });
    CHECK(status.code == 0);
    CHECK(status.out == "leaves:\n  [0]:\n    leaf: a\n    slots: 2\nname: atl-1\nnone: []\n");
    CHECK(entry.last.target == "/status");
    const Run dump = run({ "dump", "--admin-address=" + entry.http.address() });
    CHECK(nlohmann::json::parse(dump.out) == nlohmann::json::parse(entry.answer.body));
    CHECK(entry.last.target == "/dump");
}

// Guards against wrong use that sends something or ends with a code that means an answer.
TEST_CASE("wrong use is refused with exit code 2")
{
    FakeEntry entry;
    const std::vector<std::vector<std::string>> cases { {}, { "nothing" }, { "query" }, { "status", "--unknown" },
        { "status", "--admin-address=nonsense" }, { "version", "extra" }, { "--nothing" } };
    for (const auto& it : cases) {
        const Run wrong = run(it);
        CHECK(wrong.code == 2);
        CHECK(wrong.out.empty());
        CHECK(wrong.err.starts_with("citronplank: "));
    }
    for (const char* flag : { "--deadline=0", "--deadline=1x", "--body=@/none/file" }) {
        auto arguments = query(entry);
        arguments.emplace_back(flag);
        CHECK(run(arguments).code == 2);
    }
    CHECK(entry.http.counters().requests == 0);
}

// Guards against a command or exit code that the help leaves out.
TEST_CASE("help lists the commands, flags and exit codes")
{
    const Run help = run({ "--help" });
    CHECK(help.code == 0);
    for (const char* command : { "query", "request", "status", "dump", "version" }) {
        CHECK(contains(help.out, std::string("\n  ") + command));
        CHECK(run({ command, "--help" }).code == 0);
    }
    for (const char* code : { "  0  ", "  1  ", "  2  ", "  3  ", "  4  " })
        CHECK(contains(help.out, code));
    CHECK(contains(run({ "query", "--help" }).out, "CITRONPLANK_CALLER_ADDRESS"));
    CHECK(run({ "version" }).out.starts_with("citronplank "));
}

// Guards against a faulty rules file that passes the check, and against a fault without its place.
TEST_CASE("check names the place of a fault")
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
