// The records that one member holds, their digest for anti-entropy, and the queue of records still to be spread.
#pragma once

#include "coordination/GossipMessages.h"

#include <array>
#include <functional>

namespace citronplank {

/// Core; callers serialize calls.
class GossipStore {
public:
    GossipStore() = default;
    GossipStore(GossipStore&&) = default; // the entries keep their addresses
    GossipStore& operator=(GossipStore&&) = default;
    GossipStore(const GossipStore&) = delete;
    GossipStore& operator=(const GossipStore&) = delete;

    enum class Merge : std::uint8_t {
        Newer,   // stored
        Same,    // already held
        Older,   // the store holds a newer version
        Ignored, // a removal of something unknown, or a short form that cannot be completed
    };

    /// Merges a record received from elsewhere and queues it for spreading when it is newer.
    /// `sendsLeft` bounds how often it is passed on; absent means the usual limit.
    Merge merge(GossipRecord record, TimePoint now, std::optional<std::uint32_t> sendsLeft = std::nullopt);
    /// Stores a record of this member, replacing any version, and queues it for spreading.
    void put(GossipRecord record, TimePoint now);

    /// The record held, or nullptr. Valid until the record is removed.
    const GossipRecord* find(GossipRecordKind kind, std::string_view key) const;
    /// Calls `visit` with each record, removed and dead ones included, ordered by kind and key.
    void forEach(const std::function<void(const GossipRecord&)>& visit) const;

    /// Calls `visit` with the present items of one publisher.
    void forEachItemOf(std::string_view publisher, const std::function<void(const GossipRecord&)>& visit) const;

    /// Drops removed items and dead or left members that have not changed since `removedBefore`, and the items of
    /// publishers that are dead or left since `lostBefore`. Returns how many.
    std::size_t dropRemoved(TimePoint removedBefore, TimePoint lostBefore);

    /// How often each record is passed on; follows the number of members.
    void setSendLimit(std::uint32_t limit) { m_sendLimit = limit; }
    /// Appends the encoded records that most need spreading, at most `maxBytes` in total.
    void appendQueued(std::string& datagram, std::size_t maxBytes);
    std::size_t queuedCount() const { return m_queue.size(); }

    /// Hashes of the listed records by bucket; see hashesOf.
    GossipDigest digest() const;
    /// The buckets whose hashes differ from a peer's digest. Precondition: the digest has gossipBucketCount hashes.
    std::vector<std::uint16_t> differingBuckets(const GossipDigest&) const;
    /// The version hashes of one bucket's listed records: live members, and present items of live publishers.
    std::vector<std::uint64_t> hashesOf(std::uint16_t bucket) const;
    /// The listed records of the buckets whose version hash is not among `hashes`.
    std::vector<const GossipRecord*> recordsWithout(
        std::span<const std::uint16_t> buckets, std::span<const std::uint64_t> hashes) const;
    /// The listed records with one of these version hashes.
    std::vector<const GossipRecord*> recordsWith(std::span<const std::uint64_t> hashes) const;

private:
    using Key = std::pair<GossipRecordKind, std::string>;
    struct Entry {
        GossipRecord record;
        std::uint64_t hash = 0;
        std::uint16_t bucket = 0;
        TimePoint changed {};
        std::uint32_t sends = 0;
        std::uint64_t queueOrder = 0; // 0: not queued
        bool isListed = false;        // part of the digest and of anti-entropy
    };
    struct QueueKey {
        std::uint32_t sends = 0;
        std::uint64_t order = 0; // the later change comes first, so that a long queue does not delay a fresh item
        bool operator<(const QueueKey& other) const
        {
            return sends != other.sends ? sends < other.sends : order > other.order;
        }
    };

    void store(Entry&, GossipRecord record, TimePoint now);
    bool belongsInDigest(const Entry&) const;
    void setListed(Entry&, bool);
    void relistItemsOf(std::string_view publisher);
    void enqueue(Entry&, std::uint32_t sends);
    void dequeue(Entry&);
    void countSend(Entry&);

    std::map<Key, Entry> m_entries;
    std::array<std::vector<Entry*>, gossipBucketCount> m_buckets; // the listed records
    std::array<std::uint32_t, gossipBucketCount> m_digest {};
    std::map<QueueKey, Entry*> m_queue;
    std::uint64_t m_nextOrder = 1;
    std::uint32_t m_sendLimit = 4;
};

} // namespace citronplank
