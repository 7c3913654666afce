#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "policy/Admission.h"
#include "policy/HedgePolicy.h"
#include "policy/ReplicaChooser.h"
#include "policy/SlowStart.h"
#include "policy/StopRule.h"
#include "policy/SuspicionList.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace citronplank;

namespace {

const Announcement leafA { .leaf = "a" };
const Announcement leafB { .leaf = "b" };
const Announcement leafC { .leaf = "c" };
const std::vector<const Announcement*> replicas { &leafA, &leafB, &leafC };

/// Fraction of the choices that each of the three replicas gets.
std::map<std::string, double> shares(ReplicaChooser& chooser, TimePoint now)
{
    std::mt19937_64 random(11);
    std::map<std::string, double> result;
    for (int i = 0; i < 3000; ++i)
        result[replicas[chooser.choose(replicas, random(), now)]->leaf] += 1.0 / 3000;
    return result;
}

void answer(ReplicaChooser& chooser, const std::string& leaf, milliseconds latency, TimePoint now)
{
    chooser.onSent(leaf, now);
    chooser.onAnswered(leaf, latency, now);
}

} // namespace

// Guards against a percentile that is off by more than a bucket, or that is dominated by old samples.
TEST_CASE("percentiles are exact to 10% and follow a lasting change")
{
    LatencyDigest digest;
    CHECK_FALSE(digest.percentile(0.95));
    for (int i = 1; i <= 1000; ++i)
        digest.record(std::chrono::microseconds(i * 100));
    for (const double fraction : { 0.5, 0.95, 0.99 }) {
        const auto exact = std::chrono::duration<double>(0.1 * fraction);
        CHECK(*digest.percentile(fraction) >= exact);
        CHECK(*digest.percentile(fraction) <= exact * 1.1);
    }
    for (std::uint32_t i = 0; i < 8 * LatencyDigest::decaySamples; ++i)
        digest.record(milliseconds(500));
    CHECK(*digest.percentile(0.05) >= milliseconds(500));
    digest.record(std::chrono::hours(1));
    digest.record(-milliseconds(1));
    CHECK(digest.count() < LatencyDigest::decaySamples);
}

// Guards against hedges and retries that multiply the load when all leaves are slow or fail.
TEST_CASE("hedges and retries stay within their percentage of parts")
{
    HedgePolicy hedge(5.0);
    RetryBudget retry(10.0);
    CHECK_FALSE(hedge.delay());
    int hedges = 0;
    int retries = 0;
    for (int i = 0; i < 2000; ++i) {
        hedge.onPart();
        retry.onPart();
        hedge.onLatency(milliseconds(1));
        hedges += hedge.tryTake() ? 1 : 0;
        retries += retry.tryTake() ? 1 : 0;
    }
    CHECK(hedges >= 100);
    CHECK(hedges <= 101);
    CHECK(retries >= 200 + 19);
    CHECK(retries <= 200 + 20);
    CHECK(hedge.delay() == milliseconds(2)); // the minimum, not the observed 1 ms
    CHECK_FALSE(RetryBudget(0).tryTake());
    HedgePolicy baseline(5.0, { .enabled = false });
    for (int i = 0; i < 100; ++i)
        baseline.onLatency(milliseconds(5));
    CHECK_FALSE(baseline.delay());
    CHECK_FALSE(baseline.tryTake());
}

// Guards against a straggler that keeps its full share of the parts, and against one that never gets work again.
TEST_CASE("the slower or busier of two replicas is avoided until its estimate has decayed")
{
    TimePoint now {};
    ReplicaChooser chooser;
    for (const auto* it : replicas)
        answer(chooser, it->leaf, milliseconds(5), now);
    const auto even = shares(chooser, now);
    for (const auto* it : replicas)
        CHECK(even.at(it->leaf) > 0.25);
    answer(chooser, "a", milliseconds(100), now);
    CHECK_FALSE(shares(chooser, now).contains("a"));
    now += seconds(60);
    answer(chooser, "b", milliseconds(5), now);
    answer(chooser, "c", milliseconds(5), now);
    CHECK(shares(chooser, now)["a"] > 0.25);
    ReplicaChooser busy;
    for (int i = 0; i < 3; ++i)
        busy.onSent("b", now);
    CHECK_FALSE(shares(busy, now).contains("b"));
    busy.onAbandoned("b", Duration::zero(), now);
    CHECK(busy.inFlight("b") == 2);
    for (int i = 0; i < 2; ++i)
        busy.onRefused("b", now); // nothing in flight, but only because it refuses
    CHECK_FALSE(shares(busy, now).contains("b"));
    ReplicaChooser baseline({ .rule = ReplicaRule::Random });
    answer(baseline, "a", milliseconds(100), now);
    CHECK(shares(baseline, now)["a"] > 0.25);
}

// Guards against a failing leaf that attracts work because it fails fast, against ejecting all replicas of a shard, and
// against a recovered leaf that stays ejected.
TEST_CASE("a failing leaf is ejected for an increasing time, but never all replicas")
{
    TimePoint now {};
    ReplicaChooser chooser;
    const auto fail = [&](const std::string& leaf, int times) {
        for (int i = 0; i < times; ++i) {
            chooser.onSent(leaf, now);
            chooser.onFailed(leaf, now);
        }
    };
    fail("a", 2);
    answer(chooser, "a", milliseconds(1), now);
    fail("a", 2);
    CHECK_FALSE(chooser.isEjected("a", now));
    fail("a", 1);
    CHECK(chooser.isEjected("a", now));
    CHECK_FALSE(shares(chooser, now).contains("a"));
    now += milliseconds(1000);
    CHECK_FALSE(chooser.isEjected("a", now));
    fail("a", 1); // one failure is enough after an ejection
    now += milliseconds(1999);
    CHECK(chooser.isEjected("a", now));
    now += milliseconds(1);
    answer(chooser, "a", milliseconds(1), now);
    fail("a", 2);
    CHECK_FALSE(chooser.isEjected("a", now));
    for (const auto* leaf : { "a", "b", "c" })
        fail(leaf, 3);
    CHECK(shares(chooser, now).size() >= 2);
}

// Guards against more work than a cold leaf can handle, and against one straggling part that costs a slot.
TEST_CASE("the limit grows by full windows and is reset when the leaf becomes cold")
{
    SlowStart start;
    const auto complete = [&](milliseconds latency, int times, bool atLimit = true) {
        for (int i = 0; i < times; ++i)
            start.onCompleted(latency, atLimit, 3);
    };
    complete(milliseconds(5), 7);
    CHECK(start.limit(3) == 1);
    complete(milliseconds(5), 1);
    CHECK(start.limit(3) == 2);
    complete(milliseconds(5), 100, false); // not at the limit, so no information about it
    CHECK(start.limit(3) == 2);
    complete(milliseconds(5), 100);
    CHECK(start.limit(3) == 3);
    CHECK(start.limit(2) == 2);
    complete(milliseconds(15), 3);
    complete(milliseconds(5), 5);
    CHECK(start.limit(3) == 3);
    complete(milliseconds(15), 12); // a full window; not slow enough for a cold start, but for a lower limit
    CHECK(start.limit(3) == 2);
    complete(milliseconds(5), 24);
    complete(milliseconds(50), 2);
    complete(milliseconds(5), 1);
    start.onTimedOut();
    complete(milliseconds(50), 1);
    CHECK(start.limit(3) == 3);
    complete(milliseconds(50), 1);
    CHECK(start.limit(3) == 1);
    complete(milliseconds(50), 8); // still cold
    CHECK(start.limit(3) == 1);
    complete(milliseconds(5), 16);
    CHECK(start.limit(3) == 3);
    start.onRefused();
    CHECK(start.limit(3) == 1);
    complete(milliseconds(5), 7);
    start.onConnectionLost();
    complete(milliseconds(5), 7);
    CHECK(start.limit(3) == 1);
    complete(milliseconds(50), 400); // the leaf is permanently slower
    CHECK(start.limit(3) == 3);
    CHECK(SlowStart({ .enabled = false }).limit(3) == 3);
}

// Guards against one customer that uses the whole capacity of an entry instance while others are refused, and against
// unused capacity.
TEST_CASE("unused capacity is borrowed and returned by weight")
{
    TimePoint now {};
    FairShares shares({ .capacity = 8 });
    Rules rules;
    rules.customerShares["big"] = 3;
    for (int i = 0; i < 8; ++i)
        CHECK(shares.admit("small", rules, now) == ShareDecision::Admitted);
    CHECK(shares.admit("big", rules, now) == ShareDecision::Full);
    shares.release("small", now);
    CHECK(shares.admit("small", rules, now) == ShareDecision::OverShare);
    CHECK(shares.admit("big", rules, now) == ShareDecision::Admitted);
    CHECK(shares.admit("big", rules, now) == ShareDecision::Full);
    shares.release("small", now);
    now += seconds(1); // the demand window of `big` is over
    CHECK(shares.admit("small", rules, now) == ShareDecision::Admitted);
    CHECK(shares.totalInUse() == 8);

    // Both send requests continuously: the shares converge to the weights.
    std::mt19937_64 random(3);
    std::vector<std::string> running(7, "small");
    running.emplace_back("big");
    for (int i = 0; i < 500; ++i) {
        const std::string leaving = running[random() % running.size()];
        running.erase(std::find(running.begin(), running.end(), leaving));
        shares.release(leaving, now);
        for (const std::string& name : { std::string("small"), std::string("big") }) {
            if (shares.admit(name, rules, now) == ShareDecision::Admitted)
                running.push_back(name);
        }
        CHECK(shares.totalInUse() <= 8);
    }
    CHECK(shares.inUse("big") >= 5);
    CHECK(shares.inUse("small") >= 1);
}

// Guards against admitting requests that cannot be served, and against an estimate that refuses everything permanently.
TEST_CASE("admission refuses by readiness, service limit and estimated wait, with the outcome not run")
{
    TimePoint now {};
    Admission admission;
    Rules rules;
    rules.services["s"].limit = 1;
    const AdmissionRequest request { .service = "s", .customer = "c", .deadline = milliseconds(100) };
    const auto kind = [&] {
        const auto error = admission.admit(request, rules, now);
        REQUIRE(error);
        CHECK(errorAnswer(error->kind()).outcome == Outcome::NotRun);
        return error->kind();
    };
    CHECK(kind() == ErrorKind::NotReady);
    admission.setReadiness(Readiness::Ready);
    CHECK_FALSE(admission.admit(request, rules, now));
    CHECK(kind() == ErrorKind::Overloaded);
    admission.release(request, now);
    for (int i = 0; i < 100; ++i)
        admission.onPartWait("s", milliseconds(150), now);
    CHECK(kind() == ErrorKind::DeadlineUnreachable);
    now += milliseconds(420); // the estimate is now between the two refusal thresholds
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        if (admission.admit(request, rules, now))
            continue;
        ++admitted;
        admission.release(request, now);
    }
    CHECK(admitted > 20);
    CHECK(admitted < 80);
    now += seconds(1);
    CHECK_FALSE(admission.admit(request, rules, now));
    admission.release(request, now);
    CHECK(admission.shares().totalInUse() == 0);
    admission.setReadiness(Readiness::Stopping);
    CHECK(kind() == ErrorKind::Stopping);
}

// Guards against a request that crashes leaves of one shard only and is cleared by the others, and against a block
// after a rack failure.
TEST_CASE("only a crash of a suspect blocks, and a completion on the same shard clears")
{
    TimePoint now {};
    SuspicionList list;
    CHECK(list.onCrash({ .fingerprint = 1, .shard = 3, .wasAlone = true }, now) == Suspicion::Suspect);
    CHECK(list.onCrash({ .fingerprint = 1, .shard = 4, .wasAlone = true }, now) == Suspicion::Suspect);
    CHECK_FALSE(list.onCompleted(1, 0));
    CHECK_FALSE(list.onCompleted(1, 3));
    CHECK(list.stateOf(1, now) == Suspicion::Suspect);
    CHECK(list.onCompleted(1, 4));
    CHECK(list.stateOf(1, now) == Suspicion::None);
    list.adoptSuspect(1, 3, true, now);
    CHECK(list.onCrash({ .fingerprint = 1, .shard = 3, .wasSuspect = true }, now) == Suspicion::Blocked);
    CHECK_FALSE(list.onCompleted(1, 3));
    list.adoptCleared(1);
    CHECK(list.stateOf(1, now) == Suspicion::Blocked);
    list.adoptBlocked(2, now + std::chrono::minutes(5));
    now += std::chrono::minutes(5);
    CHECK(list.stateOf(2, now) == Suspicion::None);
    list.expire(now);
    CHECK(list.size() == 1);
    for (std::uint64_t i = 0; i < SuspicionList::maxSize + 10; ++i)
        list.onCrash({ .fingerprint = 100 + i }, now + seconds(1));
    CHECK(list.size() <= SuspicionList::maxSize);
    CHECK(list.stateOf(1, now + std::chrono::minutes(5)) == Suspicion::None);
}
