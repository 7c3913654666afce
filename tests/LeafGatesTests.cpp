#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "query/LeafGates.h"

#include <doctest/doctest.h>
#include <random>

using namespace citronplank;

namespace {

struct Fixture {
    TimePoint now {};
    LeafGates gates;
    std::uint64_t nextPart = 1;
    Announcement leaf { .leaf = "l", .service = "s", .zone = "atl", .boot = 1, .slots = 2, .connections = 25 };

    Fixture()
    {
        gates.setLeaf(leaf, now);
        allow(9);
    }
    void allow(std::uint32_t limit) { gates.setAllowance("l", { .limit = limit, .until = now + seconds(60) }, now); }
    GateActions submit(
        std::uint64_t fingerprint = 1, milliseconds remaining = milliseconds(100), const std::string& key = {})
    {
        const Part part {
            .partId = nextPart++, .leaf = "l", .remaining = remaining, .requestKey = key, .fingerprint = fingerprint
        };
        return gates.submit("e", part, now);
    }
    GateActions result(const GateDispatch& it, PartStatus status)
    {
        return gates.onResult({ .partId = it.part.partId, .status = status, .outcome = Outcome::NotRun }, now);
    }
    /// Runs parts one by one until slow start has reached the full limit.
    void warm()
    {
        for (int i = 0; i < 16; ++i) {
            const auto started = submit();
            REQUIRE(started.dispatches.size() == 1);
            now += milliseconds(5);
            result(started.dispatches[0], PartStatus::Ok);
        }
        REQUIRE(gates.status(now).at(0).limit == 2);
    }
};

PartStatus onlyAnswer(const GateActions& actions)
{
    REQUIRE(actions.answers.size() == 1);
    return actions.answers[0].result.status;
}

} // namespace

// Guards against bursts to a leaf that has just started, changed its owner or become slow again.
TEST_CASE_FIXTURE(Fixture, "a new boot, a new owner and a refusal by the leaf reset the limit to 1")
{
    CHECK(gates.status(now).at(0).limit == 1);
    warm();
    leaf.boot = 2;
    gates.setLeaf(leaf, now);
    CHECK(gates.status(now).at(0).limit == 1);
    warm();
    leaf.boot = 1; // late message of the previous boot
    gates.setLeaf(leaf, now);
    CHECK(gates.status(now).at(0).limit == 2);
    allow(0);
    allow(9);
    CHECK(gates.status(now).at(0).limit == 1);
    warm();
    CHECK(onlyAnswer(result(submit().dispatches.at(0), PartStatus::Refused)) == PartStatus::Refused);
    CHECK(gates.status(now).at(0).limit == 1);
}

// Guards against parts queued at a busy leaf while another replica is idle.
TEST_CASE_FIXTURE(Fixture, "a part that may not be queued is refused immediately if no slot is free")
{
    const Part running { .partId = nextPart++, .leaf = "l", .remaining = milliseconds(100), .mayQueue = false };
    CHECK(gates.submit("e", running, now).dispatches.size() == 1);
    const Part second { .partId = nextPart++, .leaf = "l", .remaining = milliseconds(100), .mayQueue = false };
    const auto refused = gates.submit("e", second, now);
    CHECK(onlyAnswer(refused) == PartStatus::Refused);
    CHECK(refused.answers[0].result.wasBusy);
    CHECK(refused.answers[0].result.outcome == Outcome::NotRun);
    CHECK(submit().answers.empty());
}

// Guards against sending after the lease has expired. This must not depend on receiving a message.
TEST_CASE_FIXTURE(Fixture, "nothing starts after the end of the lease and queued parts are refused as not run")
{
    gates.setAllowance("l", { .limit = 9, .until = now + milliseconds(50) }, now);
    const auto first = submit();
    CHECK(submit().nextTimer == now + milliseconds(50));
    now += milliseconds(50);
    const auto expired = gates.onTimer(now);
    CHECK(onlyAnswer(expired) == PartStatus::Refused);
    CHECK(expired.answers[0].result.outcome == Outcome::NotRun);
    CHECK(onlyAnswer(submit()) == PartStatus::Refused);
    CHECK(result(first.dispatches[0], PartStatus::Ok).answers.size() == 1);
}

// Guards against starting a part after its zone or leaf was taken out of service, or its leaf began draining, while the
// part was queued.
TEST_CASE_FIXTURE(Fixture, "rules are checked again when a queued part would start")
{
    Rules zoneOut;
    zoneOut.zonesOut.insert("atl");
    Rules leafOut;
    leafOut.leaves["l"].out = true;
    for (const auto& rules : { zoneOut, leafOut }) {
        const auto running = submit();
        CHECK(submit().dispatches.empty());
        CHECK(onlyAnswer(gates.setRules(rules, now)) == PartStatus::Refused);
        CHECK(onlyAnswer(result(running.dispatches.at(0), PartStatus::Ok)) == PartStatus::Ok);
        CHECK(onlyAnswer(submit()) == PartStatus::Refused);
        gates.setRules({}, now);
    }
    const auto running = submit();
    submit();
    leaf.draining = true;
    CHECK(onlyAnswer(gates.setLeaf(leaf, now)) == PartStatus::Refused);
}

// Guards against reusing a slot while the leaf is still working on a cancelled or late part.
TEST_CASE_FIXTURE(Fixture, "a slot stays occupied until the end of the part is known")
{
    const auto first = submit();
    const auto second = submit(1, milliseconds(30));
    CHECK(second.dispatches.empty());
    CHECK(gates.cancel("e", 1, true, now).cancelRunning.empty());
    CHECK(gates.cancel("e", 1, false, now).cancelRunning.size() == 1);
    CHECK(gates.cancel("e", 1, false, now).cancelRunning.empty());
    now += milliseconds(20);
    CHECK(gates.onTimer(now).dispatches.empty());
    const auto ended = result(first.dispatches[0], PartStatus::Crashed);
    CHECK(ended.answers.empty());
    CHECK(ended.suspicions.empty()); // the gate closed the connection itself
    REQUIRE(ended.dispatches.size() == 1);
    CHECK(ended.dispatches[0].part.remaining == milliseconds(10));
    now += milliseconds(10);
    const auto late = gates.onTimer(now);
    CHECK(late.cancelRunning.size() == 1);
    CHECK(late.answers.at(0).result.outcome == Outcome::MayHaveRun);
    CHECK(submit().dispatches.empty());
    CHECK(result(ended.dispatches[0], PartStatus::Ok).answers.empty());
}

// Guards against discarding the actual outcome of a keyed part at its deadline, and against guessing it afterwards.
TEST_CASE_FIXTURE(Fixture, "a keyed part past its deadline is answered once its end is known")
{
    const auto sent = submit(1, milliseconds(30), "5-a");
    now += milliseconds(30);
    CHECK(gates.onTimer(now).cancelRunning.empty());
    now += seconds(1);
    const auto ended = gates.onTimer(now);
    CHECK(ended.cancelRunning.size() == 1);
    CHECK(ended.answers.empty());
    const auto answered = result(sent.dispatches.at(0), PartStatus::Crashed);
    CHECK(onlyAnswer(answered) == PartStatus::Deadline);
    CHECK(answered.answers[0].result.outcome == Outcome::MayHaveRun);
}

// Guards against queueing parts that would miss their deadline, and against an unbounded queue.
TEST_CASE_FIXTURE(Fixture, "parts that cannot meet their deadline are refused as not run, earlier deadlines go first")
{
    warm(); // 5 ms each
    submit();
    const auto running = submit();
    CHECK(onlyAnswer(submit(1, milliseconds(6))) == PartStatus::Refused);
    submit(1, milliseconds(90));
    const auto earlier = submit(1, milliseconds(20));
    CHECK(earlier.answers.empty());
    const auto next = result(running.dispatches[0], PartStatus::Ok);
    REQUIRE(next.dispatches.size() == 1);
    CHECK(next.dispatches[0].part.remaining == milliseconds(20));
    for (int i = 0; i < 64; ++i)
        submit(1, seconds(9));
    CHECK(onlyAnswer(submit(1, seconds(9))) == PartStatus::Refused);
    CHECK(gates.counters().refusedQueueFull > 0);
}

// Guards against estimating the wait with an outdated low latency after the leaf has become slow, and against a gate
// that refuses parts permanently because of an outdated high estimate.
TEST_CASE_FIXTURE(Fixture, "the estimated wait adapts to a leaf that becomes slow and recovers")
{
    warm(); // 5 ms each
    for (int i = 0; i < 8; ++i) {
        const auto sent = submit();
        now += milliseconds(50);
        result(sent.dispatches.at(0), PartStatus::Ok);
    }
    const auto first = submit(1, milliseconds(20)); // an idle gate always accepts
    REQUIRE(first.dispatches.size() == 1);
    CHECK(onlyAnswer(submit(1, milliseconds(80))) == PartStatus::Refused);
    CHECK(submit(1, milliseconds(120)).answers.empty());
    const auto next = result(first.dispatches[0], PartStatus::Refused);
    submit(1, milliseconds(130));
    now += milliseconds(90);
    const auto late = result(next.dispatches.at(0), PartStatus::Ok);
    CHECK(late.dispatches.size() == 1); // the last one is sent although it will probably be late
    CHECK(gates.counters().refusedWait == 1);
}

// Guards against a request that crashes leaves and fails other requests with them or crashes a third leaf, and against
// blocking an unrelated request that was running on the same leaf.
TEST_CASE_FIXTURE(
    Fixture, "suspects run alone, a second crash blocks them, a completed run clears one that ran during a crash")
{
    warm();
    const auto crashing = submit(66);
    const auto concurrent = submit(7);
    const auto crashed = result(crashing.dispatches.at(0), PartStatus::Crashed);
    CHECK(crashed.suspicions.size() == 2);
    CHECK_FALSE(crashed.suspicions[1].wasAlone);
    CHECK_FALSE(result(concurrent.dispatches.at(0), PartStatus::Crashed).suspicions.at(0).wasAlone);
    CHECK(gates.suspicions().stateOf(7, now) == Suspicion::Suspect);
    allow(0);
    allow(9);
    warm();

    const auto other = submit(3);
    CHECK(submit(66).dispatches.empty());
    CHECK(submit(3).dispatches.empty()); // starting it would delay the suspect further
    const auto alone = result(other.dispatches[0], PartStatus::Ok);
    REQUIRE(alone.dispatches.size() == 1);
    CHECK(alone.dispatches[0].part.fingerprint == 66);
    const auto again = result(alone.dispatches[0], PartStatus::Crashed);
    CHECK(again.suspicions.at(0).state == Suspicion::Blocked);
    result(again.dispatches.at(0), PartStatus::Ok);
    CHECK(onlyAnswer(submit(66)) == PartStatus::Blocked);
    const auto cleared = result(submit(7).dispatches.at(0), PartStatus::Ok);
    CHECK(cleared.suspicions.at(0).state == Suspicion::None);
    CHECK(gates.suspicions().stateOf(7, now) == Suspicion::None);
    now += std::chrono::minutes(10);
    allow(9);
    CHECK(submit(66).dispatches.size() == 1);
}

// Random events with fixed seeds. Guards against exceeding the limit and against parts answered twice or never.
TEST_CASE("no part is dispatched beyond the limit and each is answered exactly once")
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        Fixture it;
        std::map<std::uint64_t, std::uint64_t> running; // boot by the id assigned by the gate
        std::map<std::uint64_t, int> answers;           // by the sender's part id
        std::set<std::uint64_t> cancelled;
        std::uint32_t allowed = 9;
        const auto take = [&](const GateActions& actions) {
            for (const auto& dispatch : actions.dispatches) {
                running[dispatch.part.partId] = it.leaf.boot;
                const auto ofBoot = std::count_if(
                    running.begin(), running.end(), [&](const auto& entry) { return entry.second == it.leaf.boot; });
                CHECK(ofBoot <= std::min(allowed, it.leaf.slots));
                CHECK(running.size() <= it.leaf.connections);
                CHECK(dispatch.part.remaining > milliseconds(0));
            }
            for (const auto& answer : actions.answers)
                ++answers[answer.result.partId];
        };
        it.leaf.slots = 3;
        it.leaf.connections = 4;
        for (int step = 0; step < 300; ++step) {
            it.now += milliseconds(random() % 4);
            const auto event = random() % 20;
            if (event < 8) {
                take(it.submit(random() % 4, milliseconds(1 + random() % 60), random() % 4 == 0 ? "5-a" : ""));
            } else if (event < 14 && !running.empty()) {
                const auto done = std::next(running.begin(), static_cast<long>(random() % running.size()))->first;
                running.erase(done);
                const auto status = random() % 8 == 0 ? static_cast<PartStatus>(random() % 8) : PartStatus::Ok;
                take(it.gates.onResult({ .partId = done, .status = status }, it.now));
            } else if (event == 14 && it.nextPart > 1) {
                const auto partId = 1 + random() % (it.nextPart - 1);
                cancelled.insert(partId);
                take(it.gates.cancel("e", partId, random() % 2 == 0, it.now));
            } else if (event == 15) {
                allowed = static_cast<std::uint32_t>(random() % 4);
                take(it.gates.setAllowance("l", { .limit = allowed, .until = it.now + milliseconds(40) }, it.now));
            } else if (event == 16) {
                it.leaf.boot += random() % 2;
                it.leaf.draining = random() % 4 == 0;
                take(it.gates.setLeaf(it.leaf, it.now));
            } else if (event == 17 && random() % 4 == 0) {
                take(it.gates.removeLeaf("l", it.now));
            } else {
                take(it.gates.onTimer(it.now));
            }
        }
        it.now += seconds(5);
        take(it.gates.onTimer(it.now));
        while (!running.empty()) {
            const auto done = running.begin()->first;
            running.erase(done);
            take(it.gates.onResult({ .partId = done, .status = PartStatus::Ok }, it.now));
        }
        for (std::uint64_t partId = 1; partId < it.nextPart; ++partId) {
            CHECK(answers[partId] <= 1);
            CHECK((answers[partId] == 1 || cancelled.contains(partId)));
        }
    }
}
