#include "backend/AnnouncementCodec.h"
#include "daemon/DaemonImpl.h"

namespace citronplank {

/// Brings the gates in line with the directory and the lease. A gate that is not renewed closes by itself when the
/// lease ends, so a daemon that was frozen starts nothing on an outdated view.
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
            keepConnections(leaf, allowance.limit);
        }
    }
    for (const auto& leaf : m_gatedLeaves) {
        if (!current.contains(leaf)) {
            m_parts->removeLeaf(leaf);
            m_ownedLeaves.erase(leaf);
        }
    }
    m_gatedLeaves = std::move(current);
}

/// An owner connects before a part needs it, since a connection costs several milliseconds, and opens a new one for
/// each that a cancel has closed: a part that waits for its connection is hedged, and the cancel of the loser closes
/// the next one. A former owner closes its connections, since the leaf accepts only so many.
void Daemon::Impl::keepConnections(const Announcement& leaf, std::uint32_t limit)
{
    bool isOwned = limit > 0;
    auto [it, isNew] = m_ownedLeaves.try_emplace(leaf.leaf, false);
    if (isOwned)
        m_leafClient->warm(leaf.leaf, leaf.address, std::min(leaf.slots + spareConnections, leaf.connections));
    else if (it->second)
        m_leafClient->forget(leaf.leaf);
    it->second = isOwned;
}

/// The owner of a leaf by the newest view of its zone; before the first view by the zone's live instances.
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
