#include "standins/leaf/Leaf.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace standins {

namespace {

using SteadyClock = std::chrono::steady_clock;

// Time that a part waits for a slot before it is shed: the running part may just have been cancelled on another
// connection, and its slot becomes free when that cancellation arrives.
constexpr double slotWaitMs = 5;
constexpr std::uint64_t defaultDeadlineMs = 10'000; // of a part without a Deadline-Ms header
constexpr std::uint32_t itemCount = 1000;           // of an index version, in all shards; as in AnswerCheck.cpp

SteadyClock::duration fromMilliseconds(double ms)
{
    return std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double, std::milli>(ms));
}

double toMilliseconds(SteadyClock::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

/// Returns the operation of a part. The protocol does not define where it is sent, so this checks the header, the query
/// string and the body. The default is "keyed" for a part with a request key and "list" for others.
std::string operationOf(const HttpMessage& request)
{
    if (auto header = request.header("operation"); !header.empty())
        return header;
    const std::string parameter = "operation=";
    if (const auto at = request.target.find(parameter); at != std::string::npos) {
        const auto start = at + parameter.size();
        return request.target.substr(start, request.target.find('&', start) - start);
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_object() && body.contains("operation") && body["operation"].is_string())
        return body["operation"].get<std::string>();
    return request.header("request-key").empty() ? "list" : "keyed";
}

} // namespace

Leaf::Leaf(asio::io_context& io, LeafSettings settings, Journal& journal, std::uint64_t seed)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_journal(journal)
    , m_random(seed)
    , m_server(
          io, parseEndpoint(m_settings.address),
          [this](const auto& request, const auto& session) { handle(request, session); },
          [this](const auto& session) { onAccept(session); })
    , m_runTimer(io)
    , m_oldVersionsTimer(io)
{
    const auto& service = m_settings.service;
    m_versions = { { service.version, m_settings.index % service.shards, service.shards } };
}

// ---------------------------------------------------------------------------------------------------------------
// Boot, faults and shutdown

void Leaf::boot()
{
    if (m_state == State::Serving || m_state == State::Hanging)
        return;
    m_runTimer.cancel();
    m_server.open();
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    m_boot = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    m_sequence = 0;
    m_capacity = 1;
    m_completedAtCapacity = 0;
    m_inFlight = 0;
    m_isDraining = false;
    m_coldShedUntil = {};
    m_nextConnectAt = {};
    m_state = State::Serving;
    writeJournal("boot");
}

void Leaf::endRun(const char* event)
{
    if (m_state == State::Stopped || m_state == State::Down)
        return;
    m_state = State::Down;
    m_server.close();
    for (const auto& [session, part] : m_parts) {
        endPart(*part);
        if (!part->isRunning)
            continue;
        --m_inFlight;
        writeJournal("end", "crashed", part.get());
    }
    m_parts.clear();
    for (const auto& session : std::exchange(m_sessions, {}))
        session->close(true);
    writeJournal(event);
}

void Leaf::crash()
{
    if (m_state != State::Serving && m_state != State::Hanging)
        return;
    endRun("crash");
    scheduleRunTimer(m_faults.restartMs, [this] { boot(); });
}

void Leaf::fallOver()
{
    if (m_state != State::Serving)
        return;
    writeJournal("fall_over");
    ++m_fallOverCount;
    m_state = State::Hanging;
    for (const auto& session : m_sessions)
        session->silence();
    for (const auto& [session, part] : m_parts)
        endPart(*part);
    scheduleRunTimer(m_faults.hangMs, [this] { crash(); });
}

void Leaf::fallBackToCold()
{
    m_capacity = 1;
    m_completedAtCapacity = 0;
    m_coldShedUntil = SteadyClock::now() + fromMilliseconds(m_faults.coldShedMs);
    writeJournal("cold");
}

void Leaf::drain(std::chrono::milliseconds exitAfter)
{
    m_isDraining = true;
    writeJournal("drain");
    scheduleRunTimer(static_cast<double>(exitAfter.count()), [this] { stop(); });
}

void Leaf::stop()
{
    m_runTimer.cancel();
    endRun("stop");
    m_state = State::Stopped;
}

void Leaf::silenceConnections()
{
    for (const auto& session : m_sessions)
        session->silence();
}

void Leaf::repartition(std::uint64_t version, std::uint32_t shards, std::chrono::milliseconds keep)
{
    m_versions.push_back({ version, m_settings.index % shards, shards });
    m_oldVersionsTimer.expires_after(keep);
    m_oldVersionsTimer.async_wait([this](asio::error_code ec) {
        if (!ec)
            m_versions.erase(m_versions.begin(), m_versions.end() - 1);
    });
}

void Leaf::schedulePartTimer(const PartPointer& part, double ms, std::function<void()> action)
{
    part->timer->expires_after(fromMilliseconds(ms));
    part->timer->async_wait([part, action = std::move(action)](asio::error_code ec) {
        // cancel() has no effect once the timer has expired, so the part may already have ended.
        if (!ec && !part->isOver)
            action();
    });
}

void Leaf::endPart(Part& part)
{
    part.isOver = true;
    part.timer->cancel();
}

void Leaf::scheduleRunTimer(double ms, std::function<void()> action)
{
    m_runTimer.expires_after(fromMilliseconds(ms));
    m_runTimer.async_wait([action = std::move(action)](asio::error_code ec) {
        if (!ec)
            action();
    });
}

// ---------------------------------------------------------------------------------------------------------------
// Connections and requests

void Leaf::onAccept(const std::shared_ptr<HttpSession>& session)
{
    const auto open = std::ranges::count_if(m_sessions, [](const auto& it) { return !it->isSilent(); });
    if (static_cast<std::uint32_t>(open) >= m_settings.service.connections) {
        writeJournal("connection_refused");
        return session->close(true);
    }
    m_sessions.insert(session);
    session->onClose([this, key = session.get()] { onSessionClosed(key); });
    if (m_state == State::Hanging)
        return session->silence();
    m_nextConnectAt = std::max(m_nextConnectAt, SteadyClock::now()) + fromMilliseconds(m_settings.service.connectMs);
    auto timer = std::make_shared<asio::steady_timer>(m_io, m_nextConnectAt);
    timer->async_wait([timer, session](asio::error_code) { session->start(); });
}

void Leaf::onSessionClosed(HttpSession* session)
{
    if (const auto it = m_parts.find(session); it != m_parts.end()) {
        const auto part = it->second;
        endPart(*part);
        m_parts.erase(it);
        if (part->isRunning) {
            --m_inFlight;
            writeJournal("end", "cancelled", part.get());
        }
    }
    std::erase_if(m_sessions, [session](const auto& it) { return it.get() == session; });
}

void Leaf::handle(const HttpMessage& request, const std::shared_ptr<HttpSession>& session)
{
    if (m_state != State::Serving)
        return;
    if (request.method == "POST" && request.target.starts_with("/part"))
        return handlePart(request, session);
    if (request.method == "GET" && request.target == "/health") {
        const double load = m_faults.reportsTrueHealth ? double(m_inFlight) / m_capacity : 0.1;
        const bool isWarm = !m_faults.reportsTrueHealth || !isCold();
        return session->respond(
            200, "", nlohmann::json { { "status", "ok" }, { "load", load }, { "warm", isWarm } }.dump());
    }
    session->respond(404, "", "{}");
}

void Leaf::handlePart(const HttpMessage& request, const std::shared_ptr<HttpSession>& session)
{
    auto part = std::make_shared<Part>();
    part->session = session;
    part->request = request;
    part->operation = operationOf(request);
    part->timer = std::make_unique<asio::steady_timer>(m_io);
    part->shard = { request.numericHeader("index-version"), static_cast<std::uint32_t>(request.numericHeader("shard")),
        static_cast<std::uint32_t>(request.numericHeader("of")) };
    const auto remaining = request.numericHeader("deadline-ms", defaultDeadlineMs);
    part->deadline = SteadyClock::now() + std::chrono::milliseconds(remaining);
    m_parts[session.get()] = part;
    const bool holdsVersion = std::ranges::any_of(m_versions, [&](const ShardVersion& it) {
        return it.version == part->shard.version && it.shard == part->shard.shard
            && it.shardCount == part->shard.shardCount;
    });
    if (m_isDraining)
        return refuse(part, 503, "draining");
    if (!holdsVersion)
        return refuse(part, 409, "wrong_version");
    if (!remaining)
        return refuse(part, 504, "deadline");
    if (drawBool(m_faults.shedRate))
        return refuse(part, 429, "shed");
    if (m_inFlight < m_capacity)
        return startPart(part);
    schedulePartTimer(part, slotWaitMs, [this, part] { startOrShed(part); });
}

void Leaf::startOrShed(const PartPointer& part)
{
    if (m_inFlight < m_capacity)
        return startPart(part);
    if (!isCold() || SteadyClock::now() < m_coldShedUntil)
        return refuse(part, 429, "shed");
    // The part that exceeds the capacity is journaled as started; it ends with the crash that follows.
    startPart(part);
    fallOver();
}

void Leaf::refuse(const PartPointer& part, int status, const char* reason)
{
    endPart(*part);
    m_parts.erase(part->session.get());
    writeJournal("refused", reason, part.get());
    part->session->respond(status, "", nlohmann::json { { "error", reason } }.dump());
}

double Leaf::drawServiceTime()
{
    const auto& service = m_settings.service;
    double ms = service.time.sample(m_random);
    if (isCold())
        ms *= 1 + (service.coldFactor - 1) * (service.slots - m_capacity) / std::max(1U, service.slots - 1);
    if (drawBool(m_faults.straggleRate))
        ms += m_faults.straggleMs;
    return ms;
}

void Leaf::startPart(const PartPointer& part)
{
    part->isRunning = true;
    m_peakInFlight = std::max(m_peakInFlight, ++m_inFlight);
    writeJournal("start", "", part.get());
    const auto ms = drawServiceTime();
    const auto remaining = std::max(0.0, toMilliseconds(part->deadline - SteadyClock::now()));
    const bool crashes
        = !m_faults.crashMarker.empty() && part->request.body.find(m_faults.crashMarker) != std::string::npos;
    if (crashes)
        schedulePartTimer(part, std::min(ms, remaining) / 2, [this] { crash(); });
    else if (ms > remaining)
        schedulePartTimer(part, remaining, [this, part] { complete(part, "deadline"); });
    else
        schedulePartTimer(part, ms, [this, part] { complete(part, drawBool(m_faults.failRate) ? "failed" : "ok"); });
}

void Leaf::complete(const PartPointer& part, const char* result)
{
    endPart(*part);
    m_parts.erase(part->session.get());
    --m_inFlight;
    writeJournal("end", result, part.get());
    const std::string_view outcome = result;
    if (outcome == "deadline")
        return part->session->respond(504, "", R"({"error":"deadline"})");
    ++m_completed;
    if (isCold() && ++m_completedAtCapacity >= m_settings.service.ramp) {
        ++m_capacity;
        m_completedAtCapacity = 0;
    }
    const auto headers = "Index-Version: " + std::to_string(part->shard.version) + "\r\nShard: "
        + std::to_string(part->shard.shard) + "\r\nOf: " + std::to_string(part->shard.shardCount) + "\r\n";
    if (outcome == "failed")
        return part->session->respond(500, headers, R"({"error":"failed"})");
    part->session->respond(200, headers, responseBody(*part));
}

std::string Leaf::responseBody(const Part& part) const
{
    if (const auto key = part.request.header("request-key"); !key.empty())
        return nlohmann::json { { "done", key } }.dump();
    if (part.operation != "list")
        return nlohmann::json { { "echo", part.request.body } }.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
    std::string body = "[";
    for (std::uint32_t i = part.shard.shard; i < itemCount; i += part.shard.shardCount) {
        body += body.size() > 1 ? ",\"" : "\"";
        body += std::to_string(part.shard.version) + ":" + std::to_string(i) + "\"";
    }
    return body + "]";
}

// ---------------------------------------------------------------------------------------------------------------
// Reports

std::string Leaf::nextAnnouncement()
{
    nlohmann::json versions = nlohmann::json::array();
    for (const auto& it : m_versions)
        versions.push_back({ { "version", it.version }, { "shard", it.shard }, { "of", it.shardCount } });
    const auto& service = m_settings.service;
    return nlohmann::json {
        { "leaf", m_settings.name }, { "service", service.service }, { "boot", m_boot }, { "seq", ++m_sequence },
        { "zone", m_settings.zone }, { "address", m_settings.address }, { "slots", service.slots },
        { "connections", service.connections }, { "versions", versions }, { "draining", m_isDraining }
    }.dump();
}

std::string Leaf::describe() const
{
    constexpr std::array<const char*, 4> names { "down", "serving", "hanging", "stopped" };
    nlohmann::json versions = nlohmann::json::array();
    for (const auto& it : m_versions)
        versions.push_back({ { "version", it.version }, { "shard", it.shard }, { "of", it.shardCount } });
    return nlohmann::json {
        { "leaf", m_settings.name }, { "service", m_settings.service.service }, { "zone", m_settings.zone },
        { "address", m_settings.address }, { "slots", m_settings.service.slots },
        { "state", names.at(static_cast<std::size_t>(m_state)) }, { "boot", m_boot }, { "in_flight", m_inFlight },
        { "peak", m_peakInFlight }, { "capacity", m_capacity }, { "completed", m_completed },
        { "falls", m_fallOverCount }, { "connections", m_sessions.size() }, { "draining", m_isDraining },
        { "versions", versions }
    }.dump();
}

void Leaf::writeJournal(const char* event, const char* result, const Part* part)
{
    JournalLine line { event, result, m_settings.name, m_settings.service.service };
    line.boot = m_boot;
    line.inFlight = m_inFlight;
    line.capacity = m_capacity;
    std::string key;
    std::string id;
    if (part) {
        key = part->request.header("request-key");
        id = part->request.header("request-id");
        line.operation = part->operation;
        line.requestKey = key;
        line.requestId = id;
        line.version = part->shard.version;
        line.shard = part->shard.shard;
    }
    m_journal.write(line);
}

} // namespace standins
