// A leaf becomes cold again while it is still cold, and says so in its reports.
#include "review/harness-2/Callers.h"

#include <iostream>

namespace {

using namespace review;

constexpr milliseconds reportInterval { 1200 };
constexpr milliseconds coldTime { 3000 };       // `warmup_s` of the service
constexpr milliseconds coldAgainAfter { 1800 }; // from its start; two reports follow before the first cold time ends
constexpr int coldRate = 4;                     // `warmup_per_s` of the service
constexpr int maxPerSecond = 11;                // 4 a second x 1.5 + 5
constexpr int coldCrashRate = 33;               // "well above" what it tolerates
constexpr double callsPerSecond = 60;

Verdict run(Setup& setup)
{
    Deployment deployment(setup.root, setup.folder, setup.names, 3);
    deployment.startAll();
    if (!deployment.putConfiguration(configurationOf(1, "shelf", coldRate), std::chrono::seconds(15)))
        return Verdict::CouldNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(3));
    Callers callers(deployment.callerAddresses(), setup.record);
    callers.start("one.example", "/one/1", "", callsPerSecond, milliseconds(1000));
    std::this_thread::sleep_for(std::chrono::seconds(3));
    LeafSettings settings { "shelf-1", "shelf", Deployment::zoneName(1), deployment.leafAddress() };
    settings.coldCrashRate = coldCrashRate;
    Leaf leaf(settings, setup.names, setup.record);
    Supervisor supervisor(leaf, std::nullopt, coldTime);
    leaf.start(coldTime);
    Reporter reporter(leaf, deployment.controlAddresses(), reportInterval, setup.record);
    std::this_thread::sleep_for(coldAgainAfter);
    if (setup.hasTrouble)
        leaf.becomeCold(coldTime);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    callers.stop();
    auto [n, at] = maxArrivalsWhileCold(leaf, callers.calls());
    setup.record.add("most requests in one second while cold: " + std::to_string(n) + ", allowed "
        + std::to_string(maxPerSecond) + ", from " + std::to_string(setup.record.millisecondsOf(at)));
    setup.record.add("crashes by overload while cold: " + std::to_string(supervisor.crashes()));
    return n > maxPerSecond ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv) { return review::runCase(argc, argv, run); }
