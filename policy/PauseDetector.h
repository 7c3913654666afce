// Detects that this process has stood still, so that what it knows of leaves, peers and the configuration may be
// outdated.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// After a pause the view of a process counts as outdated until news of a peer have confirmed it, or `maxWait` has
/// passed without any. Not thread safe.
class PauseDetector {
public:
    /// A leaf can end, start again and be announced in a longer pause. A shorter one only delays messages.
    static constexpr milliseconds threshold { 500 };
    static constexpr milliseconds maxWait { 500 };

    explicit PauseDetector(TimePoint now)
        : m_lastAt(now)
    {
    }

    /// Must be called several times within `threshold` while the process runs, and before each use of the view. Returns
    /// whether a pause has just ended.
    bool onRunning(TimePoint now)
    {
        bool hasPaused = now - m_lastAt >= threshold;
        m_lastAt = std::max(m_lastAt, now);
        if (hasPaused)
            m_resumedAt = now;
        return hasPaused;
    }
    /// News that were requested after the pause have arrived.
    void onNews() { m_resumedAt.reset(); }
    bool isViewOutdated(TimePoint now) const { return m_resumedAt && now < *m_resumedAt + maxWait; }
    /// When the process resumed; absent if no pause has ended since the last news.
    std::optional<TimePoint> resumedAt() const { return m_resumedAt; }

private:
    TimePoint m_lastAt;
    std::optional<TimePoint> m_resumedAt;
};

} // namespace citronplank
