#include "standins/load/Generator.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace standins {

namespace {

// Maximum number of outstanding requests. Prevents an open loop against an unresponsive system from exhausting the
// sockets of this process.
constexpr std::uint64_t maxOutstanding = 10'000;
// Delay before a resend, and before the next request of a closed loop after one without an answer.
constexpr std::chrono::milliseconds resendDelay { 50 };

std::int64_t microseconds(std::chrono::steady_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

std::string toHex(std::uint64_t number)
{
    char buf[17] = {};
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(number));
    return buf;
}

/// Whether the outcome of a keyed request is known for good: false if a resend with the same key may get a different
/// one.
bool hasFinalOutcome(const Verdict& verdict)
{
    const bool mayLearnOutcome = verdict.outcome == "may_have_run" && verdict.detail != "key_expired";
    const bool isTemporaryRefusal = verdict.kind == Verdict::Kind::Refused && verdict.outcome == "not_run"
        && (verdict.detail == "no_majority" || verdict.detail == "overloaded" || verdict.detail == "no_replica"
            || verdict.detail == "stopping" || verdict.detail == "not_ready");
    return !mayLearnOutcome && !isTemporaryRefusal && verdict.kind != Verdict::Kind::NoResponse;
}

} // namespace

Generator::Generator(asio::io_context& io, LoadSettings settings, Sender& sender)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_sender(sender)
    , m_start(Clock::now())
    , m_statistics(m_start, m_start + m_settings.warmUp)
    , m_random(m_settings.seed)
    , m_timer(io)
    , m_nextDue(m_start)
{
    if (m_settings.history.empty())
        return;
    m_history.reset(std::fopen(m_settings.history.c_str(), "a"));
    if (!m_history)
        throw std::runtime_error("cannot open the history file for writing: " + m_settings.history);
}

void Generator::run()
{
    if (m_settings.rate > 0)
        scheduleNext();
    else
        for (int i = 0; i < m_settings.concurrency; ++i)
            issue(Clock::now());
    while (!hasEnded() || m_outstanding > 0)
        m_io.run_one();
}

void Generator::stop()
{
    m_settings.duration
        = std::min(m_settings.duration, std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start));
}

void Generator::scheduleNext()
{
    // Exponentially distributed gaps give a Poisson process: requests arrive independently of each other.
    const auto gap = std::exponential_distribution<double>(m_settings.rate)(m_random);
    m_nextDue += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap));
    m_timer.expires_at(m_nextDue);
    m_timer.async_wait([this](asio::error_code) {
        if (hasEnded())
            return;
        // Latency is measured from the scheduled time, so that a delay of the generator is included (no coordinated
        // omission).
        issue(m_nextDue);
        scheduleNext();
    });
}

void Generator::issue(Clock::time_point due)
{
    auto pending = std::make_shared<PendingRequest>();
    auto& request = pending->request;
    pending->due = due;
    request.number = ++m_issued;
    request.deadline = m_settings.deadline;
    request.customer = "customer-" + std::to_string(m_random() % static_cast<std::uint64_t>(m_settings.customers));
    request.isKeyed = drawFraction() < m_settings.keyedShare;
    request.nonce = m_settings.body + "-" + toHex(m_random());
    if (request.isKeyed) {
        request.service = chooseName(m_settings.keyedServices);
        request.operation = m_settings.keyedOperation;
        request.key = std::to_string(std::time(nullptr)) + "-" + toHex(m_random());
    } else {
        request.service = chooseName(m_settings.services);
        request.operation = drawFraction() < m_settings.echoShare ? "echo" : "list";
    }
    ++m_outstanding;
    if (m_outstanding <= maxOutstanding)
        return send(pending);
    LoadReply reply;
    reply.transportError = "not sent: too many requests outstanding";
    asio::post(m_io, [this, pending, reply] {
        // Counts as the last resend, so that the request ends here.
        pending->resends = m_settings.resends;
        onReply(pending, reply, Clock::now());
    });
}

void Generator::send(const std::shared_ptr<PendingRequest>& pending)
{
    m_sender.send(pending->request,
        [this, pending, sentAt = Clock::now()](const LoadReply& reply) { onReply(pending, reply, sentAt); });
}

void Generator::onReply(
    const std::shared_ptr<PendingRequest>& pending, const LoadReply& reply, Clock::time_point sentAt)
{
    const auto verdict = m_check.check(pending->request, reply);
    if (pending->request.isKeyed)
        writeHistory(*pending, reply, verdict, sentAt);
    if (pending->request.isKeyed && !hasFinalOutcome(verdict) && pending->resends < m_settings.resends) {
        ++pending->resends;
        auto timer = std::make_shared<asio::steady_timer>(m_io, resendDelay);
        timer->async_wait([this, timer, pending](asio::error_code) { send(pending); });
        return;
    }
    m_statistics.record(pending->request, verdict, pending->due, Clock::now());
    --m_outstanding;
    if (m_settings.rate > 0 || hasEnded())
        return;
    if (verdict.kind == Verdict::Kind::Whole || verdict.kind == Verdict::Kind::Partial)
        return issue(Clock::now());
    // Prevents a closed loop from spinning when the system refuses requests immediately.
    auto timer = std::make_shared<asio::steady_timer>(m_io, resendDelay);
    timer->async_wait([this, timer](asio::error_code) {
        if (!hasEnded())
            issue(Clock::now());
    });
}

void Generator::writeHistory(
    const PendingRequest& pending, const LoadReply& reply, const Verdict& verdict, Clock::time_point sentAt)
{
    if (!m_history)
        return;
    const nlohmann::json line { { "key", pending.request.key }, { "attempt", pending.resends },
        { "invoke", microseconds(sentAt) }, { "return", microseconds(Clock::now()) }, { "entry", reply.entry },
        { "status", reply.status }, { "detail", verdict.detail }, { "outcome", verdict.outcome } };
    std::fputs((line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n").c_str(), m_history.get());
}

} // namespace standins
