// The leaves that exist, as announced by themselves to any daemon and spread by gossip.
//
// The daemon that received a leaf's announcements directly and published it is the leaf's registrar. Renewals are not
// published; the registrar expires the leaf after `announcementTimeout` without one and publishes the removal. Other
// daemons expire a leaf `announcementTimeout` after they lost its registrar, unless another registrar takes over.
//
// A daemon that receives renewals of a leaf with a live registrar elsewhere remembers them without publishing, so that
// a leaf which announces through a load balancer does not cause an update at every renewal. It takes over when it got
// three renewals in a row, when the registrar is lost, or when the registrar removes the leaf.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// A change to be handed to Gossip::publish, or to Gossip::remove when `removed`.
struct DirectoryItem {
    std::string key;
    std::string payload;
    bool removed = false;
};

constexpr std::string_view leafKeyPrefix = "leaf/";

/// Core; callers serialize calls.
class LeafDirectory {
public:
    struct Output {
        std::vector<DirectoryItem> items; // to publish by gossip
        bool changed = false;             // the content differs from before the call
    };

    /// `self` is the name of this daemon as a member.
    /// `lapse` is the time without a renewal after which a leaf is gone.
    explicit LeafDirectory(std::string self, milliseconds lapse = announcementTimeout);

    /// A leaf announced itself to this daemon. An announcement older than the one held is ignored. Throws Error
    /// (BadRequest) when a name, the address, or a shard is invalid.
    Output announce(const Announcement&, TimePoint now);
    /// A leaf said that it leaves now. It counts as draining until its announcement lapses. Unknown names are ignored.
    Output depart(std::string_view leaf, TimePoint now);
    /// An item with a key that starts with leafKeyPrefix arrived by gossip. Malformed payloads are ignored.
    Output applyItem(std::string_view key, std::string_view payload, bool removed, TimePoint now);
    /// Names the daemons that are alive, this one included or not. Call at every change of membership.
    Output setLiveRegistrars(const std::set<std::string, std::less<>>& names, TimePoint now);
    /// Removes what is due. Call every 100 ms or so.
    Output expire(TimePoint now);

    /// Names of the services with at least one leaf, ordered.
    std::vector<std::string> services() const;
    /// The leaves of a service, ordered by name, draining ones included.
    std::vector<Announcement> replicasOf(std::string_view service) const;
    std::optional<Announcement> leaf(std::string_view name) const;
    std::size_t leafCount() const { return m_entries.size(); }
    /// Equal on daemons with equal leaves. Sequences and registrars do not count, because renewals are not published.
    std::uint64_t contentHash() const;

    /// The whole directory, for a starting daemon.
    std::string exportAll() const;
    /// Takes over another daemon's exportAll(); newer entries already held are kept. Throws Error (BadRequest) when the
    /// bytes are malformed.
    Output importAll(std::string_view bytes, TimePoint now);

private:
    struct Entry {
        Announcement announcement; // the newest known by boot and sequence
        std::string registrar;
        std::optional<TimePoint> renewed;       // last direct announcement to this daemon
        std::uint32_t renewalsInRow = 0;        // direct announcements without a gap in their sequence
        std::optional<TimePoint> registrarLost; // since when the registrar is not alive
    };
    struct Record { // what an item carries
        Announcement announcement;
        std::string registrar;
    };
    using Entries = std::map<std::string, Entry, std::less<>>;

    static std::string encodeRecord(const Announcement&, std::string_view registrar);
    static std::optional<Record> decodeRecord(std::string_view bytes, std::size_t& offset);
    bool hasRenewal(const Entry&, TimePoint now) const;
    void publish(Entry&, Output&);
    void applyRecord(Record, TimePoint now, Output&);
    Entries::iterator erase(Entries::iterator, Output&);
    bool isReplacedAt(const Announcement&) const;
    void forgetReplacedAt(const Announcement&, Output&);

    std::string m_self;
    milliseconds m_lapse;
    Entries m_entries;
    std::set<std::string, std::less<>> m_liveRegistrars;
    bool m_registrarsKnown = false;
};

} // namespace citronplank
