// Tests of ZoneFanout. They guard against peers that a message for all never reaches because there are too many, and
// against messages that cross between zones once for each peer.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/ItemBroadcast.h"
#include "daemon/ZoneFanout.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace citronplank;

namespace {

constexpr std::size_t maxDirect = 128;
constexpr std::size_t entriesPerZone = 49;

/// 300 instances in six zones, one control member in each. The first one, control-atl, sends.
struct Members {
    Members()
    {
        for (const char* zone : { "atl", "sav", "mac", "aug", "col", "ath" }) {
            add(std::string("control-") + zone, zone, true);
            for (std::size_t i = 0; i < entriesPerZone; ++i)
                add(std::string(zone) + "-" + std::to_string(i), zone, false);
        }
    }
    void add(const std::string& name, const std::string& zone, bool isControl)
    {
        Instance it;
        it.name = name;
        it.zone = zone;
        it.controlMember = isControl;
        all.push_back(it);
    }
    std::vector<Instance> peersOf(const std::string& name) const
    {
        auto peers = all;
        std::erase_if(peers, [&](const Instance& it) { return it.name == name || stopped.contains(it.name); });
        return peers;
    }
    std::set<std::string> entriesOf(const std::string& zone) const
    {
        std::set<std::string> names;
        for (const auto& it : all) {
            if (it.zone == zone && !it.controlMember)
                names.insert(it.name);
        }
        return names;
    }
    const Instance& find(const std::string& name) const
    {
        return *std::find_if(all.begin(), all.end(), [&](const Instance& it) { return it.name == name; });
    }
    /// Instances that a message of control-atl reaches if those in `silent` do nothing.
    std::set<std::string> reached(std::uint64_t turn, const std::set<std::string>& silent) const
    {
        auto plan = planFanout("atl", peersOf("control-atl"), maxDirect, turn);
        std::set<std::string> names(plan.direct.begin(), plan.direct.end());
        for (const auto& zone : plan.forwarders) {
            const auto& forwarder = find(zone.front());
            if (silent.contains(forwarder.name))
                continue;
            names.insert(forwarder.name);
            for (const auto& it : peersOf(forwarder.name)) {
                if (it.zone == forwarder.zone)
                    names.insert(it.name);
            }
        }
        return names;
    }

    std::vector<Instance> all;
    std::set<std::string> stopped; // no longer members
};

} // namespace

TEST_CASE("a message for all of 300 instances reaches each of them and crosses to each other zone once")
{
    Members members;
    for (std::uint64_t turn = 0; turn < 4; ++turn) {
        CHECK(members.reached(turn, {}).size() == members.all.size() - 1);
        auto plan = planFanout("atl", members.peersOf("control-atl"), maxDirect, turn);
        CHECK(plan.forwarders.size() == 5);
        for (const auto& it : plan.direct)
            CHECK(members.find(it).zone == "atl");
    }
}

// Guards against a zone that hears nothing while one of its instances stands still and is still a member.
TEST_CASE("with a silent forwarder in each zone, every second message reaches all others")
{
    Members members;
    std::set<std::string> silent;
    for (const char* zone : { "sav", "mac", "aug", "col", "ath" })
        silent.insert(std::string("control-") + zone);
    std::size_t complete = 0;
    for (std::uint64_t turn = 0; turn < 4; ++turn)
        complete += members.reached(turn, silent).size() >= members.all.size() - 1 - silent.size() ? 1 : 0;
    CHECK(complete == 2);
}

TEST_CASE("few peers get a message directly, and so do those of a zone without a control member if it is about leaves")
{
    Members members;
    auto peers = members.peersOf("control-atl");
    CHECK(planFanout("atl", peers, peers.size(), 0).direct.size() == peers.size());
    CHECK(directoryPeers("atl", peers, peers.size()).size() == peers.size());
    CHECK(directoryPeers("atl", peers, maxDirect).size() == entriesPerZone + 5);
    members.stopped.insert("control-sav");
    auto names = directoryPeers("atl", members.peersOf("control-atl"), maxDirect);
    CHECK(names.size() == 2 * entriesPerZone + 4);
}

// Guards against a leaf that drains and gets requests from a zone whose control member has failed.
TEST_CASE("a change of the directory reaches a zone whose control member fails before it forwards it")
{
    Members members;
    std::set<std::string> reached;
    ItemBroadcast broadcast([&](const std::string& peer, std::uint64_t, const std::string&) {
        reached.insert(peer);
        if (peer.starts_with("control-") && peer != "control-sav")
            reached.merge(members.entriesOf(peer.substr(std::string("control-").size())));
    });
    auto at = [](int ms) { return TimePoint(seconds(1000)) + milliseconds(ms); };
    std::optional<bool> isConfirmed;
    std::vector<DirectoryItem> items { { "leaf/a", "draining", false } };
    broadcast.start(items, directoryPeers("atl", members.peersOf("control-atl"), maxDirect), at(0),
        [&](bool it) { isConfirmed = it; });
    CHECK(reached.size() == members.all.size() - 1 - entriesPerZone);
    CHECK_FALSE(isConfirmed);
    members.stopped.insert("control-sav");
    auto live = directoryPeers("atl", members.peersOf("control-atl"), maxDirect);
    broadcast.onTimer({ live.begin(), live.end() }, at(600));
    CHECK(reached.size() == members.all.size() - 1);
}
