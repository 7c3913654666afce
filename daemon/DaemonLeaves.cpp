#include "backend/AnnouncementCodec.h"
#include "daemon/DaemonImpl.h"

namespace citronplank {

/// Updates the gates from the directory and the lease. A gate whose allowance is not renewed dispatches nothing after
/// the end of the lease, so a daemon that was paused starts no part on an outdated view.
void Daemon::Impl::syncGates()
{
    auto now = Clock::now();
    auto configuration = m_configuration.current();
    std::set<std::string> current;
    for (const auto& service : m_membership->services()) {
        auto rules = configuration->rules.services.find(service);
        bool isIndependent
            = rules != configuration->rules.services.end() && rules->second.policy == SendPolicy::Independent;
        for (const auto& leaf : m_membership->replicasOf(service)) {
            if (!isIndependent && leaf.zone != m_settings.zone)
                continue;
            current.insert(leaf.leaf);
            m_parts->setLeaf(leaf);
            auto allowance = isIndependent ? LeafAllowance { leaf.slots, now + announcementTimeout }
                                           : m_lease->allowanceOf(leaf, now);
            m_parts->setAllowance(leaf.leaf, allowance);
            updateConnections(leaf, allowance.limit);
        }
    }
    for (const auto& leaf : m_leavesWithGate) {
        if (!current.contains(leaf)) {
            m_parts->removeLeaf(leaf);
            m_ownedLeaves.erase(leaf);
        }
    }
    m_leavesWithGate = std::move(current);
}

/// An owner opens connections before a part needs them, since connecting takes several milliseconds. It also replaces
/// each connection that a cancel has closed: otherwise parts wait for a connection and are hedged, and cancelling the
/// slower attempt closes the next connection. A former owner closes its connections, since the leaf accepts a limited
/// number.
void Daemon::Impl::updateConnections(const Announcement& leaf, std::uint32_t limit)
{
    bool isOwned = limit > 0;
    auto [it, isNew] = m_ownedLeaves.try_emplace(leaf.leaf, false);
    if (isOwned)
        m_leafClient->preconnect(leaf.leaf, leaf.address, std::min(leaf.slots + spareConnections, leaf.connections));
    else if (it->second)
        m_leafClient->closeConnections(leaf.leaf);
    it->second = isOwned;
}

/// Owner of a leaf according to the newest view of its zone, or to the zone's live instances before the first view.
std::string Daemon::Impl::ownerOf(std::string_view zone, std::string_view leaf) const
{
    if (zone == m_settings.zone)
        return m_lease->ownerOf(leaf);
    auto configuration = m_configuration.current();
    if (auto it = configuration->views.find(zone); it != configuration->views.end())
        return rendezvousOwner(leaf, it->second.members);
    auto names = m_membership->liveNamesIn(zone);
    return rendezvousOwner(leaf, std::vector<std::string>(names.begin(), names.end()));
}

HttpResponse Daemon::Impl::onAnnouncement(const std::string& body)
{
    m_membership->announce(parseAnnouncement(body));
    return { .body = "{}" };
}

} // namespace citronplank
