// Parts between an entry instance and the owner of a leaf. Guards against work for queries that have ended.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/PartMessages.h"
#include "daemon/PartRouter.h"

#include <asio.hpp>
#include <doctest/doctest.h>

using namespace citronplank;

namespace {

/// The router of an owner whose only leaf accepts connections but never responds.
struct Fixture {
    Fixture()
    {
        Announcement announcement;
        announcement.leaf = "leaf";
        announcement.service = "service";
        announcement.zone = "atl";
        announcement.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        announcement.boot = 1;
        announcement.slots = 2;
        announcement.versions = { { 1, 0, 1 } };
        parts.setLeaf(announcement);
        parts.setAllowance("leaf", { 2, Clock::now() + seconds(60) });
    }
    /// A part with 400 ms until its deadline, as an entry instance sends it.
    Envelope request() const
    {
        Part part;
        part.partId = 7;
        part.service = "service";
        part.operation = "list";
        part.leaf = "leaf";
        part.shard = { 1, 0, 1 };
        part.remaining = milliseconds(400);
        Envelope envelope;
        envelope.from = "10.0.0.1:7400";
        envelope.kind = static_cast<std::uint16_t>(MessageKind::PartRequest);
        envelope.timeToLive = part.remaining;
        envelope.body = encodePart(part);
        return envelope;
    }
    std::size_t running() const
    {
        auto gates = parts.status();
        return gates.empty() ? 0 : gates.front().running;
    }

    asio::io_context io;
    asio::ip::tcp::acceptor acceptor { io, { asio::ip::make_address("127.0.0.1"), 0 } };
    LeafClient client { io, {} };
    ConfigurationTable configuration;
    std::vector<PartResult> answers;
    std::vector<Envelope> sent;
    bool isClockKnown = true;
    PartService parts { client, { [](const std::string&, const PartResult&) {}, [](const SuspicionEvent&) {} } };
    PartRouter router { "self", configuration, parts,
        { [](std::string_view, std::string_view) { return std::string("owner"); },
            [](std::string_view) { return std::string("10.0.0.2:7400"); },
            [this](const std::string&, Envelope envelope) {
                if (envelope.timeToLive > milliseconds(0) && !isClockKnown)
                    return false;
                if (static_cast<MessageKind>(envelope.kind) == MessageKind::PartAnswer)
                    answers.push_back(decodePartResult(envelope.body));
                sent.push_back(std::move(envelope));
                return true;
            },
            [](const std::function<void()>&) {}, [](const PartResult&) {} } };
};

} // namespace

TEST_CASE("a part that arrives after its deadline is not run")
{
    Fixture it;
    auto late = it.request();
    late.sentAt = Clock::now() - milliseconds(400);
    it.router.onRequest(late);
    CHECK(it.running() == 0);
    REQUIRE(it.answers.size() == 1);
    CHECK(it.answers.front().partId == 7);
    CHECK(it.answers.front().status == PartStatus::Deadline);
    CHECK(it.answers.front().outcome == Outcome::NotRun);
    auto inTime = it.request();
    inTime.sentAt = Clock::now() - milliseconds(50);
    it.router.onRequest(inTime);
    CHECK(it.running() == 1);
    CHECK(it.answers.size() == 1);
}

// Guards against the first parts on a link that are refused because it is still opening.
TEST_CASE("a part is sent with its age if the clock of the owner is known, and without it otherwise")
{
    Fixture it;
    PartSend send;
    send.part = decodePart(it.request().body);
    for (bool isKnown : { true, false }) {
        it.isClockKnown = isKnown;
        it.sent.clear();
        it.router.send(send);
        REQUIRE(it.sent.size() == 1);
        CHECK(it.sent.front().timeToLive == milliseconds(isKnown ? 400 : 0));
    }
}
