// Journal of the events of all leaves in a process, as JSON lines.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>

namespace standins {

/// Returns microseconds of the monotonic clock, which all processes on a host share, so that times in files of
/// different processes can be compared.
std::uint64_t monotonicMicroseconds();

/// One event of a leaf. `event` is start, end or refused, which concern a part, or boot, fall_over, crash, cold, drain,
/// stop or connection_refused. `result` is set for end (ok, cancelled, deadline, failed, crashed) and refused (shed,
/// draining, wrong_version, deadline). `operation`, `requestKey`, `requestId`, `version` and `shard` are set only for
/// parts.
struct JournalLine {
    const char* event = "";
    const char* result = "";
    std::string_view leaf, service, operation, requestKey, requestId;
    std::uint64_t boot = 0; // time of the last boot in microseconds since the Unix epoch
    std::uint64_t version = 0;
    std::uint64_t shard = 0;
    std::uint32_t inFlight = 0; // running parts of the leaf after the event
    std::uint32_t capacity = 0; // parts that the leaf can execute concurrently
};

/// Not thread safe.
class Journal {
public:
    /// Appends to the file at `path`; an empty path disables the journal. With `keyedOnly`, the start, end and refused
    /// lines of parts without a request key are omitted. Throws std::runtime_error if the file cannot be opened.
    Journal(const std::string& path, bool keyedOnly);
    /// Appends a line with the current time. The line of a part with a request key is in the file on return, other
    /// lines at the latest after the next `flush`.
    void write(const JournalLine& line);
    /// Writes all buffered lines to the file.
    void flush();

private:
    struct FileCloser {
        void operator()(std::FILE* file) const { std::fclose(file); }
    };
    std::unique_ptr<std::FILE, FileCloser> m_file;
    bool m_keyedOnly = false;
};

} // namespace standins
