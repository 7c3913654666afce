#include "standins/leaf/Journal.h"

#include <chrono>
#include <cinttypes>
#include <stdexcept>

namespace standins {

std::uint64_t monotonicMicroseconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

namespace {

/// Replaces each character that a JSON string would have to escape, and each non-ASCII one, by '?'. Request keys and
/// IDs are plain ASCII.
std::string toPrintableAscii(std::string_view text)
{
    std::string result(text);
    for (char& c : result)
        if (c < 0x20 || c > 0x7E || c == '"' || c == '\\')
            c = '?';
    return result;
}

} // namespace

Journal::Journal(const std::string& path, bool keyedOnly)
    : m_keyedOnly(keyedOnly)
{
    if (path.empty())
        return;
    m_file.reset(std::fopen(path.c_str(), "a"));
    if (!m_file)
        throw std::runtime_error("cannot open the journal file for writing: " + path);
}

void Journal::write(const JournalLine& line)
{
    if (!m_file || (m_keyedOnly && line.requestKey.empty() && !line.operation.empty()))
        return;
    std::fprintf(m_file.get(),
        "{\"t\":%" PRIu64 ",\"event\":\"%s\",\"result\":\"%s\",\"leaf\":\"%s\",\"boot\":%" PRIu64
        ",\"service\":\"%s\",\"operation\":\"%s\",\"key\":\"%s\",\"id\":\"%s\",\"version\":%" PRIu64
        ",\"shard\":%" PRIu64 ",\"in_flight\":%u,\"capacity\":%u}\n",
        monotonicMicroseconds(), line.event, line.result, toPrintableAscii(line.leaf).c_str(), line.boot,
        toPrintableAscii(line.service).c_str(), toPrintableAscii(line.operation).c_str(),
        toPrintableAscii(line.requestKey).c_str(), toPrintableAscii(line.requestId).c_str(), line.version, line.shard,
        line.inFlight, line.capacity);
    // The answer to a keyed part may reach its caller, and a test may check the run, before the next periodic flush.
    if (!line.requestKey.empty())
        flush();
}

void Journal::flush()
{
    if (m_file)
        std::fflush(m_file.get());
}

} // namespace standins
