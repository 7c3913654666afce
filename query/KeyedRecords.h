// Proposals and reads that keyed execution sends to the control log. The daemon converts them to the log's own types,
// which are BeginRequest, FinishRequest and RequestRecord in coordination/.
#pragma once

#include "citronplank.h"

#include <variant>

namespace citronplank {

constexpr std::size_t maxStoredBodyBytes = 16384; // of a longer answer only the outcome is stored

/// Creates a record of the key for this attempt, unless one exists. Idempotent for the same attempt.
struct BeginKeyed {
    std::string key;
    std::string attempt;           // unique per keyed execution: instance, incarnation and a counter
    std::uint64_t fingerprint = 0; // hash of service, operation and body
    std::uint64_t keySeconds = 0;  // UNIXSECONDS of the key
};

/// Outcome of a keyed request as stored in its record.
struct StoredOutcome {
    Outcome outcome = Outcome::NotRun;
    bool failed = false;      // ran, and the backend server returned an error
    bool bodyOmitted = false; // ran, but the answer was too long to store
    std::string body;         // answer of the backend server, if the request ran and the answer was stored
};

/// Stores the outcome in the record of this attempt. After Outcome::NotRun the same key may be begun again.
/// Has no effect unless the record is held by this attempt and unfinished, so that a delayed duplicate cannot finish a
/// later attempt.
struct FinishKeyed {
    std::string key;
    std::string attempt;
    StoredOutcome result;
};

using KeyedProposal = std::variant<BeginKeyed, FinishKeyed>;

/// Record of a key, from a read that the control leader confirmed.
struct KeyedRecord {
    std::string attempt;
    std::uint64_t fingerprint = 0;
    std::optional<StoredOutcome> finished; // absent: begun and not yet finished
};

enum class ProposalStatus : std::uint8_t {
    Applied,    // committed and applied; for a BeginKeyed, `record` holds the record of the key
    KeyExpired, // BeginKeyed: the key is older than the retention time of keys
    TableFull,  // BeginKeyed: the maximum number of keys is stored
    NotApplied, // not applied and never will be: no majority, or no leader accepted it
    Unknown,    // may have been applied or may be applied later
};

/// Result of a proposal. For a BeginKeyed with status Applied, `record` is the resulting record. Its attempt is that of
/// the BeginKeyed, or another one if the key was already in use.
struct ProposalReply {
    ProposalStatus status = ProposalStatus::Unknown;
    std::optional<KeyedRecord> record;
};

/// Result of reading the record of a key. `known` is false if the control leader could not confirm the read.
struct RecordReply {
    bool known = false;
    std::optional<KeyedRecord> record; // absent: no record exists
};

} // namespace citronplank
