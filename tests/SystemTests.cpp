// System tests: each test case runs a cluster of daemon processes with stand-in leaves on loopback addresses, injects a
// fault or makes a change, and checks what callers, operators and leaves observe. The invariants are those of
// docs/design.md.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tests/ClusterOperations.h"
#include "tests/KeepFailedRuns.h"

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <thread>

using namespace citronplank::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

REGISTER_LISTENER("keep-failed-runs", 1, KeepFailedRuns);

namespace {

constexpr int portBase = 23000;                     // each test case has a cluster with its own 10 ports
constexpr milliseconds configurationBound { 3000 }; // time until an accepted edit is in force on all instances
constexpr milliseconds resendInterval { 100 };      // between the requests of a caller that does not back off
constexpr milliseconds zoneOutBound { 5000 };       // time until a zone taken out of service gets no new work
const std::string loandesk
    = "service=loandesk shards=8 replicas=2 zones=atl,sav,mac,aug slots=2 connections=25 connect-ms=6";
const std::string latefees
    = "service=latefees shards=6 replicas=2 zones=atl,sav,mac,aug slots=2 connections=25 connect-ms=6";
const std::string initialRules = "# citronplank version 0\n"
                                 "service loandesk deadline 2s # ada: teachers wait for whole lists\n"
                                 "service latefees deadline 2s # ada: fees are never logged twice\n"
                                 "operation latefees charge non-idempotent # ada: fees are never logged twice\n";

/// A cluster with stand-in leaves of two services. The constructor waits until all instances give whole answers and the
/// initial rules are in force. `number` determines the ports and differs for each test case.
struct SystemCluster : Cluster {
    SystemCluster(const std::string& name, int number, const std::string& drainDelay = "500ms")
        : Cluster(name, portBase + 10 * number)
    {
        setDrainDelay(drainDelay);
        std::ofstream(rulesFile("atl-1")) << initialRules;
        startAllInstances();
        startStandInLeaves(*this, { loandesk, latefees });
        REQUIRE(waitForWholeAnswers(*this, "loandesk", seconds(20)));
        REQUIRE(waitForRulesVersion(*this, 1, seconds(10)));
        REQUIRE(
            eventually(seconds(10), [&] { return readRules(*this, "sav-2").find("ada: fees") != std::string::npos; }));
    }

    /// Replaces the line of `key` in the rules file of the instance `name` and waits for the outcome.
    EditOutcome edit(const std::string& name, const std::string& key, const std::string& line)
    {
        saveRules(*this, name, replaceLine(readRules(*this, name), key, line));
        return waitForOutcome(*this, name);
    }
};

/// How often leaves started the request with this key.
long countStarts(const Cluster& cluster, const std::string& key)
{
    const auto journal = readJournal(cluster);
    return std::count_if(
        journal.begin(), journal.end(), [&](const JournalEntry& it) { return it.event == "start" && it.key == key; });
}

/// Checks that the answer has exactly the items of the shards that it reports as answered, each once. An item is
/// "VERSION:NUMBER"; its shard is NUMBER modulo the number of shards.
void checkItemsMatchCoverage(const json& answer)
{
    constexpr int itemCount = 1000; // in all shards, as in standins/leaf/Leaf.cpp
    const int total = answer["coverage"]["total"];
    std::set<int> missing;
    for (const auto& it : answer["coverage"]["missing"])
        missing.insert(it["shard"].get<int>());
    CHECK(answer["coverage"]["whole"] == missing.empty());
    CHECK(answer["coverage"]["answered"] == total - static_cast<int>(missing.size()));
    json expected = json::array();
    for (int shard = 0; shard < total; ++shard) {
        for (int i = shard; i < itemCount && !missing.contains(shard); i += total)
            expected.push_back("1:" + std::to_string(i));
    }
    CHECK(answer["items"] == expected);
}

/// Names of the stand-in leaves in a zone.
std::set<std::string> leavesOfZone(const Cluster& cluster, const std::string& zone)
{
    std::set<std::string> names;
    for (const auto& it : httpGet(cluster.leafControlAddress(), "/leaves").json()) {
        if (it["zone"] == zone)
            names.insert(it["leaf"].get<std::string>());
    }
    return names;
}

} // namespace

// Guards against instances that miss leaves of other zones, and against a service that never gives whole answers.
TEST_CASE("every instance gives a whole answer")
{
    SystemCluster cluster("whole", 0);
    for (const auto& it : cluster.instances()) {
        CAPTURE(it.name);
        const auto answer = sendQuery(it.caller, "latefees", 2000);
        CHECK(isWhole(answer));
        REQUIRE(answer.json().contains("coverage"));
        CHECK(answer.json()["coverage"]["total"] == 6);
    }
}

// Guards against an invalid file that changes the rules in force, and against an error without file, line and column.
TEST_CASE("an invalid rules line is refused with its position and the rules in force are unchanged")
{
    SystemCluster cluster("faulty", 1);
    const auto before = fetchRulesVersion(cluster.instance("mac-2").admin);
    const auto text = readRules(cluster, "sav-2");
    saveRules(cluster, "sav-2", text + "service loandesk hedge 200% # nok: too much\n");
    const auto outcome = waitForOutcome(cluster, "sav-2");
    CHECK(outcome.outcome == "error");
    const auto line = std::count(text.begin(), text.end(), '\n') + 1;
    const auto location = cluster.rulesFile("sav-2").string() + ":" + std::to_string(line) + ":24";
    CAPTURE(outcome.detail);
    CHECK(outcome.detail.find(location) != std::string::npos);
    for (const auto& it : cluster.instances())
        CHECK(fetchRulesVersion(it.admin) == before);
}

// Guards against edits of others that are reverted when an operator saves an older copy of the rules file (invariant
// 10).
TEST_CASE("an old copy of the rules file changes nothing when it is saved again")
{
    SystemCluster cluster("oldcopy", 2);
    const auto old = readRules(cluster, "sav-2");
    const auto edit = cluster.edit("atl-1", "service loandesk hedge", "service loandesk hedge 3% # ada: load");
    REQUIRE(edit.outcome == "accepted");
    CHECK(waitForRulesVersion(cluster, edit.version, configurationBound));
    REQUIRE(eventually(seconds(5), [&] { return readRules(cluster, "sav-2").find("hedge 3%") != std::string::npos; }));
    saveRules(cluster, "sav-2", old);
    CHECK(waitForOutcome(cluster, "sav-2").outcome == "unchanged");
    CHECK(eventually(seconds(5), [&] { return readRules(cluster, "sav-2").find("hedge 3%") != std::string::npos; }));
    for (const auto& it : cluster.instances())
        CHECK(fetchRulesVersion(it.admin) == edit.version);
}

// Guards against an edit that is lost because another operator edits the rules concurrently (invariant 10).
TEST_CASE("two concurrent edits are accepted if they change different lines, else one is refused and its line named")
{
    SystemCluster cluster("operators", 3);
    saveRules(cluster, "atl-1",
        replaceLine(readRules(cluster, "atl-1"), "service loandesk hedge", "service loandesk hedge 3% # ada: load"));
    saveRules(cluster, "mac-2",
        replaceLine(readRules(cluster, "mac-2"), "service loandesk retry", "service loandesk retry 7% # nok: load"));
    const auto first = waitForOutcome(cluster, "atl-1");
    const auto second = waitForOutcome(cluster, "mac-2");
    CHECK(first.outcome == "accepted");
    CHECK(second.outcome == "accepted");
    CHECK(waitForRulesVersion(cluster, std::max(first.version, second.version), configurationBound));
    for (const auto& it : cluster.instances()) {
        const auto rules = fetchStatus(it.admin)["rules"].dump();
        CHECK(rules.find("\"3%\"") != std::string::npos);
        CHECK(rules.find("\"7%\"") != std::string::npos);
    }
    // Both start from the same version and change the same line.
    REQUIRE(eventually(seconds(5), [&] {
        const auto version = std::max(first.version, second.version);
        const auto header = "# citronplank version " + std::to_string(version) + "\n";
        return readRules(cluster, "atl-1").starts_with(header) && readRules(cluster, "mac-2").starts_with(header);
    }));
    saveRules(cluster, "atl-1",
        replaceLine(readRules(cluster, "atl-1"), "service loandesk hedge", "service loandesk hedge 4% # ada: load"));
    saveRules(cluster, "mac-2",
        replaceLine(readRules(cluster, "mac-2"), "service loandesk hedge", "service loandesk hedge 6% # nok: load"));
    const auto ada = waitForOutcome(cluster, "atl-1");
    const auto nok = waitForOutcome(cluster, "mac-2");
    CAPTURE(ada.detail);
    CAPTURE(nok.detail);
    CHECK((ada.outcome == "accepted") != (nok.outcome == "accepted"));
    const auto& refused = ada.outcome == "accepted" ? nok : ada;
    CHECK(refused.outcome == "refused");
    CHECK(refused.detail.find("service loandesk hedge") != std::string::npos);
}

// Guards against a keyed request that runs again when its caller resends it to other instances (invariant 7).
TEST_CASE("a keyed request resent through all instances runs once")
{
    SystemCluster cluster("keyed", 4);
    const auto key = makeRequestKey();
    std::vector<HttpResponse> answers(cluster.instances().size());
    std::vector<std::thread> senders;
    for (std::size_t i = 0; i < answers.size(); ++i)
        senders.emplace_back(
            [&, i] { answers[i] = sendKeyedRequest(cluster.instances()[i].caller, key, "latefees", "fee"); });
    for (auto& it : senders)
        it.join();
    for (const auto& it : cluster.instances())
        answers.push_back(sendKeyedRequest(it.caller, key, "latefees", "fee"));
    for (const auto& it : answers) {
        CAPTURE(it.body);
        CHECK(it.status == 200);
        CHECK(it.body.find(key) != std::string::npos);
    }
    CHECK(sendKeyedRequest(cluster.instances()[3].caller, key, "latefees", "another fee").status == 409);
    CHECK(eventually(seconds(2), [&] { return countStarts(cluster, key) > 0; }));
    std::this_thread::sleep_for(milliseconds(500)); // time for a wrong second run to start
    CHECK(countStarts(cluster, key) == 1);
}

// Guards against an answer that reports a shard as answered although its leaf crashed during the query (invariants 2
// and 5).
TEST_CASE("a query during which a leaf is killed gets a whole answer from the other replica or a correct partial one")
{
    SystemCluster cluster("leafkill", 5);
    REQUIRE(commandLeaves(cluster, { { "service", "loandesk" }, { "set", { { "time", "fixed:300" } } } }) == 16);
    const auto crashedParts = [&] {
        const auto journal = readJournal(cluster);
        return std::count_if(journal.begin(), journal.end(),
            [](const JournalEntry& it) { return it.event == "end" && it.result == "crashed"; });
    };
    for (int round = 0; round < 10 && crashedParts() < 1; ++round) {
        HttpResponse answer;
        std::thread sender([&] { answer = sendQuery(cluster.instances()[round % 7].caller, "loandesk", 2000); });
        std::this_thread::sleep_for(milliseconds(150)); // parts run for 300 ms, so that the crash hits one
        const std::string leaf = round % 2 ? "loandesk-3-a" : "loandesk-3-b";
        CHECK(commandLeaves(cluster, { { "leaf", leaf }, { "do", "crash" } }) == 1);
        sender.join();
        CAPTURE(answer.body);
        REQUIRE(answer.status == 200);
        checkItemsMatchCoverage(answer.json());
        std::this_thread::sleep_for(milliseconds(400));
    }
    CHECK(crashedParts() >= 1);
}

// Guards against accepted edits that are lost when another control member becomes the leader (invariant 10).
TEST_CASE("edits continue after the control leader is killed and no accepted edit is lost")
{
    SystemCluster cluster("leader", 6);
    const auto before = cluster.edit("aug-1", "service loandesk hedge", "service loandesk hedge 3% # ada: load");
    REQUIRE(before.outcome == "accepted");
    const auto leader = controlLeader(cluster);
    REQUIRE(!leader.empty());
    cluster.process(leader).signal(SIGKILL);
    cluster.process(leader).wait(seconds(5));
    const auto after = cluster.edit("aug-1", "service loandesk retry", "service loandesk retry 7% # ada: load");
    CAPTURE(after.detail);
    REQUIRE(after.outcome == "accepted");
    CHECK(after.version > before.version);
    CHECK(waitForRulesVersion(cluster, after.version, configurationBound, leader));
    cluster.startInstance(leader);
    CHECK(cluster.waitReady(leader));
    CHECK(waitForRulesVersion(cluster, after.version, configurationBound));
    for (const auto& it : cluster.instances()) {
        const auto rules = fetchStatus(it.admin)["rules"].dump();
        CHECK(rules.find("\"3%\"") != std::string::npos);
        CHECK(rules.find("\"7%\"") != std::string::npos);
    }
}

// Guards against planned stops that abort requests (invariant 9).
TEST_CASE("a planned stop of each daemon in turn under load aborts no request")
{
    // The drain delay is twice the readiness interval of the load generator, which acts as the load balancer.
    SystemCluster cluster("stop", 7, "1s");
    const auto load = startLoad(cluster,
        { "--service", "loandesk,latefees", "--keyed-service", "latefees", "--keyed-share", "0.2", "--concurrency", "6",
            "--duration-s", "60", "--deadline-ms", "1500", "--resends", "0" });
    std::this_thread::sleep_for(seconds(1));
    for (const auto& it : cluster.instances()) {
        CAPTURE(it.name);
        cluster.process(it.name).signal(SIGTERM);
        CHECK(cluster.process(it.name).wait(seconds(15)) == 0);
        cluster.startInstance(it.name);
        REQUIRE(cluster.waitReady(it.name));
    }
    load->signal(SIGTERM);
    load->wait(seconds(5));
    const auto result = readLoadResult(cluster);
    REQUIRE(result.is_object());
    CAPTURE(result["refusals"].dump());
    CHECK(result["transport_errors"].empty());
    CHECK(result["wrong"] == 0);
    CHECK(result["answered"] > 0);
    const int exitCode = checkKeyedHistory(cluster);
    CAPTURE(readText(cluster.folder() / "check.log"));
    CHECK(exitCode == 0);
}

// Guards against new work in a zone that is out of service (invariant 4), and against a zone that gets no work after it
// has been put back in service.
TEST_CASE("a zone taken out of service gets no new work after 5 s and can be put back in service")
{
    SystemCluster cluster("zoneout", 8);
    const auto leaves = leavesOfZone(cluster, "sav");
    REQUIRE(!leaves.empty());
    const auto load = startLoad(cluster, { "--service", "loandesk", "--concurrency", "4", "--duration-s", "60" });
    const auto out = cluster.edit("mac-2", "zone sav", "zone sav out # mae: switch replaced");
    REQUIRE(out.outcome == "accepted");
    const auto acceptedAt = monotonicNow();
    CHECK(waitForRulesVersion(cluster, out.version, configurationBound));
    std::this_thread::sleep_for(zoneOutBound + seconds(3));
    const auto endAt = monotonicNow();
    const auto answer = sendQuery(cluster.instance("atl-2").caller, "loandesk", 1500);
    CAPTURE(answer.body.substr(0, 400));
    CHECK(isWhole(answer));
    REQUIRE(cluster.edit("mac-2", "zone sav", "zone sav in # mae: done").outcome == "accepted");
    const auto backInServiceAt = monotonicNow();
    const auto startsBetween = [&](std::uint64_t from, std::uint64_t to) {
        const auto journal = readJournal(cluster);
        return std::count_if(journal.begin(), journal.end(), [&](const JournalEntry& it) {
            return it.event == "start" && it.microseconds > from && it.microseconds <= to && leaves.contains(it.leaf);
        });
    };
    CHECK(eventually(seconds(5), [&] { return startsBetween(backInServiceAt, monotonicNow()) > 0; }));
    CHECK(startsBetween(0, acceptedAt) > 0);
    CHECK(startsBetween(acceptedAt + std::chrono::microseconds(zoneOutBound).count(), endAt) == 0);
    load->signal(SIGTERM);
}

// Guards against a repair that is reported as complete although the cluster would not survive a second disk loss.
TEST_CASE("a control member that lost its disk is replaced, and then a second disk may be lost")
{
    SystemCluster cluster("disk", 9);
    const auto before = cluster.edit("aug-1", "service loandesk hedge", "service loandesk hedge 3% # ada: load");
    REQUIRE(before.outcome == "accepted");
    const auto isRepaired = [&] {
        const auto leader = controlLeader(cluster);
        const auto status = leader.empty() ? json() : fetchStatus(cluster.instance(leader).admin);
        return !status.is_null() && status["control"]["repair_complete"] == true;
    };
    const auto loseDisk = [&](const std::string& name) {
        cluster.process(name).signal(SIGKILL);
        cluster.process(name).wait(seconds(5));
        CHECK(eventually(seconds(5), [&] { return !isRepaired(); }));
        std::filesystem::remove_all(cluster.dataFolder(name));
    };
    REQUIRE(eventually(seconds(5), isRepaired));
    loseDisk("mac-1");
    cluster.startInstance("mac-1");
    REQUIRE(eventually(seconds(10), isRepaired));
    loseDisk("atl-1");
    const auto after = cluster.edit("aug-1", "service loandesk retry", "service loandesk retry 7% # ada: load");
    CAPTURE(after.detail);
    CHECK(after.outcome == "accepted");
    const auto rules = fetchStatus(cluster.instance("mac-1").admin)["rules"].dump();
    CHECK(rules.find("\"3%\"") != std::string::npos);
    cluster.startInstance("atl-1");
    CHECK(eventually(seconds(10), isRepaired));
    CHECK(waitForRulesVersion(cluster, after.version, configurationBound));
}

// Guards against a request that crashes one backend server after the other because its caller resends it.
TEST_CASE("a request that crashes leaves does so a bounded number of times and is then refused by all instances")
{
    SystemCluster cluster("crashing", 10);
    const auto crashes = [&] {
        std::this_thread::sleep_for(milliseconds(400)); // the leaves flush the journal every 200 ms
        const auto journal = readJournal(cluster);
        return std::count_if(
            journal.begin(), journal.end(), [](const JournalEntry& it) { return it.event == "crash"; });
    };
    // A keyed request has one part. The first crash makes it a suspect and the second one blocks it, also when the
    // caller resends it through all instances faster than gossip spreads.
    for (const auto& it : cluster.instances()) {
        sendKeyedRequest(it.caller, makeRequestKey(), "latefees", "keyed crash-back-end", 1000);
        std::this_thread::sleep_for(resendInterval);
    }
    CHECK(crashes() >= 1);
    CHECK(crashes() <= 2);
    const auto keyedCrashes = crashes();
    for (const auto& it : cluster.instances()) {
        const auto answer = sendKeyedRequest(it.caller, makeRequestKey(), "latefees", "keyed crash-back-end", 1000);
        CAPTURE(answer.body);
        CHECK(answer.status == 422);
    }
    // All parts of the first query may run before its first crash; one more part may run while the query is a suspect.
    for (const auto& it : cluster.instances()) {
        sendQuery(it.caller, "loandesk", 1000, "query crash-back-end");
        std::this_thread::sleep_for(resendInterval);
    }
    CHECK(crashes() - keyedCrashes >= 1);
    CHECK(crashes() - keyedCrashes <= 8 + 1);
    const auto all = crashes();
    for (const auto& it : cluster.instances()) {
        const auto answer = sendQuery(it.caller, "loandesk", 1000, "query crash-back-end");
        CAPTURE(answer.body);
        CHECK(answer.status == 422);
    }
    CHECK(crashes() == all);
}
