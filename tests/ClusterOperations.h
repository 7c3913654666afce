// Operations of system tests on a Cluster: queries, keyed requests, edits of rules files, faults of stand-in leaves,
// load, and reading journals. Not thread safe, except for the functions that take only an address.
#pragma once

#include "tests/ProcessHarness.h"

#include <cstdint>
#include <optional>

namespace citronplank::testing {

/// Outcome of an edit of a rules file, read from its status file.
struct EditOutcome {
    std::string outcome; // empty: no outcome within the timeout
    std::string detail;
    std::uint64_t version = 0; // version in force according to the status file
};

/// A line of the journal of the stand-in leaves.
struct JournalEntry {
    std::uint64_t microseconds = 0; // monotonic clock of the host
    std::string event;
    std::string result;
    std::string leaf;
    std::string service;
    std::string key;
    std::uint32_t inFlight = 0;
    std::uint32_t capacity = 0;
};

/// `caller`, and `admin` below, are addresses as in InstanceAddresses.
HttpResponse sendQuery(const std::string& caller, const std::string& service, int deadlineMs,
    const std::string& body = "query", const std::string& operation = "list");
/// Whether the answer has status 200 and covers all shards.
bool isWhole(const HttpResponse& answer);
HttpResponse sendKeyedRequest(const std::string& caller, const std::string& key, const std::string& service,
    const std::string& body, int deadlineMs = 2000);
/// Returns a new request key that contains the current time.
std::string makeRequestKey();

/// Fetches the status of a daemon; null if it does not respond.
nlohmann::json fetchStatus(const std::string& admin);
/// 0 if the daemon does not respond.
std::uint64_t fetchRulesVersion(const std::string& admin);
/// Name of the first control member that reports the leader role; empty if none does.
std::string controlLeader(const Cluster& cluster);

std::string readRules(const Cluster& cluster, const std::string& instance);
/// Returns `text` with the line of `key` replaced by `line`; appends `line` if the key is absent. An empty `line`
/// removes the line of the key.
std::string replaceLine(const std::string& text, const std::string& key, const std::string& line);
/// Saves the file like a text editor: writes a new file and renames it. Removes the old status file first.
void saveRules(const Cluster& cluster, const std::string& instance, const std::string& text);
/// Waits for the final outcome of the last edit.
EditOutcome waitForOutcome(
    const Cluster& cluster, const std::string& instance, std::chrono::milliseconds timeout = std::chrono::seconds(8));
/// Waits until all instances except `except` report at least `version`. Returns false after the timeout.
bool waitForRulesVersion(
    const Cluster& cluster, std::uint64_t version, std::chrono::milliseconds timeout, const std::string& except = {});

/// Starts the stand-in leaves in all four zones. `services` has the format of `standin_leaf --service`.
void startStandInLeaves(Cluster& cluster, const std::vector<std::string>& services);
/// Sends a command to the control endpoint of the leaves; returns the number of leaves that matched.
int commandLeaves(const Cluster& cluster, const nlohmann::json& command);
/// Sends queries to each instance until its answer covers all shards. Returns false after the timeout.
bool waitForWholeAnswers(
    const Cluster& cluster, const std::string& service, std::chrono::milliseconds timeout = std::chrono::seconds(15));

/// Reads all complete lines written so far.
std::vector<JournalEntry> readJournal(const Cluster& cluster);
/// Microseconds of the monotonic clock, as in JournalEntry.
std::uint64_t monotonicNow();
/// Starts a program of the build folder; its output is appended to `output`.
std::unique_ptr<ChildProcess> startProgram(
    const std::string& program, const std::vector<std::string>& arguments, const std::filesystem::path& output);
/// Starts `standin_load` on all instances that are ready, with result and history files in the folder of the cluster.
std::unique_ptr<ChildProcess> startLoad(const Cluster& cluster, const std::vector<std::string>& arguments);
/// Result of the last load run.
nlohmann::json readLoadResult(const Cluster& cluster);
/// Runs `standin_load --check` on the history and the journal; returns its exit code.
int checkKeyedHistory(const Cluster& cluster);
std::string readText(const std::filesystem::path& path);

} // namespace citronplank::testing
