#include "daemon/Counters.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace citronplank {

void LatencyHistogram::record(Duration duration)
{
    const auto value = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    const std::uint64_t microseconds = value > 0 ? static_cast<std::uint64_t>(value) : 0;
    m_buckets.at(bucketOf(microseconds)).fetch_add(1, std::memory_order_relaxed);
    m_sum.fetch_add(microseconds, std::memory_order_relaxed);
}

std::uint64_t LatencyHistogram::count() const
{
    std::uint64_t sum = 0;
    for (const auto& it : m_buckets)
        sum += it.load(std::memory_order_relaxed);
    return sum;
}

std::chrono::microseconds LatencyHistogram::sum() const
{
    return std::chrono::microseconds(m_sum.load(std::memory_order_relaxed));
}

std::chrono::microseconds LatencyHistogram::quantile(double fraction) const
{
    const std::uint64_t total = count();
    const auto wanted = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(total)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; total > 0 && bucket < bucketCount; ++bucket) {
        seen += m_buckets.at(bucket).load(std::memory_order_relaxed);
        if (seen >= std::max<std::uint64_t>(wanted, 1))
            return std::chrono::microseconds(upperBound(bucket));
    }
    return std::chrono::microseconds(0);
}

/// Values below 8 have one bucket each. For larger ones the highest bit and the three bits below it select the bucket.
std::size_t LatencyHistogram::bucketOf(std::uint64_t microseconds)
{
    if (microseconds < subBuckets)
        return microseconds;
    const auto power = static_cast<std::size_t>(std::bit_width(microseconds)) - 1;
    const std::size_t bucket = (power - 2) * subBuckets + ((microseconds >> (power - 3)) & (subBuckets - 1));
    return std::min(bucket, bucketCount - 1);
}

/// Highest value of a bucket, in microseconds.
std::uint64_t LatencyHistogram::upperBound(std::size_t bucket)
{
    if (bucket < subBuckets)
        return bucket;
    const std::size_t power = bucket / subBuckets + 2;
    return ((subBuckets + bucket % subBuckets + 1) << (power - 3)) - 1;
}

template <typename Value>
Value& Counters::find(std::map<std::string, Value, std::less<>>& values, std::string_view name, std::string_view type)
{
    const std::lock_guard lock(m_mutex);
    const auto it = values.find(name);
    if (it != values.end())
        return it->second;
    const bool valid = !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::islower(c) || std::isdigit(c) || c == '_';
    });
    if (!valid)
        throw std::invalid_argument("invalid metric name: " + std::string(name));
    if (!m_types.try_emplace(std::string(name), type).second)
        throw std::invalid_argument("metric is already registered with another type: " + std::string(name));
    return values[std::string(name)];
}

Counter& Counters::counter(std::string_view name) { return find(m_counters, name, "counter"); }

Gauge& Counters::gauge(std::string_view name) { return find(m_gauges, name, "gauge"); }

LatencyHistogram& Counters::latency(std::string_view name) { return find(m_histograms, name, "summary"); }

std::string Counters::text() const
{
    std::map<std::string, std::string> lines;
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, value] : m_counters)
        lines[name] = "citronplank_" + name + " " + std::to_string(value.value()) + "\n";
    for (const auto& [name, value] : m_gauges)
        lines[name] = "citronplank_" + name + " " + std::to_string(value.value()) + "\n";
    for (const auto& [name, value] : m_histograms) {
        const std::string full = "citronplank_" + name + "_microseconds";
        std::string& text = lines[name];
        for (const auto& [label, fraction] :
            { std::pair("0.5", 0.5), std::pair("0.9", 0.9), std::pair("0.99", 0.99), std::pair("0.999", 0.999) }) {
            text += full + "{quantile=\"" + label + "\"} " + std::to_string(value.quantile(fraction).count()) + "\n";
        }
        text += full + "_sum " + std::to_string(value.sum().count()) + "\n";
        text += full + "_count " + std::to_string(value.count()) + "\n";
    }
    std::string all;
    for (const auto& [name, text] : lines) {
        all.append("# TYPE citronplank_").append(name).append(m_histograms.count(name) != 0 ? "_microseconds " : " ");
        all.append(m_types.find(name)->second).append("\n").append(text);
    }
    return all;
}

} // namespace citronplank
