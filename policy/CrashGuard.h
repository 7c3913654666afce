// Detects and blocks requests on routes that crash the leaves which run them. SuspicionList does so for the parts of
// queries and keyed requests.
//
// If a caller retries such a request, on any instance, each attempt takes down a leaf for seconds, or one leaf of each
// shard. A lost connection alone is not taken for a crash, since connections are also reset and responses truncated for
// other reasons. A loss counts if the leaf is unreachable right after it. Other requests on the same leaf are lost as
// well, so a fingerprint is blocked only after several requests with it were running at crashes, and cleared as soon as
// one of them is answered. A request that was answered shortly before is not suspected: when a zone fails, a request
// that many callers send is running on several of the lost leaves.
#pragma once

#include "citronplank.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace citronplank {

/// A request with this fingerprint was running when its leaf crashed.
struct CrashNotice {
    std::uint64_t fingerprint = 0; // of the parts of the request that are the same in each retry
    std::string requestId;         // differs for each retry
    milliseconds age { 0 };        // since the last crash with the fingerprint
    bool operator==(const CrashNotice&) const = default;
};

/// Not thread safe.
class CrashGuard {
public:
    static constexpr std::size_t crashesToBlock = 3; // with different request ids; up to two may be coincidence
    // Maximum time from a lost attempt until its leaf is found to be unreachable; later, a crashed leaf may be back.
    static constexpr milliseconds crashDetectionTime { 1500 };
    static constexpr std::chrono::minutes retentionTime { 10 }; // the same as in SuspicionList
    static constexpr std::size_t maxNoticesPerSecond = 10;      // by this instance; each is sent to all others
    static constexpr std::size_t maxLosses = 4096;              // recent losses kept; bounds memory
    static constexpr std::size_t maxSuspects = 4096;            // the one that expires first is dropped
    // An answer this recent prevents a suspicion; below the 4 s within which a crashing request has to be blocked.
    // Answers are kept for one to two windows, or for less if there are more than `maxAnswered`.
    static constexpr seconds answeredWindow { 2 };
    static constexpr std::size_t maxAnswered = 4096;    // fingerprints answered recently; bounds memory
    static constexpr std::size_t maxSharedNotices = 64; // sent to an instance that starts later
    static constexpr std::size_t reporters = 4;         // instances that send one that starts what others have observed

    /// An attempt at a leaf ended without an answer and may have run.
    void onAttemptLost(CrashNotice notice, const std::string& leaf, TimePoint now);
    /// The leaf cannot be connected to, so the attempts that it lost recently count as crashed. Returns the notices
    /// that are new and have to be sent to the other instances: at most `maxNoticesPerSecond`, because a zone failure
    /// ends thousands of attempts at once.
    std::vector<CrashNotice> onLeafUnreachable(const std::string& leaf, TimePoint now);
    /// Notices that are still valid, for an instance that has joined since; those of the fingerprints with most
    /// crashes first. They include what other instances have reported only if `includesReported` is set.
    std::vector<CrashNotice> sharedNotices(TimePoint now, bool includesReported) const;
    /// Whether `self` is one of the `reporters` for `peer`. `instances` are the entry instances without `peer`. Thread
    /// safe.
    static bool isReporter(std::string_view self, std::string_view peer, std::vector<std::string> instances);
    /// A leaf answered a request with the fingerprint, which clears it.
    void onAnswered(std::uint64_t fingerprint, TimePoint now);
    /// Records a notice of this or another instance. Returns false if it adds nothing, because it is known or the
    /// fingerprint is blocked already, or if a leaf answered a request with the fingerprint in the `answeredWindow`.
    bool recordNotice(const CrashNotice&, TimePoint now);
    /// Whether requests with the fingerprint must be refused.
    bool isBlocked(std::uint64_t fingerprint, TimePoint now) const;

private:
    void rotateAnswered(TimePoint now);
    bool record(const CrashNotice&, bool isObserved, TimePoint now);

    struct Loss {
        CrashNotice notice;
        std::string leaf;
        TimePoint at;
    };
    struct Suspect {
        std::set<std::string> requests; // ids, at most crashesToBlock
        TimePoint crashedAt;            // the last time
        bool isObserved = false;        // by this instance, at least once
        TimePoint until() const { return crashedAt + retentionTime; }
    };

    std::deque<Loss> m_losses;                              // in order of time
    TimePoint m_noticesSince;                               // start of the second that m_notices refers to
    std::size_t m_notices = 0;                              // returned in that second
    std::unordered_set<std::uint64_t> m_answered;           // since m_answeredSince
    std::unordered_set<std::uint64_t> m_previouslyAnswered; // in the answeredWindow before m_answeredSince
    TimePoint m_answeredSince;
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
};

/// Encodes a notice as msgpack. Thread safe.
std::string encodeCrashNotice(const CrashNotice&);
/// Decodes a notice. Throws Error(BadRequest) on malformed input. Thread safe.
CrashNotice decodeCrashNotice(std::string_view);

} // namespace citronplank
