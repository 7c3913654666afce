// The policies a running query consults, and what one daemon has learned for them.
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

/// What QueryExecution needs from the policies. Tests use a scripted one.
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
        p.takeHedge(name)
        } -> std::same_as<bool>;
    {
        p.takeRetry(name)
        } -> std::same_as<bool>;
    {
        p.suspicionOf(fingerprint, now)
        } -> std::same_as<Suspicion>;
    p.onCrash(crash, now);
};

/// Settings of all policies; `adaptive` and `baseline` are measured side by side.
struct PolicySettings {
    ReplicaChooserSettings replicas;
    HedgeSettings hedge;
    bool retry = true;

    static PolicySettings adaptive() { return {}; }
    static PolicySettings baseline();
};

/// Replica choice, hedging, retries and suspicion of one daemon. This is the table `ReplicaStatistics` of the design.
/// Not thread safe: callers hold one lock over every call, and over calls to a QueryExecution that refers to it.
class ReplicaStatistics {
public:
    using RandomSource = std::function<std::uint64_t()>;

    /// `random` gives uniformly distributed numbers; it is called under the caller's lock.
    ReplicaStatistics(PolicySettings settings, RandomSource random)
        : m_settings(settings)
        , m_random(std::move(random))
        , m_chooser(settings.replicas)
    {
    }

    /// Takes the budgets from the rules. Call it after each change of the rules.
    void setRules(const Rules&);
    /// Index of the replica to use. Precondition: `replicas` is not empty.
    std::size_t chooseReplica(const ReplicaList& replicas, TimePoint now)
    {
        return m_chooser.choose(replicas, m_random(), now);
    }
    /// An ordinary part, a hedge or a retry was sent. Each is followed by exactly one of the next four.
    void onPartSent(const std::string& service, const std::string& leaf, TimePoint now);
    void onHedgeSent(const std::string& leaf, TimePoint now) { m_chooser.onSent(leaf, now); }
    void onRetrySent(const std::string& leaf, TimePoint now) { m_chooser.onSent(leaf, now); }
    void onPartAnswered(const std::string& service, const std::string& leaf, Duration latency, TimePoint now);
    void onPartFailed(const std::string& leaf, TimePoint now) { m_chooser.onFailed(leaf, now); }
    void onPartRefused(const std::string& leaf, TimePoint now) { m_chooser.onRefused(leaf, now); }
    void onPartAbandoned(const std::string& service, const std::string& leaf, Duration elapsed, TimePoint now);
    std::optional<Duration> hedgeDelay(const std::string& service) { return budgetsOf(service).hedge.delay(); }
    bool takeHedge(const std::string& service) { return budgetsOf(service).hedge.take(); }
    bool takeRetry(const std::string& service) { return m_settings.retry && budgetsOf(service).retry.take(); }
    Suspicion suspicionOf(std::uint64_t fingerprint, TimePoint now) const
    {
        return m_suspicions.stateOf(fingerprint, now);
    }
    void onCrash(const CrashReport& crash, TimePoint now) { m_suspicions.onCrash(crash, now); }

    /// For what other instances or the gates of this daemon report.
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
