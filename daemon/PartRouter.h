// Entry side of parts: finds the owner of a leaf and carries parts, cancels and answers between the two.
#pragma once

#include "daemon/ConfigurationTable.h"
#include "daemon/PartService.h"
#include "query/PartActions.h"
#include "transport/Links.h"

namespace citronplank {

/// How the router reaches other parts of the daemon. All are thread safe and called without a lock.
struct PartRouterLinks {
    std::function<std::string(std::string_view zone, std::string_view leaf)> ownerOf; // name; empty if unknown
    std::function<std::string(std::string_view name)> linkAddressOf;                  // empty if unknown
    std::function<bool(const std::string& address, Envelope)> send;                   // on the lane for parts
    std::function<void(std::function<void()>)> post;                                  // to the io_context
    std::function<void(const PartResult&)> deliver;                                   // to the running query
};

/// Every method is thread safe.
class PartRouter {
public:
    /// `self` is this instance's name. Precondition: the other objects outlive this one.
    PartRouter(std::string self, ConfigurationTable&, PartService&, PartRouterLinks);

    /// Sends a part to the owner of its leaf, or to this daemon's own gate under the policy `independent`. A part that
    /// cannot be sent is answered as unreachable, not run.
    void send(const PartSend&);
    void cancel(const PartCancel&);

    /// A part, a cancel or an answer arrived from another daemon. Throws Error(BadRequest) on malformed input.
    void onRequest(const Envelope&);
    void onCancel(const Envelope&);
    void onAnswer(const Envelope&);
    /// The lane to a daemon was lost: parts sent on it are answered as unreachable, may have run.
    void onLinkDown(const std::string& address);
    /// Sends the result of a part of another daemon, or delivers that of this one.
    void answer(const std::string& sender, const PartResult&);

private:
    void failLater(std::uint64_t partId, Outcome);

    std::string m_self;
    ConfigurationTable& m_configuration;
    PartService& m_parts;
    PartRouterLinks m_links;
    Guarded<std::unordered_map<std::uint64_t, std::string>> m_remote; // owner's address of parts sent by links
};

} // namespace citronplank
