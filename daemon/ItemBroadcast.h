// Sends changes of the leaf directory directly to all peers and tracks their acknowledgements.
//
// Gossip spreads the same items, but takes seconds under load. A leaf that leaves expects no new requests soon after
// its notice is acknowledged, so the peers have to know of the notice before the acknowledgement.
#pragma once

#include "coordination/LeafDirectory.h"

#include <functional>

namespace citronplank {

/// Serializes directory items. Thread safe.
std::string encodeItems(std::span<const DirectoryItem>);
/// Throws Error(BadRequest) on malformed input. Thread safe.
std::vector<DirectoryItem> decodeItems(std::string_view);

/// Not thread safe.
class ItemBroadcast {
public:
    using Done = std::function<void(bool confirmed)>;
    /// Sends encoded items to a peer, which acknowledges them with the broadcast's `number`.
    using Sender = std::function<void(const std::string& peer, std::uint64_t number, const std::string& body)>;

    /// Age of a broadcast at its first resend; exceeds a round trip to a busy instance. It doubles with each resend:
    /// peers that acknowledge late because they or this instance are overloaded get few copies.
    static constexpr milliseconds firstResendAge { 250 };
    static constexpr milliseconds confirmTimeout { 700 }; // leaves wait 1 s for their acknowledgement
    /// Items are resent, also to new peers, for this time; after it only gossip spreads them.
    static constexpr seconds lifetime { 5 };
    static constexpr double minConfirmedShare = 0.5; // share of the peers that confirms a change at `confirmTimeout`

    /// Broadcasts are numbered from `firstNumber` on. Objects whose acknowledgements arrive together need different
    /// ranges, and so do the runs of a process, because acknowledgements to an earlier run may still arrive.
    explicit ItemBroadcast(Sender sender, std::uint64_t firstNumber = 1)
        : m_sender(std::move(sender))
        , m_lastNumber(firstNumber - 1)
    {
    }

    /// Sends `items` to `peers`. `done` runs once: with true as soon as all have acknowledged, or at `confirmTimeout`
    /// with whether at least `minConfirmedShare` have. Peers that join within `lifetime` get the items too.
    void start(std::span<const DirectoryItem> items, const std::vector<std::string>& peers, TimePoint now, Done done);
    /// Queues items for the next `flush`, so that simultaneous changes are sent in one message. `done` as for `start`;
    /// it may be null.
    void add(std::span<const DirectoryItem> items, Done done);
    /// Starts one broadcast of the queued items, if there are any.
    void flush(const std::vector<std::string>& peers, TimePoint now);
    /// Handles the acknowledgement of a broadcast by a peer.
    void onAck(const std::string& peer, std::uint64_t number);
    /// Resends, confirms and ends broadcasts that are due. Must be called about every 50 ms. `live` are the peers that
    /// are members now.
    void onTimer(const std::set<std::string, std::less<>>& live, TimePoint now);
    /// Whether there is nothing to send or to wait for.
    bool isIdle() const { return m_broadcasts.empty() && m_pendingItems.empty(); }

private:
    struct PendingBroadcast {
        std::string body;
        std::set<std::string, std::less<>> peers;   // peers that it was sent to
        std::set<std::string, std::less<>> waiting; // those that have not acknowledged yet
        TimePoint startedAt;
        Duration resendAge;
        Done done; // null once it has run
    };
    static void finish(PendingBroadcast&, bool confirmed);

    Sender m_sender;
    std::vector<DirectoryItem> m_pendingItems;
    std::vector<Done> m_pendingDone;
    std::uint64_t m_lastNumber;
    std::map<std::uint64_t, PendingBroadcast> m_broadcasts;
};

} // namespace citronplank
