// Concurrency limit of one leaf as learned from its own completions.
#pragma once

#include "citronplank.h"

namespace citronplank {

struct SlowStartSettings {
    bool enabled = true;      // false: baseline, the limit is always the number of slots
    std::uint32_t window = 8; // completions at the limit that raise it by 1
    double slowFactor = 4.0;  // a completion that takes this many times the learned latency is slow
    std::uint32_t slowCompletionsToReset
        = 3;                       // slow completions in a row that mean a cold start; one alone is a straggler
    double slowWindowFactor = 2.0; // a window whose mean is this many times the learned latency does not raise
};

/// Limit between 1 and the slots of a leaf. It starts at 1, grows by 1 after each full window of completions without a
/// refusal of which at least half ran near the learned latency, falls by 1 after a slower window, and returns to 1 when
/// the leaf shows that it is cold: a refusal, a lost connection, or a run of completions several times slower than
/// learned. Time and health pages never raise it. Not thread safe; callers serialize calls.
class SlowStart {
public:
    explicit SlowStart(SlowStartSettings settings = {})
        : m_settings(settings)
    {
    }

    /// The limit for a leaf with this many slots.
    std::uint32_t limit(std::uint32_t slots) const;
    /// A part completed. `atLimit` says that it was dispatched into the last slot the limit allowed; other parts say
    /// nothing about how the leaf runs with that many.
    void onCompleted(Duration latency, bool atLimit, std::uint32_t slots);
    /// The leaf refused a part although it was within the limit.
    void onRefused() { reset(); }
    /// A connection ended while a part ran, or no connection could be made.
    void onConnectionLost() { reset(); }
    /// A part did not end within its deadline; counts as a slow completion.
    void onTimedOut();
    /// Starts again at limit 1: new boot, new owner or detected fall back into cold start. The learned latency stays.
    void reset();
    std::optional<Duration> learnedLatency() const;

private:
    struct LimitWindow {
        std::uint32_t count = 0;
        std::uint32_t slow = 0; // counted, not averaged: one straggler must not take a slot away
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
    LimitWindow m_atLimit;     // completions at the present limit
    LearningWindow m_learning; // all completions
    std::uint32_t m_slowInRow = 0;
    double m_learnedSeconds = 0; // 0: not learned yet
};

} // namespace citronplank
