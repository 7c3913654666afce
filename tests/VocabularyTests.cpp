#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "citronplank.h"

#include <doctest/doctest.h>
#include <set>

using namespace citronplank;

// Guards against a row of the error table that is out of order, so that an error is answered with the status of
// another.
TEST_CASE("the error table has one row for each kind, in order")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < errorAnswers().size(); ++i) {
        CHECK(static_cast<std::size_t>(errorAnswers()[i].kind) == i);
        CHECK(names.insert(errorAnswers()[i].name).second);
    }
    CHECK(static_cast<std::size_t>(ErrorKind::Internal) + 1 == errorAnswers().size());
}

// Guards against an error that is used after dispatch and reports to the caller that the request did not run.
TEST_CASE("errors used after dispatch never report not run")
{
    CHECK(errorAnswer(ErrorKind::OutcomeUnknown).outcome == Outcome::MayHaveRun);
    CHECK(errorAnswer(ErrorKind::BackendFailed).outcome == Outcome::Ran);
    CHECK(errorAnswer(ErrorKind::KeyExpired).outcome == Outcome::MayHaveRun);
}
