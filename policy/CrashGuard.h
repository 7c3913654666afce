// Requests that crash the leaves which run them.
//
// A caller sends such a request again and again, to any instance, and each time takes down a leaf for seconds, or one
// of each shard. A lost connection alone is no crash: connections are reset and answers cut off for other reasons. A
// loss counts if the leaf cannot be reached right after it. What ran beside the request on the same leaf is lost as
// well, so a fingerprint is blocked only after the crashes of several requests, and forgotten when one of them is
// answered. One that was answered a moment ago is not suspected at all: when a zone fails, a request that many callers
// send runs on several leaves that end.
#pragma once

#include "citronplank.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace citronplank {

/// A request with this fingerprint was running when its leaf crashed.
struct CrashNotice {
    std::uint64_t fingerprint = 0; // of what the caller sends again unchanged
    std::string requestId;         // differs for each time that it is sent
    bool operator==(const CrashNotice&) const = default;
};

/// Not thread safe; callers serialize calls.
class CrashGuard {
public:
    static constexpr std::size_t crashesToBlock = 3; // different requests; two may be companions by chance
    static constexpr milliseconds evidenceTime {
        1500
    }; // from a loss until the leaf is found to be down; it is back later
    static constexpr std::chrono::minutes retentionTime { 10 }; // as for blocked fingerprints of keyed requests
    static constexpr std::size_t maxNotices = 10;               // a second and instance; each goes to all others
    static constexpr std::size_t maxLosses = 4096;              // of the last moments; bounds memory
    static constexpr std::size_t maxSuspects = 4096;            // the oldest is dropped
    static constexpr seconds answeredTime { 2 };     // of an answer that clears; below the 4 s in which a block is due
    static constexpr std::size_t maxAnswered = 4096; // fingerprints remembered for it; bounds memory
    static constexpr std::size_t maxRetold = 64;     // to an instance that starts; the latest ones

    /// An attempt at a leaf ended without an answer and may have run.
    void onAttemptLost(CrashNotice notice, const std::string& leaf, TimePoint now);
    /// No connection to the leaf could be had. Returns what its crash says that was not known, to be told to other
    /// instances: at most `maxNotices` in a second, because a zone that fails ends thousands of attempts at once.
    std::vector<CrashNotice> onLeafUnreachable(const std::string& leaf, TimePoint now);
    /// What onLeafUnreachable() has told, as far as it still counts; for an instance that was not known then.
    std::vector<CrashNotice> sharedNotices(TimePoint now) const;
    /// A leaf answered a request with the fingerprint: it crashes nothing.
    void onAnswered(std::uint64_t fingerprint, TimePoint now);
    /// Adopts what this or another instance found. False: it was known, or leaves answered such a request just now.
    bool adopt(const CrashNotice&, TimePoint now);
    bool isBlocked(std::uint64_t fingerprint, TimePoint now) const;

private:
    void forgetAnswered(TimePoint now);

    struct Loss {
        CrashNotice notice;
        std::string leaf;
        TimePoint at;
    };
    struct Told {
        CrashNotice notice;
        TimePoint at;
    };
    struct Suspect {
        std::set<std::string> requests; // ids, at most crashesToBlock
        TimePoint until;
    };

    std::deque<Loss> m_losses;                          // in order of time
    TimePoint m_noticesSince;                           // when the second of m_notices began
    std::size_t m_notices = 0;                          // told in it
    std::deque<Told> m_told;                            // in order of time, at most maxRetold
    std::unordered_set<std::uint64_t> m_answered;       // since m_answeredSince
    std::unordered_set<std::uint64_t> m_answeredBefore; // in the answeredTime before it
    TimePoint m_answeredSince;
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
};

std::string encodeCrashNotice(const CrashNotice&);
/// Throws Error(BadRequest) on malformed input. Both are thread safe.
CrashNotice decodeCrashNotice(std::string_view);

} // namespace citronplank
