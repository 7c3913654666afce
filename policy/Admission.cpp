#include "policy/Admission.h"

#include <algorithm>
#include <cmath>

namespace citronplank {

namespace {

constexpr double waitWeight = 0.1; // of one part; a query over 20 shards moves the estimate by most of the way

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
        return Error(ErrorKind::Overloaded, "the limit of service " + request.service + " is reached");
    if (m_settings.estimateWait && estimatedWait(request.service, now) >= request.deadline)
        return Error(
            ErrorKind::DeadlineUnreachable, "requests to " + request.service + " wait longer than the deadline");
    switch (m_shares.admit(request.customer, rules, now)) {
    case ShareVerdict::OverShare:
        return Error(ErrorKind::ShareExceeded, "customer " + request.customer + " uses more than its share");
    case ShareVerdict::Full:
        return Error(ErrorKind::Overloaded, "this instance is at its capacity");
    case ShareVerdict::Admitted:
        break;
    }
    ++m_services[request.service].inFlight;
    return std::nullopt;
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
    it.waitSeconds = old + waitWeight * (std::max(0.0, secondsOf(wait)) - old);
    it.waitedAt = now;
}

Duration Admission::estimatedWait(const std::string& service, TimePoint now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return Duration::zero();
    const double age = std::max(0.0, secondsOf(now - it->second.waitedAt));
    const double wait = it->second.waitSeconds * std::exp2(-age / secondsOf(m_settings.waitHalfLife));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

std::uint32_t Admission::inFlight(const std::string& service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? 0 : it->second.inFlight;
}

} // namespace citronplank
