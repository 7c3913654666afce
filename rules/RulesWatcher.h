// Watches one rules file. Returns the operator's edits, writes FILE.status and, once an edit is in force, updates the
// file and its header. The caller supplies the time, older versions and the outcome of each submission.
#pragma once

#include "rules/RulesFile.h"

#include <functional>

namespace citronplank {

/// An edit to be proposed to the control log. `submissionId` is a hash of instance, base version and changes, so that a
/// repeated submission is recognised.
struct RulesSubmission {
    std::uint64_t submissionId = 0;
    std::uint64_t baseVersion = 0;
    std::vector<RuleChange> changes; // ordered by key, never empty
};

/// Result of one poll. At most one of the members is set.
struct RulesPollResult {
    std::optional<RulesSubmission> submission;
    std::optional<std::string> error; // also in the status file; returned once until the content or the error changes
};

/// Returns the lines of an accepted version, or nullopt if it is not stored. Version 0 is the empty set of rules.
using RulesLookup = std::function<std::optional<std::vector<RuleLine>>(std::uint64_t version)>;

constexpr milliseconds rulesPollInterval { 200 }; // between calls of RulesWatcher::poll
constexpr milliseconds rulesSettleTime { 400 }; // the content must not change for this long: a save may be in progress
constexpr milliseconds rulesRetryInterval { 1000 };     // after `onPending` and after a failed lookup
constexpr milliseconds rulesSubmissionTimeout { 5000 }; // without an outcome, the submission is repeated
constexpr milliseconds rulesRestoreDelay { 2000 };      // some editors delete a file before they save it

/// Reads and writes only the file, its status file and temporary files in the same folder. An empty, deleted,
/// incomplete or invalid file, or one without a header, is reported and changes no rule. Not thread safe.
class RulesWatcher {
public:
    /// Watches the file at `path`. `instance` is the name of this instance.
    RulesWatcher(std::string path, std::string instance, RulesLookup lookup);

    /// Must be called every `rulesPollInterval`. Returns each edit once, and again after `onPending` or if no outcome
    /// was reported in time.
    RulesPollResult poll(TimePoint now);

    /// The edit is in force as part of `version`, whose lines are `lines`. Updates the header of the file and the lines
    /// that others changed, unless the file was edited after the submission.
    void onAccepted(std::uint64_t submissionId, std::uint64_t version, std::span<const RuleLine> lines);
    /// The edit is refused permanently, for example because of a conflict. The file is not changed; the next save is a
    /// new submission.
    void onRefused(std::uint64_t submissionId, const std::string& reason);
    /// The edit could not be decided, for example without a majority. `poll` returns it again after
    /// `rulesRetryInterval`.
    void onPending(std::uint64_t submissionId, const std::string& reason, TimePoint now);

    /// A version is in force, whoever edited it. A file without a local edit is updated; a file that is missing for
    /// `rulesRestoreDelay` is created. A version that is not newer than the last one is ignored.
    void onInForce(std::uint64_t version, std::span<const RuleLine> lines);

    /// Path of the status file: the outcome of the last edit or the last error, as "name: value" lines.
    std::string statusPath() const { return m_path + ".status"; }

private:
    /// A submission without a final outcome.
    struct Pending {
        RulesSubmission submission;
        std::uint64_t contentHash = 0; // of the file from which it was made
        TimePoint resubmitAt;
    };

    std::optional<std::string> readFile() const;
    RulesPollResult pollMissing(TimePoint now);
    RulesPollResult process(const std::string& text, std::uint64_t contentHash, TimePoint now);
    RulesPollResult report(const std::string& outcome, const std::string& error);
    RulesPollResult submit(
        std::uint64_t base, std::vector<RuleChange> changes, std::uint64_t contentHash, TimePoint now);
    void bringUpToDate();
    void restoreFile();
    std::string updateFile(const std::string& oldText);
    void markClean(std::uint64_t contentHash);
    void writeStatus(const std::string& outcome, std::uint64_t submissionId, const std::string& detail);

    std::string m_path;
    std::string m_instance;
    RulesLookup m_lookup;
    std::optional<std::uint64_t> m_lastHash;      // hash of the last content read
    TimePoint m_lastChange;                       // when `m_lastHash` was first read
    std::optional<std::uint64_t> m_processedHash; // hash of the last content that was processed
    std::optional<std::uint64_t> m_cleanHash;     // hash of the last content without an edit
    std::optional<TimePoint> m_missingSince;
    std::optional<Pending> m_pending;
    TimePoint m_retryAt;                    // the same content is not processed again before this time
    std::string m_lastError;                // last one reported; empty once the content has changed or was accepted
    std::optional<std::uint64_t> m_version; // newest version known to be in force
    std::vector<RuleLine> m_lines;          // its lines
};

} // namespace citronplank
