#include "coordination/Gossip.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace citronplank {

namespace {

constexpr std::uint32_t maxLocalHealth = 8;       // as in Lifeguard
constexpr int probeAttempts = 3;                  // one direct, then two with relays; see retryProbe
constexpr std::size_t probeReservedBytes = 300;   // budget that pings leave for acks
constexpr std::size_t reservedBytes = 600;        // budget that anti-entropy leaves for pings and acks
constexpr std::size_t updateReservedBytes = 1200; // and updates leave one datagram of anti-entropy besides
constexpr std::size_t summaryHashes = 130;        // of 8 bytes each; leaves room for the rest of the datagram
constexpr std::size_t nearlyEqualBuckets = 8;     // differences of fresh updates that are still spreading
constexpr std::uint32_t sendsAfterSync = 2;       // others lack it too if this member did, but most of them will not
constexpr milliseconds fastSyncInterval { 1000 };
constexpr std::size_t suspectPings = 6;   // expected number over the whole group, for each suspicion
constexpr std::size_t starterBytes = 300; // for each question, so that a seed can answer several starters
constexpr seconds cleanupInterval { 10 };
constexpr milliseconds freezeGap { 1000 };

double log2Of(std::size_t members) { return std::log2(static_cast<double>(members) + 1); }

Duration fromSeconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

bool isSuspectOrLost(const GossipRecord* record)
{
    return record && record->status != static_cast<std::uint8_t>(MemberStatus::Alive);
}

// Answers to probes may use the whole budget: a member that cannot answer is suspected, which costs everyone more.
std::size_t keptBytes(const GossipBody& body)
{
    if (std::holds_alternative<GossipAck>(body) || std::holds_alternative<GossipNack>(body))
        return 0;
    const bool isProbe = std::holds_alternative<GossipPing>(body) || std::holds_alternative<GossipPingRequest>(body);
    return isProbe ? probeReservedBytes : reservedBytes;
}

GossipItem itemFrom(const GossipRecord& record)
{
    return { record.key, record.payload.value_or(""), record.publisher, record.status == itemRemoved };
}

} // namespace

struct Gossip::Sender {
    std::string name;
    std::string address;
};

Gossip::Gossip(Instance self, std::vector<std::string> seeds, GossipSettings settings, std::uint64_t randomSeed)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_settings(settings)
    , m_random(randomSeed)
    , m_budgetBytes(settings.burstBytes)
{
    std::erase(m_seeds, m_self.gossipAddress);
    putSelf(MemberStatus::Alive, {});
    updateMemberCount();
}

// ---- Timers -----------------------------------------------------------------------------------------------------

void Gossip::start(TimePoint now)
{
    m_started = true;
    m_lastTick = now;
    // A random phase spreads the probes of members that start together.
    m_nextPeriod = now
        + fromSeconds(std::chrono::duration<double>(m_settings.period).count()
            * std::uniform_real_distribution<>(0, 1)(m_random));
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
    if (gap >= freezeGap)
        handleFreeze(gap, now);
    m_lastTick = std::max(m_lastTick, now);
    advanceRelays(now, out);
    advanceProbes(now, out);
    expireSuspicions(now, out);
    if (now >= m_nextPeriod)
        runPeriod(now, out);
    if (now >= m_nextCleanup) {
        m_nextCleanup = now + cleanupInterval;
        m_store.dropRemoved(now - m_settings.removalLifetime, now - m_settings.lostItemLifetime);
    }
    return out;
}

// Acks that arrived during a freeze of this process are still in the socket, so its timers prove nothing.
void Gossip::handleFreeze(Duration gap, TimePoint now)
{
    m_probes.clear();
    m_relays.clear();
    for (auto& [name, deadline] : m_suspicions)
        deadline = std::max(deadline + gap, now + suspicionTimeout());
    raiseLocalHealth(2);
    m_nextPeriod = now + m_settings.period;
}

void Gossip::refillBudget(TimePoint now)
{
    if (now <= m_lastTick)
        return;
    const double elapsed = std::chrono::duration<double>(now - m_lastTick).count();
    m_budgetBytes = std::min<double>(m_settings.burstBytes, m_budgetBytes + elapsed * m_settings.bytesPerSecond);
}

void Gossip::runPeriod(TimePoint now, Output& out)
{
    m_nextPeriod += m_settings.period;
    if (m_nextPeriod <= now)
        m_nextPeriod = now + m_settings.period;
    if (m_left)
        return;
    startProbe(now, out);
    if (now >= m_nextSync)
        sendDigest(now, out);
    if (now >= m_nextRejoin) {
        m_nextRejoin = now + (m_alive.empty() ? Duration(fastSyncInterval) : Duration(m_settings.rejoinInterval));
        rejoin(out);
    }
}

// ---- Failure detection --------------------------------------------------------------------------------------------

// A shuffled round bounds the time until each member is probed, which a random choice does not.
void Gossip::startProbe(TimePoint now, Output& out)
{
    if (m_probeOrder.empty()) {
        for (const auto& [name, instance] : m_alive)
            m_probeOrder.push_back(name);
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    while (!m_probeOrder.empty()) {
        const auto name = m_probeOrder.front();
        m_probeOrder.pop_front();
        const auto it = m_alive.find(name);
        if (it == m_alive.end())
            continue;
        const auto number = m_nextNumber++;
        // A ping that the budget did not allow proves nothing about its target.
        if (send(it->second.gossipAddress, name, GossipPing { number, name }, out))
            m_probes.emplace(number, Probe { name, now + attemptTimeout() });
        return;
    }
}

void Gossip::advanceProbes(TimePoint now, Output& out)
{
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        auto& [number, probe] = *it;
        if (now < probe.attemptEnds) {
            ++it;
        } else if (probe.attempts < probeAttempts && m_alive.contains(probe.target)) {
            retryProbe(number, probe, now, out);
            ++it;
        } else {
            const Probe failed = probe;
            it = m_probes.erase(it);
            failProbe(failed, now, out);
        }
    }
}

// With 5% loss a direct ping fails 1 in 10 times. Repeating it along with relays, twice, makes a false suspicion about
// as rare as 1 in a million probes; each false one would cost the group two updates. The first repetition uses one
// relay only, because at a loss of 20% relayed pings would otherwise use up the budget.
void Gossip::retryProbe(std::uint64_t number, Probe& probe, TimePoint now, Output& out)
{
    const std::size_t relays = probe.attempts == 1 ? 1 : m_settings.relays;
    ++probe.attempts;
    probe.attemptEnds = now + attemptTimeout();
    const auto target = instanceOf(probe.target);
    send(target->gossipAddress, probe.target, GossipPing { number, probe.target }, out, Extra::None);
    for (const auto& relay : randomMembers(relays, probe.target)) {
        const GossipPingRequest request { number, probe.target, target->gossipAddress };
        if (send(m_alive.at(relay).gossipAddress, relay, request, out, Extra::None))
            ++probe.nacksExpected;
    }
}

void Gossip::failProbe(const Probe& probe, TimePoint now, Output& out)
{
    // Without nacks from most relays the fault may be on this side.
    if (probe.nacksExpected == 0 || probe.nacks * 2 < probe.nacksExpected)
        raiseLocalHealth(1);
    const auto* record = m_store.find(GossipRecordKind::Member, probe.target);
    if (!record || record->status != static_cast<std::uint8_t>(MemberStatus::Alive))
        return;
    ++m_counters.suspicions;
    setStatus(probe.target, MemberStatus::Suspect, now, out);
}

void Gossip::advanceRelays(TimePoint now, Output& out)
{
    for (auto it = m_relays.begin(); it != m_relays.end();) {
        auto& relay = it->second;
        if (now >= relay.nackAt && !relay.nackSent) {
            relay.nackSent = true;
            send(relay.address, {}, GossipNack { relay.number }, out, Extra::None);
        }
        it = now >= relay.ends ? m_relays.erase(it) : std::next(it);
    }
}

void Gossip::expireSuspicions(TimePoint now, Output& out)
{
    std::vector<std::string> expired;
    for (const auto& [name, deadline] : m_suspicions)
        if (now >= deadline)
            expired.push_back(name);
    for (const auto& name : expired)
        setStatus(name, MemberStatus::Dead, now, out);
}

void Gossip::setStatus(const std::string& name, MemberStatus status, TimePoint now, Output& out)
{
    const auto* held = m_store.find(GossipRecordKind::Member, name);
    if (!held)
        return;
    const GossipRecord before = *held;
    GossipRecord record = before;
    record.status = static_cast<std::uint8_t>(status);
    m_store.put(record, now);
    noteChange(record, &before, now, out);
}

// Long enough for the suspicion to reach the suspect and for its refutation to come back.
Duration Gossip::suspicionTimeout() const
{
    const Duration byCount = fromSeconds(
        std::chrono::duration<double>(m_settings.suspicionPerDoubling).count() * log2Of(m_alive.size() + 1));
    return std::max<Duration>(m_settings.suspicionTimeout, byCount) + attemptTimeout() * m_localHealth;
}

void Gossip::raiseLocalHealth(std::uint32_t by) { m_localHealth = std::min(maxLocalHealth, m_localHealth + by); }

// ---- Anti-entropy ---------------------------------------------------------------------------------------------------

void Gossip::sendDigest(TimePoint now, Output& out)
{
    m_nextSync = now + (m_joining ? Duration(fastSyncInterval) : Duration(m_settings.syncInterval));
    for (const auto& name : randomMembers(1, {}))
        send(m_alive.at(name).gossipAddress, name, m_store.digest(), out, Extra::None);
    if (m_alive.empty())
        m_nextSync = now; // the first member heard is asked at once
}

// Seeds and lost members are the way back together after a partition, when each side has declared the other dead.
void Gossip::rejoin(Output& out)
{
    std::vector<std::string> addresses;
    m_store.forEach([&](const GossipRecord& record) {
        if (record.kind != GossipRecordKind::Member || record.status != static_cast<std::uint8_t>(MemberStatus::Dead))
            return;
        if (const auto instance = instanceOf(record.key))
            addresses.push_back(instance->gossipAddress);
    });
    std::set<std::string_view> known;
    for (const auto& [name, instance] : m_alive)
        known.insert(instance.gossipAddress);
    for (const auto& seed : m_seeds)
        if (!known.contains(seed))
            addresses.push_back(seed);
    if (addresses.empty())
        return;
    // Before it knows anyone, a member asks all seeds it can; some of them may be down.
    std::shuffle(addresses.begin(), addresses.end(), m_random);
    addresses.resize(m_alive.empty() ? std::min<std::size_t>(addresses.size(), 3) : 1);
    const auto* self = m_store.find(GossipRecordKind::Member, m_self.name);
    for (const auto& address : addresses) {
        sendFull(address, { self }, true, out); // the queue may no longer hold it
        send(address, {}, m_store.digest(), out, Extra::None);
    }
}

// A member that knows next to nothing gets records at once, because it has nothing to compare hashes with.
bool Gossip::helpStarter(const GossipDigest& digest, const Sender& sender, Output& out)
{
    const auto own = m_store.digest();
    std::vector<std::uint16_t> missing;
    std::size_t common = 0;
    for (std::size_t i = 0; i < own.buckets.size(); ++i) {
        if (digest.buckets[i] != 0)
            ++common;
        else if (own.buckets[i] != 0)
            missing.push_back(static_cast<std::uint16_t>(i));
    }
    if (missing.size() <= 2 * common)
        return false;
    auto records = m_store.recordsWithout(missing, {});
    std::shuffle(records.begin(), records.end(), m_random);
    // Members first: they let the starter spread its further questions over the group.
    std::stable_partition(records.begin(), records.end(),
        [](const GossipRecord* record) { return record->kind == GossipRecordKind::Member; });
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < records.size() && (bytes += encodeGossipRecord(*records[count]).size()) < starterBytes)
        ++count;
    records.resize(count);
    sendFull(sender.address, records, true, out);
    return true;
}

void Gossip::handle(const GossipDigest& digest, const Sender& sender, TimePoint now, Output& out)
{
    if (helpStarter(digest, sender, out))
        return;
    auto differing = m_store.differingBuckets(digest);
    if (differing.size() <= nearlyEqualBuckets)
        m_joining = false;
    else
        m_nextSync = std::min<TimePoint>(m_nextSync, now + fastSyncInterval);
    std::shuffle(differing.begin(), differing.end(), m_random);
    GossipSummary summary;
    for (const auto bucket : differing) {
        const auto hashes = m_store.hashesOf(bucket);
        // A bucket of more than summaryHashes records is sent alone and cut; the rest follows in later rounds.
        if (!summary.buckets.empty() && summary.hashes.size() + hashes.size() > summaryHashes)
            continue;
        summary.buckets.push_back(bucket);
        summary.hashes.insert(summary.hashes.end(), hashes.begin(),
            hashes.begin() + static_cast<std::ptrdiff_t>(std::min(hashes.size(), summaryHashes)));
    }
    if (!summary.buckets.empty())
        send(sender.address, sender.name, std::move(summary), out, Extra::None);
}

void Gossip::handle(const GossipSummary& summary, const Sender& sender, TimePoint now, Output& out)
{
    std::unordered_set<std::uint64_t> own;
    for (const auto bucket : summary.buckets)
        for (const auto hash : m_store.hashesOf(bucket))
            own.insert(hash);
    GossipWant want;
    for (const auto hash : summary.hashes)
        if (!own.contains(hash))
            want.hashes.push_back(hash);
    if (summary.buckets.size() <= nearlyEqualBuckets)
        m_joining = false;
    else
        m_nextSync = std::min<TimePoint>(m_nextSync, now + fastSyncInterval);
    if (!want.hashes.empty())
        send(sender.address, sender.name, std::move(want), out, Extra::None);
    sendFull(sender.address, m_store.recordsWithout(summary.buckets, summary.hashes), true, out);
}

void Gossip::handle(const GossipWant& want, const Sender& sender, TimePoint, Output& out)
{
    sendFull(sender.address, m_store.recordsWith(want.hashes), true, out);
}

void Gossip::handle(const GossipRecords&, const Sender&, TimePoint, Output&) { }

// Sends the records in as many datagrams as the budget allows. Returns false when some were left out.
bool Gossip::sendFull(
    const std::string& address, const std::vector<const GossipRecord*>& records, bool isSync, Output& out)
{
    const auto head = encodeGossipMessage({ m_self.name, GossipRecords { isSync } });
    std::string bytes = head;
    const auto flush = [&] {
        const bool sent = bytes.size() == head.size() || sendBytes(address, bytes, reservedBytes, out);
        bytes = head;
        return sent;
    };
    for (const auto* record : records) {
        const auto encoded = encodeGossipRecord(*record);
        if (bytes.size() + encoded.size() > gossipDatagramBytes && !flush())
            return false;
        bytes += encoded;
    }
    return flush();
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
    // While many members start, those that already know more than the seeds take over part of the seeds' work.
    if (m_joining && m_started && now >= m_nextSync && !m_alive.contains(sender.name)) {
        m_nextSync = now + fastSyncInterval;
        send(sender.address, sender.name, m_store.digest(), out, Extra::None);
    }
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
        sendFull(sender.address, newer, false, out);
    std::visit([&](const auto& body) { handle(body, sender, now, out); }, datagram->message.body);
    return out;
}

void Gossip::handle(const GossipPing& ping, const Sender& sender, TimePoint, Output& out)
{
    if (ping.target == m_self.name)
        send(sender.address, sender.name, GossipAck { ping.number }, out);
}

void Gossip::handle(const GossipAck& ack, const Sender&, TimePoint, Output& out)
{
    if (const auto it = m_relays.find(ack.number); it != m_relays.end()) {
        send(it->second.address, {}, GossipAck { it->second.number }, out, Extra::None);
        m_relays.erase(it);
    } else if (m_probes.erase(ack.number) > 0 && m_localHealth > 0) {
        --m_localHealth;
    }
}

void Gossip::handle(const GossipNack& nack, const Sender&, TimePoint, Output&)
{
    if (const auto it = m_probes.find(nack.number); it != m_probes.end())
        ++it->second.nacks;
}

void Gossip::handle(const GossipPingRequest& request, const Sender& sender, TimePoint now, Output& out)
{
    const auto number = m_nextNumber++;
    if (!send(request.targetAddress, request.target, GossipPing { number, request.target }, out, Extra::None))
        return;
    // The nack has to arrive within the attempt of the member that asked.
    m_relays.emplace(number,
        Relay { sender.address, request.number, now + m_settings.ackTimeout * 2 / 3, false,
            now + m_settings.ackTimeout * 4 });
}

// ---- Records --------------------------------------------------------------------------------------------------------

const GossipRecord* Gossip::accept(
    const GossipRecord& record, std::optional<std::uint32_t> sendsLeft, TimePoint now, Output& out)
{
    if (record.kind == GossipRecordKind::Member && record.key == m_self.name) {
        acceptSelf(record, now);
        return nullptr;
    }
    // Items of a publisher that everyone has forgotten must not come back from a member that was away.
    if (record.kind == GossipRecordKind::Item && !m_store.find(GossipRecordKind::Member, record.publisher))
        return nullptr;
    const auto* held = m_store.find(record.kind, record.key);
    const std::optional<GossipRecord> before = held ? std::optional(*held) : std::nullopt;
    const auto merge = m_store.merge(record, now, sendsLeft);
    held = m_store.find(record.kind, record.key);
    if (merge == GossipStore::Merge::Newer)
        noteChange(*held, before ? &*before : nullptr, now, out);
    return merge == GossipStore::Merge::Older ? held : nullptr;
}

void Gossip::acceptSelf(const GossipRecord& record, TimePoint now)
{
    const auto* own = m_store.find(GossipRecordKind::Member, m_self.name);
    if (!record.isNewerThan(*own) || m_left)
        return;
    if (isSuspectOrLost(&record)) {
        ++m_counters.refutations;
        raiseLocalHealth(1);
    }
    // The clock that gave the incarnation may have been set back since the last run of this instance.
    m_self.incarnation = record.incarnation;
    m_selfSequence = record.sequence + 1;
    putSelf(MemberStatus::Alive, now);
}

void Gossip::noteChange(const GossipRecord& record, const GossipRecord* before, TimePoint now, Output& out)
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
        m_suspicions.try_emplace(record.key, now + suspicionTimeout());
        tellSuspect(*instance, out);
    } else {
        m_suspicions.erase(record.key);
    }
    updateMemberCount();
    // Users have dropped what a lost member published, and its items are not sent again when it returns.
    if (before && !before->isLive() && record.isLive())
        m_store.forEachItemOf(
            record.key, [&](const GossipRecord& item) { out.changedItems.push_back(itemFrom(item)); });
    const bool isRestart = before && before->incarnation != record.incarnation;
    if (!before || before->status != record.status || isRestart)
        out.memberEvents.push_back({ *instance, status });
}

// A few of those that learn of a suspicion ping the suspect, so that it can refute in time even if it gets no updates.
void Gossip::tellSuspect(const Instance& suspect, Output& out)
{
    if (std::uniform_int_distribution<std::size_t>(0, m_alive.size())(m_random) < suspectPings)
        send(suspect.gossipAddress, suspect.name, GossipPing { m_nextNumber++, suspect.name }, out, Extra::None);
}

void Gossip::updateMemberCount()
{
    m_store.setSendLimit(
        static_cast<std::uint32_t>(std::max(3.0, std::ceil(m_settings.sendsPerDoubling * log2Of(m_alive.size() + 1)))));
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
            "gossip item with " + std::to_string(key.size() + payload.size()) + " bytes; allowed are 1 to "
                + std::to_string(maxItemBytes));
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
    // Enough members that the news survives 5% loss; they pass it on.
    for (const auto& name : randomMembers(4, {}))
        sendFull(m_alive.at(name).gossipAddress, { self }, false, out);
    return out;
}

// ---- Sending --------------------------------------------------------------------------------------------------------

bool Gossip::send(const std::string& address, const std::string& receiver, GossipBody body, Output& out, Extra extra)
{
    const std::size_t keepBytes = keptBytes(body);
    auto bytes = encodeGossipMessage({ m_self.name, std::move(body) });
    // A suspect or lost member that still answers is told at once, so that it can refute.
    const auto* record = receiver.empty() ? nullptr : m_store.find(GossipRecordKind::Member, receiver);
    if (isSuspectOrLost(record)) {
        const auto notice = encodeGossipRecord(*record);
        if (bytes.size() + notice.size() <= gossipDatagramBytes)
            bytes += notice;
    }
    if (extra == Extra::Queued && bytes.size() < gossipDatagramBytes) {
        // Half of what is left keeps some of the budget for the next datagrams of a burst.
        const double spare = (m_budgetBytes - static_cast<double>(updateReservedBytes + bytes.size())) / 2;
        if (spare > 0)
            m_store.appendQueued(bytes, std::min(static_cast<std::size_t>(spare), gossipDatagramBytes - bytes.size()));
    }
    return sendBytes(address, bytes, keepBytes, out);
}

bool Gossip::sendBytes(const std::string& address, const std::string& bytes, std::size_t keepBytes, Output& out)
{
    const auto cost = static_cast<double>(bytes.size() + datagramHeaderBytes);
    if (address.empty() || m_budgetBytes < cost + static_cast<double>(keepBytes)) {
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

std::optional<MemberStatus> Gossip::statusOf(std::string_view name) const
{
    const auto* record = m_store.find(GossipRecordKind::Member, name);
    return record ? std::optional(static_cast<MemberStatus>(record->status)) : std::nullopt;
}

std::string Gossip::exportRecords() const
{
    std::string bytes;
    m_store.forEach([&](const GossipRecord& record) {
        if (record.isLive())
            bytes += encodeGossipRecord(record);
    });
    return bytes;
}

Gossip::Output Gossip::importRecords(std::string_view bytes, TimePoint now)
{
    Output out;
    const auto records = decodeGossipRecords(bytes);
    if (!records) {
        ++m_counters.malformed;
        return out;
    }
    for (const auto& record : *records)
        accept(record, 0, now, out); // the others have them
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
        throw Error(ErrorKind::BadRequest, "gossip needs the instance's name and gossip address");
    return { m_self, m_seeds, m_settings, m_randomSeed };
}

} // namespace citronplank
