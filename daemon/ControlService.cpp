#include "daemon/ControlService.h"

#include "daemon/Handlers.h"
#include "daemon/Logging.h"
#include "rules/RulesFile.h"

#include <asio.hpp>
#include <atomic>
#include <future>
#include <mutex>
#include <random>
#include <thread>

namespace citronplank {

namespace {

constexpr milliseconds tickInterval { 20 };
// Messages that wait for the control thread, which may be blocked by a slow disk. Further large ones are dropped; the
// protocol repeats them.
constexpr std::size_t maxQueuedBytes = 32UL * 1024 * 1024;
constexpr milliseconds firstElectionTimeout { 200 }; // two heartbeats of an existing leader

std::uint64_t wallTimeMs(TimePoint at)
{
    // Both clocks are read together so that a step of the wall clock takes effect at once.
    auto wall = std::chrono::system_clock::now() + (at - Clock::now());
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()).count());
}

bool areValidRules(std::span<const RuleLine> lines)
{
    try {
        toRules(lines);
        return true;
    } catch (const Error&) {
        return false;
    }
}

/// Approximate size of the content of a message; 0 for messages of a fixed small size.
std::size_t contentBytes(const ControlMessage& message)
{
    if (const auto* propose = std::get_if<Propose>(&message.body))
        return approximateBytes(propose->command);
    if (const auto* snapshot = std::get_if<InstallSnapshot>(&message.body))
        return snapshot->chunk.size();
    std::size_t bytes = 0;
    if (const auto* append = std::get_if<Append>(&message.body)) {
        for (const auto& it : append->entries)
            bytes += approximateBytes(it);
    }
    return bytes;
}

ControlLogSettings logSettings(const ControlServiceSettings& settings)
{
    std::random_device random;
    ControlLogSettings result;
    result.name = settings.name;
    result.configuredMembers = settings.members;
    result.openMembership = settings.openMembership;
    result.mayBootstrap = settings.mayBootstrap;
    result.voterTarget = settings.voterTarget;
    if (settings.openMembership)
        result.firstElectionTimeout = firstElectionTimeout;
    result.seed = (std::uint64_t { random() } << 32U) | random();
    result.wallTimeMs = wallTimeMs;
    return result;
}

} // namespace

class ControlService::Impl {
public:
    Impl(const ControlServiceSettings& settings, ControlServiceHandlers handlers)
        : m_settings(settings)
        , m_handlers(std::move(handlers))
        , m_storage(settings.dataFolder)
        , m_replica(makeReplica())
        , m_timer(m_io)
        , m_work(asio::make_work_guard(m_io))
    {
        logSetAside();
        updateStatus();
    }

    void start()
    {
        m_thread = std::thread([this] { runHandlers(m_io); });
        post([this] {
            publish();
            scheduleTick();
        });
    }

    void stop()
    {
        m_io.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    void post(std::function<void()> task) { asio::post(m_io, std::move(task)); }

    void receive(const std::string& from, ControlMessage message)
    {
        auto bytes = contentBytes(message);
        if (m_queuedBytes.fetch_add(bytes) + bytes > maxQueuedBytes && bytes > 0) {
            m_queuedBytes -= bytes;
            return;
        }
        post([this, from, bytes, message = std::move(message)] {
            m_queuedBytes -= bytes;
            run([&] { return m_replica->receive(from, message, Clock::now()); });
            scheduleFlush();
        });
    }

    void propose(Command command, AnswerHandler handler)
    {
        post([this, command = std::move(command), handler = std::move(handler)]() mutable {
            auto id = ++m_lastId;
            m_answerHandlers.emplace(id, std::move(handler));
            m_replica->propose(std::move(command), id);
            scheduleFlush();
        });
    }

    void confirmLeadership(std::function<void(bool)> handler)
    {
        post([this, handler = std::move(handler)]() mutable {
            auto id = ++m_lastId;
            m_readHandlers.emplace(id, std::move(handler));
            run([&] { return m_replica->confirmLeadership(id, Clock::now()); });
        });
    }

    void transferLeadership()
    {
        post([this] {
            if (isLeader())
                run([&] { return m_replica->transferLeadership(Clock::now()); });
        });
    }

    void setContacts(std::set<std::string> names)
    {
        post([this, names = std::move(names)]() mutable {
            m_contacts = std::move(names);
            m_replica->setContacts(m_contacts);
        });
    }

    std::optional<std::vector<RuleLine>> linesAt(std::uint64_t version)
    {
        auto promise = std::make_shared<std::promise<std::optional<std::vector<RuleLine>>>>();
        auto future = promise->get_future();
        post([this, promise, version] { promise->set_value(m_replica->state().ruleLinesAt(version)); });
        if (future.wait_for(seconds(2)) != std::future_status::ready)
            return std::nullopt;
        return future.get();
    }

    ControlServiceStatus status() const
    {
        std::lock_guard lock(m_statusMutex);
        return m_status;
    }

    bool isLeader() const { return m_replica->log().isLeader(); }
    const ControlState& state() const { return m_replica->state(); }

private:
    void scheduleTick()
    {
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([this](const asio::error_code& ec) {
            if (ec)
                return;
            callGuarded("control", [this] {
                run([&] { return m_replica->tick(Clock::now()); });
                reopenIfDue();
                m_handlers.tick();
            });
            scheduleTick();
        });
    }

    /// Schedules one flush for all proposals that arrive together, so that they need a single disk sync.
    void scheduleFlush()
    {
        if (std::exchange(m_flushScheduled, true))
            return;
        post([this] {
            m_flushScheduled = false;
            run([&] { return m_replica->flush(Clock::now()); });
        });
    }

    /// Calls the replica and performs its output. An error, such as unreadable stored or received state, stops the
    /// control role; the entry role of this process continues.
    template <typename Call>
    void run(Call&& call)
    {
        if (!m_failure.empty())
            return;
        try {
            perform(call());
        } catch (const std::exception& error) {
            fail(error.what());
            updateStatus();
        }
    }

    std::unique_ptr<ControlReplica<FileControlStorage>> makeReplica()
    {
        return std::make_unique<ControlReplica<FileControlStorage>>(
            m_storage, logSettings(m_settings), Clock::now(), areValidRules);
    }

    void logSetAside() const
    {
        if (!m_storage.setAsideReason().empty())
            log(LogLevel::Warning, "control",
                "The content of the data folder was damaged and has been set aside: " + m_storage.setAsideReason()
                    + ". This member has lost its state and rejoins as a new one.");
    }

    /// Reopens the storage after a temporary failure such as a full disk. The member restarts from the stored state, as
    /// after a crash of the process.
    void reopenIfDue()
    {
        if (m_failure.empty() || !m_settings.reopenAfter || Clock::now() < m_failedAt + *m_settings.reopenAfter)
            return;
        m_failedAt = Clock::now();
        try {
            m_storage.reopen();
            logSetAside();
            m_replica = makeReplica();
            m_replica->setContacts(m_contacts);
            m_failure.clear();
        } catch (const std::exception& error) {
            m_failure = error.what();
        }
        for (auto& [id, handler] : std::exchange(m_answerHandlers, {}))
            handler({ id, ProposeStatus::Unknown, {}, 0, {} });
        for (auto& [id, handler] : std::exchange(m_readHandlers, {}))
            handler(false);
        log(LogLevel::Warning, "control",
            m_failure.empty() ? "The data folder works again; the control role has restarted."
                              : "The data folder still fails: " + m_failure + ".");
        updateStatus();
    }

    void fail(const std::string& reason)
    {
        m_failure = reason;
        m_failedAt = Clock::now();
        log(LogLevel::Error, "control", "The control role has stopped: " + reason + ".");
    }

    void perform(const ReplicaOutput& output)
    {
        for (const auto& it : output.messages)
            m_handlers.send(it.to, encode(it.message));
        if (!output.failure.empty())
            fail(output.failure);
        if (output.publishedChanged || output.restored)
            publish();
        for (const auto& it : output.answers) {
            if (auto node = m_answerHandlers.extract(it.id))
                node.mapped()(it);
        }
        for (const auto& it : output.reads) {
            if (auto node = m_readHandlers.extract(it.id))
                node.mapped()(it.confirmed && m_replica->state().appliedIndex() >= it.readIndex);
        }
        if (output.freshness)
            m_handlers.freshness(*output.freshness);
        updateStatus();
    }

    void publish()
    {
        const auto& state = m_replica->state();
        m_handlers.published(state.differenceSince(m_publishedVersion));
        m_publishedVersion = state.publishedVersion();
        std::vector<ZoneView> views;
        for (const auto& [zone, view] : state.views())
            views.push_back(view);
        m_handlers.views(views, m_publishedVersion);
    }

    void updateStatus()
    {
        ControlServiceStatus status { m_replica->log().status(), m_replica->state().publishedVersion(),
            m_replica->state().rulesVersion(), m_replica->state().requestCount(), m_failure };
        std::lock_guard lock(m_statusMutex);
        m_status = std::move(status);
    }

    ControlServiceSettings m_settings;
    ControlServiceHandlers m_handlers;
    FileControlStorage m_storage; // declared before the replica, which refers to it
    std::unique_ptr<ControlReplica<FileControlStorage>> m_replica;
    asio::io_context m_io { 1 };
    asio::steady_timer m_timer;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
    std::set<std::string> m_contacts; // as set last; a restarted control role needs them to find its cluster
    std::atomic<std::size_t> m_queuedBytes { 0 }; // of received messages that are not processed yet
    bool m_flushScheduled = false;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_publishedVersion = 0; // passed to the handler `published` last
    std::map<std::uint64_t, AnswerHandler> m_answerHandlers;
    std::map<std::uint64_t, std::function<void(bool)>> m_readHandlers;
    std::string m_failure;            // why the control role has stopped; empty while it runs
    TimePoint m_failedAt;             // time of the failure or of the last attempt to reopen the storage
    mutable std::mutex m_statusMutex; // no other mutex is acquired under it
    ControlServiceStatus m_status;
};

ControlService::ControlService(const ControlServiceSettings& settings, ControlServiceHandlers handlers)
    : m_impl(std::make_unique<Impl>(settings, std::move(handlers)))
{
}

ControlService::~ControlService() { m_impl->stop(); }

void ControlService::start() { m_impl->start(); }

void ControlService::stop() { m_impl->stop(); }

void ControlService::receive(const std::string& from, ControlMessage message)
{
    m_impl->receive(from, std::move(message));
}

void ControlService::propose(Command command, AnswerHandler handler)
{
    m_impl->propose(std::move(command), std::move(handler));
}

void ControlService::confirmLeadership(std::function<void(bool)> handler)
{
    m_impl->confirmLeadership(std::move(handler));
}

void ControlService::transferLeadership() { m_impl->transferLeadership(); }

void ControlService::setContacts(std::set<std::string> names) { m_impl->setContacts(std::move(names)); }

void ControlService::post(std::function<void()> task) { m_impl->post(std::move(task)); }

std::optional<std::vector<RuleLine>> ControlService::linesAt(std::uint64_t rulesVersion)
{
    return m_impl->linesAt(rulesVersion);
}

ControlServiceStatus ControlService::status() const { return m_impl->status(); }

bool ControlService::isLeader() const { return m_impl->isLeader(); }

const ControlState& ControlService::state() const { return m_impl->state(); }

} // namespace citronplank
