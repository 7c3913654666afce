// The table of leaves that one stand-in process hosts.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace standins {

/// Distribution of service times in milliseconds: "fixed:8", "exponential:8" (mean) or "lognormal:8:0.4" (median,
/// sigma).
struct ServiceTime {
    enum class Kind : std::uint8_t { Fixed, Exponential, Lognormal };
    Kind kind = Kind::Fixed;
    double ms = 5;
    double sigma = 0;
    double draw(std::mt19937_64&) const;
};

/// Throws std::invalid_argument for an unknown form.
ServiceTime parseServiceTime(const std::string& text);

/// One service. Leaf i holds shard i % shards as replica i / shards, in zone (shard + replica) % number of zones, so
/// the replicas of a shard are in different zones.
struct ServiceSettings {
    std::string service;
    std::uint32_t shards = 1;
    std::uint32_t leaves = 2;
    std::vector<std::string> zones;
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    double connectMs = 0;      // set-up time of a connection; one at a time for each leaf
    ServiceTime time;          // of a part on a warm leaf
    std::uint32_t ramp = 8;    // completed parts for each step of capacity after a cold start
    double coldFactor = 2;     // service time at capacity 1, relative to the warm one
    std::uint64_t version = 1; // index version at the start
};

/// One leaf with its place.
struct LeafSettings {
    ServiceSettings service;
    std::string name; // "loandesk-3-a"
    std::string zone;
    std::string address;
    std::uint32_t index = 0; // among the leaves of the service
};

/// Parses one service: words "key=value", for example "service=loandesk shards=20 replicas=2 zones=atl,sav,mac,aug
/// slots=2 connections=25 connect-ms=6 time=lognormal:8:0.4". Throws std::invalid_argument.
ServiceSettings parseService(const std::string& text);

/// The leaves of all services that are in one of `zoneNumbers` (name to Z). Addresses are 127.0.Z.N:port, with N
/// counting from `firstHost` to 254 and the port then raised by one.
std::vector<LeafSettings> placeLeaves(const std::vector<ServiceSettings>& services,
    const std::map<std::string, int>& zoneNumbers, int firstHost, int port);

/// Splits at `separator`; empty pieces are left out.
std::vector<std::string> split(const std::string& text, char separator);

} // namespace standins
