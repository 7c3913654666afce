// Percentiles of observed latencies, computed from a fixed-size histogram.
#pragma once

#include "citronplank.h"

#include <array>

namespace citronplank {

/// Histogram of latencies with bucket bounds that grow by 10%, so a percentile is at most 10% too high. Older samples
/// decay: all counts are halved whenever their sum reaches `decaySamples`.
/// Not thread safe.
class LatencyDigest {
public:
    static constexpr std::uint32_t decaySamples = 4096;

    /// Adds one sample; negative values count as zero.
    void record(Duration latency);
    /// The latency that `fraction` (0..1) of the weighted samples do not exceed; nullopt without samples.
    std::optional<Duration> percentile(double fraction) const;
    /// Weighted number of samples, below `decaySamples`.
    std::uint32_t count() const { return m_total; }

private:
    static constexpr std::size_t bucketCount = 160; // 10 us * 1.1^159 is about 38 s, above the maximum deadline

    std::array<std::uint32_t, bucketCount> m_buckets {};
    std::uint32_t m_total = 0;
};

} // namespace citronplank
