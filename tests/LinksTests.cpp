#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "transport/EnvelopeCodec.h"
#include "transport/Links.h"
#include "transport/PeerClock.h"
#include "transport/SocketCloser.h"

#include <asio.hpp>
#include <atomic>
#include <condition_variable>
#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>
#include <random>
#include <thread>

using namespace citronplank;

namespace {

constexpr seconds waitTimeout { 20 }; // generous, to tolerate a loaded host

/// Links of one daemon with two worker threads. Records received envelopes and state changes.
struct Node {
    explicit Node(const std::string& name, LinkSettings settings = {})
        : work(asio::make_work_guard(io))
    {
        if (settings.listenAddress.empty())
            settings.listenAddress = "127.0.0.1:0";
        settings.sender = name;
        settings.incarnation = 5;
        links = std::make_unique<Links>(io, settings);
        links->onReceive([this](Envelope envelope) {
            while (blocksHandler.load())
                std::this_thread::sleep_for(milliseconds(1));
            const std::lock_guard lock(mutex);
            received.push_back(std::move(envelope));
            changed.notify_all();
        });
        links->onLinkState([this](const std::string&, Channel channel, bool up) {
            const std::lock_guard lock(mutex);
            states.emplace_back(channel, up);
            changed.notify_all();
        });
        links->start();
        for (int i = 0; i < 2; ++i)
            threads.emplace_back([this] { io.run(); });
    }
    ~Node()
    {
        blocksHandler = false;
        links->stop();
        work.reset();
        io.stop();
        for (auto& it : threads)
            it.join();
    }
    /// Whether the condition becomes true before `waitTimeout`. It is checked under `mutex`.
    template <typename Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, waitTimeout, condition);
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<Links> links;
    std::vector<std::thread> threads;
    std::atomic<bool> blocksHandler { false }; // while set, the handler of received envelopes does not return
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Envelope> received;
    std::vector<std::pair<Channel, bool>> states;
};

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

/// Returns an address without a listener.
std::string freeAddress()
{
    asio::io_context io;
    const asio::ip::tcp::acceptor probe(io, { asio::ip::make_address("127.0.0.1"), 0 });
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

/// Forwards bytes between its own port and a target. Can stop forwarding while connections stay open.
class StallingProxy {
public:
    explicit StallingProxy(const std::string& target)
        : m_acceptor(m_io, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_target(asio::ip::make_address("127.0.0.1"),
              static_cast<std::uint16_t>(std::stoi(target.substr(target.find(':') + 1))))
    {
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~StallingProxy()
    {
        m_io.stop();
        m_thread.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    /// Stops forwarding on the existing connections. New connections are not affected.
    void stopForwardingExisting() { m_lastStopped = m_connections.load(); }

private:
    using Socket = asio::ip::tcp::socket;
    void accept()
    {
        m_acceptor.async_accept([this](const std::error_code& ec, Socket caller) {
            if (ec)
                return;
            auto callerSide = std::make_shared<Socket>(std::move(caller));
            auto targetSide = std::make_shared<Socket>(m_io);
            std::error_code failed;
            targetSide->connect(m_target, failed);
            const int number = ++m_connections;
            if (!failed) {
                forward(callerSide, targetSide, number);
                forward(targetSide, callerSide, number);
            }
            accept();
        });
    }
    void forward(const std::shared_ptr<Socket>& from, const std::shared_ptr<Socket>& to, int number)
    {
        auto buf = std::make_shared<std::array<char, 4096>>();
        from->async_read_some(asio::buffer(*buf), [=, this](const std::error_code& ec, std::size_t n) {
            if (ec) {
                std::error_code ignored;
                to->close(ignored);
                return;
            }
            std::error_code failed;
            if (number > m_lastStopped)
                asio::write(*to, asio::buffer(buf->data(), n), failed);
            forward(from, to, number);
        });
    }
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    std::atomic<int> m_connections { 0 };
    std::atomic<int> m_lastStopped { 0 };
    std::thread m_thread;
};

} // namespace

// Guards against an age of a message that is overstated, which would drop it though it is in time, or that is
// understated by more than the limit.
TEST_CASE("the clock of a peer is never estimated too low, and not too high by more than the best round trip")
{
    const TimePoint own { seconds(1000) };
    const TimePoint peers { seconds(77) };
    auto after = [](TimePoint time, int ms) { return time + milliseconds(ms); };
    PeerClock clock;
    CHECK_FALSE(clock.at(own));
    auto heartbeat = clock.onHeartbeat(own);
    clock.onAnswer(encodeClockReading(heartbeat, after(peers, 20)), after(own, 30)); // 20 ms to the peer, 10 ms back
    CHECK(clock.at(after(own, 100)) == after(peers, 120));
    // A less precise measurement does not replace a better one, but an old one.
    heartbeat = clock.onHeartbeat(after(own, 200));
    clock.onAnswer(encodeClockReading(heartbeat, after(peers, 210)), after(own, 300));
    CHECK(clock.at(after(own, 300)) == after(peers, 320));
    heartbeat = clock.onHeartbeat(after(own, 60000));
    clock.onAnswer(encodeClockReading(heartbeat, after(peers, 60010)), after(own, 60100));
    CHECK(clock.at(after(own, 60100)) == after(peers, 60110));
    // A late answer to an earlier heartbeat is not taken for a fast one to the last heartbeat.
    heartbeat = clock.onHeartbeat(after(own, 120000));
    clock.onHeartbeat(after(own, 120200));
    clock.onAnswer(encodeClockReading(heartbeat, after(peers, 120001)), after(own, 120201));
    CHECK(clock.at(after(own, 120201)) == after(peers, 120211));
}

TEST_CASE("a heartbeat that was answered late, or without a clock, leaves the peer's clock unknown")
{
    const TimePoint own { seconds(1000) };
    PeerClock slow;
    auto heartbeat = slow.onHeartbeat(own);
    slow.onAnswer(encodeClockReading(heartbeat, own), own + milliseconds(251));
    CHECK_FALSE(slow.at(own));
    CHECK_FALSE(slow.isSettled());
    for (const char* content : { "", "x", "1", "1 ", "1 2x", "x 2", "1 99999999999999999999" }) {
        PeerClock older;
        older.onHeartbeat(own);
        older.onAnswer(content, own + milliseconds(1));
        CHECK_FALSE(older.at(own));
        CHECK(older.isUnsupported());
    }
}

// Builds without the two fields reject an envelope that has them.
TEST_CASE("an envelope has the fields about its age only if its sender knows the peer's clock")
{
    WireEnvelope wire;
    wire.envelope.from = "10.0.0.1:7400";
    wire.envelope.timeToLive = milliseconds(80);
    auto without = encodeWire(wire);
    wire.envelope.sentAt = TimePoint(seconds(5));
    auto with = encodeWire(wire);
    CHECK(decodeWire(without)->envelope.sentAt == std::nullopt);
    CHECK(without.substr(1) == with.substr(1, without.size() - 1));
    auto read = decodeWire(with);
    REQUIRE(read);
    CHECK(read->envelope.sentAt == wire.envelope.sentAt);
    CHECK(read->envelope.timeToLive == milliseconds(80));
    CHECK_FALSE(read->envelope.isExpired(TimePoint(seconds(5)) + milliseconds(79)));
    CHECK(read->envelope.isExpired(TimePoint(seconds(5)) + milliseconds(80)));
    wire.envelope.sentAt = TimePoint(Duration::min());
    CHECK_FALSE(decodeWire(encodeWire(wire)));
}

// Guards against losing a field, and against accepting bytes of another format as an envelope.
TEST_CASE("an envelope is decoded as it was encoded, and corrupt bytes are rejected")
{
    const WireEnvelope wire { 9, Channel::Part, { "127.0.0.1:7400", "atl-1", 5, 77, 3, std::string("a\0b", 3) } };
    const std::string bytes = encodeWire(wire);
    const auto decoded = decodeWire(bytes);
    REQUIRE(decoded);
    CHECK(decoded->epoch == 9);
    CHECK(decoded->channel == Channel::Part);
    CHECK(decoded->envelope.sender == "atl-1");
    CHECK(decoded->envelope.correlation == 77);
    CHECK(decoded->envelope.body == std::string("a\0b", 3));
    for (std::size_t n = 0; n < bytes.size(); ++n)
        CHECK_FALSE(decodeWire(std::string_view(bytes).substr(0, n)));
    CHECK_FALSE(decodeWire(bytes + "x"));
    CHECK_FALSE(decodeWire(std::string(64, '\x91')));
    CHECK_FALSE(decodeWire(encodeWire({ 1, Channel::Part, { "no address", "n", 0, 0, 0, "" } })));
}

// Guards against lost or reordered envelopes of one channel, and against a first send that is refused while connecting.
TEST_CASE("envelopes arrive in order, with their sender, starting with the first one")
{
    Node sender("a");
    Node receiver("b");
    for (std::uint64_t i = 0; i < 100; ++i)
        REQUIRE(sender.links->send(receiver.links->address(), Channel::Part, { .correlation = i, .kind = 4 }));
    REQUIRE(receiver.waitFor([&] { return receiver.received.size() == 100; }));
    for (std::uint64_t i = 0; i < 100; ++i)
        CHECK(receiver.received[i].correlation == i);
    CHECK(receiver.received[0].from == sender.links->address());
    CHECK(receiver.received[0].sender == "a");
    CHECK(receiver.received[0].incarnation == 5);
}

// Guards against a send that blocks or reports success without a listener, and against a missing report of "down".
TEST_CASE("a link to an absent peer goes down and refuses sends immediately, and comes up when the peer starts")
{
    Node sender("a");
    std::string address;
    {
        const Node stopped("b");
        address = stopped.links->address();
    }
    sender.links->send(address, Channel::Control, { .kind = 1 });
    REQUIRE(sender.waitFor([&] { return !sender.states.empty(); }));
    CHECK(sender.states.front() == std::pair(Channel::Control, false));
    CHECK_FALSE(sender.links->send(address, Channel::Control, { .kind = 1 }));
    LinkSettings settings;
    settings.listenAddress = address;
    Node restarted("b", settings);
    REQUIRE(sender.waitFor([&] { return sender.states.back().second; }));
    // Messages queued while the peer was absent are dropped with the old connection and never delivered late.
    CHECK(sender.links->send(address, Channel::Control, { .kind = 2 }));
    REQUIRE(restarted.waitFor([&] { return !restarted.received.empty(); }));
    CHECK(restarted.received.front().kind == 2);
}

// Guards against keeping a connection that is open but no longer delivers anything, although a new one would work.
TEST_CASE("a message with a time to live does not wait for its channel to open")
{
    const std::string address = freeAddress();
    Node sender("sender");
    auto send
        = [&] { return sender.links->send(address, Channel::Part, { .kind = 3, .timeToLive = milliseconds(100) }); };
    CHECK_FALSE(send());
    LinkSettings settings;
    settings.listenAddress = address;
    Node receiver("receiver", settings);
    REQUIRE(eventually(send));
    REQUIRE(receiver.waitFor([&] { return !receiver.received.empty(); }));
    const std::lock_guard lock(receiver.mutex);
    REQUIRE(receiver.received.front().sentAt);
    CHECK(receiver.received.front().timeToLive == milliseconds(100));
    CHECK(*receiver.received.front().sentAt < Clock::now() + PeerClock::maxRoundTrip);
    CHECK(receiver.received.size() == 1);
}

TEST_CASE("an unresponsive connection is reported down and replaced")
{
    Node caller("a");
    LinkSettings settings;
    settings.listenAddress = freeAddress();
    StallingProxy proxy(settings.listenAddress);
    settings.advertisedAddress = proxy.address();
    Node peer("b", settings);
    REQUIRE(caller.links->send(proxy.address(), Channel::Part, { .kind = 1 }));
    REQUIRE(caller.waitFor([&] { return !caller.states.empty() && caller.states.back().second; }));
    proxy.stopForwardingExisting();
    REQUIRE(caller.waitFor([&] { return caller.states.size() == 3; }));
    CHECK_FALSE(caller.states[1].second);
    CHECK(caller.states[2].second);
    CHECK(caller.links->counters().redials > 0);
    CHECK(caller.links->send(proxy.address(), Channel::Part, { .kind = 2 }));
    CHECK(peer.waitFor([&] { return peer.received.size() == 2; }));
}

// Guards against a full queue that blocks the sender or grows without limit while the receiver is stalled.
TEST_CASE("sends fail immediately when the receiver handles nothing")
{
    LinkSettings slow;
    slow.maxPendingMessages = 4;
    Node receiver("b", slow);
    LinkSettings settings;
    settings.sendQueueLength = 4;
    settings.heartbeatTimeout = seconds(60);
    Node sender("a", settings);
    receiver.blocksHandler = true;
    const std::string body(std::size_t { 1 } << 20U, 'x');
    CHECK(eventually([&] { return !sender.links->send(receiver.links->address(), Channel::Part, { .body = body }); }));
    receiver.blocksHandler = false;
    CHECK(eventually([&] { return sender.links->send(receiver.links->address(), Channel::Part, { .body = body }); }));
}

// Guards against sending an oversized envelope: the peer would close the connection and all queued messages would be
// lost.
TEST_CASE("oversized envelopes and reserved kinds are refused by the sender")
{
    LinkSettings settings;
    settings.maxMessageBytes = 1000;
    Node sender("a", settings);
    const std::string address = "127.0.0.1:9";
    CHECK_FALSE(sender.links->send(address, Channel::Part, { .kind = 1, .body = std::string(1000, 'x') }));
    CHECK_FALSE(sender.links->send(address, Channel::Part, { .kind = firstReservedKind }));
    CHECK_FALSE(sender.links->send("not an address", Channel::Part, { .kind = 1 }));
    CHECK(sender.links->counters().refused == 3);
}

// Guards against a receiver that stops because another program sends invalid data to its port.
TEST_CASE("malformed messages are counted and dropped")
{
    Node receiver("b");
    nng_socket foreignSocket {};
    REQUIRE(nng_push0_open(&foreignSocket) == 0);
    REQUIRE(nng_dial(foreignSocket, ("tcp://" + receiver.links->address()).c_str(), nullptr, 0) == 0);
    std::string garbage = "garbage";
    REQUIRE(nng_send(foreignSocket, garbage.data(), garbage.size(), 0) == 0);
    CHECK(eventually([&] { return receiver.links->counters().malformed == 1; }));
    Node sender("a");
    CHECK(sender.links->send(receiver.links->address(), Channel::Part, { .kind = 1 }));
    CHECK(receiver.waitFor([&] { return receiver.received.size() == 1; }));
    closeSocket(foreignSocket, seconds(1));
}

// Guards against channels that keep each other open by heartbeats alone.
TEST_CASE("idle channels are closed on both sides")
{
    LinkSettings settings;
    settings.idleTimeout = milliseconds(300);
    Node sender("a", settings);
    Node receiver("b", settings);
    REQUIRE(sender.links->send(receiver.links->address(), Channel::Part, { .kind = 1 }));
    REQUIRE(sender.waitFor([&] { return !sender.states.empty() && sender.states.back().second; }));
    CHECK(eventually(
        [&] { return sender.links->counters().openChannels + receiver.links->counters().openChannels == 0; }));
}

// Guards against a timeout of the first relay request to a peer because opening a channel in both directions takes
// time.
TEST_CASE("a channel that is kept open is up before the first envelope, and stays up without one")
{
    LinkSettings settings;
    settings.heartbeatInterval = milliseconds(50);
    settings.heartbeatTimeout = milliseconds(200);
    settings.idleTimeout = milliseconds(400);
    Node a("a", settings);
    Node b("b", settings);
    a.links->keepOpen(b.links->address(), Channel::Part);
    REQUIRE(a.waitFor([&] { return !a.states.empty(); }));
    CHECK(a.states.front() == std::pair(Channel::Part, true));
    CHECK(b.links->counters().openChannels == 1); // for answers
    for (int i = 0; i < 8; ++i) {
        std::this_thread::sleep_for(milliseconds(100));
        a.links->keepOpen(b.links->address(), Channel::Part);
    }
    CHECK(a.links->counters().openChannels == 1);
    CHECK(a.links->counters().redials == 0);
}

// Guards against a heartbeat timeout that is not extended with the interval, which would replace a working connection,
// and against one that is extended without end.
TEST_CASE("a part channel with infrequent heartbeats stays up between them and still detects an unresponsive peer")
{
    LinkSettings settings;
    settings.heartbeatInterval = milliseconds(50);
    settings.heartbeatTimeout = milliseconds(150);
    settings.partChannelIntervals = 6;
    Node a("a", settings);
    std::string address;
    {
        Node b("b", settings);
        address = b.links->address();
        REQUIRE(a.links->send(address, Channel::Part, { .kind = 1 }));
        REQUIRE(a.waitFor([&] { return !a.states.empty(); }));
        std::this_thread::sleep_for(milliseconds(1000));
        CHECK(a.states.size() == 1);
        CHECK(a.links->counters().redials == 0);
    }
    CHECK(a.waitFor([&] { return a.states.size() >= 2 && !a.states.at(1).second; }));
}

// Guards against a peer that closes the channel on which it answers between two of the infrequent heartbeats, so that
// each heartbeat opens a new connection.
TEST_CASE("a part channel that only answers heartbeats stays open between them, and is closed once they end")
{
    LinkSettings settings;
    settings.heartbeatInterval = milliseconds(50);
    settings.heartbeatTimeout = milliseconds(150);
    settings.partChannelIntervals = 6;
    settings.idleTimeout = milliseconds(2000);
    Node user("a", settings);
    Node answerer("b", settings);
    user.links->keepOpen(answerer.links->address(), Channel::Part);
    REQUIRE(answerer.waitFor([&] { return !answerer.states.empty(); }));
    std::this_thread::sleep_for(milliseconds(1700));
    {
        const std::lock_guard lock(answerer.mutex);
        CHECK(answerer.states == std::vector { std::pair(Channel::Part, true) });
    }
    CHECK(answerer.links->counters().openChannels == 1);
    CHECK(eventually([&] { return answerer.links->counters().openChannels == 0; }));
}

// Guards against envelopes of a replaced connection that the kernel delivers after the end of a network partition.
TEST_CASE("envelopes of an older connection are dropped")
{
    Node receiver("b");
    nng_socket peer {};
    REQUIRE(nng_push0_open(&peer) == 0);
    REQUIRE(nng_dial(peer, ("tcp://" + receiver.links->address()).c_str(), nullptr, 0) == 0);
    for (const std::uint64_t epoch : { 2, 1, 3 }) {
        std::string bytes = encodeWire({ epoch, Channel::Part, { "127.0.0.1:9", "p", 1, epoch, 1, "" } });
        REQUIRE(nng_send(peer, bytes.data(), bytes.size(), 0) == 0);
    }
    REQUIRE(receiver.waitFor([&] { return receiver.received.size() == 2; }));
    CHECK(receiver.received[0].correlation == 2);
    CHECK(receiver.received[1].correlation == 3);
    CHECK(receiver.links->counters().outdated == 1);
    closeSocket(peer, seconds(1));
}

// Guards against a thread that blocks in nng forever when channels are closed while they are connecting, and against a
// stop that never returns. A hang shows as a timeout of this program.
TEST_CASE("channels that are opened and closed continuously do not block a thread")
{
    LinkSettings settings;
    settings.heartbeatInterval = milliseconds(1);
    settings.heartbeatTimeout = milliseconds(2);
    settings.idleTimeout = milliseconds(1);
    for (int round = 0; round < 10; ++round) {
        Node a("a", settings);
        Node b("b", settings);
        for (int i = 0; i < 30; ++i) {
            a.links->send(b.links->address(), Channel::Part, { .kind = 1 });
            b.links->send(a.links->address(), Channel::Control, { .kind = 1 });
            std::this_thread::sleep_for(milliseconds(2));
        }
        std::promise<void> ran;
        asio::post(a.io, [&] { asio::post(a.io, [&] { ran.set_value(); }); });
        CHECK(ran.get_future().wait_for(waitTimeout) == std::future_status::ready);
    }
}

/// Accepts connections of links, reads for a few milliseconds and resets them. Its destructor ends it.
class ResettingPeer {
public:
    explicit ResettingPeer(unsigned seed)
        : m_acceptor(m_io, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_random(seed)
        , m_thread([this] { run(); })
    {
    }
    ~ResettingPeer()
    {
        m_stopped = true;
        std::error_code ignored;
        asio::ip::tcp::socket(m_io).connect(m_acceptor.local_endpoint(), ignored); // ends `accept`
        m_thread.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    int resets() const { return m_resets; }

private:
    void run()
    {
        while (!m_stopped) {
            std::error_code ec;
            asio::ip::tcp::socket socket(m_io);
            m_acceptor.accept(socket, ec);
            constexpr std::array<char, 8> pullHandshake { 0, 'S', 'P', 0, 0, 0x51, 0, 0 };
            asio::write(socket, asio::buffer(pullHandshake), ec);
            std::array<char, 100> buf {};
            if (!ec)
                socket.read_some(asio::buffer(buf), ec); // what is not read makes the close a reset
            std::this_thread::sleep_for(milliseconds(m_random() % 8));
            ++m_resets;
        }
    }

    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::mt19937 m_random;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_resets { 0 };
    std::thread m_thread;
};

// Guards against a process that ends with SIGSEGV, because a message is sent on a connection that nng has freed, or
// because a socket of nng connects a second time.
TEST_CASE("connections that are reset while messages are sent corrupt no memory")
{
    LinkSettings settings;
    settings.heartbeatInterval = milliseconds(20);
    settings.heartbeatTimeout = milliseconds(60);
    settings.idleTimeout = milliseconds(80);
    settings.sendQueueLength = 8;
    Node node("a", settings);
    std::vector<std::unique_ptr<ResettingPeer>> peers;
    for (unsigned i = 0; i < 24; ++i)
        peers.push_back(std::make_unique<ResettingPeer>(i));
    std::mt19937 random(1);
    for (auto end = Clock::now() + seconds(8); Clock::now() < end;) {
        node.links->send(peers[random() % peers.size()]->address(),
            random() % 2 == 0 ? Channel::Part : Channel::Control,
            { .kind = 3, .body = std::string(random() % 3000, 'x') });
        std::this_thread::sleep_for(std::chrono::microseconds(random() % 400));
    }
    for (const auto& it : peers)
        CHECK(it->resets() > 0);
    Node working("b", settings);
    CHECK(node.links->send(working.links->address(), Channel::Part, { .kind = 3 }));
    CHECK(working.waitFor([&] { return !working.received.empty(); }));
}
