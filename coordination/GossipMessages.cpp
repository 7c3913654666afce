#include "coordination/GossipMessages.h"

#include <array>
#include <msgpack.hpp>

namespace citronplank {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Limits what a malformed length field can make the decoder allocate.
const msgpack::unpack_limit datagramLimit(512, 16, gossipDatagramBytes, gossipDatagramBytes, 16, 8);

void packBody(Packer& packer, const GossipPing& ping)
{
    packer.pack_array(2);
    packer.pack(ping.number);
    packer.pack(ping.target);
}

void packBody(Packer& packer, const GossipAck& ack)
{
    packer.pack_array(1);
    packer.pack(ack.number);
}

void packBody(Packer& packer, const GossipNack& nack)
{
    packer.pack_array(1);
    packer.pack(nack.number);
}

void packBody(Packer& packer, const GossipPingRequest& request)
{
    packer.pack_array(3);
    packer.pack(request.number);
    packer.pack(request.target);
    packer.pack(request.targetAddress);
}

// Hashes are packed as raw bytes because msgpack integers of random values take up to one byte more each.
template <typename Number>
void packNumbers(Packer& packer, const std::vector<Number>& numbers)
{
    std::string bytes;
    bytes.reserve(numbers.size() * sizeof(Number));
    for (const Number number : numbers)
        for (std::size_t i = 0; i < sizeof(Number); ++i)
            bytes.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

// Encodes a bitmap of the buckets in use, then only their hashes, which are few for a joining member or a small group.
void packBody(Packer& packer, const GossipDigest& digest)
{
    std::vector<std::uint8_t> used(gossipBucketCount / 8, 0);
    std::vector<std::uint32_t> hashes;
    for (std::size_t i = 0; i < digest.buckets.size(); ++i)
        if (digest.buckets[i] != 0) {
            used[i / 8] |= static_cast<std::uint8_t>(1U << (i % 8));
            hashes.push_back(digest.buckets[i]);
        }
    packer.pack_array(2);
    packNumbers(packer, used);
    packNumbers(packer, hashes);
}

void packBody(Packer& packer, const GossipSummary& summary)
{
    packer.pack_array(2);
    packNumbers(packer, summary.buckets);
    packNumbers(packer, summary.hashes);
}

void packBody(Packer& packer, const GossipRecordRequest& request)
{
    packer.pack_array(1);
    packNumbers(packer, request.hashes);
}

void packBody(Packer& packer, const GossipRecords& records)
{
    packer.pack_array(1);
    packer.pack(records.isSync);
}

const msgpack::object& element(const msgpack::object& object, std::size_t i)
{
    if (object.type != msgpack::type::ARRAY || i >= object.via.array.size)
        throw msgpack::type_error();
    return object.via.array.ptr[i];
}

template <typename Value>
Value valueAt(const msgpack::object& object, std::size_t i)
{
    return element(object, i).as<Value>();
}

template <typename Number>
std::vector<Number> numbersAt(const msgpack::object& object, std::size_t i)
{
    const auto& field = element(object, i);
    if (field.type != msgpack::type::BIN || field.via.bin.size % sizeof(Number) != 0)
        throw msgpack::type_error();
    std::vector<Number> numbers(field.via.bin.size / sizeof(Number), 0);
    for (std::size_t n = 0; n < numbers.size(); ++n)
        for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
            numbers[n] |= static_cast<Number>(
                static_cast<Number>(static_cast<unsigned char>(field.via.bin.ptr[n * sizeof(Number) + byte]))
                << (8 * byte));
    return numbers;
}

GossipDigest digestFrom(const msgpack::object& body)
{
    const auto used = numbersAt<std::uint8_t>(body, 0);
    const auto hashes = numbersAt<std::uint32_t>(body, 1);
    if (used.size() != gossipBucketCount / 8)
        throw msgpack::type_error();
    GossipDigest digest { std::vector<std::uint32_t>(gossipBucketCount, 0) };
    std::size_t next = 0;
    for (std::size_t i = 0; i < gossipBucketCount; ++i)
        if ((used[i / 8] >> (i % 8) & 1U) != 0)
            digest.buckets[i] = hashes.at(next++);
    return digest;
}

GossipBody bodyFrom(std::size_t type, const msgpack::object& body)
{
    switch (type) {
    case 0:
        return GossipPing { valueAt<std::uint64_t>(body, 0), valueAt<std::string>(body, 1) };
    case 1:
        return GossipAck { valueAt<std::uint64_t>(body, 0) };
    case 2:
        return GossipNack { valueAt<std::uint64_t>(body, 0) };
    case 3:
        return GossipPingRequest { valueAt<std::uint64_t>(body, 0), valueAt<std::string>(body, 1),
            valueAt<std::string>(body, 2) };
    case 4:
        return digestFrom(body);
    case 5:
        return GossipSummary { numbersAt<std::uint16_t>(body, 0), numbersAt<std::uint64_t>(body, 1) };
    case 6:
        return GossipRecordRequest { numbersAt<std::uint64_t>(body, 0) };
    case 7:
        return GossipRecords { valueAt<bool>(body, 0) };
    default:
        throw msgpack::type_error();
    }
}

GossipRecord recordFrom(const msgpack::object& object)
{
    GossipRecord record;
    const auto kind = valueAt<unsigned>(object, 0);
    record.kind = kind == 0 ? GossipRecordKind::Member : GossipRecordKind::Item;
    record.key = valueAt<std::string>(object, 1);
    record.incarnation = valueAt<std::uint64_t>(object, 2);
    record.sequence = valueAt<std::uint64_t>(object, 3);
    record.status = valueAt<std::uint8_t>(object, 4);
    record.publisher = valueAt<std::string>(object, 5);
    if (element(object, 6).type != msgpack::type::NIL)
        record.payload = valueAt<std::string>(object, 6);
    const bool isMember = record.kind == GossipRecordKind::Member;
    if (kind > 1 || record.key.empty() || record.status > (isMember ? 3 : 1) || (!isMember && !record.payload))
        throw msgpack::type_error();
    if (isMember && record.payload && !decodeInstance(record.key, record.incarnation, *record.payload))
        throw msgpack::type_error();
    return record;
}

std::string toString(const msgpack::sbuffer& buffer) { return { buffer.data(), buffer.size() }; }

// The three addresses of an instance usually share their IP, so it is sent once: an address with the IP of `base` is
// shortened to ":PORT".
std::string shortAddress(const std::string& address, const std::string& base)
{
    const auto colon = address.rfind(':');
    const bool isShared = colon != std::string::npos && address.substr(0, colon) == base.substr(0, base.rfind(':'));
    return isShared ? address.substr(colon) : address;
}

std::string fullAddress(const std::string& address, const std::string& base)
{
    return address.starts_with(':') ? base.substr(0, base.rfind(':')) + address : address;
}

} // namespace

std::string_view memberStatusName(MemberStatus status)
{
    constexpr std::array<std::string_view, 4> names { "alive", "suspect", "dead", "left" };
    return names.at(static_cast<std::size_t>(status));
}

std::string encodeGossipMessage(const GossipMessage& message)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(3);
    packer.pack(static_cast<std::uint8_t>(message.body.index()));
    packer.pack(message.from);
    std::visit([&](const auto& body) { packBody(packer, body); }, message.body);
    return toString(buffer);
}

std::string encodeGossipRecord(const GossipRecord& record, bool shortForm)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(7);
    packer.pack(static_cast<std::uint8_t>(record.kind));
    packer.pack(record.key);
    packer.pack(record.incarnation);
    packer.pack(record.sequence);
    packer.pack(record.status);
    packer.pack(record.publisher);
    if (record.payload && !shortForm)
        packer.pack(*record.payload);
    else
        packer.pack_nil();
    return toString(buffer);
}

std::optional<GossipDatagram> decodeGossipDatagram(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > gossipDatagramBytes)
        return std::nullopt;
    try {
        GossipDatagram datagram;
        std::size_t offset = 0;
        const auto head = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, datagramLimit);
        datagram.message.from = valueAt<std::string>(head.get(), 1);
        datagram.message.body = bodyFrom(valueAt<std::size_t>(head.get(), 0), element(head.get(), 2));
        while (offset < bytes.size()) {
            const auto record = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, datagramLimit);
            datagram.records.push_back(recordFrom(record.get()));
        }
        if (datagram.message.from.empty())
            return std::nullopt;
        return datagram;
    } catch (const std::exception&) {
        return std::nullopt; // msgpack throws a different exception for each kind of malformed input
    }
}

std::optional<std::vector<GossipRecord>> decodeGossipRecords(std::string_view bytes)
{
    try {
        std::vector<GossipRecord> records;
        for (std::size_t offset = 0; offset < bytes.size();) {
            const auto record = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, datagramLimit);
            records.push_back(recordFrom(record.get()));
        }
        return records;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string encodeInstance(const Instance& instance)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(6);
    packer.pack(instance.region);
    packer.pack(instance.zone);
    packer.pack(instance.gossipAddress);
    packer.pack(shortAddress(instance.linkAddress, instance.gossipAddress));
    packer.pack(shortAddress(instance.adminAddress, instance.gossipAddress));
    packer.pack(instance.controlMember);
    return toString(buffer);
}

std::optional<Instance> decodeInstance(const std::string& name, std::uint64_t incarnation, std::string_view payload)
{
    try {
        const auto handle = msgpack::unpack(payload.data(), payload.size(), nullptr, nullptr, datagramLimit);
        Instance instance;
        instance.name = name;
        instance.incarnation = incarnation;
        instance.region = valueAt<std::string>(handle.get(), 0);
        instance.zone = valueAt<std::string>(handle.get(), 1);
        instance.gossipAddress = valueAt<std::string>(handle.get(), 2);
        instance.linkAddress = fullAddress(valueAt<std::string>(handle.get(), 3), instance.gossipAddress);
        instance.adminAddress = fullAddress(valueAt<std::string>(handle.get(), 4), instance.gossipAddress);
        instance.controlMember = valueAt<bool>(handle.get(), 5);
        return instance;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::uint64_t gossipVersionHash(const GossipRecord& record)
{
    const std::uint64_t keyHash = hash64(record.key, static_cast<std::uint64_t>(record.kind));
    const std::array<std::uint64_t, 3> numbers { record.incarnation, record.sequence, record.status };
    const std::string_view bytes(reinterpret_cast<const char*>(numbers.data()), sizeof numbers);
    return hash64(bytes, hash64(record.publisher, keyHash));
}

std::size_t gossipBucket(GossipRecordKind kind, std::string_view key)
{
    return hash64(key, static_cast<std::uint64_t>(kind)) % gossipBucketCount;
}

} // namespace citronplank
