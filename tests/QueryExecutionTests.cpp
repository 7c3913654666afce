#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "query/QueryExecution.h"

#include <doctest/doctest.h>
#include <random>

using namespace citronplank;

namespace {

constexpr std::uint64_t queryId = 9;

std::shared_ptr<PinnedLayout> layoutOf(std::uint64_t version, std::uint32_t shards, std::uint32_t replicas)
{
    auto it = std::make_shared<PinnedLayout>();
    it->layout = { .service = "s", .version = version, .shardCount = shards, .replicas = {} };
    it->layout.replicas.resize(shards);
    it->emptyReasons.resize(shards, MissingReason::NoReplica);
    it->coveredShards = replicas > 0 ? shards : 0;
    for (std::uint32_t shard = 0; shard < shards; ++shard)
        for (std::uint32_t i = 0; i < replicas; ++i)
            it->layout.replicas[shard].push_back({ .leaf = std::to_string(shard) + "-" + std::to_string(i) });
    return it;
}

struct Fixture {
    TimePoint now {};
    std::mt19937_64 random { 42 };
    ReplicaStatistics policies { PolicySettings::adaptive(), [this] { return random(); } };
    ServiceRules rules;
    std::unique_ptr<QueryExecution<ReplicaStatistics>> query;

    QueryActions start(std::shared_ptr<const PinnedLayout> layout, milliseconds deadline = milliseconds(100))
    {
        query = QueryBuilder()
                    .query({ .service = "s", .operation = "list", .deadline = deadline, .body = "b" })
                    .queryId(queryId)
                    .layout(std::move(layout))
                    .rules(rules)
                    .build(policies);
        return query->start(now);
    }
    QueryActions result(const PartSend& sent, PartStatus status)
    {
        const auto outcome = status == PartStatus::Ok ? Outcome::Ran : Outcome::NotRun;
        return query->onResult(
            { .partId = sent.part.partId,
                .status = status,
                .outcome = outcome,
                .shard = sent.part.shard,
                .body = "v" + std::to_string(sent.part.shard.version) + "/" + std::to_string(sent.part.shard.shard) },
            now);
    }
    void learnLatency(milliseconds latency)
    {
        for (int i = 0; i < 100; ++i) {
            policies.onPartSent("s", "other", now);
            policies.onPartAnswered("s", "other", latency, now);
        }
    }
};

const QueryAnswer& answerOf(const QueryActions& actions)
{
    REQUIRE(actions.finish);
    REQUIRE(std::holds_alternative<QueryAnswer>(*actions.finish));
    return std::get<QueryAnswer>(*actions.finish);
}

ErrorKind errorOf(const QueryActions& actions)
{
    REQUIRE(actions.finish);
    REQUIRE(std::holds_alternative<Error>(*actions.finish));
    return std::get<Error>(*actions.finish).kind();
}

} // namespace

// Guards against a shard merged twice when the hedge and the first part both answer, and against a running loser.
TEST_CASE_FIXTURE(Fixture, "a slow part is hedged to another replica, the loser is cancelled and its result ignored")
{
    learnLatency(milliseconds(5));
    const auto first = start(layoutOf(1, 3, 2));
    REQUIRE(first.sends.size() == 3);
    result(first.sends[0], PartStatus::Ok);
    now += milliseconds(10);
    const auto hedged = query->onTimer(now);
    REQUIRE(hedged.sends.size() == 2);
    CHECK(hedged.sends[0].isHedge);
    CHECK(hedged.sends[0].part.shard.shard == 1);
    CHECK(hedged.sends[0].part.leaf != first.sends[1].part.leaf);
    now += milliseconds(1);
    const auto merged = result(hedged.sends[0], PartStatus::Ok);
    CHECK(merged.partWait == milliseconds(1));
    REQUIRE(merged.cancels.size() == 1);
    CHECK(merged.cancels[0].partId == first.sends[1].part.partId);
    CHECK_FALSE(result(first.sends[1], PartStatus::Ok).finish);
    const auto done = result(first.sends[2], PartStatus::Ok);
    CHECK(answerOf(done).parts == std::vector<std::string> { "v1/0", "v1/1", "v1/2" });
    CHECK(query->counters().lateResults == 1);
    CHECK(policies.chooser().inFlight(first.sends[1].part.leaf) == 0);
}

// Guards against retries without bound: a shed part is retried once, on another replica.
TEST_CASE_FIXTURE(Fixture, "a shed part is retried once and then missing as refused")
{
    const auto first = start(layoutOf(1, 1, 3));
    const auto second = result(first.sends[0], PartStatus::Refused);
    REQUIRE(second.sends.size() == 1);
    CHECK(second.sends[0].part.leaf != first.sends[0].part.leaf);
    const auto done = result(second.sends[0], PartStatus::Refused);
    CHECK(done.sends.empty());
    CHECK(answerOf(done).coverage.missing.at(0).reason == MissingReason::Refused);
}

// Guards against a shard that is lost, or uses up the retry budget, because its first replica was busy.
TEST_CASE_FIXTURE(Fixture, "a part that met a busy leaf waits at the other replica")
{
    const auto first = start(layoutOf(1, 60, 2)); // more shards than the retry budget allows at once
    QueryActions done;
    for (const auto& it : first.sends) {
        CHECK_FALSE(it.part.mayQueue);
        const auto second
            = query->onResult({ .partId = it.part.partId, .status = PartStatus::Refused, .wasBusy = true }, now);
        REQUIRE(second.sends.size() == 1);
        CHECK(second.sends[0].part.leaf != it.part.leaf);
        CHECK(second.sends[0].part.mayQueue);
        done = result(second.sends[0], PartStatus::Ok);
    }
    CHECK(answerOf(done).coverage.isWhole());
}

// Guards against merging two index versions into one answer, and against a second restart.
TEST_CASE_FIXTURE(Fixture, "after a version change the whole query restarts once on the new layout")
{
    const auto first = start(layoutOf(1, 2, 1));
    result(first.sends[0], PartStatus::Ok);
    CHECK(result(first.sends[1], PartStatus::WrongVersion).needsLayout);
    const auto again = query->onLayout(layoutOf(2, 3, 1), now);
    REQUIRE(again.sends.size() == 3);
    CHECK_FALSE(result(first.sends[1], PartStatus::Ok).finish); // late, of the old layout
    result(again.sends[0], PartStatus::Ok);
    result(again.sends[1], PartStatus::Ok);
    const auto done = result(again.sends[2], PartStatus::WrongVersion);
    CHECK_FALSE(done.needsLayout);
    CHECK(answerOf(done).version == 2);
    CHECK(answerOf(done).parts == std::vector<std::string> { "v2/0", "v2/1" });
    CHECK(answerOf(done).coverage.missing.at(0).reason == MissingReason::WrongVersion);
}

// Guards against an answer that lost coverage to a restart that did not get far.
TEST_CASE_FIXTURE(Fixture, "the old snapshot is answered if the new one covers less at the deadline")
{
    const auto first = start(layoutOf(1, 2, 1));
    result(first.sends[0], PartStatus::Ok);
    result(first.sends[1], PartStatus::WrongVersion);
    query->onLayout(layoutOf(2, 2, 1), now);
    now += milliseconds(100);
    const auto done = query->onTimer(now);
    CHECK(answerOf(done).version == 1);
    CHECK(answerOf(done).coverage.answered == 1);
    CHECK(answerOf(done).coverage.missing.at(0).reason == MissingReason::WrongVersion);
}

// Guards against an answer computed on another shard count or shard than asked, which the leaf may send by mistake.
TEST_CASE_FIXTURE(Fixture, "a part of another shard is not merged")
{
    auto sent = start(layoutOf(1, 2, 1)).sends[0];
    sent.part.shard.shard = 1;
    result(sent, PartStatus::Ok);
    const auto done = query->onLayout(nullptr, now);
    CHECK(query->counters().foreignResults == 1);
    CHECK_FALSE(done.finish); // the other shard is still open
}

// Guards against a poison request that goes on to crash further leaves.
TEST_CASE_FIXTURE(Fixture, "after a crash nothing more is sent, and the next query runs on one leaf at a time")
{
    const auto first = start(layoutOf(1, 3, 2));
    const auto crashed = result(first.sends[0], PartStatus::Crashed);
    CHECK(crashed.sends.empty());
    REQUIRE(crashed.cancels.size() == 2);
    CHECK(crashed.cancels[0].queuedOnly);
    CHECK(result(first.sends[1], PartStatus::Unreachable).sends.empty());
    const auto done = result(first.sends[2], PartStatus::Refused);
    CHECK(errorOf(done) == ErrorKind::OutcomeUnknown);

    auto suspect = start(layoutOf(1, 3, 2));
    for (int i = 0; i < 2; ++i) {
        REQUIRE(suspect.sends.size() == 1);
        CHECK(query->onTimer(now).sends.empty());
        suspect = result(suspect.sends[0], PartStatus::Ok);
    }
    const auto blocked = result(suspect.sends.at(0), PartStatus::Crashed);
    CHECK(answerOf(blocked).coverage.missing.at(0).reason == MissingReason::Crashed);
    CHECK(errorOf(start(layoutOf(1, 3, 2))) == ErrorKind::RequestBlocked);
}

// Guards against hedges and retries of a request that crashed a leaf in another query or at another instance.
TEST_CASE_FIXTURE(Fixture, "a request that has become suspect meanwhile gets no extra parts")
{
    learnLatency(milliseconds(5));
    const auto first = start(layoutOf(1, 2, 2));
    policies.suspicions().adoptSuspect(first.sends[0].part.fingerprint, 0, true, now);
    now += milliseconds(10);
    CHECK(query->onTimer(now).sends.empty());
    CHECK(result(first.sends[0], PartStatus::Unreachable).sends.empty());
}

// Guards against waiting for a straggler longer than the operators allow, and against stopping below the minimum.
TEST_CASE_FIXTURE(Fixture, "stops after `wait` only with the minimum coverage")
{
    rules.wait = milliseconds(20);
    rules.minCoverage = 0.5;
    const auto first = start(layoutOf(1, 4, 1));
    CHECK(first.nextTimer == now + milliseconds(20));
    result(first.sends[0], PartStatus::Ok);
    now += milliseconds(20);
    CHECK_FALSE(query->onTimer(now).finish);
    const auto done = result(first.sends[1], PartStatus::Ok);
    CHECK(answerOf(done).coverage.answered == 2);
    CHECK(done.cancels.size() == 2);
    CHECK(StopRule(milliseconds(1), { .minCoverage = 0.56 }, now).isCoverageReached(14, 25));
    CHECK_FALSE(StopRule(milliseconds(1), { .minCoverage = 0.56 }, now).isCoverageReached(13, 25));
    start(layoutOf(1, 4, 1));
    now += milliseconds(100);
    CHECK(errorOf(query->onTimer(now)) == ErrorKind::CoverageTooLow);
}

// Guards, over random events with fixed seeds, against wrong coverage sums, shards counted twice, mixed versions, a
// second finish, and parts left in flight in the statistics.
TEST_CASE("every query finishes exactly once with truthful coverage")
{
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        CAPTURE(seed);
        Fixture it;
        std::mt19937_64 random(seed);
        it.learnLatency(milliseconds(3));
        const auto replicas = static_cast<std::uint32_t>(1 + random() % 3);
        auto layout = layoutOf(1, static_cast<std::uint32_t>(1 + random() % 6), replicas);
        if (random() % 4 == 0) {
            layout->layout.replicas[0].clear();
            --layout->coveredShards;
        }
        std::vector<PartSend> sent;
        std::vector<QueryOutcome> finishes;
        const auto take = [&](const QueryActions& actions) {
            CHECK_FALSE((it.query->isFinished() && (!actions.sends.empty() || actions.nextTimer)));
            sent.insert(sent.end(), actions.sends.begin(), actions.sends.end());
            if (actions.finish)
                finishes.push_back(*actions.finish);
            return actions.needsLayout;
        };
        bool asked = take(it.start(layout, milliseconds(40)));
        for (int step = 0; step < 60; ++step) {
            it.now += milliseconds(random() % 3);
            if (asked && random() % 2 == 0)
                asked = take(it.query->onLayout(random() % 2 == 0 ? layoutOf(2, 4, replicas) : layout, it.now));
            else if (!sent.empty() && random() % 3 != 0)
                asked |= take(it.result(sent[random() % sent.size()],
                    random() % 2 == 0 ? PartStatus::Ok : static_cast<PartStatus>(random() % 8)));
            else
                asked |= take(it.query->onTimer(it.now));
        }
        take(it.query->onTimer(it.now + milliseconds(40)));
        REQUIRE(finishes.size() == 1);
        for (const auto& send : sent)
            CHECK(it.policies.chooser().inFlight(send.part.leaf) == 0);
        if (!std::holds_alternative<QueryAnswer>(finishes[0]))
            continue;
        const auto& answer = std::get<QueryAnswer>(finishes[0]);
        CHECK(answer.coverage.total == (answer.version == 1 ? layout->layout.shardCount : 4));
        CHECK(answer.coverage.total == answer.coverage.answered + answer.coverage.missing.size());
        CHECK(answer.coverage.answered == answer.parts.size());
        std::set<std::string> expected;
        for (std::uint32_t shard = 0; shard < answer.coverage.total; ++shard)
            expected.insert("v" + std::to_string(answer.version) + "/" + std::to_string(shard));
        for (const auto& missing : answer.coverage.missing) {
            const bool hasReplica = answer.version == 2 || !layout->layout.replicas[missing.shard].empty();
            CHECK((missing.reason == MissingReason::NoReplica) == !hasReplica);
            CHECK(expected.erase("v" + std::to_string(answer.version) + "/" + std::to_string(missing.shard)) == 1);
        }
        CHECK(std::vector<std::string>(expected.begin(), expected.end()) == answer.parts);
    }
}
