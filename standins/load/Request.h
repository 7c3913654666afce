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
    int status = 0;             // 0: no answer
    std::string body;           // of the answer
    std::string transportError; // if there is no answer
    std::string entry;          // address that was asked
    bool wasSent = false;       // at least a part of the request may have arrived
};

/// Sends requests; the callback runs later on the same thread, exactly once.
class Sender {
public:
    using Callback = std::function<void(LoadReply)>;
    virtual ~Sender() = default;
    virtual void send(const LoadRequest& request, Callback callback) = 0;
};

/// Time that a client waits beyond the deadline before it gives up.
constexpr std::chrono::milliseconds clientPatience { 1000 };

} // namespace standins
