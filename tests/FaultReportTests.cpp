// Guards against a process that ends by a fault without a line that says which, and against a handler that hangs or
// hides the signal from the supervisor.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/FaultReport.h"
#include "daemon/Version.h"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace citronplank;

namespace {

/// What a child process wrote, and the signal that ended it.
struct End {
    std::string output;
    int signal = 0;
};

/// Runs `fault` in a child process whose log buffer holds one line. Must be called before this process has threads.
template <typename Fault>
End endOf(Fault fault)
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    auto pid = ::fork();
    if (pid == 0) {
        ::close(ends[0]);
        static LogBuffer lines;
        lines.add("the last line before the fault");
        installFaultReport(ends[1], &lines);
        fault(lines);
        ::_exit(0);
    }
    ::close(ends[1]);
    End end;
    std::array<char, 4096> buf {};
    for (ssize_t n = 0; (n = ::read(ends[0], buf.data(), buf.size())) > 0;)
        end.output.append(buf.data(), static_cast<std::size_t>(n));
    ::close(ends[0]);
    int status = 0;
    ::waitpid(pid, &status, 0);
    end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return end;
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

TEST_CASE("a process that ends by a fault writes its last lines, the signal, the address and the stack")
{
    auto end = endOf([](LogBuffer&) { *reinterpret_cast<volatile int*>(0x1230) = 1; });
    CHECK(end.signal == SIGSEGV);
    CHECK(end.output.starts_with("the last line before the fault\nfault: signal=11 address=0x1230 sources="));
    CHECK(contains(end.output, sourcesDigest()));
    CHECK(contains(end.output, " stack=program+0x"));

    auto inThread = endOf([](LogBuffer&) { std::thread([] { std::abort(); }).join(); });
    CHECK(inThread.signal == SIGABRT);
    CHECK(contains(inThread.output, "\nfault: signal=6 "));
}

TEST_CASE("a fault in a call of the log buffer does not hang the process")
{
    // Reads past the text, at an address that is not mapped, while the buffer is locked.
    auto end = endOf([](LogBuffer& lines) { lines.add({ reinterpret_cast<const char*>(0x1000), 100 }); });
    CHECK(end.signal == SIGSEGV);
    CHECK(contains(end.output, "fault: signal=11 "));
}
