// Counters, gauges and latency histograms of a process, and their text format for /metrics.
//
//   Counters counters;
//   Counter& refused = counters.counter("queries_refused_total"); // keep the reference: add() takes no lock
//   refused.add();
//   counters.latency("query_latency").record(elapsed);            // exported as query_latency_microseconds
#pragma once

#include "citronplank.h"

#include <array>
#include <atomic>
#include <mutex>

namespace citronplank {

/// Counts events. Every method is thread safe.
class Counter {
public:
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// A value that can rise and fall. Every method is thread safe.
class Gauge {
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t n) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

/// Counts durations in buckets of 1/8 of a power of two, so that a quantile is at most 12.5% too high. Every method is
/// thread safe. A quantile computed during concurrent calls of record() may miss the newest values.
class LatencyHistogram {
public:
    void record(Duration);
    std::uint64_t count() const;
    std::chrono::microseconds sum() const;
    /// Upper bound of the bucket that contains the quantile, 0 < fraction <= 1; 0 if nothing was recorded.
    std::chrono::microseconds quantile(double fraction) const;

private:
    static constexpr std::size_t subBuckets = 8;
    static constexpr std::size_t bucketCount = 30 * subBuckets; // up to 2^32 microseconds, more than an hour
    static std::size_t bucketOf(std::uint64_t microseconds);
    static std::uint64_t upperBound(std::size_t bucket);

    std::array<std::atomic<std::uint64_t>, bucketCount> m_buckets {};
    std::atomic<std::uint64_t> m_sum { 0 };
};

/// Registry of the named values of a process. Every method is thread safe. References stay valid as long as this
/// object.
class Counters {
public:
    /// Returns the value with that name, created at the first use. Names are lower-case words joined by '_' and end
    /// with their unit ("_total", "_bytes", "_connections"); "_microseconds" is appended to those of histograms. Throws
    /// std::invalid_argument if the name has other characters or belongs to a value of another type.
    Counter& counter(std::string_view name);
    Gauge& gauge(std::string_view name);
    LatencyHistogram& latency(std::string_view name);

    /// One line "citronplank_NAME VALUE" per value, sorted by name. Histograms have their count, sum and the quantiles
    /// 0.5, 0.9, 0.99 and 0.999.
    std::string text() const;

private:
    template <typename Value>
    Value& find(std::map<std::string, Value, std::less<>>& values, std::string_view name, std::string_view type);

    mutable std::mutex m_mutex; // guards the maps, not the values
    std::map<std::string, std::string, std::less<>> m_types;
    std::map<std::string, Counter, std::less<>> m_counters;
    std::map<std::string, Gauge, std::less<>> m_gauges;
    std::map<std::string, LatencyHistogram, std::less<>> m_histograms;
};

} // namespace citronplank
