#include "coordination/LeafRecord.h"

#include <algorithm>
#include <msgpack.hpp>

namespace citronplank {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

void pack(Packer& packer, const Announcement& announcement)
{
    packer.pack_array(11);
    packer.pack(announcement.leaf);
    packer.pack(announcement.service);
    packer.pack(announcement.zone);
    packer.pack(announcement.address);
    packer.pack(announcement.boot);
    packer.pack(announcement.sequence);
    packer.pack(announcement.slots);
    packer.pack(announcement.connections);
    packer.pack(announcement.draining);
    packer.pack_array(static_cast<std::uint32_t>(announcement.versions.size() * 3));
    for (const auto& it : announcement.versions) {
        packer.pack(it.version);
        packer.pack(it.shard);
        packer.pack(it.shardCount);
    }
    packer.pack(announcement.warmupLeft.count());
}

template <typename Value>
Value valueAt(const msgpack::object& object, std::size_t i)
{
    if (object.type != msgpack::type::ARRAY || i >= object.via.array.size)
        throw msgpack::type_error();
    return object.via.array.ptr[i].as<Value>();
}

Announcement announcementFrom(const msgpack::object& object)
{
    Announcement announcement;
    announcement.leaf = valueAt<std::string>(object, 0);
    announcement.service = valueAt<std::string>(object, 1);
    announcement.zone = valueAt<std::string>(object, 2);
    announcement.address = valueAt<std::string>(object, 3);
    announcement.boot = valueAt<std::uint64_t>(object, 4);
    announcement.sequence = valueAt<std::uint64_t>(object, 5);
    announcement.slots = valueAt<std::uint32_t>(object, 6);
    announcement.connections = valueAt<std::uint32_t>(object, 7);
    announcement.draining = valueAt<bool>(object, 8);
    const auto numbers = valueAt<std::vector<std::uint64_t>>(object, 9);
    if (numbers.size() % 3 != 0)
        throw msgpack::type_error();
    for (std::size_t i = 0; i < numbers.size(); i += 3)
        announcement.versions.push_back(
            { numbers[i], static_cast<std::uint32_t>(numbers[i + 1]), static_cast<std::uint32_t>(numbers[i + 2]) });
    announcement.warmupLeft = milliseconds(valueAt<milliseconds::rep>(object, 10));
    return announcement;
}

// A record is [registrar, announcement] or, for a leaf that is gone, [registrar, announcement, true].
LeafRecord recordFrom(const msgpack::object& object)
{
    const bool isGone = object.via.array.size > 2 && valueAt<bool>(object, 2);
    LeafRecord record { LeafState(announcementFrom(valueAt<msgpack::object>(object, 1)),
                            isGone ? LeafPhase::Gone : LeafPhase::Ready),
        valueAt<std::string>(object, 0) };
    checkAnnouncement(record.state.announcement);
    return record;
}

// A departure is [leaf, boot, phase, age in ms]. Earlier releases look for an announcement where the boot is.
LeafDeparture departureFrom(const msgpack::object& object)
{
    LeafDeparture it { valueAt<std::string>(object, 0), valueAt<std::uint64_t>(object, 1),
        static_cast<LeafPhase>(valueAt<std::uint8_t>(object, 2)), milliseconds(valueAt<milliseconds::rep>(object, 3)) };
    if (it.leaf.empty() || (it.phase != LeafPhase::Draining && it.phase != LeafPhase::Gone))
        throw msgpack::type_error();
    it.age = std::clamp(it.age, milliseconds::zero(), milliseconds(std::chrono::hours(24)));
    return it;
}

} // namespace

LeafState::LeafState(Announcement it, LeafPhase atLeast)
    : announcement(std::move(it))
    , phase(announcement.draining ? LeafPhase::Draining : LeafPhase::Ready)
{
    advanceTo(atLeast);
}

void LeafState::advanceTo(LeafPhase it)
{
    phase = std::max(phase, it);
    announcement.draining = phase != LeafPhase::Ready;
}

void merge(LeafState& held, const LeafState& received)
{
    const auto& mine = held.announcement;
    const auto& it = received.announcement;
    const bool isSameStart = it.boot == mine.boot;
    const bool isLater = it.boot > mine.boot || (isSameStart && it.sequence > mine.sequence);
    const bool keepsPhase = isSameStart && (it.boot != 0 || it.sequence == mine.sequence);
    const auto phase = keepsPhase ? std::max(held.phase, received.phase) : received.phase;
    if (isLater || (isSameStart && it.sequence == mine.sequence))
        held = received;
    if (isLater || keepsPhase)
        held.advanceTo(phase);
}

bool hasSameContent(const LeafState& a, const LeafState& b)
{
    const auto& x = a.announcement;
    const auto& y = b.announcement;
    return a.phase == b.phase && x.leaf == y.leaf && x.service == y.service && x.zone == y.zone
        && x.address == y.address && x.boot == y.boot && x.slots == y.slots && x.connections == y.connections
        && x.versions == y.versions && (x.warmupLeft.count() > 0) == (y.warmupLeft.count() > 0);
}

void checkAnnouncement(const Announcement& announcement)
{
    if (announcement.leaf.empty() || announcement.service.empty() || announcement.zone.empty()
        || announcement.address.empty())
        throw Error(ErrorKind::BadRequest, "an announcement lacks the leaf, service, zone or address");
    // Larger durations overflow when they are added to the time.
    if (announcement.warmupLeft < milliseconds::zero() || announcement.warmupLeft > maxWarmup)
        throw Error(ErrorKind::BadRequest, "leaf " + announcement.leaf + " announces an invalid warm-up time");
    if (announcement.slots == 0)
        throw Error(ErrorKind::BadRequest, "leaf " + announcement.leaf + " announces no slots");
    for (const auto& it : announcement.versions)
        if (it.shardCount == 0 || it.shard >= it.shardCount)
            throw Error(ErrorKind::BadRequest,
                "leaf " + announcement.leaf + " announces a shard that is not below its number of shards");
}

std::string encodeLeafRecord(const LeafState& state, std::string_view registrar)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    const bool isGone = state.phase == LeafPhase::Gone;
    packer.pack_array(isGone ? 3 : 2);
    packer.pack(registrar);
    pack(packer, state.announcement);
    if (isGone)
        packer.pack(true);
    return { buffer.data(), buffer.size() };
}

std::string encodeLeafDeparture(const LeafDeparture& departure)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(4);
    packer.pack(departure.leaf);
    packer.pack(departure.boot);
    packer.pack(static_cast<std::uint8_t>(departure.phase));
    packer.pack(departure.age.count());
    return { buffer.data(), buffer.size() };
}

DecodedLeafEntry decodeLeafEntry(std::string_view bytes, std::size_t& offset)
{
    DecodedLeafEntry entry;
    try {
        // Limits what a malformed length field can make the decoder allocate.
        const msgpack::unpack_limit limit(3000, 16, maxLeafRecordBytes, maxLeafRecordBytes, 16, 8);
        std::size_t next = offset;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), next, nullptr, nullptr, limit);
        offset = next; // also past an entry whose content is invalid
        const auto& object = handle.get();
        if (valueAt<msgpack::object>(object, 1).type == msgpack::type::POSITIVE_INTEGER)
            entry.departure = departureFrom(object);
        else
            entry.record = recordFrom(object);
    } catch (const std::exception&) {
        return {}; // msgpack throws a different exception for each kind of malformed input
    }
    return entry;
}

} // namespace citronplank
