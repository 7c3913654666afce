// bench_RoutedSoak: random faults on processes of the platform's program, and checks of what callers and leaves see.
//
//   bench_RoutedSoak --seed 7 --seconds 15
//
// The choice of faults follows from the seed; their effect also depends on timing. Prints the faults with their times,
// what callers got and each violation; exits 0 if there is none. The folder of a run without violations is removed.
// Bounds hold for instances that were left alone for `contactTime`.
#include "tests/SoakSystem.h"

#include <csignal>
#include <cstdio>
#include <popt.h>

using namespace citronplank::testing;
using nlohmann::json;
using standins::HttpResult;
using std::chrono::seconds;

namespace {

constexpr milliseconds contactTime { 4000 };        // after a fault an instance has its views again
constexpr milliseconds configurationBound { 3000 }; // docs/design.md: in force everywhere
constexpr milliseconds drainBound { 3000 };         // as for configurations
constexpr milliseconds evacuationBound { 5000 };    // as for the rules file, see docs/design.md
constexpr milliseconds lateAnswer { 500 };          // after the timeout of a route
constexpr milliseconds recoveryBound { 15'000 };    // all instances may restart within it
constexpr milliseconds callerTimeout { 5000 };      // far beyond the timeout of a route
constexpr milliseconds disksApart { 12'000 };       // a lost disk is repaired before the next is lost
constexpr milliseconds stopBound { 6000 };          // the grace time in the settings
constexpr milliseconds stallLimit { 200 };          // of this process: leaves, callers and relays stand still in it
constexpr milliseconds aliveTick { 50 };
constexpr int callersPerEntry = 3;
constexpr std::size_t maxFaults = 3; // at the same time

class Soak {
public:
    Soak(std::uint64_t seed, std::string only)
        : m_seed(seed)
        , m_only(std::move(only))
        , m_system(m_io, seed, firstPort + static_cast<int>(seed % ports) * portsPerRun)
    {
    }
    int run(seconds duration);

private:
    static constexpr int firstPort = 25000;
    static constexpr int portsPerRun = 10;
    static constexpr std::uint64_t ports = 500;

    struct Request {
        std::string entry;
        std::string id;
        std::string path;
        SoakTime sentAt;
    };
    struct Caller {
        std::string entry;
        std::shared_ptr<standins::HttpClient> client;
    };
    struct Fault {
        const char* name;
        /// Begins it and returns how to end it after a while; nothing if it cannot be had now.
        std::function<std::function<void()>()> begin;
    };
    struct Outage {
        std::string zone;
        SoakTime acknowledgedAt;
        SoakTime endedAt = SoakTime::max();
    };

    // Load
    void startCallers();
    void callNext(Caller&);
    void onAnswer(const Request&, const HttpResult&);
    void checkSuccess(const Request&, const standins::HttpMessage&);
    void checkRuns(const Request&, const HttpResult&);
    void checkVersionInForce(const Request&, const SoakRun&);

    // Operator
    void changeConfiguration();
    void putConfiguration(int version);
    void readConfiguration();

    // Faults
    std::vector<Fault> faults();
    void chooseFaults();
    void inject();
    std::function<void()> stopInstance(const std::string& name);
    std::function<void()> pauseInstance(const std::string& name);
    std::function<void()> killInstance(
        const std::string& name, const std::function<void()>& whileDown = [] {});
    std::function<void()> faultLink(standins::Link&, const std::string& who, const std::function<void()>& set);
    std::function<void()> drainLeaf(SoakLeaf&);
    std::function<void()> takeZoneOut();
    void waitForStop(const std::string& name);
    std::string pickInstance(bool control);
    SoakLeaf& pickLeaf();
    std::function<void()> loseDisk(bool whole);

    // Checks
    void watch();
    void noteAlive();
    void tick();
    bool isCalm(const std::string& entry, SoakTime from, SoakTime until);
    void checkRecovery();
    void checkLeaves(const Request&, const SoakRun&);
    void violate(const std::string& text);
    void note(const std::string& text);
    double secondsOf(SoakTime it) const { return std::chrono::duration<double>(it - m_startedAt).count(); }

    asio::io_context m_io;
    std::uint64_t m_seed;
    std::string m_only; // name of a fault; empty: all
    SoakSystem m_system;
    SoakTime m_startedAt = SoakClock::now();
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::uint64_t m_lastId = 0;
    std::map<std::string, int> m_outcomes;
    std::set<std::string> m_notRun; // ids that were refused
    std::map<std::string, int> m_served;
    std::map<int, SoakTime> m_accepted; // versions
    int m_lastVersion = 0;
    std::set<std::string> m_busy; // what a fault is active on
    std::vector<Fault> m_faults;
    std::map<int, std::function<void()>> m_ends; // of faults that are active, by number
    int m_lastFault = 0;
    std::vector<Outage> m_outages;
    std::optional<SoakTime> m_diskLostAt;
    std::map<std::string, int> m_checked; // requests that a bound applied to
    std::vector<std::string> m_violations;
    SoakTime m_aliveAt = SoakClock::now();
    bool m_injecting = false;
    bool m_ended = false;
};

void Soak::note(const std::string& text)
{
    std::printf("%7.3f s  %s\n", secondsOf(SoakClock::now()), text.c_str());
    std::fflush(stdout);
}

void Soak::violate(const std::string& text)
{
    constexpr std::size_t printed = 20;
    m_violations.push_back(text);
    if (m_violations.size() <= printed)
        note("VIOLATION " + text);
}

bool Soak::isCalm(const std::string& entry, SoakTime from, SoakTime until)
{
    const auto& it = m_system.disruptions();
    return it.isCalm(entry, from, until) && it.isCalm(Disruptions::core, from, until);
}

// ---------------------------------------------------------------------------------------------------------------
// Load

void Soak::startCallers()
{
    for (const auto& entry : m_system.names(false)) {
        for (int i = 0; i < callersPerEntry; ++i) {
            m_callers.push_back(std::make_unique<Caller>(Caller { entry,
                std::make_shared<standins::HttpClient>(
                    m_io, standins::parseEndpoint(m_system.instance(entry).callerLink)) }));
            callNext(*m_callers.back());
        }
    }
}

/// A caller keeps using its connection until the instance closes it.
void Soak::callNext(Caller& caller)
{
    if (m_ended)
        return;
    // Gathered, forwarded, and forwarded without being idempotent.
    const std::array paths { "/list/x", "/list/x", "/list/x", "/one/x", "/pay/x" };
    const char* path = paths.at(m_system.below(paths.size()));
    Request request { caller.entry, std::to_string(m_seed) + "-" + std::to_string(++m_lastId), path, SoakClock::now() };
    bool isPayment = request.path == "/pay/x";
    caller.client->request(isPayment ? "POST" : "GET", request.path,
        "Request-Id: " + request.id + "\r\nDeadline-Ms: 1500\r\n", isPayment ? "amount" : "", callerTimeout,
        [this, &caller, request](const HttpResult& result) {
            onAnswer(request, result);
            constexpr milliseconds pause { 15 };
            constexpr milliseconds pauseAfterError { 120 };
            m_system.after(result.error.empty() ? pause : pauseAfterError, [this, &caller] { callNext(caller); });
        });
}

void Soak::onAnswer(const Request& request, const HttpResult& result)
{
    noteAlive();
    auto now = SoakClock::now();
    int status = result.answer.status;
    auto error = json::parse(result.answer.body, nullptr, false);
    auto reason = error.is_object() ? "_" + error.value("error", "") : std::string();
    ++m_outcomes[result.error.empty() ? std::to_string(status) + reason : result.error];
    if (status == 200) {
        ++m_served[request.entry];
        checkSuccess(request, result.answer);
    }
    if (status / 100 == 4 && status != 408 && status != 421 && status != 429)
        violate(request.id + " " + request.path + " is answered " + std::to_string(status));
    if (reason == "_crash_suspect")
        violate(request.id + " " + request.path + " is taken for one that crashes leaves by " + request.entry);
    bool isHeld = now - request.sentAt > SoakSystem::routeTimeout + lateAnswer;
    if (isHeld && isCalm(request.entry, request.sentAt - seconds(1), now))
        violate(request.id + " " + request.path + " had no answer in time by " + request.entry + ": " + result.error
            + " after " + std::to_string((now - request.sentAt) / milliseconds(1)) + " ms");
    checkRuns(request, result);
}

void Soak::checkSuccess(const Request& request, const standins::HttpMessage& answer)
{
    auto id = answer.header("request-id");
    if (id != request.id)
        return violate(request.id + " got the answer to " + id);
    const auto& runs = m_system.runs()[request.id];
    auto runBy = [&](const std::string& proof) {
        return std::find_if(runs.begin(), runs.end(),
            [&](const SoakRun& it) { return proof == SoakSystem::proofOf(it.leaf, request.id); });
    };
    if (request.path != "/list/x") {
        auto run = runBy(answer.header("server-stamp"));
        if (run == runs.end() || answer.body != SoakSystem::bodyOf(run->service, request.id))
            violate(request.id + " is no answer of a leaf: " + answer.header("server-stamp"));
        return;
    }
    std::set<std::string> services;
    std::vector<std::string> records;
    auto proofs = answer.header("part-stamps");
    for (std::size_t from = 0; from < proofs.size();) {
        auto end = std::min(proofs.find(", ", from), proofs.size());
        auto run = runBy(proofs.substr(from, end - from));
        from = end + 2;
        if (run == runs.end() || !services.insert(run->service).second)
            return violate(request.id + " names a part that is none or counts twice: " + proofs);
        auto body = SoakSystem::bodyOf(run->service, request.id);
        for (std::size_t i = 0; i < body.size(); i += SoakSystem::recordBytes)
            records.push_back(body.substr(i, SoakSystem::recordBytes));
    }
    std::sort(records.rbegin(), records.rend());
    std::string expected;
    for (std::size_t i = 0; i < std::min(records.size(), SoakSystem::topRecords); ++i)
        expected += records[i];
    auto shards = SoakSystem::shards().size();
    if (answer.body != expected || services.size() + answer.number("missing-parts") != shards
        || static_cast<double>(services.size()) < SoakSystem::minCoverage * static_cast<double>(shards))
        violate(request.id + " is merged wrongly from " + proofs + " without " + answer.header("missing-parts"));
}

/// What leaves saw of a request that has its final answer.
void Soak::checkRuns(const Request& request, const HttpResult& result)
{
    int status = result.answer.status;
    const auto& runs = m_system.runs()[request.id];
    bool isNotRun = status == 429 || status == 503 || status == 408 || status == 421;
    if (request.path == "/pay/x" && isNotRun)
        m_notRun.insert(request.id);
    for (const auto& it : runs) {
        checkLeaves(request, it);
        if (request.path == "/one/x")
            checkVersionInForce(request, it);
    }
    // A planned stop answers what it has passed on.
    const auto& instance = m_system.instance(request.entry);
    if (result.error == "closed" && !runs.empty() && instance.stopAskedAt
        && m_system.disruptions().isCalm("faults of " + request.entry, request.sentAt - contactTime, SoakClock::now()))
        violate(request.id + " " + request.path + " is cut off by the planned stop of " + request.entry);
}

/// A leaf that drains, or whose zone is out, gets nothing new.
void Soak::checkLeaves(const Request& request, const SoakRun& run)
{
    if (!isCalm(request.entry, run.at - contactTime, run.at))
        return;
    // A notice that was taken by a member in touch.
    bool isBound = run.afterDrain
        && m_system.disruptions().isCalm(Disruptions::core, run.at - *run.afterDrain - contactTime, run.at);
    m_checked["after_drain"] += isBound ? 1 : 0;
    if (isBound && *run.afterDrain > drainBound)
        violate(request.id + " reached " + run.leaf + " " + std::to_string(*run.afterDrain / milliseconds(1))
            + " ms after its notice was acknowledged, from " + request.entry);
    for (const auto& it : m_outages) {
        m_checked["zone"] += run.at > it.acknowledgedAt + evacuationBound && run.at < it.endedAt ? 1 : 0;
        if (it.zone == run.zone && run.at > it.acknowledgedAt + evacuationBound && run.at < it.endedAt)
            violate(request.id + " reached " + run.leaf + " in a zone that is out, from " + request.entry);
    }
}

void Soak::checkVersionInForce(const Request& request, const SoakRun& run)
{
    if (!isCalm(request.entry, request.sentAt - contactTime, run.at))
        return;
    int newest = 0;
    for (const auto& [version, at] : m_accepted) {
        if (at + configurationBound < request.sentAt)
            newest = version;
    }
    m_checked["version"] += newest == m_lastVersion ? 1 : 0;
    for (int version = newest; version <= m_lastVersion; ++version) {
        if (SoakSystem::serviceOf(version) == run.service)
            return;
    }
    violate(request.id + " ran at " + run.leaf + " as only versions below " + std::to_string(newest) + " allow");
}

// ---------------------------------------------------------------------------------------------------------------
// Operator

void Soak::changeConfiguration()
{
    if (m_injecting)
        putConfiguration(++m_lastVersion);
    m_system.after(milliseconds(1500 + m_system.below(6000)), [this] { changeConfiguration(); });
}

/// Sends a version until it is acknowledged or overtaken.
void Soak::putConfiguration(int version)
{
    m_system.control("PUT", "/-/config", m_system.configuration(version),
        [this, version](const HttpResult& result, const std::string& member) {
            if (result.answer.status == 200) {
                m_accepted.emplace(version, SoakClock::now());
                note("version " + std::to_string(version) + " acknowledged by " + member);
            } else if (result.answer.status / 100 == 4) {
                violate("version " + std::to_string(version) + " is refused by " + member + ": " + result.answer.body);
            } else if (version == m_lastVersion && !m_ended) {
                m_system.after(milliseconds(200), [this, version] { putConfiguration(version); });
            }
        });
}

void Soak::readConfiguration()
{
    auto sentAt = SoakClock::now();
    m_system.control("GET", "/-/config", "", [this, sentAt](const HttpResult& result, const std::string& member) {
        int newest = 0;
        for (const auto& [version, at] : m_accepted) {
            if (at + configurationBound < sentAt)
                newest = version;
        }
        if (result.answer.status == 200) {
            int version = json::parse(result.answer.body)["version"];
            if (version < newest)
                violate(member + " reads version " + std::to_string(version) + " after " + std::to_string(newest)
                    + " was acknowledged");
            if (json::parse(result.answer.body) != json::parse(m_system.configuration(version)))
                violate(member + " reads version " + std::to_string(version) + " with other content");
        }
    });
    if (!m_ended)
        m_system.after(milliseconds(300), [this] { readConfiguration(); });
}

// ---------------------------------------------------------------------------------------------------------------
// Faults

std::string Soak::pickInstance(bool control)
{
    auto names = m_system.names(control);
    auto name = names[m_system.below(names.size())];
    return m_busy.contains(name) || !m_system.instance(name).process ? std::string() : name;
}

SoakLeaf& Soak::pickLeaf() { return *m_system.leaves()[m_system.below(m_system.leaves().size())]; }

/// Every fault on an instance disrupts it; one on a control member disrupts the core as well.
std::function<void()> Soak::killInstance(const std::string& name, const std::function<void()>& whileDown)
{
    m_system.disruptions().begin("faults of " + name);
    m_system.kill(name);
    whileDown();
    return [this, name] {
        note("start " + name);
        m_system.start(name);
        m_system.disruptions().end("faults of " + name);
    };
}

std::function<void()> Soak::pauseInstance(const std::string& name)
{
    m_system.disruptions().begin("faults of " + name);
    m_system.instance(name).process->signal(SIGSTOP);
    return [this, name] {
        if (auto& process = m_system.instance(name).process)
            process->signal(SIGCONT);
        m_system.disruptions().end("faults of " + name);
    };
}

std::function<void()> Soak::stopInstance(const std::string& name)
{
    auto& it = m_system.instance(name);
    it.stopAskedAt = SoakClock::now();
    it.process->signal(SIGTERM);
    return [this, name] { waitForStop(name); };
}

void Soak::waitForStop(const std::string& name)
{
    auto& it = m_system.instance(name);
    if (it.process->isRunning()) {
        if (SoakClock::now() - *it.stopAskedAt <= stopBound) {
            m_busy.insert(name);
            m_system.disruptions().begin(name);
            m_system.after(milliseconds(100), [this, name] {
                m_busy.erase(name);
                m_system.disruptions().end(name);
                waitForStop(name);
            });
            return;
        }
        violate(name + " does not end within the grace time");
        m_system.kill(name);
    } else if (int code = it.process->wait(milliseconds(0)); code != 0) {
        violate(name + " ends its planned stop with code " + std::to_string(code));
    }
    note("start " + name);
    m_system.start(name);
}

std::function<void()> Soak::faultLink(standins::Link& link, const std::string& who, const std::function<void()>& set)
{
    m_system.disruptions().begin(who);
    m_system.disruptions().begin("faults of " + who);
    set();
    link.onFaultsChanged();
    return [this, &link, who] {
        link.faults() = {};
        link.onFaultsChanged();
        m_system.disruptions().end(who);
        m_system.disruptions().end("faults of " + who);
    };
}

/// The leaf serves on until the fault ends; see checkLeaves().
std::function<void()> Soak::drainLeaf(SoakLeaf& leaf)
{
    leaf.isDraining = true;
    auto announce = std::make_shared<std::function<void()>>();
    *announce = [this, &leaf, boot = leaf.boot, weak = std::weak_ptr(announce)] {
        m_system.announce(leaf, [this, &leaf, boot, self = weak.lock()](bool known) {
            if (leaf.boot != boot || !leaf.isUp)
                return;
            if (known && !leaf.drainAcknowledgedAt)
                leaf.drainAcknowledgedAt = SoakClock::now();
            else if (!known)
                m_system.after(milliseconds(200), [self] { (*self)(); });
        });
    };
    (*announce)();
    return [this, &leaf] {
        m_system.crashLeaf(leaf);
        m_system.startLeaf(leaf);
    };
}

std::function<void()> Soak::takeZoneOut()
{
    auto zone = "z" + std::to_string(1 + m_system.below(3));
    auto index = std::make_shared<std::optional<std::size_t>>();
    m_system.control("POST", "/-/evacuation/" + zone, "", [this, zone, index](const HttpResult& result, auto) {
        if (result.answer.status != 200)
            return;
        note("zone " + zone + " is out");
        *index = m_outages.size();
        m_outages.push_back({ zone, SoakClock::now() });
    });
    auto bringBack = std::make_shared<std::function<void()>>();
    *bringBack = [this, zone, weak = std::weak_ptr(bringBack)] {
        m_system.control("DELETE", "/-/evacuation/" + zone, "", [this, self = weak.lock()](const HttpResult& it, auto) {
            if (it.answer.status != 200 && !m_ended)
                m_system.after(milliseconds(200), [self] { (*self)(); });
        });
    };
    return [this, index, bringBack] {
        if (*index)
            m_outages[**index].endedAt = SoakClock::now();
        (*bringBack)();
    };
}

/// Whole: the folder is gone. Otherwise the last bytes of each file are, as after a torn write.
std::function<void()> Soak::loseDisk(bool whole)
{
    auto name = pickInstance(true);
    if (name.empty() || (m_diskLostAt && SoakClock::now() - *m_diskLostAt < disksApart))
        return nullptr;
    m_diskLostAt = SoakClock::now();
    return killInstance(name, [this, name, whole] {
        if (whole) {
            std::filesystem::remove_all(m_system.dataFolder(name));
            return;
        }
        for (const auto& it : std::filesystem::directory_iterator(m_system.dataFolder(name))) {
            constexpr std::uintmax_t mostTorn = 8; // bytes
            if (it.is_regular_file())
                std::filesystem::resize_file(
                    it.path(), it.file_size() - std::min<std::uintmax_t>(it.file_size(), m_system.below(mostTorn)));
        }
    });
}

std::vector<Soak::Fault> Soak::faults()
{
    auto onInstance = [this](bool control, auto fault) {
        return [this, control, fault]() -> std::function<void()> {
            auto name = pickInstance(control);
            if (name.empty())
                return nullptr;
            note("  on " + name);
            m_busy.insert(name);
            m_system.disruptions().begin(name);
            if (control)
                m_system.disruptions().begin(Disruptions::core);
            auto end = fault(name);
            return [this, name, control, end] {
                m_busy.erase(name);
                end();
                m_system.disruptions().end(name);
                if (control)
                    m_system.disruptions().end(Disruptions::core);
            };
        };
    };
    auto onLeaf = [this](auto fault) {
        return [this, fault]() -> std::function<void()> {
            auto& leaf = pickLeaf();
            if (!leaf.isUp || leaf.isDraining || !m_busy.insert(leaf.name).second)
                return nullptr;
            note("  on " + leaf.name);
            auto end = fault(leaf);
            return [this, &leaf, end] {
                m_busy.erase(leaf.name);
                end();
            };
        };
    };
    auto onLeafLink = [this, onLeaf](auto set) {
        return onLeaf([this, set](SoakLeaf& leaf) {
            return faultLink(*leaf.link, "link of " + leaf.name, [set, &leaf] { set(*leaf.link); });
        });
    };
    auto kill = [this](const std::string& name) { return killInstance(name); };
    auto pause = [this](const std::string& name) { return pauseInstance(name); };
    auto stop = [this](const std::string& name) { return stopInstance(name); };
    auto reload = [this](const std::string& name) {
        m_system.instance(name).process->signal(SIGHUP);
        return [] {};
    };
    auto resetCallers = [this](const std::string& name) {
        m_system.disruptions().begin("faults of " + name);
        m_system.instance(name).link->reset();
        return [this, name] { m_system.disruptions().end("faults of " + name); };
    };
    return {
        { "kill_entry", onInstance(false, kill) },
        { "pause_entry", onInstance(false, pause) },
        { "stop_entry", onInstance(false, stop) },
        { "reload_entry", onInstance(false, reload) },
        { "reset_callers", onInstance(false, resetCallers) },
        { "kill_control", onInstance(true, kill) },
        { "pause_control", onInstance(true, pause) },
        { "stop_control", onInstance(true, stop) },
        { "reload_control", onInstance(true, reload) },
        { "lose_disk", [this, onInstance] { return loseDisk(true); } },
        { "tear_log", [this] { return loseDisk(false); } },
        { "crash_leaf", onLeaf([this](SoakLeaf& leaf) {
             m_system.crashLeaf(leaf);
             return [this, &leaf] { m_system.startLeaf(leaf); };
         }) },
        { "silence_leaf", onLeaf([](SoakLeaf& leaf) {
             leaf.isSilent = true;
             return [&leaf] { leaf.isSilent = false; };
         }) },
        { "drain_leaf", onLeaf([this](SoakLeaf& leaf) { return drainLeaf(leaf); }) },
        { "delay_link", onLeafLink([](standins::Link& it) { it.faults().delayMs = 80; }) },
        { "cut_link", onLeafLink([](standins::Link& it) { it.faults().isCut = true; }) },
        { "silence_link", onLeafLink([](standins::Link& it) { it.faults().isSilent = true; }) },
        { "cut_link_one_way", onLeafLink([](standins::Link& it) { it.faults().holdsAnswers = true; }) },
        { "silence_open_link", onLeafLink([](standins::Link& it) { it.silenceOpen(); }) },
        { "reset_link", onLeafLink([](standins::Link& it) { it.reset(); }) },
        { "zone_out",
            [this]() -> std::function<void()> {
                if (!m_busy.insert("zone").second)
                    return nullptr;
                auto end = takeZoneOut();
                return [this, end] {
                    m_busy.erase("zone");
                    end();
                };
            } },
    };
}

/// Some kinds of fault for one run, so that runs without faults of the core check bounds that hold only then.
void Soak::chooseFaults()
{
    constexpr std::uint64_t chosenOfTen = 4;
    for (auto& it : faults()) {
        bool isBounded = std::string_view(it.name) == "drain_leaf" || std::string_view(it.name) == "zone_out";
        bool isChosen = m_only.empty() ? isBounded || m_system.below(10) < chosenOfTen : m_only == it.name;
        if (isChosen)
            m_faults.push_back(std::move(it));
    }
    if (m_faults.empty())
        throw std::invalid_argument("no fault of the name " + m_only);
}

void Soak::inject()
{
    if (!m_injecting)
        return;
    if (m_ends.size() < maxFaults) {
        const auto& fault = m_faults[m_system.below(m_faults.size())];
        note(fault.name);
        if (auto end = fault.begin()) {
            auto number = ++m_lastFault;
            m_ends[number] = std::move(end);
            bool isLong = std::string_view(fault.name) == "zone_out" || std::string_view(fault.name) == "drain_leaf";
            auto lasts = milliseconds(isLong ? 6000 + m_system.below(3000) : 200 + m_system.below(4000));
            m_system.after(lasts, [this, number] {
                if (auto node = m_ends.extract(number))
                    node.mapped()();
            });
        }
    }
    m_system.after(milliseconds(150 + m_system.below(1200)), [this] { inject(); });
}

// ---------------------------------------------------------------------------------------------------------------
// Checks

/// Time in which this process did not run counts as a disruption of everything. Seed 304 beside a build and two hunts:
/// an entry logged its answer after 795 ms, which was read here after 2321 ms.
void Soak::noteAlive()
{
    auto now = SoakClock::now();
    if (now - m_aliveAt > stallLimit) {
        note("the soak itself stood still for " + std::to_string((now - m_aliveAt) / milliseconds(1)) + " ms");
        m_system.disruptions().add(Disruptions::core, m_aliveAt, now);
        for (const auto& it : m_system.names(false))
            m_system.disruptions().add("faults of " + it, m_aliveAt, now);
    }
    m_aliveAt = now;
}

void Soak::tick()
{
    noteAlive();
    m_system.after(aliveTick, [this] { tick(); });
}

/// Instances that ended by themselves.
void Soak::watch()
{
    for (const auto& it : m_system.takeEnded())
        violate(it);
    m_system.after(milliseconds(200), [this] { watch(); });
}

void Soak::checkRecovery()
{
    std::vector<std::string> unserved;
    for (const auto& entry : m_system.names(false)) {
        if (m_served[entry] == 0)
            unserved.push_back(entry);
    }
    for (const auto& it : unserved)
        violate(it + " serves nothing after all faults have ended");
    int read = 0;
    int newest = m_accepted.empty() ? 0 : m_accepted.rbegin()->first;
    for (int i = 0; i < 6; ++i)
        m_system.control("GET", "/-/config", "", [&](const HttpResult& result, auto) {
            if (result.answer.status == 200)
                read = std::max(read, json::parse(result.answer.body)["version"].get<int>());
        });
    m_io.run_for(seconds(3));
    if (read < newest)
        violate("version " + std::to_string(newest) + " was acknowledged, read back is " + std::to_string(read));
    for (const auto& [id, runs] : m_system.runs()) {
        if (m_notRun.contains(id) && !runs.empty())
            violate(id + " was refused as not run and ran at " + runs.front().leaf);
        if (runs.size() > 1 && runs.front().service == "pay")
            violate(id + " ran " + std::to_string(runs.size()) + " times");
    }
}

int Soak::run(seconds duration)
{
    note("seed " + std::to_string(m_seed));
    for (const auto& it : m_system.names(true))
        m_system.start(it);
    for (const auto& it : m_system.names(false))
        m_system.start(it);
    for (auto& it : m_system.leaves())
        m_system.startLeaf(*it);
    putConfiguration(++m_lastVersion);
    m_io.run_for(seconds(5));
    m_aliveAt = SoakClock::now();
    tick();
    startCallers();
    watch();
    m_io.run_for(seconds(2));
    if (m_outcomes["200"] == 0)
        violate("the system does not start");
    m_injecting = true;
    chooseFaults();
    inject();
    readConfiguration();
    changeConfiguration();
    m_io.run_for(duration);
    m_injecting = false;
    note("healing");
    for (const auto& [number, end] : std::exchange(m_ends, {}))
        end();
    m_io.run_for(recoveryBound - seconds(3));
    m_served.clear();
    m_io.run_for(seconds(3));
    m_ended = true;
    checkRecovery();
    std::string outcomes;
    for (const auto& [name, n] : m_outcomes)
        outcomes += " " + name + "=" + std::to_string(n);
    for (const auto& [name, n] : m_checked)
        outcomes += " checked_" + name + "=" + std::to_string(n);
    note("answers:" + outcomes + "; " + std::to_string(m_violations.size()) + " violations");
    for (const auto& name : m_system.names(true))
        m_system.kill(name);
    for (const auto& name : m_system.names(false))
        m_system.kill(name);
    if (m_violations.empty())
        std::filesystem::remove_all(m_system.folder());
    return m_violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, const char** argv)
{
    long long seed = static_cast<long long>(std::random_device {}() % 1'000'000);
    int duration = 20;
    char* only = nullptr;
    const poptOption options[] = { { "seed", 's', POPT_ARG_LONGLONG, &seed, 0, "of the choice of faults", "N" },
        { "seconds", 't', POPT_ARG_INT, &duration, 0, "of faults", "N" },
        { "only", 'o', POPT_ARG_STRING, &only, 0, "one kind of fault", "NAME" }, POPT_AUTOHELP POPT_TABLEEND };
    auto* context = poptGetContext(nullptr, argc, argv, options, 0);
    int code = poptGetNextOpt(context);
    poptFreeContext(context);
    if (code < -1) {
        std::fprintf(stderr, "bench_RoutedSoak: %s\n", poptStrerror(code));
        return 2;
    }
    try {
        return Soak(static_cast<std::uint64_t>(seed), only ? only : "").run(seconds(duration));
    } catch (const std::exception& error) {
        std::fprintf(stderr, "bench_RoutedSoak: %s\n", error.what());
        return 2;
    }
}
