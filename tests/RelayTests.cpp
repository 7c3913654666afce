// A peer that gathers parts for an entry instance: its links, RouteService and connections to leaves. Guards against
// work that goes on for callers that have left.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/PartMessages.h"
#include "daemon/RouteService.h"
#include "platform/RequestProtocol.h"
#include "transport/Links.h"

#include <asio.hpp>
#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace citronplank;

namespace {

constexpr milliseconds waitLimit { 15000 }; // tolerates a loaded host
constexpr milliseconds settleTime { 300 };  // in which a request that was sent reaches its leaf

/// An io_context that one thread runs.
struct Worker {
    Worker()
        : work(asio::make_work_guard(io))
        , thread([this] { io.run(); })
    {
    }
    ~Worker() { stop(); }
    void stop()
    {
        io.stop();
        if (thread.joinable())
            thread.join();
    }
    /// Keeps the thread busy, as a process does that stands still. Returns at once.
    void stall(milliseconds time)
    {
        asio::post(io, [time] { std::this_thread::sleep_for(time); });
    }
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

template <typename Condition>
bool eventually(Condition condition)
{
    for (auto end = Clock::now() + waitLimit; Clock::now() < end; std::this_thread::sleep_for(milliseconds(5))) {
        if (condition())
            return true;
    }
    return condition();
}

LinkSettings linkSettingsOf(const std::string& name)
{
    LinkSettings settings;
    settings.listenAddress = "127.0.0.1:0";
    settings.sender = name;
    settings.incarnation = 1;
    return settings;
}

/// A peer with one leaf, and the link of an entry instance to the peer.
struct Fixture {
    Fixture()
    {
        HttpServerSettings settings;
        settings.address = "127.0.0.1:0";
        leaf = std::make_unique<HttpServer>(leafWorker.io, settings, [this](const HttpRequest&, const Responder& it) {
            ++arrivals;
            if (isLeafSilent)
                silenced.push_back(it);
            else
                it.answer({ 200, "", std::string(TopRecords::recordBytes, 'r'), { { "Server-Stamp", "stamp" } } });
        });
        leaf->start();
        peerLinks.onReceive([this](const Envelope& envelope) { routes.onRelayMessage(envelope); });
        peerLinks.onLinkState([this](const std::string&, Channel, bool up) {
            if (!up)
                routes.onPeerLost("entry");
        });
        entryLinks.onReceive([this](const Envelope&) { ++answers; });
        peerLinks.start();
        entryLinks.start();
        Route route;
        route.name = "list";
        route.host = "h.example";
        route.pathPrefix = "/list/";
        route.shards = { "shard" };
        ServingConfiguration configuration;
        configuration.version = 1;
        configuration.routes = { route };
        configuration.services["shard"] = { 25, 0 };
        routes.setTable(std::make_shared<const RouteTable>(configuration));
        Announcement announcement;
        announcement.leaf = "leaf";
        announcement.service = "shard";
        announcement.zone = "atl";
        announcement.address = leaf->address();
        announcement.slots = 2;
        routes.setLeaves({ announcement });
        // Opens the link and the connection to the leaf. On a loaded host a request may expire on its way.
        std::uint64_t correlation = 0;
        REQUIRE(eventually([&] { return answers > 0 || (sendRelay(++correlation) && answers > 0); }));
        std::this_thread::sleep_for(settleTime);
        REQUIRE(arrivals > 0);
        arrivals = 0;
    }
    ~Fixture()
    {
        entryLinks.stop();
        peerLinks.stop();
        routes.stop();
        entryWorker.stop();
        peerWorker.stop();
        leafWorker.stop();
    }

    /// Sends a relay request as an entry instance that waits 60 ms for its answer.
    bool sendRelay(std::uint64_t correlation, milliseconds remaining = milliseconds(500))
    {
        RelayedCall call { { "list", milliseconds(100), { "shard" }, 5, remaining, milliseconds(30) }, "GET", "/list/1",
            { { "Host", "h.example" }, { "Request-Id", "id" } }, "" };
        return send(MessageKind::RelayRequest, encode(call), correlation, milliseconds(60));
    }
    bool cancelRelay(std::uint64_t correlation) { return send(MessageKind::RelayCancel, {}, correlation, {}); }
    bool send(MessageKind kind, std::string body, std::uint64_t correlation, milliseconds timeToLive)
    {
        return entryLinks.send(peerLinks.address(), Channel::Part,
            { .correlation = correlation,
                .kind = static_cast<std::uint16_t>(kind),
                .body = std::move(body),
                .timeToLive = timeToLive });
    }

    std::atomic<int> arrivals { 0 }; // requests at the leaf
    std::atomic<bool> isLeafSilent { false };
    std::vector<Responder> silenced; // requests that a silent leaf runs
    std::atomic<int> answers { 0 };  // relay answers at the entry instance
    Worker leafWorker;
    Worker peerWorker;
    Worker entryWorker;
    std::unique_ptr<HttpServer> leaf;
    Links entryLinks { entryWorker.io, linkSettingsOf("entry") };
    Links peerLinks { peerWorker.io, linkSettingsOf("peer") };
    Counters counters;
    TrafficCounters traffic { counters };
    platform::RequestProtocol protocol;
    RouteService routes { peerWorker.io, "peer", "atl", protocol, {},
        [this](const std::string&, MessageKind kind, std::string body, std::uint64_t correlation, milliseconds) {
            return peerLinks.send(entryLinks.address(), Channel::Part,
                { .correlation = correlation, .kind = static_cast<std::uint16_t>(kind), .body = std::move(body) });
        },
        [](const CrashNotice&) {}, counters, traffic };
};

constexpr milliseconds stallTime { 800 };
constexpr std::uint64_t testedRelay = 1U << 20U; // correlation above those of the fixture

} // namespace

TEST_CASE("a peer that stood still does not send the parts of a request whose caller left meanwhile")
{
    Fixture it;
    it.peerWorker.stall(stallTime);
    REQUIRE(it.sendRelay(testedRelay));
    std::this_thread::sleep_for(milliseconds(26));
    REQUIRE(it.cancelRelay(testedRelay));
    std::this_thread::sleep_for(stallTime + settleTime);
    CHECK(it.arrivals == 0);
}

// The cancel of a relay is a message of its own, which can be lost with its link.
TEST_CASE("a peer that stood still does not send parts that the entry instance has requested elsewhere")
{
    Fixture it;
    it.peerWorker.stall(stallTime);
    REQUIRE(it.sendRelay(testedRelay));
    std::this_thread::sleep_for(stallTime + settleTime);
    CHECK(it.arrivals == 0);
}

TEST_CASE("a peer ends the work for an entry instance that it has lost, whose cancel cannot arrive")
{
    Fixture it;
    it.isLeafSilent = true;
    auto correlation = testedRelay;
    REQUIRE(
        eventually([&] { return it.arrivals > 0 || (it.sendRelay(++correlation, seconds(30)) && it.arrivals > 0); }));
    CHECK(it.leaf->counters().callerDisconnects == 0);
    it.entryLinks.stop();
    CHECK(eventually([&] { return it.leaf->counters().callerDisconnects > 0; }));
}
