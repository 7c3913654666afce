// citronplankd: reads the settings, runs one instance until SIGTERM or SIGINT, stops gracefully.
#include "daemon/Daemon.h"
#include "daemon/Logging.h"
#include "daemon/Settings.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

/// Blocks until a signal asks for the planned stop. All other threads inherit the blocked mask.
void waitForStopSignal(const sigset_t& signals)
{
    int number = 0;
    sigwait(&signals, &number);
}

} // namespace

int main(int argc, char** argv)
{
    using namespace citronplank;
    // Blocked first, so that a stop that is asked for during the start is a planned one too.
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
    startLogging(outcome.settings->logLevel);
    int exitCode = exitSuccess;
    try {
        auto daemon = DaemonBuilder().settings(*outcome.settings).build();
        daemon->start();
        waitForStopSignal(signals);
        daemon->stopGracefully();
    } catch (const std::exception& error) {
        log(LogLevel::Error, "stop", std::string("Cannot run: ") + error.what() + ".");
        exitCode = exitFailed;
    }
    stopLogging();
    return exitCode;
}
