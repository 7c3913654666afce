// Compares a history of keyed requests with the journals of the leaves.
#pragma once

#include <string>
#include <vector>

namespace standins {

struct HistoryReport {
    std::uint64_t keys = 0;
    std::uint64_t runs = 0;
    std::vector<std::string> faults; // empty: every key ran at most once and every outcome was truthful
};

/// Faults: a key that ran more than once; an answer "ran" without a run; an answer "not_run" to the last attempt of a
/// key although it had been run by then, or all attempts "not_run" although it ran at some time; a run of an unknown
/// key. Throws std::runtime_error if a file cannot be read.
HistoryReport checkHistory(const std::string& historyFile, const std::vector<std::string>& journalFiles);

} // namespace standins
