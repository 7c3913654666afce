// Admission of queries and keyed requests at an entry.
#pragma once

#include "policy/FairShares.h"

#include <unordered_map>

namespace citronplank {

enum class Readiness : std::uint8_t { NotReady, Ready, Stopping };

struct AdmissionSettings {
    FairSharesSettings shares;
    bool estimateWait = true; // false: baseline, refuses by fixed limits only
    // Shares of the deadline at which the estimated wait begins to refuse requests and refuses all of them. The rest of
    // the deadline is for the work itself and the slowest of many parts.
    double firstRefusalShare = 0.15;
    double fullRefusalShare = 0.5;
    milliseconds waitHalfLife { 200 }; // the estimate fades, or refusing everything would keep it high for good
};

struct AdmissionRequest {
    std::string service;
    std::string customer;
    milliseconds deadline { 0 };
};

/// Decides whether a request is taken. A refusal is certain: nothing of the request has run.
/// Not thread safe; callers serialize calls.
class Admission {
public:
    explicit Admission(AdmissionSettings settings = {})
        : m_settings(settings)
        , m_shares(settings.shares)
    {
    }

    void setReadiness(Readiness it) { m_readiness = it; }
    Readiness readiness() const { return m_readiness; }
    /// Admits the request (nothing) or refuses it. Each admitted one is followed by one `release`.
    std::optional<Error> admit(const AdmissionRequest&, const Rules&, TimePoint now);
    void release(const AdmissionRequest&, TimePoint now);
    /// A part of the service waited this long outside its leaf: total time less `PartResult::leafTime`.
    void onPartWait(const std::string& service, Duration wait, TimePoint now);
    Duration estimatedWait(const std::string& service, TimePoint now) const;
    std::uint32_t inFlight(const std::string& service) const;
    const FairShares& shares() const { return m_shares; }

private:
    bool shouldRefuseByWait(const AdmissionRequest&, TimePoint now);

    struct Service {
        std::uint32_t inFlight = 0;
        double waitSeconds = 0;
        TimePoint waitedAt;
        double refusalAccumulator = 0; // fraction of a refusal not made yet
    };

    AdmissionSettings m_settings;
    FairShares m_shares;
    std::unordered_map<std::string, Service> m_services;
    Readiness m_readiness = Readiness::NotReady;
};

} // namespace citronplank
