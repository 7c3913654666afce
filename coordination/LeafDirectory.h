// The directory of leaves. A leaf announces itself to any daemon, and gossip disseminates it to the others.
//
// The daemon that receives a leaf's announcements directly and has published it is the leaf's registrar. Renewals are
// not published; the registrar removes the leaf after `announcementTimeout` without one and publishes the removal.
// Other daemons remove a leaf `announcementTimeout` after its registrar failed, unless another registrar takes over.
//
// A daemon that receives renewals of a leaf with another live registrar records them without publishing, so that a leaf
// that announces itself through a load balancer does not cause an update at every renewal. It takes over as registrar
// after three consecutive renewals, when the registrar has failed, or when the registrar removes the leaf.
//
// What is known of a leaf is merged in the order that LeafRecord.h states. A start that was draining or gone when it
// was removed is remembered for `departureRetention`, so that a late announcement of it does not list the leaf again.
// Gossip keeps the last published version of an item, whatever its content, so a daemon that sees a departure
// overwritten publishes it again: at once if the departure came to it or it is the registrar, else after a delay that
// differs between daemons, so that one of them does it for all.
#pragma once

#include "coordination/LeafRecord.h"

namespace citronplank {

/// A change to pass to Gossip::publish, or to Gossip::remove when `removed`.
struct DirectoryItem {
    std::string key;
    std::string payload;
    bool removed = false;
};

constexpr std::string_view leafKeyPrefix = "leaf/"; // of the gossip keys; the name of the leaf follows

/// State machine without I/O. Not thread safe: callers serialize all calls to one object.
class LeafDirectory {
public:
    /// A notice that a leaf is draining or gone.
    struct Notice {
        std::string leaf;
        std::uint64_t boot = 0;
        LeafPhase phase = LeafPhase::Draining;
    };
    struct Output {
        std::vector<DirectoryItem> items; // to publish by gossip
        bool changed = false;             // the leaves or their announced content changed during the call
        std::optional<Notice> notice {};  // in `items`; pass it to `confirm` once the peers have confirmed them
    };

    /// How long the departure of a start is remembered after the leaf was removed. Longer than an announcement can be
    /// under way and a leaf can take to stop; the same time as LeafNotices::retention.
    static constexpr std::chrono::minutes departureRetention { 10 };
    /// Maximum number of departures remembered; the oldest is dropped first. A rollout of 6,500 leaves within the
    /// retention fits.
    static constexpr std::size_t maxDepartures = 10000;
    /// Step between the delays of daemons that would publish an overwritten departure again. Longer than a published
    /// item takes to reach the peers, so that usually one of them does.
    static constexpr milliseconds repairStep { 100 };

    /// `self` is the member name of this daemon, `timeout` the time without a renewal after which a leaf is removed.
    explicit LeafDirectory(std::string self, milliseconds timeout = announcementTimeout);

    /// Handles an announcement that a leaf sent to this daemon. It is ignored when it is older than the one held, or
    /// when a leaf that started later has announced the same address. Leaves that started earlier at the same address
    /// are removed. An announcement of a start that has departed changes nothing, and one that is ready changes nothing
    /// of a draining leaf but its content. A notice that a leaf is draining is in the items again until it is
    /// confirmed. Throws Error (BadRequest) when a name or the address is empty, there are no slots, a shard is outside
    /// its layout, or the announcement is too long for a gossip item.
    Output announce(const Announcement&, TimePoint now);
    /// Handles the notice of a leaf that it is stopping. The leaf counts as draining and is removed at the timeout. The
    /// notice is in the items again until it is confirmed. Unknown names are ignored.
    Output depart(std::string_view leaf, TimePoint now);
    /// Records that the peers have a notice, so that a repeated one is not published again.
    void confirm(const Notice&);
    /// Applies an item received by gossip. Ignored are keys without leafKeyPrefix, malformed payloads and payloads of
    /// another leaf than the key names.
    Output applyItem(std::string_view key, std::string_view payload, bool removed, TimePoint now);
    /// Sets the names of the live daemons, with or without this one. Call at every change of membership.
    Output setLiveRegistrars(const std::set<std::string, std::less<>>& names, TimePoint now);
    /// Removes expired leaves and departures, and publishes overwritten departures that no other daemon has published
    /// again. Call every 100 ms or so.
    Output expire(TimePoint now);

    /// Names of the services with at least one leaf, ordered.
    std::vector<std::string> services() const;
    /// The leaves of a service, ordered by name, draining ones included.
    std::vector<Announcement> replicasOf(std::string_view service) const;
    /// All leaves, draining ones included, ordered by name.
    std::vector<Announcement> leaves() const;
    /// The leaves of an availability zone, draining ones included, ordered by name.
    std::vector<Announcement> leavesIn(std::string_view zone) const;
    /// The newest announcement of a leaf; nothing when the leaf is unknown.
    std::optional<Announcement> leaf(std::string_view name) const;
    std::size_t leafCount() const { return m_entries.size(); }
    /// Number of departures remembered of leaves that are not listed.
    std::size_t departureCount() const { return m_departures.size(); }
    /// A hash that is equal on daemons that hold equal leaves. Sequences and registrars are not part of it, because
    /// renewals are not published. The remaining warm-up time is, so the hashes may differ while a leaf warms up.
    std::uint64_t contentHash() const;

    /// Encodes the whole directory with the remembered departures, for importAll() at a starting daemon.
    std::string exportAll(TimePoint now) const;
    /// Merges the result of exportAll() of another daemon. Entries that this build refuses are left out. Throws Error
    /// (BadRequest) when the bytes are malformed.
    Output importAll(std::string_view bytes, TimePoint now);

private:
    struct Entry {
        LeafState state;
        std::string registrar;
        std::optional<TimePoint> lastRenewal;        // last direct announcement to this daemon
        std::uint32_t consecutiveRenewals = 0;       // direct announcements without a gap in their sequence
        std::optional<TimePoint> registrarLostSince; // since when the leaf has no live registrar
        LeafPhase confirmed = LeafPhase::Ready;      // the last notice that the peers have confirmed to this daemon
        TimePoint coldUntil;                         // end of the warm-up, as the instances know it
    };
    struct Departure { // of a leaf that is not listed
        std::uint64_t boot = 0;
        LeafPhase phase = LeafPhase::Gone;
        TimePoint removedAt;
    };
    struct Repair { // a departure that gossip holds as an earlier phase
        LeafState overwrittenBy;
        TimePoint due;
    };
    using Entries = std::map<std::string, Entry, std::less<>>;

    bool hasRecentRenewal(const Entry&, TimePoint now) const;
    bool isDeparted(const Announcement&) const;
    void publish(Entry&, Output&);
    static void publishRemoval(const std::string& leaf, Output&);
    void publishNotice(Entry&, Output&);
    void applyRecord(LeafRecord record, TimePoint now, Output&);
    void applyDeparture(const LeafDeparture&, TimePoint now, Output&);
    void setRegistrar(Entry&, std::string registrar, TimePoint now);
    Entries::iterator erase(Entries::iterator, TimePoint now, Output&);
    static bool extendsWarmup(Entry&, const Announcement&, TimePoint now);
    bool isAddressTakenOver(const Announcement&) const;
    void removeEarlierLeavesAt(const Announcement&, TimePoint now, Output&);
    void scheduleRepair(const LeafState& overwrittenBy, TimePoint now);
    void repair(TimePoint now, Output&);
    void expireDepartures(TimePoint now);

    std::string m_self;
    milliseconds m_timeout;
    Entries m_entries;
    std::map<std::string, Departure, std::less<>> m_departures;
    TimePoint m_departuresCheckedAt {};
    std::map<std::string, Repair, std::less<>> m_repairs; // for a few steps at most
    std::set<std::string, std::less<>> m_liveRegistrars;
    bool m_registrarsKnown = false; // whether m_liveRegistrars has been set
};

} // namespace citronplank
