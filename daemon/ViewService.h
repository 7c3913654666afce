// Leader side of the zone lease: answers leases once a quorum confirmed the leadership, and proposes view changes.
#pragma once

#include "coordination/ViewCoordinator.h"
#include "daemon/ControlService.h"

namespace citronplank {

/// All methods but the constructor and `receive` run on the control thread, which serializes access to the keeper.
class ViewService {
public:
    using Sender = std::function<void(const std::string& member, const ZoneMessage&)>;

    /// Precondition: `control` outlives this object; `send` is thread safe.
    ViewService(ControlService& control, Sender send);

    /// A member's request arrived. Thread safe.
    void receive(const ZoneMessage&);
    /// Notes the committed views. Precondition: control thread.
    void onViews(const std::vector<ZoneView>&);
    /// Follows the leadership and proposes due changes. Precondition: control thread.
    void tick();

private:
    void perform(const ViewCoordinator::Output&);

    ControlService& m_control;
    Sender m_send;
    ViewCoordinator m_coordinator;
    bool m_isConfirming = false;                  // a quorum round for becoming leader is under way
    std::map<std::string, std::uint64_t> m_known; // view numbers by zone
};

} // namespace citronplank
