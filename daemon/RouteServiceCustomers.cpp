// Customers of requests: authorization by key at the arrival, and again before a request is sent later.
#include "daemon/RouteService.h"

namespace citronplank {

/// Returns whether the configuration in force allows the request, and updates its customer. If the
/// configuration has no list of customers, every request is allowed and unchanged. Costs one comparison of pointers if
/// the same configuration has authorized the request before.
bool RouteService::authorize(CustomerIdentity& it, HttpRequest& request, const Route& route)
{
    const auto& table = m_policies.table();
    if (it.authorizedBy == table)
        return true;
    if (table->requiresKeys()) {
        bool isFirst = !std::exchange(it.isKeyTaken, true);
        if (isFirst)
            it.key = m_protocol.takeKey(request);
        const auto* customer = table->findCustomer(it.key);
        if (!customer && !route.isPublic)
            return false;
        auto name = customer ? customer->name : std::string();
        it.priority = customer ? customer->priority : std::nullopt;
        if (isFirst || name != it.name)
            m_protocol.setCustomer(request, name);
        it.name = std::move(name);
    }
    it.authorizedBy = table;
    m_counters.counter("route_key_" + std::string(keyCheckOf(it, route)) + "_total").add();
    return true;
}

/// What the configuration that authorized a request asked of its caller, for the log.
std::string_view RouteService::keyCheckOf(const CustomerIdentity& it, const Route& route)
{
    if (!it.authorizedBy || !it.authorizedBy->requiresKeys())
        return "not_asked";
    return route.isPublic ? "public" : "asked";
}

void RouteService::refuseUnauthorized(const CallerInfo& caller, const HttpRequest& request, const Responder& responder)
{
    m_counters.counter("route_unauthorized_total").add();
    refuse(caller, request, responder,
        { .error = ErrorKind::Unauthorized, .reason = "the request carries no valid key of a customer" });
}

/// Ends a running request whose key has been removed from the configuration. The sends and relays of `actions` have not
/// been performed.
void RouteService::abortUnauthorized(Id id, const RouteActions& actions)
{
    m_counters.counter("route_unauthorized_total").add();
    auto left = m_running.at(id)->execution->cancel();
    for (const auto& it : actions.sends) { // unknown to the connections, which report no end of them
        std::erase(left.cancels, it.attempt);
        m_policies.onEnd(it.leaf.leaf, it.attempt, AttemptEnd::Abandoned, Clock::now());
    }
    left.finish
        = RouteOutcome { .error = ErrorKind::KeyRevoked, .reason = "the key of the customer was removed meanwhile" };
    finish(id, std::move(left));
}

} // namespace citronplank
