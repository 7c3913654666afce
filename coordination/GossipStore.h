// The records that one member holds, their digest for anti-entropy, and the queue of records to disseminate.
#pragma once

#include "coordination/GossipMessages.h"

#include <array>
#include <functional>

namespace citronplank {

/// State machine without I/O. Not thread safe: callers serialize all calls to one object.
class GossipStore {
public:
    GossipStore() = default;
    GossipStore(GossipStore&&) = default; // the entries keep their addresses, to which m_buckets and m_queue point
    GossipStore& operator=(GossipStore&&) = default;
    GossipStore(const GossipStore&) = delete;
    GossipStore& operator=(const GossipStore&) = delete;

    enum class MergeResult : std::uint8_t {
        Newer,   // stored
        Same,    // already held
        Older,   // the store holds a newer version
        Ignored, // the removal of an unknown record, or a short form whose payload is not held
    };

    /// Merges a received record and queues it for dissemination when it is newer. `sendsLeft` limits how often it is
    /// sent, 0 for not at all; absent means the limit of setSendLimit().
    MergeResult merge(GossipRecord record, TimePoint now, std::optional<std::uint32_t> sendsLeft = std::nullopt);
    /// Stores a version that this member has created, whatever version is held, and queues it for dissemination.
    void put(GossipRecord record, TimePoint now);

    /// The record held, or nullptr. Valid until the record is removed.
    const GossipRecord* find(GossipRecordKind kind, std::string_view key) const;
    /// Calls `visit` with each record, removed and dead ones included, ordered by kind and key.
    void forEach(const std::function<void(const GossipRecord&)>& visit) const;

    /// Calls `visit` with the present items of one publisher.
    void forEachItemOf(std::string_view publisher, const std::function<void(const GossipRecord&)>& visit) const;

    /// Drops removed items and dead or left members that have not changed since `removedBefore`, and items whose
    /// publisher is unknown, or dead or left since before `orphanedBefore`. Returns the number of dropped records.
    std::size_t dropExpired(TimePoint removedBefore, TimePoint orphanedBefore);

    /// Sets how often this member sends each queued record; depends on the number of members.
    void setSendLimit(std::uint32_t limit) { m_sendLimit = limit; }
    /// Appends encoded records from the queue, those sent least often first, at most `maxBytes` in total, and counts
    /// them as sent.
    void appendQueued(std::string& datagram, std::size_t maxBytes);
    /// Number of records queued for dissemination.
    std::size_t queuedCount() const { return m_queue.size(); }

    /// One hash for each bucket of the records in the digest; see hashesOf.
    GossipDigest digest() const;
    /// The buckets whose hashes differ from a peer's digest. Precondition: the digest has gossipBucketCount hashes.
    std::vector<std::uint16_t> differingBuckets(const GossipDigest&) const;
    /// The version hashes of one bucket's records in the digest: live members, and present items of live publishers.
    std::vector<std::uint64_t> hashesOf(std::uint16_t bucket) const;
    /// The records in the digest that belong to `buckets` and whose version hash is not among `hashes`.
    std::vector<const GossipRecord*> recordsWithout(
        std::span<const std::uint16_t> buckets, std::span<const std::uint64_t> hashes) const;
    /// The records in the digest with one of these version hashes.
    std::vector<const GossipRecord*> recordsWith(std::span<const std::uint64_t> hashes) const;

private:
    using Key = std::pair<GossipRecordKind, std::string>;
    struct Entry {
        GossipRecord record;
        std::uint64_t hash = 0;
        std::uint16_t bucket = 0;
        TimePoint changed {};         // when this version was stored
        std::uint32_t sends = 0;      // of this version; compared with the send limit
        std::uint64_t queueOrder = 0; // 0: not queued
        bool isInDigest = false;      // part of the digest and of anti-entropy
    };
    struct QueueKey {
        std::uint32_t sends = 0;
        std::uint64_t order = 0; // the later change comes first, so that a long queue does not delay a new one
        bool operator<(const QueueKey& other) const
        {
            return sends != other.sends ? sends < other.sends : order > other.order;
        }
    };

    void store(Entry&, GossipRecord record, TimePoint now);
    bool belongsInDigest(const Entry&) const;
    void setInDigest(Entry&, bool);
    void updateDigestForItemsOf(std::string_view publisher);
    void enqueue(Entry&, std::uint32_t sends);
    void dequeue(Entry&);
    /// Counts one transmission of a queued record and dequeues it at its limit.
    void countSend(Entry&);

    std::map<Key, Entry> m_entries;
    std::array<std::vector<Entry*>, gossipBucketCount> m_buckets; // the records in the digest
    std::array<std::uint32_t, gossipBucketCount> m_digest {};
    std::map<QueueKey, Entry*> m_queue;
    std::uint64_t m_nextOrder = 1;
    std::uint32_t m_sendLimit = 4;
};

} // namespace citronplank
