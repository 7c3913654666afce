// Rate limit of requests on routes to a leaf that is warming up, when it can handle only a few requests a second from
// all instances together.
#pragma once

#include "citronplank.h"

#include <deque>
#include <numeric>
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
        auto found = m_sent.find(leaf);
        if (found == m_sent.end())
            return perSecond >= 2;
        dropOld(found->second, now);
        return static_cast<double>(found->second.size()) + 1 <= perSecond / 2;
    }
    /// Counts a request that is sent to the leaf, whether or not `allows` was called for it.
    void onSend(const std::string& leaf, TimePoint now)
    {
        auto& sent = m_sent[leaf];
        dropOld(sent, now);
        sent.push_back(now);
    }
    /// Forgets the leaves to which nothing was sent within the window. Call it when the leaves change.
    void trim(TimePoint now)
    {
        for (auto it = m_sent.begin(); it != m_sent.end();) {
            dropOld(it->second, now);
            it = it->second.empty() ? m_sent.erase(it) : std::next(it);
        }
    }
    /// Number of sends that are remembered; at most those of the last window, once `trim` was called.
    std::size_t size() const
    {
        return std::accumulate(m_sent.begin(), m_sent.end(), std::size_t { 0 },
            [](std::size_t n, const auto& it) { return n + it.second.size(); });
    }

private:
    static void dropOld(std::deque<TimePoint>& sent, TimePoint now)
    {
        while (!sent.empty() && now - sent.front() >= window)
            sent.pop_front();
    }

    std::unordered_map<std::string, std::deque<TimePoint>> m_sent;
};

} // namespace citronplank
