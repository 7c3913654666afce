// Callers of the entry instances, and the program frame of a case.
#pragma once

#include "review/harness-2/Deployment.h"

#include <functional>

namespace review {

/// What a caller sent and got.
struct Call {
    std::string id;
    Clock::time_point sentAt;
    int status = 0; // 0: no complete response
};

/// Sends requests at a constant rate, each on a new connection, to the entry instances in turn. Thread safe.
class Callers {
public:
    Callers(std::vector<std::string> addresses, Record&);
    ~Callers() { stop(); }
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    /// Starts sending GET requests for `target` to `host`. `headers` holds further complete header lines.
    void start(std::string host, std::string target, std::string headers, double perSecond, milliseconds timeout);
    /// Sends one request and waits for its response.
    Call sendOnce(const std::string& address, const std::string& host, const std::string& target,
        const std::string& headers, milliseconds timeout);
    /// Stops sending and waits for the responses.
    void stop();
    std::vector<Call> calls() const;

private:
    std::vector<std::string> m_addresses;
    Record& m_record;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::vector<Call> m_calls;
};

/// Text of a configuration with one route to a service, of the kind that the platform's pages show. While one of its
/// leaves is cold, it tolerates `coldRate` requests a second.
std::string configurationOf(int version, const std::string& service, int coldRate = 0);

/// The parts that a case uses.
struct Setup {
    std::filesystem::path root;
    std::filesystem::path folder;
    const Names& names;
    Record& record;
    bool hasTrouble = true; // false: the same without the disruption
};

enum class Verdict : std::uint8_t { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Runs a case with the arguments ROOT FOLDER RECORD and returns its exit code.
int runCase(int argc, char** argv, const std::function<Verdict(Setup&)>& run);

/// The largest number of requests that were sent and arrived within one second while the leaf was cold, with the start
/// of that second.
std::pair<int, Clock::time_point> maxArrivalsWhileCold(const Leaf&, const std::vector<Call>&);

} // namespace review
