#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/AdminServer.h"
#include "daemon/Counters.h"
#include "daemon/Logging.h"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace citronplank;

namespace {

AdminHandlers handlers()
{
    return { .ready = [] { return HttpResponse { .body = "ready" }; },
        .announce =
            [](const std::string& body) {
                if (body == "bad")
                    throw Error(ErrorKind::BadRequest, "announcement: zone is missing");
                return HttpResponse { .body = "{}" };
            },
        .status = [] { return HttpResponse { .body = "status" }; },
        .dump = []() -> HttpResponse { throw std::runtime_error("broken"); },
        .metrics = [] { return HttpResponse { .contentType = "text/plain", .body = "m 1" }; } };
}

int portOf(const AdminServer& server) { return std::stoi(server.address().substr(server.address().find(':') + 1)); }

} // namespace

// Guards against a path that answers with another path's content, and against errors that are not in the error table.
TEST_CASE("the administration server answers its paths and errors")
{
    AdminServer server({ .address = "127.0.0.1:0" }, handlers());
    server.start();
    httplib::Client client("127.0.0.1", portOf(server));
    CHECK(client.Get("/ready")->body == "ready");
    CHECK(client.Get("/status")->body == "status");
    CHECK(client.Get("/metrics")->get_header_value("Content-Type") == "text/plain");
    CHECK(client.Post("/announce", "{}", "application/json")->body == "{}");
    const auto bad = client.Post("/announce", "bad", "application/json");
    CHECK(bad->status == 400);
    CHECK(nlohmann::json::parse(bad->body).at("message") == "announcement: zone is missing");
    const auto dump = client.Get("/dump");
    CHECK(dump->status == 500);
    CHECK(nlohmann::json::parse(dump->body).at("error") == "internal");
    CHECK(client.Get("/none")->status == 404);
    CHECK(nlohmann::json::parse(client.Get("/none")->body).at("error") == "bad_request");
    const auto large = client.Post("/announce", std::string(100000, 'x'), "application/json");
    REQUIRE(large);
    CHECK(large->status == 413);
}

// Guards against idle connections or incomplete requests that occupy all threads, so that readiness is no longer
// answered.
TEST_CASE("more idle connections and incomplete requests than threads do not block the administration server")
{
    AdminServer server({ .address = "127.0.0.1:0", .threads = 2, .readTimeout = milliseconds(100) }, handlers());
    server.start();
    asio::io_context io;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < 20; ++i) {
        sockets.emplace_back(io).connect(
            { asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(portOf(server)) });
        asio::write(sockets.back(), asio::buffer(std::string(i % 2 ? "GET /re" : "GET /ready HTTP/1.1\r\n\r\n")));
    }
    httplib::Client client("127.0.0.1", portOf(server));
    client.set_read_timeout(std::chrono::seconds(20));
    const auto ready = client.Get("/ready");
    REQUIRE(ready);
    CHECK(ready->body == "ready");
}

// Guards against two daemons that share an administration port without an error.
TEST_CASE("an address in use is refused")
{
    const AdminServer server({ .address = "127.0.0.1:0" }, handlers());
    CHECK_THROWS_AS(AdminServer({ .address = server.address() }, handlers()), Error);
    CHECK_THROWS_AS(AdminServer({ .address = "nonsense" }, handlers()), Error);
}

// Guards against lost updates under concurrency and against a metric without a unit or with an ambiguous type.
TEST_CASE("counters can be updated by several threads and their text states the units")
{
    Counters counters;
    Counter& parts = counters.counter("parts_total");
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&] {
            for (int i = 0; i < 1000; ++i) {
                parts.add();
                counters.gauge("open_connections").add(i % 2 ? 1 : -1);
                counters.latency("query_latency").record(milliseconds(2));
            }
        });
    }
    for (auto& it : threads)
        it.join();
    const std::string text = counters.text();
    CHECK(text.find("# TYPE citronplank_parts_total counter\ncitronplank_parts_total 4000\n") != std::string::npos);
    CHECK(text.find("citronplank_open_connections 0\n") != std::string::npos);
    CHECK(text.find("citronplank_query_latency_microseconds_count 4000\n") != std::string::npos);
    CHECK(text.find("citronplank_query_latency_microseconds_sum 8000000\n") != std::string::npos);
    CHECK(text.find("citronplank_query_latency_microseconds{quantile=\"0.99\"} ") != std::string::npos);
    CHECK_THROWS_AS(counters.gauge("parts_total"), std::invalid_argument);
    CHECK_THROWS_AS(counters.counter("Bad Name"), std::invalid_argument);
}

// Guards against a quantile below the true value or more than an eighth above it.
TEST_CASE("quantiles of a histogram are upper bounds of the true value")
{
    for (std::int64_t value = 1; value < 4'000'000'000; value = value * 3 / 2 + 1) {
        LatencyHistogram histogram;
        histogram.record(std::chrono::microseconds(value));
        CHECK(histogram.quantile(0.5).count() >= value);
        CHECK(histogram.quantile(0.5).count() <= value + value / 8);
    }
    LatencyHistogram histogram;
    CHECK(histogram.quantile(0.99).count() == 0);
    for (int i = 1; i <= 100; ++i)
        histogram.record(milliseconds(i));
    CHECK(histogram.quantile(0.5) >= milliseconds(50));
    CHECK(histogram.quantile(0.5) < milliseconds(57));
    CHECK(histogram.quantile(1.0) >= milliseconds(100));
    histogram.record(std::chrono::hours(100));
    histogram.record(milliseconds(-1));
    CHECK(histogram.count() == 102);
}

// Guards against input of a caller that forges a log line, and against lines below the level.
TEST_CASE("log lines have a fixed format and cannot be forged")
{
    std::vector<std::string> lines;
    startLogging(LogLevel::Info, [&](std::string_view line) { lines.emplace_back(line); });
    log(LogLevel::Debug, "gate", "not written");
    log(LogLevel::Warning, "link", "10.0.0.2:7302 is down.\nERROR forged");
    stopLogging();
    log(LogLevel::Error, "link", "after the end");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].ends_with("Z WARN  link: 10.0.0.2:7302 is down. ERROR forged"));
    CHECK_FALSE(isLogged(LogLevel::Error));
}
