// Leader side of the zone lease: answers lease requests after a quorum has confirmed the leadership, and proposes view
// changes.
#pragma once

#include "coordination/ViewCoordinator.h"
#include "daemon/ControlService.h"

namespace citronplank {

/// All methods but the constructor and `receive` run on the control thread, which serializes access to the
/// ViewCoordinator.
class ViewService {
public:
    using Sender = std::function<void(const std::string& member, const ZoneMessage&)>;

    /// Precondition: `control` outlives this object; `send` is thread safe.
    ViewService(ControlService& control, Sender send);

    /// Handles a request of a member. Thread safe.
    void receive(const ZoneMessage&);
    /// Records the committed views. Precondition: called on the control thread.
    void onViews(const std::vector<ZoneView>&);
    /// Tracks the leadership and proposes due changes. Precondition: called on the control thread.
    void tick();

private:
    void perform(const ViewCoordinator::Output&);

    ControlService& m_control;
    Sender m_send;
    ViewCoordinator m_coordinator;
    bool m_isConfirming = false;                        // a quorum round that confirms the leadership is in progress
    std::map<std::string, std::uint64_t> m_viewNumbers; // newest committed view by zone
};

} // namespace citronplank
