// Functions that citronplank.h declares for all modules. The tables of names are in the order of the enumerators.
#include "citronplank.h"

#include <array>
#include <ctime>
#include <xxhash.h>

namespace citronplank {

Clock::time_point Clock::now() noexcept
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

namespace {

// In the order of ErrorKind.
constexpr std::array<ErrorAnswer, 22> answers { {
    { ErrorKind::BadRequest, "bad_request", 400, RetryAdvice::Never, Outcome::NotRun },
    { ErrorKind::Unauthorized, "unauthorized", 401, RetryAdvice::Never, Outcome::NotRun },
    { ErrorKind::KeyRevoked, "key_revoked", 401, RetryAdvice::Never, Outcome::MayHaveRun },
    { ErrorKind::RequestTooLarge, "request_too_large", 413, RetryAdvice::Never, Outcome::NotRun },
    { ErrorKind::RequestTimeout, "request_timeout", 408, RetryAdvice::Now, Outcome::NotRun },
    { ErrorKind::UnknownService, "unknown_service", 404, RetryAdvice::Later, Outcome::NotRun },
    { ErrorKind::KeyMissing, "key_missing", 400, RetryAdvice::Never, Outcome::NotRun },
    { ErrorKind::KeyReused, "key_reused", 409, RetryAdvice::Never, Outcome::NotRun },
    { ErrorKind::KeyExpired, "key_expired", 410, RetryAdvice::Never, Outcome::MayHaveRun },
    { ErrorKind::RequestBlocked, "request_blocked", 422, RetryAdvice::Later, Outcome::MayHaveRun },
    { ErrorKind::CrashSuspect, "crash_suspect", 503, RetryAdvice::Later, Outcome::NotRun },
    { ErrorKind::ShareExceeded, "share_exceeded", 429, RetryAdvice::Later, Outcome::NotRun },
    { ErrorKind::Overloaded, "overloaded", 503, RetryAdvice::Later, Outcome::NotRun },
    { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 504, RetryAdvice::MoreTime, Outcome::NotRun },
    { ErrorKind::Stopping, "stopping", 503, RetryAdvice::Elsewhere, Outcome::NotRun },
    { ErrorKind::NotReady, "not_ready", 503, RetryAdvice::Elsewhere, Outcome::NotRun },
    { ErrorKind::NoMajority, "no_majority", 503, RetryAdvice::Later, Outcome::NotRun },
    { ErrorKind::NoReplica, "no_replica", 503, RetryAdvice::Later, Outcome::NotRun },
    { ErrorKind::CoverageTooLow, "coverage_too_low", 504, RetryAdvice::Now, Outcome::Ran },
    { ErrorKind::BackendFailed, "back_end_failed", 502, RetryAdvice::Never, Outcome::Ran },
    { ErrorKind::OutcomeUnknown, "outcome_unknown", 504, RetryAdvice::SameKeyOnly, Outcome::MayHaveRun },
    { ErrorKind::Internal, "internal", 500, RetryAdvice::SameKeyOnly, Outcome::MayHaveRun },
} };

} // namespace

std::span<const ErrorAnswer> errorAnswers() { return answers; }

const ErrorAnswer& errorAnswer(ErrorKind kind) { return answers.at(static_cast<std::size_t>(kind)); }

std::string_view outcomeName(Outcome outcome)
{
    constexpr std::array<std::string_view, 3> names { "not_run", "ran", "may_have_run" };
    return names.at(static_cast<std::size_t>(outcome));
}

std::string_view retryAdviceName(RetryAdvice advice)
{
    constexpr std::array<std::string_view, 6> names { "never", "later", "elsewhere", "more_time", "same_key_only",
        "now" };
    return names.at(static_cast<std::size_t>(advice));
}

std::string_view missingReasonName(MissingReason reason)
{
    constexpr std::array<std::string_view, 8> names { "no_replica", "deadline", "refused", "crashed", "wrong_version",
        "blocked", "unreachable", "zone_out" };
    return names.at(static_cast<std::size_t>(reason));
}

std::vector<RuleLine> applyRuleChanges(std::span<const RuleLine> lines, std::span<const RuleChange> changes)
{
    std::map<std::string, RuleLine> merged;
    for (const auto& it : lines)
        merged.emplace(it.key, it);
    for (const auto& change : changes) {
        if (change.line)
            merged.insert_or_assign(change.key, *change.line);
        else
            merged.erase(change.key);
    }
    std::vector<RuleLine> result;
    result.reserve(merged.size());
    for (auto& [key, line] : merged)
        result.push_back(std::move(line));
    return result;
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed) { return XXH64(text.data(), text.size(), seed); }

} // namespace citronplank
