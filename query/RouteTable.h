// The routes of one serving configuration, ready for lookup.
#pragma once

#include "citronplank.h"

#include <memory>
#include <unordered_map>

namespace citronplank {

/// Throws Error(BadRequest) with the reason if the configuration is invalid: a route without host, prefix, target or
/// timeout, an unknown service, two routes of the same host and prefix, or weights that add up to 0. Thread safe.
void checkConfiguration(const ServingConfiguration&);

/// Immutable after construction, so every method is thread safe.
class RouteTable {
public:
    /// Precondition: `configuration` passes checkConfiguration.
    explicit RouteTable(ServingConfiguration configuration);

    /// The route of the host with the longest prefix of the path; null if there is none. `host` may carry a port and
    /// any case, `target` a query.
    std::shared_ptr<const Route> find(std::string_view host, std::string_view target) const;
    /// Limits of a service; the defaults if it is not listed.
    const ServiceLimits& limitsOf(std::string_view service) const;
    const ServingConfiguration& configuration() const { return m_configuration; }

private:
    using Prefixes = std::unordered_map<std::string, std::shared_ptr<const Route>>;
    ServingConfiguration m_configuration;
    std::unordered_map<std::string, Prefixes> m_hosts; // names in lower case
};

} // namespace citronplank
