// Requests of the load generator and their replies.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace standins {

struct LoadRequest {
    std::uint64_t number = 0; // counts the requests of a run from 1
    bool isKeyed = false;
    std::string service;
    std::string operation; // "list", "echo", or the keyed operation
    std::string customer;
    std::string key;                             // request key, only if keyed
    std::string nonce;                           // body of the request, different for each request
    std::chrono::milliseconds deadline { 1000 }; // time allowed for each attempt, from when it is sent
};

struct LoadReply {
    int status = 0;             // 0: no response
    std::string body;           // of the response
    std::string transportError; // if there was no response
    std::string entry;          // address of the entry instance it was sent to last; "direct" without one
    bool wasSent = false;       // at least part of the request may have arrived
};

/// Sends requests. The callback runs exactly once, on the same thread, after `send` has returned.
class Sender {
public:
    using Callback = std::function<void(LoadReply)>;
    virtual ~Sender() = default;
    virtual void send(const LoadRequest& request, Callback callback) = 0;
};

/// Time that the load generator waits beyond the deadline of a request for the response of the entry instance.
constexpr std::chrono::milliseconds clientTimeoutMargin { 1000 };

} // namespace standins
