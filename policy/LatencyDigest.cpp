#include "policy/LatencyDigest.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace citronplank {

namespace {

constexpr double firstBoundMicroseconds = 10.0; // upper bound of the first bucket
constexpr double bucketGrowth = 1.1;

double microsecondsOf(Duration it) { return std::chrono::duration<double, std::micro>(it).count(); }

} // namespace

void LatencyDigest::record(Duration latency)
{
    const double ratio = std::max(1.0, microsecondsOf(latency) / firstBoundMicroseconds);
    const auto index = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(bucketGrowth)));
    ++m_buckets[std::min(index, bucketCount - 1)];
    if (++m_total < decaySamples)
        return;
    for (auto& it : m_buckets)
        it /= 2;
    m_total = std::accumulate(m_buckets.begin(), m_buckets.end(), 0U);
}

std::optional<Duration> LatencyDigest::percentile(double fraction) const
{
    if (m_total == 0)
        return std::nullopt;
    const double wanted = std::clamp(fraction, 0.0, 1.0) * m_total;
    std::uint32_t seen = 0;
    std::size_t index = 0;
    for (; index < bucketCount - 1; ++index) {
        seen += m_buckets[index];
        if (seen > 0 && seen >= wanted)
            break;
    }
    const double bound = firstBoundMicroseconds * std::pow(bucketGrowth, static_cast<double>(index));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(bound));
}

} // namespace citronplank
