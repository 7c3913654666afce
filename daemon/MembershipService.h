// Shell of gossip and the leaf directory: one UDP socket, one timer, two tables.
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

/// Handlers run one after the other on the service's strand, without a lock.
struct MembershipHandlers {
    std::function<void(const GossipItem&)> itemChanged; // items of other parts than the directory
    std::function<void()> membersChanged;
    std::function<void()> directoryChanged;
    /// Items that this instance publishes; gossip carries them as well. `done` runs once they are known elsewhere.
    std::function<void(std::vector<DirectoryItem>, std::function<void(bool known)> done)> broadcast {};
};

/// Every method is thread safe. Changes are applied one after the other on a strand: two workers that applied a removal
/// and a new announcement of one leaf in the wrong order would lose the leaf for good. Tables: gossip with rank
/// LockRank::Members, directory with LockRank::Directory.
class MembershipService {
public:
    /// Binds the gossip address of `self`. Precondition: `io` outlives this object. Throws Error(Internal).
    /// `lapse`: see LeafDirectory.
    MembershipService(asio::io_context& io, const Instance& self, std::vector<std::string> seeds, MembershipHandlers,
        milliseconds lapse = announcementTimeout, std::optional<milliseconds> rejoinInterval = {});

    /// Sets the handler `broadcast`. Precondition: called before `start`.
    void onBroadcast(std::function<void(std::vector<DirectoryItem>, std::function<void(bool known)> done)> handler)
    {
        m_handlers.broadcast = std::move(handler);
    }
    /// Starts the timer. Precondition: called once.
    void start();
    /// Announces that this instance leaves; keep running for about a second so that it spreads.
    void leave();
    /// Stops timer and socket.
    void stop();

    /// A leaf announced itself to this instance. Invalid announcements are ignored.
    void announce(const Announcement&);
    /// The same; `done` runs once others know of it: with false if they could not be reached in time. Without a change
    /// it runs at once. Called with false for an invalid announcement.
    void announce(const Announcement&, std::function<void(bool known)> done);
    /// A leaf said that it leaves now; see LeafDirectory::depart.
    void depart(std::string leaf, std::function<void(bool known)> done);
    /// Takes over items that another instance broadcast, then calls `done` on the strand.
    void applyItems(std::vector<DirectoryItem>, std::function<void()> done);
    void publish(std::string key, std::string payload);
    void removeItem(std::string key);
    /// Replaces the addresses to join by.
    void setSeeds(std::vector<std::string> seeds);
    std::vector<GossipItem> items();

    std::vector<Member> members() const;
    /// Members that are alive or suspected, without this instance.
    std::vector<Instance> livePeers() const;
    /// Names of the live instances of a zone, this one included if it is in it.
    std::set<std::string> liveNamesIn(std::string_view zone) const;
    /// Whether an instance is alive or suspected.
    bool isLive(std::string_view name) const;
    /// Nothing if the instance was never heard of; one that is lost stays known for a while.
    std::optional<Instance> instanceOf(std::string_view name) const;

    std::vector<std::string> services() const;
    std::vector<Announcement> replicasOf(std::string_view service) const;
    std::vector<Announcement> leavesIn(std::string_view zone) const;
    std::vector<Announcement> leaves() const;
    /// Counts changes of the directory.
    std::uint64_t directoryVersion() const { return m_directoryVersion.load(); }
    std::uint64_t directoryHash() const;
    std::string exportDirectory() const;
    /// Takes over another instance's exportDirectory(), then calls `done` on the strand; malformed bytes are ignored.
    void importDirectory(std::string bytes, std::function<void()> done);

    /// The gossip records of all live members, or of this instance alone.
    std::string exportMembers() const;
    std::string exportSelf() const;
    /// Takes over records that another instance exported; malformed bytes are ignored. `spread`: others may lack them.
    void importMembers(std::string bytes, bool spread);

    GossipCounters counters() const;
    /// Announcements, items and directories that were refused as malformed.
    std::uint64_t refusedInputs() const { return m_refusedInputs.load(); }

private:
    void scheduleTick();
    void tick();
    void change(std::function<void()>);
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
