// What keyed execution asks of the control log. The daemon maps these structs to the log's commands and reads.
// The names differ from BeginRequest, FinishRequest and RequestRecord of coordination/, which are the log's own types.
#pragma once

#include "citronplank.h"

#include <variant>

namespace citronplank {

constexpr std::size_t maxStoredBodyBytes = 16384; // of a longer answer only the outcome is stored

/// Records the key with this attempt, if no record stands. Proposing it again with the same attempt changes nothing.
struct BeginKeyed {
    std::string key;
    std::string attempt;           // unique per keyed execution: instance, incarnation and a counter
    std::uint64_t fingerprint = 0; // of service, operation and body
    std::uint64_t keySeconds = 0;  // UNIXSECONDS of the key
};

/// How a keyed request ended, as stored in its record.
struct StoredOutcome {
    Outcome outcome = Outcome::NotRun;
    bool failed = false;      // ran, and the back end answered with an error
    bool bodyOmitted = false; // ran, but the answer was too long to store
    std::string body;         // the answer, if it ran and is stored
};

/// Ends the record of this attempt. After Outcome::NotRun the same key may be begun again.
/// It has no effect unless the record stands begun with this attempt, so a delayed duplicate cannot end a later
/// attempt.
struct FinishKeyed {
    std::string key;
    std::string attempt;
    StoredOutcome result;
};

using KeyedProposal = std::variant<BeginKeyed, FinishKeyed>;

/// One record as read with the control leader's confirmation.
struct KeyedRecord {
    std::string attempt;
    std::uint64_t fingerprint = 0;
    std::optional<StoredOutcome> finished; // absent: begun
};

enum class ProposalStatus : std::uint8_t {
    Applied,    // committed and applied; for a BeginKeyed `record` is what stands now
    KeyExpired, // BeginKeyed: the key is older than the log keeps keys
    TableFull,  // BeginKeyed: too many keys are kept
    NotApplied, // certainly not applied and never will be: no majority, or no leader took it
    Unknown,    // may be applied now or later
};

/// The end of a proposal. A BeginKeyed with status Applied comes with the record that stands after it: with this
/// attempt if it was begun or had been begun by it, else another attempt's.
struct ProposalReply {
    ProposalStatus status = ProposalStatus::Unknown;
    std::optional<KeyedRecord> record;
};

/// The answer to a read of one key. `known` is false if no confirmed read was possible.
struct RecordReply {
    bool known = false;
    std::optional<KeyedRecord> record; // absent: no record stands
};

} // namespace citronplank
