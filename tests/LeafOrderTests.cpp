#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "coordination/LeafDirectory.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronplank;

namespace {

constexpr std::size_t members = 3;
constexpr std::uint64_t drainsFrom = 7; // sequence

Announcement announcementOf(std::uint64_t boot, std::uint64_t sequence)
{
    Announcement it;
    it.leaf = "leaf-1";
    it.service = "reader";
    it.zone = "a";
    it.address = "10.0.0.9:80";
    it.boot = boot;
    it.sequence = sequence;
    it.versions = { { 1, static_cast<std::uint32_t>(sequence), 99 } }; // differs with each sequence
    it.draining = sequence >= drainsFrom;
    return it;
}

/// Directories that exchange their items in any order; an item may be lost or delivered again later.
struct Directories {
    std::vector<LeafDirectory> all;
    std::vector<DirectoryItem> items;
    TimePoint now { seconds(100) };

    Directories()
    {
        std::set<std::string, std::less<>> names;
        for (std::size_t i = 0; i < members; ++i) {
            all.emplace_back("member-" + std::to_string(i), seconds(6));
            names.insert("member-" + std::to_string(i));
        }
        for (auto& it : all)
            it.setLiveRegistrars(names, now);
    }
    void keep(const LeafDirectory::Output& out) { items.insert(items.end(), out.items.begin(), out.items.end()); }
    void deliver(std::size_t member, const DirectoryItem& item)
    {
        keep(all[member].applyItem(item.key, item.payload, item.removed, now));
    }
    /// Delivers all new items to all directories until there are none.
    void exchangeAll()
    {
        for (auto& from : all)
            for (auto& to : all)
                keep(to.importAll(from.exportAll(now), now));
        items.clear();
        for (int round = 0; round < 20; ++round) {
            now += LeafDirectory::repairStep;
            for (auto& it : all)
                keep(it.expire(now));
            for (std::size_t i = 0; i < items.size() && i < 1000; ++i)
                for (std::size_t member = 0; member < members; ++member)
                    deliver(member, DirectoryItem(items[i]));
            RC_ASSERT(items.size() < 1000); // members that answer each other without end
            items.clear();
        }
    }
    /// What requests depend on: the encoded announcement unless the leaf is draining or not listed. Members list a
    /// draining leaf for different times.
    static std::string usable(const LeafDirectory& directory)
    {
        const auto it = directory.leaf("leaf-1");
        return it && !it->draining ? encodeLeafRecord(LeafState(*it), {}) : std::string();
    }
    bool listsReady(std::size_t member, std::uint64_t boot) const
    {
        const auto it = all[member].leaf("leaf-1");
        return it && it->boot == boot && !it->draining;
    }
};

void runRandomSteps(Directories& system, std::uint64_t departedBoot)
{
    const auto steps = *rc::gen::inRange(0, 40);
    for (int i = 0; i < steps; ++i) {
        const auto member = *rc::gen::inRange<std::size_t>(0, members);
        const auto kind = *rc::gen::inRange(0, 10);
        if (kind < 4)
            system.keep(
                system.all[member].announce(announcementOf(*rc::gen::inRange<std::uint64_t>(1, departedBoot + 1),
                                                *rc::gen::inRange<std::uint64_t>(1, 10)),
                    system.now));
        else if (kind < 9 && !system.items.empty())
            system.deliver(member, DirectoryItem(system.items[*rc::gen::inRange<std::size_t>(0, system.items.size())]));
        else
            system.now += milliseconds(*rc::gen::inRange(1, 2500));
        if (kind == 9)
            for (auto& it : system.all)
                system.keep(it.expire(system.now));
    }
}

} // namespace

// Guards against members that keep different states of a leaf, or answer each other's items without end.
TEST_CASE("directories that have exchanged their items hold the same state")
{
    CHECK(rc::check([] {
        Directories system;
        runRandomSteps(system, 2);
        system.exchangeAll();
        for (const auto& it : system.all)
            RC_ASSERT(system.usable(it) == system.usable(system.all.front()));
    }));
}

// Guards against a departure that is undone by messages of the same start, wherever and however late they arrive.
TEST_CASE("a departure that all members know is never undone within its start")
{
    CHECK(rc::check([] {
        Directories system;
        system.keep(system.all[0].announce(announcementOf(2, 1), system.now));
        runRandomSteps(system, 2);
        system.keep(system.all[0].announce(announcementOf(2, 5), system.now));
        const auto departure = system.all[0].depart("leaf-1", system.now);
        for (std::size_t i = 1; i < members; ++i)
            for (const auto& it : departure.items)
                system.deliver(i, it);
        for (int i = 0; i < 10; ++i) {
            runRandomSteps(system, 2);
            for (std::size_t member = 0; member < members; ++member)
                RC_ASSERT_FALSE(system.listsReady(member, 2));
        }
        system.exchangeAll();
        // The next start is not held up by the departure.
        system.keep(system.all[1].announce(announcementOf(3, 1), system.now));
        system.exchangeAll();
        for (std::size_t member = 0; member < members; ++member)
            RC_ASSERT(system.listsReady(member, 3));
    }));
}

// Guards against a member without the departure that lists the leaf again for good, while others know better.
TEST_CASE("a departure is published again if another member overwrites it")
{
    CHECK(rc::check([] {
        Directories system;
        system.keep(system.all[0].announce(announcementOf(1, 1), system.now));
        system.deliver(1, system.items.front());
        system.deliver(2, system.items.front());
        for (const auto& it : system.all[0].depart("leaf-1", system.now).items)
            system.deliver(1, it);
        const bool wasRemoved = *rc::gen::arbitrary<bool>();
        if (wasRemoved) {
            system.now += seconds(7);
            for (auto& it : system.all)
                system.keep(it.expire(system.now));
            for (const auto& it : std::vector(system.items))
                if (it.removed)
                    system.deliver(1, it);
        }
        system.items.clear();
        // Member 0 is lost; member 2 has missed the departure and gets a late announcement.
        for (std::uint64_t sequence = 2; sequence < 6; ++sequence)
            system.keep(system.all[2].announce(announcementOf(1, sequence), system.now));
        for (const auto& it : std::vector(system.items))
            system.deliver(1, it);
        system.items.clear();
        for (int i = 0; i < 5; ++i) {
            system.now += LeafDirectory::repairStep;
            for (const auto& it : system.all[1].expire(system.now).items)
                system.deliver(2, it);
        }
        RC_ASSERT_FALSE(system.listsReady(2, 1));
    }));
}

// Guards against departures that are kept for ever, or that a starting member does not learn.
TEST_CASE("departures are exported and forgotten after their retention")
{
    LeafDirectory source("a", seconds(6));
    const TimePoint now { seconds(100) };
    source.announce(announcementOf(1, 1), now);
    source.depart("leaf-1", now);
    source.expire(now + seconds(6));
    CHECK(source.leafCount() == 0);
    CHECK(source.departureCount() == 1);
    LeafDirectory target("b", seconds(6));
    target.importAll(source.exportAll(now + seconds(300)), now + seconds(300));
    CHECK_FALSE(target.announce(announcementOf(1, 2), now + seconds(300)).changed);
    CHECK(target.leafCount() == 0);
    const auto later = now + seconds(6) + LeafDirectory::departureRetention;
    target.expire(later);
    CHECK(target.departureCount() == 0); // not counted anew from the import
    CHECK(target.announce(announcementOf(1, 3), later).changed);
}

// Guards against a leaf without a start time that can never be used again once it has drained.
TEST_CASE("without a start time the sequence decides, and no departure is remembered")
{
    LeafDirectory directory("a", seconds(6));
    const TimePoint now { seconds(100) };
    directory.announce(announcementOf(0, drainsFrom), now);
    auto ready = announcementOf(0, drainsFrom + 1);
    ready.draining = false;
    directory.announce(ready, now);
    CHECK_FALSE(directory.leaf("leaf-1")->draining);
    directory.depart("leaf-1", now);
    directory.announce(ready, now);
    CHECK(directory.leaf("leaf-1")->draining);
    directory.expire(now + seconds(6));
    CHECK(directory.announce(announcementOf(0, 1), now + seconds(6)).changed);
}

// Guards against a confirmation of a repeated notice while the peers do not have the first one yet.
TEST_CASE("a repeated notice is published again until it is confirmed")
{
    LeafDirectory directory("a");
    const TimePoint now { seconds(100) };
    directory.announce(announcementOf(1, 1), now);
    const auto draining = directory.announce(announcementOf(1, drainsFrom), now);
    CHECK(draining.items.size() == 1);
    CHECK(directory.announce(announcementOf(1, drainsFrom), now).items.size() == 1);
    REQUIRE(draining.notice);
    directory.confirm(*draining.notice);
    CHECK(directory.announce(announcementOf(1, drainsFrom + 1), now).notice.has_value() == false);
    const auto gone = directory.depart("leaf-1", now);
    CHECK(directory.depart("leaf-1", now).items.size() == 1);
    REQUIRE(gone.notice);
    directory.confirm(*gone.notice);
    CHECK(directory.depart("leaf-1", now).items.empty());
}

// Guards against a rolling update in which one release cannot read the records of the other.
TEST_CASE("records of the releases before and after the phase Gone are read by each other")
{
    // Registrar "a" and the announcement of a draining leaf, as written by the release before.
    const std::string_view before("\x92\xa1\x61\x9b\xa6leaf-1\xa6reader\xa1\x61\xab"
                                  "10.0.0.9:80\x01\x02\x01\x01\xc3\x90\x00",
        39);
    std::size_t offset = 0;
    const auto entry = decodeLeafEntry(before, offset);
    REQUIRE(entry.record);
    CHECK(entry.record->state.phase == LeafPhase::Draining);
    CHECK(entry.record->registrar == "a");
    // What the release before reads, the first two elements, is unchanged.
    const auto gone = encodeLeafRecord(LeafState(entry.record->state.announcement, LeafPhase::Gone), "a");
    CHECK(gone.substr(1, before.size() - 1) == before.substr(1));
    CHECK(gone.size() == before.size() + 1);
}
