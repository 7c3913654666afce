// Rate limit of requests on routes to a leaf that is warming up, when it can handle only a few requests a second from
// all instances together.
#pragma once

#include "citronplank.h"

#include <deque>
#include <unordered_map>

namespace citronplank {

/// Limits the rate at which this instance sends to leaves that are warming up. The caller makes sure that only one
/// instance sends to such a leaf. While the membership changes, two instances can both consider themselves that one, so
/// each uses half of the leaf's rate.
/// Not thread safe.
class ColdStartRateLimit {
public:
    static constexpr milliseconds window { 1100 }; // one second and a margin for network delay

    /// Whether one more request may be sent to the leaf now. `perSecond` is the number of requests per second that the
    /// leaf can handle from all instances together; half of it is used, so below 2 nothing is allowed.
    bool allows(const std::string& leaf, double perSecond, TimePoint now)
    {
        auto& sent = m_sent[leaf];
        while (!sent.empty() && now - sent.front() >= window)
            sent.pop_front();
        return static_cast<double>(sent.size()) + 1 <= perSecond / 2;
    }
    /// Counts a request that is sent to the leaf, whether or not `allows` was called for it.
    void onSend(const std::string& leaf, TimePoint now) { m_sent[leaf].push_back(now); }
    void forget(const std::string& leaf) { m_sent.erase(leaf); }

private:
    std::unordered_map<std::string, std::deque<TimePoint>> m_sent;
};

} // namespace citronplank
