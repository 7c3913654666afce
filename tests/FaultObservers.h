// Helpers of bench_FaultSchedule: the report of a run, threads that poll and query each instance while faults are
// injected, and a simulated operator that edits the rules files.
#pragma once

#include "tests/ClusterOperations.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace citronplank::testing {

inline std::uint64_t inMicroseconds(std::chrono::milliseconds time)
{
    return static_cast<std::uint64_t>(time.count()) * 1000;
}

/// Prints the log of the run and the results of the checks, and counts failed checks. Only `log` is thread safe.
class Report {
public:
    void log(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        std::printf("%8.3f s  %s\n", double(monotonicNow() - m_start) / 1e6, text.c_str());
        std::fflush(stdout);
    }
    /// Prints the result of the check `name`, which passes if there are no violations, and at most 10 violations.
    void check(const std::string& name, const std::vector<std::string>& violations)
    {
        log((violations.empty() ? "ok    " : "FAILED ") + name);
        for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 10); ++i)
            log("       " + violations[i]);
        if (violations.size() > 10)
            log("       and " + std::to_string(violations.size() - 10) + " more");
        m_failures += violations.empty() ? 0 : 1;
    }
    /// Number of failed checks.
    int failures() const { return m_failures; }
    /// Formats a time of monotonicNow() as seconds since the start of the run.
    std::string formatTime(std::uint64_t microseconds) const
    {
        return std::to_string(double(microseconds) / 1e6 - double(m_start) / 1e6) + " s";
    }

private:
    std::uint64_t m_start = monotonicNow();
    std::mutex m_mutex;
    int m_failures = 0;
};

/// State of an instance that the fault schedule writes and the threads that observe the instance read.
struct InstanceWatch {
    std::atomic<int> restarts { 0 };            // by the fault schedule; the first start does not count
    std::atomic<std::uint64_t> stoppedAt { 0 }; // start of the last planned stop, in microseconds, as monotonicNow()
    std::atomic<bool> isPlannedStop { false };  // from just before SIGTERM until the restart
    std::atomic<bool> isBeingKilled { false };  // from just before SIGKILL until the restart
};

/// Detects instances whose rules version decreases and planned stops that abort requests. Two threads per instance poll
/// its rules version and send it queries, one at a time.
class ClusterWatchers {
public:
    /// Starts the threads. Precondition: `watches` has an entry for each instance, and both arguments outlive the
    /// object.
    ClusterWatchers(const Cluster& cluster, std::map<std::string, InstanceWatch>& watches)
        : m_cluster(cluster)
        , m_watches(watches)
    {
        for (const auto& it : cluster.instances()) {
            m_threads.emplace_back([this, &it] { watchRules(it); });
            m_threads.emplace_back([this, &it] { probe(it); });
        }
    }
    ~ClusterWatchers() { stop(); }
    /// Waits for the running requests and ends the threads; may be called again.
    void stop()
    {
        m_isStopping = true;
        for (auto& it : m_threads)
            it.join();
        m_threads.clear();
    }
    /// A description of each decrease of an instance's rules version without a restart. This and abortedRequests() may
    /// be called only after stop().
    std::vector<std::string> reverts() const { return m_reverts; }
    /// A description of each query that was sent before a planned stop of its instance and got no response.
    std::vector<std::string> abortedRequests() const { return m_abortedRequests; }
    /// Number of queries sent.
    std::uint64_t probes() const { return m_probes; }

private:
    void watchRules(const InstanceAddresses& instance)
    {
        auto& watch = m_watches.at(instance.name);
        std::uint64_t version = 0;
        for (int lastRestarts = -1; !m_isStopping; std::this_thread::sleep_for(std::chrono::milliseconds(100))) {
            const int restarts = watch.restarts;
            const auto current = fetchRulesVersion(instance.admin);
            // A response during a restart may be that of either process.
            if (!current || restarts != watch.restarts)
                continue;
            if (restarts == lastRestarts && current < version) {
                const std::lock_guard lock(m_mutex);
                m_reverts.push_back(instance.name + ": rules version decreased from " + std::to_string(version) + " to "
                    + std::to_string(current));
            }
            lastRestarts = restarts;
            version = current;
        }
    }

    void probe(const InstanceAddresses& instance)
    {
        auto& watch = m_watches.at(instance.name);
        for (; !m_isStopping; std::this_thread::sleep_for(std::chrono::milliseconds(50))) {
            const auto sentAt = monotonicNow();
            const int restarts = watch.restarts;
            if (watch.isPlannedStop || watch.isBeingKilled)
                continue;
            const auto answer = sendQuery(instance.caller, "loandesk", 1000);
            ++m_probes;
            const bool isAborted
                = answer.status == 0 && restarts == watch.restarts && watch.isPlannedStop && sentAt < watch.stoppedAt;
            const std::lock_guard lock(m_mutex);
            if (isAborted)
                m_abortedRequests.push_back(
                    instance.name + ": no response to a query that was sent before the planned stop");
        }
    }

    const Cluster& m_cluster;
    std::map<std::string, InstanceWatch>& m_watches;
    std::mutex m_mutex;
    std::vector<std::string> m_reverts;
    std::vector<std::string> m_abortedRequests;
    std::atomic<std::uint64_t> m_probes { 0 };
    std::atomic<bool> m_isStopping { false };
    std::vector<std::thread> m_threads;
};

/// Simulates an operator: a thread adds rules through two instances in a loop, and save() makes the edits of the fault
/// schedule. A mutex serializes the edits, because concurrent edits of a file would overwrite each other.
class RulesEditor {
public:
    struct Edit {
        std::string key;
        std::string value;
    };

    /// Starts the thread. Precondition: `cluster` outlives the object.
    explicit RulesEditor(const Cluster& cluster)
        : m_cluster(cluster)
        , m_thread([this] { run(); })
    {
    }
    ~RulesEditor() { stop(); }
    /// Waits for the running edit and ends the thread; may be called again.
    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Sets the rule `key` to `value` in the rules file of `instance`. Returns true if the edit is accepted within 4 s.
    /// Saves nothing and returns false if the file is empty or missing, or if the last edit through `instance` has no
    /// outcome yet. Thread safe.
    bool save(const std::string& instance, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        const auto text = readRules(m_cluster, instance);
        // The outcome of a pending edit could be mistaken for that of this one.
        if (text.empty() || !hasOutcome(instance))
            return false;
        saveRules(m_cluster, instance, replaceLine(text, key, key + " " + value + " # ada: fault schedule"));
        const auto outcome = waitForOutcome(m_cluster, instance, std::chrono::seconds(4));
        m_outcomePending[instance] = outcome.outcome.empty();
        ++m_outcomes[outcome.outcome.empty() ? "none" : outcome.outcome];
        if (outcome.outcome == "accepted")
            m_accepted[key] = value;
        else
            m_keysNotAccepted.insert(key);
        return outcome.outcome == "accepted";
    }
    /// The last accepted value of each key. A key is left out if one of its edits was not reported as accepted, because
    /// that edit may have taken effect nevertheless. Accepted customer keys are never left out, because each is edited
    /// only once. Precondition: stop() has returned.
    std::map<std::string, std::string> accepted() const
    {
        auto result = m_accepted;
        for (const auto& key : m_keysNotAccepted) {
            if (!key.starts_with("customer"))
                result.erase(key);
        }
        return result;
    }
    /// Number of edits by outcome; "none" counts those without an outcome within the timeout. Precondition: stop() has
    /// returned.
    nlohmann::json outcomes() const { return m_outcomes; }

private:
    /// Whether the last edit through `instance`, if any, has its final outcome.
    bool hasOutcome(const std::string& instance)
    {
        bool& isOutcomePending = m_outcomePending[instance];
        isOutcomePending
            = isOutcomePending && waitForOutcome(m_cluster, instance, std::chrono::milliseconds(0)).outcome.empty();
        return !isOutcomePending;
    }

    /// Adds one rule after the other until stop().
    void run()
    {
        for (int n = 0; !m_isStopping; ++n) {
            const auto key = "customer edit-" + std::to_string(n) + " share";
            save(n % 2 ? "aug-1" : "sav-2", key, std::to_string(2 + n % 7));
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
        }
    }

    const Cluster& m_cluster;
    std::mutex m_mutex;
    std::map<std::string, std::string> m_accepted;
    std::set<std::string> m_keysNotAccepted; // of the edits that were not reported as accepted
    std::map<std::string, int> m_outcomes;
    std::map<std::string, bool> m_outcomePending; // by instance: the last edit has no outcome yet
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace citronplank::testing
