#include "query/RouteTable.h"

#include <algorithm>
#include <cmath>

namespace citronplank {

namespace {

[[noreturn]] void throwInvalidRoute(const Route& route, std::string_view reason)
{
    throw Error(ErrorKind::BadRequest, "route " + route.name + " " + std::string(reason));
}

void checkTargets(const Route& route, const ServingConfiguration& configuration)
{
    if (route.targets.empty() == route.shards.empty())
        throwInvalidRoute(route, "must have either services or shards, but not both");
    double sum = 0;
    for (const auto& it : route.targets) {
        if (!configuration.services.contains(it.service))
            throwInvalidRoute(route, "refers to the unknown service " + it.service);
        if (!(it.weight >= 0) || !std::isfinite(it.weight))
            throwInvalidRoute(route, "has a weight that is negative or not finite");
        sum += it.weight;
    }
    if (!route.targets.empty() && !(sum > 0))
        throwInvalidRoute(route, "has weights whose sum is 0");
    for (const auto& it : route.shards) {
        if (!configuration.services.contains(it))
            throwInvalidRoute(route, "refers to the unknown service " + it);
    }
    if (std::set<std::string>(route.shards.begin(), route.shards.end()).size() != route.shards.size())
        throwInvalidRoute(route, "lists a service twice in its shards");
}

void checkRoute(const Route& route)
{
    const auto& prefix = route.pathPrefix;
    if (route.host.empty())
        throwInvalidRoute(route, "has no host");
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        throwInvalidRoute(route, "has a path prefix that does not begin and end with a slash");
    if (route.timeout <= milliseconds::zero())
        throwInvalidRoute(route, "has no positive timeout");
    if (route.attempts == 0)
        throwInvalidRoute(route, "allows 0 attempts; at least 1 is needed");
    if (!route.shards.empty() && route.topRecords == 0)
        throwInvalidRoute(route, "has shards, but its merged answer contains 0 records");
    if (route.minCoverage < 0 || route.minCoverage > 1)
        throwInvalidRoute(route, "has a minimum coverage outside 0 to 1");
}

void checkCustomers(std::span<const Customer> customers)
{
    std::set<std::string_view> names;
    std::unordered_map<std::string_view, const Customer*> owners; // by key
    for (std::size_t i = 0; i < customers.size(); ++i) {
        const auto& it = customers[i];
        auto fail = [&](const std::string& reason) {
            throw Error(ErrorKind::BadRequest, "customer " + std::to_string(i) + " " + reason);
        };
        if (it.name.empty() || !std::all_of(it.name.begin(), it.name.end(), [](char c) { return c > ' ' && c <= '~'; }))
            fail("has no name of printable characters");
        if (!names.insert(it.name).second)
            fail("has the name of another customer: " + it.name);
        auto isAmount = [](double value) { return value >= 0 && std::isfinite(value); };
        if (!isAmount(it.ratePerSecond) || !isAmount(it.burst))
            fail("has a rate or burst that is negative or not finite");
        for (std::size_t k = 0; k < it.keys.size(); ++k) {
            if (it.keys[k].empty())
                fail("has an empty key at position " + std::to_string(k));
            auto [owner, isNew] = owners.emplace(it.keys[k], &it);
            if (!isNew)
                fail("has at position " + std::to_string(k)
                    + (owner->second == &it ? " a key twice" : " the key of customer " + owner->second->name));
        }
    }
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    return lower;
}

} // namespace

void checkConfiguration(const ServingConfiguration& configuration)
{
    if (configuration.version == 0)
        throw Error(ErrorKind::BadRequest, "the configuration has no version");
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const auto& route : configuration.routes) {
        checkRoute(route);
        checkTargets(route, configuration);
        if (!hostsAndPrefixes.emplace(lowerCase(route.host), route.pathPrefix).second)
            throwInvalidRoute(route, "has the host and path prefix of another route");
    }
    if (configuration.customers)
        checkCustomers(*configuration.customers);
}

RouteTable::RouteTable(ServingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& it : m_configuration.routes)
        m_hosts[lowerCase(it.host)].emplace(it.pathPrefix, std::make_shared<const Route>(it));
    for (const auto& customer : customers()) {
        for (const auto& key : customer.keys) {
            m_customers.emplace(key, &customer);
            m_longestKey = std::max(m_longestKey, key.size());
        }
    }
}

std::shared_ptr<const Route> RouteTable::find(std::string_view host, std::string_view target) const
{
    auto found = m_hosts.find(lowerCase(host.substr(0, host.find(':'))));
    if (found == m_hosts.end())
        return nullptr;
    auto path = target.substr(0, target.find_first_of("?#"));
    // Every prefix ends with a slash. Looks up the parts of the path that do so too, the longest first.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        auto route = found->second.find(std::string(path.substr(0, slash + 1)));
        if (route != found->second.end())
            return route->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

const Customer* RouteTable::findCustomer(std::string_view key) const
{
    if (key.empty() || key.size() > m_longestKey)
        return nullptr;
    auto found = m_customers.find(key);
    return found == m_customers.end() ? nullptr : found->second;
}

const ServiceLimits& RouteTable::limitsOf(std::string_view service) const
{
    static const ServiceLimits defaults;
    auto found = m_configuration.services.find(service);
    return found == m_configuration.services.end() ? defaults : found->second;
}

} // namespace citronplank
