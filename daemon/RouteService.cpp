#include "daemon/RouteService.h"

#include "daemon/Handlers.h"
#include "daemon/Logging.h"

namespace citronplank {

namespace {

/// A cancelled attempt keeps its connection if the leaf answers within this time, because a new connection costs the
/// leaf more than finishing a short request. After it the connection is closed, so that the leaf can stop the work.
constexpr milliseconds cancelGracePeriod { 250 };
/// Share of the latency objective that a request may wait for a slot. The rest is left for the leaves.
constexpr double maxWaitShare = 0.2;
constexpr milliseconds typicalStartTime { 1100 }; // until an instance has a configuration, including an election
constexpr milliseconds minStartRetryAfter { 100 };
constexpr milliseconds crashRetryAfter { 60000 };  // longer than callers wait, since a retry would be refused too
constexpr milliseconds longTimerDelay { 250 };     // is logged
constexpr milliseconds routeCheckInterval { 100 }; // load balancers poll the readiness once a second

std::string_view kindName(RouteOutcome::Kind kind)
{
    switch (kind) {
    case RouteOutcome::Kind::Forwarded:
        return "forwarded";
    case RouteOutcome::Kind::Merged:
        return "merged";
    case RouteOutcome::Kind::Error:
        break;
    }
    return "error";
}

AttemptEnd attemptEndOf(UpstreamClient::CancelResult result)
{
    switch (result) {
    case UpstreamClient::CancelResult::NotSent:
        return AttemptEnd::Abandoned;
    case UpstreamClient::CancelResult::Answered:
        return AttemptEnd::Answered;
    case UpstreamClient::CancelResult::Unresponsive:
        return AttemptEnd::Unresponsive;
    case UpstreamClient::CancelResult::Ended:
        break;
    }
    return AttemptEnd::Lost;
}

/// Returns the number after which request ids start. It is taken from the wall clock, so that ids differ between
/// incarnations of this instance and a late answer to a request of an earlier incarnation matches no request of this
/// one. Its 40 bits leave room for the attempts or the relay number of each request in a 64-bit number.
std::uint64_t initialRequestId()
{
    constexpr std::uint64_t mask = (1ULL << 24U) - 1;
    constexpr unsigned requestsPerMillisecondBits = 16; // ids for the requests of one millisecond
    auto now = std::chrono::system_clock::now().time_since_epoch();
    auto ms = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
    return (ms & mask) << requestsPerMillisecondBits;
}

} // namespace

RouteService::RouteService(asio::io_context& io, const std::string& instance, const std::string& zone,
    const RouteProtocol& protocol, const SharedBounds& bounds, RelaySender sender, CrashNotifier notifyCrash,
    Counters& counters, TrafficCounters& traffic)
    : m_strand(asio::make_strand(io))
    , m_protocol(protocol)
    , m_counters(counters)
    , m_traffic(traffic)
    , m_instance(instance)
    , m_zone(zone)
    , m_policies(instance, zone)
    , m_upstream(std::make_shared<UpstreamClient>(m_strand, UpstreamSettings {}))
    , m_sender(std::move(sender))
    , m_notifyCrash(std::move(notifyCrash))
    , m_relayPeers(LockRank::Requests)
    , m_customerMetrics(LockRank::Requests)
    , m_waitTimer(m_strand)
    , m_lastId(initialRequestId())
    , m_checkTimer(m_strand)
    , m_quotaTimer(m_strand)
{
    m_policies.setBounds(bounds);
    m_upstream->setProcessEndHandler([this](const std::string& leaf) {
        if (m_policies.onProcessEnded(leaf))
            log(LogLevel::Info, "leaf", "leaf=" + leaf + " has ended; what starts at its address counts as cold");
    });
    scheduleChecks();
}

double RouteService::inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Formats a number with one decimal place.
std::string RouteService::formatDecimal(double value)
{
    std::array<char, 32> buf {};
    auto n = std::snprintf(buf.data(), buf.size(), "%.1f", value);
    return { buf.data(), static_cast<std::size_t>(n) };
}

std::string RouteService::joinNames(const std::vector<std::string>& names)
{
    std::string text;
    for (const auto& it : names)
        text += (text.empty() ? "" : ",") + it;
    return text;
}

RouteService::~RouteService() = default;

std::set<std::string> RouteService::relayPeers() const
{
    return m_relayPeers.with([](const std::set<std::string>& it) { return it; });
}

/// Checks the routes every `routeCheckInterval`.
void RouteService::scheduleChecks()
{
    callGuarded("routes", [this] { checkRoutes(); });
    m_checkTimer.expires_after(routeCheckInterval);
    m_checkTimer.async_wait([this](const std::error_code& ec) {
        if (!ec)
            scheduleChecks();
    });
}

/// Updates `canServe` and the relay peers, logs changes of the unresponsive zones and probes the leaves that are down.
void RouteService::checkRoutes()
{
    recordTimerDelay();
    checkView();
    checkQuota();
    updateCustomerMetrics();
    reportSpread();
    m_canServe = m_policies.canServe();
    if (std::exchange(m_relayPeersChanged, false))
        m_relayPeers.with([&](auto& it) { it = m_policies.relayPeers(); });
    auto unresponsive = m_policies.selector().unresponsiveZones();
    if (unresponsive != std::exchange(m_unresponsiveZones, unresponsive)) {
        std::string names;
        for (const auto& it : unresponsive)
            names.append(names.empty() ? "" : ",").append(it);
        log(LogLevel::Info, "leaf", "silent_zones=" + (names.empty() ? "none" : names));
    }
    for (const auto& leaf : m_policies.dueProbes(Clock::now())) {
        m_upstream->probe(leaf, [this, name = leaf.leaf](bool reached) {
            m_policies.onProbe(name, reached, Clock::now());
            log(LogLevel::Info, "leaf", "leaf=" + name + (reached ? " is reachable again" : " is still unreachable"));
        });
    }
}

/// The check timer is late if this process has stood still, or if its handlers have waited for each other.
void RouteService::recordTimerDelay()
{
    if (m_checkTimer.expiry() == TimePoint())
        return;
    auto delay = std::max(Clock::now() - m_checkTimer.expiry(), Duration::zero());
    m_counters.latency("timer_delay").record(delay);
    if (delay >= longTimerDelay)
        log(LogLevel::Info, "stall",
            "The timer of this instance is late by ms=" + formatDecimal(inMilliseconds(delay)));
}

void RouteService::setTable(std::shared_ptr<const RouteTable> table)
{
    asio::post(m_strand, [this, table = std::move(table)]() mutable {
        if (m_quota)
            m_quota->setLimits(table->customers(), Clock::now());
        m_policies.setTable(std::move(table));
        m_relayPeersChanged = true;
    });
}

void RouteService::setZonesOut(std::set<std::string, std::less<>> zones)
{
    asio::post(m_strand, [this, zones = std::move(zones)]() mutable { m_policies.setZonesOut(std::move(zones)); });
}

void RouteService::setLeaves(std::vector<Announcement> leaves)
{
    asio::post(m_strand, [this, leaves = std::move(leaves)]() mutable {
        std::unordered_set<std::string_view> names(leaves.size());
        for (const auto& it : leaves)
            names.insert(it.leaf);
        m_upstream->keepOnly(names);
        m_policies.setLeaves(std::move(leaves), Clock::now());
        m_relayPeersChanged = true;
    });
}

/// Each entry instance has a share of a leaf's connections, which shrinks with the number of entry instances. The new
/// limits are applied immediately because a new entry instance needs its share.
void RouteService::setEntryInstances(std::vector<std::string> names, RoutePolicies::PeersByZone peers)
{
    asio::post(m_strand, [this, names = std::move(names), peers = std::move(peers)]() mutable {
        if (m_quota)
            m_quota->setInstances(names);
        m_policies.setEntryInstances(std::move(names));
        m_policies.setPeers(peers);
        m_relayPeersChanged = true;
        for (const auto& it : m_policies.leaves())
            m_upstream->setLimit(it, m_policies.connectionLimit(it));
    });
}

void RouteService::onRequest(HttpRequest request, Responder responder)
{
    ++m_runningCount;
    asio::post(
        m_strand, [this, request = std::move(request), responder = std::move(responder), now = Clock::now()]() mutable {
            handleRequest(std::move(request), std::move(responder), now);
        });
}

void RouteService::refuse(
    const CallerInfo& caller, const HttpRequest& request, const Responder& responder, RouteOutcome outcome)
{
    log(LogLevel::Info, "query",
        "request id=" + caller.id + " target=" + request.target
            + " outcome=" + std::string(errorAnswer(outcome.error).name) + " reason=\"" + outcome.reason
            + "\" config=" + std::to_string(m_policies.table()->configuration().version)
            + (m_policies.table()->requiresKeys() ? " keys=required" : " keys=not_required"));
    m_counters.counter("route_refusals_total").add();
    responder.answer(m_protocol.renderOutcome(std::move(outcome), caller));
    --m_runningCount;
}

milliseconds RouteService::startRetryAfter() const
{
    auto left = typicalStartTime - std::chrono::duration_cast<milliseconds>(Clock::now() - m_startedAt);
    return std::max(left, minStartRetryAfter);
}

void RouteService::handleRequest(HttpRequest request, Responder responder, TimePoint arrivedAt)
{
    auto caller = m_protocol.readCallerInfo(request);
    if (responder.isCallerDisconnected()) {
        m_counters.counter("route_callers_gone_total").add();
        log(LogLevel::Info, "query",
            "request id=" + caller.id + " target=" + request.target + " outcome=caller_gone; it was not started");
        --m_runningCount;
        return;
    }
    if (!checkView()) {
        m_waitingForView.push_back({ std::move(request), std::move(responder), arrivedAt });
        return;
    }
    const auto& table = m_policies.table();
    if (table->configuration().version == 0) {
        refuse(caller, request, responder,
            { .error = ErrorKind::NotReady,
                .reason = "no configuration received yet",
                .retryAfter = startRetryAfter() });
        return;
    }
    auto route = table->find(request.header("Host"), request.target);
    if (!route) {
        refuse(caller, request, responder, { .error = ErrorKind::UnknownService, .reason = "no route matches" });
        return;
    }
    CustomerIdentity customer;
    if (!authorize(customer, request, *route)) {
        refuseUnauthorized(caller, request, responder);
        return;
    }
    if (m_crashGuard.isBlocked(fingerprintOf(request), Clock::now())) {
        refuse(caller, request, responder,
            { .error = ErrorKind::CrashSuspect,
                .reason = "earlier attempts of this request crashed leaves",
                .retryAfter = crashRetryAfter });
        return;
    }
    if (!takesWhileStopping(*route, caller, arrivedAt)) {
        refuseStopping(caller, request, responder);
        return;
    }
    m_policies.onRequest(*route);
    auto wait = std::chrono::duration_cast<Duration>(maxWaitShare * route->objective);
    WaitingRequest waiting { std::move(caller), std::move(customer), std::move(request), std::move(responder),
        arrivedAt, arrivedAt + wait, std::move(route) };
    admitWithinLimit(std::move(waiting));
}

void RouteService::startRequest(WaitingRequest it, ConcurrencyLimit* limit)
{
    auto deadline = deadlineOf(*it.route, it.caller, it.arrivedAt);
    auto id = ++m_lastId;
    auto execution = std::make_unique<RouteExecution>(std::move(it.route), m_policies.table(), it.arrivedAt, deadline,
        id * RouteExecution::attemptsPerRequest, m_policies);
    auto fingerprint = fingerprintOf(it.request);
    it.responder.onCallerDisconnected([this, id] { asio::post(m_strand, [this, id] { onCallerDisconnected(id); }); });
    auto& running = *m_running
                         .emplace(id,
                             std::make_unique<RunningRequest>(RunningRequest { std::move(it.caller),
                                 std::move(it.customer), std::move(it.request), fingerprint, std::move(it.responder),
                                 it.arrivedAt, std::move(execution), LeafConnection::Timer(m_strand), limit }))
                         .first->second;
    perform(id, running.execution->start(Clock::now()));
}

void RouteService::perform(Id id, RouteActions actions)
{
    if (actions.finish) {
        finish(id, std::move(actions));
        return;
    }
    performCancels(id, *m_running.at(id), actions);
    if (!actions.sends.empty() || !actions.relays.empty()) {
        auto& it = *m_running.at(id);
        if (!authorize(it.customer, it.request, it.execution->route())) {
            abortUnauthorized(id, actions);
            return;
        }
    }
    // Relays first: their path is longer.
    for (const auto& it : actions.relays)
        sendRelay(id, it);
    for (const auto& it : actions.sends)
        sendPart(id, it);
    if (!actions.nextTimer)
        return;
    auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    auto& running = *found->second;
    if (running.timerAt == actions.nextTimer)
        return;
    running.timerAt = actions.nextTimer;
    running.timer.expires_at(*actions.nextTimer);
    running.timer.async_wait([this, id](const std::error_code& ec) {
        if (!ec)
            onTimer(id);
    });
}

/// Cancels an attempt whose result is no longer needed. How it ends still shows whether the leaf is usable.
void RouteService::cancelAttempt(const std::string& leaf, std::uint64_t attempt)
{
    m_upstream->cancel(attempt, cancelGracePeriod, [this, leaf, attempt](UpstreamClient::CancelResult result) {
        auto end = attemptEndOf(result);
        bool wasDown = m_policies.selector().isDown(leaf);
        m_policies.onEnd(leaf, attempt, end, Clock::now());
        if (!wasDown && m_policies.selector().isDown(leaf))
            log(LogLevel::Info, "leaf",
                "leaf=" + leaf + " does not respond; it gets no requests until a connection attempt succeeds");
    });
}

void RouteService::sendToLeaf(const RouteSend& send, const HttpRequest& request, const CallerInfo& caller,
    const UpstreamClient::Callback& callback)
{
    try {
        auto bytes = m_protocol.renderRequest(request, send.leaf, send.remaining);
        m_traffic.onLeafBytes(send.leaf.zone == m_zone, bytes.size());
        auto counted = [this, isOwnZone = send.leaf.zone == m_zone, callback](LeafReply reply) {
            m_traffic.onLeafBytes(isOwnZone, reply.size());
            callback(std::move(reply));
        };
        m_upstream->send(send.attempt, send.leaf, send.connectionLimit,
            { std::move(bytes), request.method == "HEAD", send.firstSentAt,
                [this, caller](const LeafReply& reply) { return m_protocol.ownerOf(reply, caller); },
                [this, id = caller.id, leaf = send.leaf](
                    const LeafReply& reply) { recordNotice(leaf, m_protocol.readNotice(reply), "id=" + id); },
                [this, leaf = send.leaf, chosenAt = Clock::now()] {
                    return m_policies.notices().acceptsSince(leaf, chosenAt);
                } },
            std::move(counted));
    } catch (const Error& error) {
        log(LogLevel::Warning, "leaf", "leaf=" + send.leaf.leaf + " request could not be sent: " + error.what());
        asio::post(m_strand, [callback] {
            LeafReply reply;
            reply.end = LeafReply::End::NotWritten;
            callback(std::move(reply));
        });
    }
}

/// Records what a leaf said about itself in an answer. `source` names the request or the relay for the log.
void RouteService::recordNotice(const Announcement& leaf, const LeafNotice& notice, std::string_view source)
{
    if (!m_policies.onNotice(leaf, notice, Clock::now()))
        return;
    m_counters.counter(notice.isLeaving ? "leaf_leaving_notices_total" : "leaf_pause_notices_total").add();
    log(LogLevel::Info, "leaf",
        "notice " + std::string(source) + " leaf=" + leaf.leaf + " boot=" + std::to_string(leaf.boot)
            + (notice.isLeaving ? " leaving; it gets no new requests"
                                : " wants no requests for ms=" + std::to_string(notice.pause->count())));
}

void RouteService::sendPart(Id id, const RouteSend& send)
{
    m_counters.counter(send.isExtra ? "leaf_requests_extra_total" : "leaf_requests_first_total").add();
    const auto& running = *m_running.at(id);
    sendToLeaf(
        send, running.request, running.caller, [this, id, attempt = send.attempt, leaf = send.leaf](LeafReply reply) {
            onReply(id, attempt, leaf, std::move(reply));
        });
}

void RouteService::onReply(Id id, std::uint64_t attempt, const Announcement& leaf, LeafReply reply)
{
    checkView();
    auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    auto result = m_protocol.readReply(std::move(reply), found->second->caller);
    result.attempt = attempt;
    recordAttemptEnd(found->second->fingerprint, found->second->caller, leaf, result.status);
    if (found->second->responder.isCallerDisconnected()) {
        m_policies.onEnd(leaf.leaf, attempt, attemptEndOf(result.status), Clock::now());
        onCallerDisconnected(id);
        return;
    }
    if (result.status != AttemptResult::Status::Answered)
        logAttempt(*found->second, leaf, result);
    perform(id, found->second->execution->onResult(std::move(result), Clock::now()));
}

/// Equal for all attempts of a request that a caller sends again unchanged. Differs between customers, because a leaf
/// may crash at the request of one and answer that of another. Precondition: the request is authorized.
std::uint64_t RouteService::fingerprintOf(const HttpRequest& request) const
{
    auto sender = hash64(m_protocol.senderOf(request));
    return hash64(request.body, hash64(request.target, hash64(request.header("Host"), hash64(request.method, sender))));
}

void RouteService::onTimer(Id id)
{
    checkView();
    auto* running = findConnected(id);
    if (!running)
        return;
    running->timerAt.reset();
    perform(id, running->execution->onTimer(Clock::now()));
}

/// Returns a running request, or null if there is none. If its caller has disconnected, but the notification is still
/// queued, ends the request, so that it sends nothing more.
RouteService::RunningRequest* RouteService::findConnected(Id id)
{
    auto found = m_running.find(id);
    if (found == m_running.end())
        return nullptr;
    if (!found->second->responder.isCallerDisconnected())
        return found->second.get();
    onCallerDisconnected(id);
    return nullptr;
}

void RouteService::onCallerDisconnected(Id id)
{
    auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    m_counters.counter("route_callers_gone_total").add();
    perform(id, found->second->execution->cancel());
    log(LogLevel::Info, "query",
        "request id=" + found->second->caller.id + " route=" + found->second->execution->route().name
            + " outcome=caller_gone ms=" + formatDecimal(inMilliseconds(Clock::now() - found->second->arrivedAt))
            + " sends=" + std::to_string(found->second->execution->counters().sends)
            + " relayed=" + std::to_string(found->second->execution->counters().relayed));
    release(found->second->limit, ObservedLoad::Busy);
    m_running.erase(id);
    --m_runningCount;
}

/// Cancels the attempts and relays whose results are no longer needed.
void RouteService::performCancels(Id id, const RunningRequest& running, const RouteActions& actions)
{
    for (auto attempt : actions.cancels)
        cancelAttempt(running.execution->leafOf(attempt), attempt);
    for (const auto& [peer, relay] : actions.relayCancels)
        cancelRelay(id, running.caller, peer, relay);
}

/// Answers the caller. The messages that cancel the rest, and the log line, follow once the answer is written: on a
/// small instance they take several milliseconds, by which the caller would get its answer later.
void RouteService::finish(Id id, RouteActions actions)
{
    auto node = m_running.extract(id);
    auto running = std::shared_ptr<RunningRequest>(std::move(node.mapped()));
    auto& outcome = *actions.finish;
    auto now = Clock::now();
    m_counters.latency("route_latency").record(now - running->arrivedAt);
    m_counters.counter("route_answers_" + std::string(kindName(outcome.kind)) + "_total").add();
    release(running->limit, observedLoad(*running, outcome, now));
    auto logged = RouteOutcome { outcome.kind, {}, {}, outcome.missing, outcome.error, outcome.reason };
    logged.answer.status = outcome.answer.status;
    running->responder.answer(m_protocol.renderOutcome(std::move(outcome), running->caller));
    --m_runningCount;
    actions.finish = std::move(logged);
    asio::post(m_strand, [this, id, running = std::move(running), actions = std::move(actions), now] {
        performCancels(id, *running, actions);
        logAnswer(*running, *actions.finish, now);
    });
}

void RouteService::logAnswer(const RunningRequest& running, const RouteOutcome& outcome, TimePoint now)
{
    const auto& execution = *running.execution;
    const auto& route = execution.route();
    auto elapsed = now - running.arrivedAt;
    bool isUneventful = outcome.kind != RouteOutcome::Kind::Error && outcome.missing == 0
        && outcome.answer.status / 100 == 2 && (route.objective == milliseconds::zero() || elapsed < route.objective);
    auto level = isUneventful ? LogLevel::Debug : LogLevel::Info;
    if (!isLogged(level))
        return;
    const auto& counters = execution.counters();
    std::string text = "request id=" + running.caller.id + " route=" + route.name
        + " outcome=" + std::string(kindName(outcome.kind)) + " ms=" + formatDecimal(inMilliseconds(elapsed))
        + " answered=" + std::to_string(execution.answeredCount()) + "/" + std::to_string(execution.partCount())
        + " sends=" + std::to_string(counters.sends) + " hedges=" + std::to_string(counters.hedges) + " retries="
        + std::to_string(counters.retries) + " refusals=" + std::to_string(counters.refusals) + " failures="
        + std::to_string(counters.failures) + " config=" + std::to_string(m_policies.table()->configuration().version);
    if (counters.relayed > 0)
        text += " relayed=" + std::to_string(counters.relayed) + " broken_relays="
            + std::to_string(counters.brokenRelays) + " unsent_relays=" + std::to_string(counters.unsentRelays);
    text += " key=" + std::string(keyCheckOf(running.customer, route));
    text += " attempts=" + std::to_string(route.attempts) + (route.idempotent ? "" : " non_idempotent");
    if (running.caller.remaining)
        text += " caller_waits_ms=" + std::to_string(running.caller.remaining->count());
    if (outcome.kind == RouteOutcome::Kind::Error)
        text += " error=" + std::string(errorAnswer(outcome.error).name) + " reason=\"" + outcome.reason + "\"";
    else
        text += " status=" + std::to_string(outcome.answer.status);
    if (auto missing = execution.missingShards(now); !missing.empty())
        text += " missing=" + joinNames(missing);
    log(level, "query", text);
}

void RouteService::logAttempt(const RunningRequest& running, const Announcement& leaf, const AttemptResult& result)
{
    m_counters.counter("leaf_attempts_" + std::string(attemptStatusName(result.status)) + "_total").add();
    if (!isLogged(LogLevel::Info))
        return;
    log(LogLevel::Info, "leaf",
        "attempt id=" + running.caller.id + " leaf=" + leaf.leaf + " service=" + leaf.service
            + " address=" + leaf.address + " outcome=" + std::string(attemptStatusName(result.status))
            + " status=" + std::to_string(result.answer.status)
            + " ms=" + formatDecimal(inMilliseconds(Clock::now() - running.arrivedAt)));
}

void RouteService::stop()
{
    asio::post(m_strand, [this] {
        m_checkTimer.cancel();
        m_waitTimer.cancel();
        m_quotaTimer.cancel();
        m_waitingForToken.clear();
        m_waitingForView.clear();
        m_running.clear();
        m_relayed.clear();
        m_upstream->closeAll();
    });
}

} // namespace citronplank
