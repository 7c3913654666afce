// Tests of StopAdmission. They guard against requests that a stopping instance takes and then aborts, and against
// refusing callers that it could still serve.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "policy/StopAdmission.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

TimePoint at(int ms) { return TimePoint(seconds(1000)) + milliseconds(ms); }
const StopAdmission admission { at(2300), at(5100) };

} // namespace

TEST_CASE("a request whose deadline is before the end of the stop is taken at any time")
{
    for (bool idempotent : { true, false }) {
        CHECK(admission.takes(at(0), at(5100), idempotent, seconds(60)));
        CHECK(admission.takes(at(5000), at(5050), idempotent, seconds(60)));
    }
}

TEST_CASE("a request with a later deadline is taken if it usually ends in time")
{
    CHECK(admission.takes(at(4000), at(9000), true, milliseconds(1100)));
    CHECK_FALSE(admission.takes(at(4000), at(9000), true, milliseconds(1101)));
    CHECK_FALSE(admission.takes(at(6000), at(9000), true, milliseconds(1)));
}

TEST_CASE("once load balancers have noticed the stop, a request that must not run twice needs an early deadline")
{
    CHECK(admission.takes(at(2299), at(20000), false, milliseconds(200)));
    CHECK_FALSE(admission.takes(at(2300), at(20000), false, milliseconds(200)));
    CHECK(admission.takes(at(2300), at(5100), false, milliseconds(200)));
}
