// Maps the records of keyed execution (query/KeyedRecords.h) to the commands and results of the control log.
#pragma once

#include "daemon/ControlClient.h"
#include "query/KeyedRecords.h"

namespace citronplank {

/// All functions are thread safe.
Command toCommand(const KeyedProposal&);
/// `proposal` is the one that `result` answers.
ProposalReply toReply(const SubmitResult& result, const KeyedProposal& proposal);
/// The answer to a read. A record is read by proposing the same BeginRequest again: it is linearizable, and it changes
/// nothing unless no record stands, in which case this attempt holds it from then on.
RecordReply toRecord(const SubmitResult& result, const BeginKeyed&);

/// What a keyed request is answered for `error`. A refusal before its record is known says nothing about earlier sends
/// of the same key; only a caller that states its first send can be told that the request did not run.
Error keyedRefusal(const Error& error, bool isFirstSend);

/// The stored form of an outcome: one byte for "failed" and the body.
std::string encodeStoredAnswer(const StoredOutcome&);

} // namespace citronplank
