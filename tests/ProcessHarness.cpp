#include "tests/ProcessHarness.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <httplib.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace citronplank::testing {

namespace {

std::pair<std::string, int> splitAddress(const std::string& address)
{
    auto colon = address.rfind(':');
    return { address.substr(0, colon), std::stoi(address.substr(colon + 1)) };
}

HttpResponse toHttpResponse(const httplib::Result& result)
{
    if (!result)
        return {};
    return { result->status, result->body };
}

httplib::Client makeClient(const std::string& address)
{
    auto [host, port] = splitAddress(address);
    httplib::Client client(host, port);
    client.set_connection_timeout(2);
    client.set_read_timeout(15);
    return client;
}

/// Joins the parts with commas.
std::string join(const std::vector<std::string>& parts)
{
    std::string text;
    for (const auto& it : parts)
        text += (text.empty() ? "" : ",") + it;
    return text;
}

} // namespace

std::filesystem::path programFolder() { return std::filesystem::read_symlink("/proc/self/exe").parent_path(); }

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, const std::filesystem::path& output,
    std::vector<std::string> environment)
{
    for (char** it = environ; *it; ++it)
        environment.emplace_back(*it);
    std::vector<char*> envp;
    envp.reserve(environment.size() + 1);
    for (auto& it : environment)
        envp.push_back(it.data());
    envp.push_back(nullptr);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto& it : arguments)
        argv.push_back(const_cast<char*>(it.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // Otherwise the child would inherit open sockets.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    int ec = posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), envp.data());
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0)
        throw std::runtime_error("cannot start " + arguments[0] + ": " + std::strerror(ec));
}

ChildProcess::~ChildProcess()
{
    if (!m_hasExited) {
        ::kill(m_pid, SIGKILL);
        wait(std::chrono::seconds(10));
    }
}

void ChildProcess::signal(int number) const { ::kill(m_pid, number); }

int ChildProcess::wait(std::chrono::milliseconds timeout)
{
    auto end = std::chrono::steady_clock::now() + timeout;
    while (!m_hasExited) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_hasExited = true;
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        } else if (std::chrono::steady_clock::now() > end) {
            return -1;
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    return m_exitCode;
}

bool ChildProcess::isRunning() { return wait(std::chrono::milliseconds(0)) == -1 && !m_hasExited; }

HttpResponse httpGet(const std::string& address, const std::string& path)
{
    return toHttpResponse(makeClient(address).Get(path));
}

HttpResponse httpPost(const std::string& address, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers)
{
    httplib::Headers list(headers.begin(), headers.end());
    return toHttpResponse(makeClient(address).Post(path, list, body, "application/json"));
}

bool eventually(std::chrono::milliseconds timeout, const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return true;
}

Cluster::Cluster(std::string testName, int portBase)
    : m_testName(std::move(testName))
    , m_portBase(portBase)
    , m_folder(programFolder() / ("run-" + m_testName))
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    lastFolderOfProcess = m_folder;
    const std::vector<std::string> zones { "atl", "sav", "mac", "aug" };
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        for (int n = 1; n <= (zones[zone] == "aug" ? 1 : 2); ++n) {
            auto host = "127.0." + std::to_string(zone + 1) + "." + std::to_string(10 + n) + ":";
            auto at = [&](int offset) { return host + std::to_string(m_portBase + offset); };
            m_instances.push_back({ zones[zone] + "-" + std::to_string(n), zones[zone], at(0), at(1), at(2), at(3),
                n == 1 && zones[zone] != "aug" });
        }
    }
}

const InstanceAddresses& Cluster::instance(const std::string& name) const
{
    for (const auto& it : m_instances) {
        if (it.name == name)
            return it;
    }
    throw std::out_of_range("no instance with the name " + name);
}

std::string Cluster::leafControlAddress() const { return "127.0.0.1:" + std::to_string(m_portBase + 5); }

void Cluster::startInstance(const std::string& name)
{
    const auto& self = instance(name);
    std::vector<std::string> seeds;
    std::vector<std::string> members;
    for (const auto& it : m_instances) {
        seeds.push_back(it.gossip);
        if (it.isControlMember)
            members.push_back(it.name + "=" + it.link);
    }
    std::vector<std::string> arguments { (programFolder() / "citronplankd").string(), "--name", name, "--region",
        "georgia", "--zone", self.zone, "--caller-address", self.caller, "--admin-address", self.admin,
        "--link-address", self.link, "--gossip-address", self.gossip, "--seeds", join(seeds), "--control-members",
        join(members), "--drain-delay", m_drainDelay, "--rules", rulesFile(name).string() };
    if (self.isControlMember) {
        std::filesystem::create_directories(dataFolder(name));
        arguments.insert(arguments.end(), { "--data-dir", dataFolder(name).string() });
    }
    m_processes[name] = std::make_unique<ChildProcess>(arguments, m_folder / (name + ".log"));
}

void Cluster::startAllInstances()
{
    for (const auto& it : m_instances)
        startInstance(it.name);
}

void Cluster::startLeaves(const std::vector<std::string>& arguments)
{
    std::vector<std::string> commandLine { (programFolder() / "standin_leaf").string() };
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    m_processes["leaves"] = std::make_unique<ChildProcess>(commandLine, m_folder / "leaves.log");
}

bool Cluster::waitReady(const std::string& name, std::chrono::milliseconds timeout)
{
    return eventually(timeout, [&] { return httpGet(instance(name).admin, "/ready").status == 200; });
}

std::string Cluster::adminAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& it : m_instances)
        addresses.push_back(it.admin);
    return join(addresses);
}

std::string Cluster::callerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& it : m_instances)
        addresses.push_back(it.caller);
    return join(addresses);
}

} // namespace citronplank::testing
