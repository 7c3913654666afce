#include "standins/load/HistoryCheck.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace standins {

namespace {

using nlohmann::json;

/// One attempt of a keyed request, as in the history. Times are microseconds of the monotonic clock.
struct Attempt {
    std::uint64_t invoke = 0; // when it was sent
    std::uint64_t end = 0;    // when its response arrived or it failed
    std::string outcome;
};

struct KeyRecord {
    std::vector<Attempt> attempts;
    std::vector<std::uint64_t> starts; // of its runs, in microseconds of the monotonic clock
    std::string leaves;                // names of the leaves that ran it, each after a space
};

/// Calls `action` with each JSON object in a file of JSON lines; lines of other content are skipped.
template <typename Action>
void forEachLine(const std::string& path, Action action)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("cannot read the history or journal file " + path);
    for (std::string line; std::getline(in, line);) {
        const auto value = json::parse(line, nullptr, false);
        // The last line of a journal can be truncated if its process was killed.
        if (value.is_object())
            action(value);
    }
}

void checkKey(const std::string& key, const KeyRecord& record, std::vector<std::string>& violations)
{
    if (record.attempts.empty()) {
        violations.push_back(key + ": ran on" + record.leaves + ", but the history has no request with this key");
        return;
    }
    if (record.starts.size() > 1)
        violations.push_back(key + ": ran " + std::to_string(record.starts.size()) + " times, on" + record.leaves);
    const auto outcomeIs = [](std::string_view outcome) {
        return [outcome](const Attempt& attempt) { return attempt.outcome == outcome; };
    };
    if (record.starts.empty() && std::ranges::any_of(record.attempts, outcomeIs("ran")))
        violations.push_back(key + ": reported as run, but no leaf ran it");
    if (record.starts.empty())
        return;
    if (std::ranges::all_of(record.attempts, outcomeIs("not_run")))
        violations.push_back(key + ": all attempts were reported as not run, but it ran on" + record.leaves);
    const auto& last = record.attempts.back();
    if (last.outcome == "not_run" && record.starts.front() < last.invoke)
        violations.push_back(
            key + ": the last attempt was reported as not run, but it had already run on" + record.leaves);
}

} // namespace

HistoryReport checkHistory(const std::string& historyFile, const std::vector<std::string>& journalFiles)
{
    std::map<std::string, KeyRecord> records;
    forEachLine(historyFile, [&](const json& line) {
        records[line.at("key")].attempts.push_back({ line.at("invoke"), line.at("return"), line.at("outcome") });
    });
    HistoryReport report;
    for (const auto& file : journalFiles)
        forEachLine(file, [&](const json& line) {
            const auto key = line.at("key").get<std::string>();
            if (key.empty() || line.at("event") != "start")
                return;
            auto& record = records[key];
            record.starts.push_back(line.at("t"));
            record.leaves += " " + line.at("leaf").get<std::string>();
            ++report.runs;
        });
    report.keys = records.size();
    for (auto& [key, record] : records) {
        std::ranges::sort(record.attempts, {}, &Attempt::invoke);
        std::ranges::sort(record.starts);
        checkKey(key, record, report.violations);
    }
    return report;
}

} // namespace standins
