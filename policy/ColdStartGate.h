// Requests to a leaf in its cold start, which bears only a few a second from all instances together.
#pragma once

#include "citronplank.h"

#include <deque>
#include <unordered_map>

namespace citronplank {

/// Lets one instance send to a cold leaf and bounds its rate. Two instances can both take themselves for the one while
/// membership changes, so each uses half of what the leaf bears.
/// Not thread safe; callers serialize calls.
class ColdStartGate {
public:
    static constexpr milliseconds window { 1100 }; // of the bound on requests a second, with a margin for the network

    /// Whether one more request may go to the leaf now. `perSecond` is what it bears from all instances together.
    bool allows(const std::string& leaf, double perSecond, TimePoint now)
    {
        auto& sent = m_sent[leaf];
        while (!sent.empty() && now - sent.front() >= window)
            sent.pop_front();
        return static_cast<double>(sent.size()) + 1 <= perSecond / 2;
    }
    void onSend(const std::string& leaf, TimePoint now) { m_sent[leaf].push_back(now); }
    void forget(const std::string& leaf) { m_sent.erase(leaf); }

private:
    std::unordered_map<std::string, std::deque<TimePoint>> m_sent;
};

} // namespace citronplank
