// The member side of the zone lease: whether this daemon may send to the leaves of its zone, and how much.
//
// A member sends under the view it has adopted while it holds a lease from the control leader, or grants from all other
// members of the view. For a leaf that it did not own in the previous view it has to wait until the previous view is
// settled, which means that none of its members can still send under it:
//   - the leader says so in a lease answer, or
//   - all members of the previous view have adopted this one, or
//   - one of them has, and `leaseWithMargin` has passed since this daemon learned of it.
// The leader changes a view only when the view is settled, so only the previous one matters.
//
// A daemon that has restarted gives no grants and sends nothing under a view until the leader has answered it once. It
// may have adopted a newer view in its earlier run and may have got an outdated one from another daemon since.
#pragma once

#include "coordination/ZoneLeaseMessages.h"

namespace citronplank {

enum class LeaseMode : std::uint8_t {
    None,        // may not send
    Provisional, // at most 1 to a leaf that it newly owns, or without a view
    Isolated,    // the other members' grants instead of the leader's lease
    Confirmed,   // the leader's lease, and the previous view is settled
};
std::string_view leaseModeName(LeaseMode); // "none", "provisional", "isolated", "confirmed"

struct ZoneLeaseSettings {
    std::string zone;
    std::string self;      // member name of this daemon
    std::uint64_t run = 0; // incarnation of this daemon; differs after each restart
    /// A daemon that has no view, and whose live zone members have none either, sends at most 1 to a leaf.
    bool sendsWithoutView = true;
    seconds waitWithoutView { 5 }; // before it does so
};

/// Core; callers serialize calls.
class ZoneLease {
public:
    struct Outgoing {
        std::string to; // member name; empty for the control leader
        ZoneMessage message;
    };
    using Output = std::vector<Outgoing>;

    /// Throws Error (BadRequest) without a zone and a name.
    explicit ZoneLease(ZoneLeaseSettings);

    /// Sends requests that are due. Call every 50 ms or so.
    Output tick(TimePoint now);
    /// Handles an answer of the leader or a message of another member; others are ignored.
    Output receive(const ZoneMessage&, TimePoint now);
    /// The control state has a view of this zone. Views of other zones and older ones are ignored.
    Output adopt(const ZoneView&, TimePoint now);
    /// The daemons of the zone that gossip reports as alive, this one included or not.
    void setLiveMembers(std::set<std::string> names);

    /// Asks for the removal of this daemon from the view. It still sends while its lease lasts.
    Output leave(TimePoint now);
    /// This daemon sends nothing any more in this run; all running requests have ended.
    Output stop(TimePoint now);

    LeaseMode mode(TimePoint now) const;
    /// Whether the previous view can no longer be in use. Precondition: a view is adopted.
    bool isPreviousViewRetired(TimePoint now) const;
    /// The member that owns a leaf of this zone; empty when no owner is known.
    std::string ownerOf(std::string_view leaf) const;
    /// How many parts this daemon may have in flight at a leaf of its zone; 0 when it is not the owner. Check it at
    /// each dispatch, because it falls to 0 when the lease ends.
    std::uint32_t allowedLimit(std::string_view leaf, std::uint32_t leafSlots, TimePoint now) const;
    /// The adopted view; number 0 when none is known.
    const ZoneView& view() const { return m_view; }
    bool hasLease(TimePoint now) const { return m_leaseEnds && now < *m_leaseEnds; }
    bool hasAllGrants(TimePoint now) const;
    /// Until when `allowedLimit` stands if nothing more arrives: the end of the lease or of the first grant.
    TimePoint usableUntil(TimePoint now) const;

private:
    void start(TimePoint now);
    bool isMember() const;
    bool mayUseView(TimePoint now) const { return hasLease(now) || hasAllGrants(now); }
    bool maySendWithoutView(TimePoint now) const;
    std::vector<std::string> liveCandidates() const;
    bool wasOwner(std::string_view leaf) const;
    void noteAdopter(const std::string& member, std::uint64_t view, TimePoint now);
    template <typename Request>
    Request request(TimePoint now);
    std::optional<TimePoint> sentAt(std::uint64_t run, std::uint64_t number) const;
    void askLeader(TimePoint now, Output&);
    void askMembers(TimePoint now, Output&);
    void handle(const LeaseAnswer&, TimePoint now, Output&);
    void handle(const GrantRequest&, TimePoint now, Output&);
    void handle(const GrantAnswer&, TimePoint now, Output&);

    ZoneLeaseSettings m_settings;
    ZoneView m_view;
    bool m_leaderAnswered = false; // in this run
    bool m_leaving = false;
    bool m_stopped = false;
    std::optional<TimePoint> m_started;
    std::optional<TimePoint> m_leaseEnds;
    std::map<std::string, TimePoint> m_grantEnds;               // by member, on m_view
    PreviousViewState m_settlement = PreviousViewState::Leased; // as the leader said
    std::set<std::string> m_adopters; // members of m_view.previous that have adopted m_view or a later one
    std::optional<TimePoint> m_firstAdopterKnown;
    std::map<std::uint64_t, TimePoint> m_sent; // requests by number
    std::uint64_t m_nextNumber = 1;
    TimePoint m_nextLeaderRequest {};
    TimePoint m_nextGrantRequest {};
    std::set<std::string> m_live;
    std::map<std::string, TimePoint> m_noViewEither; // when a member said last that it has no view
};

} // namespace citronplank
