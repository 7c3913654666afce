#include "coordination/LeafDirectory.h"

#include <algorithm>

namespace citronplank {

namespace {

constexpr std::uint32_t renewalsToTakeOver = 3;         // consecutive
constexpr milliseconds departureCheckInterval { 1000 }; // between checks for departures to forget
/// Differences of the end of a warm-up up to this are due to the delays of announcements.
constexpr milliseconds warmupTolerance { 50 };

} // namespace

LeafDirectory::LeafDirectory(std::string self, milliseconds timeout)
    : m_self(std::move(self))
    , m_timeout(timeout)
{
}

bool LeafDirectory::hasRecentRenewal(const Entry& entry, TimePoint now) const
{
    return entry.lastRenewal && now < *entry.lastRenewal + m_timeout;
}

/// Whether the announcement is of a start that has departed, or of an earlier one.
bool LeafDirectory::isDeparted(const Announcement& announcement) const
{
    const auto it = m_departures.find(announcement.leaf);
    return it != m_departures.end() && announcement.boot <= it->second.boot;
}

void LeafDirectory::publish(Entry& entry, Output& out)
{
    entry.registrar = m_self;
    entry.registrarLostSince.reset();
    const auto& leaf = entry.state.announcement.leaf;
    m_repairs.erase(leaf);
    out.items.push_back({ std::string(leafKeyPrefix) + leaf, encodeLeafRecord(entry.state, m_self), false });
}

void LeafDirectory::publishRemoval(const std::string& leaf, Output& out)
{
    out.items.push_back({ std::string(leafKeyPrefix) + leaf, {}, true });
}

/// Publishes that a leaf is draining or gone, to be confirmed by the peers.
void LeafDirectory::publishNotice(Entry& entry, Output& out)
{
    publish(entry, out);
    out.notice = Notice { entry.state.announcement.leaf, entry.state.announcement.boot, entry.state.phase };
}

void LeafDirectory::confirm(const Notice& notice)
{
    const auto it = m_entries.find(notice.leaf);
    if (it != m_entries.end() && it->second.state.announcement.boot == notice.boot)
        it->second.confirmed = std::max(it->second.confirmed, notice.phase);
}

/// Removes a leaf from the list, and remembers its departure if it has departed. Of a leaf without a start time nothing
/// is remembered, because its next start could not be distinguished.
LeafDirectory::Entries::iterator LeafDirectory::erase(Entries::iterator it, TimePoint now, Output& out)
{
    out.changed = true;
    const auto& state = it->second.state;
    if (state.phase != LeafPhase::Ready && state.announcement.boot != 0)
        m_departures.insert_or_assign(it->first, Departure { state.announcement.boot, state.phase, now });
    m_repairs.erase(it->first);
    return m_entries.erase(it);
}

LeafDirectory::Output LeafDirectory::announce(const Announcement& announcement, TimePoint now)
{
    checkAnnouncement(announcement);
    const LeafState received(announcement);
    if (encodeLeafRecord(received, m_self).size() > maxLeafRecordBytes)
        throw Error(ErrorKind::BadRequest, "the announcement of leaf " + announcement.leaf + " is too long");
    Output out;
    if (isDeparted(announcement) || isAddressTakenOver(announcement))
        return out;
    m_departures.erase(announcement.leaf);
    removeEarlierLeavesAt(announcement, now, out);
    const auto [it, isNew] = m_entries.try_emplace(announcement.leaf);
    auto& entry = it->second;
    const auto before = isNew ? LeafState() : entry.state;
    const bool isLaterStart = isNew || before.announcement.boot < announcement.boot;
    if (isLaterStart) {
        entry.state = received;
        entry.confirmed = LeafPhase::Ready;
        entry.coldUntil = {};
    } else {
        merge(entry.state, received);
    }
    const bool isRenewal = isLaterStart
        || (before.announcement.boot == announcement.boot && before.announcement.sequence <= announcement.sequence
            && before.phase != LeafPhase::Gone);
    const bool isLater = isLaterStart || (isRenewal && before.announcement.sequence < announcement.sequence);
    const bool isLongerCold = isLater && extendsWarmup(entry, announcement, now);
    const bool hasNewContent = isNew || isLongerCold || !hasSameContent(before, entry.state);
    if (isRenewal) {
        const bool isNext = entry.lastRenewal && announcement.sequence == before.announcement.sequence + 1;
        entry.consecutiveRenewals = isNext && hasRecentRenewal(entry, now) ? entry.consecutiveRenewals + 1 : 1;
        entry.lastRenewal = now;
    }
    const bool takesOver = isRenewal && entry.registrar != m_self
        && (entry.consecutiveRenewals >= renewalsToTakeOver || entry.registrarLostSince.has_value());
    // A notice counts only within its start; a late one of an earlier start is not about the entry.
    const bool isNotice = announcement.draining && announcement.boot == entry.state.announcement.boot;
    if (isNotice && entry.confirmed < entry.state.phase)
        publishNotice(entry, out);
    else if (hasNewContent || takesOver)
        publish(entry, out);
    out.changed = out.changed || hasNewContent;
    return out;
}

/// Whether an announcement ends the warm-up of its leaf later than the instances know. They then learn it from the item
/// that is published.
bool LeafDirectory::extendsWarmup(Entry& entry, const Announcement& announcement, TimePoint now)
{
    const bool isCold = announcement.warmupLeft > milliseconds::zero();
    const auto until = isCold ? now + announcement.warmupLeft : TimePoint();
    if (isCold && until <= entry.coldUntil + warmupTolerance)
        return false;
    entry.coldUntil = until;
    return isCold;
}

/// Whether a leaf that started later has announced the same address. The announcement is then a delayed one of a leaf
/// that has exited.
bool LeafDirectory::isAddressTakenOver(const Announcement& announcement) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& it) {
        const auto& other = it.second.state.announcement;
        return other.leaf != announcement.leaf && other.address == announcement.address
            && other.boot > announcement.boot;
    });
}

/// Removes the leaves that announced the address of `announcement` and started before its leaf; they have exited.
void LeafDirectory::removeEarlierLeavesAt(const Announcement& announcement, TimePoint now, Output& out)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto& other = it->second.state.announcement;
        if (other.leaf == announcement.leaf || other.address != announcement.address
            || other.boot >= announcement.boot) {
            ++it;
            continue;
        }
        publishRemoval(it->first, out);
        it = erase(it, now, out);
    }
}

LeafDirectory::Output LeafDirectory::depart(std::string_view leaf, TimePoint now)
{
    Output out;
    const auto it = m_entries.find(leaf);
    if (it == m_entries.end())
        return out;
    auto& entry = it->second;
    out.changed = entry.state.phase == LeafPhase::Ready;
    if (entry.state.phase != LeafPhase::Gone)
        entry.lastRenewal = now;
    entry.state.advanceTo(LeafPhase::Gone);
    if (entry.confirmed != LeafPhase::Gone)
        publishNotice(entry, out);
    return out;
}

LeafDirectory::Output LeafDirectory::applyItem(
    std::string_view key, std::string_view payload, bool removed, TimePoint now)
{
    Output out;
    if (!key.starts_with(leafKeyPrefix))
        return out;
    const auto name = key.substr(leafKeyPrefix.size());
    if (removed) {
        if (const auto it = m_repairs.find(name); it != m_repairs.end())
            m_repairs.erase(it);
        const auto it = m_entries.find(name);
        if (it == m_entries.end())
            return out;
        // The registrar that removed the leaf has not heard from it for 2 s, but this daemon has.
        if (hasRecentRenewal(it->second, now) && it->second.state.phase != LeafPhase::Gone)
            publish(it->second, out);
        else
            erase(it, now, out);
        return out;
    }
    std::size_t offset = 0;
    if (auto record = decodeLeafEntry(payload, offset).record; record && record->state.announcement.leaf == name)
        applyRecord(std::move(*record), now, out);
    return out;
}

void LeafDirectory::applyRecord(LeafRecord record, TimePoint now, Output& out)
{
    const auto received = std::move(record.state);
    const auto& name = received.announcement.leaf;
    if (isDeparted(received.announcement)) {
        auto& departure = m_departures.find(name)->second;
        if (departure.boot == received.announcement.boot && departure.phase > received.phase)
            scheduleRepair(received, now);
        else if (departure.boot == received.announcement.boot)
            departure.phase = received.phase;
        return;
    }
    m_departures.erase(name);
    const auto [it, isNew] = m_entries.try_emplace(name);
    auto& entry = it->second;
    const auto before = entry.state;
    const bool isLaterStart = isNew || before.announcement.boot < received.announcement.boot;
    const bool isSameStart = !isNew && before.announcement.boot == received.announcement.boot;
    if (isLaterStart)
        entry = Entry { .state = received };
    else
        merge(entry.state, received);
    const bool isDepartureOverwritten = isSameStart && received.phase < entry.state.phase;
    const bool isOlder = !isLaterStart
        && (!isSameStart || isDepartureOverwritten || received.announcement.sequence < before.announcement.sequence);
    const bool isWitness = hasRecentRenewal(entry, now);
    // A second copy of an item arrives later and says nothing new.
    const bool isLater = isLaterStart || (isSameStart && received.announcement.sequence > before.announcement.sequence);
    const bool isLongerCold = isLater && extendsWarmup(entry, received.announcement, now);
    out.changed = isNew || isLongerCold || !hasSameContent(before, entry.state);
    if (isOlder && isWitness) {
        // A registrar with an older announcement has overwritten this daemon's item, or has missed a change that this
        // daemon has received.
        if (entry.registrar == m_self || !hasSameContent(entry.state, received))
            publish(entry, out);
        else
            entry.registrar = std::move(record.registrar);
        return;
    }
    if (!isLaterStart && !isSameStart)
        return;
    if (isDepartureOverwritten)
        scheduleRepair(received, now);
    else
        m_repairs.erase(name);
    setRegistrar(entry, std::move(record.registrar), now);
}

/// Sets the registrar that another daemon has published.
void LeafDirectory::setRegistrar(Entry& entry, std::string registrar, TimePoint now)
{
    if (registrar == m_self && !hasRecentRenewal(entry, now)) {
        // This daemon published the item before it restarted. The leaf has no registrar until it announces itself
        // again.
        entry.registrarLostSince = now;
    } else {
        const bool isLost = m_registrarsKnown && registrar != m_self && !m_liveRegistrars.contains(registrar);
        entry.registrarLostSince = isLost ? std::optional(now) : std::nullopt;
    }
    entry.registrar = std::move(registrar);
}

/// Merges a departure of a start that another daemon does not list any more.
void LeafDirectory::applyDeparture(const LeafDeparture& departure, TimePoint now, Output& out)
{
    const auto removedAt = now - departure.age;
    if (departure.boot == 0 || departure.age >= departureRetention)
        return;
    if (const auto it = m_entries.find(departure.leaf); it != m_entries.end()) {
        auto& entry = it->second;
        if (entry.state.announcement.boot > departure.boot)
            return;
        const bool isSameStart = entry.state.announcement.boot == departure.boot;
        out.changed = out.changed || entry.state.phase == LeafPhase::Ready;
        if (isSameStart)
            entry.state.advanceTo(departure.phase);
        if (isSameStart && hasRecentRenewal(entry, now)) {
            publish(entry, out); // the others have missed a change that this daemon has received
            return;
        }
        erase(it, now, out);
    }
    const auto [it, isNew]
        = m_departures.try_emplace(departure.leaf, Departure { departure.boot, departure.phase, removedAt });
    auto& held = it->second;
    if (isNew || held.boot > departure.boot)
        return;
    if (held.boot < departure.boot)
        held = { departure.boot, departure.phase, removedAt };
    held.phase = std::max(held.phase, departure.phase);
    held.removedAt = std::min(held.removedAt, TimePoint(removedAt));
}

/// Schedules that a departure which this daemon knows is published again. The delay depends on the place of this daemon
/// among the live ones, which differs from leaf to leaf.
void LeafDirectory::scheduleRepair(const LeafState& overwrittenBy, TimePoint now)
{
    const auto& leaf = overwrittenBy.announcement.leaf;
    std::size_t place = 0;
    if (!m_liveRegistrars.empty()) {
        const auto n = m_liveRegistrars.size();
        const auto self = std::distance(m_liveRegistrars.begin(), m_liveRegistrars.lower_bound(m_self));
        place = (static_cast<std::size_t>(self) + n - hash64(leaf, 0) % n) % n;
    }
    m_repairs.try_emplace(leaf, Repair { overwrittenBy, now + static_cast<int>(place) * repairStep });
}

/// Publishes the overwritten departures that are due. A leaf that was removed is listed as draining once more until it
/// expires, so that its removal is published too.
void LeafDirectory::repair(TimePoint now, Output& out)
{
    for (auto it = m_repairs.begin(); it != m_repairs.end();) {
        if (now < it->second.due) {
            ++it;
            continue;
        }
        const auto name = it->first;
        const auto overwrittenBy = std::move(it->second.overwrittenBy);
        it = m_repairs.erase(it);
        auto entry = m_entries.find(name);
        const auto departure = m_departures.find(name);
        if (entry == m_entries.end() && departure != m_departures.end()
            && departure->second.boot == overwrittenBy.announcement.boot) {
            entry = m_entries.try_emplace(name).first;
            entry->second.state = LeafState(overwrittenBy.announcement, departure->second.phase);
            m_departures.erase(departure);
            out.changed = true;
        }
        if (entry == m_entries.end() || entry->second.state.phase == LeafPhase::Ready)
            continue;
        entry->second.lastRenewal = now; // so that this daemon removes the leaf at the timeout
        publish(entry->second, out);
    }
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
    repair(now, out);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto& entry = it->second;
        const bool isRegistrar = entry.registrar == m_self && entry.lastRenewal && !entry.registrarLostSince;
        if (isRegistrar && !hasRecentRenewal(entry, now)) {
            publishRemoval(it->first, out);
            it = erase(it, now, out);
        } else if (entry.registrarLostSince && now >= *entry.registrarLostSince + m_timeout
            && !hasRecentRenewal(entry, now)) {
            // If this daemon published the item before it restarted, no other registrar would remove it.
            if (entry.registrar == m_self)
                publishRemoval(it->first, out);
            it = erase(it, now, out);
        } else {
            ++it;
        }
    }
    if (now >= m_departuresCheckedAt + departureCheckInterval)
        expireDepartures(now);
    return out;
}

void LeafDirectory::expireDepartures(TimePoint now)
{
    m_departuresCheckedAt = now;
    std::erase_if(m_departures, [&](const auto& it) { return now - it.second.removedAt >= departureRetention; });
    while (m_departures.size() > maxDepartures)
        m_departures.erase(std::min_element(m_departures.begin(), m_departures.end(),
            [](const auto& a, const auto& b) { return a.second.removedAt < b.second.removedAt; }));
}

std::vector<std::string> LeafDirectory::services() const
{
    std::set<std::string> names;
    for (const auto& [name, entry] : m_entries)
        names.insert(entry.state.announcement.service);
    return { names.begin(), names.end() };
}

std::vector<Announcement> LeafDirectory::replicasOf(std::string_view service) const
{
    std::vector<Announcement> replicas;
    for (const auto& [name, entry] : m_entries)
        if (entry.state.announcement.service == service)
            replicas.push_back(entry.state.announcement);
    return replicas;
}

std::vector<Announcement> LeafDirectory::leaves() const
{
    std::vector<Announcement> all;
    all.reserve(m_entries.size());
    for (const auto& [name, entry] : m_entries)
        all.push_back(entry.state.announcement);
    return all;
}

std::vector<Announcement> LeafDirectory::leavesIn(std::string_view zone) const
{
    std::vector<Announcement> leaves;
    for (const auto& [name, entry] : m_entries) {
        if (entry.state.announcement.zone == zone)
            leaves.push_back(entry.state.announcement);
    }
    return leaves;
}

std::optional<Announcement> LeafDirectory::leaf(std::string_view name) const
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? std::nullopt : std::optional(it->second.state.announcement);
}

std::uint64_t LeafDirectory::contentHash() const
{
    std::uint64_t hash = 0;
    for (const auto& [name, entry] : m_entries) {
        auto state = entry.state;
        state.announcement.sequence = 0;
        hash = hash64(encodeLeafRecord(state, {}), hash);
    }
    return hash;
}

std::string LeafDirectory::exportAll(TimePoint now) const
{
    std::string bytes;
    for (const auto& [name, entry] : m_entries)
        bytes += encodeLeafRecord(entry.state, entry.registrar);
    for (const auto& [name, it] : m_departures)
        bytes += encodeLeafDeparture(
            { name, it.boot, it.phase, std::chrono::duration_cast<milliseconds>(now - it.removedAt) });
    return bytes;
}

LeafDirectory::Output LeafDirectory::importAll(std::string_view bytes, TimePoint now)
{
    Output out;
    std::vector<DecodedLeafEntry> entries;
    for (std::size_t offset = 0; offset < bytes.size();) {
        const auto begin = offset;
        entries.push_back(decodeLeafEntry(bytes, offset));
        if (offset == begin)
            throw Error(ErrorKind::BadRequest, "the imported leaf directory is malformed or truncated");
    }
    bool changed = false;
    for (auto& entry : entries) {
        if (entry.record)
            applyRecord(std::move(*entry.record), now, out);
        else if (entry.departure)
            applyDeparture(*entry.departure, now, out);
        changed = changed || out.changed;
    }
    out.changed = changed;
    return out;
}

} // namespace citronplank
