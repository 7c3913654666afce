// Concurrency limit of one leaf, derived from its completions.
#pragma once

#include "citronplank.h"

namespace citronplank {

struct SlowStartSettings {
    bool enabled = true;      // false: the limit is always the number of slots (baseline for comparison)
    std::uint32_t window = 8; // completions at the limit after which it changes by at most 1
    double slowFactor = 4.0;  // a completion that takes this many times the learned latency is slow
    // Slow completions in a row that indicate a cold start; a single one may be a straggler.
    std::uint32_t slowCompletionsToReset = 3;
    double slowWindowFactor = 2.0; // as slowFactor, to decide whether a window was slow
};

/// Limit between 1 and the slots of a leaf. It starts at 1. After each window of completions at the limit it grows by 1
/// if at most half of them were slow (`slowWindowFactor`), else falls by 1. It is reset to 1 when the leaf appears to
/// be cold: after a refusal, a lost connection, or several completions in a row that are several times slower than the
/// learned latency. Neither elapsed time nor health checks raise it. Not thread safe.
class SlowStart {
public:
    explicit SlowStart(SlowStartSettings settings = {})
        : m_settings(settings)
    {
    }

    /// The limit for a leaf with this many slots.
    std::uint32_t limit(std::uint32_t slots) const;
    /// A part completed. `atLimit`: it was dispatched into the last slot that the limit allowed. Other parts carry no
    /// information on how the leaf performs at the limit.
    void onCompleted(Duration latency, bool atLimit, std::uint32_t slots);
    /// The leaf refused a part although it was within the limit.
    void onRefused() { reset(); }
    /// A connection ended while a part ran, or no connection could be established.
    void onConnectionLost() { reset(); }
    /// A part did not complete within its deadline; counts as a slow completion.
    void onTimedOut();
    /// Resets the limit to 1 after a restart of the leaf, a change of its owner or a detected cold start. The learned
    /// latency is kept.
    void reset();
    /// Usual latency of a part at the leaf; nullopt before the first window of completions.
    std::optional<Duration> learnedLatency() const;

private:
    struct LimitWindow {
        std::uint32_t count = 0;
        std::uint32_t slow = 0; // counted instead of averaged, so that one straggler does not cost a slot
    };
    struct LearningWindow {
        std::uint32_t count = 0;
        double seconds = 0;
    };

    bool isSlow(Duration latency, double factor) const;
    void learn(Duration latency);
    void evaluateWindow(std::uint32_t slots);

    SlowStartSettings m_settings;
    std::uint32_t m_limit = 1;
    LimitWindow m_atLimit;     // completions at the current limit
    LearningWindow m_learning; // all completions
    std::uint32_t m_slowInRow = 0;
    double m_learnedSeconds = 0; // 0: not learned yet
};

} // namespace citronplank
