#include "daemon/Traffic.h"

namespace citronplank {

namespace {

constexpr std::array<std::string_view, 21> kindNames { "unknown", "control", "lease", "part_request", "part_answer",
    "part_cancel", "configuration_fetch", "configuration_answer", "directory_fetch", "directory_answer", "freshness",
    "suspicion", "directory_items", "directory_ack", "relay_request", "relay_answer", "relay_cancel", "forward",
    "directory_forward", "quota_report", "quota_reply" };
constexpr std::array<std::string_view, 2> zoneNames { "own_zone", "other_zone" };

} // namespace

TrafficCounters::TrafficCounters(Counters& counters)
{
    static_assert(kindNames.size() == kindCount);
    for (std::size_t zone = 0; zone < zoneNames.size(); ++zone) {
        auto suffix = std::string(zoneNames.at(zone)) + "_total";
        m_leaf.at(zone) = &counters.counter("leaf_bytes_" + suffix);
        for (std::size_t kind = 0; kind < kindCount; ++kind)
            m_links.at(kind).at(zone)
                = &counters.counter("link_bytes_" + std::string(kindNames.at(kind)) + "_" + suffix);
    }
}

void TrafficCounters::onLinkMessage(MessageKind kind, bool isOwnZone, std::size_t bytes)
{
    auto index = static_cast<std::size_t>(kind);
    m_links.at(index < kindCount ? index : 0).at(isOwnZone ? 0 : 1)->add(bytes);
}

std::string TrafficCounters::summary() const
{
    std::string text;
    auto append = [&](std::string_view name, const ByZone& counters) {
        for (std::size_t zone = 0; zone < zoneNames.size(); ++zone) {
            if (auto value = counters.at(zone)->value(); value > 0)
                text.append(" ")
                    .append(name)
                    .append("_")
                    .append(zoneNames.at(zone))
                    .append("=")
                    .append(std::to_string(value));
        }
    };
    append("leaf", m_leaf);
    for (std::size_t kind = 0; kind < kindCount; ++kind)
        append(kindNames.at(kind), m_links.at(kind));
    return text.empty() ? text : text.substr(1);
}

} // namespace citronplank
