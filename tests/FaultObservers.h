// What watches a cluster while bench_FaultSchedule injects faults: the report, the readers of every daemon's status,
// and an operator who saves edits of the rules file.
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

/// Verdicts, and the log of the run.
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
    std::string at(std::uint64_t microseconds) const
    {
        return std::to_string(double(microseconds) / 1e6 - double(m_start) / 1e6) + " s";
    }

private:
    std::uint64_t m_start = monotonicNow();
    std::mutex m_mutex;
    int m_failures = 0;
};

/// What the threads that watch one instance share with the schedule.
struct InstanceWatch {
    std::atomic<int> run { 0 };                 // counts starts
    std::atomic<std::uint64_t> stoppedAt { 0 }; // of the last planned stop
    std::atomic<bool> isPlannedStop { false };  // the present end of the process is planned
    std::atomic<bool> isBeingKilled { false };
};

/// Polls status pages and sends a query after the other to each instance.
class Watchers {
public:
    Watchers(const Cluster& cluster, std::map<std::string, InstanceWatch>& watches)
        : m_cluster(cluster)
        , m_watches(watches)
    {
        for (const auto& it : cluster.instances()) {
            m_threads.emplace_back([this, &it] { watchRules(it); });
            m_threads.emplace_back([this, &it] { probe(it); });
        }
    }
    ~Watchers() { end(); }
    void end()
    {
        m_ended = true;
        for (auto& it : m_threads)
            it.join();
        m_threads.clear();
    }
    std::vector<std::string> reverts() const { return m_reverts; }
    std::vector<std::string> cutRequests() const { return m_cutRequests; }
    std::uint64_t probes() const { return m_probes; }

private:
    void watchRules(const InstanceAddresses& instance)
    {
        auto& watch = m_watches.at(instance.name);
        std::uint64_t version = 0;
        for (int lastRun = -1; !m_ended; std::this_thread::sleep_for(std::chrono::milliseconds(100))) {
            const int run = watch.run;
            const auto now = fetchRulesVersion(instance.admin);
            if (!now || run != watch.run)
                continue;
            if (run == lastRun && now < version) {
                const std::lock_guard lock(m_mutex);
                m_reverts.push_back(
                    instance.name + " went from version " + std::to_string(version) + " to " + std::to_string(now));
            }
            lastRun = run;
            version = now;
        }
    }

    void probe(const InstanceAddresses& instance)
    {
        auto& watch = m_watches.at(instance.name);
        for (; !m_ended; std::this_thread::sleep_for(std::chrono::milliseconds(50))) {
            const auto sentAt = monotonicNow();
            const int run = watch.run;
            if (watch.isPlannedStop || watch.isBeingKilled)
                continue;
            const auto answer = sendQuery(instance.caller, "loandesk", 1000);
            ++m_probes;
            const bool isCut
                = answer.status == 0 && run == watch.run && watch.isPlannedStop && sentAt < watch.stoppedAt;
            const std::lock_guard lock(m_mutex);
            if (isCut)
                m_cutRequests.push_back(instance.name + " cut off a request");
        }
    }

    const Cluster& m_cluster;
    std::map<std::string, InstanceWatch>& m_watches;
    std::mutex m_mutex;
    std::vector<std::string> m_reverts;
    std::vector<std::string> m_cutRequests;
    std::atomic<std::uint64_t> m_probes { 0 };
    std::atomic<bool> m_ended { false };
    std::vector<std::thread> m_threads;
};

/// Adds one rule after the other through two instances, and takes zones out and in. Serialized by a mutex, because two
/// edits of one file at the same time would replace each other.
class Editor {
public:
    struct Edit {
        std::string key;
        std::string value;
    };

    explicit Editor(const Cluster& cluster)
        : m_cluster(cluster)
        , m_thread([this] { run(); })
    {
    }
    ~Editor() { end(); }
    void end()
    {
        m_ended = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Saves one line through `instance`; returns whether it was accepted within the timeout.
    bool save(const std::string& instance, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        const auto text = readRules(m_cluster, instance);
        // The outcome of an undecided edit would be taken for that of the next one.
        if (text.empty() || !isDecided(instance))
            return false;
        saveRules(m_cluster, instance, replaceLine(text, key, key + " " + value + " # ada: fault schedule"));
        const auto outcome = waitForOutcome(m_cluster, instance, std::chrono::seconds(4));
        m_undecided[instance] = outcome.outcome.empty();
        ++m_outcomes[outcome.outcome.empty() ? "none" : outcome.outcome];
        if (outcome.outcome == "accepted")
            m_accepted[key] = value;
        else
            m_unsettled.insert(key);
        return outcome.outcome == "accepted";
    }
    /// Accepted values by key, but for keys that an edit without a known outcome may have changed since.
    std::map<std::string, std::string> accepted() const
    {
        auto result = m_accepted;
        for (const auto& key : m_unsettled) {
            if (!key.starts_with("customer"))
                result.erase(key);
        }
        return result;
    }
    nlohmann::json outcomes() const { return m_outcomes; }

private:
    bool isDecided(const std::string& instance)
    {
        bool& isUndecided = m_undecided[instance];
        isUndecided = isUndecided && waitForOutcome(m_cluster, instance, std::chrono::milliseconds(0)).outcome.empty();
        return !isUndecided;
    }

    void run()
    {
        for (int n = 0; !m_ended; ++n) {
            const auto key = "customer edit-" + std::to_string(n) + " share";
            save(n % 2 ? "aug-1" : "sav-2", key, std::to_string(2 + n % 7));
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
        }
    }

    const Cluster& m_cluster;
    std::mutex m_mutex;
    std::map<std::string, std::string> m_accepted;
    std::set<std::string> m_unsettled;
    std::map<std::string, int> m_outcomes;
    std::map<std::string, bool> m_undecided; // by instance: the last edit has no outcome yet
    std::atomic<bool> m_ended { false };
    std::thread m_thread;
};

} // namespace citronplank::testing
