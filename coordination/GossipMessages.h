// Messages of the gossip protocol and the versioned records that are piggybacked on them. A datagram is one encoded
// message followed by any number of encoded records, so that records can be appended while they fit.
#pragma once

#include "citronplank.h"

#include <tuple>
#include <variant>

namespace citronplank {

constexpr std::size_t gossipDatagramBytes = 1200; // maximum, without IP and UDP headers
constexpr std::size_t gossipBucketCount = 128;    // 512 bytes of digest; about 58 records a bucket at 860 daemons

enum class GossipRecordKind : std::uint8_t { Member, Item };

/// A member's status. The order is the precedence at equal incarnation and sequence.
enum class MemberStatus : std::uint8_t { Alive, Suspect, Dead, Left };
std::string_view memberStatusName(MemberStatus); // "alive", "suspect", "dead", "left"

/// The status of an item's record. A removal has its own sequence, so the order never matters for items.
constexpr std::uint8_t itemPresent = 0;
constexpr std::uint8_t itemRemoved = 1;

/// One version of a member (`key` is its name) or of an item. Versions are ordered by version().
struct GossipRecord {
    GossipRecordKind kind = GossipRecordKind::Item;
    std::string key;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint8_t status = 0;            // MemberStatus, or itemPresent or itemRemoved
    std::string publisher;              // items only
    std::optional<std::string> payload; // absent in the short form, sent of members that the receiver should know

    auto version() const { return std::tie(incarnation, sequence, status, publisher); }
    bool isNewerThan(const GossipRecord& other) const { return version() > other.version(); }
    /// False for a removed item and for a dead or left member.
    bool isLive() const { return kind == GossipRecordKind::Item ? status == itemPresent : status < 2; }
};

/// Asks `target` for an ack with the same `number`. Because the ping names its target, another member that now uses the
/// address does not answer it.
struct GossipPing {
    std::uint64_t number = 0;
    std::string target;
};
/// Answers a ping, or a ping request whose target has answered the relay.
struct GossipAck {
    std::uint64_t number = 0;
};
/// Answers a ping request when the relay got no ack from the target in time. It shows that the relay itself is
/// reachable.
struct GossipNack {
    std::uint64_t number = 0;
};
/// Asks the receiver, as a relay, to ping `target` and to answer with an ack or a nack with this `number`.
struct GossipPingRequest {
    std::uint64_t number = 0;
    std::string target;
    std::string targetAddress;
};
/// One 32-bit hash for each bucket of live records; 0 for an empty bucket. The receiver compares it with its own.
struct GossipDigest {
    std::vector<std::uint32_t> buckets;
};
/// The version hashes of all live records in some buckets; answers a digest.
struct GossipSummary {
    std::vector<std::uint16_t> buckets;
    std::vector<std::uint64_t> hashes;
};
/// Answers a summary: requests the records with these version hashes, which the sender lacks. In separate datagrams it
/// sends those of its own records of the same buckets that the summary lacks.
struct GossipRecordRequest {
    std::vector<std::uint64_t> hashes;
};
/// Carries records only: disseminates updates, or answers a GossipRecordRequest.
struct GossipRecords {
    bool isSync = false; // part of anti-entropy: the receiver returns its own record for each older one
};

using GossipBody = std::variant<GossipPing, GossipAck, GossipNack, GossipPingRequest, GossipDigest, GossipSummary,
    GossipRecordRequest, GossipRecords>;

struct GossipMessage {
    std::string from; // name of the sender
    GossipBody body;
};

struct GossipDatagram {
    GossipMessage message;
    std::vector<GossipRecord> records;
};

/// Encodes a message, without records. Thread safe.
std::string encodeGossipMessage(const GossipMessage&);
/// Encodes a record; the short form leaves the payload out. Thread safe.
std::string encodeGossipRecord(const GossipRecord&, bool shortForm = false);
/// Decodes a datagram. Returns nothing when it is malformed. Thread safe.
std::optional<GossipDatagram> decodeGossipDatagram(std::string_view bytes);

/// Decodes concatenated records, such as those of Gossip::exportMembers(). Returns nothing when malformed. Thread safe.
std::optional<std::vector<GossipRecord>> decodeGossipRecords(std::string_view bytes);

/// Encodes what other members need to know of an instance, without its name and incarnation, which the record holds.
/// Thread safe.
std::string encodeInstance(const Instance&);
/// Returns nothing when the payload is malformed. Thread safe.
std::optional<Instance> decodeInstance(const std::string& name, std::uint64_t incarnation, std::string_view payload);

/// Hash of key and version. Thread safe.
std::uint64_t gossipVersionHash(const GossipRecord&);
/// Bucket of a record's key. Thread safe.
std::size_t gossipBucket(GossipRecordKind, std::string_view key);

} // namespace citronplank
