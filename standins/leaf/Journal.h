// Journal of what the leaves of one process ran: one JSON object on each line.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>

namespace standins {

/// Microseconds of the monotonic clock, which all processes of one machine share.
std::uint64_t monotonicMicroseconds();

/// One line. `event` is start, end, refused, boot, fall_over, crash, cold, drain or connection_refused; `result`
/// belongs to end (ok, cancelled, deadline, failed, crashed) and refused (shed, draining, wrong_version, deadline).
struct JournalLine {
    const char* event = "";
    const char* result = "";
    std::string_view leaf, service, operation, requestKey, requestId;
    std::uint64_t boot = 0;
    std::uint64_t version = 0;
    std::uint64_t shard = 0;
    std::uint32_t inFlight = 0; // after the event
    std::uint32_t capacity = 0;
};

class Journal {
public:
    /// With an empty path nothing is written. With `keyedOnly`, start, end and refused lines of parts without a request
    /// key are left out.
    Journal(const std::string& path, bool keyedOnly);
    void write(const JournalLine& line);
    void flush();

private:
    struct Closer {
        void operator()(std::FILE* file) const { std::fclose(file); }
    };
    std::unique_ptr<std::FILE, Closer> m_file;
    bool m_keyedOnly = false;
};

} // namespace standins
