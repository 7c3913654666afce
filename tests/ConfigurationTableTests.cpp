#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/ConfigurationTable.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

VersionedLine line(const std::string& key, const std::string& value, std::uint64_t version)
{
    return { { key, value, "ada: test" }, version, "ada", 0 };
}

PublishedDifference full(std::uint64_t version, std::vector<VersionedLine> lines)
{
    PublishedDifference difference;
    difference.cluster = 1;
    difference.version = version;
    difference.rulesVersion = version;
    difference.full = true;
    difference.lines = std::move(lines);
    return difference;
}

} // namespace

// Guards against a peer that keeps a removed rule, or receives the whole configuration for each change.
TEST_CASE("a peer gets the changes and removals since its version")
{
    ConfigurationTable table;
    ConfigurationTable peer;
    auto first = full(5, { line("zone mac", "out", 4), line("zone sav", "out", 5) });
    REQUIRE(table.apply(first));
    REQUIRE(peer.apply(first));
    REQUIRE(table.apply(full(7, { line("zone sav", "out", 5), line("service loandesk deadline", "800ms", 7) })));
    auto difference = table.differenceFor(5);
    CHECK_FALSE(difference.full);
    CHECK(difference.lines.size() == 1);
    CHECK(difference.removedKeys == std::vector<std::string> { "zone mac" });
    REQUIRE(peer.apply(difference));
    CHECK(peer.current()->lines == table.current()->lines);
    CHECK(peer.current()->rules.zonesOut == std::set<std::string, std::less<>> { "sav" });
}

// Guards against a difference without the removals that happened before the table's first version.
TEST_CASE("a peer with a version older than the first one of the table gets a full copy")
{
    ConfigurationTable table;
    REQUIRE(table.apply(full(7, { line("zone sav", "out", 5) })));
    CHECK(table.differenceFor(6).full);
    CHECK(table.differenceFor(0).full);
    CHECK_FALSE(table.differenceFor(7).full);
}

// Guards against a configuration that is replaced by an older version or by one of another cluster.
TEST_CASE("older versions and those of other clusters are ignored")
{
    ConfigurationTable table;
    REQUIRE(table.apply(full(7, { line("zone sav", "out", 5) })));
    CHECK_FALSE(table.apply(full(6, {})));
    auto foreign = full(9, {});
    foreign.cluster = 2;
    CHECK_FALSE(table.apply(foreign));
    CHECK(table.current()->rules.zonesOut.contains("sav"));
}

// Guards against an instance that sends to other zones although its configuration may be outdated.
TEST_CASE("a table is fresh only while notices arrive whose version it has")
{
    ConfigurationTable table;
    TimePoint now {};
    REQUIRE(table.apply(full(7, {})));
    CHECK_FALSE(table.isFresh(now));
    CHECK(table.recordFreshness({ 1, 7, 100, "atl-1" }, now));
    CHECK(table.isFresh(now + milliseconds(2999)));
    CHECK_FALSE(table.isFresh(now + milliseconds(3000)));
    CHECK(table.recordFreshness({ 1, 8, 200, "atl-1" }, now + seconds(2)));
    CHECK_FALSE(table.isFresh(now + milliseconds(3500)));
    CHECK_FALSE(table.recordFreshness({ 1, 8, 200, "atl-1" }, now + seconds(9)));
}
