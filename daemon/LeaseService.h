// Member side of the zone lease: renews this daemon's lease and derives the limits of the leaf gates from it.
#pragma once

#include "coordination/ZoneLease.h"
#include "daemon/OrderedMutex.h"
#include "query/LeafGates.h"

#include <functional>

namespace citronplank {

/// Every method is thread safe; rank LockRank::ZoneLease.
class LeaseService {
public:
    /// Sends a message to a member, or to the control leader if the name is empty. Thread safe.
    using Sender = std::function<void(const std::string& member, const ZoneMessage&)>;

    LeaseService(ZoneLeaseSettings, Sender);

    /// Must be called about every 50 ms.
    void tick(TimePoint now);
    /// Handles an answer of the control leader or a message of another member of the zone.
    void receive(const ZoneMessage&);
    /// Adopts a view from the control state. Views of other zones and older ones are ignored.
    void adopt(const ZoneView&);
    void setLiveMembers(std::set<std::string> names);
    /// Requests the removal of this daemon from the view. Leaves are still served while the lease is valid.
    void leave();
    /// Ends the lease for the rest of this incarnation: no more requests are sent to leaves. Precondition: all running
    /// requests have ended.
    void stop();

    /// Owner of a leaf of this daemon's zone; empty if unknown.
    std::string ownerOf(std::string_view leaf) const;
    /// How many parts this daemon may have in flight to a leaf of its zone, and until when.
    LeafAllowance allowanceOf(const Announcement&, TimePoint now) const;
    LeaseMode mode() const;
    ZoneView view() const;
    /// Whether the current view contains this daemon.
    bool isMember() const;

private:
    void send(const ZoneLease::Output&);

    std::string m_self;
    Sender m_send;
    mutable Guarded<ZoneLease> m_lease;
};

} // namespace citronplank
