// Percentiles of observed latencies from a histogram of fixed size.
#pragma once

#include "citronplank.h"

#include <array>

namespace citronplank {

/// Histogram of latencies with buckets that grow by 10%, so a percentile is at most 10% too high. Older samples lose
/// weight: all counts are halved each time `decaySamples` weights have been collected.
/// Not thread safe; callers serialize calls.
class LatencyDigest {
public:
    static constexpr std::uint32_t decaySamples = 4096;

    /// Adds one observation; negative values count as zero.
    void record(Duration latency);
    /// The latency that `fraction` (0..1) of the weighted samples do not exceed; nothing without samples.
    std::optional<Duration> percentile(double fraction) const;
    /// Weighted number of samples, below `decaySamples`.
    std::uint32_t count() const { return m_total; }

private:
    static constexpr std::size_t bucketCount = 160; // 10 us * 1.1^159 is about 38 s, above the greatest deadline

    std::array<std::uint32_t, bucketCount> m_buckets {};
    std::uint32_t m_total = 0;
};

} // namespace citronplank
