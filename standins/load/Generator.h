// Issues requests in a closed or open loop and records the replies. Not thread safe.
#pragma once

#include "standins/load/Statistics.h"

#include <asio.hpp>
#include <cstdio>
#include <memory>
#include <random>

namespace standins {

struct LoadSettings {
    std::vector<std::string> services { "loandesk" };      // of queries; chosen uniformly
    std::vector<std::string> keyedServices { "loandesk" }; // of keyed requests
    std::string keyedOperation = "charge";
    double keyedShare = 0; // fraction of keyed requests
    double echoShare = 0;  // fraction of queries that check whether each part returns the nonce of the request
    int customers = 5;     // named customer-0, customer-1, ...
    double rate = 0;       // requests per second; 0: closed loop
    int concurrency = 4;   // concurrent requests of the closed loop
    int resends = 2;       // of a keyed request without a final outcome, with the same key
    std::chrono::milliseconds deadline { 1000 };
    std::chrono::milliseconds duration { 10'000 };
    std::chrono::milliseconds warmUp { 0 };
    std::string body = "standin-load"; // prefix of each body
    std::string history;               // file for keyed requests, one JSON line per attempt
    std::uint64_t seed = 1;
};

class Generator {
public:
    Generator(asio::io_context& io, LoadSettings settings, Sender& sender);
    /// Sends requests for `duration`, then waits for the outstanding replies.
    void run();
    /// Ends the run early. Must be called on the thread of the io_context.
    void stop();
    const Statistics& statistics() const { return m_statistics; }

private:
    using Clock = std::chrono::steady_clock;
    struct PendingRequest {
        LoadRequest request;
        Clock::time_point due; // scheduled time of the first attempt
        int resends = 0;       // so far
    };
    struct FileCloser {
        void operator()(std::FILE* file) const { std::fclose(file); }
    };

    void scheduleNext();
    void issue(Clock::time_point due);
    void send(const std::shared_ptr<PendingRequest>& pending);
    void onReply(const std::shared_ptr<PendingRequest>& pending, const LoadReply& reply, Clock::time_point sentAt);
    void writeHistory(
        const PendingRequest& pending, const LoadReply& reply, const Verdict& verdict, Clock::time_point sentAt);
    bool hasEnded() const { return Clock::now() >= m_start + m_settings.duration; }
    double drawFraction() { return std::uniform_real_distribution<double>()(m_random); }
    std::string chooseName(const std::vector<std::string>& names) { return names[m_random() % names.size()]; }

    asio::io_context& m_io;
    LoadSettings m_settings;
    Sender& m_sender;
    Clock::time_point m_start;
    Statistics m_statistics;
    AnswerCheck m_check;
    std::mt19937_64 m_random;
    asio::steady_timer m_timer;
    Clock::time_point m_nextDue;
    std::unique_ptr<std::FILE, FileCloser> m_history;
    std::uint64_t m_issued = 0;
    std::uint64_t m_outstanding = 0;
};

} // namespace standins
