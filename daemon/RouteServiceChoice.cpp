// RouteService: what operators see of the choice of leaves.
#include "daemon/RouteService.h"

#include "daemon/Counters.h"
#include "daemon/Logging.h"

#include <nlohmann/json.hpp>

namespace citronplank {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds spreadLogInterval { 30 };

double millisecondsOf(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

Json explainLeaf(const RoutePolicies::ExplainedLeaf& it)
{
    Json leaf { { "leaf", it.leaf.leaf }, { "zone", it.leaf.zone }, { "share", it.share },
        { "cost_ms", millisecondsOf(it.estimate.cost) },
        { "other_zone_cost_ms", millisecondsOf(it.estimate.otherZoneCost) }, { "confidence", it.estimate.confidence },
        { "in_flight", it.estimate.inFlight }, { "slots", it.estimate.slots },
        { "zone_utilization", it.estimate.utilization } };
    if (it.exclusion != LeafExclusion::None)
        leaf["excluded"] = exclusionName(it.exclusion);
    return leaf;
}

Json explainService(const RoutePolicies& policies, const std::string& service, Duration typicalLatency, TimePoint now)
{
    Json it { { "service", service }, { "choice", policies.spreadsRequests(service) ? "spread" : "least cost" },
        { "extra_requests_left", policies.extraLeft(service) }, { "leaves", Json::array() } };
    if (auto until = policies.pausedUntil(service, now))
        it["all_paused_for_ms"] = millisecondsOf(*until - now);
    for (const auto& leaf : policies.explain(service, typicalLatency, now))
        it["leaves"].push_back(explainLeaf(leaf));
    return it;
}

} // namespace

/// Counts the choices by which requests were spread, and logs them every `spreadLogInterval` if there were any.
void RouteService::reportSpread()
{
    const auto& it = m_policies.spreadCounters();
    if (it.choices == m_spreadReported.choices)
        return;
    m_counters.counter("leaf_choices_spread_total").add(it.choices - m_spreadReported.choices);
    m_counters.counter("leaf_choices_not_cheapest_total").add(it.notCheapest - m_spreadReported.notCheapest);
    m_counters.counter("leaf_choices_to_other_zones_total").add(it.toOtherZones - m_spreadReported.toOtherZones);
    m_spreadReported = it;
    auto now = Clock::now();
    if (now - m_spreadLoggedAt < spreadLogInterval)
        return;
    log(LogLevel::Info, "leaf",
        "spread choices=" + std::to_string(it.choices - m_spreadLogged.choices)
            + " not_cheapest=" + std::to_string(it.notCheapest - m_spreadLogged.notCheapest)
            + " to_other_zones=" + std::to_string(it.toOtherZones - m_spreadLogged.toOtherZones));
    m_spreadLogged = it;
    m_spreadLoggedAt = now;
}

void RouteService::explain(std::string host, std::string target, Responder responder)
{
    asio::post(m_strand, [this, host = std::move(host), target = std::move(target), responder = std::move(responder)] {
        auto route = m_policies.table()->find(host, target);
        if (!route)
            return void(responder.fail(ErrorKind::UnknownService, "no route matches the host and path"));
        auto now = Clock::now();
        auto typicalLatency = m_policies.typicalLatency(*route);
        Json it { { "zone", m_zone }, { "configuration", m_policies.table()->configuration().version },
            { "route", route->name }, { "typical_latency_ms", millisecondsOf(typicalLatency) },
            { "hedge_after_ms", millisecondsOf(m_policies.hedgeDelay(*route)) }, { "attempts", route->attempts },
            { "stopping", m_stopAdmission.has_value() }, { "services", Json::array() } };
        for (const auto& target : route->targets) {
            auto service = explainService(m_policies, target.service, typicalLatency, now);
            service["weight"] = target.weight;
            it["services"].push_back(std::move(service));
        }
        for (const auto& shard : route->shards)
            it["services"].push_back(explainService(m_policies, shard, typicalLatency, now));
        if (!route->shards.empty()) {
            it["requested_in_groups"] = m_policies.usesGroups(*route);
            if (auto queue = m_admissionQueues.find(route->shards.front()); queue != m_admissionQueues.end())
                it["admission"] = { { "limit", queue->second.limit.limit() },
                    { "in_flight", queue->second.limit.inFlight() }, { "waiting", queue->second.waiting.size() } };
        }
        responder.answer({ .body = it.dump(-1, ' ', false, Json::error_handler_t::replace) });
    });
}

} // namespace citronplank
