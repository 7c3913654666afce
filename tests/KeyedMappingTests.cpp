#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "coordination/ControlState.h"
#include "daemon/KeyedMapping.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

SubmitResult committed(BeginResult result) { return { ProposeStatus::Committed, 1, std::move(result) }; }

const BeginKeyed begin { "1796377186-a", "atl-1/1/1", 7, 1796377186 };

} // namespace

// Guards against a retry that is answered "not run" although the first attempt ran and only its answer was lost.
TEST_CASE("only a request that states it is a first attempt is refused as not run")
{
    Error overloaded(ErrorKind::Overloaded, "full");
    CHECK(keyedRefusal(overloaded, true).kind() == ErrorKind::Overloaded);
    CHECK(keyedRefusal(overloaded, false).kind() == ErrorKind::OutcomeUnknown);
    CHECK(keyedRefusal(Error(ErrorKind::NoMajority, ""), false).kind() == ErrorKind::OutcomeUnknown);
    CHECK(keyedRefusal(Error(ErrorKind::BadRequest, ""), false).kind() == ErrorKind::BadRequest);
}

// Guards against a dispatch after a proposal with an unknown result, which could run the request twice.
TEST_CASE("an unknown proposal is not reported as applied or as not applied")
{
    CHECK(toReply({ ProposeStatus::Unknown, 0, {} }, begin).status == ProposalStatus::Unknown);
    CHECK(toReply({ ProposeStatus::NotLeader, 0, {} }, begin).status == ProposalStatus::NotApplied);
    CHECK_FALSE(toRecord({ ProposeStatus::Unknown, 0, {} }, begin).known);
}

// Guards against an attempt that takes the record of another attempt for its own.
TEST_CASE("the attempt that holds the record and a reused key are distinguished")
{
    auto own = toReply(committed({ BeginStatus::Begun, begin.attempt }), begin);
    REQUIRE(own.record);
    CHECK(own.record->attempt == begin.attempt);
    auto other = toReply(committed({ BeginStatus::InProgress, "sav-1/1/1" }), begin);
    REQUIRE(other.record);
    CHECK(other.record->attempt == "sav-1/1/1");
    auto reused = toReply(committed({ BeginStatus::KeyReused, "sav-1/1/1" }), begin);
    REQUIRE(reused.record);
    CHECK(reused.record->fingerprint != begin.fingerprint);
    CHECK(toReply(committed({ BeginStatus::Expired }), begin).status == ProposalStatus::KeyExpired);
}

// Guards against an answer whose failure flag or body is lost between the first attempt and a retry.
TEST_CASE("a stored answer is returned unchanged")
{
    StoredOutcome stored { Outcome::Ran, true, false, "{\"fee\":1}" };
    auto command = std::get<FinishRequest>(toCommand(FinishKeyed { begin.key, begin.attempt, stored }));
    auto reply = toReply(
        committed({ BeginStatus::Finished, begin.attempt, command.outcome, command.answer, command.answerOmitted }),
        begin);
    REQUIRE(reply.record);
    REQUIRE(reply.record->finished);
    CHECK(reply.record->finished->failed);
    CHECK(reply.record->finished->body == stored.body);
    StoredOutcome large { Outcome::Ran, false, false, std::string(maxStoredAnswerBytes + 1, 'x') };
    auto omitted = std::get<FinishRequest>(toCommand(FinishKeyed { begin.key, begin.attempt, large }));
    CHECK(omitted.answerOmitted);
    CHECK(omitted.answer.size() == 1);
}
