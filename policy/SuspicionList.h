// Tracks queries and keyed requests that are suspected of crashing leaves. CrashGuard does so for requests on routes.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// A part whose leaf connection ended while it ran.
struct CrashReport {
    std::uint64_t fingerprint = 0;
    std::uint32_t shard = 0;
    bool wasAlone = false;   // no other part was running on the leaf
    bool wasSuspect = false; // it was already suspect when it was dispatched
};

enum class Suspicion : std::uint8_t { None, Suspect, Blocked };

/// Fingerprints of requests that may crash leaves. The first crash makes a fingerprint suspect; a crash of a part that
/// was dispatched as a suspect blocks it. Crashes of parts that were already running do not block, since a rack failure
/// ends many parts of one unrelated query at once.
/// Not thread safe.
class SuspicionList {
public:
    static constexpr std::chrono::minutes retentionTime { 10 }; // of an entry, from its last crash
    static constexpr std::size_t maxSize = 10000; // bounds memory; the entry that expires first is dropped

    /// Records a crash and returns the new state of the fingerprint.
    Suspicion onCrash(const CrashReport&, TimePoint now);
    /// Records that a part completed which was dispatched as a suspect, or which became suspect while it ran. A
    /// fingerprint that never crashed a leaf while running alone is cleared at once. Otherwise it has to complete on
    /// each shard where that happened, because a request may crash on the data of one shard only. Returns true if the
    /// fingerprint is no longer suspect.
    bool onCompleted(std::uint64_t fingerprint, std::uint32_t shard);
    /// Applies a block decided by another instance.
    void adoptBlocked(std::uint64_t fingerprint, TimePoint until);
    /// Applies a suspicion reported by another instance. `wasAlone` as in CrashReport.
    void adoptSuspect(std::uint64_t fingerprint, std::uint32_t shard, bool wasAlone, TimePoint now);
    /// Applies the clearing of a suspect by another instance; a block is kept.
    void adoptCleared(std::uint64_t fingerprint);
    /// State of the fingerprint; None if its entry has expired.
    Suspicion stateOf(std::uint64_t fingerprint, TimePoint now) const;
    /// Removes expired entries.
    void expire(TimePoint now);
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        bool blocked = false;
        std::set<std::uint32_t> shards; // where it crashed a leaf while running alone
        TimePoint until;
    };

    Entry& entryOf(std::uint64_t fingerprint, TimePoint now);

    std::map<std::uint64_t, Entry> m_entries;
};

} // namespace citronplank
