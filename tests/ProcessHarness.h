// Starts daemons and stand-ins as separate processes for system tests, sends them signals by process id, and reads
// their HTTP answers. Everything listens on loopback: 127.0.Z.N is a machine of zone Z.
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

/// Folder of the running test program, which holds the programs of the project too.
std::filesystem::path programFolder();

/// One child process. Its output goes to a file; the destructor kills it and waits for it.
class ChildProcess {
public:
    /// `environment`: "NAME=VALUE", besides those of this process.
    ChildProcess(const std::vector<std::string>& arguments, const std::filesystem::path& output,
        std::vector<std::string> environment = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;
    /// Waits for the end; returns the exit code, or 128 + signal number, or -1 after the timeout.
    int wait(std::chrono::milliseconds timeout);
    bool isRunning();

private:
    pid_t m_pid = -1;
    bool m_ended = false;
    int m_exitCode = -1;
};

/// Status and body of an HTTP answer; status 0 means that no answer came.
struct HttpResponse {
    int status = 0;
    std::string body;
    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

HttpResponse httpGet(const std::string& address, const std::string& path);
HttpResponse httpPost(const std::string& address, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers = {});

/// Polls until `condition` holds; returns whether it held before the timeout.
bool eventually(std::chrono::milliseconds timeout, const std::function<bool()>& condition);

/// Where one instance of a test cluster listens.
struct InstanceAddresses {
    std::string name;
    std::string zone;
    std::string caller;
    std::string admin;
    std::string link;
    std::string gossip;
    bool control = false;
};

/// A small Georgia: daemons of four zones with three control members, and stand-in leaves.
class Cluster {
public:
    /// `portBase` separates clusters of tests that run at the same time; 10 ports are used.
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
    /// For instances that are started from now on; the time that they serve on after SIGTERM.
    void setDrainDelay(std::string delay) { m_drainDelay = std::move(delay); }
    /// `tables` are stand-in leaf tables, one process hosts all of them.
    void startLeaves(const std::vector<std::string>& arguments);
    ChildProcess& process(const std::string& name) { return *m_processes.at(name); }
    void forget(const std::string& name) { m_processes.erase(name); }
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
