#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "rules/RulesFile.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

const std::string sample = "# citronplank version 12\n"
                           "\n"
                           "# lending desk\n"
                           "zone sav out  # mae: switch replaced on Friday\n"
                           "service loandesk deadline 800ms # mae: counter staff wait\n"
                           "service loandesk wait 130ms # mae: half-lists are marked\n"
                           "service loandesk coverage 0.95 # mae: half-lists are marked\n"
                           "service loandesk hedge 2.5% # nok: stragglers in October\n"
                           "service loandesk retry 0% # nok: overload in November\n"
                           "service loandesk limit 40 # nok: overload in November\n"
                           "service match-finder policy independent # nok: baseline run\n"
                           "leaf loandesk-3-a limit 1 # mae: slow disk\n"
                           "leaf loandesk-3-a out # mae: slow disk\n"
                           "customer สมาคม-1 share 2 # nok: x\n";

struct Fault {
    std::string text;
    std::uint32_t column;
    std::string reason; // a part of it
};

RulesError parseError(const std::string& text)
{
    try {
        parseRules(text, "r.rules");
    } catch (const RulesError& error) {
        return error;
    }
    FAIL("no error for: ", text);
    std::abort();
}

std::string validSample()
{
    auto text = sample;
    text.replace(text.find("สมาคม"), std::string("สมาคม").size(), "club");
    return text;
}

} // namespace

// Guards against a rule whose value is lost, misread or attributed to another service.
TEST_CASE("every kind of rule takes effect")
{
    const auto parsed = parseRules(validSample() + "operation latefees charge non-idempotent # mae: two fees\n", "r");
    REQUIRE(parsed.version == 12);
    const auto rules = toRules(parsed.lines(), 12);
    CHECK(rules.version == 12);
    CHECK(rules.zonesOut.contains("sav"));
    const auto& service = rules.services.at("loandesk");
    CHECK(service.deadline == milliseconds(800));
    CHECK(service.wait == milliseconds(130));
    CHECK(service.minCoverage == 0.95);
    CHECK(service.hedgePercent == 2.5);
    CHECK(service.retryPercent == 0.0);
    CHECK(service.limit == 40u);
    CHECK(service.policy == SendPolicy::Owner);
    CHECK(rules.services.at("match-finder").policy == SendPolicy::Independent);
    CHECK(rules.leaves.at("loandesk-3-a").limit == 1u);
    CHECK(rules.leaves.at("loandesk-3-a").out);
    CHECK(rules.customerShares.at("club-1") == 2.0);
    CHECK(rules.services.at("latefees").nonIdempotent.contains("charge"));
    CHECK(parsed.rules[0].rule == RuleLine { "zone sav", "out", "mae: switch replaced on Friday" });
    CHECK(parsed.rules[0].line == 4);
}

// Guards against a faulty line that is accepted, or reported at a place where the operator does not find it.
TEST_CASE("each kind of fault is refused with its place")
{
    const std::vector<Fault> faults {
        { "zone sav out\n", 13, "missing comment" },
        { "zone sav out #\n", 14, "WHO: why" },
        { "zone sav out # broken switch\n", 14, "WHO: why" },
        { "zone sav out # : broken switch\n", 14, "WHO: why" },
        { "zone sav out # mae:\n", 14, "WHO: why" },
        { "zon sav out # m: x\n", 1, "unknown word" },
        { "  zone sav off # m: x\n", 12, "bad value" },
        { "zone sav # m: x\n", 9, "incomplete rule" },
        { "zone sav out now # m: x\n", 14, "unexpected word" },
        { "zone s/v out # m: x\n", 6, "bad name" },
        { "zone " + std::string(65, 'a') + " out # m: x\n", 6, "longer than 64" },
        { "service a speed 5 # m: x\n", 11, "unknown word" },
        { "service a deadline 130 # m: x\n", 20, "bad duration" },
        { "service a deadline 0ms # m: x\n", 20, "out of range" },
        { "service a deadline 11s # m: x\n", 20, "out of range" },
        { "service a deadline 1.5s # m: x\n", 20, "bad duration" },
        { "service a deadline 99999999999s # m: x\n", 20, "bad duration" },
        { "service a coverage 1.01 # m: x\n", 20, "bad fraction" },
        { "service a coverage nan # m: x\n", 20, "bad fraction" },
        { "service a hedge 5 # m: x\n", 17, "bad percentage" },
        { "service a retry -1% # m: x\n", 17, "bad percentage" },
        { "service a limit 0 # m: x\n", 17, "bad count" },
        { "leaf a limit 2.5 # m: x\n", 14, "bad count" },
        { "leaf a down # m: x\n", 8, "unknown word" },
        { "customer a share 0 # m: x\n", 18, "bad weight" },
        { "customer a share inf # m: x\n", 18, "bad weight" },
        { "customer a weight 1 # m: x\n", 12, "unknown word" },
        { "operation a b maybe # m: x\n", 15, "bad value" },
        { "zone sav out # m: \xFFx\n", 19, "UTF-8" },
        { "zone sav out # m: \x1Bx\n", 19, "control character" },
        { "zone sav out # m: x", 20, "no line end" },
        { "# citronplank version twelve\n", 23, "bad version" },
        { "# citronplank version 1\n# citronplank version 2\n", 1, "second header" },
        { "zone sav out # m: x\n zone sav in # n: y\n", 2, "duplicate key \"zone sav\": first given in line 2" },
        { "service a wait 2s # m: x\n", 1, "longer than its deadline 1000ms" },
        { "service a deadline 1s # m: x\nservice a wait 1001ms # m: x\n", 1, "longer than its deadline" },
    };
    for (const auto& fault : faults) {
        CAPTURE(fault.text);
        const auto error = parseError("# first line\n" + fault.text);
        CHECK(error.reason().find(fault.reason) != std::string::npos);
        CHECK(error.column() == fault.column);
        const auto lines = std::ranges::count(fault.text.substr(0, fault.text.size() - 1), '\n');
        CHECK(error.line() == 2 + lines);
        CHECK(error.file() == "r.rules");
        CHECK(std::string(error.what()).starts_with("r.rules:" + std::to_string(error.line()) + ":"));
    }
    CHECK(parseError(sample).line() == 14);
    CHECK(parseError(std::string(rulesFileMaxBytes + 1, '\n')).line() == 0);
}

// Guards against two edits that are valid alone and contradict each other after the merge.
TEST_CASE("the result of a merge is checked as a whole")
{
    const RuleLine wait { "service a wait", "900ms", "m: x" };
    const RuleLine deadline { "service a deadline", "500ms", "n: y" };
    CHECK(toRules(std::vector { wait }).services.at("a").wait == milliseconds(900));
    CHECK_THROWS_AS(toRules(std::vector { wait, deadline }), RulesError);
    CHECK_THROWS_AS(toRules(std::vector { wait, wait }), RulesError);
    CHECK_THROWS_AS(toRules(std::vector { RuleLine { "", "", "m: x" } }), RulesError);
    CHECK_THROWS_AS(toRules(std::vector { RuleLine { "zone a", "out", "no author" } }), RulesError);
}

// Guards against an edit that resubmits untouched lines and so conflicts with other operators.
TEST_CASE("only the lines that differ from the base are changes")
{
    const std::vector<RuleLine> base { { "zone a", "out", "m: x" }, { "zone b", "out", "m: x" },
        { "zone c", "out", "m: x" } };
    const std::vector<RuleLine> lines { { "zone d", "out", "n: y" }, { "zone c", "in", "n: y" },
        { "zone a", "out", "m: x" } };
    const auto changes = compareWithBase(base, lines);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0] == RuleChange { "zone b", std::nullopt });
    CHECK(changes[1] == RuleChange { "zone c", lines[1] });
    CHECK(changes[2] == RuleChange { "zone d", lines[0] });
    CHECK(compareWithBase(base, base).empty());
    const std::vector<RuleLine> newAuthor { { "zone a", "out", "n: x" } };
    CHECK(compareWithBase(std::vector { base[0] }, newAuthor).size() == 1);
}

// Guards against a file that changes its meaning, or loses the operators' own comments, when the daemon writes it.
TEST_CASE("written text parses to the same lines and keeps free comments")
{
    const auto parsed = parseRules("\xEF\xBB\xBF" + validSample() + "zone x in # m: a # b\r\n", "r");
    auto lines = parsed.lines();
    const auto again = parseRules(renderRules(lines, 13), "r");
    CHECK(again.lines() == lines);
    CHECK(again.version == 13);
    lines.erase(lines.begin());
    lines[0].value = "700ms";
    lines.push_back({ "zone new", "out", "k: z" });
    const auto updated = updateRulesText(validSample(), lines, 14);
    const auto reparsed = parseRules(updated, "r");
    CHECK(reparsed.version == 14);
    CHECK(compareWithBase(lines, reparsed.lines()).empty());
    CHECK(updated.find("# lending desk\nservice loandesk deadline 700ms") != std::string::npos);
    CHECK(updated.find("version 12") == std::string::npos);
}
