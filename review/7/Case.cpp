// A request of one customer crashes each leaf that begins to run it and comes again. Requests of other customers for
// the same path are answered meanwhile.
#include "review/harness-2/Callers.h"

#include <algorithm>
#include <numeric>

namespace {

using namespace review;

constexpr milliseconds reportInterval { 1200 };
constexpr milliseconds coldTime { 3000 }; // `warmup_s` of the service
constexpr milliseconds downTime { 2000 };
constexpr milliseconds contactTime { 5000 }; // `contact_ms`
constexpr milliseconds returnInterval { 2500 };
constexpr int returns = 20;
constexpr std::size_t maxLateReturns = 3;
constexpr int leafCount = 6;
constexpr int crashesToBlock = 3;
constexpr double callsPerSecond = 15;
constexpr const char* host = "one.example";
constexpr const char* target = "/one/7";
constexpr const char* crashingName = "shop-a";
constexpr const char* crashingKey = "Authorization: Bearer key-a\r\n";
constexpr const char* otherKey = "Authorization: Bearer key-b\r\n";

std::string withCustomers(std::string configuration, const Names& names)
{
    configuration.pop_back();
    return configuration + ",\"" + names["customers-field"] + R"(":[{"name":"shop-a",")" + names["keys-field"]
        + R"(":["key-a"]},{"name":"shop-b",")" + names["keys-field"] + R"(":["key-b"]}]})";
}

Verdict run(Setup& setup)
{
    Deployment deployment(setup.root, setup.folder, setup.names, 3);
    for (const auto& [name, value] : std::map<std::string, std::string> { { "quota_window_s", "5" },
             { "quota_overage", "0.1" }, { "quota_slack", "20" }, { "retry_budget_slack", "158" } })
        deployment.setValue("bounds." + name, value);
    deployment.startAll();
    auto configuration = withCustomers(configurationOf(1, "shelf"), setup.names);
    if (!deployment.putConfiguration(configuration, std::chrono::seconds(15)))
        return Verdict::CouldNotRun;
    std::vector<std::unique_ptr<Leaf>> leaves;
    std::vector<std::unique_ptr<Reporter>> reporters;
    std::vector<std::unique_ptr<Supervisor>> supervisors;
    for (int i = 1; i <= leafCount; ++i) {
        auto name = "shelf-" + std::to_string(i);
        LeafSettings settings { name, "shelf", Deployment::zoneName(1 + i % 3), deployment.leafAddress() };
        settings.crashesOn = [&](const HttpMessage& request) {
            return request.target == target && request.header(setup.names["customer-header"]) == crashingName;
        };
        leaves.push_back(std::make_unique<Leaf>(settings, setup.names, setup.record));
        leaves.back()->start(milliseconds(0));
        reporters.push_back(
            std::make_unique<Reporter>(*leaves.back(), deployment.controlAddresses(), reportInterval, setup.record));
        supervisors.push_back(std::make_unique<Supervisor>(*leaves.back(), downTime, coldTime));
    }
    auto crashes = [&] {
        return std::accumulate(supervisors.begin(), supervisors.end(), 0,
            [](int n, const std::unique_ptr<Supervisor>& it) { return n + it->crashes(); });
    };
    bool isReady = deployment.waitReady(std::chrono::seconds(15));
    std::this_thread::sleep_for(std::chrono::seconds(5));
    Callers others(deployment.callerAddresses(), setup.record);
    others.start(host, target, otherKey, callsPerSecond, milliseconds(1000));
    std::this_thread::sleep_for(std::chrono::seconds(3));
    Callers crashing(deployment.callerAddresses(), setup.record);
    auto entries = deployment.callerAddresses();
    std::optional<Clock::time_point> thirdCrashAt;
    for (std::size_t i = 0; setup.hasTrouble && isReady && i < returns; ++i) {
        crashing.sendOnce(entries[i % entries.size()], host, target, crashingKey, milliseconds(1000));
        if (!thirdCrashAt && crashes() >= crashesToBlock)
            thirdCrashAt = Clock::now();
        std::this_thread::sleep_for(returnInterval);
    }
    others.stop();
    std::set<std::string> lateReturns; // those that reached a leaf late
    for (const auto& call : crashing.calls()) {
        for (const auto& leaf : leaves) {
            for (const auto& it : leaf->arrivals()) {
                if (it.request == call.id && it.ran && thirdCrashAt && call.sentAt > *thirdCrashAt + contactTime)
                    lateReturns.insert(call.id);
            }
        }
    }
    auto calls = others.calls();
    auto answered = std::count_if(calls.begin(), calls.end(), [](const Call& it) { return it.status == 200; });
    setup.record.add("crashes=" + std::to_string(crashes()) + " late returns that reached a leaf: "
        + std::to_string(lateReturns.size()) + ", allowed " + std::to_string(maxLateReturns)
        + "; other customers: answered=" + std::to_string(answered) + " of " + std::to_string(calls.size()));
    if (!isReady)
        return Verdict::CouldNotRun;
    return lateReturns.size() > maxLateReturns ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv) { return review::runCase(argc, argv, run); }
