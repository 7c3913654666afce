// Estimate of a delay that varies, from its mean and its mean deviation, as TCP estimates round trips.
#pragma once

#include "citronplank.h"

#include <algorithm>
#include <cmath>

namespace citronplank {

/// Not thread safe.
class DelayEstimate {
public:
    /// Adds one sample; negative values count as zero.
    void record(Duration sample)
    {
        auto value = std::max(0.0, static_cast<double>(sample.count()));
        m_deviation += deviationWeight * (std::abs(value - m_mean) - m_deviation);
        m_mean += meanWeight * (value - m_mean);
    }
    /// Returns the delay that most samples do not exceed; 0 without samples.
    Duration upperBound() const { return Duration(static_cast<Duration::rep>(m_mean + m_deviation)); }

private:
    static constexpr double meanWeight = 0.125;
    static constexpr double deviationWeight = 0.25;
    double m_mean = 0;      // in ticks of Duration
    double m_deviation = 0; // as above
};

} // namespace citronplank
