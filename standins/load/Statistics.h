// Counters and latencies of one run of the load generator.
#pragma once

#include "standins/load/AnswerCheck.h"

#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace standins {

/// Not thread safe.
class Statistics {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Requests scheduled before `measureFrom` belong to the warm-up: they appear in the timeline but not in the
    /// totals. Wrong answers always count.
    Statistics(TimePoint start, TimePoint measureFrom)
        : m_start(start)
        , m_measureFrom(measureFrom)
    {
    }

    /// Records a finished request. `due` is its scheduled time, at or after `start`; the latency is `end - due`.
    void record(const LoadRequest& request, const Verdict& verdict, TimePoint due, TimePoint end);
    /// Returns the totals and a timeline with one entry per second; latencies are in milliseconds.
    nlohmann::json toJson() const;
    /// Returns the totals as lines of text.
    std::string summary() const;
    /// Returns the number of wrong answers, including those during the warm-up.
    std::uint64_t wrongAnswers() const { return m_wrong; }

private:
    /// The requests that were scheduled in one second of the run, including the warm-up.
    struct SecondStatistics {
        std::uint64_t whole = 0, partial = 0, refused = 0, wrong = 0, transport = 0;
        double coverage = 0;                  // sum over answered requests
        std::vector<std::uint32_t> latencies; // microseconds, of answered requests
    };

    TimePoint m_start;
    TimePoint m_measureFrom;
    std::vector<std::uint32_t> m_latencies;                 // microseconds, of answered requests
    std::vector<SecondStatistics> m_seconds;                // by the scheduled time of the request
    std::map<std::string, std::uint64_t> m_refusals;        // by error kind
    std::map<std::string, std::uint64_t> m_transportErrors; // requests without a response, by error
    std::map<std::uint64_t, std::uint64_t> m_versions;      // answered requests by index version
    std::vector<std::string> m_wrongExamples;
    /// `m_late` counts the answered requests whose latency exceeded their deadline.
    std::uint64_t m_total = 0, m_whole = 0, m_partial = 0, m_wrong = 0, m_late = 0;
    double m_coverage = 0; // sum over answered requests
};

} // namespace standins
