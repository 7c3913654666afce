// Policies of query execution: choice of replicas, hedging, retries and handling of requests that crash leaves.
#pragma once

#include "policy/HedgePolicy.h"
#include "policy/ReplicaChooser.h"
#include "policy/RetryBudget.h"
#include "policy/SuspicionList.h"

#include <concepts>
#include <functional>
#include <unordered_map>

namespace citronplank {

using ReplicaList = std::vector<const Announcement*>;

/// Policies as required by QueryExecution. Tests may provide their own.
template <class P>
concept QueryPolicies = requires(P p, const std::string& name, const ReplicaList& replicas, Duration latency,
    TimePoint now, std::uint64_t fingerprint, const CrashReport& crash)
{
    {
        p.chooseReplica(replicas, now)
        } -> std::convertible_to<std::size_t>;
    p.onPartSent(name, name, now);
    p.onHedgeSent(name, now);
    p.onRetrySent(name, now);
    p.onPartAnswered(name, name, latency, now);
    p.onPartFailed(name, now);
    p.onPartRefused(name, now);
    p.onPartAbandoned(name, name, latency, now);
    {
        p.hedgeDelay(name)
        } -> std::same_as<std::optional<Duration>>;
    {
        p.tryTakeHedge(name)
        } -> std::same_as<bool>;
    {
        p.tryTakeRetry(name)
        } -> std::same_as<bool>;
    {
        p.suspicionOf(fingerprint, now)
        } -> std::same_as<Suspicion>;
    p.onCrash(crash, now);
};

/// Settings of all policies. Benchmarks compare `adaptive` with `baseline`.
struct PolicySettings {
    ReplicaChooserSettings replicas;
    HedgeSettings hedge;
    bool retry = true;

    static PolicySettings adaptive() { return {}; }
    static PolicySettings baseline();
};

/// Policies of one daemon and the statistics of replicas that they are based on.
/// Not thread safe. Hold one lock during each call, also during calls of a QueryExecution that uses this object.
class ReplicaStatistics {
public:
    using RandomSource = std::function<std::uint64_t()>;

    /// `random` returns uniformly distributed numbers and is called under the caller's lock.
    ReplicaStatistics(PolicySettings settings, RandomSource random)
        : m_settings(settings)
        , m_random(std::move(random))
        , m_chooser(settings.replicas)
    {
    }

    /// Updates the budgets. Call it after each change of the rules.
    void setRules(const Rules&);
    /// Returns the index of the replica to use. Precondition: `replicas` is not empty.
    std::size_t chooseReplica(const ReplicaList& replicas, TimePoint now)
    {
        return m_chooser.choose(replicas, m_random(), now);
    }
    /// A first part, a hedge or a retry was sent. Each of these calls must be followed by exactly one call of
    /// onPartAnswered, onPartFailed, onPartRefused or onPartAbandoned.
    void onPartSent(const std::string& service, const std::string& leaf, TimePoint now);
    void onHedgeSent(const std::string& leaf, TimePoint now) { m_chooser.onSent(leaf, now); }
    void onRetrySent(const std::string& leaf, TimePoint now) { m_chooser.onSent(leaf, now); }
    void onPartAnswered(const std::string& service, const std::string& leaf, Duration latency, TimePoint now);
    void onPartFailed(const std::string& leaf, TimePoint now) { m_chooser.onFailed(leaf, now); }
    void onPartRefused(const std::string& leaf, TimePoint now) { m_chooser.onRefused(leaf, now); }
    /// The part ended without information about the leaf. `elapsed` is a lower bound of its latency, or zero.
    void onPartAbandoned(const std::string& service, const std::string& leaf, Duration elapsed, TimePoint now);
    /// Time after which a part may be hedged; nullopt if hedging is off or there are too few samples.
    std::optional<Duration> hedgeDelay(const std::string& service) { return budgetsOf(service).hedge.delay(); }
    /// Takes one extra part from the budget of the service. If the result is false, the part must not be sent.
    bool tryTakeHedge(const std::string& service) { return budgetsOf(service).hedge.tryTake(); }
    bool tryTakeRetry(const std::string& service) { return m_settings.retry && budgetsOf(service).retry.tryTake(); }
    /// Whether requests with this content are suspected of crashing leaves.
    Suspicion suspicionOf(std::uint64_t fingerprint, TimePoint now) const
    {
        return m_suspicions.stateOf(fingerprint, now);
    }
    void onCrash(const CrashReport& crash, TimePoint now) { m_suspicions.onCrash(crash, now); }

    /// Also updated with suspicions reported by other instances and by the gates of this daemon.
    SuspicionList& suspicions() { return m_suspicions; }
    ReplicaChooser& chooser() { return m_chooser; }

private:
    struct Budgets {
        HedgePolicy hedge;
        RetryBudget retry;
    };

    Budgets& budgetsOf(const std::string& service);

    PolicySettings m_settings;
    RandomSource m_random;
    ReplicaChooser m_chooser;
    SuspicionList m_suspicions;
    std::unordered_map<std::string, Budgets> m_budgets;
    std::map<std::string, ServiceRules, std::less<>> m_rules;
};

static_assert(QueryPolicies<ReplicaStatistics>);

} // namespace citronplank
