// Tests of RouteExecution and RelayedGather. They guard against incomplete answers reported as complete, parts counted
// twice, requests sent more often than allowed, a wrong outcome "not run", and waiting for unresponsive leaves.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "query/RelayedGather.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace citronplank;

namespace {

using Status = AttemptResult::Status;
const TimePoint start { seconds(1000) };
TimePoint at(int ms) { return start + milliseconds(ms); }

std::string record(char c) { return std::string(TopRecords::recordBytes, c); }

/// A route over `shards` shards with two leaves each, in zones atl and sav.
struct Fixture {
    explicit Fixture(int shards = 4, double coverage = 0.75)
        : policies("front-1", "atl")
    {
        route.name = "list";
        route.objective = milliseconds(100);
        route.timeout = milliseconds(1000);
        route.attempts = 2;
        route.topRecords = 3;
        route.minCoverage = coverage;
        ServingConfiguration configuration;
        configuration.version = 1;
        std::vector<Announcement> leaves;
        for (int i = 0; i < shards; ++i) {
            auto service = "s" + std::to_string(i);
            route.shards.push_back(service);
            configuration.services[service] = { 25, 0 };
            for (const char* zone : { "atl", "sav" })
                leaves.push_back(leafOf(service, zone));
        }
        configuration.routes.push_back(route);
        table = std::make_shared<const RouteTable>(configuration);
        policies.setTable(table);
        SharedBounds bounds;
        bounds.extraBurst = 1000;
        policies.setBounds(bounds);
        policies.setLeaves(leaves, start);
    }

    static Announcement leafOf(const std::string& service, const std::string& zone)
    {
        Announcement it;
        it.leaf = service + "-" + zone;
        it.service = service;
        it.zone = zone;
        it.address = "10.0.0.1:80";
        it.slots = 2;
        return it;
    }

    RouteExecution& execution()
    {
        if (!running)
            running = std::make_unique<RouteExecution>(std::make_shared<const Route>(route), table, start,
                start + route.timeout, RouteExecution::attemptsPerRequest, policies);
        return *running;
    }

    static AttemptResult answered(const RouteSend& send, char c)
    {
        AttemptResult result { send.attempt, Status::Answered, {} };
        result.answer.status = 200;
        result.answer.body = record(c);
        result.answer.signature = "signature-" + send.leaf.service;
        return result;
    }

    Route route;
    std::shared_ptr<const RouteTable> table;
    RoutePolicies policies;
    std::unique_ptr<RouteExecution> running;
};

} // namespace

TEST_CASE("the merged body holds the largest records of all parts in descending order, with duplicates")
{
    TopRecords merge(3);
    merge.add(record('b') + record('z') + "short remainder");
    merge.add(record('z') + record('a'));
    merge.add(std::string(TopRecords::recordBytes, '\xff'));
    CHECK(merge.take() == std::string(TopRecords::recordBytes, '\xff') + record('z') + record('z'));
}

// Guards against waiting for a shard whose leaves are all known to be down.
TEST_CASE("a gather does not wait for a shard without a leaf")
{
    Fixture it;
    for (const char* leaf : { "s3-atl", "s3-sav" }) {
        it.policies.onStart(Fixture::leafOf("s3", std::string(leaf).substr(3)), 1, milliseconds(10), at(0));
        it.policies.onEnd(leaf, 1, AttemptEnd::Unreachable, at(0));
    }
    auto actions = it.execution().start(at(0));
    REQUIRE(actions.sends.size() == 3);
    RouteActions last;
    for (const auto& send : actions.sends)
        last = it.execution().onResult(Fixture::answered(send, 'm'), at(10));
    REQUIRE(last.finish);
    CHECK(last.finish->kind == RouteOutcome::Kind::Merged);
    CHECK(last.finish->missing == 1);
}

// Guards against an answer that is sent before all parts have arrived, and against requests to another zone without
// need.
TEST_CASE("a complete answer includes each part once")
{
    Fixture it;
    auto actions = it.execution().start(at(0));
    REQUIRE(actions.sends.size() == 4);
    RouteActions last;
    for (const auto& send : actions.sends) {
        CHECK_FALSE(last.finish);
        CHECK(send.leaf.zone == "atl");
        last = it.execution().onResult(Fixture::answered(send, 'm'), at(10));
    }
    REQUIRE(last.finish);
    CHECK(last.finish->kind == RouteOutcome::Kind::Merged);
    CHECK(last.finish->signatures.size() == 4);
    CHECK(last.finish->missing == 0);
    CHECK(last.finish->answer.body.size() == 3 * TopRecords::recordBytes);
}

TEST_CASE("a late part is sent to the other leaf too, and counts once when both answer")
{
    Fixture it;
    auto actions = it.execution().start(at(0));
    for (int i = 0; i < 3; ++i)
        actions.nextTimer = it.execution()
                                .onResult(Fixture::answered(actions.sends[static_cast<std::size_t>(i)], 'm'), at(10))
                                .nextTimer;
    REQUIRE(actions.nextTimer);
    CHECK(*actions.nextTimer < at(60));
    auto hedged = it.execution().onTimer(*actions.nextTimer);
    REQUIRE(hedged.sends.size() == 1);
    CHECK(hedged.sends[0].isExtra);
    CHECK(hedged.sends[0].leaf.leaf != actions.sends[3].leaf.leaf);
    auto last = it.execution().onResult(Fixture::answered(hedged.sends[0], 'n'), at(50));
    REQUIRE(last.finish);
    CHECK(last.finish->missing == 0);
    CHECK(last.cancels == std::vector<std::uint64_t> { actions.sends[3].attempt });
    CHECK_FALSE(it.execution().onResult(Fixture::answered(actions.sends[3], 'o'), at(51)).finish);
}

TEST_CASE("a partial answer with sufficient coverage is sent before the objective and reports missing shards")
{
    Fixture it;
    auto actions = it.execution().start(at(0));
    for (std::size_t i = 0; i < 3; ++i)
        it.execution().onResult(Fixture::answered(actions.sends[i], 'm'), at(10));
    RouteActions last;
    for (int ms = 11; ms <= 100 && !last.finish; ++ms)
        last = it.execution().onTimer(at(ms));
    REQUIRE(last.finish);
    CHECK(last.finish->kind == RouteOutcome::Kind::Merged);
    CHECK(last.finish->missing == 1);
    CHECK(last.finish->signatures.size() == 3);
}

TEST_CASE("an answer below the minimum coverage is an error that does not claim that nothing ran")
{
    Fixture it;
    auto actions = it.execution().start(at(0));
    for (std::size_t i = 0; i < 2; ++i)
        it.execution().onResult(Fixture::answered(actions.sends[i], 'm'), at(10));
    RouteActions last;
    for (int ms = 11; ms <= 1000 && !last.finish; ++ms)
        last = it.execution().onTimer(at(ms));
    REQUIRE(last.finish);
    CHECK(last.finish->error == ErrorKind::CoverageTooLow);
    CHECK(errorAnswer(last.finish->error).outcome != Outcome::NotRun);
}

TEST_CASE("a request that cannot reach its minimum coverage is refused immediately, with a retry time")
{
    Fixture it;
    it.policies.setLeaves({ Fixture::leafOf("s0", "atl"), Fixture::leafOf("s1", "atl") }, start);
    auto actions = it.execution().start(at(0));
    REQUIRE(actions.finish);
    CHECK(actions.sends.empty());
    CHECK(errorAnswer(actions.finish->error).outcome == Outcome::NotRun);
    CHECK(actions.finish->retryAfter);
}

TEST_CASE("no part runs on more leaves than the route allows")
{
    Fixture it(1, 1.0);
    auto actions = it.execution().start(at(0));
    int ran = 0;
    RouteActions last = actions;
    std::vector<RouteSend> open = actions.sends;
    for (int ms = 1; ms <= 1000 && !last.finish; ++ms) {
        for (const auto& send : std::exchange(open, {})) {
            ++ran;
            last = it.execution().onResult({ send.attempt, Status::Lost, {} }, at(ms));
            open.insert(open.end(), last.sends.begin(), last.sends.end());
        }
        if (!last.finish) {
            last = it.execution().onTimer(at(ms));
            open.insert(open.end(), last.sends.begin(), last.sends.end());
        }
    }
    CHECK(last.finish);
    CHECK(ran == 2);
}

TEST_CASE("a non-idempotent request is sent again while it has not run, but not once it may have run")
{
    Fixture it(1, 1.0);
    it.route.idempotent = false;
    it.route.targets = { { "s0", 1 } };
    it.route.shards.clear();
    auto actions = it.execution().start(at(0));
    REQUIRE(actions.sends.size() == 1);
    auto again = it.execution().onResult({ actions.sends[0].attempt, Status::Refused, {} }, at(1));
    REQUIRE(again.sends.size() == 1);
    for (int ms = 2; ms < 600; ++ms)
        CHECK(it.execution().onTimer(at(ms)).sends.empty());
    auto last = it.execution().onResult({ again.sends[0].attempt, Status::Lost, {} }, at(600));
    CHECK(last.sends.empty());
    REQUIRE(last.finish);
    CHECK(errorAnswer(last.finish->error).outcome == Outcome::MayHaveRun);
}

TEST_CASE("a request that no leaf accepted is refused as not run, an error of a leaf is returned to the caller")
{
    Fixture it(1, 1.0);
    it.route.targets = { { "s0", 1 } };
    it.route.shards.clear();
    auto actions = it.execution().start(at(0));
    RouteActions last = actions;
    SUBCASE("refused by all leaves")
    {
        std::vector<RouteSend> open = actions.sends;
        for (int ms = 1; ms <= 1000 && !last.finish; ++ms) {
            for (const auto& send : std::exchange(open, {})) {
                last = it.execution().onResult({ send.attempt, Status::Refused, {} }, at(ms));
                open.insert(open.end(), last.sends.begin(), last.sends.end());
            }
            if (!last.finish) {
                last = it.execution().onTimer(at(ms));
                open.insert(open.end(), last.sends.begin(), last.sends.end());
            }
        }
        REQUIRE(last.finish);
        CHECK(errorAnswer(last.finish->error).outcome == Outcome::NotRun);
        CHECK(last.finish->retryAfter);
    }
    SUBCASE("failed by all leaves")
    {
        AttemptResult failed { actions.sends[0].attempt, Status::Failed, {} };
        failed.answer.status = 500;
        failed.answer.signature = "p";
        last = it.execution().onResult(failed, at(5));
        REQUIRE(last.sends.size() == 1);
        failed.attempt = last.sends[0].attempt;
        last = it.execution().onResult(failed, at(9));
        REQUIRE(last.finish);
        CHECK(last.finish->kind == RouteOutcome::Kind::Forwarded);
        CHECK(last.finish->answer.status == 500);
    }
}

// Guards against a request that fails because an attempt that reached no leaf was charged to the extra requests.
TEST_CASE("after an unreachable leaf, a resend is not taken from the budget of extra requests")
{
    Fixture it(1, 1.0);
    SharedBounds none;
    none.extraBurst = 0;
    none.extraRatio = 0;
    it.policies.setBounds(none);
    auto actions = it.execution().start(at(0));
    auto again = it.execution().onResult({ actions.sends[0].attempt, Status::NotSent, {} }, at(1));
    REQUIRE(again.sends.size() == 1);
    CHECK_FALSE(again.sends[0].isExtra);
    auto last = it.execution().onResult(Fixture::answered(again.sends[0], 'm'), at(2));
    REQUIRE(last.finish);
    CHECK(last.finish->kind == RouteOutcome::Kind::Merged);
}

// Guards against a request that is never answered: if onTimer runs so late that a hedge and a resend are both due and
// the hedge time is kept, the next timer would lie in the past, where it counts as already pending.
TEST_CASE("a late timer requests the next one in the future")
{
    Fixture it(1, 1.0);
    it.route.targets = { { "s0", 1 } };
    it.route.shards.clear();
    auto actions = it.execution().start(at(0));
    for (int i = 0; i < 2; ++i) {
        REQUIRE(actions.sends.size() == 1);
        actions = it.execution().onResult({ actions.sends[0].attempt, Status::NotSent, {} }, at(1));
    }
    CHECK(actions.sends.empty());
    actions = it.execution().onTimer(at(80));
    REQUIRE(actions.nextTimer);
    CHECK(*actions.nextTimer > at(80));
}

TEST_CASE("when the caller disconnects, all attempts are cancelled and there is no answer")
{
    Fixture it;
    auto actions = it.execution().start(at(0));
    CHECK(it.execution().cancel().cancels.size() == 4);
    CHECK_FALSE(it.execution().onResult(Fixture::answered(actions.sends[0], 'm'), at(5)).finish);
    CHECK_FALSE(it.execution().onTimer(at(2000)).finish);
}

// ---------------------------------------------------------------------------------------------------------------
// Relays

namespace {

/// All leaves are in other zones, sav and mac, and there is a peer in sav. The parts are large.
struct RelayFixture : Fixture {
    RelayFixture()
    {
        std::vector<Announcement> leaves;
        for (const auto& service : route.shards) {
            leaves.push_back(leafOf(service, "sav"));
            leaves.push_back(leafOf(service, "mac"));
        }
        policies.setLeaves(leaves, start);
        policies.setPeers({ { "sav", { "front-sav" } } });
        policies.onPartBytes(route, 1000);
    }

    static RelayAnswer batch(const std::vector<std::uint32_t>& services, const std::string& records)
    {
        RelayAnswer answer { true, {}, records, {} };
        for (auto service : services)
            answer.answered.push_back({ service, "signature-" + std::to_string(service) });
        return answer;
    }
};

} // namespace

TEST_CASE("parts of another zone are requested from a peer there, and its batch counts each once")
{
    RelayFixture it;
    auto actions = it.execution().start(at(0));
    CHECK(actions.sends.empty());
    REQUIRE(actions.relays.size() == 1);
    CHECK(actions.relays[0].request.services.size() == 4);
    auto last = it.execution().onRelayAnswer(0, RelayFixture::batch({ 0, 1, 2, 3 }, record('z') + record('y')), at(20));
    REQUIRE(last.finish);
    CHECK(last.finish->signatures.size() == 4);
    CHECK(last.finish->answer.body == record('z') + record('y'));
}

TEST_CASE("a part missing from the batch is sent to a leaf directly, and its late answer is not merged twice")
{
    RelayFixture it;
    auto actions = it.execution().start(at(0));
    auto after = it.execution().onRelayAnswer(0, RelayFixture::batch({ 0, 1, 2 }, record('z')), at(20));
    CHECK_FALSE(after.finish);
    REQUIRE(after.nextTimer);
    auto hedged = it.execution().onTimer(*after.nextTimer);
    REQUIRE(hedged.sends.size() == 1);
    CHECK(hedged.sends[0].leaf.zone == "mac");
    RouteActions last;
    SUBCASE("the direct answer is first")
    {
        last = it.execution().onResult(Fixture::answered(hedged.sends[0], 'y'), at(30));
        CHECK_FALSE(last.relayCancels.empty());
    }
    SUBCASE("the relayed answer is first")
    {
        RelayAnswer late { false, { { 3, "signature-3" } }, record('y'), {} };
        last = it.execution().onRelayAnswer(0, late, at(30));
        CHECK(last.cancels.size() == 1);
    }
    REQUIRE(last.finish);
    CHECK(last.finish->signatures.size() == 4);
    CHECK(last.finish->answer.body == record('z') + record('y'));
}

// Guards against counting parts twice: a batch cannot be split into its parts after the merge.
TEST_CASE("a batch that arrives after its parts were requested again is not used")
{
    RelayFixture it;
    auto actions = it.execution().start(at(0));
    REQUIRE(actions.nextTimer);
    RouteActions direct;
    for (int ms = 0; ms < 90 && direct.sends.empty(); ++ms)
        direct = it.execution().onTimer(at(ms));
    REQUIRE(direct.sends.size() == 4);
    CHECK(direct.relayCancels.size() == 1);
    auto ignored = it.execution().onRelayAnswer(0, RelayFixture::batch({ 0, 1, 2, 3 }, record('z')), at(60));
    CHECK_FALSE(ignored.finish);
    RouteActions last;
    for (const auto& send : direct.sends)
        last = it.execution().onResult(Fixture::answered(send, 'm'), at(70));
    REQUIRE(last.finish);
    CHECK(last.finish->signatures.size() == 4);
    CHECK(last.finish->answer.body == record('m') + record('m') + record('m'));
}

// Guards against a peer that starts on a relay request whose answer is not used any more.
TEST_CASE("a relay request is of use until its parts are requested elsewhere, not until the deadline")
{
    RelayFixture it;
    auto actions = it.execution().start(at(0));
    REQUIRE(actions.relays.size() == 1);
    auto wait = actions.relays[0].wait;
    CHECK(wait > milliseconds(0));
    CHECK(it.execution().onTimer(start + wait - milliseconds(1)).sends.empty());
    CHECK(it.execution().onTimer(start + wait).sends.size() == 4);
}

// Guards against exceeding the shared budget because the peer, and not this instance, sent the refused part.
TEST_CASE("a refusal that a peer reports counts towards the shared budget")
{
    RelayFixture it;
    SharedBounds none;
    none.extraBurst = 0;
    none.extraRatio = 0;
    it.policies.setBounds(none);
    it.execution().start(at(0));
    RelayAnswer refused { true, {}, {}, { { 0, true, false }, { 1, false, false } } };
    auto after = it.execution().onRelayAnswer(0, refused, at(5));
    // Part 0 reached a leaf, so another send would be an extra request, which is not allowed. Part 1 did not.
    REQUIRE(after.sends.size() == 1);
    CHECK(after.sends[0].leaf.service == "s1");
}

// Guards against delaying each request by the timeout of a relay while a peer is down.
TEST_CASE("a peer that does not answer gets no relay requests for a while")
{
    RelayFixture it;
    it.execution().start(at(0));
    for (int ms = 0; ms < 90; ++ms)
        it.execution().onTimer(at(ms));
    CHECK(it.policies.planRelays(it.route, at(200)).empty());
    CHECK(it.policies.planRelays(it.route, at(2000)).size() == 1);
}

// Guards against a batch that waits for a slow leaf, and against hedges by the peer in addition to those of the
// instance that tracks the attempts.
TEST_CASE("a peer sends each part once and answers late parts one by one")
{
    Fixture it;
    RelayRequest request { "list", milliseconds(100), { "s0", "s1", "none" }, 3, milliseconds(500), milliseconds(40) };
    RelayedGather gather(request, RouteExecution::attemptsPerRequest, it.policies);
    auto actions = gather.start(at(0));
    REQUIRE(actions.sends.size() == 2);
    CHECK(actions.answers.empty());
    CHECK(gather.onResult(Fixture::answered(actions.sends[0], 'm'), at(10)).answers.empty());
    auto batch = gather.onTimer(at(40));
    REQUIRE(batch.answers.size() == 1);
    CHECK(batch.answers[0].isBatch);
    CHECK(batch.answers[0].answered.size() == 1);
    CHECK(batch.answers[0].failed.size() == 1);
    CHECK(batch.sends.empty());
    auto late = gather.onResult(Fixture::answered(actions.sends[1], 'n'), at(60));
    REQUIRE(late.answers.size() == 1);
    CHECK_FALSE(late.answers[0].isBatch);
    CHECK(late.answers[0].records == record('n'));
    CHECK(late.finished);
}

// Guards against hedges beyond the shared budget, and against an entry instance that waits for one that was not sent.
TEST_CASE("a hedge by a gatherer needs a token of the gatherer's budget, and a refused one is reported at once")
{
    Fixture it;
    RelayRequest request { "list", milliseconds(100), { "s0", "s1" }, 3, milliseconds(500), milliseconds(0),
        RelayBudget::Extra };
    SharedBounds none;
    none.extraBurst = 0;
    it.policies.setBounds(none);
    RelayedGather hedge(request, RouteExecution::attemptsPerRequest, it.policies);
    auto refused = hedge.start(at(0));
    CHECK(refused.sends.empty());
    REQUIRE(refused.answers.size() == 1);
    CHECK(refused.answers[0].failed.size() == 2);
    CHECK_FALSE(refused.answers[0].failed[0].hasArrived);
    CHECK(refused.finished);
}

// Guards against an entry instance that waits until its deadline for parts that have timed out at the peer.
TEST_CASE("a peer reports the parts that no leaf answered within the time limit")
{
    for (bool hasBatch : { false, true }) {
        CAPTURE(hasBatch);
        RelayRequest request { "list", milliseconds(100), { "s0", "s1" }, 3, milliseconds(200),
            hasBatch ? milliseconds(40) : milliseconds(300) };
        RoutePolicies policies("front-sav", "sav");
        policies.setLeaves({ Fixture::leafOf("s0", "sav"), Fixture::leafOf("s1", "sav") }, start);
        RelayedGather gather(request, RouteExecution::attemptsPerRequest, policies);
        CHECK(gather.start(at(0)).sends.size() == 2);
        if (hasBatch)
            CHECK(gather.onTimer(at(40)).answers.size() == 1);
        auto last = gather.onTimer(at(200));
        CHECK(last.finished);
        REQUIRE(last.answers.size() == 1);
        CHECK(last.answers.front().isBatch != hasBatch);
        CHECK(last.answers.front().failed.size() == 2);
        CHECK(last.cancels.size() == 2);
    }
}

TEST_CASE("relay messages are decoded as they were encoded, and malformed ones are rejected")
{
    RelayedCall call { { "list", milliseconds(80), { "a", "b" }, 20, milliseconds(300), milliseconds(25) }, "GET",
        "/x/", { { "Host", "h" } }, "body" };
    auto read = decodeRelayedCall(encode(call));
    CHECK(read.relay.services == call.relay.services);
    CHECK(read.relay.remaining == call.relay.remaining);
    CHECK(read.headers == call.headers);
    RelayAnswer answer { true, { { 1, "p" } }, record('z'), { { 0, true, false } } };
    auto decoded = decodeRelayAnswer(encode(answer));
    CHECK(decoded.isBatch);
    CHECK(decoded.answered[0].signature == "p");
    CHECK(decoded.failed[0].hasArrived);
    CHECK_THROWS_AS(decodeRelayAnswer("\x93garbage"), Error);
    CHECK_THROWS_AS(decodeRelayedCall(""), Error);
}

namespace {

LeafNotice paused(int ms) { return { .pause = milliseconds(ms) }; }

/// A request that is forwarded to the service s0, whose leaves are both paused.
struct PausedFixture : Fixture {
    explicit PausedFixture(int ms)
        : Fixture(1, 1.0)
    {
        route.targets = { { "s0", 1 } };
        route.shards.clear();
        for (const char* zone : { "atl", "sav" })
            policies.onNotice(leafOf("s0", zone), paused(ms), start);
    }
};

} // namespace

// Guards against a request that waits for leaves that it cannot use before its deadline.
TEST_CASE("a request whose leaves all want no requests for long is refused at once with the time of the first trial")
{
    PausedFixture it(2000);
    auto actions = it.execution().start(at(0));
    CHECK(actions.sends.empty());
    REQUIRE(actions.finish);
    CHECK(errorAnswer(actions.finish->error).outcome == Outcome::NotRun);
    REQUIRE(actions.finish->retryAfter);
    CHECK(*actions.finish->retryAfter >= milliseconds(2000));
    CHECK(*actions.finish->retryAfter <= milliseconds(3000));
}

TEST_CASE("a request whose leaves want no requests for a moment is sent after it, to one leaf")
{
    PausedFixture it(10);
    auto actions = it.execution().start(at(0));
    CHECK(actions.sends.empty());
    CHECK_FALSE(actions.finish);
    REQUIRE(actions.nextTimer);
    CHECK(*actions.nextTimer >= at(10));
    auto sent = it.execution().onTimer(*actions.nextTimer);
    CHECK(sent.sends.size() == 1);
}

// Guards against a retry at a leaf that has just said that it wants none.
TEST_CASE("a refusal that states a pause is followed by the other leaf, and then by no leaf")
{
    Fixture it(1, 1.0);
    it.route.targets = { { "s0", 1 } };
    it.route.shards.clear();
    auto actions = it.execution().start(at(0));
    REQUIRE(actions.sends.size() == 1);
    it.policies.onNotice(actions.sends[0].leaf, paused(5000), at(1));
    auto retry = it.execution().onResult({ actions.sends[0].attempt, Status::Refused, {} }, at(1));
    REQUIRE(retry.sends.size() == 1);
    CHECK(retry.sends[0].leaf.leaf != actions.sends[0].leaf.leaf);
    it.policies.onNotice(retry.sends[0].leaf, paused(5000), at(2));
    auto last = it.execution().onResult({ retry.sends[0].attempt, Status::Refused, {} }, at(2));
    CHECK(last.sends.empty());
    REQUIRE(last.finish);
    CHECK(errorAnswer(last.finish->error).outcome == Outcome::NotRun);
    CHECK(*last.finish->retryAfter >= milliseconds(4999));
}

TEST_CASE("a gather counts a shard whose leaves are paused as missing at once")
{
    Fixture it;
    for (const char* zone : { "atl", "sav" })
        it.policies.onNotice(Fixture::leafOf("s3", zone), paused(1000), at(0));
    auto actions = it.execution().start(at(0));
    REQUIRE(actions.sends.size() == 3);
    RouteActions last;
    for (const auto& send : actions.sends)
        last = it.execution().onResult(Fixture::answered(send, 'a'), at(1));
    REQUIRE(last.finish);
    CHECK(last.finish->kind == RouteOutcome::Kind::Merged);
    CHECK(last.finish->missing == 1);
    CHECK(it.execution().missingShards(at(1)) == std::vector<std::string> { "s3(paused)" });
}

TEST_CASE("a gatherer reports the leaves that have said that they are leaving")
{
    Fixture it;
    RelayRequest request;
    request.services = { "s0", "s1" };
    request.topRecords = 3;
    request.remaining = milliseconds(100);
    request.batchAfter = milliseconds(50);
    RelayedGather gather(request, 1000, it.policies);
    auto actions = gather.start(at(0));
    REQUIRE(actions.sends.size() == 2);
    auto result = Fixture::answered(actions.sends[0], 'a');
    result.isLeafLeaving = true;
    gather.onResult(result, at(1));
    auto last = gather.onResult(Fixture::answered(actions.sends[1], 'b'), at(2));
    REQUIRE(last.answers.size() == 1);
    auto received = decodeRelayAnswer(encode(last.answers[0]));
    REQUIRE(received.leaving.size() == 1);
    CHECK(received.leaving[0].leaf == actions.sends[0].leaf.leaf);
    CHECK(received.answered.size() == 2);
}
