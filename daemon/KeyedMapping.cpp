#include "daemon/KeyedMapping.h"

#include "coordination/ControlState.h"

namespace citronplank {

namespace {

// First byte of a stored answer; see encodeStoredAnswer.
constexpr char okMark = '+';
constexpr char failedMark = '-';

StoredOutcome toStored(const BeginResult& result)
{
    StoredOutcome stored;
    stored.outcome = result.outcome;
    stored.bodyOmitted = result.answerOmitted;
    stored.failed = !result.answer.empty() && result.answer.front() == failedMark;
    if (!result.answer.empty())
        stored.body = result.answer.substr(1);
    return stored;
}

std::optional<KeyedRecord> toRecord(const BeginResult& result, const BeginKeyed& begin)
{
    switch (result.status) {
    case BeginStatus::Begun:
    case BeginStatus::InProgress:
        return KeyedRecord { result.attempt, begin.fingerprint, std::nullopt };
    case BeginStatus::Finished:
        return KeyedRecord { result.attempt, begin.fingerprint, toStored(result) };
    case BeginStatus::KeyReused:
        // The stored fingerprint is not part of the result; any value other than `begin.fingerprint` reports that the
        // key was reused.
        return KeyedRecord { result.attempt, ~begin.fingerprint, std::nullopt };
    default:
        return std::nullopt;
    }
}

} // namespace

std::string encodeStoredAnswer(const StoredOutcome& stored)
{
    return std::string(1, stored.failed ? failedMark : okMark) + (stored.bodyOmitted ? "" : stored.body);
}

Command toCommand(const KeyedProposal& proposal)
{
    if (const auto* begin = std::get_if<BeginKeyed>(&proposal))
        return BeginRequest { begin->key, begin->attempt, begin->fingerprint, begin->keySeconds * 1000 };
    const auto& finish = std::get<FinishKeyed>(proposal);
    auto answer = encodeStoredAnswer(finish.result);
    bool isOmitted = finish.result.bodyOmitted || answer.size() > maxStoredAnswerBytes;
    if (isOmitted)
        answer.resize(1);
    return FinishRequest { finish.key, finish.attempt, finish.result.outcome, std::move(answer), isOmitted };
}

ProposalReply toReply(const SubmitResult& result, const KeyedProposal& proposal)
{
    ProposalReply reply;
    if (result.status == ProposeStatus::Unknown)
        return reply;
    if (result.status != ProposeStatus::Committed) {
        reply.status = ProposalStatus::NotApplied;
        return reply;
    }
    reply.status = ProposalStatus::Applied;
    const auto* begin = std::get_if<BeginKeyed>(&proposal);
    const auto* begun = std::get_if<BeginResult>(&result.result);
    if (!begin || !begun)
        return reply;
    if (begun->status == BeginStatus::Expired)
        reply.status = ProposalStatus::KeyExpired;
    else if (begun->status == BeginStatus::Full || begun->status == BeginStatus::KeyInFuture)
        reply.status = ProposalStatus::TableFull;
    else
        reply.record = toRecord(*begun, *begin);
    return reply;
}

RecordReply toRecord(const SubmitResult& result, const BeginKeyed& begin)
{
    const auto* begun = std::get_if<BeginResult>(&result.result);
    if (result.status != ProposeStatus::Committed || !begun)
        return {};
    auto record = toRecord(*begun, begin);
    return { record.has_value(), record };
}

Error keyedRefusal(const Error& error, bool isFirstSend)
{
    switch (error.kind()) {
    case ErrorKind::Overloaded:
    case ErrorKind::ShareExceeded:
    case ErrorKind::DeadlineUnreachable:
    case ErrorKind::NotReady:
    case ErrorKind::Stopping:
    case ErrorKind::NoMajority:
    case ErrorKind::UnknownService:
        if (!isFirstSend)
            return { ErrorKind::OutcomeUnknown,
                std::string("this attempt did not run, but an earlier one may have run: ") + error.what() };
        return error;
    default:
        return error;
    }
}

} // namespace citronplank
