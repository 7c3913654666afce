#include "policy/Admission.h"

#include <algorithm>
#include <cmath>

namespace citronplank {

namespace {

// Weights of a new sample. A query waits for its slowest part, so the estimate rises fast and falls slowly.
constexpr double risingWeight = 0.1;
constexpr double fallingWeight = 0.02;

double secondsOf(Duration it) { return std::chrono::duration<double>(it).count(); }

} // namespace

std::optional<Error> Admission::admit(const AdmissionRequest& request, const Rules& rules, TimePoint now)
{
    if (m_readiness == Readiness::Stopping)
        return Error(ErrorKind::Stopping, "this instance is stopping");
    if (m_readiness == Readiness::NotReady)
        return Error(ErrorKind::NotReady, "this instance has no configuration yet");
    const auto rule = rules.services.find(request.service);
    const bool isLimited = rule != rules.services.end() && rule->second.limit;
    if (isLimited && inFlight(request.service) >= *rule->second.limit)
        return Error(
            ErrorKind::Overloaded, "the limit of requests in flight to service " + request.service + " is reached");
    if (m_settings.estimateWait && shouldRefuseByWait(request, now))
        return Error(ErrorKind::DeadlineUnreachable,
            "the estimated wait of requests to service " + request.service + " is too long for the deadline");
    switch (m_shares.admit(request.customer, rules, now)) {
    case ShareDecision::OverShare:
        return Error(ErrorKind::ShareExceeded, "customer " + request.customer + " uses more than its share");
    case ShareDecision::Full:
        return Error(ErrorKind::Overloaded, "this instance is at its capacity");
    case ShareDecision::Admitted:
        break;
    }
    ++m_services[request.service].inFlight;
    return std::nullopt;
}

/// Refuses a fraction of the requests that grows with the estimated wait. A fixed threshold would oscillate between
/// idle and overloaded backend servers, because the estimate lags behind the load.
bool Admission::shouldRefuseByWait(const AdmissionRequest& request, TimePoint now)
{
    const double wait = secondsOf(estimatedWait(request.service, now));
    const double first = m_settings.firstRefusalShare * secondsOf(request.deadline);
    const double full = m_settings.fullRefusalShare * secondsOf(request.deadline);
    if (wait >= full)
        return true;
    if (wait <= first)
        return false;
    auto& accumulator = m_services[request.service].refusalAccumulator;
    accumulator += (wait - first) / (full - first);
    if (accumulator < 1)
        return false;
    accumulator -= 1;
    return true;
}

void Admission::release(const AdmissionRequest& request, TimePoint now)
{
    const auto it = m_services.find(request.service);
    if (it != m_services.end() && it->second.inFlight > 0)
        --it->second.inFlight;
    m_shares.release(request.customer, now);
}

void Admission::onPartWait(const std::string& service, Duration wait, TimePoint now)
{
    auto& it = m_services[service];
    const double old = secondsOf(estimatedWait(service, now));
    const double sample = std::max(0.0, secondsOf(wait));
    it.waitSeconds = old + (sample > old ? risingWeight : fallingWeight) * (sample - old);
    it.sampledAt = now;
}

Duration Admission::estimatedWait(const std::string& service, TimePoint now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return Duration::zero();
    const double age = std::max(0.0, secondsOf(now - it->second.sampledAt));
    const double wait = it->second.waitSeconds * std::exp2(-age / secondsOf(m_settings.waitHalfLife));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

std::uint32_t Admission::inFlight(const std::string& service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? 0 : it->second.inFlight;
}

} // namespace citronplank
