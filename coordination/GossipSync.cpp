// Anti-entropy of Gossip: compares digests, sends records that dissemination has missed, and rejoins after a partition.
#include "coordination/Gossip.h"
#include "coordination/GossipLimits.h"

#include <algorithm>
#include <unordered_set>

namespace citronplank {

namespace {

constexpr std::size_t maxSummaryHashes = 130;    // 8 bytes each; leaves room for the rest of the datagram
constexpr std::size_t nearlyEqualBuckets = 8;    // may differ only because recent updates are still being disseminated
constexpr std::size_t initialRecordsBytes = 300; // per digest, so that a seed can serve several joining members
constexpr std::size_t maxSeedsContactedAtOnce = 3; // by a member that knows no other live one; some may be down

} // namespace

void Gossip::sendDigest(TimePoint now, Output& out)
{
    m_nextSync = now + (m_joining ? Duration(gossipFastSyncInterval) : Duration(m_settings.syncInterval));
    for (const auto& name : randomMembers(1, {}))
        send(m_alive.at(name).gossipAddress, name, m_store.digest(), out, Piggyback::None);
    if (m_alive.empty())
        m_nextSync = now; // the first member that is heard from gets the digest immediately
}

// After a partition, in which each side has declared the other dead, the sides merge again through seeds and dead
// members.
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
    std::shuffle(addresses.begin(), addresses.end(), m_random);
    addresses.resize(m_alive.empty() ? std::min(addresses.size(), maxSeedsContactedAtOnce) : 1);
    const auto* self = m_store.find(GossipRecordKind::Member, m_self.name);
    for (const auto& address : addresses) {
        sendRecords(address, { self }, true, out); // it may have left the queue of records to disseminate
        send(address, {}, m_store.digest(), out, Piggyback::None);
    }
}

// Sends some records immediately to a member that holds almost none, because it has no hashes to compare. Returns
// whether the sender of the digest is such a member.
bool Gossip::sendInitialRecords(const GossipDigest& digest, const Sender& sender, Output& out)
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
    // Member records first: with them the joining member can distribute its further requests over the group.
    std::stable_partition(records.begin(), records.end(),
        [](const GossipRecord* record) { return record->kind == GossipRecordKind::Member; });
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < records.size() && (bytes += encodeGossipRecord(*records[count]).size()) < initialRecordsBytes)
        ++count;
    records.resize(count);
    sendRecords(sender.address, records, true, out);
    return true;
}

void Gossip::handle(const GossipDigest& digest, const Sender& sender, TimePoint now, Output& out)
{
    if (sendInitialRecords(digest, sender, out))
        return;
    auto differing = m_store.differingBuckets(digest);
    if (differing.size() <= nearlyEqualBuckets)
        m_joining = false;
    else
        m_nextSync = std::min<TimePoint>(m_nextSync, now + gossipFastSyncInterval);
    std::shuffle(differing.begin(), differing.end(), m_random);
    GossipSummary summary;
    for (const auto bucket : differing) {
        const auto hashes = m_store.hashesOf(bucket);
        // A bucket of more than maxSummaryHashes records is sent alone and truncated; the rest follows in later rounds.
        if (!summary.buckets.empty() && summary.hashes.size() + hashes.size() > maxSummaryHashes)
            continue;
        summary.buckets.push_back(bucket);
        summary.hashes.insert(summary.hashes.end(), hashes.begin(),
            hashes.begin() + static_cast<std::ptrdiff_t>(std::min(hashes.size(), maxSummaryHashes)));
    }
    if (!summary.buckets.empty())
        send(sender.address, sender.name, std::move(summary), out, Piggyback::None);
}

void Gossip::handle(const GossipSummary& summary, const Sender& sender, TimePoint now, Output& out)
{
    std::unordered_set<std::uint64_t> own;
    for (const auto bucket : summary.buckets)
        for (const auto hash : m_store.hashesOf(bucket))
            own.insert(hash);
    GossipRecordRequest request;
    for (const auto hash : summary.hashes)
        if (!own.contains(hash))
            request.hashes.push_back(hash);
    if (summary.buckets.size() <= nearlyEqualBuckets)
        m_joining = false;
    else
        m_nextSync = std::min<TimePoint>(m_nextSync, now + gossipFastSyncInterval);
    if (!request.hashes.empty())
        send(sender.address, sender.name, std::move(request), out, Piggyback::None);
    sendRecords(sender.address, m_store.recordsWithout(summary.buckets, summary.hashes), true, out);
}

void Gossip::handle(const GossipRecordRequest& request, const Sender& sender, TimePoint, Output& out)
{
    sendRecords(sender.address, m_store.recordsWith(request.hashes), true, out);
}

void Gossip::handle(const GossipRecords&, const Sender&, TimePoint, Output&) { }

// Sends the records in as many datagrams as they need. Stops and returns false when the budget is used up.
bool Gossip::sendRecords(
    const std::string& address, const std::vector<const GossipRecord*>& records, bool isSync, Output& out)
{
    const auto head = encodeGossipMessage({ m_self.name, GossipRecords { isSync } });
    std::string bytes = head;
    const auto flush = [&] {
        const bool sent = bytes.size() == head.size() || sendBytes(address, bytes, gossipSyncReservedBytes, out);
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

} // namespace citronplank
