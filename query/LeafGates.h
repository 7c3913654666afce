// Owner side: one gate for each leaf decides when a part may start on it.
#pragma once

#include "policy/SlowStart.h"
#include "policy/SuspicionList.h"

#include <map>
#include <unordered_map>

namespace citronplank {

/// What the zone lease allows this daemon for one leaf.
struct LeafAllowance {
    std::uint32_t limit = 0; // parts in flight; 0: not the owner, or no lease
    TimePoint until;         // end of the lease or grants; from then on nothing starts
};

/// Start this part on the leaf. `part.partId` is the gate's own identity, to be given back in `onResult`.
struct GateDispatch {
    Part part;
    std::string address;
};

/// Send this result to the sender of the part, under the sender's part identity.
struct GateAnswer {
    std::string sender;
    PartResult result;
};

/// A change of suspicion to pass on to the other instances and to this daemon's ReplicaStatistics.
struct SuspicionEvent {
    std::uint64_t fingerprint = 0;
    std::uint32_t shard = 0;
    bool alone = false;
    Suspicion state = Suspicion::None; // None: cleared; Blocked: for SuspicionList::retentionTime from now
};

/// What the caller of LeafGates has to do after a call.
struct GateActions {
    std::vector<GateDispatch> dispatches;
    std::vector<std::uint64_t> cancelRunning; // gate identities: close the connection, then call `onResult`
    std::vector<GateAnswer> answers;
    std::vector<SuspicionEvent> suspicions;
    std::optional<TimePoint> nextTimer; // when to call `onTimer`; replaces the earlier one
};

struct LeafGatesSettings {
    SlowStartSettings slowStart;
    std::size_t queueLimit = 64;      // parts waiting for one leaf
    milliseconds keyedGrace { 1000 }; // a keyed part past its deadline is left this long to report its outcome
    bool estimateWait = true;         // false: baseline, parts are queued even if they cannot end in time
};

/// Events at the gates, for the counters of the daemon.
struct GateCounters {
    std::uint64_t dispatched = 0;
    std::uint64_t refusedQueueFull = 0;
    std::uint64_t refusedBusy = 0;    // `Part::waits` was false and no slot was free
    std::uint64_t refusedWait = 0;    // the deadline could not be met
    std::uint64_t refusedRules = 0;   // zone or leaf out, draining, not owner, no lease
    std::uint64_t refusedBlocked = 0; // poison request
    std::uint64_t expiredInQueue = 0;
    std::uint64_t duplicateParts = 0; // submitted twice by one sender
    std::uint64_t unknownResults = 0;
};

/// State of one gate, for status and dump.
struct GateStatus {
    std::string leaf;
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::size_t queued = 0;
};

/// The gates of all leaves that this daemon knows. A part starts only while the number of parts in flight on its leaf
/// is below the smallest of: announced slots, announced connections, the rule's limit, slow start, and the allowance of
/// the zone lease. A slot stays occupied until the leaf's end of the part is known.
/// Not thread safe; callers serialize calls.
class LeafGates {
public:
    explicit LeafGates(LeafGatesSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Adds a leaf or takes over its new announcement. A new boot identity starts again at limit 1; an older one is
    /// ignored.
    GateActions setLeaf(const Announcement&, TimePoint now);
    /// The leaf's announcement has lapsed: queued parts are refused, running ones are awaited.
    GateActions removeLeaf(const std::string& leaf, TimePoint now);
    GateActions setRules(const Rules&, TimePoint now);
    /// Sets what the zone lease allows. A leaf without an allowance gets nothing. One that had none starts at limit 1.
    GateActions setAllowance(const std::string& leaf, const LeafAllowance&, TimePoint now);
    /// Takes a part for a leaf. `sender` identifies the entry instance in this incarnation; the pair of it and the part
    /// identity is unique. The part is answered exactly once unless the sender cancels it.
    GateActions submit(const std::string& sender, const Part&, TimePoint now);
    /// The leaf's end of a dispatched part is known: it completed, it was refused, or its connection is closed.
    /// `result.partId` is the gate's identity. Precondition: called once for each dispatch.
    GateActions onResult(const PartResult&, TimePoint now);
    /// Cancels a part of a sender. A queued part is answered as refused, not run. A running one is left alone if
    /// `queuedOnly`; else its connection is closed and no answer follows.
    GateActions cancel(const std::string& sender, std::uint64_t partId, bool queuedOnly, TimePoint now);
    /// Expires queued parts, ends running ones that passed their deadline. May be called early or late.
    GateActions onTimer(TimePoint now);
    /// Suspicions known from other instances; changes take effect when the next part would start.
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
        TimePoint deadline; // when the gate ends it
        bool isKeyed = false;
        bool asSuspect = false;
        bool isCompanion = false; // ran while another part's connection to this leaf ended
        bool atLimit = false;
        bool isCancelled = false; // its end is awaited, and says nothing about the leaf
        bool isAnswered = false;  // no answer may follow
    };
    using PartKey = std::pair<std::string, std::uint64_t>;
    struct Gate {
        Announcement leaf;
        LeafAllowance allowance;
        SlowStart slowStart;
        double recentSeconds = 0; // latency of the last parts; follows a cold start faster than the learned one
        std::multimap<TimePoint, QueuedPart> queue; // by deadline
        std::set<std::uint64_t> running;            // gate identities, of all boots
        bool isGone = false;                        // not announced any more
    };

    Gate& gateOf(const std::string& leaf);
    std::uint32_t limitOf(const Gate&, TimePoint now) const;
    std::uint32_t runningOf(const Gate&) const;
    bool runsSuspect(const Gate&) const;
    bool mayStart(const Gate&, TimePoint now) const;
    bool hasFreeSlot(const Gate&, TimePoint now) const;
    bool meetsDeadline(const Gate&, std::uint32_t limit, TimePoint deadline, TimePoint now) const;
    static void observe(Gate&, Duration latency);
    static Duration recentLatency(const Gate&);
    void refuse(const QueuedPart&, PartStatus, GateActions&);
    void pump(Gate&, GateActions&, TimePoint now);
    bool startFirst(Gate&, GateActions&, TimePoint now);
    void start(Gate&, QueuedPart, bool asSuspect, std::uint32_t limit, GateActions&, TimePoint now);
    void expire(Gate&, GateActions&, TimePoint now);
    void learn(Gate&, const RunningPart&, const PartResult&, GateActions&, TimePoint now);
    void onCrash(Gate&, const RunningPart&, GateActions&, TimePoint now);
    GateActions settle(GateActions, TimePoint now) const;
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
