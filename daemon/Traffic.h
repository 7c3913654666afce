// Bytes that an instance exchanges with leaves and peers, by purpose and by whether they cross zones.
//
//   TrafficCounters traffic(counters);
//   traffic.onLinkMessage(MessageKind::RelayAnswer, isOwnZone, body.size());
#pragma once

#include "daemon/Counters.h"
#include "daemon/PartMessages.h"

namespace citronplank {

/// Updates the counters "leaf_bytes_own_zone_total", "link_bytes_relay_request_other_zone_total" and so on. Messages to
/// peers are counted by the sender, exchanges with leaves in both directions. IP and TCP headers are not included.
/// Every method is thread safe; no call takes a lock.
class TrafficCounters {
public:
    /// Precondition: `counters` outlives this object.
    explicit TrafficCounters(Counters& counters);

    void onLeafBytes(bool isOwnZone, std::size_t bytes) { m_leaf.at(isOwnZone ? 0 : 1)->add(bytes); }
    void onLinkMessage(MessageKind, bool isOwnZone, std::size_t bytes);
    /// Non-zero totals as "name=value" fields for a log line.
    std::string summary() const;

private:
    static constexpr std::size_t kindCount = static_cast<std::size_t>(MessageKind::QuotaReply) + 1;
    using ByZone = std::array<Counter*, 2>; // own zone, other zones

    ByZone m_leaf;
    std::array<ByZone, kindCount> m_links; // by MessageKind; index 0 counts unknown kinds
};

} // namespace citronplank
