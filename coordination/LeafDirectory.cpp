#include "coordination/LeafDirectory.h"

#include <algorithm>
#include <msgpack.hpp>

namespace citronplank {

namespace {

constexpr std::uint32_t renewalsToTakeOver = 3; // consecutive
constexpr std::size_t maxRecordBytes = 900;     // below maxItemBytes, with room for the key

using Packer = msgpack::packer<msgpack::sbuffer>;

auto versionOf(const Announcement& announcement) { return std::pair(announcement.boot, announcement.sequence); }

// Whether two announcements are equal in all that a renewal publishes when it changes. Not compared are the sequence
// and how much warm-up time is left, only whether there is any.
bool hasSameContent(const Announcement& a, const Announcement& b)
{
    return a.leaf == b.leaf && a.service == b.service && a.zone == b.zone && a.address == b.address && a.boot == b.boot
        && a.slots == b.slots && a.connections == b.connections && a.versions == b.versions && a.draining == b.draining
        && (a.warmupLeft.count() > 0) == (b.warmupLeft.count() > 0);
}

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

void check(const Announcement& announcement)
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

} // namespace

LeafDirectory::LeafDirectory(std::string self, milliseconds timeout)
    : m_self(std::move(self))
    , m_timeout(timeout)
{
}

std::string LeafDirectory::encodeRecord(const Announcement& announcement, std::string_view registrar)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(2);
    packer.pack(registrar);
    pack(packer, announcement);
    return { buffer.data(), buffer.size() };
}

std::optional<LeafDirectory::Record> LeafDirectory::decodeRecord(std::string_view bytes, std::size_t& offset)
{
    try {
        // Limits what a malformed length field can make the decoder allocate.
        const msgpack::unpack_limit limit(3000, 16, maxRecordBytes, maxRecordBytes, 16, 8);
        std::size_t next = offset;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), next, nullptr, nullptr, limit);
        offset = next; // also past a record whose content is invalid
        Record record { announcementFrom(valueAt<msgpack::object>(handle.get(), 1)),
            valueAt<std::string>(handle.get(), 0) };
        check(record.announcement);
        return record;
    } catch (const std::exception&) {
        return std::nullopt; // msgpack throws a different exception for each kind of malformed input
    }
}

bool LeafDirectory::hasRecentRenewal(const Entry& entry, TimePoint now) const
{
    return entry.lastRenewal && now < *entry.lastRenewal + m_timeout;
}

void LeafDirectory::publish(Entry& entry, Output& out)
{
    entry.registrar = m_self;
    entry.registrarLostSince.reset();
    out.items.push_back(
        { std::string(leafKeyPrefix) + entry.announcement.leaf, encodeRecord(entry.announcement, m_self), false });
}

LeafDirectory::Entries::iterator LeafDirectory::erase(Entries::iterator it, Output& out)
{
    out.changed = true;
    return m_entries.erase(it);
}

LeafDirectory::Output LeafDirectory::announce(const Announcement& announcement, TimePoint now)
{
    check(announcement);
    if (encodeRecord(announcement, m_self).size() > maxRecordBytes)
        throw Error(ErrorKind::BadRequest, "the announcement of leaf " + announcement.leaf + " is too long");
    Output out;
    if (isAddressTakenOver(announcement))
        return out;
    removeEarlierLeavesAt(announcement, out);
    const auto [it, isNew] = m_entries.try_emplace(announcement.leaf);
    auto& entry = it->second;
    if (!isNew && versionOf(announcement) < versionOf(entry.announcement))
        return out;
    const bool hasNewContent = isNew || !hasSameContent(entry.announcement, announcement);
    const bool isNext = entry.lastRenewal && announcement.sequence == entry.announcement.sequence + 1;
    entry.consecutiveRenewals = isNext && hasRecentRenewal(entry, now) ? entry.consecutiveRenewals + 1 : 1;
    entry.lastRenewal = now;
    entry.announcement = announcement;
    const bool takesOver = entry.registrar != m_self
        && (entry.consecutiveRenewals >= renewalsToTakeOver || entry.registrarLostSince.has_value());
    if (hasNewContent || takesOver)
        publish(entry, out);
    out.changed = out.changed || hasNewContent;
    return out;
}

/// Whether a leaf that started later has announced the same address. The announcement is then a delayed one of a leaf
/// that has exited.
bool LeafDirectory::isAddressTakenOver(const Announcement& announcement) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& it) {
        const auto& other = it.second.announcement;
        return other.leaf != announcement.leaf && other.address == announcement.address
            && other.boot > announcement.boot;
    });
}

/// Removes the leaves that announced the address of `announcement` and started before its leaf; they have exited.
void LeafDirectory::removeEarlierLeavesAt(const Announcement& announcement, Output& out)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto& other = it->second.announcement;
        if (other.leaf == announcement.leaf || other.address != announcement.address
            || other.boot >= announcement.boot) {
            ++it;
            continue;
        }
        out.items.push_back({ std::string(leafKeyPrefix) + it->first, {}, true });
        it = erase(it, out);
    }
}

LeafDirectory::Output LeafDirectory::depart(std::string_view leaf, TimePoint now)
{
    Output out;
    const auto it = m_entries.find(leaf);
    if (it == m_entries.end())
        return out;
    auto& entry = it->second;
    out.changed = !entry.announcement.draining;
    entry.announcement.draining = true;
    ++entry.announcement.sequence;
    entry.lastRenewal = now;
    publish(entry, out);
    return out;
}

LeafDirectory::Output LeafDirectory::applyItem(
    std::string_view key, std::string_view payload, bool removed, TimePoint now)
{
    Output out;
    if (!key.starts_with(leafKeyPrefix))
        return out;
    if (removed) {
        const auto it = m_entries.find(key.substr(leafKeyPrefix.size()));
        if (it == m_entries.end())
            return out;
        // The registrar that removed the leaf has not heard from it for 2 s, but this daemon has.
        if (hasRecentRenewal(it->second, now))
            publish(it->second, out);
        else
            erase(it, out);
        return out;
    }
    std::size_t offset = 0;
    if (auto record = decodeRecord(payload, offset); record
        && leafKeyPrefix.size() + record->announcement.leaf.size() == key.size()
        && key.ends_with(record->announcement.leaf))
        applyRecord(std::move(*record), now, out);
    return out;
}

void LeafDirectory::applyRecord(Record record, TimePoint now, Output& out)
{
    const auto [it, isNew] = m_entries.try_emplace(record.announcement.leaf);
    auto& entry = it->second;
    const bool isOlder = !isNew && versionOf(record.announcement) < versionOf(entry.announcement);
    if (isOlder && hasRecentRenewal(entry, now)) {
        // A registrar with an older announcement has overwritten this daemon's item, or has missed a change that this
        // daemon has received.
        if (entry.registrar == m_self || !hasSameContent(entry.announcement, record.announcement))
            publish(entry, out);
        else
            entry.registrar = record.registrar;
        return;
    }
    if (isOlder && entry.announcement.boot != record.announcement.boot)
        return;
    if (record.registrar == m_self && !hasRecentRenewal(entry, now)) {
        // This daemon published the item before it restarted. The leaf has no registrar until it announces itself
        // again.
        entry.registrarLostSince = now;
    } else {
        const bool isRegistrarLost
            = m_registrarsKnown && record.registrar != m_self && !m_liveRegistrars.contains(record.registrar);
        entry.registrarLostSince = isRegistrarLost ? std::optional(now) : std::nullopt;
    }
    out.changed = isNew || !hasSameContent(entry.announcement, record.announcement);
    entry.registrar = std::move(record.registrar);
    if (!isOlder)
        entry.announcement = std::move(record.announcement);
}

LeafDirectory::Output LeafDirectory::setLiveRegistrars(const std::set<std::string, std::less<>>& names, TimePoint now)
{
    Output out;
    m_liveRegistrars = names;
    m_registrarsKnown = true;
    for (auto& [name, entry] : m_entries) {
        if (entry.registrar == m_self)
            continue;
        if (names.contains(entry.registrar)) {
            entry.registrarLostSince.reset();
        } else if (hasRecentRenewal(entry, now)) {
            publish(entry, out);
        } else if (!entry.registrarLostSince) {
            entry.registrarLostSince = now;
        }
    }
    return out;
}

LeafDirectory::Output LeafDirectory::expire(TimePoint now)
{
    Output out;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto& entry = it->second;
        const bool isRegistrar = entry.registrar == m_self && entry.lastRenewal && !entry.registrarLostSince;
        if (isRegistrar && !hasRecentRenewal(entry, now)) {
            out.items.push_back({ std::string(leafKeyPrefix) + it->first, {}, true });
            it = erase(it, out);
        } else if (entry.registrarLostSince && now >= *entry.registrarLostSince + m_timeout
            && !hasRecentRenewal(entry, now)) {
            // If this daemon published the item before it restarted, no other registrar would remove it.
            if (entry.registrar == m_self)
                out.items.push_back({ std::string(leafKeyPrefix) + it->first, {}, true });
            it = erase(it, out);
        } else {
            ++it;
        }
    }
    return out;
}

std::vector<std::string> LeafDirectory::services() const
{
    std::set<std::string> names;
    for (const auto& [name, entry] : m_entries)
        names.insert(entry.announcement.service);
    return { names.begin(), names.end() };
}

std::vector<Announcement> LeafDirectory::replicasOf(std::string_view service) const
{
    std::vector<Announcement> replicas;
    for (const auto& [name, entry] : m_entries)
        if (entry.announcement.service == service)
            replicas.push_back(entry.announcement);
    return replicas;
}

std::vector<Announcement> LeafDirectory::leaves() const
{
    std::vector<Announcement> all;
    all.reserve(m_entries.size());
    for (const auto& [name, entry] : m_entries)
        all.push_back(entry.announcement);
    return all;
}

std::vector<Announcement> LeafDirectory::leavesIn(std::string_view zone) const
{
    std::vector<Announcement> leaves;
    for (const auto& [name, entry] : m_entries) {
        if (entry.announcement.zone == zone)
            leaves.push_back(entry.announcement);
    }
    return leaves;
}

std::optional<Announcement> LeafDirectory::leaf(std::string_view name) const
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? std::nullopt : std::optional(it->second.announcement);
}

std::uint64_t LeafDirectory::contentHash() const
{
    std::uint64_t hash = 0;
    for (const auto& [name, entry] : m_entries) {
        auto announcement = entry.announcement;
        announcement.sequence = 0;
        hash = hash64(encodeRecord(announcement, {}), hash);
    }
    return hash;
}

std::string LeafDirectory::exportAll() const
{
    std::string bytes;
    for (const auto& [name, entry] : m_entries)
        bytes += encodeRecord(entry.announcement, entry.registrar);
    return bytes;
}

LeafDirectory::Output LeafDirectory::importAll(std::string_view bytes, TimePoint now)
{
    Output out;
    std::vector<Record> records;
    for (std::size_t offset = 0; offset < bytes.size();) {
        const auto begin = offset;
        if (auto record = decodeRecord(bytes, offset))
            records.push_back(std::move(*record));
        else if (offset == begin)
            throw Error(ErrorKind::BadRequest, "the imported leaf directory is malformed or truncated");
    }
    bool changed = false;
    for (auto& record : records) {
        applyRecord(std::move(record), now, out);
        changed = changed || out.changed;
    }
    out.changed = changed;
    return out;
}

} // namespace citronplank
