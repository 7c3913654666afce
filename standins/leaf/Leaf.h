// One stand-in leaf: an HTTP server that runs parts on a few slots and can be made to misbehave. Used from one thread.
#pragma once

#include "standins/HttpServer.h"
#include "standins/leaf/Journal.h"
#include "standins/leaf/LeafTable.h"

#include <chrono>
#include <optional>

namespace standins {

/// Misbehaviour that can be switched at run time.
struct LeafFaults {
    double straggleRate = 0; // share of parts that take `straggleMs` longer
    double straggleMs = 200;
    double shedRate = 0;       // share of parts that are shed although a slot is free
    double failRate = 0;       // share of parts that run and answer 500
    bool announces = true;     // false: no announcements although it serves
    bool healthIsTrue = false; // false: the health page always says idle and healthy
    double restartMs = 1000;   // from the end of a run to the next boot
    double hangMs = 500;       // silence between falling over and the end of the run
    double coldShedMs = 1000;  // after a fall back into cold start, excess parts are shed for this long
    std::string crashMarker = "crash-back-end"; // a part whose body holds it ends the run
};

/// Capacity is the number of parts it can handle at once: 1 after a boot or a fall back into cold start, one more after
/// each `ramp` completed parts, up to the slots. A warm leaf sheds what exceeds its slots (429). A cold one that gets
/// more than its capacity falls over: it stops answering, ends and boots again.
class Leaf {
public:
    Leaf(asio::io_context& io, LeafSettings settings, Journal& journal, std::uint64_t seed);

    void boot();
    /// Ends the run at once: all connections are reset. Boots again after `restartMs`.
    void crash();
    /// Stops answering for `hangMs`, then ends the run as `crash` does.
    void fallOver();
    /// Capacity 1 again within the same run.
    void fallBackToCold();
    /// Announces itself as draining and answers 503 to new parts; stops for good after `exitAfter`.
    void drain(std::chrono::milliseconds exitAfter);
    void stop();
    /// Every open connection goes silent and stays open; new ones work.
    void silenceConnections();
    /// Takes over its shard of `shards` at `version`. Older versions are dropped after `keep`.
    void repartition(std::uint64_t version, std::uint32_t shards, std::chrono::milliseconds keep);

    LeafFaults& faults() { return m_faults; }
    void setServiceTime(const ServiceTime& time) { m_settings.service.time = time; }
    const LeafSettings& settings() const { return m_settings; }
    bool isAnnouncing() const { return m_state == State::Serving && m_faults.announces; }
    /// Body of the next announcement.
    std::string nextAnnouncement();
    /// State as a JSON object.
    std::string describe() const;

private:
    enum class State : std::uint8_t { Down, Serving, Hanging, Stopped };
    struct ShardVersion {
        std::uint64_t version = 0;
        std::uint32_t shard = 0;
        std::uint32_t of = 0;
    };
    struct Part {
        std::shared_ptr<HttpSession> session;
        HttpMessage request;
        ShardVersion shard;
        std::string operation;
        std::unique_ptr<asio::steady_timer> timer;
        std::chrono::steady_clock::time_point deadline;
        bool isRunning = false;
    };
    using PartPointer = std::shared_ptr<Part>;

    void admit(const std::shared_ptr<HttpSession>& session);
    void handle(const HttpMessage& request, const std::shared_ptr<HttpSession>& session);
    void handlePart(const HttpMessage& request, const std::shared_ptr<HttpSession>& session);
    void startOrShed(const PartPointer& part);
    void run(const PartPointer& part);
    void complete(const PartPointer& part, const char* result);
    void refuse(const PartPointer& part, int status, const char* reason);
    void onSessionClosed(HttpSession* session);
    void endRun(const char* event);
    void after(const PartPointer& part, double ms, std::function<void()> action);
    void afterRun(double ms, std::function<void()> action);
    double drawTime();
    bool happens(double rate) { return rate > 0 && std::uniform_real_distribution<double>()(m_random) < rate; }
    bool isCold() const { return m_capacity < m_settings.service.slots; }
    void writeJournal(const char* event, const char* result = "", const Part* part = nullptr);
    std::string answerBody(const Part& part) const;

    asio::io_context& m_io;
    LeafSettings m_settings;
    Journal& m_journal;
    std::mt19937_64 m_random;
    HttpServer m_server;
    asio::steady_timer m_runTimer; // next boot, end of hanging, end of draining
    asio::steady_timer m_keepTimer;
    LeafFaults m_faults;
    State m_state = State::Down;
    std::set<std::shared_ptr<HttpSession>> m_sessions;
    std::map<HttpSession*, PartPointer> m_parts; // waiting or running, one for each session
    std::vector<ShardVersion> m_versions;
    std::chrono::steady_clock::time_point m_connectFreeAt; // set-up of connections is done one at a time
    std::chrono::steady_clock::time_point m_coldShedUntil;
    std::uint64_t m_boot = 0;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_capacity = 1;
    std::uint32_t m_completedAtCapacity = 0;
    std::uint64_t m_completed = 0;
    std::uint32_t m_peak = 0;
    std::uint32_t m_falls = 0;
    bool m_isDraining = false;
};

} // namespace standins
