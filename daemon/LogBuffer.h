// Log lines on their way to standard output: bounded, written in batches, never blocking the thread that logs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace citronplank {

/// Every method is thread safe.
class LogBuffer {
public:
    static constexpr std::size_t maxBytes = std::size_t { 128 } << 10U; // about a thousand lines
    static constexpr std::uint32_t maxLinesPerFlush = 200;              // bounds the volume at the flush interval

    /// Takes a line, or counts it as dropped if the buffer is full.
    void add(std::string_view line);
    /// Writes what the descriptor takes without blocking; the rest stays. Names the number of dropped lines.
    void flush(int descriptor);

private:
    std::mutex m_mutex; // a leaf lock: nothing else is acquired under it
    std::string m_lines;
    std::uint32_t m_linesSinceFlush = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace citronplank
