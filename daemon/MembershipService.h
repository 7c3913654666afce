// Runs gossip and the leaf directory: connects their state machines to a UDP socket and a timer.
#pragma once

#include "coordination/Gossip.h"
#include "coordination/LeafDirectory.h"
#include "daemon/OrderedMutex.h"
#include "transport/GossipSocket.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <atomic>

namespace citronplank {

/// Handlers run one at a time on the service's strand, without a lock held.
struct MembershipHandlers {
    std::function<void(const GossipItem&)> itemChanged; // items that do not belong to the directory
    std::function<void()> membersChanged;
    std::function<void()> directoryChanged;
    /// Directory items that this instance publishes; gossip spreads them as well. `done` runs once peers have confirmed
    /// them or the confirmation timed out.
    std::function<void(std::vector<DirectoryItem>, std::function<void(bool confirmed)> done)> broadcast {};
};

/// Every method is thread safe. Changes are serialized on a strand: if two workers applied a removal and a new
/// announcement of a leaf in the wrong order, the leaf would be lost permanently. The gossip state has rank
/// LockRank::Members, the directory LockRank::Directory.
class MembershipService {
public:
    /// Binds the gossip address of `self`. Throws Error(Internal) if it cannot be bound. A leaf without an announcement
    /// for `leafTimeout` is removed. `rejoinInterval`: see GossipSettings; absent: its default. Precondition: `io`
    /// outlives this object.
    MembershipService(asio::io_context& io, const Instance& self, std::vector<std::string> seeds, MembershipHandlers,
        milliseconds leafTimeout = announcementTimeout, std::optional<milliseconds> rejoinInterval = {});

    /// Sets the handler `broadcast`. Precondition: called before `start`.
    void setBroadcastHandler(
        std::function<void(std::vector<DirectoryItem>, std::function<void(bool confirmed)> done)> handler)
    {
        m_handlers.broadcast = std::move(handler);
    }
    /// Starts the timer. Precondition: called once.
    void start();
    /// Announces that this instance leaves. Keep the service running for about a second afterwards so that it spreads.
    void leave();
    /// Stops the timer and closes the socket.
    void stop();

    /// Handles an announcement that a leaf sent to this instance. Invalid announcements are ignored.
    void announce(const Announcement&);
    /// The same with a confirmation: `done` runs on the strand of the service or of the broadcast handler. It gets true
    /// once enough peers have the announcement (see ItemBroadcast), or at once if it changes nothing or there is no
    /// broadcast handler, and false if too few confirmed in time or the announcement is invalid. It does not run if the
    /// service is stopped first.
    void announce(const Announcement&, std::function<void(bool confirmed)> done);
    /// Handles the notice of a leaf that it leaves now; see LeafDirectory::depart. `done` as for `announce`.
    void depart(std::string leaf, std::function<void(bool confirmed)> done);
    /// Applies directory items that another instance broadcast, then calls `done` on the strand.
    void applyItems(std::vector<DirectoryItem>, std::function<void()> done);
    /// Publishes or removes a gossip item of this instance.
    void publish(std::string key, std::string payload);
    void removeItem(std::string key);
    /// Replaces the gossip addresses to join through.
    void setSeeds(std::vector<std::string> seeds);
    std::vector<GossipItem> items();

    std::vector<Member> members() const;
    /// Members that are alive or suspected, excluding this instance.
    std::vector<Instance> livePeers() const;
    /// Names of the live instances of a zone, including this one if it belongs to the zone.
    std::set<std::string> liveNamesIn(std::string_view zone) const;
    /// Whether an instance is alive or suspected.
    bool isLive(std::string_view name) const;
    /// Absent if the instance is unknown. A failed instance stays known for a while.
    std::optional<Instance> instanceOf(std::string_view name) const;

    std::vector<std::string> services() const;
    std::vector<Announcement> replicasOf(std::string_view service) const;
    std::vector<Announcement> leavesIn(std::string_view zone) const;
    std::vector<Announcement> leaves() const;
    /// Increases with each change of the directory.
    std::uint64_t directoryVersion() const { return m_directoryVersion.load(); }
    /// See LeafDirectory::contentHash and LeafDirectory::exportAll.
    std::uint64_t directoryHash() const;
    std::string exportDirectory() const;
    /// Merges the result of another instance's exportDirectory(), then calls `done` on the strand. Malformed bytes are
    /// ignored, and `done` does not run.
    void importDirectory(std::string bytes, std::function<void()> done);

    /// The gossip records of all live members, or of this instance alone.
    std::string exportMembers() const;
    std::string exportSelf() const;
    /// Merges records that another instance exported. Malformed bytes are ignored. With `disseminate`, gossip forwards
    /// them, because other instances may lack them.
    void importMembers(std::string bytes, bool disseminate);

    GossipCounters counters() const;
    /// Number of announcements, items and directories that were refused as malformed.
    std::uint64_t refusedInputs() const { return m_refusedInputs.load(); }

private:
    void scheduleTick();
    void tick();
    void postToStrand(std::function<void()>);
    void perform(const Gossip::Output&);
    void perform(const LeafDirectory::Output&, std::function<void(bool)> done = nullptr);

    std::string m_self;
    MembershipHandlers m_handlers;
    mutable Guarded<Gossip> m_gossip;
    mutable Guarded<LeafDirectory> m_directory;
    std::atomic<std::uint64_t> m_directoryVersion { 0 };
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    std::atomic<std::uint64_t> m_refusedInputs { 0 };
    std::atomic<bool> m_stopped { false };
    GossipSocket m_socket;
};

} // namespace citronplank
