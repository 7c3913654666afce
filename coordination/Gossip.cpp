#include "coordination/Gossip.h"
#include "coordination/GossipLimits.h"

#include <algorithm>

namespace citronplank {

namespace {

constexpr std::size_t probeReservedBytes = 300;    // budget that pings leave for acks
constexpr std::size_t updateReservedBytes = 1200;  // budget that updates leave, so that anti-entropy can continue
constexpr std::uint32_t sendsAfterSync = 2;        // few: some other members may lack the record too, but most hold it
constexpr std::size_t suspectPings = 6;            // for each suspicion: expected number from the whole group
constexpr std::size_t leaveNoticeReceivers = 4;    // enough for the notice to survive 5% loss; the receivers pass it on
constexpr milliseconds suspicionHoldTime { 1000 }; // for the refutation by a suspect that still sends
constexpr seconds cleanupInterval { 10 };
constexpr milliseconds pauseThreshold { 1000 }; // a gap between ticks this long is a pause of this process

bool isNotAlive(const GossipRecord* record)
{
    return record && record->status != static_cast<std::uint8_t>(MemberStatus::Alive);
}

// Answers to probes may use the whole budget: a member that cannot answer is suspected, which costs the group more.
std::size_t reservedBytesFor(const GossipBody& body)
{
    if (std::holds_alternative<GossipAck>(body) || std::holds_alternative<GossipNack>(body))
        return 0;
    const bool isProbe = std::holds_alternative<GossipPing>(body) || std::holds_alternative<GossipPingRequest>(body);
    return isProbe ? probeReservedBytes : gossipSyncReservedBytes;
}

GossipItem itemFrom(const GossipRecord& record)
{
    return { record.key, record.payload.value_or(""), record.publisher, record.status == itemRemoved };
}

} // namespace

Gossip::Gossip(Instance self, std::vector<std::string> seeds, GossipSettings settings, std::uint64_t randomSeed)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_settings(settings)
    , m_random(randomSeed)
    , m_budgetBytes(settings.burstBytes)
{
    std::erase(m_seeds, m_self.gossipAddress);
    putSelf(MemberStatus::Alive, {});
    updateSendLimit();
}

void Gossip::setSeeds(std::vector<std::string> addresses)
{
    m_seeds = std::move(addresses);
    std::erase(m_seeds, m_self.gossipAddress);
}

// ---- Timers -----------------------------------------------------------------------------------------------------

void Gossip::start(TimePoint now)
{
    m_started = true;
    m_lastTick = now;
    // A random phase spreads the probes of members that start together.
    m_nextPeriod = now + gossipScaled(m_settings.period, std::uniform_real_distribution<>(0, 1)(m_random));
    m_nextSync = now;
    m_nextRejoin = now;
    m_nextCleanup = now + cleanupInterval;
}

Gossip::Output Gossip::tick(TimePoint now)
{
    Output out;
    if (!m_started)
        start(now);
    const auto gap = now - m_lastTick;
    refillBudget(now);
    if (gap >= pauseThreshold)
        handlePause(gap, now);
    m_lastTick = std::max(m_lastTick, now);
    advanceRelayedPings(now, out);
    advanceProbes(now, out);
    expireSuspicions(now, out);
    if (now >= m_nextPeriod)
        runPeriod(now, out);
    if (now >= m_nextCleanup) {
        m_nextCleanup = now + cleanupInterval;
        m_store.dropExpired(now - m_settings.removalLifetime, now - m_settings.orphanedItemLifetime);
    }
    return out;
}

// Acks that arrived while this process was paused are still in the socket buffer, so an expired timer does not show
// that its target failed.
void Gossip::handlePause(Duration gap, TimePoint now)
{
    m_probes.clear();
    m_relayedPings.clear();
    for (auto& [name, it] : m_suspicions)
        it.deadline = std::max(it.deadline + gap, now + suspicionTimeout());
    raiseLocalHealthScore(2);
    m_nextPeriod = now + m_settings.period;
}

void Gossip::refillBudget(TimePoint now)
{
    if (now <= m_lastTick)
        return;
    const double elapsed = std::chrono::duration<double>(now - m_lastTick).count();
    m_budgetBytes = std::min<double>(m_settings.burstBytes, m_budgetBytes + elapsed * m_settings.bytesPerSecond);
}

Duration Gossip::period() const
{
    constexpr double maxFactor = 2;
    auto factor = static_cast<double>(m_alive.size() + 1) / static_cast<double>(m_settings.smallGroupSize);
    return gossipScaled(m_settings.period, std::clamp(factor, 1.0, maxFactor));
}

void Gossip::runPeriod(TimePoint now, Output& out)
{
    m_nextPeriod += period();
    if (m_nextPeriod <= now)
        m_nextPeriod = now + period();
    if (m_left)
        return;
    startProbe(now, out);
    if (now >= m_nextSync)
        sendDigest(now, out);
    if (now >= m_nextRejoin) {
        m_nextRejoin = now + (m_alive.empty() ? Duration(gossipFastSyncInterval) : Duration(m_settings.rejoinInterval));
        rejoin(out);
    }
}

// ---- Messages -------------------------------------------------------------------------------------------------------

Gossip::Output Gossip::receive(std::string_view fromAddress, std::string_view bytes, TimePoint now)
{
    Output out;
    const auto datagram = decodeGossipDatagram(bytes);
    if (!datagram) {
        ++m_counters.malformed;
        return out;
    }
    const Sender sender { datagram->message.from, std::string(fromAddress) };
    if (sender.name == m_self.name)
        return out;
    // When many members join at once, they also synchronize with each other, which takes load off the seeds.
    if (m_joining && m_started && now >= m_nextSync && !m_alive.contains(sender.name)) {
        m_nextSync = now + gossipFastSyncInterval;
        send(sender.address, sender.name, m_store.digest(), out, Piggyback::None);
    }
    // A suspect that still sends is alive; leave time for its refutation to arrive.
    if (const auto it = m_suspicions.find(sender.name); it != m_suspicions.end())
        it->second.deadline = std::max<TimePoint>(it->second.deadline, now + suspicionHoldTime);
    const auto* records = std::get_if<GossipRecords>(&datagram->message.body);
    const bool isSync = records && records->isSync;
    std::optional<std::uint32_t> sendsLeft;
    if (isSync)
        sendsLeft = m_joining ? 0 : sendsAfterSync;
    std::vector<const GossipRecord*> newer;
    for (const auto& record : datagram->records)
        if (const auto* held = accept(record, sendsLeft, now, out))
            newer.push_back(held);
    if (isSync && !newer.empty())
        sendRecords(sender.address, newer, false, out);
    std::visit([&](const auto& body) { handle(body, sender, now, out); }, datagram->message.body);
    m_sendRefutation = false;
    return out;
}

// ---- Records --------------------------------------------------------------------------------------------------------

const GossipRecord* Gossip::accept(
    const GossipRecord& record, std::optional<std::uint32_t> sendsLeft, TimePoint now, Output& out)
{
    if (record.kind == GossipRecordKind::Member && record.key == m_self.name) {
        acceptSelf(record, now);
        return nullptr;
    }
    // A member that was unreachable for a long time must not reintroduce items of a publisher that the group has
    // removed.
    if (record.kind == GossipRecordKind::Item && !m_store.find(GossipRecordKind::Member, record.publisher))
        return nullptr;
    const auto* held = m_store.find(record.kind, record.key);
    const std::optional<GossipRecord> before = held ? std::optional(*held) : std::nullopt;
    const auto result = m_store.merge(record, now, sendsLeft);
    held = m_store.find(record.kind, record.key);
    if (result == GossipStore::MergeResult::Newer)
        processChange(*held, before ? &*before : nullptr, now, out);
    return result == GossipStore::MergeResult::Older ? held : nullptr;
}

void Gossip::acceptSelf(const GossipRecord& record, TimePoint now)
{
    const auto* own = m_store.find(GossipRecordKind::Member, m_self.name);
    // The sender may have missed an earlier refutation.
    m_sendRefutation = m_sendRefutation || isNotAlive(&record);
    if (!record.isNewerThan(*own) || m_left)
        return;
    if (isNotAlive(&record)) {
        ++m_counters.refutations;
        raiseLocalHealthScore(1);
    }
    // The incarnation comes from a clock that may have been set back since the previous start of this instance.
    m_self.incarnation = record.incarnation;
    m_selfSequence = record.sequence + 1;
    putSelf(MemberStatus::Alive, now);
}

void Gossip::processChange(const GossipRecord& record, const GossipRecord* before, TimePoint now, Output& out)
{
    if (record.kind == GossipRecordKind::Item) {
        out.changedItems.push_back(itemFrom(record));
        return;
    }
    const auto instance = instanceOf(record.key);
    if (!instance)
        return;
    const auto status = static_cast<MemberStatus>(record.status);
    if (record.isLive())
        m_alive.insert_or_assign(record.key, *instance);
    else
        m_alive.erase(record.key);
    if (status == MemberStatus::Suspect) {
        m_suspicions.try_emplace(record.key, Suspicion { now + suspicionTimeout() });
        pingSuspect(*instance, out);
    } else {
        m_suspicions.erase(record.key);
    }
    updateSendLimit();
    // The users of this object drop the items of a dead member. No member sends the items again when their publisher
    // returns, so they are reported here.
    if (before && !before->isLive() && record.isLive())
        m_store.forEachItemOf(
            record.key, [&](const GossipRecord& item) { out.changedItems.push_back(itemFrom(item)); });
    const bool isRestart = before && before->incarnation != record.incarnation;
    if (!before || before->status != record.status || isRestart)
        out.memberEvents.push_back({ *instance, status });
}

// A few of the members that learn of a suspicion ping the suspect, so that it can refute in time even if no update
// reaches it.
void Gossip::pingSuspect(const Instance& suspect, Output& out)
{
    if (std::uniform_int_distribution<std::size_t>(0, m_alive.size())(m_random) < suspectPings)
        send(suspect.gossipAddress, suspect.name, GossipPing { m_nextNumber++, suspect.name }, out, Piggyback::None);
}

void Gossip::updateSendLimit()
{
    m_store.setSendLimit(static_cast<std::uint32_t>(
        std::max(3.0, std::ceil(m_settings.sendsPerDoubling * gossipDoublings(m_alive.size() + 1)))));
}

void Gossip::putSelf(MemberStatus status, TimePoint now)
{
    GossipRecord record;
    record.kind = GossipRecordKind::Member;
    record.key = m_self.name;
    record.incarnation = m_self.incarnation;
    record.sequence = m_selfSequence;
    record.status = static_cast<std::uint8_t>(status);
    record.payload = encodeInstance(m_self);
    m_store.put(std::move(record), now);
}

void Gossip::putItem(std::string_view key, std::string_view payload, std::uint8_t status, TimePoint now)
{
    if (key.empty() || key.size() + payload.size() > maxItemBytes)
        throw Error(ErrorKind::BadRequest,
            "gossip item refused: key and payload have " + std::to_string(key.size() + payload.size())
                + " bytes; the key must not be empty and the limit is " + std::to_string(maxItemBytes));
    GossipRecord record;
    record.key = key;
    record.incarnation = m_self.incarnation;
    record.sequence = 1;
    record.status = status;
    record.publisher = m_self.name;
    record.payload = payload;
    if (const auto* held = m_store.find(GossipRecordKind::Item, key)) {
        record.incarnation = std::max(held->incarnation, m_self.incarnation);
        if (record.incarnation == held->incarnation)
            record.sequence = held->sequence + 1;
    }
    m_store.put(std::move(record), now);
}

Gossip::Output Gossip::publish(std::string_view key, std::string_view payload, TimePoint now)
{
    putItem(key, payload, itemPresent, now);
    return {};
}

Gossip::Output Gossip::remove(std::string_view key, TimePoint now)
{
    if (const auto* held = m_store.find(GossipRecordKind::Item, key); held && held->isLive())
        putItem(key, {}, itemRemoved, now);
    return {};
}

Gossip::Output Gossip::leave(TimePoint now)
{
    Output out;
    m_left = true;
    m_probes.clear();
    m_suspicions.clear();
    putSelf(MemberStatus::Left, now);
    const auto* self = m_store.find(GossipRecordKind::Member, m_self.name);
    for (const auto& name : randomMembers(leaveNoticeReceivers, {}))
        sendRecords(m_alive.at(name).gossipAddress, { self }, false, out);
    return out;
}

// ---- Sending --------------------------------------------------------------------------------------------------------

bool Gossip::send(
    const std::string& address, const std::string& receiver, GossipBody body, Output& out, Piggyback piggyback)
{
    const std::size_t reservedBytes = reservedBytesFor(body);
    auto bytes = encodeGossipMessage({ m_self.name, std::move(body) });
    const auto appendIfFits = [&](const std::string& record) {
        if (bytes.size() + record.size() <= gossipDatagramBytes)
            bytes += record;
    };
    // A suspect or dead member that still answers gets its record immediately, so that it can refute it.
    const auto* record = receiver.empty() ? nullptr : m_store.find(GossipRecordKind::Member, receiver);
    if (isNotAlive(record))
        appendIfFits(encodeGossipRecord(*record));
    // A sender that reports a suspicion of this member gets the refutation with the answer, because dissemination may
    // be too slow.
    if (m_sendRefutation)
        appendIfFits(encodeGossipRecord(*m_store.find(GossipRecordKind::Member, m_self.name), true));
    if (piggyback == Piggyback::Queued && bytes.size() < gossipDatagramBytes) {
        // Updates use half of the remaining budget only, which leaves some for the next datagrams of a burst.
        const double spare = (m_budgetBytes - static_cast<double>(updateReservedBytes + bytes.size())) / 2;
        if (spare > 0)
            m_store.appendQueued(bytes, std::min(static_cast<std::size_t>(spare), gossipDatagramBytes - bytes.size()));
    }
    return sendBytes(address, bytes, reservedBytes, out);
}

bool Gossip::sendBytes(const std::string& address, const std::string& bytes, std::size_t reservedBytes, Output& out)
{
    const auto cost = static_cast<double>(bytes.size() + datagramHeaderBytes);
    if (address.empty() || m_budgetBytes < cost + static_cast<double>(reservedBytes)) {
        ++m_counters.overBudget;
        return false;
    }
    m_budgetBytes -= cost;
    ++m_counters.datagramsSent;
    m_counters.bytesSent += bytes.size() + datagramHeaderBytes;
    out.datagrams.push_back({ address, bytes });
    return true;
}

std::optional<Instance> Gossip::instanceOf(std::string_view name) const
{
    const auto* record = m_store.find(GossipRecordKind::Member, name);
    if (!record || !record->payload)
        return std::nullopt;
    return decodeInstance(record->key, record->incarnation, *record->payload);
}

std::vector<std::string> Gossip::randomMembers(std::size_t count, std::string_view except)
{
    std::vector<std::string> names;
    const auto available = m_alive.size() - (m_alive.contains(except) ? 1 : 0);
    count = std::min(count, available);
    while (names.size() < count) {
        auto it = m_alive.begin();
        std::advance(it, std::uniform_int_distribution<std::size_t>(0, m_alive.size() - 1)(m_random));
        if (it->first != except && std::find(names.begin(), names.end(), it->first) == names.end())
            names.push_back(it->first);
    }
    return names;
}

// ---- State ----------------------------------------------------------------------------------------------------------

std::vector<GossipItem> Gossip::items() const
{
    std::vector<GossipItem> items;
    m_store.forEach([&](const GossipRecord& record) {
        if (record.kind == GossipRecordKind::Item && record.isLive())
            items.push_back(itemFrom(record));
    });
    return items;
}

std::optional<GossipItem> Gossip::item(std::string_view key) const
{
    const auto* record = m_store.find(GossipRecordKind::Item, key);
    return record && record->isLive() ? std::optional(itemFrom(*record)) : std::nullopt;
}

std::vector<Member> Gossip::members() const
{
    std::vector<Member> members;
    m_store.forEach([&](const GossipRecord& record) {
        if (record.kind != GossipRecordKind::Member)
            return;
        if (auto instance = instanceOf(record.key))
            members.push_back({ std::move(*instance), static_cast<MemberStatus>(record.status) });
    });
    return members;
}

std::vector<Instance> Gossip::livePeers() const
{
    std::vector<Instance> peers;
    peers.reserve(m_alive.size());
    for (const auto& [name, instance] : m_alive)
        peers.push_back(instance);
    return peers;
}

std::optional<MemberStatus> Gossip::statusOf(std::string_view name) const
{
    const auto* record = m_store.find(GossipRecordKind::Member, name);
    return record ? std::optional(static_cast<MemberStatus>(record->status)) : std::nullopt;
}

std::string Gossip::exportSelf() const
{
    return encodeGossipRecord(*m_store.find(GossipRecordKind::Member, m_self.name));
}

std::string Gossip::exportMembers() const
{
    std::string bytes;
    m_store.forEach([&](const GossipRecord& record) {
        if (record.kind == GossipRecordKind::Member && record.isLive())
            bytes += encodeGossipRecord(record);
    });
    return bytes;
}

Gossip::Output Gossip::importRecords(std::string_view bytes, TimePoint now, bool disseminate)
{
    Output out;
    const auto records = decodeGossipRecords(bytes);
    if (!records) {
        ++m_counters.malformed;
        return out;
    }
    for (const auto& record : *records)
        accept(record, disseminate ? std::nullopt : std::optional<std::uint32_t>(0), now, out);
    return out;
}

// ---- Builder --------------------------------------------------------------------------------------------------------

GossipBuilder& GossipBuilder::self(Instance instance)
{
    m_self = std::move(instance);
    return *this;
}

GossipBuilder& GossipBuilder::seeds(std::vector<std::string> addresses)
{
    m_seeds = std::move(addresses);
    return *this;
}

GossipBuilder& GossipBuilder::settings(GossipSettings settings)
{
    m_settings = settings;
    return *this;
}

GossipBuilder& GossipBuilder::randomSeed(std::uint64_t seed)
{
    m_randomSeed = seed;
    return *this;
}

Gossip GossipBuilder::build() const
{
    if (m_self.name.empty() || m_self.gossipAddress.empty())
        throw Error(ErrorKind::BadRequest, "the instance of a gossip member needs a name and a gossip address");
    return { m_self, m_seeds, m_settings, m_randomSeed };
}

} // namespace citronplank
