// Configuration of the leaves that a stand-in process hosts.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace standins {

/// Distribution of service times in milliseconds. As text: "fixed:8", "exponential:8" (mean) or "lognormal:8:0.4"
/// (median, sigma).
struct ServiceTime {
    enum class Kind : std::uint8_t { Fixed, Exponential, Lognormal };
    Kind kind = Kind::Fixed;
    double ms = 5;    // fixed time, mean or median, depending on the kind
    double sigma = 0; // of a lognormal distribution: standard deviation of the logarithm
    /// Draws a service time in milliseconds.
    double sample(std::mt19937_64&) const;
};

/// Parses the text form of ServiceTime. Throws std::invalid_argument on malformed input.
ServiceTime parseServiceTime(const std::string& text);

/// The leaves of one service. Leaf i holds replica i / shards of shard i % shards, in zone (shard + replica) % number
/// of zones, so the replicas of a shard are in different zones.
struct ServiceSettings {
    std::string service;
    std::uint32_t shards = 1;
    std::uint32_t leaves = 2; // in all zones; `parseService` sets it to shards * replicas if `replicas` is given
    std::vector<std::string> zones;
    std::uint32_t slots = 2;        // parts that a warm leaf executes concurrently
    std::uint32_t connections = 25; // maximum number of open connections of a leaf
    double connectMs = 0;           // time to set up a connection; a leaf sets up one at a time
    ServiceTime time;               // execution time of a part on a warm leaf
    std::uint32_t ramp = 8;         // completed parts per increment of the capacity after a cold start
    double coldFactor = 2;          // service time at capacity 1 relative to a warm leaf
    std::uint64_t version = 1;      // initial index version
};

struct LeafSettings {
    ServiceSettings service;
    std::string name; // service, shard and replica, for example "loandesk-3-a"
    std::string zone;
    std::string address;     // "IP:PORT"
    std::uint32_t index = 0; // within the leaves of the service; determines shard and replica
};

/// Parses space-separated "key=value" settings, for example "service=loandesk shards=20 replicas=2
/// zones=atl,sav,mac,aug slots=2 connections=25 connect-ms=6 time=lognormal:8:0.4". Throws std::invalid_argument on
/// malformed input.
ServiceSettings parseService(const std::string& text);

/// Returns the leaves of all services that are in a zone of `zoneNumbers` (zone name to Z). Addresses are
/// 127.0.Z.N:port; N counts from `firstHost` to 254, then starts over with the next port after `firstPort`.
std::vector<LeafSettings> assignAddresses(const std::vector<ServiceSettings>& services,
    const std::map<std::string, int>& zoneNumbers, int firstHost, int firstPort);

/// Splits at `separator`; empty pieces are skipped.
std::vector<std::string> split(const std::string& text, char separator);

} // namespace standins
