#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "query/LayoutChooser.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

Announcement leaf(const std::string& name, const std::vector<ShardVersion>& versions, const std::string& zone = "atl")
{
    return { .leaf = name, .service = "loandesk", .zone = zone, .boot = 1, .slots = 2, .versions = versions };
}

} // namespace

// Guards against a coverage denominator that counts only live servers, which would report a partial answer as complete.
TEST_CASE("a shard without a live replica still counts")
{
    LayoutChooser chooser;
    const std::vector<Announcement> leaves { leaf("a", { { 7, 0, 3 } }), leaf("b", { { 7, 2, 3 } }) };
    const auto pinned = chooser.choose("loandesk", leaves);
    REQUIRE(pinned);
    CHECK(pinned->layout.shardCount == 3);
    CHECK(pinned->coveredShards == 2);
    CHECK(pinned->layout.replicas.at(1).empty());
    CHECK(chooser.choose("repairs", leaves) == nullptr);
}

// Guards against pinning a version during its rollout, which would miss the shards that have not been updated yet.
TEST_CASE("the newest complete version is pinned, else the last complete one unless it covers less")
{
    LayoutChooser chooser;
    std::vector<Announcement> leaves { leaf("a", { { 1, 0, 2 } }), leaf("b", { { 1, 1, 2 }, { 2, 1, 2 } }) };
    CHECK(chooser.choose("loandesk", leaves)->layout.version == 1);
    leaves[0].versions.push_back({ 2, 0, 2 });
    CHECK(chooser.choose("loandesk", leaves)->layout.version == 2);
    // Versions 1 and 2 now cover one of two shards each. The last complete version was 2.
    leaves.erase(leaves.begin());
    leaves[0].versions.push_back({ 3, 1, 2 });
    CHECK(chooser.choose("loandesk", leaves)->layout.version == 2);
    leaves.push_back(leaf("c", { { 4, 0, 4 } }));
    leaves.push_back(leaf("d", { { 4, 1, 4 } }));
    leaves.push_back(leaf("e", { { 4, 3, 4 } }));
    CHECK(chooser.choose("loandesk", leaves)->layout.version == 4);
}

// Guards against sending to a zone or leaf that was taken out of service or is draining, and against a shard count that
// is reduced by it.
TEST_CASE("zones and leaves out of service and draining leaves provide no replicas but their shards still count")
{
    LayoutChooser chooser;
    std::vector<Announcement> leaves { leaf("a", { { 1, 0, 4 } }), leaf("b", { { 1, 1, 4 } }, "sav"),
        leaf("c", { { 1, 2, 4 } }), leaf("d", { { 1, 3, 4 } }) };
    leaves[2].draining = true;
    Rules rules;
    rules.zonesOut.insert("sav");
    rules.leaves["d"].out = true;
    const auto pinned = chooser.choose("loandesk", leaves, { .rules = &rules });
    CHECK(pinned->layout.shardCount == 4);
    CHECK(pinned->coveredShards == 1);
    CHECK(pinned->emptyReasons.at(1) == MissingReason::ZoneOut);
    CHECK(pinned->emptyReasons.at(2) == MissingReason::NoReplica);
    CHECK(pinned->emptyReasons.at(3) == MissingReason::NoReplica);
    const auto stale = chooser.choose("loandesk", leaves, { .onlyZone = "sav" });
    CHECK(stale->coveredShards == 1);
    CHECK(stale->emptyReasons.at(0) == MissingReason::Unreachable);
}

// Guards against a wrong denominator, and against merging shards of different partitionings.
TEST_CASE("for a version with different shard counts the largest is used and an error is reported")
{
    LayoutChooser chooser;
    const std::vector<Announcement> leaves { leaf("a", { { 5, 0, 2 } }), leaf("c", { { 5, 0, 3 } }),
        leaf("b", { { 5, 1, 2 } }), leaf("bad", { { 5, 9, 3 }, { 5, 0, 0 } }) };
    const auto pinned = chooser.choose("loandesk", leaves);
    CHECK(pinned->layout.shardCount == 3);
    CHECK(pinned->coveredShards == 1);
    REQUIRE(pinned->layout.replicas.at(0).size() == 1);
    CHECK(pinned->layout.replicas.at(0).front().leaf == "c");
    CHECK(pinned->announcementErrors.size() == 4);
}
