// bench_FaultSchedule: injects random faults into a cluster of processes and checks the invariants of docs/design.md.
//
//     bench_FaultSchedule --seed 1 --seconds 30
//
// The seed determines the schedule of faults; their effect also depends on timing. The time bounds are those of
// docs/design.md. Prints the seed, the faults with their times and the result of each check; exits with 0 if all checks
// pass.
#include "tests/FaultObservers.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <popt.h>
#include <random>
#include <set>
#include <thread>

using namespace citronplank::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int portBase = 24500;                     // first port of the cluster
constexpr milliseconds configurationBound { 3000 }; // until an accepted edit is in force on all daemons
constexpr milliseconds zoneOutBound { 5000 };       // until a zone taken out of service gets no new parts
constexpr milliseconds readyBound { 20'000 };       // from the end of the faults until a daemon is ready
// A leaf sheds parts for 1 s after its return to cold start; the rest is a tolerance.
constexpr std::uint64_t coldShedMicroseconds = 1'500'000;
constexpr std::uint32_t slots = 2; // of each leaf, as in `services`
const std::vector<std::string> services {
    "service=loandesk shards=8 replicas=2 zones=atl,sav,mac,aug slots=2 connections=25 connect-ms=6",
    "service=latefees shards=6 replicas=2 zones=atl,sav,mac,aug slots=2 connections=25 connect-ms=6",
};

/// A fault that is active until `endsAt`.
struct ActiveFault {
    std::string target;        // instance or leaf name, "repartition" or "zone"
    std::uint64_t endsAt = 0;  // in microseconds, as monotonicNow()
    std::function<void()> end; // ends the fault, such as by a restart of the process
};

/// Time span in which a zone was out of service by an edit of the rules. Times are in microseconds, as monotonicNow().
struct ZoneOutage {
    std::string zone;
    std::uint64_t acceptedAt = 0; // when the edit was accepted
    std::uint64_t endedAt = 0;    // just before the edit that puts the zone back in service
};

class FaultSchedule {
public:
    FaultSchedule(std::uint64_t seed, std::string onlyFault)
        : m_cluster("faults", portBase)
        , m_seed(seed)
        , m_onlyFault(std::move(onlyFault))
    {
        for (const auto& it : m_cluster.instances())
            m_watches[it.name];
    }

    int run(seconds duration);

private:
    /// Starts a fault, or another kind of fault if that one is not possible now.
    using Fault = ActiveFault (FaultSchedule::*)();

    std::uint64_t randomBelow(std::uint64_t n) { return m_random() % n; }
    /// `from` and `to` are in milliseconds; `to` is exclusive.
    milliseconds randomDuration(int from, int to)
    {
        return milliseconds(from + static_cast<int>(randomBelow(to - from)));
    }
    /// The time that far from now in microseconds, as monotonicNow().
    static std::uint64_t timeAfter(milliseconds time) { return monotonicNow() + inMicroseconds(time); }
    /// `name`: target of the fault.
    bool hasActiveFault(const std::string& name) const
    {
        return std::any_of(m_active.begin(), m_active.end(), [&](const auto& it) { return it.target == name; });
    }
    std::string pickUnaffectedInstance(bool controlOnly = false);
    std::string randomLeaf();
    void restart(const std::string& name);
    void killProcess(const std::string& name);
    ActiveFault freeze(const std::string& name);
    ActiveFault leafFault(const std::string& action, const json& more = json::object());

    ActiveFault kill();
    ActiveFault freezeInstance() { return freeze(pickUnaffectedInstance()); }
    ActiveFault freezeLeader();
    ActiveFault plannedStop();
    ActiveFault loseDisk();
    ActiveFault leafCrash() { return leafFault("crash"); }
    ActiveFault leafFallOver() { return leafFault("fall_over"); }
    ActiveFault leafCold() { return leafFault("cold"); }
    ActiveFault leafSilence() { return leafFault("silence"); }
    ActiveFault leafDrain() { return leafFault("drain", { { "exit_ms", 3000 } }); }
    ActiveFault repartition();
    ActiveFault zoneOut();

    void start();
    void inject(std::uint64_t until);
    void endExpiredFaults(bool all);
    void endFaultsAndWait();
    void checkAll();
    std::vector<std::string> findMissingEdits();
    std::vector<std::string> findOverloads(const std::vector<JournalEntry>& journal) const;
    std::vector<std::string> findZoneViolations(const std::vector<JournalEntry>& journal) const;

    Report m_report;
    Cluster m_cluster;
    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::string m_onlyFault; // name of the only fault to inject; empty: all
    std::map<std::string, InstanceWatch> m_watches;
    std::unique_ptr<ChildProcess> m_load;
    std::unique_ptr<ClusterWatchers> m_watchers;
    std::unique_ptr<RulesEditor> m_editor;
    std::vector<ActiveFault> m_active;
    std::vector<ZoneOutage> m_outages;      // those that have ended
    std::vector<std::string> m_failedStops; // planned stops with an exit code other than 0
    std::map<std::string, std::string> m_zoneOfLeaf;
    int m_indexVersion = 1; // of service loandesk
};

// ---------------------------------------------------------------------------------------------------------------
// Faults

/// Returns the name of a random instance without an active fault, with `controlOnly` of a control member; empty if
/// there is none.
std::string FaultSchedule::pickUnaffectedInstance(bool controlOnly)
{
    std::vector<std::string> names;
    for (const auto& it : m_cluster.instances()) {
        if (!hasActiveFault(it.name) && (it.isControlMember || !controlOnly))
            names.push_back(it.name);
    }
    return names.empty() ? std::string() : names[randomBelow(names.size())];
}

std::string FaultSchedule::randomLeaf()
{
    auto it = m_zoneOfLeaf.begin();
    std::advance(it, static_cast<long>(randomBelow(m_zoneOfLeaf.size())));
    return it->first;
}

void FaultSchedule::restart(const std::string& name)
{
    auto& watch = m_watches.at(name);
    ++watch.restarts;
    m_cluster.startInstance(name);
    watch.isPlannedStop = false;
    watch.isBeingKilled = false;
    m_report.log("restart " + name);
}

void FaultSchedule::killProcess(const std::string& name)
{
    m_watches.at(name).isBeingKilled = true;
    m_cluster.process(name).signal(SIGKILL);
    m_cluster.process(name).wait(seconds(5));
}

ActiveFault FaultSchedule::kill()
{
    const auto name = pickUnaffectedInstance();
    m_report.log("kill " + name);
    killProcess(name);
    return { name, timeAfter(randomDuration(200, 4000)), [this, name] { restart(name); } };
}

ActiveFault FaultSchedule::freeze(const std::string& name)
{
    m_report.log("freeze " + name);
    m_cluster.process(name).signal(SIGSTOP);
    return { name, timeAfter(randomDuration(300, 6000)), [this, name] {
                m_cluster.process(name).signal(SIGCONT);
                m_report.log("continue " + name);
            } };
}

/// Freezes another instance instead if there is no control leader or it already has an active fault.
ActiveFault FaultSchedule::freezeLeader()
{
    const auto leader = controlLeader(m_cluster);
    return freeze(leader.empty() || hasActiveFault(leader) ? pickUnaffectedInstance() : leader);
}

/// Crashes a leaf instead if the chosen instance does not become ready.
ActiveFault FaultSchedule::plannedStop()
{
    const auto name = pickUnaffectedInstance();
    // A process that has just been started may not have installed its signal handlers yet, and serves no requests.
    if (name.empty() || !m_cluster.waitReady(name, seconds(10)))
        return leafCrash();
    auto& watch = m_watches.at(name);
    m_report.log("planned stop of " + name);
    watch.stoppedAt = monotonicNow();
    watch.isPlannedStop = true;
    m_cluster.process(name).signal(SIGTERM);
    return { name, timeAfter(randomDuration(2000, 5000)), [this, name] {
                const int code = m_cluster.process(name).wait(seconds(20));
                if (code != 0)
                    m_failedStops.push_back(name + " exited with code " + std::to_string(code));
                restart(name);
            } };
}

/// Crashes a leaf instead while the repair of an earlier disk loss is not complete, because only one disk may be lost
/// at a time.
ActiveFault FaultSchedule::loseDisk()
{
    const auto leader = controlLeader(m_cluster);
    const auto status = leader.empty() ? json() : fetchStatus(m_cluster.instance(leader).admin);
    const auto name = pickUnaffectedInstance(true);
    if (status.is_null() || status["control"]["repair_complete"] != true || name.empty())
        return leafCrash();
    m_report.log("kill " + name + " and remove its data folder");
    killProcess(name);
    std::filesystem::remove_all(m_cluster.dataFolder(name));
    return { name, timeAfter(randomDuration(1500, 3000)), [this, name] { restart(name); } };
}

/// Has a random leaf perform `action`. `more`: further fields of the command. A drained leaf is booted again at the end
/// of the fault.
ActiveFault FaultSchedule::leafFault(const std::string& action, const json& more)
{
    const auto leaf = randomLeaf();
    json command { { "leaf", leaf }, { "do", action } };
    command.update(more);
    m_report.log(action + " of leaf " + leaf);
    commandLeaves(m_cluster, command);
    if (action != "drain")
        return { leaf, timeAfter(milliseconds(1500)), [] {} };
    return { leaf, timeAfter(milliseconds(4000)), [this, leaf] {
                commandLeaves(m_cluster, { { "leaf", leaf }, { "do", "boot" } });
                m_report.log("boot of drained leaf " + leaf);
            } };
}

ActiveFault FaultSchedule::repartition()
{
    const int shards = ++m_indexVersion % 2 ? 8 : 5;
    m_report.log("repartition of loandesk to " + std::to_string(shards) + " shards, index version "
        + std::to_string(m_indexVersion));
    commandLeaves(m_cluster,
        { { "service", "loandesk" },
            { "repartition",
                { { "version", m_indexVersion }, { "shards", shards }, { "keep_ms", 3000 }, { "stagger_ms", 20 } } } });
    return { "repartition", timeAfter(milliseconds(4000)), [] {} };
}

/// Crashes a leaf instead if a zone is already out of service or the edit is not accepted.
ActiveFault FaultSchedule::zoneOut()
{
    const std::vector<std::string> zones { "atl", "sav", "mac", "aug" };
    const auto& zone = zones[randomBelow(zones.size())];
    const auto editor = pickUnaffectedInstance();
    if (hasActiveFault("zone") || !m_editor->save(editor, "zone " + zone, "out"))
        return leafCrash();
    const auto acceptedAt = monotonicNow();
    m_report.log("zone " + zone + " taken out of service through " + editor);
    return { "zone", timeAfter(randomDuration(7000, 9000)), [this, zone, acceptedAt] {
                m_outages.push_back({ zone, acceptedAt, monotonicNow() });
                const bool accepted = m_editor->save("mac-2", "zone " + zone, "in");
                m_report.log("zone " + zone
                    + (accepted ? " put back in service" : " is to be put back in service, edit not accepted yet"));
            } };
}

// ---------------------------------------------------------------------------------------------------------------
// Run

void FaultSchedule::start()
{
    std::ofstream(m_cluster.rulesFile("sav-2")) << "# citronplank version 0\n"
                                                   "service loandesk deadline 2s # ada: whole lists\n"
                                                   "operation latefees charge non-idempotent # ada: charged once\n";
    m_cluster.setDrainDelay("1500ms");
    m_cluster.startAllInstances();
    startStandInLeaves(m_cluster, services);
    if (!waitForWholeAnswers(m_cluster, "loandesk", seconds(30)) || !waitForRulesVersion(m_cluster, 1, seconds(10)))
        throw std::runtime_error("after the start, not every instance returned whole answers of loandesk within 30 s "
                                 "and rules version 1 within 10 s");
    for (const auto& it : httpGet(m_cluster.leafControlAddress(), "/leaves").json())
        m_zoneOfLeaf[it["leaf"]] = it["zone"];
    m_load = startLoad(m_cluster,
        { "--service", "loandesk,latefees", "--keyed-service", "latefees", "--keyed-share", "0.3", "--resends", "4",
            "--concurrency", "8", "--deadline-ms", "1500", "--duration-s", "3600" });
    m_watchers = std::make_unique<ClusterWatchers>(m_cluster, m_watches);
    m_editor = std::make_unique<RulesEditor>(m_cluster);
    m_report.log("cluster, load and watchers started");
}

/// Starts a fault at random intervals, with at most 2 active at a time, until this time of monotonicNow().
void FaultSchedule::inject(std::uint64_t until)
{
    const std::vector<std::pair<std::string, Fault>> faults { { "kill", &FaultSchedule::kill },
        { "freeze", &FaultSchedule::freezeInstance }, { "freeze_leader", &FaultSchedule::freezeLeader },
        { "stop", &FaultSchedule::plannedStop }, { "disk", &FaultSchedule::loseDisk },
        { "leaf_crash", &FaultSchedule::leafCrash }, { "leaf_fall_over", &FaultSchedule::leafFallOver },
        { "leaf_cold", &FaultSchedule::leafCold }, { "leaf_silence", &FaultSchedule::leafSilence },
        { "leaf_drain", &FaultSchedule::leafDrain }, { "repartition", &FaultSchedule::repartition },
        { "zone_out", &FaultSchedule::zoneOut } };
    std::vector<Fault> chosen;
    for (const auto& [name, fault] : faults) {
        if (m_onlyFault.empty() || m_onlyFault == name)
            chosen.push_back(fault);
    }
    if (chosen.empty())
        throw std::runtime_error("--only: unknown fault " + m_onlyFault);
    for (std::uint64_t step = 0; monotonicNow() < until; ++step) {
        // Reseeds for each step, because the number of random values drawn in earlier steps depends on timing.
        m_random.seed(m_seed * 100'000 + step);
        endExpiredFaults(false);
        if (m_active.size() < 2)
            m_active.push_back((this->*chosen[randomBelow(chosen.size())])());
        std::this_thread::sleep_for(randomDuration(200, 1500));
    }
}

/// Ends the faults whose time has passed, or all.
void FaultSchedule::endExpiredFaults(bool all)
{
    const auto now = monotonicNow();
    auto due = std::stable_partition(
        m_active.begin(), m_active.end(), [&](const ActiveFault& it) { return !all && it.endsAt > now; });
    const std::vector<ActiveFault> ended(due, m_active.end());
    m_active.erase(due, m_active.end());
    for (const auto& it : ended)
        it.end();
}

void FaultSchedule::endFaultsAndWait()
{
    m_report.log("ending all faults");
    endExpiredFaults(true);
    m_editor->stop();
    std::vector<std::string> notReady;
    for (const auto& it : m_cluster.instances()) {
        if (!m_cluster.waitReady(it.name, readyBound))
            notReady.push_back(it.name);
    }
    m_report.check("all daemons are ready again", notReady);
}

/// Returns the accepted edits that are not in force on an instance `configurationBound` after the call, or nothing as
/// soon as all are.
std::vector<std::string> FaultSchedule::findMissingEdits()
{
    const auto accepted = m_editor->accepted();
    std::vector<std::string> missing;
    const auto collect = [&] {
        missing.clear();
        for (const auto& it : m_cluster.instances()) {
            std::map<std::string, std::string> inForce;
            const auto status = fetchStatus(it.admin);
            if (!status.is_null()) {
                for (const auto& rule : status["rules"])
                    inForce[rule["key"]] = rule["value"];
            }
            for (const auto& [key, value] : accepted) {
                if (inForce[key] != value)
                    missing.push_back(
                        std::string(it.name).append(" does not have in force: ").append(key).append(" ").append(value));
            }
        }
        return missing.empty();
    };
    eventually(configurationBound, collect);
    return missing;
}

/// Returns the parts in excess of the slots or the capacity of their leaf, whether it started or shed them.
std::vector<std::string> FaultSchedule::findOverloads(const std::vector<JournalEntry>& journal) const
{
    std::vector<std::string> violations;
    std::map<std::string, std::uint64_t> coldAt;
    for (const auto& it : journal) {
        if (it.event == "cold")
            coldAt[it.leaf] = it.microseconds;
        const bool isTooMuch = it.event == "start" && (it.inFlight > slots || it.inFlight > it.capacity);
        // After an unannounced return to cold start, a leaf sheds parts until its owner has detected the change.
        // These are no violations.
        const bool isShed = it.event == "refused" && it.result == "shed"
            && (!coldAt.contains(it.leaf) || it.microseconds > coldAt[it.leaf] + coldShedMicroseconds);
        if (isTooMuch || isShed)
            violations.push_back(m_report.formatTime(it.microseconds) + " " + it.leaf + " " + it.event + " " + it.result
                + ": in flight " + std::to_string(it.inFlight) + ", capacity " + std::to_string(it.capacity));
    }
    return violations;
}

/// Returns the parts that started in a zone later than `zoneOutBound` after it was taken out of service.
std::vector<std::string> FaultSchedule::findZoneViolations(const std::vector<JournalEntry>& journal) const
{
    std::vector<std::string> violations;
    for (const auto& outage : m_outages) {
        for (const auto& it : journal) {
            const auto zone = m_zoneOfLeaf.find(it.leaf);
            if (it.event == "start" && zone != m_zoneOfLeaf.end() && zone->second == outage.zone
                && it.microseconds > outage.acceptedAt + inMicroseconds(zoneOutBound)
                && it.microseconds < outage.endedAt)
                violations.push_back(m_report.formatTime(it.microseconds)
                    + " a part started in a zone out of service, on leaf " + it.leaf);
        }
    }
    return violations;
}

void FaultSchedule::checkAll()
{
    m_report.check(
        "every accepted edit is in force on all daemons within 3 s after the faults ended and the daemons became ready",
        findMissingEdits());
    const bool isWhole = waitForWholeAnswers(m_cluster, "latefees", seconds(15));
    m_report.check("every instance returns whole answers again",
        isWhole ? std::vector<std::string> {}
                : std::vector<std::string> { "not every instance returned whole answers of latefees within 15 s" });
    m_load->signal(SIGTERM);
    m_load->wait(seconds(15));
    m_watchers->stop();
    std::this_thread::sleep_for(milliseconds(600)); // the leaves flush the journal every 200 ms
    const auto result = readLoadResult(m_cluster);
    std::vector<std::string> wrong;
    if (!result.is_object() || result["answered"] == 0)
        wrong.emplace_back("the load generator has no result or no answered request");
    else {
        for (const auto& it : result["wrong_examples"])
            wrong.push_back(it);
        m_report.log("load: " + result["requests"].dump() + " requests, " + result["whole"].dump() + " whole, "
            + result["partial"].dump() + " partial, refused " + result["refusals"].dump() + ", no response "
            + result["transport_errors"].dump());
    }
    m_report.log("edits of the rules by outcome: " + m_editor->outcomes().dump());
    m_report.check("no wrong answer", wrong);
    std::vector<std::string> history;
    if (checkKeyedHistory(m_cluster) != 0)
        history.push_back(readText(m_cluster.folder() / "check.log"));
    m_report.check("each keyed request ran at most once, and never if it was reported as not run", history);
    const auto journal = readJournal(m_cluster);
    m_report.check(
        "no leaf received more parts than its slots, or than its capacity while cold", findOverloads(journal));
    m_report.check("the rules version of an instance never decreased", m_watchers->reverts());
    m_report.check("no part started in a zone later than 5 s after it was taken out", findZoneViolations(journal));
    auto stops = m_failedStops;
    for (const auto& it : m_watchers->abortedRequests())
        stops.push_back(it);
    m_report.check(
        "planned stops aborted no request (" + std::to_string(m_watchers->probes()) + " queries sent)", stops);
}

/// Returns the exit code. `duration` is that of the fault injection.
int FaultSchedule::run(seconds duration)
{
    start();
    inject(timeAfter(duration));
    endFaultsAndWait();
    checkAll();
    return m_report.failures() ? 1 : 0;
}

} // namespace

int main(int argc, const char** argv)
{
    int seed = 1;
    int duration = 30;
    const char* only = nullptr;
    const std::array<poptOption, 5> options { {
        { "seed", 0, POPT_ARG_INT, &seed, 0, "random seed of the schedule (default 1)", "N" },
        { "seconds", 0, POPT_ARG_INT, &duration, 0, "duration of fault injection in seconds (default 30)", "S" },
        { "only", 0, POPT_ARG_STRING, static_cast<void*>(&only), 0, "inject only faults of this name", "NAME" },
        POPT_AUTOHELP POPT_TABLEEND,
    } };
    auto* context = poptGetContext("bench_FaultSchedule", argc, argv, options.data(), 0);
    const int option = poptGetNextOpt(context);
    if (option < -1) {
        std::fprintf(stderr, "bench_FaultSchedule: %s: %s\n", poptBadOption(context, 0), poptStrerror(option));
        return 2;
    }
    std::printf("seed %d, %d s%s%s\n", seed, duration, only ? ", only " : "", only ? only : "");
    try {
        return FaultSchedule(static_cast<std::uint64_t>(seed), only ? only : "").run(seconds(duration));
    } catch (const std::exception& error) {
        std::fprintf(stderr, "bench_FaultSchedule: %s\n", error.what());
        return 2;
    }
}
