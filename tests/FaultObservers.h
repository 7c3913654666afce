// Observers of a cluster while bench_FaultSchedule injects faults: the report, pollers of the status of each daemon,
// and a simulated operator that edits the rules file.
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
    void check(const std::string& name, const std::vector<std::string>& violations)
    {
        log((violations.empty() ? "ok    " : "FAILED ") + name);
        for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 10); ++i)
            log("       " + violations[i]);
        if (violations.size() > 10)
            log("       and " + std::to_string(violations.size() - 10) + " more");
        m_failures += violations.empty() ? 0 : 1;
    }
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
    std::atomic<int> restarts { 0 };            // number of starts
    std::atomic<std::uint64_t> stoppedAt { 0 }; // of the last planned stop
    std::atomic<bool> isPlannedStop { false };  // the process is being stopped with SIGTERM
    std::atomic<bool> isBeingKilled { false };
};

/// Polls the rules version of each instance and sends it queries, one at a time, on two threads per instance.
class ClusterWatchers {
public:
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
    void stop()
    {
        m_isStopping = true;
        for (auto& it : m_threads)
            it.join();
        m_threads.clear();
    }
    /// Instances whose rules version decreased without a restart. The results may be read only after stop().
    std::vector<std::string> reverts() const { return m_reverts; }
    std::vector<std::string> abortedRequests() const { return m_abortedRequests; }
    std::uint64_t probes() const { return m_probes; }

private:
    void watchRules(const InstanceAddresses& instance)
    {
        auto& watch = m_watches.at(instance.name);
        std::uint64_t version = 0;
        for (int lastRestarts = -1; !m_isStopping; std::this_thread::sleep_for(std::chrono::milliseconds(100))) {
            const int restarts = watch.restarts;
            const auto current = fetchRulesVersion(instance.admin);
            if (!current || restarts != watch.restarts)
                continue;
            if (restarts == lastRestarts && current < version) {
                const std::lock_guard lock(m_mutex);
                m_reverts.push_back(
                    instance.name + " went from version " + std::to_string(version) + " to " + std::to_string(current));
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
                m_abortedRequests.push_back(instance.name + " aborted a request");
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

/// Simulates an operator: adds rules through two instances in a loop, and saves the edits of the fault schedule. A
/// mutex serializes the edits, because concurrent edits of a file would overwrite each other.
class RulesEditor {
public:
    struct Edit {
        std::string key;
        std::string value;
    };

    explicit RulesEditor(const Cluster& cluster)
        : m_cluster(cluster)
        , m_thread([this] { run(); })
    {
    }
    ~RulesEditor() { stop(); }
    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Saves one line through `instance`; returns whether it was accepted within the timeout.
    bool save(const std::string& instance, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        const auto text = readRules(m_cluster, instance);
        // Otherwise the outcome of the pending edit could be mistaken for that of this one.
        if (text.empty() || !hasOutcome(instance))
            return false;
        saveRules(m_cluster, instance, replaceLine(text, key, key + " " + value + " # ada: fault schedule"));
        const auto outcome = waitForOutcome(m_cluster, instance, std::chrono::seconds(4));
        m_outcomePending[instance] = outcome.outcome.empty();
        ++m_outcomes[outcome.outcome.empty() ? "none" : outcome.outcome];
        if (outcome.outcome == "accepted")
            m_accepted[key] = value;
        else
            m_keysWithUnknownOutcome.insert(key);
        return outcome.outcome == "accepted";
    }
    /// Accepted values by key, without the keys that an edit that was not accepted may have changed since. A customer
    /// key is edited only once, so it is never left out. Must be called after stop().
    std::map<std::string, std::string> accepted() const
    {
        auto result = m_accepted;
        for (const auto& key : m_keysWithUnknownOutcome) {
            if (!key.starts_with("customer"))
                result.erase(key);
        }
        return result;
    }
    nlohmann::json outcomes() const { return m_outcomes; }

private:
    bool hasOutcome(const std::string& instance)
    {
        bool& isOutcomePending = m_outcomePending[instance];
        isOutcomePending
            = isOutcomePending && waitForOutcome(m_cluster, instance, std::chrono::milliseconds(0)).outcome.empty();
        return !isOutcomePending;
    }

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
    std::set<std::string> m_keysWithUnknownOutcome; // keys of all edits that were not accepted
    std::map<std::string, int> m_outcomes;
    std::map<std::string, bool> m_outcomePending; // by instance: the last edit has no outcome yet
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace citronplank::testing
