#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "query/KeyedExecution.h"

#include <doctest/doctest.h>
#include <functional>
#include <random>

using namespace citronplank;

namespace {

using Execution = KeyedExecution<ReplicaStatistics>;

std::shared_ptr<const PinnedLayout> layoutOf(std::uint32_t replicas)
{
    auto it = std::make_shared<PinnedLayout>();
    it->layout = { .service = "s", .version = 1, .shardCount = 1, .replicas = {} };
    it->layout.replicas.resize(1);
    it->emptyReasons.resize(1);
    it->coveredShards = 1;
    for (std::uint32_t i = 0; i < replicas; ++i)
        it->layout.replicas[0].push_back({ .leaf = "l" + std::to_string(i) });
    return it;
}

struct Fixture {
    TimePoint now {};
    ReplicaStatistics policies { PolicySettings::adaptive(), [] { return 7; } };

    std::unique_ptr<Execution> make(const std::string& attempt, std::uint32_t replicas = 2)
    {
        KeyedContext context;
        context.request = { .key = "1700000000-x", .service = "s", .operation = "lend", .deadline = milliseconds(500) };
        context.queryId = std::hash<std::string> {}(attempt) % 100000;
        context.attempt = attempt;
        context.layout = layoutOf(replicas);
        return std::make_unique<Execution>(context, policies);
    }
    static std::uint64_t fingerprint() { return fingerprintOf("s", "lend", ""); }
    static ProposalReply applied(const std::string& attempt, std::optional<StoredOutcome> finished = {})
    {
        return { ProposalStatus::Applied, KeyedRecord { attempt, fingerprint(), std::move(finished) } };
    }
    static PartResult result(const PartSend& sent, PartStatus status, Outcome outcome, const std::string& body = {})
    {
        return { .partId = sent.part.partId, .status = status, .outcome = outcome, .body = body };
    }
};

ErrorKind errorOf(const KeyedActions& actions)
{
    REQUIRE(actions.finish);
    REQUIRE(std::holds_alternative<Error>(*actions.finish));
    return std::get<Error>(*actions.finish).kind();
}

Outcome storedOutcome(const KeyedActions& actions)
{
    REQUIRE(actions.propose);
    REQUIRE(std::holds_alternative<FinishKeyed>(*actions.propose));
    return std::get<FinishKeyed>(*actions.propose).result.outcome;
}

} // namespace

// Guards against keys without a valid time, which would never expire.
TEST_CASE("request keys are UNIXSECONDS-RANDOM")
{
    CHECK(parseRequestKey("1700000000-abc-d") == 1700000000U);
    for (const auto* bad : { "", "-", "12", "12-", "-x", "12x-a", " 12-a", "99999999999999999999999-a" })
        CHECK_FALSE(parseRequestKey(bad));
    CHECK_FALSE(parseRequestKey("1-" + std::string(200, 'x')));
}

// Guards against a dispatch without a record, and against a lost outcome.
TEST_CASE_FIXTURE(Fixture, "dispatches once after its own record exists, then stores the actual outcome")
{
    const auto it = make("a");
    CHECK_FALSE(it->start(now).send);
    const auto sent = it->onProposal(applied("a"), now);
    REQUIRE(sent.send);
    CHECK(sent.send->part.requestKey == "1700000000-x");
    CHECK_FALSE(it->onProposal(applied("a"), now).send);
    const std::string body(maxStoredBodyBytes + 1, 'x');
    const auto done = it->onResult(result(*sent.send, PartStatus::Ok, Outcome::Ran, body), now);
    CHECK(std::get<KeyedAnswer>(*done.finish).body == body);
    CHECK(storedOutcome(done) == Outcome::Ran);
    CHECK(std::get<FinishKeyed>(*done.propose).result.bodyOmitted);
    it->onProposal({ ProposalStatus::Unknown, {} }, now);
    CHECK_FALSE(it->isDone());
    now += Execution::proposalRetry;
    CHECK(storedOutcome(it->onTimer(now)) == Outcome::Ran);
    it->onProposal({ ProposalStatus::Applied, {} }, now);
    CHECK(it->isDone());
}

// Guards against a dispatch without confirmation when the result of the proposal is unknown.
TEST_CASE_FIXTURE(Fixture, "after an unknown proposal result it reads the record and dispatches only if it holds it")
{
    for (const auto* holder : { "a", "b" }) {
        const auto it = make("a");
        it->start(now);
        const auto unknown = it->onProposal({ ProposalStatus::Unknown, {} }, now);
        CHECK(unknown.readRecord);
        CHECK_FALSE(unknown.send);
        const auto read = it->onRecord({ true, KeyedRecord { holder, fingerprint(), {} } }, now);
        CHECK(read.send.has_value() == (std::string(holder) == "a"));
        CHECK_FALSE(it->onRecord({ true, KeyedRecord { "a", fingerprint(), {} } }, now).send);
    }
    const auto it = make("a");
    it->start(now);
    it->onProposal({ ProposalStatus::Unknown, {} }, now);
    it->onRecord({ true, {} }, now);
    now += Execution::proposalRetry;
    CHECK(it->onTimer(now).propose);
    CHECK_FALSE(it->onProposal({ ProposalStatus::NotApplied, {} }, now).finish); // the first one may still be applied
    now += seconds(1);
    const auto late = it->onTimer(now);
    CHECK(errorOf(late) == ErrorKind::OutcomeUnknown);
    CHECK(storedOutcome(late) == Outcome::NotRun);
}

// Guards against a resend that runs the request again, or that reports "not run" while the first attempt may have run.
TEST_CASE_FIXTURE(Fixture, "a resend waits for the other attempt and returns its stored outcome")
{
    const auto it = make("b");
    it->start(now);
    CHECK_FALSE(it->onProposal(applied("a"), now).send);
    now += Execution::pollInterval;
    CHECK(it->onTimer(now).readRecord);
    const StoredOutcome stored { .outcome = Outcome::Ran, .body = "receipt" };
    const auto done = it->onRecord({ true, KeyedRecord { "a", fingerprint(), stored } }, now);
    CHECK(std::get<KeyedAnswer>(*done.finish).body == "receipt");

    const auto waiting = make("c");
    waiting->start(now);
    waiting->onProposal(applied("a"), now);
    now += milliseconds(500);
    CHECK(errorOf(waiting->onTimer(now)) == ErrorKind::OutcomeUnknown);
    CHECK(waiting->isDone());

    const auto answerTo = [&](const ProposalReply& reply) {
        const auto other = make("d");
        other->start(now);
        return errorOf(other->onProposal(reply, now));
    };
    CHECK(answerTo(applied("a", StoredOutcome { .outcome = Outcome::MayHaveRun })) == ErrorKind::OutcomeUnknown);
    CHECK(
        answerTo(applied("a", StoredOutcome { .outcome = Outcome::Ran, .failed = true })) == ErrorKind::BackendFailed);
    CHECK(answerTo(applied("a", StoredOutcome { .outcome = Outcome::Ran, .bodyOmitted = true }))
        == ErrorKind::BackendFailed);
    CHECK(answerTo({ ProposalStatus::Applied, KeyedRecord { "a", 1, {} } }) == ErrorKind::KeyReused);
    CHECK(answerTo({ ProposalStatus::KeyExpired, {} }) == ErrorKind::KeyExpired);
    CHECK(answerTo({ ProposalStatus::TableFull, {} }) == ErrorKind::Overloaded);
    CHECK(answerTo({ ProposalStatus::NotApplied, {} }) == ErrorKind::NoMajority);
}

// Guards against "not run" after a part that may have run, regardless of the reported outcome.
TEST_CASE_FIXTURE(Fixture, "the answer and the record follow from the result of the part")
{
    struct Row {
        PartStatus status;
        Outcome outcome;
        ErrorKind kind;
        Outcome stored;
    };
    const Row rows[] = {
        { PartStatus::Refused, Outcome::NotRun, ErrorKind::Overloaded, Outcome::NotRun },
        { PartStatus::WrongVersion, Outcome::NotRun, ErrorKind::NoReplica, Outcome::NotRun },
        { PartStatus::Unreachable, Outcome::NotRun, ErrorKind::NoReplica, Outcome::NotRun },
        { PartStatus::Unreachable, Outcome::MayHaveRun, ErrorKind::OutcomeUnknown, Outcome::MayHaveRun },
        { PartStatus::Blocked, Outcome::NotRun, ErrorKind::RequestBlocked, Outcome::NotRun },
        { PartStatus::Deadline, Outcome::NotRun, ErrorKind::DeadlineUnreachable, Outcome::NotRun },
        { PartStatus::Deadline, Outcome::MayHaveRun, ErrorKind::OutcomeUnknown, Outcome::MayHaveRun },
        { PartStatus::Failed, Outcome::Ran, ErrorKind::BackendFailed, Outcome::Ran },
        { PartStatus::Crashed, Outcome::NotRun, ErrorKind::OutcomeUnknown, Outcome::MayHaveRun },
    };
    for (const auto& row : rows) {
        const auto it = make("a");
        it->start(now);
        const auto sent = it->onProposal(applied("a"), now);
        const auto done = it->onResult(result(*sent.send, row.status, row.outcome), now);
        CHECK(errorOf(done) == row.kind);
        CHECK(storedOutcome(done) == row.stored);
        CHECK_FALSE(done.send);
    }
}

// Guards against losing a late result. The caller was answered "may have run", and a resend can return the actual
// outcome.
TEST_CASE_FIXTURE(Fixture, "a result after the deadline is recorded, and a missing result is recorded as may have run")
{
    for (const bool answers : { true, false }) {
        const auto it = make("a");
        it->start(now);
        const auto sent = it->onProposal(applied("a"), now);
        now += milliseconds(500);
        const auto late = it->onTimer(now);
        CHECK(errorOf(late) == ErrorKind::OutcomeUnknown);
        CHECK(late.cancels.at(0).queuedOnly);
        now += answers ? milliseconds(10) : Execution::lateResultGrace;
        const auto end
            = answers ? it->onResult(result(*sent.send, PartStatus::Ok, Outcome::Ran), now) : it->onTimer(now);
        CHECK(storedOutcome(end) == (answers ? Outcome::Ran : Outcome::MayHaveRun));
        CHECK_FALSE(end.finish);
    }
    const auto begun = make("a");
    begun->start(now);
    now += milliseconds(500);
    CHECK(errorOf(begun->onTimer(now)) == ErrorKind::OutcomeUnknown);
    const auto tooLate = begun->onProposal(applied("a"), now);
    CHECK_FALSE(tooLate.send);
    CHECK(storedOutcome(tooLate) == Outcome::NotRun);

    const auto it = make("a", 0);
    it->start(now);
    const auto none = it->onProposal(applied("a"), now);
    CHECK(errorOf(none) == ErrorKind::NoReplica);
    CHECK(storedOutcome(none) == Outcome::NotRun);
}

namespace {

/// Fake control log. The test applies proposals immediately, late or never, and may hide the result.
struct FakeControlLog {
    std::optional<KeyedRecord> record;
    std::vector<KeyedProposal> delayed;

    void apply(const KeyedProposal& proposal)
    {
        if (const auto* begin = std::get_if<BeginKeyed>(&proposal)) {
            if (!record || (record->finished && record->finished->outcome == Outcome::NotRun))
                record = KeyedRecord { begin->attempt, begin->fingerprint, {} };
        } else if (const auto& finish = std::get<FinishKeyed>(proposal);
                   record && record->attempt == finish.attempt && !record->finished) {
            record->finished = finish.result;
        }
    }
};

} // namespace

// Random delays, lost replies and resends with fixed seeds. Guards against a request that runs twice, and against "not
// run" for a request that ran.
TEST_CASE("over all attempts of a key the request runs at most once and every attempt is answered once")
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        Fixture fixture;
        FakeControlLog log;
        int runs = 0;
        std::vector<std::unique_ptr<Execution>> attempts;
        std::vector<int> finishes(3);
        std::vector<int> dispatches(3);
        std::vector<bool> claimsNotRun(3);
        struct Event {
            std::size_t attempt;
            std::function<KeyedActions(Execution&)> deliver;
        };
        std::vector<Event> events;
        const auto take = [&](std::size_t i, const KeyedActions& actions) {
            if (actions.finish) {
                ++finishes[i];
                if (const auto* error = std::get_if<Error>(&*actions.finish))
                    claimsNotRun[i] = errorAnswer(error->kind()).outcome == Outcome::NotRun;
            }
            if (actions.propose) {
                const auto replyCase = random() % 4;
                ProposalReply reply { replyCase == 0 ? ProposalStatus::Unknown : ProposalStatus::Applied, {} };
                if (replyCase == 1 && random() % 2 == 0)
                    reply.status = ProposalStatus::NotApplied;
                else if (replyCase == 0 && random() % 2 == 0)
                    log.delayed.push_back(*actions.propose);
                else
                    log.apply(*actions.propose);
                if (reply.status == ProposalStatus::Applied)
                    reply.record = log.record;
                events.push_back({ i, [reply, &fixture](Execution& it) { return it.onProposal(reply, fixture.now); } });
            }
            if (actions.readRecord) {
                const RecordReply reply { random() % 4 != 0, log.record };
                events.push_back({ i, [reply, &fixture](Execution& it) { return it.onRecord(reply, fixture.now); } });
            }
            if (actions.send) {
                ++dispatches[i];
                const auto ran = random() % 2 == 0;
                runs += ran ? 1 : 0;
                const auto status
                    = ran ? (random() % 2 == 0 ? PartStatus::Ok : PartStatus::Crashed) : PartStatus::Refused;
                const auto outcome = ran ? Outcome::MayHaveRun : Outcome::NotRun;
                const auto end = Fixture::result(*actions.send, status, outcome);
                events.push_back({ i, [end, &fixture](Execution& it) { return it.onResult(end, fixture.now); } });
            }
        };
        for (int step = 0; step < 300; ++step) {
            fixture.now += milliseconds(random() % 20);
            if (attempts.size() < 3 && random() % 10 == 0) {
                attempts.push_back(fixture.make(std::string(1, static_cast<char>('a' + attempts.size()))));
                take(attempts.size() - 1, attempts.back()->start(fixture.now));
            } else if (!events.empty() && random() % 2 == 0) {
                const auto index = random() % events.size();
                const auto event = events[index];
                events.erase(events.begin() + static_cast<long>(index));
                take(event.attempt, event.deliver(*attempts[event.attempt]));
            } else if (!log.delayed.empty() && random() % 10 == 0) {
                log.apply(log.delayed.back());
                log.delayed.pop_back();
            } else if (!attempts.empty()) {
                const auto i = random() % attempts.size();
                take(i, attempts[i]->onTimer(fixture.now));
            }
        }
        fixture.now += seconds(60);
        for (std::size_t i = 0; i < attempts.size(); ++i) {
            take(i, attempts[i]->onTimer(fixture.now));
            CHECK(finishes[i] == 1);
            CHECK(dispatches[i] <= 1);
        }
        CHECK(runs <= 1);
        if (std::all_of(
                claimsNotRun.begin(), claimsNotRun.begin() + static_cast<long>(attempts.size()), std::identity {}))
            CHECK(runs == 0);
    }
}
