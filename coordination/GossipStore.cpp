#include "coordination/GossipStore.h"

#include <algorithm>
#include <unordered_set>

namespace citronplank {

namespace {

// A refutation or a status change keeps the payload of the member's first record, which the receivers already hold.
bool usesShortForm(const GossipRecord& record)
{
    return record.kind == GossipRecordKind::Member && (record.sequence > 0 || record.status != 0);
}

constexpr std::size_t longQueueSize = 64; // records; see countSend
constexpr std::uint32_t maxSendsFromLongQueue = 3;

// How many queued records that do not fit into the datagram are skipped before the search ends.
constexpr int fitAttempts = 16;

} // namespace

GossipStore::MergeResult GossipStore::merge(GossipRecord record, TimePoint now, std::optional<std::uint32_t> sendsLeft)
{
    const Key key { record.kind, record.key };
    auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        // If removals of unknown records were stored, members would send an expired removal back and forth without end.
        if (!record.isLive() || !record.payload)
            return MergeResult::Ignored;
        it = m_entries.try_emplace(key).first;
    } else {
        auto& entry = it->second;
        if (record.version() == entry.record.version()) {
            countSend(entry); // another member is also sending it
            return MergeResult::Same;
        }
        if (!record.isNewerThan(entry.record))
            return MergeResult::Older;
        if (!record.payload) {
            if (record.incarnation != entry.record.incarnation)
                return MergeResult::Ignored;
            record.payload = entry.record.payload;
        }
    }
    store(it->second, std::move(record), now);
    if (sendsLeft && *sendsLeft == 0)
        dequeue(it->second);
    else
        enqueue(it->second, sendsLeft && *sendsLeft < m_sendLimit ? m_sendLimit - *sendsLeft : 0);
    return MergeResult::Newer;
}

void GossipStore::put(GossipRecord record, TimePoint now)
{
    const Key key { record.kind, record.key };
    auto& entry = m_entries[key];
    store(entry, std::move(record), now);
    enqueue(entry, 0);
}

const GossipRecord* GossipStore::find(GossipRecordKind kind, std::string_view key) const
{
    const auto it = m_entries.find(Key { kind, std::string(key) });
    return it == m_entries.end() ? nullptr : &it->second.record;
}

void GossipStore::forEach(const std::function<void(const GossipRecord&)>& visit) const
{
    for (const auto& [key, entry] : m_entries)
        visit(entry.record);
}

void GossipStore::forEachItemOf(std::string_view publisher, const std::function<void(const GossipRecord&)>& visit) const
{
    for (const auto& [key, entry] : m_entries)
        if (key.first == GossipRecordKind::Item && entry.record.isLive() && entry.record.publisher == publisher)
            visit(entry.record);
}

std::size_t GossipStore::dropExpired(TimePoint removedBefore, TimePoint orphanedBefore)
{
    const auto isDue = [&](const Entry& entry) {
        if (!entry.record.isLive())
            return entry.changed < removedBefore;
        if (entry.record.kind != GossipRecordKind::Item)
            return false;
        const auto it = m_entries.find(Key { GossipRecordKind::Member, entry.record.publisher });
        return it == m_entries.end() || (!it->second.record.isLive() && it->second.changed < orphanedBefore);
    };
    std::vector<Key> due;
    for (const auto& [key, entry] : m_entries)
        if (isDue(entry))
            due.push_back(key);
    for (const auto& key : due) {
        auto& entry = m_entries.at(key);
        dequeue(entry);
        setInDigest(entry, false);
        m_entries.erase(key);
    }
    return due.size();
}

void GossipStore::store(Entry& entry, GossipRecord record, TimePoint now)
{
    setInDigest(entry, false);
    const bool wasLive = !entry.record.key.empty() && entry.record.isLive();
    entry.record = std::move(record);
    entry.hash = gossipVersionHash(entry.record);
    entry.bucket = static_cast<std::uint16_t>(gossipBucket(entry.record.kind, entry.record.key));
    entry.changed = now;
    setInDigest(entry, belongsInDigest(entry));
    if (entry.record.kind == GossipRecordKind::Member && wasLive != entry.record.isLive())
        updateDigestForItemsOf(entry.record.key);
}

// Removed records are left out, so that members which drop them at different times still have equal digests. Items of a
// dead publisher are left out because a member that joins later does not know that publisher.
bool GossipStore::belongsInDigest(const Entry& entry) const
{
    if (!entry.record.isLive())
        return false;
    if (entry.record.kind == GossipRecordKind::Member)
        return true;
    const auto* publisher = find(GossipRecordKind::Member, entry.record.publisher);
    return publisher && publisher->isLive();
}

void GossipStore::setInDigest(Entry& entry, bool isInDigest)
{
    if (entry.isInDigest == isInDigest)
        return;
    entry.isInDigest = isInDigest;
    m_digest.at(entry.bucket) ^= static_cast<std::uint32_t>(entry.hash >> 32);
    auto& bucket = m_buckets.at(entry.bucket);
    if (isInDigest)
        bucket.push_back(&entry);
    else
        std::erase(bucket, &entry);
}

void GossipStore::updateDigestForItemsOf(std::string_view publisher)
{
    for (auto& [key, entry] : m_entries)
        if (key.first == GossipRecordKind::Item && entry.record.publisher == publisher)
            setInDigest(entry, belongsInDigest(entry));
}

void GossipStore::enqueue(Entry& entry, std::uint32_t sends)
{
    dequeue(entry);
    entry.sends = sends;
    entry.queueOrder = m_nextOrder++;
    m_queue.emplace(QueueKey { entry.sends, entry.queueOrder }, &entry);
}

void GossipStore::dequeue(Entry& entry)
{
    if (entry.queueOrder != 0)
        m_queue.erase({ entry.sends, entry.queueOrder });
    entry.queueOrder = 0;
}

void GossipStore::countSend(Entry& entry)
{
    if (entry.queueOrder == 0)
        return;
    m_queue.erase({ entry.sends, entry.queueOrder });
    // With a long queue each record is sent fewer times; anti-entropy repairs the rest at a lower cost.
    const auto limit = m_queue.size() > longQueueSize ? std::min(m_sendLimit, maxSendsFromLongQueue) : m_sendLimit;
    if (++entry.sends < limit)
        m_queue.emplace(QueueKey { entry.sends, entry.queueOrder }, &entry);
    else
        entry.queueOrder = 0;
}

void GossipStore::appendQueued(std::string& datagram, std::size_t maxBytes)
{
    std::vector<Entry*> sent;
    int attempts = fitAttempts;
    for (const auto& [key, entry] : m_queue) {
        const auto bytes = encodeGossipRecord(entry->record, usesShortForm(entry->record));
        if (bytes.size() <= maxBytes) {
            datagram += bytes;
            maxBytes -= bytes.size();
            sent.push_back(entry);
        } else if (--attempts == 0) {
            break;
        }
    }
    for (auto* entry : sent)
        countSend(*entry);
}

GossipDigest GossipStore::digest() const { return { { m_digest.begin(), m_digest.end() } }; }

std::vector<std::uint16_t> GossipStore::differingBuckets(const GossipDigest& digest) const
{
    std::vector<std::uint16_t> buckets;
    for (std::size_t i = 0; i < m_digest.size(); ++i)
        if (m_digest[i] != digest.buckets[i])
            buckets.push_back(static_cast<std::uint16_t>(i));
    return buckets;
}

std::vector<std::uint64_t> GossipStore::hashesOf(std::uint16_t bucket) const
{
    std::vector<std::uint64_t> hashes;
    if (bucket < m_buckets.size())
        for (const auto* entry : m_buckets[bucket])
            hashes.push_back(entry->hash);
    return hashes;
}

std::vector<const GossipRecord*> GossipStore::recordsWithout(
    std::span<const std::uint16_t> buckets, std::span<const std::uint64_t> hashes) const
{
    const std::unordered_set<std::uint64_t> known(hashes.begin(), hashes.end());
    std::vector<const GossipRecord*> records;
    for (const auto bucket : buckets) {
        if (bucket >= m_buckets.size())
            continue;
        for (const auto* entry : m_buckets[bucket])
            if (!known.contains(entry->hash))
                records.push_back(&entry->record);
    }
    return records;
}

std::vector<const GossipRecord*> GossipStore::recordsWith(std::span<const std::uint64_t> hashes) const
{
    const std::unordered_set<std::uint64_t> wanted(hashes.begin(), hashes.end());
    std::vector<const GossipRecord*> records;
    for (const auto& bucket : m_buckets)
        for (const auto* entry : bucket)
            if (wanted.contains(entry->hash))
                records.push_back(&entry->record);
    return records;
}

} // namespace citronplank
