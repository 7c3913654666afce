// Admission of queries and keyed requests at an entry instance.
#pragma once

#include "policy/FairShares.h"

#include <unordered_map>

namespace citronplank {

enum class Readiness : std::uint8_t { NotReady, Ready, Stopping };

struct AdmissionSettings {
    FairSharesSettings shares;
    bool estimateWait = true; // false: refuses by fixed limits only (baseline for comparison)
    // Fractions of the deadline: an estimated wait above the first refuses some requests, above the second all of them.
    // The rest of the deadline is needed for execution and for the slowest of many parts.
    double firstRefusalShare = 0.15;
    double fullRefusalShare = 0.5;
    milliseconds waitHalfLife { 200 }; // the estimate decays; while all requests are refused, no sample could lower it
};

struct AdmissionRequest {
    std::string service;
    std::string customer;
    milliseconds deadline { 0 };
};

/// Decides whether a request is admitted. No part of a refused request has run.
/// Not thread safe.
class Admission {
public:
    explicit Admission(AdmissionSettings settings = {})
        : m_settings(settings)
        , m_shares(settings.shares)
    {
    }

    void setReadiness(Readiness it) { m_readiness = it; }
    Readiness readiness() const { return m_readiness; }
    /// Returns nullopt if the request is admitted, else the reason for the refusal. Each admitted request needs one
    /// call of `release`.
    std::optional<Error> admit(const AdmissionRequest&, const Rules&, TimePoint now);
    void release(const AdmissionRequest&, TimePoint now);
    /// Records how long a part of the service waited outside its leaf: total time minus `PartResult::leafTime`.
    void onPartWait(const std::string& service, Duration wait, TimePoint now);
    /// Smoothed wait of recent parts; it decays while there are no new ones, and is zero if there was none.
    Duration estimatedWait(const std::string& service, TimePoint now) const;
    /// Admitted requests of the service that have not been released.
    std::uint32_t inFlight(const std::string& service) const;
    const FairShares& shares() const { return m_shares; }

private:
    bool shouldRefuseByWait(const AdmissionRequest&, TimePoint now);

    struct Service {
        std::uint32_t inFlight = 0;
        double waitSeconds = 0;
        TimePoint sampledAt;
        double refusalAccumulator = 0; // sum of refusal probabilities; at 1 the next request is refused
    };

    AdmissionSettings m_settings;
    FairShares m_shares;
    std::unordered_map<std::string, Service> m_services;
    Readiness m_readiness = Readiness::NotReady;
};

} // namespace citronplank
