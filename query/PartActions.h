// Actions on parts that QueryExecution and KeyedExecution request from the code that drives them.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// A part id consists of the id of its query or keyed request and a counter, so that results are routed to their query
/// without a lookup table. 2^20 covers 65,536 shards with 8 attempts each on two layouts, as a query may restart once.
constexpr std::uint32_t partCounterBits = 20;
constexpr std::uint64_t partIdOf(std::uint64_t queryId, std::uint64_t counter)
{
    return (queryId << partCounterBits) | counter;
}
constexpr std::uint64_t queryIdOfPart(std::uint64_t partId) { return partId >> partCounterBits; }

/// Sends a part to the owner of the leaf. The owner is looked up by leaf and zone at the time of sending.
struct PartSend {
    Part part;
    std::string zone;    // of the leaf
    std::string address; // of the leaf, used when this daemon has no owner to send to (policy `independent`)
    bool isHedge = false;
};

/// Cancels a part that was sent.
struct PartCancel {
    std::uint64_t partId = 0;
    std::string leaf;
    std::string zone;
    bool queuedOnly = false; // do not cancel the part if the leaf already runs it
};

/// Hash of the content of a request, equal for all resends and on all instances.
inline std::uint64_t fingerprintOf(std::string_view service, std::string_view operation, std::string_view body)
{
    return hash64(body, hash64(operation, hash64(service)));
}

} // namespace citronplank
