// Requests suspected of crashing back ends.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// A part whose leaf connection ended while it ran.
struct CrashReport {
    std::uint64_t fingerprint = 0;
    std::uint32_t shard = 0;
    bool alone = false;     // nothing else ran on the leaf
    bool asSuspect = false; // it was already a suspect when it was dispatched
};

enum class Suspicion : std::uint8_t { None, Suspect, Blocked };

/// Fingerprints of poison requests. The first crash makes a fingerprint suspect; a crash of a part that was dispatched
/// as a suspect blocks it. Crashes of parts that were already running do not block: a failed rack ends many parts of
/// one harmless query at once.
/// Not thread safe; callers serialize calls.
class SuspicionList {
public:
    static constexpr std::chrono::minutes retentionTime { 10 };
    static constexpr std::size_t maxSize = 10000; // bounds memory; the entry that ends first is dropped

    /// Records a crash and returns the new state of the fingerprint.
    Suspicion onCrash(const CrashReport&, TimePoint now);
    /// Records a completed run that started, or outlived the crash of its leaf, as a suspect. Clears a companion at
    /// once, and a request that crashed a leaf alone when it completed on each shard where it did so: a request may
    /// crash on the data of one shard only. Returns true if the fingerprint is no longer suspect.
    bool onCompleted(std::uint64_t fingerprint, std::uint32_t shard);
    /// Adopts a block decided by another instance.
    void adoptBlocked(std::uint64_t fingerprint, TimePoint until);
    /// Adopts a suspicion of another instance. `alone` as in CrashReport.
    void adoptSuspect(std::uint64_t fingerprint, std::uint32_t shard, bool alone, TimePoint now);
    /// Adopts the clearing of a suspect by another instance; a block stays.
    void adoptCleared(std::uint64_t fingerprint);
    Suspicion stateOf(std::uint64_t fingerprint, TimePoint now) const;
    /// Removes entries whose time is over.
    void expire(TimePoint now);
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        bool blocked = false;
        std::set<std::uint32_t> shards; // where it crashed a leaf alone; empty for a companion
        TimePoint until;
    };

    Entry& entryOf(std::uint64_t fingerprint, TimePoint now);

    std::map<std::uint64_t, Entry> m_entries;
};

} // namespace citronplank
