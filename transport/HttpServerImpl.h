// Implementation classes of HttpServer.
#pragma once

#include "policy/ConnectionShedding.h"
#include "transport/ResponderState.h"

#include <asio.hpp>
#include <atomic>
#include <http_parser.h>
#include <mutex>
#include <unordered_map>

namespace citronplank {

/// What the connections of a server share. Thread safe, except for the methods that run on the acceptor's strand.
class HttpServer::Shared : public std::enable_shared_from_this<HttpServer::Shared> {
public:
    using Strand = asio::strand<asio::io_context::executor_type>;
    using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;

    Shared(asio::io_context&, HttpServerSettings, Handler);

    void bind();
    void accept();
    void closeAcceptor();
    void finish(std::function<void()> done);
    void shutDown();
    void remove(std::uint64_t id);
    /// Called when much of the memory budget is used. From then on, until little is used, connections without progress
    /// are closed while it is short, and waiting ones are resumed. Then free memory is returned to the system.
    void watchMemory();
    template <typename Change>
    void count(Change change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_counters);
    }
    HttpServerCounters counters();

    std::shared_ptr<const HttpServerSettings> settings() const { return m_currentSettings; }
    void setLimits(const CallerLimits&);
    MemoryBudget& memory() const { return *m_settings.memory; }
    const Handler& handler() const { return m_handler; }
    const std::string& address() const { return m_address; }
    bool isDraining() const { return m_draining; }
    bool isFinishing() const { return m_finishing; }
    bool isStopped() const { return m_stopped; }
    void beginDrain() { m_draining = true; }

private:
    /// Owns a connection from its accept until it is closed, whether or not an operation of it is pending.
    struct Entry {
        std::shared_ptr<Connection> connection; // null after `shutDown`, whose posted calls own it
        asio::ip::address peer;
    };

    void accepted(Socket&&);
    std::shared_ptr<Connection> connectionToReplace(const asio::ip::address& peer, TimePoint now);
    bool isBeyondLimit(const asio::ip::address& peer) const;
    std::vector<std::shared_ptr<Connection>> connections();
    void onMemoryTimer();

    asio::io_context& m_io;
    HttpServerSettings m_settings;
    std::atomic<std::shared_ptr<const HttpServerSettings>> m_currentSettings; // m_settings with the current limits
    Handler m_handler;
    std::string m_address;
    asio::basic_socket_acceptor<asio::ip::tcp, Strand> m_acceptor;
    asio::ip::tcp::endpoint m_acceptedPeer; // of the pending accept
    asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Strand> m_retryTimer;
    asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Strand> m_memoryTimer;
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_finishing { false };
    std::atomic<bool> m_stopped { false };
    std::atomic<bool> m_watchesMemory { false }; // m_memoryTimer runs

    std::mutex m_mutex; // guards the members below; never held across I/O or a callback
    std::unordered_map<std::uint64_t, Entry> m_connections;
    std::map<asio::ip::address, std::size_t> m_perPeer; // number of connections
    std::uint64_t m_lastId = 0;
    HttpServerCounters m_counters;
    std::function<void()> m_done;
};

/// One connection of a caller. Every method runs on its strand, except for those that say otherwise.
class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
public:
    using Strand = Shared::Strand;

    Connection(std::shared_ptr<Shared>, Shared::Socket&&, std::uint64_t id);

    Strand strand() { return m_socket.get_executor(); }
    void start();
    /// Responds to a connection beyond the limit without parsing a request, and closes it.
    void reject();
    void finish();
    void close();
    /// Closes the connection to release its memory, unless its request is being handled. If a request was being
    /// received, its caller gets an error response.
    void shed();
    /// Closes the connection at once to make room for another, unless its request is being handled.
    void replace();
    /// Continues a connection that waits for room in the memory budget, or refuses its request if it has waited for
    /// too long.
    void resume();
    /// Whether the connection waits for room in the memory budget. Thread safe.
    bool isWaitingForMemory() const { return m_waitsForMemory; }
    /// The state for the choice of connections to close; nothing while a request is handled. Thread safe.
    std::optional<StalledConnection> stalled() const;

private:
    enum class Phase : std::uint8_t { Idle, Header, Body, Handling, Writing, Lingering, Closed };

    static Connection& connectionOf(http_parser* parser) { return *static_cast<Connection*>(parser->data); }
    static const http_parser_settings& callbacks();
    static int onText(http_parser*, std::string& destination, const char* at, std::size_t n);
    static int onHeaderField(http_parser*, const char* at, std::size_t n);
    static int onBody(http_parser*, const char* at, std::size_t n);

    void beginRequest();
    void read();
    void onReadable(const std::error_code&);
    void received(std::string_view);
    void inputEnded();
    std::size_t readLimit() const;
    void parse(std::string_view);
    int headersComplete();
    bool hasCallerClosed();
    void handle();
    void refuse(ErrorKind, std::string_view message);
    void write(const HttpResponse&, bool close);
    void writeDone(const std::error_code&, bool close);
    void linger();
    void updateCharge();
    void recordProgress(std::size_t n);
    void setTimeout(Phase, milliseconds);
    void timedOut();

    std::shared_ptr<Shared> m_shared;
    Shared::Socket m_socket;
    asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Strand> m_timer;
    std::uint64_t m_id;
    std::atomic<Phase> m_phase { Phase::Idle };
    bool m_reading = false; // waits until the socket is readable
    std::atomic<bool> m_waitsForMemory { false };
    TimePoint m_waitsSince; // of m_waitsForMemory
    bool m_closeAfterResponse = false;
    bool m_lastHeaderWasValue = false;
    bool m_hasMessage = false;                                       // the request is complete
    std::size_t m_headerBytes = 0;                                   // of the target and the header names and values
    std::size_t m_requestBytes = 0;                                  // that the handled request holds
    std::optional<std::pair<ErrorKind, std::string_view>> m_refusal; // why a parser callback refused the request
    http_parser m_parser {};
    std::string m_input; // received and not yet parsed
    std::string m_output;
    HttpRequest m_request;
    std::weak_ptr<Responder::State> m_responder;
    MemoryCharge m_charge;
    std::size_t m_sinceProgress = 0; // bytes since m_progressAt
    std::atomic<TimePoint> m_progressAt { Clock::now() };
};

} // namespace citronplank
