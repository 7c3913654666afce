// Operations of system tests on a Cluster: queries, keyed requests, edits of rules files, faults of stand-in leaves,
// load, and reading journals. The functions that take the address of an instance are thread safe; the others are not.
#pragma once

#include "tests/ProcessHarness.h"

#include <cstdint>
#include <optional>

namespace citronplank::testing {

/// Outcome of an edit of a rules file, read from its status file.
struct EditOutcome {
    std::string outcome; // accepted, refused, error or unchanged; empty: no final outcome within the timeout
    std::string detail;
    std::uint64_t version = 0; // of the rules in force on the instance; 0: unknown
};

/// A line of the journal of the stand-in leaves; standins/leaf/Journal.h lists the values of `event` and `result`.
struct JournalEntry {
    std::uint64_t microseconds = 0; // monotonic clock of the host
    std::string event;
    std::string result;
    std::string leaf;
    std::string service;
    std::string key;            // request key of a keyed request, else empty
    std::uint32_t inFlight = 0; // running parts of the leaf after the event
    std::uint32_t capacity = 0;
};

/// Sends a query to an entry instance and waits for the answer. `caller`, and `admin` below, are addresses as in
/// InstanceAddresses.
HttpResponse sendQuery(const std::string& caller, const std::string& service, int deadlineMs,
    const std::string& body = "query", const std::string& operation = "list");
/// Whether the answer has status 200 and covers all shards.
bool isWhole(const HttpResponse& answer);
/// Sends a request with the request key `key` and the operation "charge" to an entry instance and waits for the answer.
HttpResponse sendKeyedRequest(const std::string& caller, const std::string& key, const std::string& service,
    const std::string& body, int deadlineMs = 2000);
/// Returns a new request key: the current time in seconds since the Unix epoch, and a random number.
std::string makeRequestKey();

/// Fetches the status of a daemon; null if it does not respond.
nlohmann::json fetchStatus(const std::string& admin);
/// Version of the rules in force on an instance; 0 if the daemon does not respond.
std::uint64_t fetchRulesVersion(const std::string& admin);
/// Name of the first control member that reports the leader role; empty if none does.
std::string controlLeader(const Cluster& cluster);

std::string readRules(const Cluster& cluster, const std::string& instance);
/// Returns `text` with the line that starts with `key` and a space replaced by `line`; appends `line` if there is none.
/// An empty `line` removes the line of the key.
std::string replaceLine(const std::string& text, const std::string& key, const std::string& line);
/// Replaces the rules file of an instance like a text editor: writes a new file and renames it. Removes the status file
/// first, so that waitForOutcome() cannot read the outcome of an earlier edit.
void saveRules(const Cluster& cluster, const std::string& instance, const std::string& text);
/// Waits until the status file has the final outcome of the last saveRules() through `instance`.
EditOutcome waitForOutcome(
    const Cluster& cluster, const std::string& instance, std::chrono::milliseconds timeout = std::chrono::seconds(8));
/// Waits until all instances except the one named `except` report at least `version`. Returns false after the timeout.
bool waitForRulesVersion(
    const Cluster& cluster, std::uint64_t version, std::chrono::milliseconds timeout, const std::string& except = {});

/// Starts the stand-in leaves in all four zones. Each of `services` is an argument of `standin_leaf --service`.
void startStandInLeaves(Cluster& cluster, const std::vector<std::string>& services);
/// Sends a command to the control endpoint of the leaves; standins/leaf/LeafControl.h lists the commands. Returns the
/// number of leaves that it applied to; 0 also if the command was refused or there was no response.
int commandLeaves(const Cluster& cluster, const nlohmann::json& command);
/// Sends queries to each instance until its answer covers all shards. Returns false after the timeout.
bool waitForWholeAnswers(
    const Cluster& cluster, const std::string& service, std::chrono::milliseconds timeout = std::chrono::seconds(15));

/// Reads all complete lines that the leaves have written so far. They flush lines without a request key every 200 ms.
std::vector<JournalEntry> readJournal(const Cluster& cluster);
/// Microseconds of the monotonic clock, as in JournalEntry. Thread safe.
std::uint64_t monotonicNow();
/// Starts the program named `program` in the build folder; its output is appended to `output`.
std::unique_ptr<ChildProcess> startProgram(
    const std::string& program, const std::vector<std::string>& arguments, const std::filesystem::path& output);
/// Starts `standin_load`, which sends requests to the instances that are ready, or to any if none is. `arguments` are
/// added to the addresses of all instances and the paths of the result and history files, which are in the folder of
/// the cluster.
std::unique_ptr<ChildProcess> startLoad(const Cluster& cluster, const std::vector<std::string>& arguments);
/// The result file that `standin_load` writes when it exits; a discarded value if there is none.
nlohmann::json readLoadResult(const Cluster& cluster);
/// Runs `standin_load --check`, which checks the history of the keyed requests against the journal; its output is
/// appended to check.log. Returns its exit code: 0 if there are no violations; -1 if it does not exit within 30 s.
int checkKeyedHistory(const Cluster& cluster);
/// Content of a file; empty if it cannot be read.
std::string readText(const std::filesystem::path& path);

} // namespace citronplank::testing
