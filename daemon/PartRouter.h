// Entry side of parts: finds the owner of a leaf and forwards parts, cancels and answers between entry and owner.
#pragma once

#include "daemon/ConfigurationTable.h"
#include "daemon/PartService.h"
#include "query/PartActions.h"
#include "transport/Links.h"

namespace citronplank {

/// Functions of other services that the router calls. All are thread safe and called without a lock held.
struct PartRouterCallbacks {
    std::function<std::string(std::string_view zone, std::string_view leaf)> ownerOf; // name; empty if unknown
    std::function<std::string(std::string_view name)> linkAddressOf;                  // empty if unknown
    std::function<bool(const std::string& address, Envelope)> send;                   // on the part channel of the link
    std::function<void(std::function<void()>)> post;                                  // to the io_context
    std::function<void(const PartResult&)> deliver;                                   // to the running query
};

/// Every method is thread safe.
class PartRouter {
public:
    /// `self` is this instance's name. Precondition: the other objects outlive this one.
    PartRouter(std::string self, ConfigurationTable&, PartService&, PartRouterCallbacks);

    /// Sends a part to the owner of its leaf, or to this daemon's own gate under the policy `independent`. A part that
    /// cannot be sent gets the result "unreachable, not run".
    void send(const PartSend&);
    /// Cancels a part that was sent. Unless `queuedOnly` is set, no result is delivered.
    void cancel(const PartCancel&);

    /// Handle a part, a cancel or an answer from another daemon. Throw Error(BadRequest) on malformed input.
    void onRequest(const Envelope&);
    void onCancel(const Envelope&);
    void onAnswer(const Envelope&);
    /// Handles the loss of the part channel to a daemon: parts sent on it get the result "unreachable, may have run".
    void onLinkDown(const std::string& address);
    /// Delivers the result of a part to its sender, which is this daemon or another one.
    void answer(const std::string& sender, const PartResult&);

private:
    void postFailure(std::uint64_t partId, Outcome);

    std::string m_self;
    ConfigurationTable& m_configuration;
    PartService& m_parts;
    PartRouterCallbacks m_callbacks;
    /// Link address of the owner, by id of the part.
    Guarded<std::unordered_map<std::uint64_t, std::string>> m_remoteParts;
};

} // namespace citronplank
