#include "daemon/LeaseService.h"

#include <algorithm>

namespace citronplank {

LeaseService::LeaseService(ZoneLeaseSettings settings, Sender send)
    : m_self(settings.self)
    , m_send(std::move(send))
    , m_lease(LockRank::ZoneLease, std::move(settings))
{
}

void LeaseService::send(const ZoneLease::Output& output)
{
    for (const auto& it : output)
        m_send(it.to, it.message);
}

void LeaseService::tick(TimePoint now)
{
    send(m_lease.with([&](ZoneLease& it) { return it.tick(now); }));
}

void LeaseService::receive(const ZoneMessage& message)
{
    send(m_lease.with([&](ZoneLease& it) { return it.receive(message, Clock::now()); }));
}

void LeaseService::adopt(const ZoneView& view)
{
    send(m_lease.with([&](ZoneLease& it) { return it.adopt(view, Clock::now()); }));
}

void LeaseService::setLiveMembers(std::set<std::string> names)
{
    m_lease.with([&](ZoneLease& it) { it.setLiveMembers(std::move(names)); });
}

void LeaseService::leave()
{
    send(m_lease.with([](ZoneLease& it) { return it.leave(Clock::now()); }));
}

void LeaseService::stop()
{
    send(m_lease.with([](ZoneLease& it) { return it.stop(Clock::now()); }));
}

std::string LeaseService::ownerOf(std::string_view leaf) const
{
    return m_lease.with([&](ZoneLease& it) { return it.ownerOf(leaf); });
}

LeafAllowance LeaseService::allowanceOf(const Announcement& leaf, TimePoint now) const
{
    return m_lease.with([&](ZoneLease& it) {
        return LeafAllowance { it.allowedLimit(leaf.leaf, leaf.slots, now), it.usableUntil(now) };
    });
}

LeaseMode LeaseService::mode() const
{
    return m_lease.with([](ZoneLease& it) { return it.mode(Clock::now()); });
}

ZoneView LeaseService::view() const
{
    return m_lease.with([](ZoneLease& it) { return it.view(); });
}

bool LeaseService::isMember() const
{
    auto members = view().members;
    return std::find(members.begin(), members.end(), m_self) != members.end();
}

} // namespace citronplank
