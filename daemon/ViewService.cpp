#include "daemon/ViewService.h"

#include <utility>

namespace citronplank {

ViewService::ViewService(ControlService& control, Sender send)
    : m_control(control)
    , m_send(std::move(send))
{
}

void ViewService::receive(const ZoneMessage& message)
{
    m_control.confirmLeadership([this, message](bool confirmed) {
        if (confirmed && m_coordinator.isLeader())
            perform(m_coordinator.receive(message, Clock::now()));
    });
}

void ViewService::onViews(const std::vector<ZoneView>& views)
{
    for (const auto& it : views) {
        auto& known = m_known[it.zone];
        if (it.number <= known)
            continue;
        known = it.number;
        if (m_coordinator.isLeader())
            m_coordinator.onViewCommitted(it, Clock::now());
    }
}

void ViewService::tick()
{
    if (!m_control.isLeader()) {
        if (m_coordinator.isLeader())
            m_coordinator.resign();
        return;
    }
    if (m_coordinator.isLeader()) {
        perform(m_coordinator.tick(Clock::now()));
        return;
    }
    // A confirmed round means that an entry of the own term is committed, so the views are complete.
    if (std::exchange(m_isConfirming, true))
        return;
    m_control.confirmLeadership([this](bool confirmed) {
        m_isConfirming = false;
        if (!confirmed)
            return;
        std::vector<ZoneView> views;
        for (const auto& [zone, view] : m_control.state().views())
            views.push_back(view);
        m_coordinator.becomeLeader(views, Clock::now());
    });
}

void ViewService::perform(const ViewCoordinator::Output& output)
{
    for (const auto& it : output.answers)
        m_send(it.to, it.message);
    for (const auto& it : output.proposals)
        m_control.propose(ChangeView { it.zone, it.expected, it.members }, [](const LocalAnswer&) {});
}

} // namespace citronplank
