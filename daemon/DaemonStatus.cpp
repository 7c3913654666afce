#include "daemon/DaemonImpl.h"

#include <nlohmann/json.hpp>

namespace citronplank {

namespace {

using nlohmann::json;

std::int64_t inMilliseconds(Duration duration) { return std::chrono::duration_cast<milliseconds>(duration).count(); }

json controlJson(const ControlServiceStatus& status)
{
    json voters = json::array();
    for (const auto& it : status.log.membership.voters)
        voters.push_back(it.name);
    json learners = json::array();
    for (const auto& it : status.log.membership.learners)
        learners.push_back(it.name);
    return { { "role", controlRoleName(status.log.role) }, { "term", status.log.term }, { "leader", status.log.leader },
        { "commit_index", status.log.commitIndex }, { "last_index", status.log.lastIndex },
        { "snapshot_index", status.log.snapshotIndex }, { "voters", voters }, { "learners", learners },
        { "repair_complete", status.log.repairComplete }, { "request_keys", status.requestKeys },
        { "failure", status.failure } };
}

json rulesJson(const Configuration& configuration)
{
    json rules = json::array();
    for (const auto& it : configuration.published.lines)
        rules.push_back({ { "key", it.line.key }, { "value", it.line.value }, { "comment", it.line.comment },
            { "version", it.version }, { "author", it.author }, { "since_unix_ms", it.timeMs } });
    return rules;
}

json viewsJson(const Configuration& configuration)
{
    json views = json::object();
    for (const auto& [zone, view] : configuration.views)
        views[zone] = { { "number", view.number }, { "members", view.members } };
    return views;
}

const char* stateName(EntryState state)
{
    switch (state) {
    case EntryState::Starting:
        return "starting";
    case EntryState::Ready:
        return "ready";
    case EntryState::Stopping:
        break;
    }
    return "stopping";
}

} // namespace

std::string Daemon::Impl::status() const
{
    auto now = Clock::now();
    auto configuration = m_configuration.current();
    auto age = m_configuration.freshnessAge(now);
    json object { { "name", m_settings.name }, { "zone", m_settings.zone }, { "state", stateName(m_entry->state()) },
        { "rules_version", configuration->published.rulesVersion },
        { "configuration_version", configuration->published.version }, { "fresh", m_configuration.isFresh(now) },
        { "lease", leaseModeName(m_lease->mode()) }, { "control_leader", m_controlClient->leader() },
        { "rules", rulesJson(*configuration) }, { "uptime_ms", inMilliseconds(now - m_startedAt) } };
    object["freshness_age_ms"] = age ? json(inMilliseconds(*age)) : json(nullptr);
    if (!configuration->rulesError.empty())
        object["rules_error"] = configuration->rulesError;
    if (m_control)
        object["control"] = controlJson(m_control->status());
    json members = json::array();
    for (const auto& it : m_membership->members())
        members.push_back({ { "name", it.instance.name }, { "zone", it.instance.zone },
            { "status", memberStatusName(it.status) }, { "admin", it.instance.adminAddress } });
    object["members"] = members;
    return object.dump(2);
}

std::string Daemon::Impl::dump() const
{
    auto configuration = m_configuration.current();
    auto object = json::parse(status());
    object["views"] = viewsJson(*configuration);
    object["own_view"] = m_lease->view().number;
    json leaves = json::array();
    for (const auto& service : m_membership->services()) {
        for (const auto& it : m_membership->replicasOf(service)) {
            json versions = json::array();
            for (const auto& held : it.versions)
                versions.push_back({ { "version", held.version }, { "shard", held.shard }, { "of", held.shardCount } });
            leaves.push_back(
                { { "leaf", it.leaf }, { "service", it.service }, { "zone", it.zone }, { "address", it.address },
                    { "boot", it.boot }, { "slots", it.slots }, { "connections", it.connections },
                    { "draining", it.draining }, { "versions", versions }, { "owner", ownerOf(it.zone, it.leaf) } });
        }
    }
    object["leaves"] = leaves;
    json gates = json::array();
    for (const auto& it : m_parts->status())
        gates.push_back(
            { { "leaf", it.leaf }, { "limit", it.limit }, { "running", it.running }, { "queued", it.queued } });
    object["gates"] = gates;
    json blocked = json::array();
    for (const auto& it : configuration->published.blocked)
        blocked.push_back({ { "fingerprint", it.fingerprint }, { "expires_unix_ms", it.expiresMs } });
    object["blocked"] = blocked;
    json items = json::array();
    for (const auto& it : m_membership->items())
        items.push_back({ { "key", it.key }, { "publisher", it.publisher }, { "bytes", it.payload.size() } });
    object["gossip_items"] = items;
    object["metrics"] = metrics();
    return object.dump(2);
}

std::string Daemon::Impl::metrics() const
{
    std::string text;
    auto line = [&](std::string_view name, std::uint64_t value) {
        text += "citronplank_" + std::string(name) + " " + std::to_string(value) + "\n";
    };
    auto entry = m_entry->counters();
    line("queries_total", entry.queries);
    line("queries_whole_total", entry.queriesWhole);
    line("queries_partial_total", entry.queriesPartial);
    line("keyed_requests_total", entry.keyedRequests);
    line("keyed_ran_total", entry.keyedRan);
    line("parts_total", entry.parts);
    line("hedges_total", entry.hedges);
    line("retries_total", entry.retries);
    line("restarts_total", entry.restarts);
    line("late_results_total", entry.lateResults);
    line("foreign_results_total", entry.foreignResults);
    line("requests_running", entry.running);
    for (const auto& [kind, count] : entry.errors)
        line("errors_" + std::string(errorAnswer(kind).name) + "_total", count);
    auto gates = m_parts->counters();
    line("gate_dispatched_total", gates.dispatched);
    line("gate_refused_queue_full_total", gates.refusedQueueFull);
    line("gate_refused_busy_total", gates.refusedBusy);
    line("gate_refused_wait_total", gates.refusedWait);
    line("gate_refused_rules_total", gates.refusedRules);
    line("gate_refused_blocked_total", gates.refusedBlocked);
    line("gate_expired_total", gates.expiredInQueue);
    auto leaf = m_leafClient->counters();
    line("leaf_connects_total", leaf.connects);
    line("leaf_connect_failures_total", leaf.connectFailures);
    line("leaf_parts_cancelled_total", leaf.cancelled);
    line("leaf_connections", leaf.openConnections);
    auto links = m_links->counters();
    line("link_sent_total", links.sent);
    line("link_refused_total", links.refused);
    line("link_received_total", links.received);
    line("link_malformed_total", links.malformed);
    line("link_redials_total", links.redials);
    auto gossip = m_membership->counters();
    line("gossip_datagrams_sent_total", gossip.datagramsSent);
    line("gossip_bytes_sent_total", gossip.bytesSent);
    line("gossip_malformed_total", gossip.malformed);
    line("membership_refused_inputs_total", m_membership->refusedInputs());
    line("gossip_over_budget_total", gossip.overBudget);
    line("gossip_suspicions_total", gossip.suspicions);
    return text;
}

} // namespace citronplank
