// A new version of the configuration takes away the keys of the last customer: its list of customers is empty.
#include "review/harness-2/Callers.h"

#include <algorithm>

namespace {

using namespace review;

constexpr milliseconds reportInterval { 1200 };
constexpr milliseconds applyTime { 4000 }; // `config_apply_ms`
constexpr milliseconds callTimeout { 1000 };
constexpr int callsPerKind = 20;
constexpr const char* host = "one.example";
constexpr const char* target = "/one/7";
constexpr const char* heldKey = "Authorization: Bearer key-a\r\n";
constexpr const char* neverHeldKey = "Authorization: Bearer key-x\r\n";

std::string customer(const std::string& name, const std::string& key, const Names& names)
{
    return R"({"name":")" + name + R"(",")" + names["keys-field"] + R"(":[")" + key + R"("]})";
}

std::string withCustomers(std::string configuration, const std::string& customers, const Names& names)
{
    configuration.pop_back();
    return configuration + ",\"" + names["customers-field"] + "\":[" + customers + "]}";
}

/// Sends requests with a key to all entry instances. Returns how many got each status.
std::map<int, int> callAll(Callers& callers, const std::vector<std::string>& entries, const std::string& headers)
{
    std::map<int, int> statuses;
    for (int i = 0; i < callsPerKind; ++i)
        ++statuses[callers.sendOnce(entries[i % entries.size()], host, target, headers, callTimeout).status];
    return statuses;
}

std::string describe(const std::map<int, int>& statuses)
{
    std::string text;
    for (const auto& [status, n] : statuses)
        text += " " + std::to_string(status) + ":" + std::to_string(n);
    return text;
}

Verdict run(Setup& setup)
{
    Deployment deployment(setup.root, setup.folder, setup.names, 3);
    deployment.startAll();
    auto first = withCustomers(configurationOf(1, "shelf"), customer("shop-a", "key-a", setup.names), setup.names);
    if (!deployment.putConfiguration(first, std::chrono::seconds(15)))
        return Verdict::CouldNotRun;
    Leaf leaf({ "shelf-1", "shelf", Deployment::zoneName(1), deployment.leafAddress() }, setup.names, setup.record);
    leaf.start(milliseconds(0));
    Reporter reporter(leaf, deployment.controlAddresses(), reportInterval, setup.record);
    if (!deployment.waitReady(std::chrono::seconds(15)))
        return Verdict::CouldNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(5));
    auto entries = deployment.callerAddresses();
    Callers before(entries, setup.record);
    auto heldBefore = callAll(before, entries, heldKey);
    auto neverHeldBefore = callAll(before, entries, neverHeldKey);
    setup.record.add(
        "with the key in force:" + describe(heldBefore) + ", with another key:" + describe(neverHeldBefore));
    if (heldBefore[200] != callsPerKind || neverHeldBefore[401] != callsPerKind)
        return Verdict::CouldNotRun;

    // Without the disruption another customer remains.
    auto customers = setup.hasTrouble ? std::string() : customer("shop-b", "key-b", setup.names);
    auto second = withCustomers(configurationOf(2, "shelf"), customers, setup.names);
    if (!deployment.putConfiguration(second, std::chrono::seconds(5)))
        return Verdict::CouldNotRun;
    setup.record.add("acknowledged: " + second);
    std::this_thread::sleep_for(applyTime + std::chrono::seconds(1));
    auto arrivalsBefore = leaf.arrivals().size();
    Callers after(entries, setup.record);
    auto heldAfter = callAll(after, entries, heldKey);
    auto neverHeldAfter = callAll(after, entries, neverHeldKey);
    auto arrivals = leaf.arrivals();
    auto ran = arrivals.size() - arrivalsBefore;
    auto withKey = std::count_if(arrivals.begin() + static_cast<std::ptrdiff_t>(arrivalsBefore), arrivals.end(),
        [](const Arrival& it) { return it.hasKey; });
    setup.record.add("with the key that was taken away:" + describe(heldAfter)
        + ", with a key that was never held:" + describe(neverHeldAfter) + "; requests that ran: " + std::to_string(ran)
        + " of " + std::to_string(2 * callsPerKind) + ", to which the key was passed on: " + std::to_string(withKey));
    return ran > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv) { return review::runCase(argc, argv, run); }
