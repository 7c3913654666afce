#include "policy/SuspicionList.h"

#include <algorithm>

namespace citronplank {

SuspicionList::Entry& SuspicionList::entryOf(std::uint64_t fingerprint, TimePoint now)
{
    auto it = m_entries.find(fingerprint);
    if (it != m_entries.end()) {
        if (it->second.until <= now)
            it->second = Entry {};
        return it->second;
    }
    if (m_entries.size() >= maxSize) {
        expire(now);
        if (m_entries.size() >= maxSize)
            m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
    }
    return m_entries[fingerprint];
}

Suspicion SuspicionList::onCrash(const CrashReport& report, TimePoint now)
{
    auto& entry = entryOf(report.fingerprint, now);
    entry.until = std::max(entry.until, now + retentionTime);
    if (report.wasAlone)
        entry.shards.insert(report.shard);
    if (report.wasSuspect)
        entry.blocked = true;
    return entry.blocked ? Suspicion::Blocked : Suspicion::Suspect;
}

bool SuspicionList::onCompleted(std::uint64_t fingerprint, std::uint32_t shard)
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end() || it->second.blocked)
        return false;
    it->second.shards.erase(shard);
    if (!it->second.shards.empty())
        return false;
    m_entries.erase(it);
    return true;
}

void SuspicionList::adoptBlocked(std::uint64_t fingerprint, TimePoint until)
{
    auto& entry = entryOf(fingerprint, until - retentionTime); // the time of the crash that caused the block
    entry.blocked = true;
    entry.until = std::max(entry.until, until);
}

void SuspicionList::adoptSuspect(std::uint64_t fingerprint, std::uint32_t shard, bool wasAlone, TimePoint now)
{
    onCrash({ .fingerprint = fingerprint, .shard = shard, .wasAlone = wasAlone, .wasSuspect = false }, now);
}

void SuspicionList::adoptCleared(std::uint64_t fingerprint)
{
    const auto it = m_entries.find(fingerprint);
    if (it != m_entries.end() && !it->second.blocked)
        m_entries.erase(it);
}

Suspicion SuspicionList::stateOf(std::uint64_t fingerprint, TimePoint now) const
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end() || it->second.until <= now)
        return Suspicion::None;
    return it->second.blocked ? Suspicion::Blocked : Suspicion::Suspect;
}

void SuspicionList::expire(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto& it) { return it.second.until <= now; });
}

} // namespace citronplank
