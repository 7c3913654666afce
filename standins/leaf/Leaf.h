// A stand-in leaf: an HTTP server that simulates the execution of query parts on a few slots, with fault injection.
// Not thread safe.
#pragma once

#include "standins/HttpServer.h"
#include "standins/leaf/Journal.h"
#include "standins/leaf/LeafSettings.h"

#include <chrono>
#include <optional>

namespace standins {

/// Injected faults; they can be changed at run time.
struct LeafFaults {
    double straggleRate = 0; // fraction of parts that take `straggleMs` longer
    double straggleMs = 200;
    double shedRate = 0;            // fraction of parts that are shed although a slot is free
    double failRate = 0;            // fraction of parts that run and end with status 500
    bool announces = true;          // false: serves requests but sends no announcements
    bool reportsTrueHealth = false; // false: the health page always reports a warm leaf with little load
    double restartMs = 1000;        // delay between a crash and the next boot
    double hangMs = 500;            // time without any response between fallOver() and the crash
    double coldShedMs = 1000;       // after fallBackToCold(), parts in excess of the capacity are shed for this long
    std::string crashMarker = "crash-back-end"; // a part whose body contains it crashes the leaf
};

/// Simulates a server process that boots, crashes and boots again; a run lasts from a boot to the crash or stop.
/// The capacity is the number of parts that it can execute concurrently: 1 after a boot or a return to cold start, plus
/// one for every `ramp` completed parts, up to the number of slots. A warm leaf sheds parts in excess of its slots
/// (429). A cold leaf that receives more parts than its capacity falls over: it stops responding, crashes and reboots.
/// `journal` must outlive the leaf, and the leaf must exist as long as the io_context runs.
class Leaf {
public:
    Leaf(asio::io_context& io, LeafSettings settings, Journal& journal, std::uint64_t seed);

    /// Opens the listening socket with cold capacity. No effect while the leaf runs. Throws asio::system_error if its
    /// address is in use.
    void boot();
    /// Resets all connections and boots again after `restartMs`. No effect unless the leaf runs.
    void crash();
    /// Stops responding for `hangMs`, then crashes. No effect unless the leaf is serving.
    void fallOver();
    /// Resets the capacity to 1 without a reboot. For `coldShedMs`, parts in excess of the capacity are shed; after
    /// that, such a part makes the leaf fall over.
    void fallBackToCold();
    /// Announces itself as draining and rejects new parts with 503; stops without a reboot after `exitAfter`.
    void drain(std::chrono::milliseconds exitAfter);
    /// Resets all connections and stays down until the next `boot`.
    void stop();
    /// Stops all reads and writes on the connections that are open now without closing them; new connections work.
    void silenceConnections();
    /// Adds the leaf's shard of an index version with `shards` shards. Older versions are removed `keep` after the last
    /// call.
    void repartition(std::uint64_t version, std::uint32_t shards, std::chrono::milliseconds keep);

    LeafFaults& faults() { return m_faults; }
    void setServiceTime(const ServiceTime& time) { m_settings.service.time = time; }
    const LeafSettings& settings() const { return m_settings; }
    bool isAnnouncing() const { return m_state == State::Serving && m_faults.announces; }
    /// Returns the body of the next announcement and increments its sequence number.
    std::string nextAnnouncement();
    /// Returns the state as the text of a JSON object.
    std::string describe() const;

private:
    enum class State : std::uint8_t { Down, Serving, Hanging, Stopped };
    struct ShardVersion {
        std::uint64_t version = 0;
        std::uint32_t shard = 0;
        std::uint32_t shardCount = 0; // number of shards of the version
    };
    struct Part {
        std::shared_ptr<HttpSession> session;
        HttpMessage request;
        ShardVersion shard;
        std::string operation;
        std::unique_ptr<asio::steady_timer> timer;
        std::chrono::steady_clock::time_point deadline;
        bool isRunning = false;
        bool isOver = false;
    };
    using PartPointer = std::shared_ptr<Part>;

    void onAccept(const std::shared_ptr<HttpSession>& session);
    void handle(const HttpMessage& request, const std::shared_ptr<HttpSession>& session);
    void handlePart(const HttpMessage& request, const std::shared_ptr<HttpSession>& session);
    /// Decides about a part that found no free slot, after `slotWaitMs`; may also make a cold leaf fall over.
    void startOrShed(const PartPointer& part);
    void startPart(const PartPointer& part);
    void complete(const PartPointer& part, const char* result);
    void refuse(const PartPointer& part, int status, const char* reason);
    void onSessionClosed(HttpSession* session);
    /// Ends the run of the simulated process: closes the server and all connections and journals `event`.
    void endRun(const char* event);
    void schedulePartTimer(const PartPointer& part, double ms, std::function<void()> action);
    static void endPart(Part& part);
    void scheduleRunTimer(double ms, std::function<void()> action);
    double drawServiceTime();
    bool drawBool(double rate) { return rate > 0 && std::uniform_real_distribution<double>()(m_random) < rate; }
    bool isCold() const { return m_capacity < m_settings.service.slots; }
    void writeJournal(const char* event, const char* result = "", const Part* part = nullptr);
    std::string responseBody(const Part& part) const;

    asio::io_context& m_io;
    LeafSettings m_settings;
    Journal& m_journal;
    std::mt19937_64 m_random;
    HttpServer m_server;
    asio::steady_timer m_runTimer; // for the next boot, or the end of hanging or draining
    asio::steady_timer m_oldVersionsTimer;
    LeafFaults m_faults;
    State m_state = State::Down;
    std::set<std::shared_ptr<HttpSession>> m_sessions;
    std::map<HttpSession*, PartPointer> m_parts;           // waiting or running, one per session
    std::vector<ShardVersion> m_versions;                  // that it can serve; the newest last
    std::chrono::steady_clock::time_point m_nextConnectAt; // end of the last connection setup; one runs at a time
    std::chrono::steady_clock::time_point m_coldShedUntil;
    std::uint64_t m_boot = 0;     // time of the last boot in microseconds since the Unix epoch
    std::uint64_t m_sequence = 0; // of the last announcement since the boot
    std::uint32_t m_inFlight = 0; // running parts
    std::uint32_t m_capacity = 1;
    std::uint32_t m_completedAtCapacity = 0; // completed parts since the last change of the capacity
    std::uint64_t m_completed = 0;
    std::uint32_t m_peakInFlight = 0;
    std::uint32_t m_fallOverCount = 0;
    bool m_isDraining = false;
};

} // namespace standins
