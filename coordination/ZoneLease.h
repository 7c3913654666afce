// The member side of the zone lease: whether this daemon may send to the leaves of its zone, and how many parts at
// once.
//
// A member sends under the view it has adopted while it holds a lease from the control leader, or grants from all other
// members of the view. For a leaf that it did not own in the previous view it has to wait until the previous view is
// retired, which means that none of its members can still send under it:
//   - the leader says so in a lease answer, or
//   - all members of the previous view have adopted this one, or
//   - one of them has, and `leaseWithMargin` has passed since this daemon learned of it.
// The leader changes a view only when the view before it is retired, so only the previous one matters.
//
// A daemon that has restarted gives no grants and sends nothing under a view until the leader has answered it once. It
// may have adopted a newer view before the restart and have received an outdated one from another daemon since.
#pragma once

#include "coordination/ZoneLeaseMessages.h"

namespace citronplank {

/// On what basis a member may send.
enum class LeaseMode : std::uint8_t {
    None,        // may not send
    Provisional, // at most 1 part in flight to each newly owned leaf, or to each leaf while no view is known
    Isolated,    // grants of all other members instead of the leader's lease; the previous view is retired
    Confirmed,   // the leader's lease, and the previous view is retired
};
std::string_view leaseModeName(LeaseMode); // "none", "provisional", "isolated", "confirmed"

struct ZoneLeaseSettings {
    std::string zone;
    std::string self; // member name of this daemon
    /// Of this daemon; has to be higher after each restart, because the leader ignores requests of a lower one.
    std::uint64_t incarnation = 0;
    /// A daemon without a view, whose live zone members have none either, has at most 1 part in flight to a leaf.
    bool sendsWithoutView = true;
    seconds waitWithoutView { 5 }; // after the start, before it sends without a view
};

/// State machine without I/O. Not thread safe: callers serialize all calls to one object.
class ZoneLease {
public:
    struct Outgoing {
        std::string to; // member name; empty for the control leader
        ZoneMessage message;
    };
    using Output = std::vector<Outgoing>;

    /// Throws Error (BadRequest) if the zone or the name is empty.
    explicit ZoneLease(ZoneLeaseSettings);

    /// Sends requests that are due. Call every 50 ms or so.
    Output tick(TimePoint now);
    /// Handles an answer of the leader or a message of another member; others are ignored.
    Output receive(const ZoneMessage&, TimePoint now);
    /// Adopts a view from the control state. Views of other zones and older ones are ignored.
    Output adopt(const ZoneView&, TimePoint now);
    /// Sets the daemons of the zone that gossip reports as alive, with or without this one.
    void setLiveMembers(std::set<std::string> names);

    /// Asks the leader to remove this daemon from the view, and repeats that in tick(). The daemon may still send while
    /// its lease lasts.
    Output leave(TimePoint now);
    /// Stops sending until the next restart. Precondition: all running requests have ended.
    Output stop(TimePoint now);

    /// What allowedLimit() is based on, for the status of this daemon.
    LeaseMode mode(TimePoint now) const;
    /// Whether no member can still send under the previous view. Precondition: a view is adopted.
    bool isPreviousViewRetired(TimePoint now) const;
    /// The member that owns a leaf of this zone; empty when no owner is known.
    std::string ownerOf(std::string_view leaf) const;
    /// How many parts this daemon may have in flight to a leaf of its zone; 0 when it is not the owner. `leafSlots` is
    /// how many parts the leaf runs concurrently. Check the limit at each dispatch, because it drops to 0 when the
    /// lease ends.
    std::uint32_t allowedLimit(std::string_view leaf, std::uint32_t leafSlots, TimePoint now) const;
    /// The adopted view; number 0 when none is known.
    const ZoneView& view() const { return m_view; }
    bool hasLease(TimePoint now) const { return m_leaseEnds && now < *m_leaseEnds; }
    /// Whether this daemon holds grants of all other members of the view. False until the leader has answered it once.
    bool hasAllGrants(TimePoint now) const;
    /// Until when the result of allowedLimit() is valid if no further message arrives: the end of the lease, or the
    /// earliest end of a grant if that is later.
    TimePoint usableUntil(TimePoint now) const;

private:
    void start(TimePoint now);
    bool isMember() const;
    bool mayUseView(TimePoint now) const { return hasLease(now) || hasAllGrants(now); }
    bool maySendWithoutView(TimePoint now) const;
    std::vector<std::string> liveCandidates() const;
    bool wasOwner(std::string_view leaf) const;
    void recordAdopter(const std::string& member, std::uint64_t view, TimePoint now);
    template <typename Request>
    Request request(TimePoint now);
    std::optional<TimePoint> sentAt(std::uint64_t incarnation, std::uint64_t number) const;
    void askLeader(TimePoint now, Output&);
    void askMembers(TimePoint now, Output&);
    void handle(const LeaseAnswer&, TimePoint now, Output&);
    void handle(const GrantRequest&, TimePoint now, Output&);
    void handle(const GrantAnswer&, TimePoint now, Output&);

    ZoneLeaseSettings m_settings;
    ZoneView m_view;
    bool m_leaderAnswered = false; // since this daemon started
    bool m_leaving = false;
    bool m_stopped = false;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_leaseEnds;
    std::map<std::string, TimePoint> m_grantEnds;                      // by granting member, for m_view
    PreviousViewState m_previousViewState = PreviousViewState::Leased; // as reported by the leader
    std::set<std::string> m_adopters; // members of m_view.previous that have adopted m_view or a later one
    std::optional<TimePoint> m_firstAdopterLearnedAt;   // when the first entry of m_adopters was added
    std::map<std::uint64_t, TimePoint> m_requestSentAt; // by number of the request
    std::uint64_t m_nextNumber = 1;
    TimePoint m_nextLeaderRequest {};
    TimePoint m_nextGrantRequest {};
    std::set<std::string> m_liveMembers;
    std::map<std::string, TimePoint> m_membersWithoutView; // when each member last reported that it has no view
};

} // namespace citronplank
