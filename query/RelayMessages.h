// Messages between an entry and the peer that gathers parts for it in another zone.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// What a peer is asked for. The caller's request travels beside it.
struct RelayRequest {
    std::string routeName;             // whose latencies apply
    milliseconds objective { 0 };      // of the route
    std::vector<std::string> services; // one part each
    std::uint32_t topRecords = 0;      //
    milliseconds remaining { 0 };      // that leaves are given
    milliseconds batchAfter { 0 };     // then the parts that are in go out together; later ones go out one by one
};

/// One answer of the peer. Services are named by their position in the request.
struct RelayAnswer {
    struct Answered {
        std::uint32_t service = 0;
        std::string signature;
    };
    struct Failed {
        std::uint32_t service = 0;
        bool hasArrived = false; // at a leaf, which counts towards the budget of extra requests
        bool mayHaveRun = false;
    };
    bool isBatch = false; // the first answer; later ones hold one part each
    std::vector<Answered> answered;
    std::string records; // the greatest of the parts in `answered`
    std::vector<Failed> failed;
};

/// Encoding by msgpack of the request with the caller's message, and of the answer. The decoders throw
/// Error(BadRequest) on malformed input. Thread safe.
struct RelayedCall {
    RelayRequest relay;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};
std::string encode(const RelayedCall&);
RelayedCall decodeRelayedCall(std::string_view);
std::string encode(const RelayAnswer&);
RelayAnswer decodeRelayAnswer(std::string_view);

} // namespace citronplank
