// What RouteService needs to know of the protocol that callers and leaves of a deployment speak.
#pragma once

#include "backend/LeafConnection.h"
#include "query/RouteExecution.h"
#include "transport/HttpServer.h"

namespace citronplank {

/// What a caller says about its request besides the request itself.
struct CallerInfo {
    std::string id;                        // chosen by the caller, differs for each attempt; empty if absent
    std::optional<milliseconds> remaining; // how long the caller waits
};

/// Translates messages; it decides nothing and holds no state. Every method is thread safe.
class RouteProtocol {
public:
    virtual ~RouteProtocol() = default;

    virtual CallerInfo readCallerInfo(const HttpRequest&) const = 0;
    /// The request as it goes to a leaf: method, target, body and end-to-end headers unchanged.
    virtual std::string renderRequest(const HttpRequest&, const Announcement& leaf, milliseconds remaining) const = 0;
    /// What a leaf's reply to a request of that call means. `attempt` of the result is left 0.
    virtual AttemptResult readReply(LeafReply, const CallerInfo&) const = 0;
    virtual HttpResponse renderOutcome(RouteOutcome, const CallerInfo&) const = 0;
};

} // namespace citronplank
