#include "standins/load/Statistics.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace standins {

namespace {

constexpr std::size_t maxWrongExamples = 10; // that the result lists

/// Returns the element at index `share * size` of sorted microseconds, in milliseconds; 0 if there is none.
double percentile(const std::vector<std::uint32_t>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)] / 1000.0;
}

} // namespace

void Statistics::record(const LoadRequest& request, const Verdict& verdict, TimePoint due, TimePoint end)
{
    const auto index
        = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(due - m_start).count());
    if (m_seconds.size() <= index)
        m_seconds.resize(index + 1);
    auto& second = m_seconds[index];
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(end - due);
    const bool isMeasured = due >= m_measureFrom;
    const bool isAnswer = verdict.kind == Verdict::Kind::Whole || verdict.kind == Verdict::Kind::Partial;
    m_total += isMeasured;
    if (isAnswer) {
        const auto latency = static_cast<std::uint32_t>(microseconds.count());
        second.latencies.push_back(latency);
        second.coverage += verdict.coverage;
        ++(verdict.kind == Verdict::Kind::Whole ? second.whole : second.partial);
        if (isMeasured) {
            m_latencies.push_back(latency);
            m_coverage += verdict.coverage;
            m_late += microseconds > request.deadline;
            ++m_versions[verdict.version];
            ++(verdict.kind == Verdict::Kind::Whole ? m_whole : m_partial);
        }
    } else if (verdict.kind == Verdict::Kind::Wrong) {
        // Wrong answers also count during the warm-up.
        ++second.wrong;
        ++m_wrong;
        if (m_wrongExamples.size() < maxWrongExamples)
            m_wrongExamples.push_back(request.service + " " + request.operation + ": " + verdict.detail);
    } else if (verdict.kind == Verdict::Kind::Refused) {
        ++second.refused;
        m_refusals[verdict.detail] += isMeasured;
    } else {
        ++second.transport;
        m_transportErrors[verdict.detail] += isMeasured;
    }
}

nlohmann::json Statistics::toJson() const
{
    using nlohmann::json;
    auto sorted = m_latencies;
    std::ranges::sort(sorted);
    const auto answered = m_whole + m_partial;
    json result { { "requests", m_total }, { "answered", answered }, { "whole", m_whole }, { "partial", m_partial },
        { "wrong", m_wrong }, { "late", m_late }, { "refusals", m_refusals }, { "transport_errors", m_transportErrors },
        { "wrong_examples", m_wrongExamples } };
    result["mean_coverage"] = answered ? m_coverage / static_cast<double>(answered) : 0.0;
    result["latency_ms"]
        = { { "p50", percentile(sorted, 0.5) }, { "p90", percentile(sorted, 0.9) }, { "p99", percentile(sorted, 0.99) },
              { "p999", percentile(sorted, 0.999) }, { "max", sorted.empty() ? 0 : sorted.back() / 1000.0 } };
    for (const auto& [version, count] : m_versions)
        result["versions"][std::to_string(version)] = count;
    for (const auto& second : m_seconds) {
        auto latencies = second.latencies;
        std::ranges::sort(latencies);
        const auto answers = second.whole + second.partial;
        result["timeline"].push_back({ { "whole", second.whole }, { "partial", second.partial },
            { "refused", second.refused }, { "wrong", second.wrong }, { "transport", second.transport },
            { "coverage", answers ? second.coverage / static_cast<double>(answers) : 0.0 },
            { "p50", percentile(latencies, 0.5) }, { "p99", percentile(latencies, 0.99) } });
    }
    return result;
}

std::string Statistics::summary() const
{
    const auto result = toJson();
    const auto& latency = result["latency_ms"];
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << "load: " << m_total << " requests, " << m_whole << " whole, "
        << m_partial << " partial, " << m_wrong << " wrong, " << m_late << " late\n"
        << "load: p50 " << latency["p50"].get<double>() << " ms, p90 " << latency["p90"].get<double>() << " ms, p99 "
        << latency["p99"].get<double>() << " ms, p99.9 " << latency["p999"].get<double>() << " ms\n"
        << std::setprecision(4) << "load: mean coverage " << result["mean_coverage"].get<double>() << '\n';
    for (const auto& [kind, count] : m_refusals)
        out << "load: refused " << kind << ": " << count << '\n';
    for (const auto& [kind, count] : m_transportErrors)
        out << "load: no response, " << kind << ": " << count << '\n';
    for (const auto& example : m_wrongExamples)
        out << "load: wrong answer: " << example << '\n';
    return out.str();
}

} // namespace standins
