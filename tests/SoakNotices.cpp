#include "tests/SoakNotices.h"

namespace citronplank::testing {

/// Returns the notices of a leaf to the entry instance of a request, or null if the request was not forwarded.
SoakNotices::Notices* SoakNotices::noticesFor(const std::string& id, const std::string& leaf, std::uint64_t boot)
{
    auto request = m_requests.find(id);
    return request == m_requests.end() ? nullptr : &m_notices[{ request->second.entry, { leaf, boot } }];
}

void SoakNotices::onArrival(const std::string& id, const std::string& leaf, std::uint64_t boot, Time at)
{
    auto* notices = noticesFor(id, leaf, boot);
    if (!notices)
        return;
    const auto& request = m_requests[id];
    auto report = [&](const std::string& why) {
        auto text = id;
        text.append(" reached ").append(leaf).append(" from ").append(request.entry).append(why);
        m_report(text);
    };
    auto inMilliseconds = [](Clock::duration it) { return std::to_string(it / milliseconds(1)); };
    if (notices->leavingAt != Time::max() && request.sentAt > notices->leavingAt + leaveBound
        && m_isUndisrupted(request.entry, leaf, notices->leavingAt, at))
        report(", " + inMilliseconds(at - notices->leavingAt)
            + " ms after an answer to that instance said that the leaf is leaving");
    for (auto& it : notices->pauses) {
        bool isInPause = at >= it.from && at < it.until;
        if (isInPause && m_isUndisrupted(request.entry, leaf, it.from - pauseBound, at)
            && ++it.arrivals > maxRequestsInPause)
            report(" as request " + std::to_string(it.arrivals) + " in a pause that ends in "
                + inMilliseconds(it.until - at) + " ms");
    }
}

void SoakNotices::onLeaving(const std::string& id, const std::string& leaf, std::uint64_t boot, Time at)
{
    auto* notices = noticesFor(id, leaf, boot);
    if (!notices || notices->leavingAt != Time::max())
        return;
    notices->leavingAt = at;
    ++m_count;
}

void SoakNotices::onPause(
    const std::string& id, const std::string& leaf, std::uint64_t boot, Time at, milliseconds pause)
{
    auto* notices = noticesFor(id, leaf, boot);
    if (!notices)
        return;
    notices->pauses.push_back({ at + pauseBound, at + pause });
    ++m_count;
}

} // namespace citronplank::testing
