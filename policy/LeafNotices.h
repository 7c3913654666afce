// What leaves say about themselves in their answers: that they are leaving, or that they want no requests for a while.
//
// The leaf itself said it, after it had announced anything that the directory holds of the same start. So a notice
// holds for that start, whatever the directory says later, and also while the directory does not list the leaf. A leaf
// that wanted no requests is tried with one request first and gets more as it answers.
#pragma once

#include "citronplank.h"

#include <unordered_map>

namespace citronplank {

/// Notice that a leaf adds to an answer.
struct LeafNotice {
    bool isLeaving = false;            // the leaf is going to stop and wants no new requests
    std::optional<milliseconds> pause; // the leaf has refused the request and wants none for this time

    bool isEmpty() const { return !isLeaving && !pause; }
};

/// Not thread safe.
class LeafNotices {
public:
    /// A longer pause is taken for a mistake. It is cut to this time, after which the leaf can state it again.
    static constexpr std::chrono::hours maxPause { 1 };
    /// How long the notice of a leaf is kept that the directory does not list. Longer than an instance can be without a
    /// directory and a leaf can take to stop.
    static constexpr std::chrono::minutes retention { 10 };

    /// `instance` is the name of this instance; the instances try a leaf at different times after its pause.
    explicit LeafNotices(std::string instance)
        : m_instance(std::move(instance))
    {
    }

    /// Records the notice of an answer that was received at `now`. Returns whether it says something new: that the leaf
    /// leaves, or a pause that ends later than a former one. A notice of an earlier start of the leaf is ignored.
    bool record(const Announcement& leaf, const LeafNotice&, TimePoint now);
    /// Whether the leaf has said that it is leaving.
    bool isLeaving(const Announcement& leaf) const;
    /// Whether a request may be sent to the leaf now. During a trial, one may run at first, and twice as many after
    /// each answer.
    bool accepts(const Announcement& leaf, TimePoint now) const;
    /// Whether a request for which the leaf was chosen at `chosenAt` may still be sent, because it has not set itself
    /// apart since.
    bool acceptsSince(const Announcement& leaf, TimePoint chosenAt) const;
    /// When the leaf may be tried, if it is paused at `now`.
    std::optional<TimePoint> pausedUntil(const Announcement& leaf, TimePoint now) const;

    /// A request was sent to the leaf. `attempt` is unique among those that have not ended.
    void onStart(const Announcement& leaf, std::uint64_t attempt, TimePoint now);
    /// How a request ended. Unknown attempts are ignored.
    enum class End : std::uint8_t { Answered, Refused, Other };
    void onEnd(const std::string& leaf, std::uint64_t attempt, End, TimePoint now);

    /// Removes the notices of former starts of the listed leaves, and those that are older than `retention` of other
    /// leaves. A leaf without a start time is forgotten once it is not listed. Call it with each new list.
    void keepOnly(std::span<const Announcement> listed, TimePoint now);
    std::size_t size() const { return m_leaves.size(); }

private:
    struct Leaf {
        std::uint64_t boot = 0;
        bool isLeaving = false;
        std::optional<TimePoint> trialAt;  // end of the pause; absent: not paused and not on trial
        std::uint32_t allowance = 1;       // requests that may run at a time during the trial
        std::uint32_t refusedTrials = 0;   // in a row
        std::vector<std::uint64_t> trials; // running attempts of the trial
        TimePoint noticedAt;
        TimePoint listedAt; // last time
    };
    const Leaf* find(const Announcement&) const;
    Duration spread(const std::string& leaf, Duration pause) const;

    std::string m_instance;
    std::unordered_map<std::string, Leaf> m_leaves; // by name
};

} // namespace citronplank
