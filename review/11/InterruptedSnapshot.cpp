// Case 11: a core process is killed while it installs a snapshot, goes on with a damaged log file, and loses its disk's
// content at its next start.
#include "../harness-3/Harness.h"

#include <sys/inotify.h>

namespace {

using namespace citronplank::review;

constexpr int addedRoutes = 350; // dose of `big_config`
constexpr int shardCount = 20;
constexpr milliseconds stormGap { 60 };       // of `config_storm`
constexpr int stormChanges = 25;              // 1.5 s
constexpr milliseconds downTime { 3500 };     // of `node_kill`
constexpr milliseconds restartDelay { 500 };  // "restarted after a short delay"
constexpr seconds calmTime { 6 };             // more than catch_up_s and contact_ms
constexpr milliseconds finalDownTime { 800 }; // "back within a second"
constexpr seconds readTime { 40 };            // more than recovery_s + outer_ms + contact_ms
constexpr seconds installTime { 8 };
constexpr int maxTries = 4;

nlohmann::json configuration(std::uint64_t version)
{
    nlohmann::json shards = nlohmann::json::array();
    nlohmann::json services = nlohmann::json::array();
    for (int i = 0; i < shardCount; ++i) {
        auto name = "shard" + std::to_string(i);
        shards.push_back(name);
        services.push_back({ { "name", name }, { "health_path", "/health" }, { "max_connections", 26 },
            { "protocol", "h1" }, { "tls", false }, { "warmup_s", 3.0 }, { "warmup_per_s", 0.0 } });
    }
    nlohmann::json routes = nlohmann::json::array();
    for (int i = 0; i <= addedRoutes; ++i) {
        routes.push_back({ { "name", "r-" + std::to_string(i) }, { "host", "pupu76.example" },
            { "path_prefix", "/path" + std::to_string(i) + "/" }, { "route_type", "idempotent" },
            { "timeout_ms", 2500 }, { "target_latency_ms", 150 }, { "priority", 1 }, { "gather", shards },
            { "max_attempts", 2 }, { "top_k", 50 }, { "min_coverage", 0.89 } });
    }
    return { { "version", version }, { "routes", routes }, { "services", services },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

/// Tells when a file of a folder was replaced by a rename.
class RenameWatch {
public:
    explicit RenameWatch(const std::filesystem::path& folder)
        : m_fd(::inotify_init1(IN_CLOEXEC))
    {
        ::inotify_add_watch(m_fd, folder.c_str(), IN_MOVED_TO);
    }
    ~RenameWatch() { ::close(m_fd); }
    RenameWatch(const RenameWatch&) = delete;
    RenameWatch& operator=(const RenameWatch&) = delete;

    bool waitFor(std::string_view name, seconds timeout) const
    {
        auto until = SteadyClock::now() + timeout;
        alignas(inotify_event) std::array<char, 4096> buf {};
        while (SteadyClock::now() < until) {
            pollfd fd { m_fd, POLLIN, 0 };
            if (::poll(&fd, 1, 50) <= 0)
                continue;
            auto n = ::read(m_fd, buf.data(), buf.size());
            for (long at = 0; at < n;) {
                const auto* event = reinterpret_cast<const inotify_event*>(buf.data() + at);
                if (event->len > 0 && name == event->name)
                    return true;
                at += static_cast<long>(sizeof(inotify_event) + event->len);
            }
        }
        return false;
    }

private:
    int m_fd;
};

std::string filesIn(const std::filesystem::path& folder)
{
    std::string text;
    for (const auto& it : std::filesystem::directory_iterator(folder))
        text += " " + it.path().filename().string()
            + (it.is_regular_file() ? "=" + std::to_string(it.file_size()) : "/");
    return text;
}

class Case {
public:
    explicit Case(Record& record)
        : m_record(record)
        , m_deployment(record, m_folder.path(), 0)
        , m_operator(record, m_deployment)
    {
    }

    int run()
    {
        m_deployment.startAll();
        if (!change(seconds(20)))
            return couldNotRun;
        auto& behind = *m_deployment.core()[1]; // will be behind and be killed
        storm();
        bool isInterrupted = false;
        // For comparison, INTERRUPT=0 leaves only the final fault.
        const char* interrupt = std::getenv("INTERRUPT");
        bool interrupts = hasTrouble() && !(interrupt && std::string(interrupt) == "0");
        for (int i = 0; interrupts && !isInterrupted && i < maxTries; ++i)
            isInterrupted = interruptInstallation(behind);
        if (interrupts && !isInterrupted)
            m_record.note("the installation of a snapshot was not hit");
        auto end = SteadyClock::now() + calmTime;
        while (SteadyClock::now() < end) {
            change(seconds(5));
            std::this_thread::sleep_for(seconds(1));
        }
        m_record.line("data folder of " + behind.ip + ":" + filesIn(m_deployment.dataFolder(behind)));
        if (!change(seconds(5)))
            return couldNotRun;
        if (hasTrouble())
            finalFault(*m_deployment.core()[0]);
        return readBack();
    }

private:
    bool change(milliseconds timeout)
    {
        if (!m_operator.put(configuration(m_acknowledged + 1), timeout))
            return false;
        ++m_acknowledged;
        return true;
    }

    /// Changes the configuration in quick succession, but not after `until`.
    void storm(SteadyClock::time_point until = SteadyClock::time_point::max())
    {
        for (int i = 0; i < stormChanges && SteadyClock::now() + stormGap < until; ++i) {
            auto next = SteadyClock::now() + stormGap;
            change(seconds(5));
            std::this_thread::sleep_until(next);
        }
    }

    /// Kills a core process, changes the configuration while it is down, and kills it again when it has stored the
    /// snapshot that it gets. Returns whether its log file was still the old one then.
    bool interruptInstallation(Machine& machine)
    {
        auto up = SteadyClock::now() + downTime;
        m_deployment.kill(machine);
        while (SteadyClock::now() + stormGap < up)
            storm(up);
        std::this_thread::sleep_until(up);
        auto log = m_deployment.dataFolder(machine) / "log";
        auto oldSize = std::filesystem::file_size(log);
        RenameWatch watch(m_deployment.dataFolder(machine));
        m_deployment.start(machine, false);
        if (!watch.waitFor("snapshot", installTime))
            return false;
        m_deployment.kill(machine);
        m_record.note("killed " + machine.ip
            + " after it had stored a snapshot; its files:" + filesIn(m_deployment.dataFolder(machine)));
        bool isOldLog = std::filesystem::file_size(log) == oldSize;
        std::this_thread::sleep_for(restartDelay);
        m_deployment.start(machine, false);
        return isOldLog;
    }

    /// All core processes are killed; one machine loses its disk; all are back within a second.
    void finalFault(Machine& wiped)
    {
        m_record.note("final fault: all core processes are killed, " + wiped.ip + " loses its disk");
        for (auto* it : m_deployment.core())
            m_deployment.kill(*it);
        m_deployment.wipe(wiped);
        std::this_thread::sleep_for(finalDownTime);
        for (auto* it : m_deployment.core())
            m_deployment.start(*it, false);
    }

    int readBack()
    {
        auto end = SteadyClock::now() + readTime;
        while (SteadyClock::now() < end) {
            for (auto* it : m_deployment.core()) {
                auto version = m_operator.read(*it);
                if (!version)
                    continue;
                m_record.note("read back: version " + std::to_string(*version) + ", newest acknowledged "
                    + std::to_string(m_acknowledged));
                return *version >= m_acknowledged ? ruleHeld : ruleBroken;
            }
            std::this_thread::sleep_for(milliseconds(300));
        }
        m_record.note("version " + std::to_string(m_acknowledged) + " was acknowledged; no read was answered in "
            + std::to_string(readTime.count()) + " s");
        for (auto* it : m_deployment.core()) {
            m_record.line("data folder of " + it->ip + ":" + filesIn(m_deployment.dataFolder(*it)));
            std::istringstream log(Deployment::contentOf(m_deployment.logFile(*it)));
            for (std::string line; std::getline(log, line);) {
                if (line.find("set aside") != std::string::npos)
                    m_record.note(it->ip + ": " + line);
            }
        }
        return ruleBroken;
    }

    Record& m_record;
    RunFolder m_folder;
    Deployment m_deployment;
    Operator m_operator;
    std::uint64_t m_acknowledged = 0;
};

} // namespace

int main(int, char** argv)
{
    return runCase(argv[1], [](Record& record) { return Case(record).run(); });
}
