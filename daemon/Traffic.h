// Bytes that one instance exchanges with leaves and peers, by purpose and by whether they cross zones.
//
//   TrafficCounters traffic(counters);
//   traffic.onLinkMessage(MessageKind::RelayAnswer, isOwnZone, body.size());
#pragma once

#include "daemon/Counters.h"
#include "daemon/PartMessages.h"

namespace citronplank {

/// Counts as "leaf_bytes_own_zone_total", "link_bytes_relay_request_other_zone_total" and so on. Messages to peers are
/// counted by their sender, exchanges with leaves in both directions. Headers of IP and TCP are not included. Every
/// method is thread safe; no call takes a lock.
class TrafficCounters {
public:
    /// Precondition: `counters` outlives this object.
    explicit TrafficCounters(Counters& counters);

    void onLeafBytes(bool isOwnZone, std::size_t bytes) { m_leaf.at(isOwnZone ? 0 : 1)->add(bytes); }
    void onLinkMessage(MessageKind, bool isOwnZone, std::size_t bytes);
    /// Bytes so far that are not zero, as "name=value" fields for a log line.
    std::string summary() const;

private:
    static constexpr std::size_t kinds = static_cast<std::size_t>(MessageKind::RelayCancel) + 1;
    using ByZone = std::array<Counter*, 2>; // own zone, other zones

    ByZone m_leaf;
    std::array<ByZone, kinds> m_links; // by MessageKind; index 0 is unused
};

} // namespace citronplank
