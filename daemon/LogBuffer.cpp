#include "daemon/LogBuffer.h"

#include <poll.h>
#include <unistd.h>

namespace citronplank {

void LogBuffer::add(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_lines.size() + line.size() >= maxBytes || m_linesSinceFlush >= maxLinesPerFlush) {
        ++m_dropped;
        return;
    }
    ++m_linesSinceFlush;
    m_lines += line;
    m_lines += '\n';
}

void LogBuffer::flush(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    m_linesSinceFlush = 0;
    if (m_dropped > 0) {
        m_lines += "log: dropped_lines=" + std::to_string(m_dropped) + "\n";
        m_dropped = 0;
    }
    write(descriptor);
}

void LogBuffer::tryFlush(int descriptor)
{
    if (std::unique_lock lock(m_mutex, std::try_to_lock); lock)
        write(descriptor);
}

/// Precondition: m_mutex is held.
void LogBuffer::write(int descriptor)
{
    constexpr std::size_t pipeChunk = 4096; // a pipe that polls writable accepts this many bytes without blocking
    while (!m_lines.empty()) {
        pollfd ready { descriptor, POLLOUT, 0 };
        if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
            return;
        auto n = ::write(descriptor, m_lines.data(), std::min(pipeChunk, m_lines.size()));
        if (n <= 0)
            return;
        m_lines.erase(0, static_cast<std::size_t>(n));
    }
}

} // namespace citronplank
