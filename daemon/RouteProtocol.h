// Interface through which RouteService uses the HTTP protocol that the callers and leaves of a deployment speak.
#pragma once

#include "backend/UpstreamClient.h"
#include "query/RouteExecution.h"
#include "transport/HttpServer.h"

namespace citronplank {

/// Metadata that the caller states about a request.
struct CallerInfo {
    std::string id;                        // chosen by the caller, a new one for each attempt; empty if absent
    std::optional<milliseconds> remaining; // how long the caller still waits
};

/// Translates between HTTP messages and their meaning. Implementations are stateless. Every method is thread safe.
class RouteProtocol {
public:
    virtual ~RouteProtocol() = default;

    virtual CallerInfo readCallerInfo(const HttpRequest&) const = 0;
    /// Removes the key of the caller's customer from a request, so that no copy of it that leaves this instance carries
    /// one. Returns the key, or an empty string if there is none or more than one.
    virtual std::string takeKey(HttpRequest&) const = 0;
    /// Sets the name of the customer that the leaf receives, whatever the caller sent; empty: none. Precondition:
    /// `takeKey` was called for the request.
    virtual void setCustomer(HttpRequest&, std::string_view name) const = 0;
    /// Returns what tells a leaf who sent the request, the same in each retry: the name of the customer and the
    /// credentials that are passed on. Precondition: the request is as the leaf will get it.
    virtual std::string senderOf(const HttpRequest&) const = 0;
    /// Serializes a request for a leaf. Method, target, body and end-to-end headers are unchanged.
    virtual std::string renderRequest(const HttpRequest&, const Announcement& leaf, milliseconds remaining) const = 0;
    /// Returns whether a reply that arrived for a request of that caller answers that request.
    virtual ReplyOwner ownerOf(const LeafReply&, const CallerInfo&) const = 0;
    /// Interprets a leaf's reply to a request of that caller. Leaves `attempt` of the result at 0.
    virtual AttemptResult readReply(LeafReply, const CallerInfo&) const = 0;
    /// Returns what a leaf says about itself in a reply.
    virtual LeafNotice readNotice(const LeafReply&) const = 0;
    virtual HttpResponse renderOutcome(RouteOutcome, const CallerInfo&) const = 0;
};

} // namespace citronplank
