// Requests of the load generator and their replies.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace standins {

struct LoadRequest {
    std::uint64_t number = 0;
    bool isKeyed = false;
    std::string service;
    std::string operation; // "list", "echo", or the keyed operation
    std::string customer;
    std::string key;   // request key, only if keyed
    std::string nonce; // unique text in the body
    std::chrono::milliseconds deadline { 1000 };
};

struct LoadReply {
    int status = 0;             // 0: no response
    std::string body;           // of the response
    std::string transportError; // if there was no response
    std::string entry;          // address of the entry instance that received the request
    bool wasSent = false;       // at least part of the request may have arrived
};

/// Sends requests. The callback runs exactly once, on the same thread, after `send` has returned.
class Sender {
public:
    using Callback = std::function<void(LoadReply)>;
    virtual ~Sender() = default;
    virtual void send(const LoadRequest& request, Callback callback) = 0;
};

/// Time that a client waits beyond the deadline of a request before it times out.
constexpr std::chrono::milliseconds clientTimeoutMargin { 1000 };

} // namespace standins
