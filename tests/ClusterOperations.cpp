#include "tests/ClusterOperations.h"

#include <chrono>
#include <ctime>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

namespace citronplank::testing {

namespace {

using nlohmann::json;

/// Value of the line "NAME: VALUE" in the text of a status file; empty if there is none.
std::string readField(const std::string& status, const std::string& name)
{
    std::istringstream in(status);
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(name + ": "))
            return line.substr(name.size() + 2);
    }
    return {};
}

std::filesystem::path statusFile(const Cluster& cluster, const std::string& instance)
{
    return cluster.rulesFile(instance).string() + ".status";
}

/// Whether the rules watcher is done with an edit with this outcome.
bool isFinal(const std::string& outcome, const std::string& detail)
{
    // An edit based on a version that the instance does not have yet is retried automatically.
    if (detail.find("is not held by this instance") != std::string::npos)
        return false;
    return outcome == "accepted" || outcome == "refused" || outcome == "error" || outcome == "unchanged";
}

} // namespace

std::string readText(const std::filesystem::path& path)
{
    std::ifstream in(path);
    return { std::istreambuf_iterator<char>(in), {} };
}

HttpResponse sendQuery(const std::string& caller, const std::string& service, int deadlineMs, const std::string& body,
    const std::string& operation)
{
    const json request { { "service", service }, { "operation", operation }, { "customer", "customer-0" },
        { "deadline_ms", deadlineMs }, { "body", body } };
    return httpPost(caller, "/query", request.dump());
}

bool isWhole(const HttpResponse& answer)
{
    const auto body = answer.json();
    return answer.status == 200 && body.is_object() && body.contains("coverage") && body["coverage"]["whole"] == true;
}

HttpResponse sendKeyedRequest(const std::string& caller, const std::string& key, const std::string& service,
    const std::string& body, int deadlineMs)
{
    const json request { { "service", service }, { "operation", "charge" }, { "customer", "customer-0" },
        { "routing", key }, { "deadline_ms", deadlineMs }, { "body", body } };
    return httpPost(caller, "/request", request.dump(), { { "Request-Key", key } });
}

std::string makeRequestKey()
{
    static std::mt19937_64 random { std::random_device {}() };
    return std::to_string(std::time(nullptr)) + "-" + std::to_string(random());
}

json fetchStatus(const std::string& admin)
{
    const auto answer = httpGet(admin, "/status");
    const auto status = answer.status == 200 ? answer.json() : json();
    return status.is_object() ? status : json();
}

std::uint64_t fetchRulesVersion(const std::string& admin)
{
    const auto status = fetchStatus(admin);
    return status.is_null() ? 0 : status.value("rules_version", std::uint64_t { 0 });
}

std::string controlLeader(const Cluster& cluster)
{
    for (const auto& it : cluster.instances()) {
        if (!it.isControlMember)
            continue;
        const auto status = fetchStatus(it.admin);
        if (!status.is_null() && status.contains("control") && status["control"]["role"] == "leader")
            return it.name;
    }
    return {};
}

std::string readRules(const Cluster& cluster, const std::string& instance)
{
    return readText(cluster.rulesFile(instance));
}

std::string replaceLine(const std::string& text, const std::string& key, const std::string& line)
{
    std::istringstream in(text);
    std::string result;
    bool isWritten = line.empty();
    for (std::string it; std::getline(in, it);) {
        if (it.starts_with(key + " ")) {
            if (!isWritten)
                result += line + "\n";
            isWritten = true;
        } else
            result += it + "\n";
    }
    return isWritten ? result : result + line + "\n";
}

void saveRules(const Cluster& cluster, const std::string& instance, const std::string& text)
{
    std::filesystem::remove(statusFile(cluster, instance));
    const auto temporary = cluster.rulesFile(instance).string() + ".edited";
    std::ofstream(temporary) << text;
    std::filesystem::rename(temporary, cluster.rulesFile(instance));
}

EditOutcome waitForOutcome(const Cluster& cluster, const std::string& instance, std::chrono::milliseconds timeout)
{
    EditOutcome result;
    eventually(timeout, [&] {
        const auto status = readText(statusFile(cluster, instance));
        const auto outcome = readField(status, "outcome");
        const auto detail = readField(status, "detail");
        if (!isFinal(outcome, detail))
            return false;
        const auto version = readField(status, "version in force");
        result = { outcome, detail, version.empty() ? 0 : std::stoull(version) };
        return true;
    });
    return result;
}

bool waitForRulesVersion(
    const Cluster& cluster, std::uint64_t version, std::chrono::milliseconds timeout, const std::string& except)
{
    return eventually(timeout, [&] {
        for (const auto& it : cluster.instances()) {
            if (it.name != except && fetchRulesVersion(it.admin) < version)
                return false;
        }
        return true;
    });
}

void startStandInLeaves(Cluster& cluster, const std::vector<std::string>& services)
{
    std::vector<std::string> arguments { "--zones", "atl=1,sav=2,mac=3,aug=4", "--admin", cluster.adminAddresses(),
        "--first-host", "40", "--port", std::to_string(cluster.leafPort()), "--control", cluster.leafControlAddress(),
        "--journal", cluster.journal().string() };
    for (const auto& it : services)
        arguments.insert(arguments.end(), { "--service", it });
    cluster.startLeaves(arguments);
}

int commandLeaves(const Cluster& cluster, const json& command)
{
    const auto answer = httpPost(cluster.leafControlAddress(), "/control", command.dump()).json();
    return answer.is_object() ? answer.value("matched", 0) : 0;
}

bool waitForWholeAnswers(const Cluster& cluster, const std::string& service, std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    for (const auto& it : cluster.instances()) {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
        if (!eventually(left, [&] { return isWhole(sendQuery(it.caller, service, 1000)); }))
            return false;
    }
    return true;
}

std::vector<JournalEntry> readJournal(const Cluster& cluster)
{
    std::vector<JournalEntry> entries;
    std::ifstream in(cluster.journal());
    for (std::string line; std::getline(in, line);) {
        const auto it = json::parse(line, nullptr, false);
        // The last line may not be written completely yet.
        if (!it.is_object())
            continue;
        entries.push_back({ it.at("t"), it.at("event"), it.at("result"), it.at("leaf"), it.at("service"), it.at("key"),
            it.at("in_flight"), it.at("capacity") });
    }
    return entries;
}

std::uint64_t monotonicNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::unique_ptr<ChildProcess> startProgram(
    const std::string& program, const std::vector<std::string>& arguments, const std::filesystem::path& output)
{
    std::vector<std::string> commandLine { (programFolder() / program).string() };
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    return std::make_unique<ChildProcess>(commandLine, output);
}

std::unique_ptr<ChildProcess> startLoad(const Cluster& cluster, const std::vector<std::string>& arguments)
{
    std::string entries;
    for (const auto& it : cluster.instances())
        entries += (entries.empty() ? "" : ",") + it.caller + "/" + it.admin;
    std::vector<std::string> allArguments { "--entries", entries, "--result",
        (cluster.folder() / "result.json").string(), "--history", (cluster.folder() / "history.jsonl").string() };
    allArguments.insert(allArguments.end(), arguments.begin(), arguments.end());
    return startProgram("standin_load", allArguments, cluster.folder() / "load.log");
}

json readLoadResult(const Cluster& cluster)
{
    return json::parse(readText(cluster.folder() / "result.json"), nullptr, false);
}

int checkKeyedHistory(const Cluster& cluster)
{
    const auto check = startProgram("standin_load",
        { "--check", (cluster.folder() / "history.jsonl").string(), "--journals", cluster.journal().string() },
        cluster.folder() / "check.log");
    return check->wait(std::chrono::seconds(30));
}

} // namespace citronplank::testing
