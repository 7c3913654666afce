// State machine of the control log: conflicts of edits, request keys, views, snapshots, published differences,
// encoding.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ControlHarness.h"

using namespace citronplank;
using namespace citronplank::testing;

namespace {

constexpr std::uint64_t startMs = 1'700'000'000'000;

/// Applies commands one after another, with a clock set by the test.
struct StateMachine {
    ControlState state;
    std::uint64_t nowMs = startMs;

    template <typename R>
    R apply(Command command)
    {
        return std::get<R>(state.apply({ state.appliedIndex() + 1, 1, nowMs, std::move(command) }));
    }
    EditResult edit(const std::string& id, std::uint64_t base, const std::string& key, const std::string& value)
    {
        return apply<EditResult>(EditRules { id, "author " + id, base, { { key, RuleLine { key, value, "c" } } } });
    }
    EditResult remove(const std::string& id, std::uint64_t base, const std::string& key)
    {
        return apply<EditResult>(EditRules { id, "author " + id, base, { { key, std::nullopt } } });
    }
    BeginResult begin(const std::string& key, const std::string& attempt, std::uint64_t fingerprint = 1)
    {
        return apply<BeginResult>(BeginRequest { key, attempt, fingerprint, nowMs });
    }
    FinishStatus finish(const std::string& key, const std::string& attempt, Outcome outcome, std::string answer = {})
    {
        return apply<FinishResult>(FinishRequest { key, attempt, outcome, std::move(answer), false }).status;
    }
};

} // namespace

// Guards against an edit that overwrites a change that its author has not seen, including a removal of the line.
TEST_CASE("a change to a key that was changed after the base version is refused, naming key, version and author")
{
    StateMachine machine;
    auto first = machine.edit("a", 0, "zone atl", "out");
    CHECK(first.status == EditStatus::Accepted);
    CHECK(first.version == 1);
    auto conflict = machine.edit("b", 0, "zone atl", "in");
    CHECK(conflict == EditResult { EditStatus::Conflict, 1, "zone atl", 1, "author a" });
    CHECK(machine.edit("c", 0, "zone mac", "out").status == EditStatus::Accepted);
    auto removed = machine.remove("d", 3, "zone atl");
    CHECK(removed.status == EditStatus::Accepted);
    CHECK(machine.edit("e", 3, "zone atl", "in")
        == EditResult { EditStatus::Conflict, removed.version, "zone atl", removed.version, "author d" });
    // One conflicting key refuses the submission as a whole.
    EditRules both { "f", "x", 0, { { "zone sav", RuleLine { "zone sav", "out", "c" } }, { "zone mac", {} } } };
    CHECK(machine.apply<EditResult>(both).status == EditStatus::Conflict);
    CHECK(machine.state.lines().count("zone sav") == 0);
    CHECK(machine.edit("g", 999, "zone sav", "out").status == EditStatus::BaseUnknown);
    EditRules twice { "h", "x", removed.version, { { "zone sav", {} }, { "zone sav", {} } } };
    CHECK(machine.apply<EditResult>(twice).status == EditStatus::Invalid);
}

// Guards against an edit that is refused for a conflict with the operator's own earlier edit: a file that is saved
// again while its submission is in progress still names the old base version and submits the accepted line again.
TEST_CASE("a change that is in force already is no conflict")
{
    StateMachine machine;
    CHECK(machine.edit("a", 0, "zone atl", "out").status == EditStatus::Accepted);
    EditRules again { "b", "author b", 0,
        { { "zone atl", RuleLine { "zone atl", "out", "c" } }, { "zone mac", RuleLine { "zone mac", "out", "c" } } } };
    CHECK(machine.apply<EditResult>(again).status == EditStatus::Accepted);
    CHECK(machine.state.lines().at("zone atl").version == 1);
    CHECK(machine.state.lines().at("zone mac").version == 2);
    CHECK(machine.remove("c", 2, "zone atl").status == EditStatus::Accepted);
    CHECK(machine.remove("d", 2, "zone atl").status == EditStatus::Accepted);
    CHECK(machine.edit("e", 2, "zone atl", "out").status == EditStatus::Conflict);
}

// Guards against an edit that is applied twice, or answered differently, when its author sends it again.
TEST_CASE("a resent edit gets the first answer")
{
    StateMachine machine;
    auto accepted = machine.edit("a", 0, "zone atl", "out");
    auto refused = machine.edit("b", 0, "zone atl", "in");
    machine.edit("c", accepted.version, "zone atl", "in");
    CHECK(machine.edit("a", 0, "zone atl", "out") == accepted);
    CHECK(machine.edit("b", 0, "zone atl", "in") == refused);
    CHECK(machine.state.lines().at("zone atl").line.value == "in");
}

// Guards against an edit that is compared with a version whose removed keys are no longer known.
TEST_CASE("1,024 rule versions are held, and an edit based on an older one is refused")
{
    StateMachine machine;
    machine.edit("first", 0, "zone mac", "out");
    std::vector<RuleLine> atFirst = *machine.state.ruleLinesAt(1);
    for (std::uint64_t i = 1; i <= maxRuleVersions; ++i)
        REQUIRE(machine.edit(std::to_string(i), i, "zone atl", std::to_string(i)).status == EditStatus::Accepted);
    CHECK(machine.state.ruleLinesAt(1) == atFirst);
    CHECK_FALSE(machine.state.ruleLinesAt(0));
    CHECK(machine.edit("old", 0, "zone sav", "out").status == EditStatus::BaseTooOld);
    CHECK(machine.edit("held", 1, "zone sav", "out").status == EditStatus::Accepted);
    CHECK(machine.edit("old now", 1, "zone aug", "out").status == EditStatus::BaseTooOld);
}

// Guards against a non-idempotent request that two attempts dispatch, or whose answer is lost to a resend.
TEST_CASE("only the attempt in the record may run, and a resend gets the stored answer")
{
    StateMachine machine;
    CHECK(machine.begin("k", "a1").status == BeginStatus::Begun);
    CHECK(machine.begin("k", "a1").status == BeginStatus::Begun); // the command itself was sent again
    CHECK(machine.begin("k", "a2").status == BeginStatus::InProgress);
    CHECK(machine.begin("k", "a2", 2).status == BeginStatus::KeyReused);
    CHECK(machine.finish("k", "a2", Outcome::Ran, "x") == FinishStatus::OtherAttempt);
    CHECK(machine.finish("k", "a1", Outcome::Ran, "fee 3") == FinishStatus::Stored);
    CHECK(machine.finish("k", "a1", Outcome::NotRun) == FinishStatus::AlreadyFinished);
    auto resend = machine.begin("k", "a3");
    CHECK(resend == BeginResult { BeginStatus::Finished, "a1", Outcome::Ran, "fee 3", false });
    CHECK(machine.finish("other", "a1", Outcome::Ran) == FinishStatus::UnknownKey);
    machine.begin("long", "a1");
    machine.finish("long", "a1", Outcome::Ran, std::string(maxStoredAnswerBytes + 1, 'x'));
    auto omitted = machine.begin("long", "a2");
    CHECK(omitted == BeginResult { BeginStatus::Finished, "a1", Outcome::Ran, "", true });
}

// Guards against a refused request that can never be sent again, and against a delayed duplicate of its attempt that
// begins it again.
TEST_CASE("a request that did not run may begin again under the same key")
{
    StateMachine machine;
    machine.begin("k", "a1");
    CHECK(machine.finish("k", "a1", Outcome::NotRun) == FinishStatus::Stored);
    CHECK(machine.begin("k", "a1").status == BeginStatus::Finished);
    CHECK(machine.begin("k", "a2", 2).status == BeginStatus::KeyReused);
    CHECK(machine.begin("k", "a2").status == BeginStatus::Begun);
    CHECK(machine.finish("k", "a1", Outcome::Ran) == FinishStatus::OtherAttempt);
    CHECK(machine.finish("k", "a2", Outcome::MayHaveRun) == FinishStatus::Stored);
    CHECK(machine.begin("k", "a3").status == BeginStatus::Finished);
}

// Guards against a request that runs again after the record of its key was dropped.
TEST_CASE("a key is refused as expired from the moment its record is dropped")
{
    StateMachine machine;
    auto keyTime = machine.nowMs;
    machine.begin("k", "a1");
    machine.finish("k", "a1", Outcome::Ran, "done");
    machine.nowMs = keyTime + requestRetentionMs - 1;
    CHECK(machine.apply<BeginResult>(BeginRequest { "k", "a2", 1, keyTime }).status == BeginStatus::Finished);
    machine.nowMs += 1;
    CHECK(machine.apply<BeginResult>(BeginRequest { "k", "a3", 1, keyTime }).status == BeginStatus::Expired);
    CHECK(machine.state.requestCount() == 0);
    machine.nowMs = keyTime; // a new leader's clock is behind; the state clock does not go back
    CHECK(machine.apply<BeginResult>(BeginRequest { "k", "a4", 1, keyTime }).status == BeginStatus::Expired);
    auto future = BeginRequest { "f", "a1", 1, UINT64_MAX };
    CHECK(machine.apply<BeginResult>(future).status == BeginStatus::KeyInFuture);
}

// Guards against a table of keys that grows without limit, or drops a key to make room for another.
TEST_CASE("at 200,000 keys a new one is refused and the held ones stay")
{
    StateMachine machine;
    for (std::size_t i = 0; i < maxRequestKeys; ++i)
        machine.begin("k" + std::to_string(i), "a");
    CHECK(machine.state.requestCount() == maxRequestKeys);
    CHECK(machine.begin("one more", "a").status == BeginStatus::Full);
    CHECK(machine.begin("k0", "b").status == BeginStatus::InProgress);
    machine.nowMs += requestRetentionMs;
    CHECK(machine.begin("one more", "a").status == BeginStatus::Begun);
    CHECK(machine.state.requestCount() == 1);
}

// Guards against a view change that was derived from another view than the one in force.
TEST_CASE("a view changes only from the expected number")
{
    StateMachine machine;
    CHECK(machine.apply<ViewResult>(ChangeView { "atl", 0, { "a1" } }) == ViewResult { true, 1, { "a1" } });
    CHECK(machine.apply<ViewResult>(ChangeView { "atl", 0, { "a2" } }) == ViewResult { false, 1, { "a1" } });
    CHECK(machine.apply<ViewResult>(ChangeView { "atl", 1, { "a1", "a2" } }).number == 2);
    CHECK(machine.apply<ViewResult>(ChangeView { "mac", 1, { "m" } }) == ViewResult { false, 0, {} });
}

// Guards against a block that never expires or is replaced by a shorter one.
TEST_CASE("a blocked fingerprint expires by the state clock")
{
    StateMachine machine;
    machine.apply<BlockResult>(BlockFingerprint { 5, 1000 });
    CHECK(machine.apply<BlockResult>(BlockFingerprint { 5, 10 }).expiresMs == startMs + 1000);
    CHECK(machine.state.isBlocked(5));
    machine.nowMs += 1000;
    machine.apply<NoResult>(NoOp {});
    CHECK_FALSE(machine.state.isBlocked(5));
    CHECK(machine.state.blocked().empty());
}

// Guards against an incomplete snapshot: the restored state has to behave like the original.
TEST_CASE("a restored snapshot equals the state, and malformed bytes change nothing")
{
    StateMachine machine;
    machine.apply<NoResult>(ChangeMembers { { 9, { { "atl", 1 } }, { { "mac", 2 } } } });
    machine.edit("a", 0, "zone atl", "out");
    machine.remove("b", 2, "zone atl");
    machine.begin("k", "a1");
    machine.apply<ViewResult>(ChangeView { "atl", 0, { "a1" } });
    machine.apply<BlockResult>(BlockFingerprint { 5, 1000 });
    auto bytes = machine.state.snapshot();
    StateMachine copy;
    copy.state.restore(bytes);
    CHECK(copy.state.data() == machine.state.data());
    CHECK(copy.edit("a", 0, "zone atl", "in") == machine.edit("a", 0, "zone atl", "in"));
    copy.nowMs = machine.nowMs += requestRetentionMs;
    CHECK(copy.begin("n", "a1") == machine.begin("n", "a1"));
    CHECK(copy.state.data() == machine.state.data());
    for (std::size_t i = 0; i < bytes.size(); ++i)
        CHECK_THROWS_AS(copy.state.restore(bytes.substr(0, i)), Error);
    CHECK(copy.state.data() == machine.state.data());
    CHECK_THROWS_AS(copy.state.apply({ 99, 1, 1, NoOp {} }), std::logic_error);
}

// Guards against a daemon whose rules differ from those of the control members after some sequence of differences.
TEST_CASE("differences lead from any version to the published state and never back")
{
    StateMachine machine;
    std::mt19937_64 random(11);
    machine.apply<NoResult>(ChangeMembers { { 9, { { "atl", 1 } }, {} } });
    std::vector<PublishedState> states { PublishedState {}, machine.state.published() };
    for (int i = 0; i < 300; ++i) {
        auto key = "zone z" + std::to_string(random() % 8);
        auto id = std::to_string(i);
        auto zone = "z" + std::to_string(random() % 3);
        switch (random() % 4) {
        case 0:
            machine.remove(id, machine.state.rulesVersion(), key);
            break;
        case 1: {
            auto view = machine.state.views().find(zone);
            auto number = view == machine.state.views().end() ? 0 : view->second.number;
            machine.apply<ViewResult>(ChangeView { zone, number, { id } });
            break;
        }
        case 2:
            machine.apply<BlockResult>(BlockFingerprint { random() % 5, 1'000'000 });
            break;
        default:
            machine.edit(id, machine.state.rulesVersion(), key, id);
        }
        auto from = states[random() % states.size()];
        auto before = from;
        auto difference = decodePublishedDifference(encode(machine.state.differenceSince(from.version)));
        bool newer = machine.state.publishedVersion() > from.version;
        REQUIRE(applyDifference(from, difference) == newer);
        REQUIRE(from == machine.state.published());
        REQUIRE_FALSE(applyDifference(from, difference));
        states.push_back(decodePublishedState(encode(from)));
        // A difference that starts later than the state held would leave a gap.
        difference.full = false;
        difference.fromVersion = before.version + 1;
        REQUIRE_FALSE(applyDifference(before, difference));
        auto other = PublishedState { 8 };
        REQUIRE_FALSE(applyDifference(other, machine.state.differenceSince(0)));
    }
}

// Guards against a decoder that accepts or crashes on damaged messages from a link.
TEST_CASE("messages keep their content, and malformed ones are refused as bad requests")
{
    Membership membership { 9, { { "atl", 1 } }, { { "mac", 2 } } };
    Append append { 1, 2, 3, 4, 5, {} };
    for (const Command& it : std::vector<Command> { NoOp {}, ChangeMembers { membership },
             EditRules { "id", "nok", 1, { { "a", RuleLine { "a", "b", "c" } }, { "d", {} } } },
             BeginRequest { "k", "a", 1, 2 }, FinishRequest { "k", "a", Outcome::Ran, std::string("\0\xff", 2), true },
             ChangeView { "atl", 4, { "a1", "a2" } }, BlockFingerprint { 5, 6 } })
        append.entries.push_back({ append.entries.size() + 2, 1, 7, it });
    SnapshotHeader header { 1, 2, 3, membership, { 4, membership } };
    std::vector<ControlBody> bodies { PreVote { 1, 2, 3 }, PreVoteAnswer { 1, true }, Vote { 1, 2 },
        VoteAnswer { true }, AppendAnswer { true, 1, 2 }, InstallSnapshot { header, 1, 2, 3, "chunk" },
        InstallSnapshotAnswer { 1, 2, true, 3 }, Probe { true }, ProbeAnswer { true, membership, "atl" },
        Bootstrap { 1, membership }, Propose { 1, BlockFingerprint { 5, 6 } }, TransferLeadership {} };
    for (const CommandResult& it :
        std::vector<CommandResult> { NoResult {}, EditResult { EditStatus::Conflict, 1, "k", 2, "nok" },
            BeginResult { BeginStatus::Finished, "a", Outcome::Ran, "x", true },
            FinishResult { FinishStatus::OtherAttempt }, ViewResult { true, 1, { "a1" } }, BlockResult { 5 } })
        bodies.emplace_back(ProposeAnswer { 1, ProposeStatus::Committed, "atl", 2, it });
    for (const auto& it : bodies) {
        ControlMessage other { 3, { "atl", 4 }, 5, 6, it };
        CHECK((decodeControlMessage(encode(other)) == other));
    }
    ControlMessage message { 3, { "atl", 4 }, 5, 6, append };
    auto bytes = encode(message);
    CHECK((decodeControlMessage(bytes) == message));
    CHECK_THROWS_AS(decodeControlMessage(bytes + "x"), Error);
    for (std::size_t i = 0; i < bytes.size(); ++i)
        CHECK_THROWS_AS(decodeControlMessage(bytes.substr(0, i)), Error);
    std::mt19937_64 random(12);
    for (int i = 0; i < 20'000; ++i) {
        auto damaged = bytes;
        for (auto n = random() % 4 + 1; n > 0; --n)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        try {
            decodeControlMessage(damaged);
        } catch (const Error& e) {
            REQUIRE(e.kind() == ErrorKind::BadRequest);
        }
    }
}

// Guards against edits that are lost or applied twice while two operators race, answers get lost and leaders change.
TEST_CASE("concurrent edits of two operators with resends are each applied once")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Cluster cluster(seed, { "atl", "mac", "sav" });
        cluster.startAll();
        REQUIRE(cluster.runUntilRepaired());
        cluster.dropPercent = 5;
        constexpr int edits = 30;
        std::map<std::string, int> done { { "anna", 0 }, { "nok", 0 } };
        std::map<std::string, EditRules> open; // sent again in each round until the log holds it
        int number = 0;
        auto firstResult = [&](const std::string& id) -> const EditResult* {
            for (const auto& [index, it] : cluster.history()) {
                const auto* command = std::get_if<EditRules>(&it.entry.command);
                if (command && command->submissionId == id)
                    return &std::get<EditResult>(it.result);
            }
            return nullptr;
        };
        for (int round = 0; round < 4000 && done["anna"] + done["nok"] < 2 * edits; ++round) {
            if (cluster.random(60) == 0) {
                cluster.crash(cluster.names()[cluster.random(3)]);
                cluster.run(1'500);
                cluster.startAll();
            }
            auto leader = cluster.leader();
            for (auto& [author, count] : done) {
                if (const auto* result = firstResult(open[author].submissionId)) {
                    count += result->status == EditStatus::Accepted;
                    open[author] = {};
                }
                if (leader.empty() || count == edits)
                    continue;
                if (open[author].submissionId.empty()) {
                    open[author]
                        = { author + std::to_string(++number), author, cluster.replica(leader).state().rulesVersion(),
                              { { "zone atl", RuleLine { "zone atl", std::to_string(number), "c" } } } };
                }
                cluster.propose(leader, open[author]);
            }
            cluster.run(cluster.random(60));
        }
        cluster.requireConvergence();
        CHECK(done == std::map<std::string, int> { { "anna", edits }, { "nok", edits } });
        std::map<std::string, int> applied;
        for (const auto& [index, it] : cluster.history()) {
            const auto* command = std::get_if<EditRules>(&it.entry.command);
            if (command && std::get<EditResult>(it.result).version == index)
                ++applied[command->submissionId];
        }
        CHECK(applied.size() == 2 * edits);
        for (const auto& [id, count] : applied)
            CHECK(count == 1);
    }
}
