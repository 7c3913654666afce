#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "coordination/LeafDirectory.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {

Announcement announcementOf(std::uint64_t boot, std::uint64_t sequence)
{
    Announcement it;
    it.leaf = "atl-1";
    it.service = "loandesk";
    it.zone = "atl";
    it.address = "10.0.0.9:80";
    it.boot = boot;
    it.sequence = sequence;
    it.slots = 2;
    it.versions = { { 7, 0, 20 } };
    return it;
}

const TimePoint begin { seconds(100) };
TimePoint at(int ms) { return begin + milliseconds(ms); }

// Applies the items that one directory publishes to another; returns whether it changed.
bool applyItems(const LeafDirectory::Output& out, LeafDirectory& to, TimePoint now)
{
    bool changed = false;
    for (const auto& item : out.items)
        changed = to.applyItem(item.key, item.payload, item.removed, now).changed || changed;
    return changed;
}

} // namespace

// Guards against renewals that cause gossip traffic, and against changes that are not published.
TEST_CASE("changes of a leaf are published and renewals are not")
{
    LeafDirectory directory("a");
    CHECK(directory.announce(announcementOf(1, 1), at(0)).items.size() == 1);
    const auto hash = directory.contentHash();
    for (int i = 2; i < 10; ++i)
        CHECK(directory.announce(announcementOf(1, static_cast<std::uint64_t>(i)), at(500 * i)).items.empty());
    CHECK(directory.contentHash() == hash);
    auto changed = announcementOf(1, 10);
    changed.draining = true;
    CHECK(directory.announce(changed, at(5000)).items.size() == 1);
    changed.sequence = 11;
    changed.versions.push_back({ 8, 0, 20 });
    CHECK(directory.announce(changed, at(5500)).items.size() == 1);
    CHECK(directory.contentHash() != hash);
}

// Guards against a leaf that becomes cold again while it is cold, and gets all requests at the end of its first
// warm-up.
TEST_CASE("a longer warm-up is published and applied, its passing is not")
{
    LeafDirectory registrar("a");
    LeafDirectory member("b"); // gets renewals too
    LeafDirectory entry("c");
    auto cold = [](std::uint64_t sequence, int left) {
        auto it = announcementOf(1, sequence);
        it.warmupLeft = milliseconds(left);
        return it;
    };
    auto apply
        = [](const LeafDirectory::Output& out, LeafDirectory& to, int ms) { return applyItems(out, to, at(ms)); };
    auto first = registrar.announce(cold(1, 3000), at(0));
    CHECK(apply(first, entry, 10));
    CHECK(apply(first, member, 10));
    CHECK(registrar.announce(cold(2, 1800), at(1210)).items.empty()); // arrives a little late
    CHECK(member.announce(cold(3, 600), at(2400)).items.empty());
    // Cold again for 3 s since 2.5 s; another member gets the report.
    auto again = member.announce(cold(4, 1900), at(3600));
    REQUIRE(again.items.size() == 1);
    CHECK(apply(again, entry, 3610));
    CHECK_FALSE(apply(again, entry, 4600)); // a second copy, by gossip
    CHECK(entry.leaf("atl-1")->warmupLeft == milliseconds(1900));
    CHECK(entry.leaf("atl-1")->sequence == 4);
    CHECK(member.announce(cold(5, 700), at(4800)).items.empty());
    CHECK(member.announce(cold(6, 0), at(6000)).items.size() == 1);
}

// Guards against a delayed announcement from before a leaf's restart that replaces the current one.
TEST_CASE("an announcement with an older boot is ignored, whatever its sequence")
{
    LeafDirectory directory("a");
    directory.announce(announcementOf(2, 1), at(0));
    auto old = announcementOf(1, 99);
    old.address = "10.0.0.8:80";
    CHECK_FALSE(directory.announce(old, at(100)).changed);
    LeafDirectory other("b");
    CHECK_FALSE(applyItems(other.announce(old, at(0)), directory, at(200)));
    CHECK(directory.leaf("atl-1")->address == "10.0.0.9:80");
    // The same at a daemon that knows the current announcement from gossip only.
    LeafDirectory reader("c");
    applyItems(LeafDirectory("a").announce(announcementOf(2, 1), at(0)), reader, at(0));
    CHECK_FALSE(applyItems(LeafDirectory("b").announce(old, at(0)), reader, at(200)));
    CHECK(reader.leaf("atl-1")->boot == 2);
}

// Guards against a leaf without renewals that still receives work, at its registrar and elsewhere.
TEST_CASE("the registrar expires a leaf 2 s after its last renewal and publishes the removal")
{
    LeafDirectory registrar("a");
    LeafDirectory other("b");
    CHECK(applyItems(registrar.announce(announcementOf(1, 1), at(0)), other, at(0)));
    CHECK(registrar.expire(at(1999)).items.empty());
    const auto out = registrar.expire(at(2000));
    REQUIRE(out.items.size() == 1);
    CHECK(out.items[0].removed);
    CHECK(other.expire(at(60'000)).items.empty()); // only the registrar knows of renewals
    CHECK(other.leafCount() == 1);
    CHECK(applyItems(out, other, at(60'000)));
    CHECK(other.leafCount() == 0);
}

// Guards against leaves of a failed registrar that are never removed, or are removed although another daemon receives
// their renewals.
TEST_CASE("leaves of a failed registrar expire unless another registrar takes over")
{
    LeafDirectory registrar("a");
    LeafDirectory other("b");
    LeafDirectory successor("c");
    const auto out = registrar.announce(announcementOf(1, 1), at(0));
    applyItems(out, other, at(0));
    applyItems(out, successor, at(0));
    CHECK(successor.announce(announcementOf(1, 2), at(500)).items.empty());
    other.setLiveRegistrars({ "b", "c" }, at(1000));
    CHECK(other.expire(at(2999)).changed == false);
    SUBCASE("nobody takes over")
    {
        CHECK(other.expire(at(3000)).changed);
        CHECK(other.leafCount() == 0);
    }
    SUBCASE("another registrar takes over")
    {
        const auto takeover = successor.setLiveRegistrars({ "b", "c" }, at(1000));
        REQUIRE(takeover.items.size() == 1);
        applyItems(takeover, other, at(1100));
        other.expire(at(9000));
        CHECK(other.leafCount() == 1);
    }
    SUBCASE("the registrar returns")
    {
        other.setLiveRegistrars({ "a", "b", "c" }, at(2000));
        other.expire(at(9000));
        CHECK(other.leafCount() == 1);
    }
}

// Guards against a leaf that disappears because its old registrar removes it after it announced itself elsewhere.
TEST_CASE("a leaf that announces itself elsewhere is not removed")
{
    LeafDirectory old("a");
    LeafDirectory current("b");
    applyItems(old.announce(announcementOf(1, 1), at(0)), current, at(0));
    CHECK(current.announce(announcementOf(1, 2), at(500)).items.empty());
    CHECK(current.announce(announcementOf(1, 3), at(1000)).items.empty());
    SUBCASE("the new registrar takes over in time")
    {
        const auto out = current.announce(announcementOf(1, 4), at(1500));
        REQUIRE(out.items.size() == 1);
        applyItems(out, old, at(1550));
        CHECK(old.expire(at(5000)).items.empty());
        CHECK(old.leafCount() == 1);
    }
    SUBCASE("the removal comes first")
    {
        const auto removal = old.expire(at(2000));
        REQUIRE(removal.items.size() == 1);
        const auto repair = current.applyItem(removal.items[0].key, {}, true, at(2050));
        CHECK(current.leafCount() == 1);
        REQUIRE(repair.items.size() == 1);
        CHECK_FALSE(repair.items[0].removed);
    }
}

// Guards against a starting daemon that imports an incomplete or damaged directory.
TEST_CASE("an exported directory is imported whole, and refused when it is truncated")
{
    LeafDirectory source("a");
    for (int i = 0; i < 50; ++i) {
        auto it = announcementOf(1, 1);
        it.leaf = "leaf-" + std::to_string(i);
        it.service = "service-" + std::to_string(i % 3);
        source.announce(it, at(0));
    }
    LeafDirectory target("b");
    const auto bytes = source.exportAll(at(0));
    CHECK(target.importAll(bytes, at(10)).changed);
    CHECK(target.contentHash() == source.contentHash());
    CHECK(target.services().size() == 3);
    CHECK(target.replicasOf("service-0").size() == 17);
    CHECK_THROWS_AS(LeafDirectory("c").importAll(bytes.substr(0, bytes.size() - 3), at(10)), Error);
}

// Guards against a starting daemon that learns of no leaf because of one record that another build has written.
TEST_CASE("a record with an invalid announcement is left out of the import, and the others are kept")
{
    LeafDirectory source("a");
    source.announce(announcementOf(1, 1), at(0));
    auto other = announcementOf(1, 1);
    other.leaf = "another";
    other.address = "10.0.0.7:80";
    LeafDirectory second("a");
    second.announce(other, at(0));
    for (const char* odd : { "\x93\x01\x02\x03", "\xc0", "\x92\xa1r\x92\xa1x\xc3" }) {
        LeafDirectory target("b");
        CHECK(target.importAll(source.exportAll(at(0)) + odd + second.exportAll(at(0)), at(10)).changed);
        CHECK(target.leafCount() == 2);
    }
}

TEST_CASE("an announcement with a warm-up time that overflows the clock is refused")
{
    LeafDirectory directory("a");
    for (auto warmup : { milliseconds(-1), maxWarmup + milliseconds(1), milliseconds::max(), milliseconds::min() }) {
        auto it = announcementOf(1, 1);
        it.warmupLeft = warmup;
        CHECK_THROWS_AS(directory.announce(it, at(0)), Error);
    }
}

// Guards against a delayed announcement of a leaf that has exited, after another one was started at its address.
TEST_CASE("an address belongs to the leaf that started last")
{
    LeafDirectory directory("a");
    directory.announce(announcementOf(1, 5), at(0));
    auto next = announcementOf(2, 1);
    next.leaf = "atl-2";
    next.service = "repairs";
    auto out = directory.announce(next, at(100));
    CHECK(out.items.size() == 2);
    CHECK_FALSE(directory.leaf("atl-1"));
    CHECK(directory.announce(announcementOf(1, 6), at(200)).items.empty());
    CHECK_FALSE(directory.leaf("atl-1"));
    CHECK(directory.leaf("atl-2"));
}

// Guards against requests to a leaf that has departed without draining first.
TEST_CASE("a leaf that departs counts as draining, also after a delayed announcement, until it expires")
{
    LeafDirectory directory("a", milliseconds(4000));
    LeafDirectory other("b");
    applyItems(directory.announce(announcementOf(1, 5), at(0)), other, at(0));
    CHECK(applyItems(directory.depart("atl-1", at(1000)), other, at(1000)));
    CHECK(directory.leaf("atl-1")->draining);
    CHECK(other.leaf("atl-1")->draining);
    CHECK(directory.depart("unknown", at(1000)).items.empty());
    CHECK(directory.announce(announcementOf(1, 5), at(1100)).items.empty());
    CHECK(directory.leaf("atl-1")->draining);
    CHECK(directory.expire(at(4999)).items.empty());
    CHECK(directory.expire(at(5000)).items.size() == 1);
    CHECK_FALSE(directory.leaf("atl-1"));
}

// Guards against requests to a leaf that has departed at a member which missed its last renewals (review/4).
TEST_CASE("a departure holds at members with later renewals and against announcements that arrive late")
{
    LeafDirectory first("a");
    LeafDirectory second("b");
    applyItems(first.announce(announcementOf(1, 1), at(0)), second, at(0));
    second.announce(announcementOf(1, 2), at(500));
    second.announce(announcementOf(1, 3), at(1000));
    const auto departure = first.depart("atl-1", at(1100));
    SUBCASE("at the member with the later renewals")
    {
        LeafDirectory::Output answer;
        for (const auto& item : departure.items)
            answer = second.applyItem(item.key, item.payload, item.removed, at(1110));
        applyItems(answer, first, at(1120));
    }
    SUBCASE("after a late announcement")
    {
        applyItems(departure, second, at(1110));
        applyItems(first.announce(announcementOf(1, 9), at(1200)), second, at(1210));
        applyItems(second.announce(announcementOf(1, 8), at(1200)), first, at(1210));
    }
    CHECK(first.leaf("atl-1")->draining);
    CHECK(second.leaf("atl-1")->draining);
}

// Guards against an instance that is busy with each change of the directory for longer than changes are apart, because
// listing the leaves takes time that grows with the square of their number.
TEST_CASE("listing the leaves takes time in proportion to their number")
{
    auto timeToList = [](int services) {
        LeafDirectory directory("atl-1");
        for (int i = 0; i < 3 * services; ++i) {
            Announcement it;
            it.leaf = "leaf-" + std::to_string(i);
            it.service = "service-" + std::to_string(i % services);
            it.zone = "atl";
            it.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80";
            it.slots = 1;
            directory.announce(it, at(0));
        }
        auto best = Duration::max();
        for (int run = 0; run < 20; ++run) {
            auto before = Clock::now();
            CHECK(directory.leaves().size() == static_cast<std::size_t>(3 * services));
            best = std::min(best, Duration(Clock::now() - before));
        }
        return std::max(best, Duration(1));
    };
    constexpr int few = 45;
    constexpr int growth = 10;
    constexpr int tolerance = 4; // of caches and allocations; the square would be a factor of `growth`
    CHECK(timeToList(few * growth) < timeToList(few) * growth * tolerance);
}
