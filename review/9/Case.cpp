// A leaf crashes and starts again under its name and address. It is cold then, and its first report arrives late.
#include "review/harness-2/Callers.h"

namespace {

using namespace review;

constexpr milliseconds reportInterval { 1200 };
constexpr milliseconds coldTime { 3000 }; // `warmup_s` of the service
constexpr milliseconds downTime { 1500 };
constexpr milliseconds reportDelay { 2500 };
constexpr int coldRate = 4;       // `warmup_per_s` of the service
constexpr int maxPerSecond = 11;  // 4 a second x 1.5 + 5
constexpr int coldCrashRate = 33; // "well above" what it tolerates
constexpr double callsPerSecond = 60;

Verdict run(Setup& setup)
{
    Deployment deployment(setup.root, setup.folder, setup.names, 3);
    deployment.startAll();
    if (!deployment.putConfiguration(configurationOf(1, "shelf", coldRate), std::chrono::seconds(15)))
        return Verdict::CouldNotRun;
    LeafSettings settings { "shelf-1", "shelf", Deployment::zoneName(1), deployment.leafAddress() };
    settings.coldCrashRate = coldCrashRate;
    Leaf leaf(settings, setup.names, setup.record);
    Supervisor supervisor(leaf, std::nullopt, coldTime);
    leaf.start(milliseconds(0));
    Reporter reporter(leaf, deployment.controlAddresses(), reportInterval, setup.record);
    if (!deployment.waitReady(std::chrono::seconds(15)))
        return Verdict::CouldNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(5));
    Callers callers(deployment.callerAddresses(), setup.record);
    callers.start("one.example", "/one/1", "", callsPerSecond, milliseconds(1000));
    std::this_thread::sleep_for(std::chrono::seconds(3));
    if (setup.hasTrouble) {
        reporter.delayUntil(Clock::now() + downTime + reportDelay);
        leaf.crash();
        std::this_thread::sleep_for(downTime);
        leaf.start(coldTime);
    }
    std::this_thread::sleep_for(std::chrono::seconds(6));
    callers.stop();
    auto [n, at] = maxArrivalsWhileCold(leaf, callers.calls());
    setup.record.add("most requests in one second while cold: " + std::to_string(n) + ", allowed "
        + std::to_string(maxPerSecond) + ", from " + std::to_string(setup.record.millisecondsOf(at)));
    setup.record.add("crashes by overload while cold: " + std::to_string(supervisor.crashes()));
    return n > maxPerSecond ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv) { return review::runCase(argc, argv, run); }
