#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "citronplank.h"

#include <doctest/doctest.h>
#include <set>

using namespace citronplank;

// Guards against a row of the error table that is out of order, which would answer one kind with another's status.
TEST_CASE("the error table has one row for each kind, in order")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < errorAnswers().size(); ++i) {
        CHECK(static_cast<std::size_t>(errorAnswers()[i].kind) == i);
        CHECK(names.insert(errorAnswers()[i].name).second);
    }
    CHECK(static_cast<std::size_t>(ErrorKind::Internal) + 1 == errorAnswers().size());
}

// Guards against a refusal that tells the caller "not run" while the kind is used after dispatch.
TEST_CASE("kinds used after dispatch never claim not run")
{
    CHECK(errorAnswer(ErrorKind::OutcomeUnknown).outcome == Outcome::MayHaveRun);
    CHECK(errorAnswer(ErrorKind::BackendFailed).outcome == Outcome::Ran);
    CHECK(errorAnswer(ErrorKind::KeyExpired).outcome == Outcome::MayHaveRun);
}
