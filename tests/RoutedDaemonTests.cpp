// Components of the routed daemon: leaf connections, the broadcast of directory changes, the log buffer and the route
// table.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "backend/UpstreamClient.h"
#include "daemon/ControlClient.h"
#include "daemon/ItemBroadcast.h"
#include "daemon/LogBuffer.h"
#include "platform/RequestProtocol.h"
#include "query/RouteTable.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <malloc.h>
#include <thread>
#include <unistd.h>

using namespace citronplank;

namespace {

const TimePoint start { seconds(1000) };
TimePoint at(int ms) { return start + milliseconds(ms); }

/// A leaf that answers every request with the reply that the test sets.
class FakeLeaf {
public:
    explicit FakeLeaf(asio::io_context& io)
        : m_acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_dripTimer(io)
    {
        accept();
    }
    Announcement announcement() const
    {
        Announcement it;
        it.leaf = "leaf";
        it.service = "s";
        it.address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        return it;
    }
    int connections = 0; // accepted so far
    int requests = 0;    // whose heads were read
    bool isSilent = false;
    std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    bool closesAfterReply = false;
    std::string endless;       // sent after `reply` again and again until the connection ends; empty: nothing
    bool isEnded = false;      // a connection with endless bytes was closed by the client
    std::size_t sentBytes = 0; // of endless bytes
    std::optional<milliseconds> dripInterval; // between single bytes that follow `reply`; absent: none follow

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;
    void accept()
    {
        m_acceptor.async_accept([this](std::error_code ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            ++connections;
            serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            accept();
        });
    }
    void serve(const Socket& socket)
    {
        auto buf = std::make_shared<std::string>();
        asio::async_read_until(
            *socket, asio::dynamic_buffer(*buf), "\r\n\r\n", [this, socket, buf](std::error_code ec, std::size_t) {
                if (ec)
                    return;
                ++requests;
                m_openSockets.push_back(socket);
                if (isSilent)
                    return;
                asio::write(*socket, asio::buffer(reply), ec);
                if (!endless.empty())
                    sendEndless(socket);
                else if (dripInterval)
                    drip(socket);
                else if (closesAfterReply)
                    socket->close();
                else
                    serve(socket);
            });
    }
    void drip(const Socket& socket)
    {
        m_dripTimer.expires_after(*dripInterval);
        m_dripTimer.async_wait([this, socket](std::error_code) {
            std::error_code ec;
            asio::write(*socket, asio::buffer("x", 1), ec);
            isEnded = bool(ec);
            if (!ec)
                drip(socket);
        });
    }
    void sendEndless(const Socket& socket)
    {
        asio::async_write(*socket, asio::buffer(endless), [this, socket](std::error_code ec, std::size_t n) {
            sentBytes += n;
            isEnded = bool(ec);
            if (!ec)
                sendEndless(socket);
        });
    }
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<Socket> m_openSockets;
    asio::steady_timer m_dripTimer;
};

std::string repeated(std::string_view text, int n)
{
    std::string all;
    for (int i = 0; i < n; ++i)
        all += text;
    return all;
}

struct ClientFixture {
    asio::io_context io;
    FakeLeaf leaf { io };
    std::shared_ptr<UpstreamClient> client
        = std::make_shared<UpstreamClient>(asio::make_strand(io), UpstreamSettings {});
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    std::uint64_t lastAttempt = 0;
    platform::RequestProtocol protocol;

    void runFor(milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }
    std::optional<LeafReply> exchange(std::uint32_t limit = 4, std::optional<TimePoint> firstSentAt = std::nullopt)
    {
        std::optional<LeafReply> got;
        auto ownerOf = [this](const LeafReply& reply) {
            return protocol.ownerOf(reply, { "id" + std::to_string(lastAttempt), std::nullopt });
        };
        client->send(++lastAttempt, leaf.announcement(), limit, { request, false, firstSentAt, ownerOf },
            [&](LeafReply reply) { got = std::move(reply); });
        for (int i = 0; i < 200 && !got; ++i)
            runFor(milliseconds(5));
        return got;
    }
    ~ClientFixture() { client->closeAll(); }
};

} // namespace

// Guards against a leaked connection, or one opened for each request.
TEST_CASE("a connection is reused for consecutive requests")
{
    ClientFixture it;
    for (int i = 0; i < 3; ++i) {
        auto reply = it.exchange();
        REQUIRE(reply);
        CHECK(reply->end == LeafReply::End::Complete);
        CHECK(reply->body == "ok");
    }
    CHECK(it.leaf.connections == 1);
}

// Guards against a connection that is reused in a wrong state: extra bytes would be taken for the next response.
TEST_CASE("extra bytes after a response are discarded and the connection is closed")
{
    ClientFixture it;
    it.leaf.reply += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
    CHECK(it.exchange()->body == "ok");
    CHECK(it.exchange()->body == "ok");
    CHECK(it.leaf.connections == 2);
}

// Guards against a second copy of an earlier response that is taken for the response to the next request, and against a
// connection that stays one response behind.
TEST_CASE("a late second copy of a response answers no other request, and its connection is not used again")
{
    ClientFixture it;
    auto response = [](const std::string& id) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + (id.empty() ? id : "Request-Id: " + id + "\r\n") + "\r\n"
            + (id.empty() ? "any" : id);
    };
    it.leaf.reply = response("id1");
    CHECK(it.exchange()->body == "id1");
    SUBCASE("the copy names its request") { }
    SUBCASE("the copy names no request, though other responses of the leaf do") { it.leaf.reply = response(""); }
    CHECK(it.exchange()->end == LeafReply::End::Malformed);
    CHECK(it.leaf.connections == 1);
    it.leaf.reply = response("id3");
    CHECK(it.exchange()->body == "id3");
    CHECK(it.leaf.connections == 2);
    it.leaf.reply = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    CHECK(it.exchange()->end == LeafReply::End::Complete);
}

// Guards against a copy of an earlier reply to a request that is taken for the reply to a later send of that request.
TEST_CASE("a request that was sent to a leaf before uses a connection that has carried nothing since")
{
    ClientFixture it;
    auto before = Clock::now();
    it.runFor(milliseconds(1));
    it.exchange();
    CHECK(it.exchange(4, Clock::now())->body == "ok"); // the connection has been idle since
    CHECK(it.leaf.connections == 1);
    it.exchange(4, before);
    CHECK(it.leaf.connections == 2);
    // At the limit, an idle connection is closed to open a new one.
    CHECK(it.exchange(2, before)->body == "ok");
    CHECK(it.leaf.connections == 3);
    // A connection that was opened by a probe has carried nothing.
    it.exchange(4);
    it.client->probe(it.leaf.announcement(), [](bool) {});
    it.runFor(milliseconds(20));
    CHECK(it.leaf.connections == 4);
    it.exchange(4, before);
    CHECK(it.leaf.connections == 4);
}

TEST_CASE("a leaf that never names the request that it answers is used")
{
    ClientFixture it;
    CHECK(it.exchange()->body == "ok");
    CHECK(it.exchange()->body == "ok");
    CHECK(it.leaf.connections == 1);
}

// Guards against a truncated or malformed response that is passed on as complete.
TEST_CASE("a response without a length is complete when the leaf closes the connection, a truncated one is not")
{
    ClientFixture it;
    it.leaf.closesAfterReply = true;
    it.leaf.reply = "HTTP/1.1 200 OK\r\n\r\nuntil the end";
    auto reply = it.exchange();
    CHECK(reply->end == LeafReply::End::Complete);
    CHECK(reply->body == "until the end");
    it.leaf.reply = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort";
    CHECK(it.exchange()->end == LeafReply::End::Lost);
    it.leaf.reply = "not HTTP at all\r\n\r\n";
    CHECK(it.exchange()->end == LeafReply::End::Malformed);
}

// Guards against a truncated response, at any of its bytes, that is passed on as complete.
TEST_CASE("a response of a leaf that stops before its end is not complete, wherever it stops")
{
    const std::string head = "HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\n";
    for (const std::string& whole : { head + "Content-Length: 12\r\n\r\nabcdefghijkl",
             head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n8\r\nefghijkl\r\n0\r\n\r\n",
             "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
             "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 1\r\n\r\nz" }) {
        ClientFixture it;
        it.leaf.closesAfterReply = true;
        for (std::size_t n = 0; n < whole.size(); ++n) {
            it.leaf.reply = whole.substr(0, n);
            CAPTURE(it.leaf.reply);
            auto reply = it.exchange();
            REQUIRE(reply);
            CHECK(reply->end != LeafReply::End::Complete);
        }
        it.leaf.reply = whole;
        CHECK(it.exchange()->end == LeafReply::End::Complete);
    }
    // Without a length the end of the connection ends the body, but not the head.
    ClientFixture it;
    it.leaf.closesAfterReply = true;
    for (std::size_t n = 0; n < head.size() + 2; ++n) {
        it.leaf.reply = (head + "\r\n").substr(0, n);
        CAPTURE(it.leaf.reply);
        CHECK(it.exchange()->end != LeafReply::End::Complete);
    }
}

// Guards against a leaf that keeps this instance busy, or fills its memory, with bytes that are no answer.
TEST_CASE("an exchange with a leaf that sends without end is ended and its connection closed")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::pair<std::string, std::string>> cases {
        { ok, "X-Filler: " + std::string(500, 'x') + "\r\n" },                       // header lines
        { ok + "X-Filler: ", std::string(500, 'x') },                                // one header line
        { "", std::string(500, '\n') },                                              // empty lines before the head
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },                                     // interim responses
        { "", "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n" },                           // interim responses with headers
        { ok + "\r\n", std::string(5000, 'x') },                                     // a body without a length
        { ok + "Transfer-Encoding: chunked\r\n\r\n", repeated("1\r\nx\r\n", 1000) }, // chunks
        { ok + "Transfer-Encoding: chunked\r\n\r\n1;", std::string(500, 'x') },      // a chunk extension
        { ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + std::string(2000, 'x') + "\r\nx\r\n" },
        { ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: " + std::string(500, 'x') + "\r\n" }, // trailers
        { ok + "Content-Length: 100000000000\r\n\r\n", std::string(5000, 'x') },
    };
    for (const auto& answer : cases) {
        CAPTURE(answer.first);
        CAPTURE(answer.second.substr(0, 40));
        ClientFixture it;
        it.leaf.reply = answer.first;
        it.leaf.endless = answer.second;
        auto reply = it.exchange();
        CHECK(reply);
        if (!reply)
            continue;
        CHECK(reply->end != LeafReply::End::Complete);
        it.runFor(milliseconds(50));
        CHECK(it.leaf.isEnded);
        // What the leaf has sent includes the buffers of both sockets.
        CHECK(it.leaf.sentBytes < std::size_t { 32 } << 20U);
    }
}

// Guards against leaves that together fill the memory of this instance with bytes that are no answers, though each
// exchange stays within its own limit.
TEST_CASE("many exchanges with leaves that send without end do not add up to more memory than the client may use")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::pair<std::string, std::string>> cases {
        { ok + "\r\n", std::string(60000, 'x') }, // a body
        { ok, repeated("a:\r\n", 8000) },         // a head of many short lines
    };
    for (const auto& answer : cases) {
        CAPTURE(answer.second.substr(0, 8));
        ClientFixture it;
        it.leaf.reply = answer.first;
        it.leaf.endless = answer.second;
        constexpr int exchanges = 60;
        int ended = 0;
        auto before = mallinfo2().uordblks;
        std::size_t peak = before;
        for (int i = 1; i <= exchanges; ++i)
            it.client->send(i, it.leaf.announcement(), exchanges, { it.request }, [&](const LeafReply&) { ++ended; });
        constexpr int maxHandlers = 1'000'000;
        for (int i = 0; i < maxHandlers && ended < exchanges; ++i) {
            it.io.restart();
            it.io.run_one();
            peak = std::max(peak, mallinfo2().uordblks);
        }
        CHECK(ended == exchanges);
        CHECK(peak - before < std::size_t { 40 } << 20U);
        // A small answer is received also while others use the memory.
        it.leaf.endless.clear();
        it.leaf.reply = ok + "Content-Length: 2\r\n\r\nok";
        CHECK(it.exchange(exchanges)->body == "ok");
    }
}

// Guards against a slow leaf whose bytes keep a connection busy after its request was cancelled.
TEST_CASE("a leaf that sends its head byte by byte is disconnected once its request is cancelled")
{
    ClientFixture it;
    it.leaf.reply = "HTTP/1.1 200 OK\r\nX: ";
    it.client->send(101, it.leaf.announcement(), 1, { it.request }, [](const LeafReply&) { CHECK(false); });
    it.leaf.dripInterval = milliseconds(10);
    it.runFor(milliseconds(100));
    std::optional<UpstreamClient::CancelResult> result;
    it.client->cancel(101, milliseconds(100), [&](UpstreamClient::CancelResult end) { result = end; });
    it.runFor(milliseconds(300));
    CHECK(result == UpstreamClient::CancelResult::Unresponsive);
    CHECK(it.leaf.isEnded);
}

// Guards against more connections than the leaf accepts, and against one that a cancelled request keeps occupied.
TEST_CASE("connections do not exceed the limit, and a cancelled request frees its connection")
{
    ClientFixture it;
    it.leaf.isSilent = true;
    auto ignore = [](const LeafReply&) {};
    it.client->send(101, it.leaf.announcement(), 1, { it.request }, ignore);
    CHECK(it.exchange(1)->end == LeafReply::End::NoFreeConnection);
    std::optional<UpstreamClient::CancelResult> result;
    it.client->cancel(101, milliseconds(30), [&](UpstreamClient::CancelResult end) { result = end; });
    it.runFor(milliseconds(100));
    CHECK(result == UpstreamClient::CancelResult::Unresponsive);
    it.leaf.isSilent = false;
    CHECK(it.exchange(1)->end == LeafReply::End::Complete);
}

// Guards against a count of connections that wraps, after which no connection to a leaf is opened any more.
TEST_CASE("a leaf that returns while exchanges with it are running gets connections")
{
    ClientFixture it;
    it.leaf.isSilent = true;
    for (std::uint64_t attempt : { 101, 102 })
        it.client->send(attempt, it.leaf.announcement(), 4, { it.request }, [](const LeafReply&) {});
    it.runFor(milliseconds(30));
    it.client->keepOnly({});
    it.leaf.isSilent = false;
    auto before = Clock::now();
    CHECK(it.exchange()->end == LeafReply::End::Complete);
    for (std::uint64_t attempt : { 101, 102 })
        it.client->cancel(attempt, milliseconds(10), [](UpstreamClient::CancelResult) {});
    it.runFor(milliseconds(50));
    CHECK(it.exchange(4, before)->end == LeafReply::End::Complete); // on a new connection
    CHECK(it.leaf.connections == 4);
}

TEST_CASE("a request that was cancelled while its connection was being opened is not sent")
{
    ClientFixture it;
    it.client->send(101, it.leaf.announcement(), 1, { it.request }, [](const LeafReply&) { CHECK(false); });
    std::optional<UpstreamClient::CancelResult> result;
    it.client->cancel(101, milliseconds(500), [&](UpstreamClient::CancelResult end) { result = end; });
    it.runFor(milliseconds(100));
    CHECK(result == UpstreamClient::CancelResult::NotSent);
    CHECK(it.leaf.requests == 0);
    // The connection is kept and counts towards the limit.
    CHECK(it.exchange(1)->end == LeafReply::End::Complete);
    CHECK(it.leaf.connections == 1);
}

// Guards against a new connection for each cancelled request, and against an answer that is reported after the cancel.
TEST_CASE("a request that is not wanted any more once its connection is open is not sent")
{
    ClientFixture it;
    bool isWanted = true;
    std::optional<LeafReply> got;
    UpstreamRequest request { it.request };
    request.mayStillSend = [&] { return isWanted; };
    it.client->send(1, it.leaf.announcement(), 1, request, [&](LeafReply reply) { got = std::move(reply); });
    isWanted = false;
    it.runFor(milliseconds(50));
    REQUIRE(got);
    CHECK(got->end == LeafReply::End::NoFreeConnection);
    CHECK(it.leaf.requests == 0);
    CHECK(it.exchange(1)->body == "ok");
    CHECK(it.leaf.connections == 1);
}

// Guards against a notice of a leaf that is lost because nobody needs the answer any more.
TEST_CASE("a reply is observed also if its request was cancelled, unless it answers another request")
{
    ClientFixture it;
    int observed = 0;
    UpstreamRequest request { it.request };
    request.onReply = [&](const LeafReply&) { ++observed; };
    it.client->send(1, it.leaf.announcement(), 1, request, [](const LeafReply&) { CHECK(false); });
    it.client->cancel(1, milliseconds(200), [](UpstreamClient::CancelResult) {});
    it.runFor(milliseconds(50));
    CHECK(observed == 0); // it was not written
    it.client->send(2, it.leaf.announcement(), 1, request, [](const LeafReply&) { CHECK(false); });
    it.client->cancel(2, milliseconds(200), [](UpstreamClient::CancelResult) {});
    it.runFor(milliseconds(50));
    CHECK(observed == 1);
    request.ownerOf = [](const LeafReply&) { return ReplyOwner::AnotherRequest; };
    it.client->send(3, it.leaf.announcement(), 1, request, [](const LeafReply&) {});
    it.runFor(milliseconds(50));
    CHECK(observed == 1);
}

TEST_CASE("a cancelled request that is answered in time keeps its connection")
{
    ClientFixture it;
    CHECK(
        it.exchange(1)->end == LeafReply::End::Complete); // its connection is open, so the next request is sent at once
    it.client->send(101, it.leaf.announcement(), 1, { it.request }, [](const LeafReply&) { CHECK(false); });
    std::optional<UpstreamClient::CancelResult> result;
    it.client->cancel(101, milliseconds(500), [&](UpstreamClient::CancelResult end) { result = end; });
    for (int i = 0; i < 50 && !result; ++i)
        it.runFor(milliseconds(5));
    CHECK(result == UpstreamClient::CancelResult::Answered);
    CHECK(it.exchange(1)->end == LeafReply::End::Complete);
    CHECK(it.leaf.connections == 1);
}

// Guards against connections above the new limit when the share of this instance shrinks.
TEST_CASE("a lower limit closes connections, and a leaf without a free connection is not considered down")
{
    ClientFixture it;
    it.leaf.isSilent = true;
    for (std::uint64_t i = 101; i <= 103; ++i)
        it.client->send(i, it.leaf.announcement(), 4, { it.request }, [](const LeafReply&) {});
    it.runFor(milliseconds(50));
    CHECK(it.leaf.connections == 3);
    it.client->setLimit(it.leaf.announcement(), 1);
    it.leaf.isSilent = false;
    CHECK(it.exchange(1)->end == LeafReply::End::NoFreeConnection);
    for (std::uint64_t i = 101; i <= 103; ++i)
        it.client->cancel(i, milliseconds(10), [](UpstreamClient::CancelResult) {});
    it.runFor(milliseconds(50));
    for (int i = 0; i < 3; ++i)
        CHECK(it.exchange(1)->end == LeafReply::End::Complete);
    CHECK(it.leaf.connections == 4);
}

// Guards against a leaf that counts as reachable although it refuses connections or its address is invalid.
TEST_CASE("a probe reports whether a leaf is reachable")
{
    ClientFixture it;
    std::optional<bool> reached;
    it.client->probe(it.leaf.announcement(), [&](bool ok) { reached = ok; });
    it.runFor(milliseconds(50));
    CHECK(reached == true);
    auto unreachable = it.leaf.announcement();
    unreachable.leaf = "unreachable";
    unreachable.address = "127.0.0.1:1";
    it.client->probe(unreachable, [&](bool ok) { reached = ok; });
    it.runFor(milliseconds(50));
    CHECK(reached == false);
    unreachable.address = "nowhere";
    it.client->probe(unreachable, [&](bool ok) { reached = ok; });
    CHECK(reached == false);
    CHECK_THROWS_AS(it.client->send(9, unreachable, 1, {}, nullptr), Error);
}

// ---------------------------------------------------------------------------------------------------------------

// Guards against an answer to a former run of this process that confirms a command or a change of this one.
TEST_CASE("answers and acknowledgements to an earlier run are ignored")
{
    const std::uint64_t formerRun = 1'000'000;
    const std::uint64_t thisRun = 5'000'000;
    std::uint64_t sent = 0;
    int answers = 0;
    auto send = [&](const std::string&, const Propose& it) { return (sent = it.proposalId) != 0; };
    ControlClient former({ "m" }, send, formerRun);
    former.submit(
        NoOp {}, milliseconds(100), [](const SubmitResult&) {}, at(0));
    const auto formerId = sent;
    ControlClient client({ "m" }, send, thisRun);
    client.submit(
        NoOp {}, milliseconds(100), [&](const SubmitResult&) { ++answers; }, at(0));
    client.onAnswer({ formerId, ProposeStatus::Committed, {}, 7, {} }, at(1));
    CHECK(answers == 0);
    client.onAnswer({ sent, ProposeStatus::Committed, {}, 8, {} }, at(2));
    CHECK(answers == 1);

    std::vector<std::uint64_t> numbers;
    auto broadcastBy = [&](const std::string&, std::uint64_t number, const std::string&) { numbers.push_back(number); };
    std::vector<DirectoryItem> items { { "leaf/a", "payload", false } };
    bool isConfirmed = false;
    ItemBroadcast formerBroadcast(broadcastBy, formerRun);
    formerBroadcast.start(items, { "p" }, at(0), nullptr);
    ItemBroadcast broadcast(broadcastBy, thisRun);
    broadcast.start(items, { "p" }, at(0), [&](bool it) { isConfirmed = it; });
    broadcast.onAck("p", numbers.front());
    CHECK_FALSE(isConfirmed);
    broadcast.onAck("p", numbers.back());
    CHECK(isConfirmed);
}

// Guards against a directory change that is acknowledged before the peers have it.
TEST_CASE("a directory change is confirmed once all peers have it, or enough of them at the timeout")
{
    std::vector<std::pair<std::string, std::uint64_t>> sent;
    ItemBroadcast broadcast(
        [&](const std::string& peer, std::uint64_t number, const std::string&) { sent.emplace_back(peer, number); });
    std::vector<DirectoryItem> items { { "leaf/a", "payload", false } };
    std::optional<bool> isConfirmed;
    broadcast.start(items, { "p1", "p2", "p3" }, at(0), [&](bool it) { isConfirmed = it; });
    REQUIRE(sent.size() == 3);
    auto number = sent[0].second;
    broadcast.onAck("p1", number);
    CHECK_FALSE(isConfirmed);
    SUBCASE("all peers acknowledge, one of them after a resend")
    {
        broadcast.onAck("p2", number);
        broadcast.onTimer({ "p1", "p2", "p3" }, at(300));
        CHECK(sent.back().first == "p3");
        CHECK(sent.size() == 4);
        broadcast.onAck("p3", number);
        CHECK(isConfirmed == true);
    }
    SUBCASE("a peer that is no longer a member is not waited for")
    {
        broadcast.onAck("p2", number);
        broadcast.onTimer({ "p1", "p2" }, at(50));
        CHECK(isConfirmed == true);
    }
    SUBCASE("too few peers acknowledge in time")
    {
        broadcast.onTimer({ "p1", "p2", "p3" }, at(700));
        CHECK(isConfirmed == false);
    }
    SUBCASE("a peer that joins later gets the change too, also after all others have acknowledged")
    {
        broadcast.onTimer({ "p1", "p2", "p3", "p4" }, at(100));
        CHECK(sent.back().first == "p4");
        for (const char* peer : { "p2", "p3", "p4" })
            broadcast.onAck(peer, number);
        CHECK(isConfirmed == true);
        auto n = sent.size();
        broadcast.onTimer({ "p1", "p2", "p3", "p4", "p5" }, at(4000));
        CHECK(sent.size() == n + 1);
        CHECK(sent.back().first == "p5");
        broadcast.onAck("p5", number);
        broadcast.onTimer({ "p1", "p2", "p3", "p5" }, at(4100));
        broadcast.onTimer({ "p1", "p2", "p3", "p4", "p5" }, at(4200));
        CHECK(sent.size() == n + 2); // p4 had left and rejoined
        broadcast.onTimer({ "p1", "p2", "p3", "p4", "p5", "p6" }, at(5100));
        CHECK(sent.size() == n + 2);
    }
    SUBCASE("an instance without peers sends the change once it has one")
    {
        sent.clear();
        isConfirmed.reset();
        broadcast.start(items, {}, at(0), [&](bool it) { isConfirmed = it; });
        CHECK(isConfirmed == true);
        broadcast.onTimer({ "p1" }, at(500));
        REQUIRE_FALSE(sent.empty());
        CHECK(sent.back().first == "p1");
    }
    SUBCASE("enough peers acknowledge in time, and the others still get resends")
    {
        broadcast.onAck("p2", number);
        broadcast.onTimer({ "p1", "p2", "p3" }, at(700));
        CHECK(isConfirmed == true);
        auto n = sent.size();
        broadcast.onTimer({ "p1", "p2", "p3" }, at(1000));
        CHECK(sent.size() == n + 1);
    }
    CHECK(decodeItems(encodeItems(items))[0].payload == "payload");
    CHECK_THROWS_AS(decodeItems("x"), Error);
}

// Guards against an overload that keeps itself up: late acknowledgements cause resends, which delay them further.
TEST_CASE("a peer that does not acknowledge a directory change gets few copies of it")
{
    std::vector<TimePoint> sent;
    auto now = at(0);
    ItemBroadcast broadcast([&](const std::string&, std::uint64_t, const std::string&) { sent.push_back(now); });
    std::vector<DirectoryItem> items { { "leaf/a", "payload", false } };
    broadcast.start(items, { "p1" }, now, [](bool) {});
    for (int ms = 50; ms <= 6000; ms += 50) {
        now = at(ms);
        broadcast.onTimer({ "p1" }, now);
    }
    REQUIRE(sent.size() >= 2);
    CHECK(sent[1] <= at(300)); // a copy that was lost with a link is replaced soon
    CHECK(sent.size() <= 6);
    CHECK(broadcast.isIdle());
}

// Guards against entry instances that are overloaded by hundreds of messages when the leaves of many shards start
// together.
TEST_CASE("simultaneous directory changes are sent in one message, and all are confirmed")
{
    std::vector<std::pair<std::string, std::uint64_t>> sent;
    ItemBroadcast broadcast([&](const std::string& peer, std::uint64_t number, const std::string& body) {
        CHECK(decodeItems(body).size() == 100);
        sent.emplace_back(peer, number);
    });
    int confirmed = 0;
    for (int i = 0; i < 100; ++i) {
        std::vector<DirectoryItem> items { { "leaf/" + std::to_string(i), "x", false } };
        broadcast.add(items, [&](bool isConfirmed) { confirmed += isConfirmed ? 1 : 0; });
    }
    CHECK(sent.empty());
    broadcast.flush({ "a", "b" }, at(0));
    REQUIRE(sent.size() == 2);
    broadcast.flush({ "a", "b" }, at(10));
    CHECK(sent.size() == 2);
    for (const auto& [peer, number] : sent)
        broadcast.onAck(peer, number);
    CHECK(confirmed == 100);
}

// Guards against log lines that block the caller or use unbounded memory when nothing reads them.
TEST_CASE("the log buffer is bounded and never blocks")
{
    LogBuffer buffer;
    std::string line(100, 'x');
    for (int i = 0; i < 10000; ++i)
        buffer.add(line);
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    buffer.flush(ends[1]); // nothing is read, so this writes what fits into the pipe
    buffer.flush(ends[1]);
    std::string got(std::size_t { 1 } << 20U, 0);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    got.resize(static_cast<std::size_t>(::read(ends[0], got.data(), got.size())));
    CHECK(got.size() < LogBuffer::maxBytes);
    CHECK(got.find("dropped_lines=") != std::string::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

// Guards against a request that is sent to the services of another route.
TEST_CASE("the longest matching path prefix of the host is selected")
{
    ServingConfiguration configuration;
    configuration.version = 1;
    configuration.services["s"] = {};
    for (const char* prefix : { "/", "/a/", "/a/b/" }) {
        Route route;
        route.name = prefix;
        route.host = "Host.Example";
        route.pathPrefix = prefix;
        route.targets = { { "s", 1 } };
        configuration.routes.push_back(route);
    }
    checkConfiguration(configuration);
    RouteTable table(configuration);
    CHECK(table.find("host.example", "/a/b/c")->name == "/a/b/");
    CHECK(table.find("HOST.example:80", "/a/b")->name == "/a/");
    CHECK(table.find("host.example", "/x?p=/a/b/")->name == "/");
    CHECK(table.find("host.example", "/a/b/?q")->name == "/a/b/");
    CHECK_FALSE(table.find("other.example", "/a/"));
    CHECK_FALSE(table.find("host.example", "*"));
}
