// The leader side of the zone lease: answers the members' requests and decides on changes of the zone views.
//
// A view is changed only when the view before it is retired, which means that none of its members can still send under
// it. So a member has to know about one previous view only, and a new leader needs the committed views only. An
// unresponsive member is removed `leaseWithMargin` after its last request; a new leader counts from its election,
// because the previous leader may have granted leases until then.
#pragma once

#include "coordination/ZoneLeaseMessages.h"

namespace citronplank {

/// The command ChangeView: replace view `expected` of the zone by one with these members.
struct ViewProposal {
    std::string zone;
    std::uint64_t expected = 0;       // number of the view to replace; 0 for the first one of the zone
    std::vector<std::string> members; // sorted
};

/// State machine without I/O. Not thread safe: callers serialize all calls to one object. All functions but
/// becomeLeader() do nothing while this daemon is not the control leader.
class ViewCoordinator {
public:
    struct Outgoing {
        std::string to; // member name
        ZoneMessage message;
    };
    struct Output {
        std::vector<Outgoing> answers;
        std::vector<ViewProposal> proposals; // to append to the control log
    };

    /// This daemon has become the control leader. Precondition: it has applied a log entry of its own term, and `views`
    /// are the committed views at that point.
    void becomeLeader(std::span<const ZoneView> views, TimePoint now);
    /// This daemon is no longer the control leader. Forgets everything about the zones.
    void resign();
    bool isLeader() const { return m_leaderSince.has_value(); }

    /// Applies a view that was committed. Ignored unless it is newer than the view held.
    void onViewCommitted(const ZoneView&, TimePoint now);
    /// Handles a request of a member. Precondition: a quorum has confirmed the leadership after the request arrived.
    Output receive(const ZoneMessage&, TimePoint now);
    /// Proposes changes that are due. Call every 100 ms or so.
    Output tick(TimePoint now);

    /// What is known about the previous view of a zone. Leased, the safe assumption, for an unknown zone.
    PreviousViewState previousViewState(std::string_view zone, TimePoint now) const;

private:
    struct Joiner { // a daemon that has asked to become a member
        TimePoint firstRequest;
        TimePoint lastRequest;
    };
    struct Zone {
        ZoneView view;
        TimePoint knownSince {};                           // when this leader learned of the view
        std::map<std::string, TimePoint> lastLease;        // when this leader last granted one to the member
        std::map<std::string, TimePoint> lastHeard;        // last request of the member
        std::map<std::string, std::uint64_t> incarnations; // the latest one known of each member
        std::map<std::string, Joiner> joining;
        std::map<std::string, std::uint64_t> leaving; // incarnation that asked to be removed, by member
        std::map<std::string, std::uint64_t> stopped; // incarnation that has stopped sending, by member
        std::set<std::string> adopters;               // members of view.previous that have adopted view
        std::optional<TimePoint> firstAdoption;       // when this leader learned of the first of them
        std::optional<TimePoint> lastContact;         // with any member of view.previous
        std::optional<ViewProposal> pendingProposal;  // not committed yet
        TimePoint pendingSince {};
        bool isPreviousViewRetired = false; // stays true until the view changes
    };

    Zone& zoneOf(const std::string& name, TimePoint now);
    void recordContact(Zone&, const ZoneRequest&, TimePoint now) const;
    bool isPreviousViewRetired(const Zone&, TimePoint now) const;
    bool isPreviousViewUnleased(const Zone&, TimePoint now) const;
    PreviousViewState previousViewState(const Zone&, TimePoint now) const;
    bool isUnresponsive(const Zone&, const std::string& member, TimePoint now) const;
    bool isBeingRemoved(const Zone&, const std::string& member) const;
    static bool wasAnyHeardFromSince(const Zone&, const std::set<std::string>& members, TimePoint since);
    std::vector<std::string> nextMembers(const Zone&, TimePoint now) const;
    void propose(Zone&, TimePoint now, Output&) const;
    LeaseAnswer answerTo(const Zone&, const ZoneRequest&, bool granted, TimePoint now) const;
    void handle(Zone&, const LeaseRequest&, TimePoint now, Output&);
    void handle(Zone&, const ViewJoin&, TimePoint now, Output&);
    void handle(Zone&, const ViewLeave&, TimePoint now, Output&);

    std::optional<TimePoint> m_leaderSince;
    std::map<std::string, Zone, std::less<>> m_zones;
};

} // namespace citronplank
