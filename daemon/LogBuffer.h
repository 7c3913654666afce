// Bounded buffer for log lines, written to a file descriptor in batches, so that logging never blocks the calling
// thread.
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
    static constexpr std::uint32_t maxLinesPerFlush = 200;              // limits the log volume per flush interval

    /// Appends a line, which is passed without the line break. Counts it as dropped if the buffer is full or
    /// `maxLinesPerFlush` is reached.
    void add(std::string_view line);
    /// Writes as much as possible without blocking and keeps the rest. Reports the number of dropped lines in the log.
    void flush(int descriptor);
    /// As `flush`, but does nothing if another call is in progress, so that a handler of a fault does not wait for the
    /// thread that it has interrupted. Does not allocate.
    void tryFlush(int descriptor);

private:
    void write(int descriptor);

    std::mutex m_mutex; // no other mutex is acquired under it
    std::string m_lines;
    std::uint32_t m_linesSinceFlush = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace citronplank
