// Admission control of leaves at their owner: one gate per leaf decides when a part may start on the leaf.
#pragma once

#include "policy/SlowStart.h"
#include "policy/SuspicionList.h"

#include <map>
#include <unordered_map>

namespace citronplank {

/// Limit that the zone lease grants this daemon for one leaf.
struct LeafAllowance {
    std::uint32_t limit = 0; // parts in flight; 0: not the owner, or no lease
    TimePoint until;         // end of the lease, or earliest end of the other members' grants; no part starts later
};

/// Request to start a part on its leaf. `part.partId` is an id assigned by the gate, to be passed to `onResult`.
struct GateDispatch {
    Part part;
    std::string address;
};

/// Result to be sent to the sender of the part. Contains the sender's part id.
struct GateAnswer {
    std::string sender;
    PartResult result;
};

/// Change of the suspicion state of a request, to be reported to the other instances and to this daemon's
/// ReplicaStatistics.
struct SuspicionEvent {
    std::uint64_t fingerprint = 0;
    std::uint32_t shard = 0;
    bool wasAlone = false;             // see CrashReport
    Suspicion state = Suspicion::None; // None: cleared; Blocked: for SuspicionList::retentionTime
};

/// What the user of LeafGates has to do after a call.
struct GateActions {
    std::vector<GateDispatch> dispatches;
    std::vector<std::uint64_t> cancelRunning; // ids assigned by the gate: close the connection, then call `onResult`
    std::vector<GateAnswer> answers;
    std::vector<SuspicionEvent> suspicions;
    std::optional<TimePoint> nextTimer; // when to call `onTimer`; replaces the previous value
};

struct LeafGatesSettings {
    SlowStartSettings slowStart;
    std::size_t queueLimit = 64;      // parts queued per leaf
    milliseconds keyedGrace { 1000 }; // time after its deadline in which a keyed part may still report its outcome
    // false: accepts parts that would miss their deadline in the queue (baseline for comparison)
    bool estimateWait = true;
};

/// Counts events at the gates, for the metrics of the daemon.
struct GateCounters {
    std::uint64_t dispatched = 0;
    std::uint64_t refusedQueueFull = 0;
    std::uint64_t refusedBusy = 0;  // `Part::mayQueue` was false and no slot was free
    std::uint64_t refusedWait = 0;  // the deadline could not be met
    std::uint64_t refusedRules = 0; // zone or leaf out of service, leaf draining or unknown, not the owner, or no lease
    std::uint64_t refusedBlocked = 0; // requests that crash leaves
    std::uint64_t expiredInQueue = 0; // deadline passed in the queue, or could no longer be met
    std::uint64_t duplicateParts = 0; // submitted twice by one sender
    std::uint64_t unknownResults = 0; // of a part that is not running
};

/// State of one gate, for the status and dump pages.
struct GateStatus {
    std::string leaf;
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::size_t queued = 0;
};

/// The gates of all leaves known to this daemon. A part starts only while the number of parts in flight on its leaf is
/// below the smallest of: announced slots, announced connections, limit of the rules, limit of slow start, and
/// allowance of the zone lease. A slot stays occupied until the part is known to have ended on the leaf. Not thread
/// safe.
class LeafGates {
public:
    explicit LeafGates(LeafGatesSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Adds a leaf or updates its announcement. For a new leaf, a new boot id or a leaf that was removed, the limit is
    /// reset to 1. Unless the leaf was removed, an announcement with an older boot id or sequence is ignored.
    GateActions setLeaf(const Announcement&, TimePoint now);
    /// Removes a leaf whose announcement has expired. Queued parts are refused; running parts are allowed to complete.
    GateActions removeLeaf(const std::string& leaf, TimePoint now);
    GateActions setRules(const Rules&, TimePoint now);
    /// Sets the allowance of the zone lease. No part starts on a leaf without a valid allowance. When a leaf gets a
    /// valid one again, its limit restarts at 1.
    GateActions setAllowance(const std::string& leaf, const LeafAllowance&, TimePoint now);
    /// Submits a part for a leaf. `sender` identifies one incarnation of an entry instance; the pair of `sender` and
    /// part id is unique. The part is answered exactly once unless the sender cancels it.
    GateActions submit(const std::string& sender, const Part&, TimePoint now);
    /// Handles the end of a dispatched part on the leaf: completed, refused, or connection closed. `result.partId` is
    /// the id assigned by the gate. Precondition: called once for each dispatch.
    GateActions onResult(const PartResult&, TimePoint now);
    /// Cancels a part of a sender; unknown parts are ignored. A queued part is answered as refused and not run. A
    /// running part continues if `queuedOnly` is true; otherwise its connection is closed and no answer follows.
    GateActions cancel(const std::string& sender, std::uint64_t partId, bool queuedOnly, TimePoint now);
    /// Refuses expired queued parts and cancels running parts that have passed their deadline. May be called early or
    /// late.
    GateActions onTimer(TimePoint now);
    /// Also updated with suspicions reported by other instances. Changes apply from the next part that would start.
    SuspicionList& suspicions() { return m_suspicions; }

    std::vector<GateStatus> status(TimePoint now) const;
    const GateCounters& counters() const { return m_counters; }

private:
    struct QueuedPart {
        std::string sender;
        Part part;
        TimePoint deadline;
    };
    struct RunningPart {
        std::string sender;
        std::uint64_t partId = 0; // the sender's
        std::string leaf;
        std::uint64_t boot = 0;
        std::uint64_t fingerprint = 0;
        std::uint32_t shard = 0;
        TimePoint startedAt;
        TimePoint deadline; // when the gate cancels it
        bool isKeyed = false;
        bool wasSuspect = false;     // was suspect when it started, so it runs alone on the leaf
        bool ranDuringCrash = false; // was running when the connection of another part to this leaf ended
        bool atLimit = false;        // started in the last slot that the limit allowed
        bool isCancelled = false;    // still awaited, but its result does not count for the statistics of the leaf
        bool isAnswered = false;     // no further answer may be sent
    };
    using PartKey = std::pair<std::string, std::uint64_t>;
    struct Gate {
        Announcement leaf;
        LeafAllowance allowance;
        SlowStart slowStart;
        double recentSeconds = 0; // smoothed latency; adapts to a cold start faster than the one learned by SlowStart
        std::multimap<TimePoint, QueuedPart> queue; // by deadline
        std::set<std::uint64_t> running;            // ids assigned by the gate, of all boots
        bool isRemoved = false;                     // no longer announced
    };

    Gate& gateOf(const std::string& leaf);
    std::uint32_t limitOf(const Gate&, TimePoint now) const;
    std::uint32_t runningOf(const Gate&) const;
    bool runsSuspect(const Gate&) const;
    bool mayStart(const Gate&, TimePoint now) const;
    bool hasFreeSlot(const Gate&, TimePoint now) const;
    bool meetsDeadline(const Gate&, std::uint32_t limit, TimePoint deadline, TimePoint now) const;
    static void recordLatency(Gate&, Duration latency);
    static Duration recentLatency(const Gate&);
    void refuse(const QueuedPart&, PartStatus, GateActions&);
    void dispatchQueued(Gate&, GateActions&, TimePoint now);
    bool startFirst(Gate&, GateActions&, TimePoint now);
    void start(Gate&, QueuedPart, bool isSuspect, std::uint32_t limit, GateActions&, TimePoint now);
    void expire(Gate&, GateActions&, TimePoint now);
    void recordOutcome(Gate&, const RunningPart&, const PartResult&, GateActions&, TimePoint now);
    void onCrash(Gate&, const RunningPart&, GateActions&, TimePoint now);
    GateActions completeActions(GateActions, TimePoint now) const;
    static PartResult answerOf(const RunningPart&, PartResult, TimePoint now);

    LeafGatesSettings m_settings;
    Rules m_rules;
    std::map<std::string, Gate> m_gates;
    std::unordered_map<std::uint64_t, RunningPart> m_running;
    std::map<PartKey, std::uint64_t> m_runningIds; // running parts by sender
    std::map<PartKey, std::string> m_queuedLeaves; // queued parts by sender
    std::uint64_t m_nextId = 1;
    SuspicionList m_suspicions;
    GateCounters m_counters;
};

} // namespace citronplank
