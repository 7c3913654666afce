// Shared parts of the scripted cases 11 to 15: a small deployment of the platform's program on loopback addresses, an
// HTTP client for the operator and the callers, and the record of what was sent, answered and run.
//
// Machines have addresses 127.NETWORK.ZONE.HOST and the ports of the platform's pages, shifted to a free range.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace citronplank::review {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// Whether the case applies its disruption; TROUBLE=0 runs it without.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Name on the wire, or in a process's environment, for one of our own terms; from wire.txt. Thread safe.
inline const std::string& wireName(const std::string& term)
{
    static const auto names = [] {
        std::map<std::string, std::string> all;
        std::ifstream file("review/harness-3/wire.txt");
        for (std::string key, value; file >> key >> value;)
            all[key] = value;
        return all;
    }();
    return names.at(term);
}

/// Appends lines with the time since its construction to a file and to standard output. Thread safe.
class Record {
public:
    explicit Record(const std::filesystem::path& path)
        : m_file(path)
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        std::array<char, 32> time {};
        auto elapsed = std::chrono::duration<double>(SteadyClock::now() - m_start).count();
        std::snprintf(time.data(), time.size(), "%9.3f ", elapsed);
        m_file << time.data() << text << "\n" << std::flush;
    }
    /// Writes a line to standard output too.
    void note(const std::string& text)
    {
        line(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    SteadyClock::time_point m_start = SteadyClock::now();
};

struct HttpReply {
    int status = 0;                             // 0: no complete response
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// A TCP connection that closes itself. Not thread safe.
class Connection {
public:
    /// Connects to IP:PORT; `isOpen` tells whether that worked in time.
    Connection(const std::string& address, milliseconds timeout)
    {
        auto colon = address.rfind(':');
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        int one = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        if (::connect(m_socket, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0
            && (errno != EINPROGRESS || !waitFor(POLLOUT, SteadyClock::now() + timeout))) {
            close();
            return;
        }
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0)
            close();
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool isOpen() const { return m_socket >= 0; }
    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }
    bool write(std::string_view text, SteadyClock::time_point until)
    {
        while (!text.empty()) {
            auto n = ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
            if (n > 0)
                text.remove_prefix(static_cast<std::size_t>(n));
            else if (errno != EAGAIN || !waitFor(POLLOUT, until))
                return false;
        }
        return true;
    }
    /// Appends what arrives to the input. False at the end of the connection or of the time.
    bool read(SteadyClock::time_point until)
    {
        std::array<char, 65536> buf {};
        while (true) {
            auto n = ::recv(m_socket, buf.data(), buf.size(), 0);
            if (n > 0) {
                m_input.append(buf.data(), static_cast<std::size_t>(n));
                return true;
            }
            if (n == 0 || errno != EAGAIN || !waitFor(POLLIN, until))
                return false;
        }
    }
    /// Reads one response with a Content-Length.
    HttpReply readReply(SteadyClock::time_point until)
    {
        HttpReply reply;
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!read(until))
                return {};
        }
        std::istringstream head(m_input.substr(0, end));
        std::string line;
        std::getline(head, line);
        auto status = line.size() > 12 ? std::atoi(line.substr(9, 3).c_str()) : 0;
        while (std::getline(head, line)) {
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of(" \r") + 1);
            reply.headers[name] = value;
        }
        auto length = reply.headers.count("content-length") > 0 ? std::stoul(reply.headers["content-length"]) : 0;
        m_input.erase(0, end + 4);
        while (m_input.size() < length) {
            if (!read(until))
                return {};
        }
        reply.body = m_input.substr(0, length);
        m_input.erase(0, length);
        reply.status = status;
        return reply;
    }

private:
    bool waitFor(short events, SteadyClock::time_point until)
    {
        auto left = std::chrono::ceil<milliseconds>(until - SteadyClock::now()).count();
        pollfd fd { m_socket, events, 0 };
        return left > 0 && ::poll(&fd, 1, static_cast<int>(left)) > 0;
    }

    int m_socket = -1;
    std::string m_input;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string renderRequest(
    const std::string& method, const std::string& path, const Headers& headers, const std::string& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!body.empty())
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    return text.append("\r\n").append(body);
}

/// Sends one request on a connection of its own. Status 0: no complete response in time.
inline HttpReply request(const std::string& address, const std::string& method, const std::string& path,
    const std::string& body = {}, Headers headers = {}, milliseconds timeout = seconds(1))
{
    auto until = SteadyClock::now() + timeout;
    Connection connection(address, timeout);
    if (!connection.isOpen())
        return {};
    if (std::none_of(headers.begin(), headers.end(), [](const auto& it) { return it.first == "Host"; }))
        headers.emplace_back("Host", address);
    if (!connection.write(renderRequest(method, path, headers, body), until))
        return {};
    return connection.readReply(until);
}

/// A machine of the deployment with at most one process.
struct Machine {
    std::string ip;
    std::string zone;
    bool isCore = false;
    pid_t process = -1;
};

/// The platform's side of a deployment like `klong-pair` with fewer entry machines: 3 zones, one core machine in each.
/// Starts the program that deploy/system.toml names, with the settings of deploy/settings.template. Not thread safe.
class Deployment {
public:
    Deployment(Record& record, std::filesystem::path folder, int entriesPerZone)
        : m_record(record)
        , m_folder(std::move(folder))
    {
        std::filesystem::create_directories(m_folder);
        std::random_device random;
        m_network = 100 + static_cast<int>(random() % 100);
        for (int zone = 1; zone <= 3; ++zone) {
            m_machines.push_back({ address(zone, 1), zoneName(zone), true });
            for (int i = 0; i < entriesPerZone; ++i)
                m_machines.push_back({ address(zone, 10 + i), zoneName(zone), false });
        }
        chooseFreePorts();
        m_template = contentOf("deploy/settings.template");
        auto system = contentOf("deploy/system.toml");
        auto at = system.find("run = \"");
        if (at == std::string::npos)
            throw std::runtime_error("deploy/system.toml names no program");
        at += 7;
        m_program = system.substr(at, system.find('"', at) - at);
    }
    ~Deployment()
    {
        for (auto& it : m_machines)
            kill(it);
    }
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Sets a field of the platform's settings for the processes that are started from now on.
    void setField(const std::string& name, std::string value) { m_fields[name] = std::move(value); }
    std::vector<Machine>& machines() { return m_machines; }
    std::vector<Machine*> core() { return select(true); }
    std::vector<Machine*> entries() { return select(false); }
    std::string controlAddress(const Machine& it) const { return it.ip + ":" + std::to_string(m_port); }
    std::string callerAddress(const Machine& it) const { return it.ip + ":" + std::to_string(m_port + 1); }
    std::string readyAddress(const Machine& it) const { return it.ip + ":" + std::to_string(m_port + 2); }
    std::string metricsAddress(const Machine& it) const { return it.ip + ":" + std::to_string(m_port + 5); }
    std::string leafAddress(int zone, int host) const
    {
        return address(zone, 100 + host) + ":" + std::to_string(m_port + 6);
    }
    static std::string zoneName(int zone) { return "bkk-" + std::string(1, static_cast<char>('a' + zone - 1)); }
    /// The core machine that reports itself as leader on its metrics address, or null. Cases use it only to choose whom
    /// to disturb.
    Machine* leader()
    {
        for (auto* it : core()) {
            auto text = it->process > 0 ? request(metricsAddress(*it), "GET", "/dump").body : std::string();
            auto at = text.find("\ncontrol ");
            if (at != std::string::npos
                && text.substr(at, text.find('\n', at + 1) - at).find(" leader cluster") != std::string::npos)
                return it;
        }
        return nullptr;
    }
    /// Waits for a leader; null if there is none in time.
    Machine* waitForLeader(seconds timeout)
    {
        auto until = SteadyClock::now() + timeout;
        Machine* found = nullptr;
        while (!(found = leader()) && SteadyClock::now() < until)
            std::this_thread::sleep_for(milliseconds(100));
        return found;
    }
    std::filesystem::path dataFolder(const Machine& it) const { return m_folder / ("data-" + it.ip); }
    std::filesystem::path logFile(const Machine& it) const { return m_folder / ("log-" + it.ip); }

    /// Starts the process of a machine. `isFirst`: the whole system starts for the first time.
    void start(Machine& machine, bool isFirst)
    {
        if (machine.isCore)
            std::filesystem::create_directories(dataFolder(machine));
        auto settings = m_folder / ("settings-" + machine.ip);
        std::ofstream(settings) << render(machine, isFirst);
        auto log = ::open(logFile(machine).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        auto variable = wireName("settings") + "=" + settings.string();
        auto path = "PATH=" + std::string(std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
        std::array<char*, 3> environment { variable.data(), path.data(), nullptr };
        std::array<char*, 2> arguments { m_program.data(), nullptr };
        auto process = ::fork();
        if (process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execve(m_program.c_str(), arguments.data(), environment.data());
            ::_exit(127);
        }
        ::close(log);
        machine.process = process;
        m_record.line("start " + machine.ip + " pid=" + std::to_string(process));
    }
    void startAll()
    {
        for (auto& it : m_machines)
            start(it, true);
    }
    void signal(const Machine& machine, int number)
    {
        m_record.line("signal " + std::to_string(number) + " to " + machine.ip);
        ::kill(machine.process, number);
    }
    /// Kills the process of a machine and waits for its end.
    void kill(Machine& machine)
    {
        if (machine.process <= 0)
            return;
        ::kill(machine.process, SIGKILL);
        ::waitpid(machine.process, nullptr, 0);
        machine.process = -1;
        m_record.line("killed " + machine.ip);
    }
    /// Whether the process of a machine still runs; if not, `machine.process` is cleared.
    bool isRunning(Machine& machine)
    {
        if (machine.process > 0 && ::waitpid(machine.process, nullptr, WNOHANG) == 0)
            return true;
        machine.process = -1;
        return false;
    }
    /// Empties the disk of a machine whose process does not run.
    void wipe(const Machine& machine)
    {
        std::filesystem::remove_all(dataFolder(machine));
        m_record.line("disk of " + machine.ip + " is empty now");
    }
    static std::string contentOf(const std::filesystem::path& path)
    {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        if (!file)
            throw std::runtime_error("cannot read " + path.string());
        return text.str();
    }

private:
    std::string address(int zone, int host) const
    {
        return "127." + std::to_string(m_network) + "." + std::to_string(zone) + "." + std::to_string(host);
    }
    std::vector<Machine*> select(bool isCore)
    {
        std::vector<Machine*> result;
        for (auto& it : m_machines) {
            if (it.isCore == isCore)
                result.push_back(&it);
        }
        return result;
    }
    static bool isFree(const std::string& ip, int port)
    {
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
        for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
            auto fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            bool ok = ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
            ::close(fd);
            if (!ok)
                return false;
        }
        return true;
    }
    void chooseFreePorts()
    {
        std::random_device random;
        for (int attempt = 0; attempt < 100; ++attempt) {
            m_port = 20000 + static_cast<int>(random() % 10000);
            bool all = true;
            for (const auto& it : m_machines) {
                for (int offset = 0; offset < 8; ++offset)
                    all = all && isFree(it.ip, m_port + offset);
            }
            if (all)
                return;
        }
        throw std::runtime_error("found no free ports");
    }
    /// Replaces the placeholders of the template by the fields that the platform states.
    std::string render(const Machine& machine, bool isFirst) const
    {
        std::string seeds;
        for (const auto& it : m_machines)
            seeds += it.isCore ? (seeds.empty() ? "" : ",") + controlAddress(it) : "";
        std::map<std::string, std::string> fields { { "ip", machine.ip }, { "node_name", "machine-" + machine.ip },
            { "zone", machine.zone }, { "region", "bkk" }, { "seeds", seeds },
            { "bootstrap", isFirst ? "true" : "false" }, { "internal_port_range.0", std::to_string(m_port + 3) },
            { "heartbeat_ms", "1200" }, { "fault_tolerance.machines", "1" }, { "bounds.grace_s", "6" },
            { "bounds.retry_budget_ratio", "0.2" }, { "bounds.retry_budget_slack", "54" },
            { "bounds.warmup_factor", "1.5" }, { "bounds.warmup_slack", "5" },
            { "limits.memory_mb", machine.isCore ? "256" : "260" }, { "limits.max_fds", "4096" } };
        if (machine.isCore) {
            fields["data_dir"] = dataFolder(machine).string();
            fields["bind_addrs.control"] = controlAddress(machine);
        } else {
            fields["bind_addrs.front"] = callerAddress(machine);
            fields["bind_addrs.ready"] = readyAddress(machine);
        }
        for (const auto& [name, value] : m_fields)
            fields[name] = value;
        std::string text;
        for (std::size_t at = 0; at < m_template.size();) {
            auto open = m_template.find("{{", at);
            text += m_template.substr(at, open - at);
            if (open == std::string::npos)
                break;
            auto end = m_template.find("}}", open);
            auto field = fields.find(m_template.substr(open + 2, end - open - 2));
            text += field == fields.end() ? "" : field->second;
            at = end + 2;
        }
        return text;
    }

    Record& m_record;
    std::filesystem::path m_folder;
    std::vector<Machine> m_machines;
    std::map<std::string, std::string> m_fields; // set by setField
    std::string m_template;
    std::string m_program;
    int m_network = 0;
    int m_port = 0;
};

/// Operator of the deployment. Sends an order again, to the next core machine, until it has a clear answer. Not thread
/// safe.
class Operator {
public:
    Operator(Record& record, Deployment& deployment)
        : m_record(record)
        , m_deployment(deployment)
    {
    }

    /// Puts a configuration. Returns whether it was acknowledged in time.
    bool put(const nlohmann::json& configuration, milliseconds timeout)
    {
        return order(
            "PUT", "/-/config", configuration.dump(), "version " + configuration.at("version").dump(), timeout);
    }
    bool order(const std::string& method, const std::string& path, const std::string& body, const std::string& name,
        milliseconds timeout)
    {
        auto until = SteadyClock::now() + timeout;
        while (SteadyClock::now() < until) {
            auto core = m_deployment.core();
            const auto& machine = *core[m_next++ % core.size()];
            if (machine.process <= 0)
                continue;
            auto reply = request(m_deployment.controlAddress(machine), method, path, body,
                { { "Content-Type", "application/json" } }, milliseconds(1500));
            m_record.line("operator " + method + " " + path + " " + name + " at " + machine.ip + " -> "
                + std::to_string(reply.status));
            if (reply.status == 200)
                return true;
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }
    /// Reads the configuration at one machine. Returns its version, or nothing without a 200.
    std::optional<std::uint64_t> read(const Machine& machine)
    {
        auto reply = request(m_deployment.controlAddress(machine), "GET", "/-/config");
        if (reply.status != 200) {
            m_record.line("operator GET /-/config at " + machine.ip + " -> " + std::to_string(reply.status));
            return std::nullopt;
        }
        auto version = reply.json().value("version", std::uint64_t { 0 });
        m_record.line("operator GET /-/config at " + machine.ip + " -> 200 version " + std::to_string(version));
        return version;
    }

private:
    Record& m_record;
    Deployment& m_deployment;
    std::size_t m_next = 0;
};

/// Folder for the files of a run, removed at the end unless KEEP=1 is set.
class RunFolder {
public:
    RunFolder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!::mkdtemp(pattern.data()))
            throw std::runtime_error("cannot create a temporary folder");
        m_path = pattern;
    }
    ~RunFolder()
    {
        std::error_code ignored;
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(m_path, ignored);
    }
    RunFolder(const RunFolder&) = delete;
    RunFolder& operator=(const RunFolder&) = delete;
    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

/// Runs a case and translates an exception into "could not run".
template <typename Case>
int runCase(const char* recordPath, Case&& body)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(recordPath);
    try {
        auto code = body(record);
        record.note(code == ruleBroken ? "RULE BROKEN" : code == ruleHeld ? "rule held" : "could not run");
        return code;
    } catch (const std::exception& error) {
        record.note(std::string("could not run: ") + error.what());
        return couldNotRun;
    }
}

} // namespace citronplank::review
