// State machine of the control log: rules, zone views, request records, blocked fingerprints, the serving configuration
// and the membership.
//
// It is deterministic: members that apply the same entries hold the same state. Its clock is the latest timestamp of
// the entries applied so far.
#pragma once

#include "coordination/ControlMessages.h"

#include <functional>

#include <unordered_map>

namespace citronplank {

constexpr std::size_t maxRuleVersions = 1024;   // older ones cannot be read, and edits based on them are refused
constexpr std::size_t maxRequestKeys = 200'000; // at the limit a new key is refused, and none is dropped
constexpr std::uint64_t requestRetentionMs = 15ULL * 60 * 1000; // from the time stated in the key
constexpr std::size_t maxStoredAnswerBytes = 16UL * 1024;
constexpr std::uint64_t maxKeyLeadMs = 60'000; // a key further ahead would be kept for longer than 16 minutes
constexpr std::size_t maxSubmissions = 4096; // a resend of an older one is refused by its base version or by a conflict
constexpr std::size_t maxBlockedFingerprints = 10'000; // at the limit the one that expires first is dropped

/// A rule line with the edit that wrote it.
struct VersionedLine {
    RuleLine line;
    std::uint64_t version = 0; // log index of the edit
    std::string author;
    std::uint64_t timeMs = 0; // state clock at the edit, ms since 1970
    bool operator==(const VersionedLine&) const = default;
};

struct BlockedFingerprint {
    std::uint64_t fingerprint = 0;
    std::uint64_t expiresMs = 0; // by the state clock, ms since 1970
    std::uint64_t version = 0;   // log index of the command
    bool operator==(const BlockedFingerprint&) const = default;
};

/// Begun: an attempt may be executing the request. Finished: its outcome is stored. NotRun: the last attempt did not
/// execute the request, so another one may begin.
enum class RequestState : std::uint8_t { Begun, Finished, NotRun };

/// The execution state of one request key. Kept until `requestRetentionMs` after `keyTimeMs`.
struct RequestRecord {
    std::string attempt; // the attempt that owns the record; it alone may dispatch and finish
    std::uint64_t fingerprint = 0;
    std::uint64_t keyTimeMs = 0; // time stated in the key, ms since 1970
    RequestState state = RequestState::Begun;
    Outcome outcome = Outcome::NotRun;
    std::string answer;
    bool answerOmitted = false;
    bool operator==(const RequestRecord&) const = default;
};

/// The serving configuration in force, as it was submitted. Its content is opaque here; see ServingConfiguration.
struct StoredDocument {
    std::uint64_t version = 0; // chosen by the operator; 0: there is none yet
    SharedText content;
    std::uint64_t index = 0; // log index of the command that stored it
    bool operator==(const StoredDocument&) const = default;
};

/// The part of the state that is disseminated to every daemon from peer to peer.
struct PublishedState {
    ClusterId cluster = 0;
    std::uint64_t version = 0;               // log index of the last change of any published part
    std::uint64_t rulesVersion = 0;          // log index of the last edit that changed a line
    std::vector<VersionedLine> lines;        // ordered by key
    std::vector<ZoneView> views;             // ordered by zone
    std::vector<BlockedFingerprint> blocked; // ordered by fingerprint; the reader has to skip expired ones
    StoredDocument document;
    bool operator==(const PublishedState&) const = default;
};

/// The changes from one version of the published state to a newer one.
struct PublishedDifference {
    ClusterId cluster = 0;
    std::uint64_t fromVersion = 0;
    std::uint64_t version = 0;
    std::uint64_t rulesVersion = 0;
    bool full = false; // true: it replaces the whole state, whatever version the receiver holds
    std::vector<VersionedLine> lines;
    std::vector<std::string> removedKeys;
    std::vector<ZoneView> views;
    std::vector<BlockedFingerprint> blocked;
    std::optional<StoredDocument> document; // absent: as before
    bool operator==(const PublishedDifference&) const = default;
};

/// Applies a difference. Returns false and changes nothing if it belongs to another cluster, starts after
/// `state.version`, leads to no newer version, or is not full while `state` belongs to no cluster yet. Callers
/// serialize access to `state`.
bool applyDifference(PublishedState& state, const PublishedDifference&);

/// Encoding by msgpack; the decoders throw Error(ErrorKind::BadRequest) on malformed input. Thread safe.
std::string encode(const PublishedState&);
PublishedState decodePublishedState(std::string_view);
std::string encode(const PublishedDifference&);
PublishedDifference decodePublishedDifference(std::string_view);

/// Undo record of one edit that changed lines.
struct RuleVersion {
    struct Previous {
        std::string key;
        std::optional<VersionedLine> line; // as it was before the edit
        bool operator==(const Previous&) const = default;
    };
    std::uint64_t version = 0; // log index of the edit
    std::vector<Previous> previous;
    bool operator==(const RuleVersion&) const = default;
};

/// The edit that removed a rule line, kept to detect conflicts with edits that have not seen the removal.
struct RemovedLine {
    std::uint64_t version = 0; // log index of the edit
    std::string author;
    bool operator==(const RemovedLine&) const = default;
};

/// The result of an edit, returned again if the edit is resent.
struct StoredSubmission {
    std::string submissionId;
    EditResult result;
    bool operator==(const StoredSubmission&) const = default;
};

/// The complete state, as stored in a snapshot.
struct ControlStateData {
    std::uint64_t appliedIndex = 0;
    std::uint64_t clockMs = 0; // latest timestamp of the applied entries, ms since 1970
    std::uint64_t rulesVersion = 0;
    std::uint64_t publishedVersion = 0;
    std::uint64_t oldestBase = 0; // oldest version that an edit may be based on
    Membership membership;
    std::map<std::string, VersionedLine> lines;
    std::map<std::string, RemovedLine> removed;          // keys removed after oldestBase
    std::vector<RuleVersion> history;                    // oldest first, at most maxRuleVersions
    std::vector<StoredSubmission> submissions;           // oldest first, at most maxSubmissions
    std::map<std::string, RequestRecord> requests;       // by request key
    std::map<std::string, ZoneView> views;               // by zone
    std::map<std::uint64_t, BlockedFingerprint> blocked; // by fingerprint
    StoredDocument document;
    bool operator==(const ControlStateData&) const = default;
};

/// Whether rule lines are valid together: two edits that are valid alone can contradict each other. It must be
/// deterministic, because otherwise the members' states would differ.
using RulesValidator = std::function<bool(std::span<const RuleLine>)>;

/// The state machine. Not thread safe: callers serialize all calls to one object.
class ControlState {
public:
    /// Without a validator every edit is valid.
    explicit ControlState(RulesValidator validator = {})
        : m_validator(std::move(validator))
    {
    }

    /// Applies the next committed entry and returns the result of its command. The entry's index must be
    /// `appliedIndex() + 1`; any other throws std::logic_error, because the members' states would differ.
    CommandResult apply(const LogEntry&);

    /// Encodes the whole state.
    std::string snapshot() const;
    /// Replaces the whole state by that of a snapshot. Throws Error(ErrorKind::BadRequest) on malformed input and
    /// then changes nothing.
    void restore(std::string_view);

    /// References stay valid until the next apply() or restore().
    std::uint64_t appliedIndex() const { return m_data.appliedIndex; }
    std::uint64_t clockMs() const { return m_data.clockMs; }
    std::uint64_t rulesVersion() const { return m_data.rulesVersion; }
    std::uint64_t publishedVersion() const { return m_data.publishedVersion; }
    const Membership& membership() const { return m_data.membership; }
    const std::map<std::string, VersionedLine>& lines() const { return m_data.lines; }
    const std::map<std::string, ZoneView>& views() const { return m_data.views; }
    const std::map<std::uint64_t, BlockedFingerprint>& blocked() const { return m_data.blocked; }
    const StoredDocument& document() const { return m_data.document; }
    std::size_t requestCount() const { return m_data.requests.size(); }
    /// The record of a request key, or null.
    const RequestRecord* request(const std::string& key) const;
    /// True while the fingerprint is blocked, by the state clock.
    bool isBlocked(std::uint64_t fingerprint) const;
    const ControlStateData& data() const { return m_data; }

    /// The rule lines as they were at a version, ordered by key; absent if that version is no longer held or is in the
    /// future.
    std::optional<std::vector<RuleLine>> ruleLinesAt(std::uint64_t version) const;

    /// The published part of the state.
    PublishedState published() const;
    /// The changes of the published part since a version. The difference is full if the version is 0, is no longer held
    /// or is in the future.
    PublishedDifference differenceSince(std::uint64_t version) const;

private:
    CommandResult applyCommand(const EditRules&, std::uint64_t index);
    CommandResult applyCommand(const BeginRequest&, std::uint64_t index);
    CommandResult applyCommand(const FinishRequest&, std::uint64_t index);
    CommandResult applyCommand(const ChangeView&, std::uint64_t index);
    CommandResult applyCommand(const BlockFingerprint&, std::uint64_t index);
    CommandResult applyCommand(const ChangeMembers&, std::uint64_t index);
    CommandResult applyCommand(const PutDocument&, std::uint64_t index);
    CommandResult applyCommand(const NoOp&, std::uint64_t index);
    EditResult edit(const EditRules&, std::uint64_t index);
    std::optional<EditResult> refusal(const EditRules&) const;
    bool isValidTogether(const EditRules&) const;
    static bool isWellFormed(const EditRules&);
    bool isInForce(const RuleChange&) const;
    void writeLines(const EditRules&, std::uint64_t index);
    void trimHistory();
    void storeSubmission(const std::string& submissionId, const EditResult&);
    void dropExpired();
    void rebuildIndexes();

    RulesValidator m_validator;
    ControlStateData m_data;
    std::unordered_map<std::string, EditResult> m_submissionResults;  // index of m_data.submissions
    std::set<std::pair<std::uint64_t, std::string>> m_requestsByTime; // index of m_data.requests
};

} // namespace citronplank
