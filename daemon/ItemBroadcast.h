// Carries changes of the leaf directory to all peers at once and finds out when they have them.
//
// Gossip carries the same items, but takes seconds under load: a leaf that leaves must get nothing new within a bound
// that starts when its notice is acknowledged.
#pragma once

#include "coordination/LeafDirectory.h"

#include <functional>

namespace citronplank {

std::string encodeItems(std::span<const DirectoryItem>);
/// Throws Error(BadRequest) on malformed input. Both are thread safe.
std::vector<DirectoryItem> decodeItems(std::string_view);

/// Not thread safe; callers serialize calls.
class ItemBroadcast {
public:
    using Done = std::function<void(bool known)>;
    /// Sends encoded items to a peer.
    using Sender = std::function<void(const std::string& peer, std::uint64_t number, const std::string& body)>;

    static constexpr milliseconds resendInterval { 250 }; // above a round trip and a turn of a busy instance
    static constexpr milliseconds confirmLimit { 700 };   // leaves wait a second for their acknowledgement
    static constexpr seconds lifetime { 5 }; // of resends and for peers that become known; after it gossip repairs
    static constexpr double minShare = 0.5;  // of the peers that make a change known at `confirmLimit`

    explicit ItemBroadcast(Sender sender)
        : m_sender(std::move(sender))
    {
    }

    /// Sends `items` to `peers`. `done` runs once: with true as soon as all have them, at `confirmLimit` with true if
    /// enough have. Peers that become known within `lifetime` get them too.
    void start(std::span<const DirectoryItem> items, const std::vector<std::string>& peers, TimePoint now, Done done);
    /// Keeps items for the next `flush`, so that many changes at the same time travel together.
    void add(std::span<const DirectoryItem> items, Done done);
    /// Starts one broadcast of what was added since the last one.
    void flush(const std::vector<std::string>& peers, TimePoint now);
    void onAck(const std::string& peer, std::uint64_t number);
    /// Call it every 50 ms or so. `live` are the peers that are members now.
    void onTimer(const std::set<std::string, std::less<>>& live, TimePoint now);

private:
    struct Running {
        std::string body;
        std::set<std::string, std::less<>> peers;   // that it was sent to
        std::set<std::string, std::less<>> waiting; // of them, for their acknowledgement
        TimePoint startedAt;
        TimePoint sentAt;
        Done done; // null once it has run
    };
    static void finish(Running&, bool known);

    Sender m_sender;
    std::vector<DirectoryItem> m_added;
    std::vector<Done> m_addedDone;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, Running> m_running;
};

} // namespace citronplank
