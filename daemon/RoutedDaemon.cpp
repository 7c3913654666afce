#include "daemon/RoutedDaemon.h"

#include "daemon/Logging.h"
#include "daemon/Version.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <sstream>

namespace citronplank {

namespace {

constexpr milliseconds leavesInterval { 50 };    // batches changes of the directory
constexpr milliseconds broadcastInterval { 50 }; // between checks for due resends and timeouts
constexpr milliseconds readinessInterval { 100 };
constexpr milliseconds newsInterval { 100 };      // between requests for news, whose links may be down after a pause
constexpr milliseconds quotaInterval { 200 };     // between updates of the instances that may hold leases
constexpr milliseconds relayLinkInterval { 200 }; // until a link to a new relay peer is opened
constexpr seconds trafficLogInterval { 10 };      // so that the log alone shows the traffic by purpose
constexpr milliseconds proposalTimeout { 2500 };  // operators retry after a few seconds without an answer
constexpr milliseconds readTimeout { 900 };       // operators wait 1 s for an answer
constexpr milliseconds readPollInterval { 20 };
constexpr milliseconds idlePollInterval { 20 };
/// The planned stop aborts the remaining requests this long before the end of the grace time, to answer them and exit.
constexpr milliseconds stopReserve { 900 };
/// Requests that still run when connections are closed have this time to finish before they are aborted.
constexpr milliseconds closeReserve { 1500 };
constexpr milliseconds leavePropagationTime { 300 }; // for gossip to spread the leave, or for a new leader to take over
constexpr std::size_t maxProbeConnections = 64;      // load balancers poll once a second
// Configurations that were received and are not answered yet. Operators send 16 a second of 0.7 MB in bursts, and one
// may wait for 3.5 s while there is no leader, which would be 39 MB.
constexpr std::size_t maxSubmittedBytes = 16UL * 1024 * 1024;
constexpr std::size_t maxProbeBodyBytes = 4096; // ignored
constexpr milliseconds httpReportInterval { 1000 };
/// Added to the incarnation, which is the time of the start in microseconds and so stays below.
constexpr std::uint64_t firstZoneBroadcast = 1ULL << 62U;
constexpr std::string_view explainPath = "/explain"; // followed by the path of the request

} // namespace

RoutedDaemon::RoutedDaemon(RoutedDaemonSettings settings, const RouteProtocol& protocol, ConfigurationDecoder decode,
    ControlHandler controlHandler)
    : Node(settings.node)
    , m_routedSettings(std::move(settings))
    , m_httpBounds(HttpBounds::of(m_routedSettings.machine, !m_routedSettings.callerAddress.empty()))
    , m_protocol(protocol)
    , m_decodeConfiguration(std::move(decode))
    , m_controlHandler(std::move(controlHandler))
    , m_zoneOrders(
          m_settings.name,
          [this](EditRules edit, ControlClient::Handler handler) {
              m_controlClient->submit(std::move(edit), proposalTimeout, std::move(handler), Clock::now());
          },
          [this] { return m_configuration.current()->published.rulesVersion; })
    , m_knownEntries(LockRank::Requests)
    , m_directoryAcks(LockRank::Requests)
    , m_broadcastStrand(asio::make_strand(m_io))
    , m_broadcast(
          [this](const std::string& peer, std::uint64_t number, const std::string& body) {
              auto kind
                  = m_directoryForwarders.contains(peer) ? MessageKind::DirectoryForward : MessageKind::DirectoryItems;
              sendTo(peer, kind, body, number);
          },
          m_incarnation)
    , m_zoneBroadcast([this](const std::string& peer, std::uint64_t number,
                          const std::string& body) { sendTo(peer, MessageKind::DirectoryItems, body, number); },
          firstZoneBroadcast + m_incarnation)
    , m_httpReports(m_counters)
{
    m_membership->setBroadcastHandler([this](std::vector<DirectoryItem> items, std::function<void(bool)> done) {
        broadcast(std::move(items), std::move(done));
    });
    if (!m_routedSettings.callerAddress.empty()) {
        m_routes = std::make_unique<RouteService>(
            m_io, m_settings.name, m_settings.zone, m_protocol, m_routedSettings.bounds,
            [this](const std::string& peer, MessageKind kind, std::string body, std::uint64_t correlation,
                milliseconds timeToLive) {
                return sendTo(peer, kind, std::move(body), correlation, Channel::Part, timeToLive);
            },
            [this](const CrashNotice& notice) { sendToPeers(MessageKind::Suspicion, encodeCrashNotice(notice)); },
            m_counters, m_traffic);
        if (m_routedSettings.quota.isEnabled())
            m_routes->setQuota(m_routedSettings.quota,
                { [this] { return m_controlClient->leader(); },
                    [this](const std::string& allotter, std::string report) {
                        sendTo(allotter, MessageKind::QuotaReport, std::move(report));
                    } });
        HttpServerSettings callers;
        callers.address = m_routedSettings.callerAddress;
        callers.detectsEarlyDisconnects = true;
        callers.maxConnections = m_httpBounds.callerConnections;
        callers.memory = m_httpBounds.memory;
        m_callerServer = std::make_unique<HttpServer>(m_io, callers, [this](HttpRequest request, Responder responder) {
            m_routes->onRequest(std::move(request), std::move(responder));
        });
    }
    if (m_control && m_routedSettings.quota.isEnabled())
        m_quota = std::make_unique<QuotaService>(m_routedSettings.quota, quotaLeadership(), Clock::now());
    if (!m_routedSettings.readyAddress.empty())
        m_readyServer = makeProbeServer(m_routedSettings.readyAddress,
            [this](const HttpRequest& request, const Responder& responder) { answerReady(request, responder); });
    if (!m_routedSettings.metricsAddress.empty())
        m_metricsServer = makeProbeServer(m_routedSettings.metricsAddress,
            [this](const HttpRequest& request, const Responder& responder) { answerMetrics(request, responder); });
    if (!m_routedSettings.controlAddress.empty()) {
        HttpServerSettings control;
        control.address = m_routedSettings.controlAddress;
        control.detectsEarlyDisconnects = true;
        control.maxBodyBytes = maxDocumentBytes;
        control.maxConnections = m_httpBounds.controlConnections;
        control.memory = m_httpBounds.memory;
        m_controlServer = std::make_unique<HttpServer>(
            m_io, control, [this](const HttpRequest& request, const Responder& responder) {
                handleControlRequest(request, responder);
            });
    }
}

RoutedDaemon::~RoutedDaemon() { shutDownNode(); }

/// A server for polls, which need no body.
std::unique_ptr<HttpServer> RoutedDaemon::makeProbeServer(const std::string& address, HttpServer::Handler handler)
{
    HttpServerSettings settings;
    settings.address = address;
    settings.maxConnections = maxProbeConnections;
    settings.maxBodyBytes = maxProbeBodyBytes;
    settings.memory = m_httpBounds.memory;
    return std::make_unique<HttpServer>(m_io, settings, std::move(handler));
}

void RoutedDaemon::start()
{
    runEvery(leavesInterval, [this] { onLeavesTimer(); });
    if (m_routes) {
        m_routes->onPauseEnded([this] {
            m_awaitsNews = true;
            asio::post(m_io, [this] { requestNews(); });
        });
        runEvery(newsInterval, [this] {
            if (m_awaitsNews)
                requestNews();
        });
    }
    runEvery(broadcastInterval, [this] { asio::post(m_broadcastStrand, [this] { onBroadcastTimer(); }); });
    if (m_quota)
        runEvery(quotaInterval, [this] { asio::post(m_broadcastStrand, [this] { m_quota->onTimer(Clock::now()); }); });
    runEvery(readinessInterval, [this] { updateReadiness(); });
    runEvery(trafficLogInterval, [this] { logTraffic(); });
    runEvery(relayLinkInterval, [this] { keepRelayLinksOpen(); });
    const std::pair<const char*, HttpServer*> servers[] = { { "callers", m_callerServer.get() },
        { "ready", m_readyServer.get() }, { "control", m_controlServer.get() }, { "metrics", m_metricsServer.get() } };
    for (const auto& [name, server] : servers) {
        if (!server)
            continue;
        m_httpReports.add(name, server);
        server->start();
    }
    runEvery(httpReportInterval, [this] { m_httpReports.update(*m_httpBounds.memory); });
    startNode();
    log(LogLevel::Info, "start",
        "sources=" + std::string(sourcesDigest()) + " instance=" + m_settings.name + " zone=" + m_settings.zone
            + " callers=" + m_routedSettings.callerAddress + " control=" + m_routedSettings.controlAddress
            + " data=" + m_settings.dataDir.string());
}

void RoutedDaemon::stopGracefully()
{
    auto start = Clock::now();
    auto end = start + m_routedSettings.graceTime - stopReserve;
    m_stopping = true;
    m_ready = false;
    log(LogLevel::Info, "stop", "Readiness is off; this instance still serves requests.");
    if (m_control)
        m_control->transferLeadership();
    if (m_callerServer) {
        auto noticedAt = start + m_routedSettings.readinessPropagationTime;
        m_routes->beginStop({ noticedAt, end });
        std::this_thread::sleep_until(noticedAt);
        m_callerServer->beginDrain();
        std::this_thread::sleep_until(end - closeReserve);
        m_callerServer->finish([] {});
        m_membership->leave();
        while (Clock::now() < end && (m_routes->runningCount() > 0 || m_callerServer->counters().connections > 0))
            std::this_thread::sleep_for(idlePollInterval);
        auto left = m_routes->runningCount();
        m_routes->abortAll();
        log(LogLevel::Info, "stop",
            "Aborted the requests that were still running: requests_left=" + std::to_string(left));
    } else {
        m_membership->leave();
    }
    std::this_thread::sleep_for(leavePropagationTime);
    log(LogLevel::Info, "stop", "This instance has stopped serving.");
}

void RoutedDaemon::reload(const Settings& settings)
{
    m_membership->setSeeds(settings.seeds);
    log(LogLevel::Info, "reload", "Settings reloaded; seeds=" + std::to_string(settings.seeds.size()));
}

// ---------------------------------------------------------------------------------------------------------------
// Configuration, membership and readiness

/// States on what grounds requests are served: which configuration is in use, where it came from, and whether it asks
/// for keys.
void RoutedDaemon::logConfiguration(
    const ServingConfiguration& configuration, std::string_view text, const std::string& source)
{
    std::ostringstream line;
    line << "document=" << configuration.version << " in use source=" << source << " digest=" << std::hex
         << hash64(text) << std::dec << " bytes=" << text.size() << " routes=" << configuration.routes.size()
         << " public="
         << std::count_if(
                configuration.routes.begin(), configuration.routes.end(), [](auto& it) { return it.isPublic; })
         << " customers="
         << (configuration.customers ? std::to_string(configuration.customers->size()) : std::string("absent"));
    auto level = LogLevel::Info;
    if (!configuration.unknownFields.empty()) {
        line << " unknown_fields=";
        for (const auto& it : configuration.unknownFields)
            line << (&it == &configuration.unknownFields.front() ? "" : ",") << it;
        m_counters.counter("configuration_unknown_fields_total").add(configuration.unknownFields.size());
        level = LogLevel::Warning;
    }
    bool requiresKeys = configuration.customers.has_value();
    if (m_requiredKeys.exchange(requiresKeys) && !requiresKeys) {
        line << "; requests need no key any more";
        level = LogLevel::Warning;
    }
    log(level, "config", line.str());
}

void RoutedDaemon::onConfiguration(const std::string& source)
{
    auto current = m_configuration.current();
    const auto& document = current->published.document;
    if (m_routes)
        m_routes->setZonesOut(current->rules.zonesOut);
    if ((!m_routes && !m_quota) || document.version <= m_decodedVersion)
        return;
    try {
        const auto& text = document.content.text();
        auto configuration = m_decodeConfiguration(text);
        logConfiguration(configuration, text, source);
        if (m_quota)
            asio::post(m_broadcastStrand,
                [this, version = document.version,
                    customers = configuration.customers.value_or(std::vector<Customer>())] {
                    m_quota->setCustomers(customers, version, Clock::now());
                });
        if (m_routes) {
            m_callerServer->setLimits(configuration.callerLimits);
            m_routes->setTable(std::make_shared<const RouteTable>(std::move(configuration)));
        }
        m_decodedVersion = document.version;
    } catch (const Error& error) {
        log(LogLevel::Error, "config",
            "document=" + std::to_string(document.version)
                + " cannot be decoded; the previous one stays in force: " + error.what());
        if (m_quota)
            asio::post(m_broadcastStrand, [this, version = document.version] { m_quota->keepCustomers(version); });
    }
}

void RoutedDaemon::onMembers()
{
    if (!m_routes)
        return;
    std::vector<std::string> entryInstances { m_settings.name };
    RoutePolicies::PeersByZone peers;
    std::map<std::string, std::uint64_t> entries;
    for (const auto& it : m_membership->livePeers()) {
        if (it.controlMember)
            continue;
        entryInstances.push_back(it.name);
        peers[it.zone].push_back(it.name);
        entries[it.name] = it.incarnation;
    }
    // An entry instance that was unknown or restarted has missed earlier crash notices, and has forgotten what it
    // observed itself.
    auto known = m_knownEntries.with([&](auto& it) { return std::exchange(it, entries); });
    for (const auto& [name, incarnation] : entries) {
        if (auto found = known.find(name); found != known.end() && found->second == incarnation)
            continue;
        auto others = entryInstances;
        std::erase(others, name);
        m_routes->sendKnownCrashes(name, CrashGuard::isReporter(m_settings.name, name, std::move(others)));
    }
    log(LogLevel::Info, "members", "senders=" + std::to_string(entryInstances.size()));
    m_routes->setEntryInstances(std::move(entryInstances), std::move(peers));
}

void RoutedDaemon::onLeadershipConfirmed(std::uint64_t term)
{
    if (!m_quota)
        return;
    auto configuration = m_configuration.current()->published.document.version;
    asio::post(m_broadcastStrand, [this, term, configuration, at = Clock::now()] {
        if (m_leadership && m_leadership->term == term)
            m_leadership->at = at;
        else
            m_leadership = { term, configuration, at };
    });
}

QuotaLeadership RoutedDaemon::quotaLeadership()
{
    auto leader = [this] { return m_configuration.lastNotice().leader; };
    // A notice that names this member is no confirmation: it may be from before a restart.
    auto confirmation = [this, leader]() -> std::optional<LeadershipConfirmation> {
        if (!m_leadership || Clock::now() - m_leadership->at >= quotaConfirmationTime || leader() != m_settings.name)
            return std::nullopt;
        auto log = m_control->status().log;
        bool isLeader = log.role == ControlRole::Leader && log.term == m_leadership->term;
        return isLeader ? m_leadership : std::nullopt;
    };
    auto entryInstances = [this]() -> std::optional<std::set<std::string>> {
        if (!m_hasMemberList)
            return std::nullopt;
        std::set<std::string> names;
        for (const auto& it : m_membership->livePeers()) {
            if (!it.controlMember)
                names.insert(it.name);
        }
        if (m_routes)
            names.insert(m_settings.name);
        return names;
    };
    return { confirmation, leader, entryInstances };
}

void RoutedDaemon::onQuotaReport(const Envelope& envelope)
{
    try {
        auto reply = m_quota->onReport(envelope.sender, envelope.incarnation, envelope.body, Clock::now());
        if (!reply.empty())
            sendTo(envelope.sender, MessageKind::QuotaReply, std::move(reply));
    } catch (const Error& error) {
        log(LogLevel::Warning, "quota", "Dropped a report of " + envelope.sender + ": " + error.what() + ".");
    }
}

/// The host of a link address is the name of the instance; see Node::addressOf.
void RoutedDaemon::onLinkDown(const std::string& address, Channel channel)
{
    if (m_routes && channel == Channel::Part)
        m_routes->onPeerLost(address.substr(0, address.find(':')));
}

void RoutedDaemon::keepRelayLinksOpen()
{
    if (!m_routes)
        return;
    for (const auto& it : m_routes->relayPeers())
        m_links->keepOpen(addressOf(it), Channel::Part);
}

void RoutedDaemon::onDirectory() { m_leavesChanged = true; }

void RoutedDaemon::onDirectoryAnswered()
{
    if (!m_awaitsNews.exchange(false))
        return;
    updateRouteLeaves();
    m_routes->onNews();
}

/// Applies changes of the directory, then acknowledges them. Both are batched, because applying takes time proportional
/// to the number of known leaves, and hundreds of leaves start together.
void RoutedDaemon::onLeavesTimer()
{
    auto acks = m_directoryAcks.with([](auto& it) { return std::exchange(it, {}); });
    updateRouteLeaves();
    for (const auto& [peer, number] : acks)
        sendTo(peer, MessageKind::DirectoryAck, {}, number);
}

void RoutedDaemon::updateRouteLeaves()
{
    if (!m_leavesChanged.exchange(false))
        return;
    auto leaves = m_membership->leaves();
    auto draining = std::count_if(leaves.begin(), leaves.end(), [](const Announcement& it) { return it.draining; });
    log(LogLevel::Info, "leaves",
        "known=" + std::to_string(leaves.size()) + " draining=" + std::to_string(draining)
            + " directory=" + std::to_string(m_membership->directoryVersion()));
    if (m_routes)
        m_routes->setLeaves(std::move(leaves));
}

void RoutedDaemon::logTraffic() const
{
    log(LogLevel::Info, "traffic",
        "bytes gossip=" + std::to_string(m_membership->counters().bytesSent) + " " + m_traffic.summary()
            + " open_links=" + std::to_string(m_links->counters().openChannels));
}

void RoutedDaemon::updateReadiness()
{
    if (!m_hasDirectory && Clock::now() - m_startedAt > m_routedSettings.directoryWait) {
        m_hasDirectory = true;
        m_hasMemberList = true;
        log(LogLevel::Info, "leaves",
            "No peer has sent a complete directory; the directory of this instance counts as complete.");
    }
    // An entry instance may be ready before it has a complete directory, as soon as it can serve its routes.
    bool canServe = m_routes ? m_routes->canServe() : m_hasDirectory.load();
    bool isReady = !m_stopping && m_decodedVersion > 0 && canServe;
    if (isReady != m_ready.exchange(isReady))
        log(LogLevel::Info, "ready", isReady ? "This instance is ready." : "This instance is not ready.");
}

void RoutedDaemon::answerReady(const HttpRequest& /*request*/, const Responder& responder)
{
    if (m_ready)
        responder.answer({ .body = "{\"ready\":true}" });
    else
        responder.fail(
            m_stopping ? ErrorKind::Stopping : ErrorKind::NotReady, "this instance is not ready for new requests");
}

void RoutedDaemon::answerMetrics(const HttpRequest& request, const Responder& responder) const
{
    if (request.target == "/metrics")
        responder.answer({ .contentType = "text/plain", .body = metrics() });
    else if (request.target == "/dump")
        responder.answer({ .contentType = "text/plain", .body = dump() });
    else if (m_routes && request.target.starts_with(explainPath))
        m_routes->explain(std::string(request.header("Host")), request.target.substr(explainPath.size()), responder);
    else
        responder.fail(ErrorKind::UnknownService, "unknown path; expected /metrics, /dump or /explain/PATH");
}

std::string RoutedDaemon::dump() const
{
    auto current = m_configuration.current();
    auto age = m_configuration.freshnessAge(Clock::now());
    std::string text;
    auto line = [&](std::string_view name, const std::string& value) {
        text.append(name).append(" ").append(value).append("\n");
    };
    line("instance", m_settings.name);
    line("zone", m_settings.zone);
    line("ready", m_ready ? "yes" : "no");
    line("configuration_version", std::to_string(current->published.document.version));
    line("published_version", std::to_string(current->published.version));
    line("leader_heard_ms_ago",
        age ? std::to_string(std::chrono::duration_cast<milliseconds>(*age).count()) : std::string("never"));
    for (const auto& it : current->rules.zonesOut)
        line("zone_out", it);
    for (const auto& it : m_membership->members())
        line("member", it.instance.name + " " + std::string(memberStatusName(it.status)));
    for (const auto& it : m_membership->leaves())
        line("leaf",
            it.leaf + " " + it.service + " " + it.address + " " + it.zone + (it.draining ? " draining" : " ready"));
    if (m_control)
        line("control", describe(m_control->status().log));
    return text;
}

void RoutedDaemon::onMessage(const Envelope& envelope)
{
    switch (static_cast<MessageKind>(envelope.kind)) {
    case MessageKind::DirectoryItems:
        m_membership->applyItems(
            decodeItems(envelope.body), [this, sender = envelope.sender, number = envelope.correlation] {
                m_directoryAcks.with([&](auto& it) { it.emplace_back(sender, number); });
            });
        return;
    case MessageKind::DirectoryForward:
        onDirectoryForward(envelope);
        return;
    case MessageKind::DirectoryAck:
        asio::post(m_broadcastStrand, [this, sender = envelope.sender, number = envelope.correlation] {
            m_broadcast.onAck(sender, number);
            m_zoneBroadcast.onAck(sender, number);
        });
        return;
    case MessageKind::Suspicion:
        if (m_routes)
            m_routes->onCrashNotice(envelope.sender, decodeCrashNotice(envelope.body));
        return;
    case MessageKind::QuotaReport:
        if (m_quota)
            asio::post(m_broadcastStrand, [this, envelope] { onQuotaReport(envelope); });
        return;
    case MessageKind::QuotaReply:
        if (m_routes)
            m_routes->onQuotaReply(decodeQuotaReply(envelope.body));
        return;
    case MessageKind::RelayRequest:
    case MessageKind::RelayAnswer:
    case MessageKind::RelayCancel:
        if (m_routes)
            m_routes->onRelayMessage(envelope);
        return;
    default:
        Node::onMessage(envelope);
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Configuration

void RoutedDaemon::putConfiguration(std::string content, std::function<void(PutResult, std::string)> done)
{
    auto bytes = content.size();
    done = [this, bytes, done = std::move(done)](PutResult result, std::string reason) {
        m_submittedBytes -= bytes;
        done(result, std::move(reason));
    };
    if (m_submittedBytes.fetch_add(bytes) + bytes > maxSubmittedBytes) {
        log(LogLevel::Warning, "config", "Refused a configuration, because too many others are not confirmed yet.");
        done(PutResult::Unknown, {});
        return;
    }
    PutDocument command;
    try {
        command.version = m_decodeConfiguration(content).version;
    } catch (const Error& error) {
        log(LogLevel::Info, "config", std::string("Refused an invalid configuration: ") + error.what());
        done(PutResult::Invalid, error.what());
        return;
    }
    command.content = std::move(content);
    auto version = command.version;
    m_controlClient->submit(
        std::move(command), proposalTimeout,
        [version, done = std::move(done)](const SubmitResult& result) {
            bool accepted = result.status == ProposeStatus::Committed;
            log(LogLevel::Info, "config",
                "document=" + std::to_string(version) + (accepted ? " accepted" : " not confirmed")
                    + " index=" + std::to_string(result.index));
            done(accepted ? PutResult::Accepted : PutResult::Unknown, {});
        },
        Clock::now());
}

/// Linearizable read: commits a no-op that is proposed after the request arrived, so the state at its index is current.
void RoutedDaemon::readConfiguration(std::function<void(std::optional<StoredDocument>)> done)
{
    if (!m_control) {
        done(std::nullopt);
        return;
    }
    auto deadline = Clock::now() + readTimeout;
    m_controlClient->submit(
        NoOp {}, readTimeout,
        [this, deadline, done = std::move(done)](const SubmitResult& result) mutable {
            if (result.status != ProposeStatus::Committed)
                done(std::nullopt);
            else
                answerRead(result.index, deadline, std::move(done));
        },
        Clock::now());
}

/// Passes the stored configuration to `done` once this member has applied the log up to `index`.
void RoutedDaemon::answerRead(
    std::uint64_t index, TimePoint deadline, std::function<void(std::optional<StoredDocument>)> done)
{
    m_control->post([this, index, deadline, done = std::move(done)]() mutable {
        if (m_control->state().appliedIndex() >= index) {
            done(m_control->state().document());
            return;
        }
        if (Clock::now() >= deadline) {
            done(std::nullopt);
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_io, readPollInterval);
        timer->async_wait([this, index, deadline, done = std::move(done), timer](const asio::error_code& ec) mutable {
            if (!ec)
                answerRead(index, deadline, std::move(done));
        });
    });
}

void RoutedDaemon::setZoneOut(ZoneOrder order, std::function<void(bool)> done)
{
    m_zoneOrders.submit(std::move(order), std::move(done), Clock::now());
}

/// Handles a request of an operator or a leaf, unless its caller has left already: it then has asked another member,
/// and may have asked for something else since, so that the request is out of date.
void RoutedDaemon::handleControlRequest(const HttpRequest& request, const Responder& responder)
{
    if (!responder.isCallerDisconnected()) {
        m_controlHandler(request, responder, *this);
        return;
    }
    m_counters.counter("control_callers_gone_total").add();
    log(LogLevel::Info, "control",
        "request " + request.method + " " + request.target + " outcome=caller_gone; it was not carried out");
}

} // namespace citronplank
