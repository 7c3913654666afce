#include "daemon/MembershipService.h"

#include "daemon/Handlers.h"

#include <random>

namespace citronplank {

namespace {

constexpr milliseconds tickInterval { 40 }; // of gossip and of the expiry of leaves

/// Allows bursts above the average budget of 2 KB/s for control traffic. A start or an index rollout changes a hundred
/// leaves at once; with a small burst size their records take over 20 s to spread and delay the freshness notices.
constexpr std::uint32_t gossipBurstBytes = 64 * 1024;

Gossip makeGossip(const Instance& self, std::vector<std::string> seeds, std::optional<milliseconds> rejoinInterval)
{
    std::random_device random;
    GossipSettings settings;
    settings.burstBytes = gossipBurstBytes;
    settings.rejoinInterval = rejoinInterval.value_or(settings.rejoinInterval);
    return GossipBuilder().self(self).seeds(std::move(seeds)).settings(settings).randomSeed(random()).build();
}

} // namespace

MembershipService::MembershipService(asio::io_context& io, const Instance& self, std::vector<std::string> seeds,
    MembershipHandlers handlers, milliseconds leafTimeout, std::optional<milliseconds> rejoinInterval)
    : m_self(self.name)
    , m_handlers(std::move(handlers))
    , m_gossip(LockRank::Members, makeGossip(self, std::move(seeds), rejoinInterval))
    , m_directory(LockRank::Directory, self.name, leafTimeout)
    , m_strand(asio::make_strand(io))
    , m_timer(m_strand)
    , m_socket(io, self.gossipAddress, [this](const std::string& from, std::string_view bytes) {
        postToStrand([this, from, datagram = std::string(bytes)] {
            perform(m_gossip.with([&](Gossip& it) { return it.receive(from, datagram, Clock::now()); }));
        });
    })
{
}

/// Runs `call` on the strand. Input that a state machine rejects is counted and changes nothing.
void MembershipService::postToStrand(std::function<void()> call)
{
    asio::post(m_strand, [this, call = std::move(call)] {
        if (m_stopped)
            return;
        try {
            call();
        } catch (const Error&) {
            ++m_refusedInputs;
        } catch (...) {
            logUnexpectedException("members");
        }
    });
}

void MembershipService::start() { scheduleTick(); }

void MembershipService::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code& ec) {
        if (ec || m_stopped)
            return;
        callGuarded("members", [this] { tick(); });
        scheduleTick();
    });
}

void MembershipService::tick()
{
    auto now = Clock::now();
    perform(m_gossip.with([&](Gossip& it) { return it.tick(now); }));
    perform(m_directory.with([&](LeafDirectory& it) { return it.expire(now); }));
}

void MembershipService::leave()
{
    postToStrand([this] { perform(m_gossip.with([](Gossip& it) { return it.leave(Clock::now()); })); });
}

void MembershipService::stop()
{
    m_stopped = true;
    m_socket.close();
}

void MembershipService::announce(const Announcement& announcement)
{
    postToStrand([this, announcement] {
        perform(m_directory.with([&](LeafDirectory& it) { return it.announce(announcement, Clock::now()); }));
    });
}

void MembershipService::announce(const Announcement& announcement, std::function<void(bool)> done)
{
    postToStrand([this, announcement, done = std::move(done)]() mutable {
        try {
            perform(m_directory.with([&](LeafDirectory& it) { return it.announce(announcement, Clock::now()); }), done);
        } catch (const Error&) {
            ++m_refusedInputs;
            done(false);
        }
    });
}

void MembershipService::depart(std::string leaf, std::function<void(bool)> done)
{
    postToStrand([this, leaf = std::move(leaf), done = std::move(done)]() mutable {
        perform(m_directory.with([&](LeafDirectory& it) { return it.depart(leaf, Clock::now()); }), std::move(done));
    });
}

void MembershipService::applyItems(std::vector<DirectoryItem> items, std::function<void()> done)
{
    postToStrand([this, items = std::move(items), done = std::move(done)] {
        for (const auto& it : items)
            perform(m_directory.with([&](LeafDirectory& directory) {
                return directory.applyItem(it.key, it.payload, it.removed, Clock::now());
            }));
        done();
    });
}

void MembershipService::publish(std::string key, std::string payload)
{
    postToStrand([this, key = std::move(key), payload = std::move(payload)] {
        perform(m_gossip.with([&](Gossip& it) { return it.publish(key, payload, Clock::now()); }));
    });
}

void MembershipService::removeItem(std::string key)
{
    postToStrand([this, key = std::move(key)] {
        perform(m_gossip.with([&](Gossip& it) { return it.remove(key, Clock::now()); }));
    });
}

void MembershipService::setSeeds(std::vector<std::string> seeds)
{
    postToStrand([this, seeds = std::move(seeds)] { m_gossip.with([&](Gossip& it) { it.setSeeds(seeds); }); });
}

std::vector<GossipItem> MembershipService::items()
{
    return m_gossip.with([](Gossip& it) { return it.items(); });
}

void MembershipService::perform(const Gossip::Output& output)
{
    for (const auto& it : output.datagrams)
        m_socket.send(it.address, it.bytes);
    auto now = Clock::now();
    for (const auto& it : output.changedItems) {
        if (std::string_view(it.key).starts_with(leafKeyPrefix))
            perform(m_directory.with(
                [&](LeafDirectory& directory) { return directory.applyItem(it.key, it.payload, it.removed, now); }));
        else
            m_handlers.itemChanged(it);
    }
    if (output.memberEvents.empty())
        return;
    std::set<std::string, std::less<>> live { m_self };
    for (const auto& it : livePeers())
        live.insert(it.name);
    perform(m_directory.with([&](LeafDirectory& directory) { return directory.setLiveRegistrars(live, now); }));
    m_handlers.membersChanged();
}

void MembershipService::perform(const LeafDirectory::Output& output, std::function<void(bool)> done)
{
    if (output.changed)
        ++m_directoryVersion;
    for (const auto& it : output.items) {
        if (it.removed)
            removeItem(it.key);
        else
            publish(it.key, it.payload);
    }
    if (output.changed)
        m_handlers.directoryChanged();
    if (output.notice)
        done = [this, notice = *output.notice, done = std::move(done)](bool confirmed) {
            if (confirmed)
                m_directory.with([&](LeafDirectory& it) { it.confirm(notice); });
            if (done)
                done(confirmed);
        };
    if (m_handlers.broadcast && !output.items.empty())
        m_handlers.broadcast(output.items, std::move(done));
    else if (done)
        done(true);
}

std::vector<Member> MembershipService::members() const
{
    return m_gossip.with([](Gossip& it) { return it.members(); });
}

std::vector<Instance> MembershipService::livePeers() const
{
    return m_gossip.with([](Gossip& it) { return it.livePeers(); });
}

std::set<std::string> MembershipService::liveNamesIn(std::string_view zone) const
{
    std::set<std::string> names;
    for (const auto& it : members()) {
        if (it.instance.zone == zone && (it.status == MemberStatus::Alive || it.status == MemberStatus::Suspect))
            names.insert(it.instance.name);
    }
    return names;
}

bool MembershipService::isLive(std::string_view name) const
{
    auto status = m_gossip.with([&](Gossip& it) { return it.statusOf(name); });
    return status == MemberStatus::Alive || status == MemberStatus::Suspect;
}

std::optional<Instance> MembershipService::instanceOf(std::string_view name) const
{
    return m_gossip.with([&](Gossip& it) { return it.instanceOf(name); });
}

std::vector<std::string> MembershipService::services() const
{
    return m_directory.with([](LeafDirectory& it) { return it.services(); });
}

std::vector<Announcement> MembershipService::replicasOf(std::string_view service) const
{
    return m_directory.with([&](LeafDirectory& it) { return it.replicasOf(service); });
}

std::vector<Announcement> MembershipService::leavesIn(std::string_view zone) const
{
    return m_directory.with([&](LeafDirectory& it) { return it.leavesIn(zone); });
}

std::vector<Announcement> MembershipService::leaves() const
{
    return m_directory.with([](LeafDirectory& it) { return it.leaves(); });
}

std::uint64_t MembershipService::directoryHash() const
{
    return m_directory.with([](LeafDirectory& it) { return it.contentHash(); });
}

std::string MembershipService::exportDirectory() const
{
    return m_directory.with([](LeafDirectory& it) { return it.exportAll(Clock::now()); });
}

void MembershipService::importDirectory(std::string bytes, std::function<void()> done)
{
    postToStrand([this, bytes = std::move(bytes), done = std::move(done)] {
        perform(m_directory.with([&](LeafDirectory& it) { return it.importAll(bytes, Clock::now()); }));
        done();
    });
}

std::string MembershipService::exportMembers() const
{
    return m_gossip.with([](Gossip& it) { return it.exportMembers(); });
}

std::string MembershipService::exportSelf() const
{
    return m_gossip.with([](Gossip& it) { return it.exportSelf(); });
}

void MembershipService::importMembers(std::string bytes, bool disseminate)
{
    postToStrand([this, bytes = std::move(bytes), disseminate] {
        perform(m_gossip.with([&](Gossip& it) { return it.importRecords(bytes, Clock::now(), disseminate); }));
    });
}

GossipCounters MembershipService::counters() const
{
    return m_gossip.with([](Gossip& it) { return it.counters(); });
}

} // namespace citronplank
