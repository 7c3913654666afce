// Actions on parts that query and keyed execution ask their caller to perform.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// A part identity is the identity of its query or keyed request followed by a counter, so that a result finds its way
/// back without a table. 2^20 covers a layout of 65,536 shards with 8 attempts each, twice.
constexpr std::uint32_t partCounterBits = 20;
constexpr std::uint64_t partIdOf(std::uint64_t queryId, std::uint64_t counter)
{
    return (queryId << partCounterBits) | counter;
}
constexpr std::uint64_t queryIdOfPart(std::uint64_t partId) { return partId >> partCounterBits; }

/// Send this part to the owner of the leaf. The owner is looked up by leaf and zone at the moment of sending.
struct PartSend {
    Part part;
    std::string zone;    // of the leaf
    std::string address; // of the leaf, for sending without an owner (policy independent)
    bool isHedge = false;
};

/// Cancel a part that was sent before.
struct PartCancel {
    std::uint64_t partId = 0;
    std::string leaf;
    std::string zone;
    bool queuedOnly = false; // leave the part alone if the leaf already runs it
};

/// Identity of a request's content across resends and instances.
inline std::uint64_t fingerprintOf(std::string_view service, std::string_view operation, std::string_view body)
{
    return hash64(body, hash64(operation, hash64(service)));
}

} // namespace citronplank
