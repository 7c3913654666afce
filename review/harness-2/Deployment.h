// A small deployment: the project's program as separate processes on loopback addresses, the leaves that report to it,
// and its operator. The names of the platform are read from names.txt.
#pragma once

#include "review/harness-2/Http.h"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sys/types.h>
#include <thread>

namespace review {

/// The names by which the platform calls headers, fields and variables, by what they mean here.
class Names {
public:
    /// Throws std::runtime_error if the file cannot be read.
    explicit Names(const std::filesystem::path& file);
    /// Throws std::out_of_range if the name is not in the file.
    const std::string& operator[](const std::string& meaning) const { return m_names.at(meaning); }

private:
    std::map<std::string, std::string> m_names;
};

/// Writes what was sent, answered and run to a file, with the milliseconds since its start. Thread safe.
class Record {
public:
    explicit Record(const std::filesystem::path& file);
    void add(const std::string& line);
    std::int64_t millisecondsOf(Clock::time_point) const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/// A request that has arrived at a leaf.
struct Arrival {
    Clock::time_point at;
    std::string leaf;
    std::uint64_t startedAt = 0; // of the leaf, ms since 1970
    std::string request;
    bool ran = false;     // the leaf has begun to work on it
    bool hasKey = false;  // it carries the key of a customer
    std::string customer; // that the system names in it
};

struct LeafSettings {
    std::string name;
    std::string service;
    std::string zone;
    std::string address;
    int slots = 2;
    milliseconds work { 6 };
    /// Whether the leaf crashes when it begins to run the request. Null: it never does.
    std::function<bool(const HttpMessage&)> crashesOn {};
    /// While it is cold, it crashes at more requests in a second than this. 0: it never does.
    int coldCrashRate = 0;
};

/// A stand-in leaf. Each call of `start` begins a new lifetime at the same address. Thread safe.
class Leaf {
public:
    Leaf(LeafSettings, const Names&, Record&);
    ~Leaf();
    Leaf(const Leaf&) = delete;
    Leaf& operator=(const Leaf&) = delete;

    /// Listens and, if `coldFor` is not 0, is cold for that time. Precondition: it does not run.
    void start(milliseconds coldFor);
    /// Changes the name for the next lifetime. Precondition: it does not run.
    void rename(const std::string& name);
    /// Whether it has begun to run a request on which it crashes; it then answers nothing until `crash` is called.
    bool isCrashing() const { return m_isCrashing; }
    /// Ends the lifetime without a report: closes the listener and all connections.
    void crash();
    /// Becomes cold, or stays so, until `duration` from now.
    void becomeCold(milliseconds duration);
    bool isRunning() const { return m_isRunning; }
    LeafSettings settings() const;
    /// The body of a report in its current lifetime.
    std::string report(const std::string& state);
    std::vector<Arrival> arrivals() const;
    /// The times from which and until which it was cold.
    std::vector<std::pair<Clock::time_point, Clock::time_point>> coldTimes() const;

private:
    void accept();
    void serve(const std::shared_ptr<Socket>&);
    std::string answer(const HttpMessage&);
    milliseconds coldLeft() const;
    bool isOverloadedWhileCold() const;

    LeafSettings m_settings;
    const Names& m_names;
    Record& m_record;
    mutable std::mutex m_mutex;
    std::atomic<bool> m_isRunning { false };
    std::atomic<bool> m_isCrashing { false };
    Socket m_listener;
    std::thread m_acceptThread;
    std::set<std::shared_ptr<Socket>> m_connections;
    std::vector<std::thread> m_threads;
    std::uint64_t m_startedAt = 0;
    std::uint64_t m_sequence = 0;
    std::vector<std::pair<Clock::time_point, Clock::time_point>> m_coldTimes;
    std::vector<Arrival> m_arrivals;
};

/// Ends the lifetime of a leaf that is crashing, and may start it again. Thread safe.
class Supervisor {
public:
    /// After `downTime` the leaf starts under a new name and is cold for `coldFor`. If `downTime` is absent, it stays
    /// down.
    Supervisor(Leaf&, std::optional<milliseconds> downTime, milliseconds coldFor);
    ~Supervisor();
    Supervisor(const Supervisor&) = delete;
    Supervisor& operator=(const Supervisor&) = delete;
    int crashes() const { return m_crashes; }

private:
    void run(std::optional<milliseconds> downTime, milliseconds coldFor);

    Leaf& m_leaf;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_crashes { 0 };
    std::thread m_thread;
};

/// Reports a leaf to the control members in intervals while it runs. Reports can be delayed. Thread safe.
class Reporter {
public:
    Reporter(Leaf&, std::vector<std::string> controlAddresses, milliseconds interval, Record&);
    ~Reporter();
    Reporter(const Reporter&) = delete;
    Reporter& operator=(const Reporter&) = delete;
    /// Reports begin at this time at the earliest.
    void delayUntil(Clock::time_point);

private:
    void run();
    void reportOnce();

    Leaf& m_leaf;
    std::vector<std::string> m_controlAddresses;
    milliseconds m_interval;
    Record& m_record;
    std::atomic<bool> m_stopped { false };
    std::atomic<Clock::time_point> m_notBefore { Clock::time_point() };
    std::size_t m_turn = 0;
    std::thread m_thread;
};

/// One process of the deployment.
struct Instance {
    std::string name; // its IP address
    std::string zone;
    bool isControl = false;
    pid_t pid = -1;
};

/// Starts and signals the processes. The destructor kills those that still run. Not thread safe.
class Deployment {
public:
    /// `root` is the repository, `folder` an empty one for settings, logs and data. Uses three control members and
    /// `entries` entry instances in as many zones.
    Deployment(std::filesystem::path root, std::filesystem::path folder, const Names&, int entries);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    void startAll();
    void start(Instance&, bool isFirstStart);
    void signal(const Instance&, int number);
    std::vector<Instance>& instances() { return m_instances; }
    std::vector<std::string> controlAddresses() const;
    std::vector<std::string> callerAddresses() const;
    /// A free "IP:PORT" for a leaf.
    std::string leafAddress();
    static std::string zoneName(int number) { return "zone-" + std::to_string(number); }
    /// Sends a configuration until it is acknowledged; returns whether that was within `timeout`.
    bool putConfiguration(const std::string& text, milliseconds timeout);
    /// Waits until all entry instances are ready; returns whether that was within `timeout`.
    bool waitReady(milliseconds timeout);

    /// Sets a value of the settings template, such as "bounds.grace_s". Precondition: before the start.
    void setValue(const std::string& name, const std::string& value) { m_values[name] = value; }

private:
    std::string render(const Instance&, bool isFirstStart) const;

    std::filesystem::path m_root;
    std::filesystem::path m_folder;
    const Names& m_names;
    int m_port;    // first port of all instances
    int m_network; // second number of their addresses
    int m_lastLeaf = 0;
    std::map<std::string, std::string> m_values;
    std::vector<Instance> m_instances;
};

} // namespace review
