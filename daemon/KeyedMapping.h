// Maps the records of keyed execution (query/KeyedRecords.h) to the commands and results of the control log.
#pragma once

#include "daemon/ControlClient.h"
#include "query/KeyedRecords.h"

namespace citronplank {

/// All functions are thread safe.
Command toCommand(const KeyedProposal&);
/// `result` is the result of submitting `proposal`.
ProposalReply toReply(const SubmitResult& result, const KeyedProposal& proposal);
/// Result of reading a record. A record is read by proposing the same BeginRequest again. That is linearizable and
/// changes nothing if the record exists; otherwise it creates the record for this attempt.
RecordReply toRecord(const SubmitResult& result, const BeginKeyed&);

/// Error with which a keyed request is answered if it is refused with `error` before its record is known. The refusal
/// says nothing about earlier attempts with the same key, so only a caller that states that this is the first attempt
/// is answered that the request did not run.
Error keyedRefusal(const Error& error, bool isFirstSend);

/// Stored form of an outcome: '-' if it failed, else '+', then the body unless it is omitted.
std::string encodeStoredAnswer(const StoredOutcome&);

} // namespace citronplank
