// Owner side of parts: connects the gates of the leaves that this daemon owns to the leaf connections.
#pragma once

#include "backend/LeafClient.h"
#include "daemon/OrderedMutex.h"
#include "query/LeafGates.h"

#include <functional>

namespace citronplank {

/// Handlers run on the io_context, without a lock held.
struct PartServiceHandlers {
    std::function<void(const std::string& sender, const PartResult&)> answer; // to the sender of the part
    std::function<void(const SuspicionEvent&)> suspicion;                     // to all instances
};

/// Every method is thread safe; the table has rank LockRank::LeafGates.
class PartService {
public:
    /// Precondition: `client` outlives this object, and its callbacks have ended when this object is destroyed.
    PartService(LeafClient& client, PartServiceHandlers, LeafGatesSettings settings = {});

    /// Accepts a part from `sender`, which identifies an entry instance in one incarnation.
    void submit(const std::string& sender, const Part&);
    /// Cancels a part of `sender`; see LeafGates::cancel.
    void cancel(const std::string& sender, std::uint64_t partId, bool queuedOnly);

    void setLeaf(const Announcement&);
    void removeLeaf(const std::string& leaf);
    void setRules(const Rules&);
    void setAllowance(const std::string& leaf, const LeafAllowance&);
    /// Applies a suspicion about a request fingerprint that another instance or the control log reported.
    void applySuspicion(const SuspicionEvent&, TimePoint expiresAt);
    /// Must be called about every 10 ms.
    void onTimer(TimePoint now);

    std::vector<GateStatus> status() const;
    GateCounters counters() const;
    /// True while no part is queued or running.
    bool isIdle() const;

private:
    void perform(GateActions);

    LeafClient& m_client;
    PartServiceHandlers m_handlers;
    mutable Guarded<LeafGates> m_gates;
    mutable Guarded<std::map<std::string, std::uint32_t>> m_connectionLimits; // connections that each leaf accepts
};

} // namespace citronplank
