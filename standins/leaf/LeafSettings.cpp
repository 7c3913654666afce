#include "standins/leaf/LeafSettings.h"

#include <cmath>
#include <functional>
#include <sstream>
#include <stdexcept>

namespace standins {

double ServiceTime::sample(std::mt19937_64& random) const
{
    switch (kind) {
    case Kind::Exponential:
        return std::exponential_distribution<double>(1 / ms)(random);
    case Kind::Lognormal:
        return std::lognormal_distribution<double>(std::log(ms), sigma)(random);
    case Kind::Fixed:
        break;
    }
    return ms;
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> pieces;
    std::istringstream in(text);
    for (std::string piece; std::getline(in, piece, separator);)
        if (!piece.empty())
            pieces.push_back(piece);
    return pieces;
}

ServiceTime parseServiceTime(const std::string& text)
{
    const auto words = split(text, ':');
    ServiceTime time;
    if (words.size() == 3 && words[0] == "lognormal") {
        time.kind = ServiceTime::Kind::Lognormal;
        time.sigma = std::stod(words[2]);
    } else if (words.size() == 2 && words[0] == "exponential")
        time.kind = ServiceTime::Kind::Exponential;
    else if (words.size() != 2 || words[0] != "fixed")
        throw std::invalid_argument(
            "invalid service time \"" + text + "\": expected fixed:MS, exponential:MS or lognormal:MS:SIGMA");
    time.ms = std::stod(words[1]);
    if (!(time.ms > 0))
        throw std::invalid_argument("service time must be greater than 0: \"" + text + "\"");
    return time;
}

ServiceSettings parseService(const std::string& text)
{
    ServiceSettings it;
    std::uint32_t replicas = 0;
    const auto countSetter = [](std::uint32_t& target) {
        return [&target](const std::string& value) { target = static_cast<std::uint32_t>(std::stoul(value)); };
    };
    const std::map<std::string, std::function<void(const std::string&)>> setters {
        { "service", [&](const std::string& value) { it.service = value; } },
        { "shards", countSetter(it.shards) },
        { "replicas", countSetter(replicas) },
        { "leaves", countSetter(it.leaves) },
        { "zones", [&](const std::string& value) { it.zones = split(value, ','); } },
        { "slots", countSetter(it.slots) },
        { "connections", countSetter(it.connections) },
        { "connect-ms", [&](const std::string& value) { it.connectMs = std::stod(value); } },
        { "time", [&](const std::string& value) { it.time = parseServiceTime(value); } },
        { "ramp", countSetter(it.ramp) },
        { "cold-factor", [&](const std::string& value) { it.coldFactor = std::stod(value); } },
        { "version", [&](const std::string& value) { it.version = std::stoull(value); } },
    };
    for (const auto& word : split(text, ' ')) {
        const auto equals = word.find('=');
        const auto setter = setters.find(word.substr(0, equals));
        if (equals == std::string::npos || setter == setters.end())
            throw std::invalid_argument("unknown service setting \"" + word + "\"");
        setter->second(word.substr(equals + 1));
    }
    if (replicas)
        it.leaves = it.shards * replicas;
    if (it.service.empty() || it.zones.empty() || !it.shards || !it.slots || !it.connections)
        throw std::invalid_argument(
            "service must have a name, zones, and more than 0 shards, slots and connections: \"" + text + "\"");
    return it;
}

std::vector<LeafSettings> assignAddresses(const std::vector<ServiceSettings>& services,
    const std::map<std::string, int>& zoneNumbers, int firstHost, int firstPort)
{
    std::vector<LeafSettings> leaves;
    std::map<std::string, int> assignedLeaves; // number of leaves with an address so far, by zone
    const int hostsPerPort = 255 - firstHost;
    for (const auto& service : services) {
        for (std::uint32_t i = 0; i < service.leaves; ++i) {
            const auto shard = i % service.shards;
            const auto replica = i / service.shards;
            LeafSettings leaf { service, {}, service.zones[(shard + replica) % service.zones.size()], {}, i };
            leaf.name = service.service + "-" + std::to_string(shard) + "-" + std::string(1, char('a' + replica % 26));
            const auto zone = zoneNumbers.find(leaf.zone);
            if (zone == zoneNumbers.end())
                continue;
            const int n = assignedLeaves[leaf.zone]++;
            leaf.address = "127.0." + std::to_string(zone->second) + "." + std::to_string(firstHost + n % hostsPerPort)
                + ":" + std::to_string(firstPort + n / hostsPerPort);
            leaves.push_back(std::move(leaf));
        }
    }
    return leaves;
}

} // namespace standins
