#include "daemon/ZoneFanout.h"

#include "coordination/ZoneLease.h"

#include <algorithm>

namespace citronplank {

namespace {

struct ZoneMembers {
    std::vector<std::string> control;
    std::vector<std::string> entries;
};

std::map<std::string, ZoneMembers> membersByZone(std::span<const Instance> peers)
{
    std::map<std::string, ZoneMembers> zones;
    for (const auto& it : peers)
        (it.controlMember ? zones[it.zone].control : zones[it.zone].entries).push_back(it.name);
    return zones;
}

void append(std::vector<std::string>& names, const std::vector<std::string>& more)
{
    names.insert(names.end(), more.begin(), more.end());
}

} // namespace

FanoutPlan planFanout(
    const std::string& ownZone, std::span<const Instance> peers, std::size_t maxDirect, std::uint64_t turn)
{
    FanoutPlan plan;
    for (auto& [zone, members] : membersByZone(peers)) {
        if (zone == ownZone || peers.size() <= maxDirect) {
            append(plan.direct, members.control);
            append(plan.direct, members.entries);
            continue;
        }
        auto& forwarders = plan.forwarders.emplace_back(members.control);
        std::sort(forwarders.begin(), forwarders.end());
        constexpr std::size_t minForwarders = 2;
        auto unchosen = members.entries;
        while (
            !unchosen.empty() && (forwarders.size() < minForwarders || forwarders.size() <= members.control.size())) {
            forwarders.push_back(rendezvousOwner(zone, unchosen));
            std::erase(unchosen, forwarders.back());
        }
        std::rotate(forwarders.begin(), forwarders.begin() + static_cast<std::ptrdiff_t>(turn % forwarders.size()),
            forwarders.end());
    }
    return plan;
}

std::vector<std::string> directoryPeers(
    const std::string& ownZone, std::span<const Instance> peers, std::size_t maxDirect)
{
    std::vector<std::string> names;
    for (const auto& [zone, members] : membersByZone(peers)) {
        append(names, members.control);
        if (zone == ownZone || members.control.empty() || peers.size() <= maxDirect)
            append(names, members.entries);
    }
    return names;
}

} // namespace citronplank
