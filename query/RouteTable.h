// Validation of a serving configuration, and lookup of the routes in it.
#pragma once

#include "citronplank.h"

#include <memory>
#include <unordered_map>

namespace citronplank {

/// Validates a configuration. Throws Error(BadRequest) with the reason if it is invalid, for example for a route
/// without host, prefix, target or timeout, an unknown service, two routes with the same host and prefix, or weights
/// whose sum is 0, two customers with the same name or key, or an empty key. The reason never contains a key. Thread
/// safe.
void checkConfiguration(const ServingConfiguration&);

/// Immutable after construction and therefore thread safe.
class RouteTable {
public:
    /// Precondition: `configuration` passes checkConfiguration.
    explicit RouteTable(ServingConfiguration configuration);
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;

    /// Returns the route of the host whose prefix is the longest match of the path, or null. `host` may include a port
    /// and is compared without regard to case; `target` may include a query.
    std::shared_ptr<const Route> find(std::string_view host, std::string_view target) const;
    /// Returns the limits of a service, or the defaults if the service is not listed.
    const ServiceLimits& limitsOf(std::string_view service) const;
    /// Returns the customer with that key, or null. Costs at most one hash of a text that is no longer than the longest
    /// key, whatever the number of customers.
    const Customer* findCustomer(std::string_view key) const;
    /// Whether requests need the key of a customer, except on public routes.
    bool requiresKeys() const { return m_configuration.customers.has_value(); }
    std::span<const Customer> customers() const
    {
        return requiresKeys() ? std::span<const Customer>(*m_configuration.customers) : std::span<const Customer>();
    }
    const ServingConfiguration& configuration() const { return m_configuration; }

private:
    using Prefixes = std::unordered_map<std::string, std::shared_ptr<const Route>>;
    ServingConfiguration m_configuration;
    std::unordered_map<std::string, Prefixes> m_hosts;                 // by lower-case host name
    std::unordered_map<std::string_view, const Customer*> m_customers; // by key; refers to m_configuration
    std::size_t m_longestKey = 0;
};

} // namespace citronplank
