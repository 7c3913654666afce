// Distributes requests over entry instances like a load balancer. Not thread safe.
#pragma once

#include "standins/HttpClient.h"
#include "standins/load/Request.h"

#include <optional>
#include <vector>

namespace standins {

/// Selects entry instances in round-robin order. Skips an instance while its readiness endpoint (if given) does not
/// return 200, and for 1 s after a refused connection; if all are to be skipped, uses the next one anyway. A request
/// whose connection was refused is sent to the next instance, because nothing of it has been transmitted. Must exist as
/// long as the io_context runs.
class EntrySender : public Sender {
public:
    /// Each entry is "IP:PORT" or "IP:PORT/IP:PORT"; the second address is the administration address for readiness
    /// checks. Throws std::invalid_argument on a malformed address or an empty list.
    EntrySender(asio::io_context& io, const std::vector<std::string>& entries);
    void send(const LoadRequest& request, Callback callback) override;

private:
    struct Entry {
        tcp::endpoint address;
        std::optional<tcp::endpoint> adminAddress;
        std::string name;                              // caller address as given
        std::vector<std::shared_ptr<HttpClient>> idle; // open connections without a request
        std::chrono::steady_clock::time_point skipUntil;
        bool isReady = true;
    };
    struct Exchange {
        LoadRequest request;
        Callback callback;
        std::string target, headers, body;
        std::size_t attemptsLeft = 0; // initially the number of entry instances
    };

    Entry& chooseEntry();
    /// Sends the request to the next entry instance, on an idle connection if there is one.
    void attempt(const std::shared_ptr<Exchange>& exchange);
    void finish(const std::shared_ptr<Exchange>& exchange, Entry& entry, const std::shared_ptr<HttpClient>& client,
        const HttpResult& result);
    void checkReadiness();

    asio::io_context& m_io;
    std::vector<Entry> m_entries;
    std::size_t m_next = 0; // position in the round-robin order; modulo the number of entries
    asio::steady_timer m_readinessTimer;
};

} // namespace standins
