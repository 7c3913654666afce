// Runs daemons and stand-ins as child processes of system tests, sends them signals and HTTP requests. All processes
// listen on loopback addresses: 127.0.Z.N represents a host in zone Z.
#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace citronplank::testing {

/// Folder of the running test program, which also contains the other programs of the project.
std::filesystem::path programFolder();

/// A child process whose output is appended to a file. The destructor kills it and waits for its exit.
class ChildProcess {
public:
    /// `environment`: variables as "NAME=VALUE", in addition to the environment of this process.
    ChildProcess(const std::vector<std::string>& arguments, const std::filesystem::path& output,
        std::vector<std::string> environment = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;
    /// Waits for the exit; returns the exit code, 128 + signal number, or -1 after the timeout.
    int wait(std::chrono::milliseconds timeout);
    bool isRunning();

private:
    pid_t m_pid = -1;
    bool m_hasExited = false;
    int m_exitCode = -1;
};

/// Status and body of an HTTP response; status 0 if there was no response.
struct HttpResponse {
    int status = 0;
    std::string body;
    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

HttpResponse httpGet(const std::string& address, const std::string& path);
HttpResponse httpPost(const std::string& address, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers = {});

/// Polls until `condition` returns true; returns false after the timeout.
bool eventually(std::chrono::milliseconds timeout, const std::function<bool()>& condition);

/// Listening addresses of an instance of a test cluster.
struct InstanceAddresses {
    std::string name;
    std::string zone;
    std::string caller;
    std::string admin;
    std::string link;
    std::string gossip;
    bool isControlMember = false;
};

/// A test cluster of one region: daemons in four zones, three of them control members, and stand-in leaves.
class Cluster {
public:
    /// Uses 10 ports from `portBase`. Tests that run concurrently need different ports.
    Cluster(std::string testName, int portBase);

    const std::vector<InstanceAddresses>& instances() const { return m_instances; }
    const InstanceAddresses& instance(const std::string& name) const;
    const std::filesystem::path& folder() const { return m_folder; }
    std::filesystem::path dataFolder(const std::string& name) const { return m_folder / ("data-" + name); }
    std::filesystem::path rulesFile(const std::string& name) const { return m_folder / ("rules-" + name); }
    std::filesystem::path journal() const { return m_folder / "journal.jsonl"; }
    std::string leafControlAddress() const;
    int leafPort() const { return m_portBase + 6; }

    void startInstance(const std::string& name);
    void startAllInstances();
    /// Sets how long instances continue to serve after SIGTERM. Applies to instances that are started later.
    void setDrainDelay(std::string delay) { m_drainDelay = std::move(delay); }
    /// Starts one `standin_leaf` process, which hosts all leaves.
    void startLeaves(const std::vector<std::string>& arguments);
    ChildProcess& process(const std::string& name) { return *m_processes.at(name); }
    void removeProcess(const std::string& name) { m_processes.erase(name); }
    bool waitReady(const std::string& name, std::chrono::milliseconds timeout = std::chrono::seconds(20));
    std::string adminAddresses() const;
    std::string callerAddresses() const;

private:
    std::string m_testName;
    int m_portBase;
    std::string m_drainDelay = "500ms";
    std::filesystem::path m_folder;
    std::vector<InstanceAddresses> m_instances;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
};

} // namespace citronplank::testing
