// Validation of a serving configuration, and lookup of the routes in it.
#pragma once

#include "citronplank.h"

#include <memory>
#include <unordered_map>

namespace citronplank {

/// Validates a configuration. Throws Error(BadRequest) with the reason if it is invalid, for example for a route
/// without host, prefix, target or timeout, an unknown service, two routes with the same host and prefix, or weights
/// whose sum is 0. Thread safe.
void checkConfiguration(const ServingConfiguration&);

/// Immutable after construction and therefore thread safe.
class RouteTable {
public:
    /// Precondition: `configuration` passes checkConfiguration.
    explicit RouteTable(ServingConfiguration configuration);

    /// Returns the route of the host whose prefix is the longest match of the path, or null. `host` may include a port
    /// and is compared without regard to case; `target` may include a query.
    std::shared_ptr<const Route> find(std::string_view host, std::string_view target) const;
    /// Returns the limits of a service, or the defaults if the service is not listed.
    const ServiceLimits& limitsOf(std::string_view service) const;
    const ServingConfiguration& configuration() const { return m_configuration; }

private:
    using Prefixes = std::unordered_map<std::string, std::shared_ptr<const Route>>;
    ServingConfiguration m_configuration;
    std::unordered_map<std::string, Prefixes> m_hosts; // by lower-case host name
};

} // namespace citronplank
