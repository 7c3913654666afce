// Checks the history of keyed requests against the journals of the leaves.
#pragma once

#include <string>
#include <vector>

namespace standins {

struct HistoryReport {
    std::uint64_t keys = 0;              // distinct request keys in the history and the journals
    std::uint64_t runs = 0;              // of these keys on leaves
    std::vector<std::string> violations; // empty: every key ran at most once and every reported outcome was correct
};

/// Compares the history that Generator writes with the journals that the leaves write. A run is a start event of a
/// request key in a journal. Violations: a key that ran more than once; outcome "ran" although no leaf ran the key;
/// outcome "not_run" of the last attempt although the key had run before that attempt; outcome "not_run" of all
/// attempts although the key ran; a run of an unknown key. Throws std::runtime_error if a file cannot be read, and
/// nlohmann::json::exception if a line lacks a field.
HistoryReport checkHistory(const std::string& historyFile, const std::vector<std::string>& journalFiles);

} // namespace standins
