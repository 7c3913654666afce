// Issues requests in a closed or open loop and records the replies. Not thread safe.
#pragma once

#include "standins/load/Statistics.h"

#include <asio.hpp>
#include <cstdio>
#include <memory>
#include <random>

namespace standins {

struct LoadSettings {
    std::vector<std::string> services { "loandesk" };      // each query chooses one at random, uniformly
    std::vector<std::string> keyedServices { "loandesk" }; // likewise for each keyed request
    std::string keyedOperation = "charge";                 // operation of keyed requests
    double keyedShare = 0;                                 // fraction of requests that are keyed
    double echoShare = 0; // fraction of queries with operation echo, whose parts must return the nonce of the request
    int customers = 5;    // number of customers, named customer-0, customer-1, ...
    double rate = 0;      // requests per second; 0: closed loop
    int concurrency = 4;  // concurrent requests of the closed loop
    int resends = 2;      // maximum for a keyed request without a final outcome; resends have the same key
    std::chrono::milliseconds deadline { 1000 };
    std::chrono::milliseconds duration { 10'000 }; // of the run, including the warm-up
    std::chrono::milliseconds warmUp { 0 };        // initial time that is excluded from the totals
    std::string body = "standin-load";             // prefix of each body; a random suffix makes it unique
    std::string history; // file to append a JSON line to for each attempt of a keyed request; empty: none
    std::uint64_t seed = 1;
};

class Generator {
public:
    /// `sender` must outlive the generator. Throws std::runtime_error if the history file cannot be opened.
    Generator(asio::io_context& io, LoadSettings settings, Sender& sender);
    /// Runs the io_context and issues requests for `duration`, then waits for the outstanding replies.
    void run();
    /// Issues no more requests; `run` returns after the outstanding replies. Must be called on the thread of the
    /// io_context.
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
