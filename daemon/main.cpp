// citronplankd: reads the settings, runs one instance until SIGTERM or SIGINT, then stops it gracefully.
#include "daemon/Daemon.h"
#include "daemon/FaultReport.h"
#include "daemon/Logging.h"
#include "daemon/Settings.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <unistd.h>

namespace {

/// Waits until a signal requests the planned stop. The signals are blocked in all threads, which inherit the mask.
void waitForStopSignal(const sigset_t& signals)
{
    int number = 0;
    sigwait(&signals, &number);
}

} // namespace

int main(int argc, char** argv)
{
    using namespace citronplank;
    // Signals are blocked first, so that one that arrives during the start also causes a planned stop.
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    auto outcome = readSettings(argc, argv, [](const char* name) { return std::getenv(name); });
    if (!outcome.settings) {
        std::fputs(outcome.output.c_str(), outcome.exitCode == exitSuccess ? stdout : stderr);
        return outcome.exitCode;
    }
    installFaultReport(STDERR_FILENO, nullptr);
    startLogging(outcome.settings->logLevel);
    int exitCode = exitSuccess;
    try {
        auto daemon = DaemonBuilder().settings(*outcome.settings).build();
        daemon->start();
        waitForStopSignal(signals);
        daemon->stopGracefully();
    } catch (const std::exception& error) {
        log(LogLevel::Error, "stop", std::string("The daemon could not start or has failed: ") + error.what() + ".");
        exitCode = exitFailed;
    }
    stopLogging();
    return exitCode;
}
