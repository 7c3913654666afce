// The directory of leaves. A leaf announces itself to any daemon, and gossip disseminates it to the others.
//
// The daemon that receives a leaf's announcements directly and has published it is the leaf's registrar. Renewals are
// not published; the registrar removes the leaf after `announcementTimeout` without one and publishes the removal.
// Other daemons remove a leaf `announcementTimeout` after its registrar failed, unless another registrar takes over.
//
// A daemon that receives renewals of a leaf with another live registrar records them without publishing, so that a leaf
// that announces itself through a load balancer does not cause an update at every renewal. It takes over as registrar
// after three consecutive renewals, when the registrar has failed, or when the registrar removes the leaf.
#pragma once

#include "citronplank.h"

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
    struct Output {
        std::vector<DirectoryItem> items; // to publish by gossip
        bool changed = false;             // the leaves or their announced content changed during the call
    };

    /// `self` is the member name of this daemon, `timeout` the time without a renewal after which a leaf is removed.
    explicit LeafDirectory(std::string self, milliseconds timeout = announcementTimeout);

    /// Handles an announcement that a leaf sent to this daemon. It is ignored when it is older than the one held, or
    /// when a leaf that started later has announced the same address. Leaves that started earlier at the same address
    /// are removed. Throws Error (BadRequest) when a name or the
    /// address is empty, there are no slots, a shard is outside its layout, or the announcement is too long for a
    /// gossip item.
    Output announce(const Announcement&, TimePoint now);
    /// Handles the notice of a leaf that it is stopping. The leaf counts as draining and is removed at the timeout.
    /// Unknown names are ignored.
    Output depart(std::string_view leaf, TimePoint now);
    /// Applies an item received by gossip. Ignored are keys without leafKeyPrefix, malformed payloads and payloads of
    /// another leaf than the key names.
    Output applyItem(std::string_view key, std::string_view payload, bool removed, TimePoint now);
    /// Sets the names of the live daemons, with or without this one. Call at every change of membership.
    Output setLiveRegistrars(const std::set<std::string, std::less<>>& names, TimePoint now);
    /// Removes expired leaves. Call every 100 ms or so.
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
    /// A hash that is equal on daemons that hold equal leaves. Sequences and registrars are not part of it, because
    /// renewals are not published. The remaining warm-up time is, so the hashes may differ while a leaf warms up.
    std::uint64_t contentHash() const;

    /// Encodes the whole directory, for importAll() at a starting daemon.
    std::string exportAll() const;
    /// Imports the result of exportAll() of another daemon; newer announcements already held are kept. Records that
    /// this build refuses are left out. Throws Error (BadRequest) when the bytes are malformed.
    Output importAll(std::string_view bytes, TimePoint now);

private:
    struct Entry {
        Announcement announcement; // the newest known by boot and sequence
        std::string registrar;
        std::optional<TimePoint> lastRenewal;        // last direct announcement to this daemon
        std::uint32_t consecutiveRenewals = 0;       // direct announcements without a gap in their sequence
        std::optional<TimePoint> registrarLostSince; // since when the leaf has no live registrar
    };
    struct Record { // the payload of an item
        Announcement announcement;
        std::string registrar;
    };
    using Entries = std::map<std::string, Entry, std::less<>>;

    static std::string encodeRecord(const Announcement&, std::string_view registrar);
    static std::optional<Record> decodeRecord(std::string_view bytes, std::size_t& offset);
    bool hasRecentRenewal(const Entry&, TimePoint now) const;
    void publish(Entry&, Output&);
    void applyRecord(Record, TimePoint now, Output&);
    Entries::iterator erase(Entries::iterator, Output&);
    bool isAddressTakenOver(const Announcement&) const;
    void removeEarlierLeavesAt(const Announcement&, Output&);

    std::string m_self;
    milliseconds m_timeout;
    Entries m_entries;
    std::set<std::string, std::less<>> m_liveRegistrars;
    bool m_registrarsKnown = false; // whether m_liveRegistrars has been set
};

} // namespace citronplank
