// Messages between an entry instance and the peer that gathers parts for it, usually in another zone.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// How the parts of a relay request count towards the budgets of extra requests of the peer.
enum class RelayBudget : std::uint8_t {
    None,  // the entry instance counts them
    First, // first requests, which increase the budgets
    Extra, // hedges and retries, which the peer sends only as far as its budgets allow
};

/// Request to a peer. It is sent together with the caller's request, see RelayedCall.
struct RelayRequest {
    std::string routeName;             // selects the latency statistics
    milliseconds objective { 0 };      // latency objective of the route
    std::vector<std::string> services; // one part each
    std::uint32_t topRecords = 0;      // maximum number of records in each answer
    milliseconds remaining { 0 };      // time limit for the leaves
    milliseconds batchAfter { 0 };     // parts received by then are sent as one batch, later ones one by one
    RelayBudget budget = RelayBudget::None;
};

/// Answer of the peer. Services are identified by their index in the request.
struct RelayAnswer {
    struct Answered {
        std::uint32_t service = 0;
        std::string signature;
    };
    struct Failed {
        std::uint32_t service = 0;
        bool hasArrived = false; // at a leaf, so that another send draws on the budget of extra requests
        bool mayHaveRun = false;
    };
    // The first answer. Later ones contain one part each, except for the one at the deadline, which reports all parts
    // still missing as failed.
    bool isBatch = false;
    std::vector<Answered> answered;
    std::string records; // merged records of the parts in `answered`
    std::vector<Failed> failed;
    /// A leaf that said in its answer to one of the parts that it is leaving.
    struct Leaving {
        std::string leaf;
        std::uint64_t boot = 0;
    };
    std::vector<Leaving> leaving;
};

/// A relay request and the caller's request.
struct RelayedCall {
    RelayRequest relay;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Encoding as msgpack. The decoders throw Error(BadRequest) on malformed input. Thread safe.
std::string encode(const RelayedCall&);
RelayedCall decodeRelayedCall(std::string_view);
std::string encode(const RelayAnswer&);
RelayAnswer decodeRelayAnswer(std::string_view);

} // namespace citronplank
