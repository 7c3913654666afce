// Decides which requests an instance still takes during a planned stop.
//
// The instance aborts what still runs at the end of its grace time. A request that it aborts may have run, so it should
// refuse early, as not run, what it cannot finish. Until load balancers have noticed that it is not ready, callers are
// sent to it, and a request is taken if it usually ends in time. After that a request that must not run twice is taken
// only if its deadline is early enough.
#pragma once

#include "citronplank.h"

namespace citronplank {

struct StopAdmission {
    TimePoint noticedAt; // load balancers have noticed that the instance is not ready
    TimePoint endAt;     // running requests are aborted

    /// Whether to take a request that must be answered by `deadline` and usually takes up to `usualLatency`. Thread
    /// safe.
    bool takes(TimePoint now, TimePoint deadline, bool idempotent, Duration usualLatency) const
    {
        if (deadline <= endAt)
            return true;
        bool mustNotBeAborted = !idempotent && now >= noticedAt;
        return !mustNotBeAborted && now + usualLatency <= endAt;
    }
};

} // namespace citronplank
