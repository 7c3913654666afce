#include "daemon/FaultReport.h"

#include "daemon/Version.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstring>
#include <execinfo.h>
#include <link.h>
#include <unistd.h>

namespace citronplank {

namespace {

constexpr std::array faultSignals { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT };
constexpr std::size_t maxModules = 64;
constexpr std::size_t maxFrames = 40;
constexpr std::size_t alternateStackBytes = std::size_t { 64 } << 10U;

/// Executable segment of the program or of a library.
struct Module {
    std::array<char, 32> name {};
    std::uintptr_t base = 0;
    std::uintptr_t begin = 0;
    std::uintptr_t end = 0;
};

// Filled before the handler is installed, because a handler may neither allocate nor lock.
std::array<Module, maxModules> modules;
std::size_t moduleCount = 0;
int reportDescriptor = STDOUT_FILENO;
LogBuffer* bufferedLines = nullptr;
volatile std::sig_atomic_t isReporting = 0;

/// A line in a fixed buffer; what does not fit is left out.
class FixedLine {
public:
    FixedLine& operator<<(std::string_view text)
    {
        auto n = std::min(text.size(), m_text.size() - 1 - m_size);
        std::memcpy(m_text.data() + m_size, text.data(), n);
        m_size += n;
        return *this;
    }
    FixedLine& hex(std::uintptr_t value)
    {
        std::array<char, 2 * sizeof(value)> digits {};
        auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
        return *this << "0x" << std::string_view(digits.data(), static_cast<std::size_t>(end - digits.data()));
    }
    FixedLine& number(int value)
    {
        std::array<char, 16> digits {};
        auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
        return *this << std::string_view(digits.data(), static_cast<std::size_t>(end - digits.data()));
    }
    void writeTo(int descriptor)
    {
        m_text[m_size++] = '\n';
        [[maybe_unused]] auto n = ::write(descriptor, m_text.data(), m_size);
    }

private:
    std::array<char, 2048> m_text {};
    std::size_t m_size = 0;
};

int addModule(dl_phdr_info* info, std::size_t, void*)
{
    for (int i = 0; i < info->dlpi_phnum && moduleCount < maxModules; ++i) {
        const auto& segment = info->dlpi_phdr[i];
        if (segment.p_type != PT_LOAD || (segment.p_flags & PF_X) == 0)
            continue;
        auto& it = modules[moduleCount++];
        std::string_view path = info->dlpi_name;
        auto name = path.empty() ? std::string_view("program") : path.substr(path.rfind('/') + 1);
        name.copy(it.name.data(), it.name.size() - 1);
        it.base = info->dlpi_addr;
        it.begin = it.base + segment.p_vaddr;
        it.end = it.begin + segment.p_memsz;
    }
    return 0;
}

void addFrame(FixedLine& line, std::uintptr_t address)
{
    for (std::size_t i = 0; i < moduleCount; ++i) {
        if (address >= modules[i].begin && address < modules[i].end) {
            line << modules[i].name.data() << "+";
            line.hex(address - modules[i].base);
            return;
        }
    }
    line.hex(address);
}

void onFault(int signal, siginfo_t* info, void*)
{
    if (isReporting == 0) {
        isReporting = 1;
        FixedLine line;
        line << "fault: signal=";
        line.number(signal) << " address=";
        line.hex(reinterpret_cast<std::uintptr_t>(info->si_addr)) << " sources=" << sourcesDigest() << " stack=";
        std::array<void*, maxFrames> frames {};
        auto n = ::backtrace(frames.data(), static_cast<int>(frames.size()));
        // The first frames are those of this function and of the return from the handler.
        constexpr int skipped = 2;
        for (int i = std::min(skipped, n); i < n; ++i) {
            line << (i > skipped ? "," : "");
            addFrame(line, reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(i)]));
        }
        if (bufferedLines)
            bufferedLines->tryFlush(reportDescriptor);
        line.writeTo(reportDescriptor);
    }
    std::signal(signal, SIG_DFL);
    ::raise(signal);
}

} // namespace

void installFaultReport(int descriptor, LogBuffer* lines)
{
    reportDescriptor = descriptor;
    bufferedLines = lines;
    dl_iterate_phdr(&addModule, nullptr);
    std::array<void*, 1> frame {};
    ::backtrace(frame.data(), 1); // loads the unwinder, which allocates
    static std::array<char, alternateStackBytes> alternateStack;
    stack_t stack {};
    stack.ss_sp = alternateStack.data();
    stack.ss_size = alternateStack.size();
    sigaltstack(&stack, nullptr);
    for (int signal : faultSignals) {
        struct sigaction action { };
        action.sa_sigaction = &onFault;
        action.sa_flags = SA_SIGINFO | SA_ONSTACK;
        sigemptyset(&action.sa_mask);
        sigaction(signal, &action, nullptr);
    }
}

} // namespace citronplank
