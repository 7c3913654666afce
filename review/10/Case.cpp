// A request crashes each leaf that begins to run it and comes again. The entry instances are stopped and started in
// turn.
#include "review/harness-2/Callers.h"

#include <csignal>
#include <sys/wait.h>

namespace {

using namespace review;

constexpr milliseconds reportInterval { 1200 };
constexpr milliseconds coldTime { 3000 }; // `warmup_s` of the service
constexpr milliseconds downTime { 2000 };
constexpr milliseconds contactTime { 4000 }; // `contact_ms`
constexpr milliseconds graceTime { 6000 };   // `grace_s`
constexpr milliseconds startDelay { 300 };   // between the end of a process and its next start
constexpr milliseconds callTimeout { 1000 };
constexpr std::size_t entryCount = 3;
constexpr int leafCount = 6;
constexpr int firstReturns = 3; // that crash leaves before the request is known
constexpr int restarts = 5;
constexpr std::size_t maxLateReturns = 3;
constexpr const char* host = "one.example";
constexpr const char* target = "/one/7";

void stopAndStart(Deployment& deployment, Instance& instance)
{
    deployment.signal(instance, SIGTERM);
    auto end = Clock::now() + graceTime;
    bool hasExited = false;
    while (!hasExited && Clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(10));
        hasExited = waitpid(instance.pid, nullptr, WNOHANG) == instance.pid;
    }
    if (!hasExited) {
        deployment.signal(instance, SIGKILL);
        waitpid(instance.pid, nullptr, 0);
    }
    std::this_thread::sleep_for(startDelay);
    deployment.start(instance, false);
}

Verdict run(Setup& setup)
{
    Deployment deployment(setup.root, setup.folder, setup.names, entryCount);
    deployment.startAll();
    if (!deployment.putConfiguration(configurationOf(1, "shelf"), std::chrono::seconds(15)))
        return Verdict::CouldNotRun;
    std::vector<std::unique_ptr<Leaf>> leaves;
    std::vector<std::unique_ptr<Reporter>> reporters;
    std::vector<std::unique_ptr<Supervisor>> supervisors;
    for (int i = 1; i <= leafCount; ++i) {
        LeafSettings settings { "shelf-" + std::to_string(i), "shelf", Deployment::zoneName(1 + i % 3),
            deployment.leafAddress() };
        settings.crashesOn = [](const HttpMessage& request) { return request.target == target; };
        leaves.push_back(std::make_unique<Leaf>(settings, setup.names, setup.record));
        leaves.back()->start(milliseconds(0));
        reporters.push_back(
            std::make_unique<Reporter>(*leaves.back(), deployment.controlAddresses(), reportInterval, setup.record));
        supervisors.push_back(std::make_unique<Supervisor>(*leaves.back(), downTime, coldTime));
    }
    if (!deployment.waitReady(std::chrono::seconds(15)))
        return Verdict::CouldNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(5));
    Callers callers(deployment.callerAddresses(), setup.record);
    auto entries = deployment.callerAddresses();
    auto sendTo = [&](std::size_t entry) { callers.sendOnce(entries[entry], host, target, "", callTimeout); };
    for (int i = 0; i < firstReturns; ++i) {
        sendTo(static_cast<std::size_t>(i) % entryCount);
        std::this_thread::sleep_for(milliseconds(1000));
    }
    auto thirdCrashBy = Clock::now();
    std::this_thread::sleep_for(contactTime + milliseconds(500));
    for (std::size_t i = 0; i < entryCount; ++i)
        sendTo(i);

    for (std::size_t i = 0; i < restarts; ++i) {
        auto entry = i % entryCount;
        auto& instance = deployment.instances()[deployment.controlAddresses().size() + entry];
        if (setup.hasTrouble) {
            setup.record.add("entry instance " + instance.name + " is stopped");
            stopAndStart(deployment, instance);
            setup.record.add("entry instance " + instance.name + " has been started again");
            if (!deployment.waitReady(std::chrono::seconds(5)))
                return Verdict::CouldNotRun;
        }
        std::this_thread::sleep_for(contactTime + milliseconds(500));
        sendTo(entry);
    }
    std::set<std::string> lateReturns; // those that reached a leaf late
    for (const auto& call : callers.calls()) {
        for (const auto& leaf : leaves) {
            for (const auto& it : leaf->arrivals()) {
                if (it.request == call.id && it.ran && call.sentAt > thirdCrashBy + contactTime)
                    lateReturns.insert(call.id);
            }
        }
    }
    int crashes = 0;
    for (const auto& it : supervisors)
        crashes += it->crashes();
    setup.record.add("crashes=" + std::to_string(crashes) + " late returns that reached a leaf: "
        + std::to_string(lateReturns.size()) + ", allowed " + std::to_string(maxLateReturns));
    return lateReturns.size() > maxLateReturns ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv) { return review::runCase(argc, argv, run); }
