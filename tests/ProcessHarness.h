// Runs daemons and stand-ins as child processes of system tests, and sends them signals and HTTP requests. All
// processes listen on loopback addresses: 127.0.Z.N represents a host in zone Z.
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

/// A child process whose standard output and error are appended to a file. The destructor kills it and waits for its
/// exit. Not thread safe.
class ChildProcess {
public:
    /// Starts the program at the path `arguments[0]`. `environment`: variables as "NAME=VALUE", in addition to the
    /// environment of this process. Throws std::runtime_error if the program cannot be started.
    ChildProcess(const std::vector<std::string>& arguments, const std::filesystem::path& output,
        std::vector<std::string> environment = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;
    pid_t pid() const { return m_pid; }
    /// Waits for the exit. Returns the exit code, 128 + signal number if a signal ended the process, or -1 after the
    /// timeout.
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
    /// The parsed body; a discarded value if it is not JSON.
    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// Sends a GET request to `address`, which is IP:PORT, and waits for the response: up to 2 s for the connection and up
/// to 15 s for each read. Thread safe.
HttpResponse httpGet(const std::string& address, const std::string& path);
/// Sends a POST request with a JSON body; otherwise like httpGet().
HttpResponse httpPost(const std::string& address, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers = {});

/// Polls `condition` every 50 ms, and at least once, until it returns true; returns false after the timeout.
bool eventually(std::chrono::milliseconds timeout, const std::function<bool()>& condition);

/// Listening addresses of an instance of a test cluster, as IP:PORT.
struct InstanceAddresses {
    std::string name;
    std::string zone;
    std::string caller;
    std::string admin;
    std::string link;
    std::string gossip;
    bool isControlMember = false;
};

/// A test cluster of one region: seven daemons in four zones, three of them control members, and stand-in leaves. Its
/// files are in the folder run-TESTNAME beside the test program. Not thread safe, except for the const functions.
class Cluster {
public:
    /// Removes the files of an earlier run of the same test; starts no process. Uses 10 ports from `portBase`; tests
    /// that run concurrently need different ports.
    Cluster(std::string testName, int portBase);

    const std::vector<InstanceAddresses>& instances() const { return m_instances; }
    /// Throws std::out_of_range if there is no instance with this name.
    const InstanceAddresses& instance(const std::string& name) const;
    const std::filesystem::path& folder() const { return m_folder; }
    /// Folder of the cluster that this process created last; empty if there is none. Not thread safe.
    static const std::filesystem::path& lastFolder() { return lastFolderOfProcess; }
    std::filesystem::path dataFolder(const std::string& name) const { return m_folder / ("data-" + name); }
    std::filesystem::path rulesFile(const std::string& name) const { return m_folder / ("rules-" + name); }
    std::filesystem::path journal() const { return m_folder / "journal.jsonl"; }
    /// Address of the control endpoint of the stand-in leaves, as IP:PORT.
    std::string leafControlAddress() const;
    /// Port on which the leaves of all zones listen.
    int leafPort() const { return m_portBase + 6; }

    /// Starts the daemon of an instance; does not wait until it is ready. A process of the instance that still runs is
    /// killed after the start.
    void startInstance(const std::string& name);
    void startAllInstances();
    /// Sets how long instances continue to serve after SIGTERM, with a unit, such as "500ms". Applies to instances that
    /// are started later.
    void setDrainDelay(std::string delay) { m_drainDelay = std::move(delay); }
    /// Starts one `standin_leaf` process named "leaves", which hosts all leaves.
    void startLeaves(const std::vector<std::string>& arguments);
    /// The last started process of an instance, or "leaves". Throws std::out_of_range if there is none.
    ChildProcess& process(const std::string& name) { return *m_processes.at(name); }
    /// Kills the process if it is still running.
    void removeProcess(const std::string& name) { m_processes.erase(name); }
    /// Waits until the instance reports that it is ready; returns false after the timeout.
    bool waitReady(const std::string& name, std::chrono::milliseconds timeout = std::chrono::seconds(20));
    /// Addresses of all instances, separated by commas.
    std::string adminAddresses() const;
    std::string callerAddresses() const;

private:
    std::string m_testName;
    int m_portBase;
    std::string m_drainDelay = "500ms";
    std::filesystem::path m_folder;
    std::vector<InstanceAddresses> m_instances;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
    inline static std::filesystem::path lastFolderOfProcess;
};

} // namespace citronplank::testing
