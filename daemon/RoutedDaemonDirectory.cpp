// Changes of the leaf directory that a control member receives: their broadcast to the peers, and the forwarding of
// those that come from another zone.
#include "daemon/RoutedDaemon.h"

#include "daemon/Logging.h"
#include "daemon/ZoneFanout.h"

namespace citronplank {

void RoutedDaemon::announce(Announcement announcement, std::function<void(bool)> done)
{
    if (announcement.draining && !m_hasMemberList)
        return refuseNotice(announcement.leaf, done);
    m_membership->announce(announcement, std::move(done));
}

void RoutedDaemon::depart(std::string leaf, std::function<void(bool)> done)
{
    if (!m_hasMemberList)
        return refuseNotice(leaf, done);
    m_membership->depart(std::move(leaf), std::move(done));
}

/// Answers the notice of a leaf as not confirmed. A confirmation would promise that the entry instances know of the
/// notice, but this instance does not know them all yet.
void RoutedDaemon::refuseNotice(const std::string& leaf, const std::function<void(bool)>& done)
{
    log(LogLevel::Info, "leaves",
        "leaf=" + leaf
            + " is leaving or draining; the notice is not confirmed, because no peer has sent its member list yet");
    done(false);
}

void RoutedDaemon::broadcast(std::vector<DirectoryItem> items, std::function<void(bool)> done)
{
    asio::post(m_broadcastStrand, [this, items = std::move(items), done = std::move(done)]() mutable {
        m_broadcast.add(items, std::move(done));
    });
}

void RoutedDaemon::onBroadcastTimer()
{
    auto now = Clock::now();
    if (!m_broadcast.isIdle()) {
        auto live = m_membership->livePeers();
        m_directoryForwarders.clear();
        for (const auto& it : live) {
            if (it.controlMember && it.zone != m_settings.zone && live.size() > m_settings.maxDirectPeers)
                m_directoryForwarders.insert(it.name);
        }
        auto peers = directoryPeers(m_settings.zone, live, m_settings.maxDirectPeers);
        m_broadcast.onTimer({ peers.begin(), peers.end() }, now);
        m_broadcast.flush(peers, now);
    }
    if (!m_zoneBroadcast.isIdle()) {
        auto entries = ownZoneEntries();
        m_zoneBroadcast.onTimer({ entries.begin(), entries.end() }, now);
    }
    std::erase_if(
        m_forwardedChanges, [&](const auto& it) { return now - it.second.startedAt >= 2 * ItemBroadcast::lifetime; });
}

std::vector<std::string> RoutedDaemon::ownZoneEntries() const
{
    std::vector<std::string> names;
    for (const auto& it : m_membership->livePeers()) {
        if (it.zone == m_settings.zone && !it.controlMember)
            names.push_back(it.name);
    }
    return names;
}

/// Applies changes of the directory and forwards them to the entry instances of this zone. They are acknowledged once
/// these have them; until then the sender repeats them. An instance that does not know its zone's instances yet cannot
/// acknowledge anything.
void RoutedDaemon::onDirectoryForward(const Envelope& envelope)
{
    ForwardedChange change { envelope.sender, envelope.incarnation, envelope.correlation };
    asio::post(m_broadcastStrand, [this, change, items = decodeItems(envelope.body)] {
        auto [it, isNew] = m_forwardedChanges.try_emplace(change, ForwardState { Clock::now(), false });
        if (isNew)
            m_membership->applyItems(items, [this, change, items] {
                asio::post(m_broadcastStrand, [this, change, items] { forwardChange(change, items); });
            });
        else if (it->second.isConfirmed)
            sendTo(std::get<0>(change), MessageKind::DirectoryAck, {}, std::get<2>(change));
    });
}

void RoutedDaemon::forwardChange(const ForwardedChange& change, const std::vector<DirectoryItem>& items)
{
    if (!m_hasMemberList) {
        m_forwardedChanges.erase(change);
        return;
    }
    m_zoneBroadcast.start(items, ownZoneEntries(), Clock::now(), [this, change](bool confirmed) {
        if (!confirmed) {
            m_forwardedChanges.erase(change); // the next repetition starts another attempt
            return;
        }
        m_forwardedChanges[change].isConfirmed = true;
        sendTo(std::get<0>(change), MessageKind::DirectoryAck, {}, std::get<2>(change));
    });
}

} // namespace citronplank
