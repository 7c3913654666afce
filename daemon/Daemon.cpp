#include "daemon/Daemon.h"

#include "daemon/DaemonImpl.h"
#include "daemon/Logging.h"

#include <asio/post.hpp>

namespace citronplank {

Daemon::Impl::Impl(const Settings& settings)
    : Node(settings)
{
    m_leafClient = std::make_unique<LeafClient>(m_io, LeafClientSettings {});
    m_parts = std::make_unique<PartService>(*m_leafClient,
        PartServiceHandlers {
            [this](const std::string& sender, const PartResult& result) { m_router->answer(sender, result); },
            [this](const SuspicionEvent& event) { onSuspicion(event); } });
    m_router = std::make_unique<PartRouter>(settings.name, m_configuration, *m_parts, routerCallbacks());
    m_lease = std::make_unique<LeaseService>(ZoneLeaseSettings { settings.zone, settings.name, m_incarnation },
        [this](const std::string& member, const ZoneMessage& message) { sendZoneMessage(member, message); });
    m_entry = std::make_unique<EntryService>(
        m_io, EntrySettings { settings.name, settings.zone, m_incarnation }, m_configuration, entryCallbacks());
    if (m_control)
        m_views = std::make_unique<ViewService>(*m_control,
            [this](const std::string& member, const ZoneMessage& message) { sendZoneMessage(member, message); });
    if (!settings.rulesFile.empty())
        m_rules = std::make_unique<RulesService>(settings.rulesFile.string(), settings.name, m_configuration,
            RulesServiceCallbacks { entryCallbacks().submit, [this](std::uint64_t version) {
                                       auto lines = m_configuration.linesAt(version);
                                       return lines || !m_control ? lines : m_control->linesAt(version);
                                   } });
    HttpServerSettings callers;
    callers.address = settings.callerAddress;
    callers.detectsEarlyDisconnects = true;
    m_callerServer = std::make_unique<HttpServer>(m_io, callers,
        [this](const HttpRequest& request, const Responder& responder) { m_entry->onRequest(request, responder); });
    AdminServerSettings admin;
    admin.address = settings.adminAddress;
    m_adminServer = std::make_unique<AdminServer>(admin, adminHandlers());
}

Daemon::Impl::~Impl()
{
    if (m_rules)
        m_rules->stop();
    m_adminServer->stop();
    shutDownNode();
}

// ---------------------------------------------------------------------------------------------------------------
// Hooks of Node and callbacks of the services

void Daemon::Impl::onMembers() { m_lease->setLiveMembers(m_membership->liveNamesIn(m_settings.zone)); }

void Daemon::Impl::onViews(const std::vector<ZoneView>& views) { m_views->onViews(views); }

void Daemon::Impl::onControlTick() { m_views->tick(); }

void Daemon::Impl::onLinkDown(const std::string& address, Channel channel)
{
    if (channel == Channel::Part)
        m_router->onLinkDown(address);
}

PartRouterCallbacks Daemon::Impl::routerCallbacks()
{
    PartRouterCallbacks callbacks;
    callbacks.ownerOf = [this](std::string_view zone, std::string_view leaf) { return ownerOf(zone, leaf); };
    callbacks.linkAddressOf = [this](std::string_view name) { return addressOf(std::string(name)); };
    callbacks.send = [this](const std::string& address, Envelope envelope) {
        return m_links->send(address, Channel::Part, std::move(envelope));
    };
    callbacks.post = [this](std::function<void()> task) { asio::post(m_io, std::move(task)); };
    callbacks.deliver = [this](const PartResult& result) { m_entry->onResult(result); };
    return callbacks;
}

EntryCallbacks Daemon::Impl::entryCallbacks()
{
    EntryCallbacks callbacks;
    callbacks.sendPart = [this](const PartSend& it) { m_router->send(it); };
    callbacks.cancelPart = [this](const PartCancel& it) { m_router->cancel(it); };
    callbacks.submit = [this](Command command, milliseconds timeout, ControlClient::Handler handler) {
        m_controlClient->submit(std::move(command), timeout, std::move(handler), Clock::now());
    };
    callbacks.replicasOf = [this](const std::string& service) { return m_membership->replicasOf(service); };
    callbacks.directoryVersion = [this] { return m_membership->directoryVersion(); };
    return callbacks;
}

AdminHandlers Daemon::Impl::adminHandlers()
{
    AdminHandlers handlers;
    handlers.ready = [this] { return ready(); };
    handlers.announce = [this](const std::string& body) { return onAnnouncement(body); };
    handlers.status = [this] { return HttpResponse { .body = status() }; };
    handlers.dump = [this] { return HttpResponse { .body = dump() }; };
    handlers.metrics = [this] { return HttpResponse { .contentType = "text/plain", .body = metrics() }; };
    return handlers;
}

HttpResponse Daemon::Impl::ready() const
{
    switch (m_entry->state()) {
    case EntryState::Ready:
        return { .body = "{\"ready\":true}" };
    case EntryState::Starting:
        throw Error(ErrorKind::NotReady, "this instance is starting");
    case EntryState::Stopping:
        break;
    }
    throw Error(ErrorKind::Stopping, "this instance is stopping");
}

// ---------------------------------------------------------------------------------------------------------------
// Start and stop

void Daemon::Impl::start()
{
    runEvery(gateInterval, [this] { m_parts->onTimer(Clock::now()); });
    runEvery(leaseInterval, [this] {
        m_lease->tick(Clock::now());
        syncGates();
    });
    runEvery(readinessInterval, [this] { updateReadiness(); });
    if (m_rules)
        m_rules->start();
    m_callerServer->start();
    m_adminServer->start();
    startNode();
    log(LogLevel::Info, "query", m_settings.name + " in zone " + m_settings.zone + " started.");
}

/// Waits until no request of a caller and no part from another instance is running, or the deadline has passed.
void Daemon::Impl::waitForIdle(TimePoint deadline)
{
    while (Clock::now() < deadline && (m_entry->runningCount() > 0 || !m_parts->isIdle()))
        std::this_thread::sleep_for(milliseconds(20));
}

void Daemon::Impl::stopGracefully()
{
    log(LogLevel::Info, "stop", "Readiness is off; this instance still serves new requests.");
    m_entry->setState(EntryState::Stopping);
    if (m_rules)
        m_rules->stop();
    std::this_thread::sleep_for(m_settings.drainDelay);
    m_callerServer->beginDrain();
    m_callerServer->stopAccepting();
    log(LogLevel::Info, "stop", "Handing over the leaves of this instance.");
    m_lease->leave();
    auto deadline = Clock::now() + finishTimeout;
    auto handOverDeadline = Clock::now() + leaseWithMargin;
    // The leaves are served until a view without this instance is in force.
    while (Clock::now() < handOverDeadline && m_lease->isMember())
        std::this_thread::sleep_for(milliseconds(20));
    if (m_control)
        m_control->transferLeadership();
    waitForIdle(deadline);
    m_lease->stop();
    m_membership->leave();
    std::atomic<bool> isClosed { false };
    m_callerServer->finish([&] { isClosed = true; });
    auto leaveDeadline = Clock::now() + leavePropagationTime;
    while ((!isClosed && Clock::now() < deadline) || Clock::now() < leaveDeadline)
        std::this_thread::sleep_for(milliseconds(20));
    log(LogLevel::Info, "stop",
        isClosed ? "All requests are finished." : "Some callers did not receive their answers in time.");
    m_callerServer.reset(); // its callback refers to `isClosed`
}

Daemon::Daemon(const Settings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Daemon::~Daemon() = default;

void Daemon::start() { m_impl->start(); }

void Daemon::stopGracefully() { m_impl->stopGracefully(); }

std::string Daemon::status() const { return m_impl->status(); }

std::string Daemon::dump() const { return m_impl->dump(); }

} // namespace citronplank
