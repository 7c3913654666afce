// Sends the parts of queries and keyed requests to leaves over HTTP/1.1. The protocol of these leaves is implemented
// here and in AnnouncementCodec only. UpstreamClient sends requests on routes.
//
//   LeafClient client(io, {});
//   client.send(part, "10.0.0.7:9000", announcement.connections, [](PartResult result) { ... });
//   client.cancel(part.partId);
//
// Meaning of the results (PartStatus/Outcome). A keyed part has a `requestKey`; every other part is idempotent:
//
//   Unreachable/NotRun       bad address, no connection, or it failed before the first byte was written
//   Refused/NotRun           the leaf answered 429 or 503, or all connections that it accepts are in use
//   WrongVersion/NotRun      the leaf answered 409
//   WrongVersion/Ran         idempotent part: answered for another version or shard; the body is discarded
//   Ok/Ran                   answered with status 200 for the pinned version and shard
//   Failed/Ran               answered with another status or without the headers for version and shard, or keyed part:
//                            answered for another version or shard
//   Failed/MayHaveRun        the answer is not valid HTTP, has no length or is too large
//   Failed/NotRun            the part cannot be sent: control characters in a header field, or partId already running
//   Crashed/MayHaveRun       the connection ended after the first byte was written
//   Unreachable/MayHaveRun   idempotent part on a kept-alive connection that the leaf closed before any byte of a
//                            response, while a new connection to the leaf works: a stale connection, not a crash
//   Deadline/MayHaveRun      no answer in time; Deadline/NotRun when nothing was written by then
#pragma once

#include "citronplank.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace citronplank {

struct LeafClientSettings {
    milliseconds connectTimeout { 1000 };
    milliseconds idleTimeout { 60000 }; // an idle connection is closed after this time
    /// Maximum size of a body; below the 8 MB limit of messages between daemons.
    std::size_t maxAnswerBytes = std::size_t { 7 } << 20U;
    std::size_t maxReplyBytes = std::size_t { 64 } << 20U; // of all replies that are being received, see ReplyMemory
};

struct LeafClientCounters {
    std::uint64_t parts = 0;    // passed to `send`, unless their address or a header field is invalid
    std::uint64_t connects = 0; // connections that were established
    std::uint64_t connectFailures = 0;
    std::uint64_t cancelled = 0;          // parts cancelled while they were running
    std::uint64_t staleClosed = 0;        // kept-alive connections closed by the leaf while a part was written
    std::uint64_t unresponsiveClosed = 0; // idle connections closed because another one to the leaf was unresponsive
    std::uint64_t openConnections = 0;    // at present, including those that are being established
};

/// Every method is thread safe. Callbacks run on the io_context, never under a lock.
class LeafClient {
public:
    using Callback = std::function<void(PartResult)>;

    /// Precondition: `io` outlives this object.
    LeafClient(asio::io_context& io, LeafClientSettings);
    /// Closes all connections and cancels running parts; no callback starts afterwards.
    ~LeafClient();
    LeafClient(const LeafClient&) = delete;
    LeafClient& operator=(const LeafClient&) = delete;

    /// Sends one part to the leaf `part.leaf` at `address` ("IP:PORT") and calls `callback` once with the result,
    /// unless the part is cancelled. `part.remaining` counts from this call and includes the time to connect.
    /// `connectionLimit` is the number of connections that the leaf accepts. Precondition: `part.partId` is unique
    /// among the running parts of this client; the owner of a leaf assigns new ids to the parts of other instances.
    void send(const Part& part, const std::string& address, std::uint32_t connectionLimit, Callback callback);
    /// Closes the connection of a running part, so that the leaf stops working on it. Returns false if the part is not
    /// running any more; otherwise its callback is not called.
    bool cancel(std::uint64_t partId);
    /// Opens connections until there are `count` to the leaf, so that later parts need not wait for a connect. Does
    /// nothing if `address` is malformed.
    void preconnect(const std::string& leaf, const std::string& address, std::uint32_t count);
    /// Closes the connections to a leaf: idle ones now and busy ones after their exchange.
    void closeConnections(const std::string& leaf);
    LeafClientCounters counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace citronplank
