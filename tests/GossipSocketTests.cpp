#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "transport/GossipSocket.h"

#include "citronplank.h"

#include <asio.hpp>
#include <doctest/doctest.h>

using namespace citronplank;

namespace {

// Runs the context until the condition holds. The time limit is generous to tolerate a loaded host.
template <typename Condition>
bool runUntil(asio::io_context& context, Condition condition)
{
    const auto end = Clock::now() + seconds(20);
    while (!condition() && Clock::now() < end)
        context.run_one_for(milliseconds(50));
    return condition();
}

} // namespace

// Guards against datagrams that are truncated, joined or attributed to a wrong sender.
TEST_CASE("datagrams arrive complete and with the sender's address")
{
    asio::io_context context;
    std::vector<std::pair<std::string, std::string>> received;
    const GossipSocket::Handler keep
        = [&](const std::string& from, std::string_view bytes) { received.emplace_back(from, bytes); };
    GossipSocket a(context, "127.0.0.1:0", keep);
    GossipSocket b(context, "127.0.0.1:0", keep);
    const std::string large(1200, 'x');
    a.send(b.address(), large);
    a.send(b.address(), "second");
    REQUIRE(runUntil(context, [&] { return received.size() == 2; }));
    CHECK(received[0] == std::pair(a.address(), large));
    CHECK(received[1].second == "second");
    b.send(received[0].first, "answer");
    REQUIRE(runUntil(context, [&] { return received.size() == 3; }));
    CHECK(received[2] == std::pair(b.address(), std::string("answer")));
}

// Guards against a socket that stops receiving after an error. A send to a closed port makes the next receive fail.
TEST_CASE("a socket continues to receive after a send to a port without a listener")
{
    asio::io_context context;
    int received = 0;
    GossipSocket a(context, "127.0.0.1:0", [&](const std::string&, std::string_view) { ++received; });
    GossipSocket b(context, "127.0.0.1:0", [](const std::string&, std::string_view) {});
    const auto closed = [&] { return GossipSocket(context, "127.0.0.1:0", {}).address(); }();
    a.send(closed, "nobody");
    context.run_for(milliseconds(50));
    b.send(a.address(), "x");
    CHECK(runUntil(context, [&] { return received == 1; }));
}

// Guards against a daemon that starts without a bound gossip address, and against a crash on a malformed one.
TEST_CASE("unusable addresses are reported")
{
    asio::io_context context;
    CHECK_THROWS_AS(GossipSocket(context, "nonsense", {}), Error);
    CHECK_THROWS_AS(GossipSocket(context, "127.0.0.1:99999", {}), Error);
    GossipSocket a(context, "127.0.0.1:0", {});
    CHECK_THROWS_AS(GossipSocket(context, a.address(), {}), Error);
    a.send("nonsense", "x");
    CHECK(a.failedSends() == 1);
    a.close();
    a.send(a.address(), "x"); // after close, nothing is sent and nothing fails
    CHECK(a.failedSends() == 1);
}
