// Orders of operators that take a zone out of service or put it back. Guards against an order that undoes a later one:
// because it was read or submitted late, or because it was submitted again after a conflict.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "coordination/ControlState.h"
#include "daemon/ZoneOrders.h"
#include "rules/RulesFile.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

/// A control log that applies an edit when the test releases it.
struct Log {
    void release()
    {
        for (auto& [edit, handler] : std::exchange(held, {})) {
            auto index = state.appliedIndex() + 1;
            auto result = state.apply({ index, 1, 1, std::move(edit) });
            handler({ ProposeStatus::Committed, index, std::move(result) });
        }
    }
    bool isOut(const std::string& zone) const
    {
        std::vector<RuleLine> lines;
        for (const auto& [key, it] : state.lines())
            lines.push_back(it.line);
        return toRules(lines).zonesOut.contains(zone);
    }

    ControlState state;
    std::vector<std::pair<EditRules, ControlClient::Handler>> held;
};

/// A control member that knows the rules as of `knownVersion`.
struct Member {
    explicit Member(Log& log)
        : log(log)
    {
    }
    void order(bool out, TimePoint now = Clock::now())
    {
        outcome.reset();
        orders.submit(
            { "atl", out, [this](auto done) { done(isCallerWaiting); } }, [this](bool accepted) { outcome = accepted; },
            now);
    }
    /// Has an order carried out by an up-to-date member.
    bool orderNow(bool out)
    {
        knownVersion = log.state.rulesVersion();
        order(out);
        while (!outcome && !log.held.empty())
            log.release(); // again after a conflict
        return outcome.value_or(false);
    }

    Log& log;
    std::uint64_t knownVersion = 0;
    bool isCallerWaiting = true;
    std::optional<bool> outcome;
    ZoneOrders orders { "member",
        [this](EditRules edit, ControlClient::Handler handler) {
            log.held.emplace_back(std::move(edit), std::move(handler));
        },
        [this] { return knownVersion; } };
};

struct Fixture {
    Log log;
    Member member { log };
    Member late { log }; // suspended, slow or cut off for a while
};

} // namespace

TEST_CASE("an order whose caller waits no longer is not carried out")
{
    Fixture it;
    REQUIRE(it.member.orderNow(true));
    it.late.isCallerWaiting = false;
    it.late.knownVersion = it.log.state.rulesVersion();
    it.late.order(false);
    it.log.release();
    CHECK(it.late.outcome == false);
    CHECK(it.log.isOut("atl"));
}

TEST_CASE("an order that is delayed after its submission does not undo a later one of the same operator")
{
    for (bool isOut : { true, false }) {
        CAPTURE(isOut);
        Fixture it;
        REQUIRE(it.member.orderNow(isOut));
        it.late.knownVersion = it.log.state.rulesVersion();
        it.late.order(!isOut);
        auto delayed = std::exchange(it.log.held, {});
        // The operator gets no answer, so it asks another member, and then orders the opposite.
        it.late.isCallerWaiting = false;
        REQUIRE(it.member.orderNow(!isOut));
        REQUIRE(it.member.orderNow(isOut));
        it.log.held = std::move(delayed);
        it.log.release();
        CHECK(it.late.outcome == false);
        CHECK(it.log.held.empty());
        CHECK(it.log.isOut("atl") == isOut);
    }
}

// Guards against a delayed order that takes effect after a later one was acknowledged that changed nothing.
TEST_CASE("an order that is delayed does not undo a later order that found its zone as it should be")
{
    for (bool wasOrdered : { true, false }) {
        for (bool isOut : { true, false }) {
            if (isOut && !wasOrdered)
                continue; // the zone would be in service
            CAPTURE(wasOrdered);
            CAPTURE(isOut);
            Fixture it;
            if (wasOrdered)
                REQUIRE(it.member.orderNow(isOut));
            it.late.knownVersion = it.log.state.rulesVersion();
            it.late.order(!isOut);
            auto delayed = std::exchange(it.log.held, {});
            it.late.isCallerWaiting = false;
            REQUIRE(it.member.orderNow(isOut));
            it.log.state.restore(it.log.state.snapshot());
            it.log.held = std::move(delayed);
            it.log.release();
            CHECK(it.late.outcome == false);
            CHECK(it.log.isOut("atl") == isOut);
        }
    }
}

TEST_CASE("an order that conflicts with an earlier one is carried out while its caller waits")
{
    Fixture it;
    it.late.order(false);
    REQUIRE(it.member.orderNow(true));
    it.late.knownVersion = 0; // has not heard of the edit yet
    it.late.order(false);
    it.log.release();
    CHECK_FALSE(it.late.outcome);
    it.log.release();
    CHECK(it.late.outcome == true);
    CHECK_FALSE(it.log.isOut("atl"));
}

// Guards against an order of a caller whose end of the connection was lost on its way.
TEST_CASE("an order is not submitted after its lifetime")
{
    Fixture it;
    it.late.order(true, Clock::now() - ZoneOrders::lifetime);
    CHECK(it.late.outcome == false);
    CHECK(it.log.held.empty());
}
