// What system tests do to a cluster of ProcessHarness: queries, keyed requests, edits of rules files, faults of
// stand-in leaves, load, and reading journals. Not thread safe, but for the functions that only take an address.
#pragma once

#include "tests/ProcessHarness.h"

#include <cstdint>
#include <optional>

namespace citronplank::testing {

/// Outcome of one save of a rules file, as in its status file.
struct EditOutcome {
    std::string outcome; // empty: none within the timeout
    std::string detail;
    std::uint64_t version = 0; // version in force that the status file names
};

/// One line of the journal of the stand-in leaves.
struct JournalEntry {
    std::uint64_t microseconds = 0; // monotonic clock of the machine
    std::string event;
    std::string result;
    std::string leaf;
    std::string service;
    std::string key;
    std::uint32_t inFlight = 0;
    std::uint32_t capacity = 0;
};

HttpResponse sendQuery(const std::string& caller, const std::string& service, int deadlineMs,
    const std::string& body = "query", const std::string& operation = "list");
bool isWhole(const HttpResponse& answer);
HttpResponse sendKeyedRequest(const std::string& caller, const std::string& key, const std::string& service,
    const std::string& body, int deadlineMs = 2000);
/// A new request key with the present time.
std::string makeRequestKey();

/// Status page of one daemon; a null value if it does not answer.
nlohmann::json fetchStatus(const std::string& admin);
std::uint64_t fetchRulesVersion(const std::string& admin);
/// Name of the control leader as most daemons see it; empty if none.
std::string controlLeader(const Cluster& cluster);

std::string readRules(const Cluster& cluster, const std::string& instance);
/// `text` with the line of `key` replaced by `line`, or with `line` added. An empty `line` removes it.
std::string replaceLine(const std::string& text, const std::string& key, const std::string& line);
/// Saves as an editor does: a new file that is renamed. The old status file is removed first.
void saveRules(const Cluster& cluster, const std::string& instance, const std::string& text);
/// Waits for the final outcome of the last save.
EditOutcome waitForOutcome(
    const Cluster& cluster, const std::string& instance, std::chrono::milliseconds timeout = std::chrono::seconds(8));
/// True once all instances but `except` report at least `version`.
bool waitForRulesVersion(
    const Cluster& cluster, std::uint64_t version, std::chrono::milliseconds timeout, const std::string& except = {});

/// Starts the stand-in leaves in all four zones. `services` as for `standin_leaf --service`.
void startStandInLeaves(Cluster& cluster, const std::vector<std::string>& services);
/// Sends one command to the control endpoint of the leaves; returns how many matched.
int commandLeaves(const Cluster& cluster, const nlohmann::json& command);
/// Sends a query to each instance until each answers whole.
bool waitForWholeAnswers(
    const Cluster& cluster, const std::string& service, std::chrono::milliseconds timeout = std::chrono::seconds(15));

/// All complete lines written so far.
std::vector<JournalEntry> readJournal(const Cluster& cluster);
std::uint64_t monotonicNow();
/// Runs a program of the build folder; its output is appended to `output`.
std::unique_ptr<ChildProcess> startProgram(
    const std::string& program, const std::vector<std::string>& arguments, const std::filesystem::path& output);
/// `standin_load` through all entries that are ready, with result and history files in the cluster's folder.
std::unique_ptr<ChildProcess> startLoad(const Cluster& cluster, const std::vector<std::string>& arguments);
/// Result of the last load.
nlohmann::json loadResult(const Cluster& cluster);
/// Exit code of `standin_load --check` on the history and the journal.
int checkKeyedHistory(const Cluster& cluster);
std::string readText(const std::filesystem::path& path);

} // namespace citronplank::testing
