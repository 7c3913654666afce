// Selects who sends a message for all instances to whom, so that with many members it crosses to each other zone once.
//
//   auto plan = planFanout(zone, livePeers, maxDirect, turn);
//   // send the message to plan.direct; ask one of each list in plan.forwarders to send it to the peers of its zone
#pragma once

#include "citronplank.h"

namespace citronplank {

struct FanoutPlan {
    std::vector<std::string> direct;
    /// For each other zone its possible forwarders, first choice first. One of them is sufficient.
    std::vector<std::vector<std::string>> forwarders;
};

/// Plans a message of an instance in `ownZone` to all `peers`. Up to `maxDirect` peers get it directly. The forwarders
/// of a zone are its control members and one entry instance, so that there are at least two. They take turns: with
/// increasing `turn` a forwarder that has stopped without being noticed delays only some messages. Thread safe.
FanoutPlan planFanout(
    const std::string& ownZone, std::span<const Instance> peers, std::size_t maxDirect, std::uint64_t turn);

/// Returns the peers that an instance in `ownZone` notifies of changes of the leaf directory. With more than
/// `maxDirect` peers these are those of its own zone, all control members, which forward the changes to the entry
/// instances of their zones, and the entry instances of zones without a control member. Thread safe.
std::vector<std::string> directoryPeers(
    const std::string& ownZone, std::span<const Instance> peers, std::size_t maxDirect);

} // namespace citronplank
