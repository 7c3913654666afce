#include "daemon/EntryService.h"

#include "daemon/CallerApi.h"
#include "daemon/KeyedMapping.h"

#include <random>

namespace citronplank {

namespace {

constexpr milliseconds submitTimeout { 2000 };  // covers two election timeouts, within which a leader is found
constexpr std::uint64_t maxKeyLeadSeconds = 60; // a key whose time is further in the future is refused

constexpr std::uint64_t maxFirstId = std::uint64_t { 1 } << 43U; // query ids must stay below 2^44; see partIdOf

std::uint64_t unixSeconds()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<seconds>(now).count());
}

ReplicaStatistics::RandomSource randomSource(std::uint64_t seed)
{
    return [engine = std::mt19937_64(seed)]() mutable { return engine(); };
}

} // namespace

EntryService::Table::Table(std::uint64_t seed)
    : statistics(PolicySettings::adaptive(), randomSource(seed))
    , lastId(std::mt19937_64(~seed)() % maxFirstId)
{
    // Admission does not depend on readiness: onRequest refuses requests only while the instance starts, and after that
    // they are served until the listener closes.
    admission.setReadiness(Readiness::Ready);
}

EntryService::EntryService(
    asio::io_context& io, EntrySettings settings, ConfigurationTable& configuration, EntryCallbacks callbacks)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_configuration(configuration)
    , m_callbacks(std::move(callbacks))
    , m_table(LockRank::ReplicaStatistics, std::random_device {}())
{
}

// ---------------------------------------------------------------------------------------------------------------
// Requests

void EntryService::onRequest(const HttpRequest& request, const Responder& responder)
{
    bool isKeyed = request.target == "/request";
    bool isFirstSend = request.header("Request-Attempt") == "1";
    try {
        if (!isKeyed && request.target != "/query")
            throw Error(ErrorKind::BadRequest, "unknown path; expected POST /query or POST /request");
        if (request.method != "POST")
            throw Error(ErrorKind::BadRequest, "method not supported; use POST");
        if (state() == EntryState::Starting)
            throw Error(ErrorKind::NotReady, "this instance is starting");
        if (isKeyed)
            startKeyed(request, responder, isFirstSend);
        else
            startQuery(request, responder);
    } catch (const Error& error) {
        fail(responder, isKeyed ? keyedRefusal(error, isFirstSend) : error);
    }
}

/// Returns the rules of a service. Lowers `deadline` to the deadline of the service if it is longer, and sets it to
/// that if it is 0 (not stated by the caller).
ServiceRules EntryService::rulesOf(
    const Configuration& configuration, const std::string& service, milliseconds& deadline) const
{
    auto it = configuration.rules.services.find(service);
    auto rules = it == configuration.rules.services.end() ? ServiceRules {} : it->second;
    if (deadline.count() == 0 || deadline > rules.deadline)
        deadline = rules.deadline;
    return rules;
}

void EntryService::startQuery(const HttpRequest& request, const Responder& responder)
{
    if (responder.isCallerDisconnected())
        return;
    auto query = parseQuery(request.body);
    auto configuration = m_configuration.current();
    auto rules = rulesOf(*configuration, query.service, query.deadline);
    if (rules.nonIdempotent.contains(query.operation))
        throw Error(ErrorKind::KeyMissing, "the operation is not idempotent; use POST /request with a Request-Key");
    auto layout = layoutOf(query.service);
    if (!layout)
        throw Error(ErrorKind::UnknownService, "no backend server of service " + query.service + " is announced");
    auto running = admit({ query.service, query.customer, query.deadline }, configuration->rules, responder);
    auto id = running->id;
    auto builder = QueryBuilder().query(std::move(query)).queryId(id).layout(std::move(layout)).rules(rules);
    advanceQuery(id, [&](Table& table, RunningRequest& it) {
        ++table.counters.queries;
        it.query = builder.build(table.statistics);
        return it.query->start(Clock::now());
    });
    responder.onCallerDisconnected([this, id] { onCallerDisconnected(id); });
}

void EntryService::startKeyed(const HttpRequest& request, const Responder& responder, bool isFirstSend)
{
    auto keyed = parseKeyedRequest(request.header("Request-Key"), request.body);
    auto time = parseRequestKey(keyed.key);
    if (!time || *time > unixSeconds() + maxKeyLeadSeconds)
        throw Error(ErrorKind::BadRequest,
            "the header Request-Key must be UNIXSECONDS-RANDOM with the time of the first attempt, not one in the "
            "future");
    auto configuration = m_configuration.current();
    auto rules = rulesOf(*configuration, keyed.service, keyed.deadline);
    auto layout = layoutOf(keyed.service);
    if (!layout)
        throw Error(ErrorKind::UnknownService, "no backend server of service " + keyed.service + " is announced");
    auto running = admit({ keyed.service, keyed.customer, keyed.deadline }, configuration->rules, responder);
    running->isFirstSend = isFirstSend;
    KeyedContext context { std::move(keyed), running->id,
        m_settings.instance + "/" + std::to_string(m_settings.incarnation) + "/" + std::to_string(running->id),
        std::move(layout), rules };
    advanceKeyed(running->id, [&](Table& table, RunningRequest& it) {
        ++table.counters.keyedRequests;
        it.keyed = std::make_unique<KeyedRun>(std::move(context), table.statistics);
        return it.keyed->start(Clock::now());
    });
}

/// Returns the layout of a service, or null if no leaf of the service is announced. It is cached until the directory,
/// the configuration or its freshness changes.
std::shared_ptr<const PinnedLayout> EntryService::layoutOf(const std::string& service)
{
    auto configuration = m_configuration.current();
    auto isFresh = m_configuration.isFresh(Clock::now());
    auto version = m_callbacks.directoryVersion();
    auto cached = m_table.with([&](Table& table) -> std::shared_ptr<const PinnedLayout> {
        auto it = table.layouts.find(service);
        if (it == table.layouts.end() || it->second.directoryVersion != version
            || it->second.configuration != configuration || it->second.isFresh != isFresh)
            return nullptr;
        return it->second.layout;
    });
    if (cached)
        return cached;
    auto replicas = m_callbacks.replicasOf(service);
    if (replicas.empty())
        return nullptr;
    ReplicaFilter filter { &configuration->rules, isFresh ? std::string() : m_settings.zone };
    return m_table.with([&](Table& table) {
        auto layout = table.chooser.choose(service, replicas, filter);
        table.layouts[service] = { layout, version, configuration, isFresh };
        return layout;
    });
}

std::shared_ptr<EntryService::RunningRequest> EntryService::admit(
    AdmissionRequest request, const Rules& rules, const Responder& responder)
{
    auto running = std::make_shared<RunningRequest>(m_io, responder);
    running->admitted = std::move(request);
    m_table.with([&](Table& table) {
        if (auto refusal = table.admission.admit(running->admitted, rules, Clock::now()))
            throw *refusal;
        running->id = ++table.lastId;
        table.running.emplace(running->id, running);
    });
    return running;
}

void EntryService::remove(Table& table, const std::shared_ptr<RunningRequest>& it)
{
    if (table.running.erase(it->id) == 0)
        return;
    table.admission.release(it->admitted, Clock::now());
    it->timer.cancel();
}

// ---------------------------------------------------------------------------------------------------------------
// Events of running requests

/// Calls `function` for a running query under the lock, then performs the returned actions without it. Does nothing if
/// the query has ended.
template <typename Function>
void EntryService::advanceQuery(std::uint64_t id, Function&& function)
{
    std::shared_ptr<RunningRequest> running;
    auto actions = m_table.with([&](Table& table) -> std::optional<QueryActions> {
        auto it = table.running.find(id);
        if (it == table.running.end())
            return std::nullopt;
        running = it->second;
        auto next = function(table, *running);
        if (next.partWait)
            table.admission.onPartWait(running->admitted.service, *next.partWait, Clock::now());
        if (next.finish)
            remove(table, running);
        else
            armTimer(running, next.nextTimer);
        return next;
    });
    if (actions)
        performQuery(running, std::move(*actions));
}

/// Does the same as `advanceQuery` for a keyed request.
template <typename Function>
void EntryService::advanceKeyed(std::uint64_t id, Function&& function)
{
    std::shared_ptr<RunningRequest> running;
    auto actions = m_table.with([&](Table& table) -> std::optional<KeyedActions> {
        auto it = table.running.find(id);
        if (it == table.running.end())
            return std::nullopt;
        running = it->second;
        auto next = function(table, *running);
        if (running->keyed->isDone())
            remove(table, running);
        else
            armTimer(running, next.nextTimer);
        return next;
    });
    if (actions)
        performKeyed(running, std::move(*actions));
}

/// Restarts the timer of a request, unless `at` is absent. Precondition: the caller holds the lock of the table, which
/// serializes access to the timer.
void EntryService::armTimer(const std::shared_ptr<RunningRequest>& running, std::optional<TimePoint> at)
{
    if (!at)
        return;
    running->timer.expires_at(*at);
    running->timer.async_wait([this, id = running->id](const asio::error_code& ec) {
        if (!ec)
            onTimer(id);
    });
}

void EntryService::onTimer(std::uint64_t id)
{
    auto isKeyed = m_table.with([&](Table& table) {
        auto it = table.running.find(id);
        return it != table.running.end() && it->second->keyed;
    });
    auto now = Clock::now();
    if (isKeyed)
        advanceKeyed(id, [&](Table&, RunningRequest& it) { return it.keyed->onTimer(now); });
    else
        advanceQuery(id, [&](Table&, RunningRequest& it) { return it.query->onTimer(now); });
}

void EntryService::onResult(const PartResult& result)
{
    auto id = queryIdOfPart(result.partId);
    auto isKeyed = m_table.with([&](Table& table) -> std::optional<bool> {
        auto it = table.running.find(id);
        if (it == table.running.end()) {
            ++table.counters.lateResults;
            return std::nullopt;
        }
        return it->second->keyed != nullptr;
    });
    if (!isKeyed)
        return;
    auto now = Clock::now();
    if (*isKeyed) {
        advanceKeyed(id, [&](Table&, RunningRequest& it) { return it.keyed->onResult(result, now); });
        return;
    }
    auto checked = result;
    // A body that is not a JSON array would make the whole answer invalid; the shard counts as failed instead.
    if (checked.status == PartStatus::Ok && !isItemList(checked.body)) {
        checked.status = PartStatus::Failed;
        checked.body.clear();
    }
    advanceQuery(id, [&](Table&, RunningRequest& it) { return it.query->onResult(checked, now); });
}

void EntryService::onCallerDisconnected(std::uint64_t id)
{
    std::shared_ptr<RunningRequest> running;
    auto actions = m_table.with([&](Table& table) -> std::optional<QueryActions> {
        auto it = table.running.find(id);
        if (it == table.running.end() || !it->second->query)
            return std::nullopt;
        running = it->second;
        remove(table, running);
        return running->query->cancel(Clock::now());
    });
    if (actions)
        performQuery(running, std::move(*actions));
}

// ---------------------------------------------------------------------------------------------------------------
// Actions

void EntryService::performQuery(const std::shared_ptr<RunningRequest>& running, QueryActions actions)
{
    for (const auto& it : actions.cancels)
        m_callbacks.cancelPart(it);
    for (const auto& it : actions.sends)
        m_callbacks.sendPart(it);
    if (actions.needsLayout) {
        auto layout = layoutOf(running->admitted.service);
        advanceQuery(running->id, [&](Table&, RunningRequest& it) { return it.query->onLayout(layout, Clock::now()); });
    }
    if (actions.finish)
        answerQuery(running, *actions.finish);
}

void EntryService::performKeyed(const std::shared_ptr<RunningRequest>& running, KeyedActions actions)
{
    if (actions.propose)
        propose(running->id, *actions.propose);
    if (actions.readRecord)
        readRecord(running->id);
    for (const auto& it : actions.cancels)
        m_callbacks.cancelPart(it);
    if (actions.send)
        m_callbacks.sendPart(*actions.send);
    if (actions.finish)
        answerKeyed(running, *actions.finish);
}

void EntryService::propose(std::uint64_t id, const KeyedProposal& proposal)
{
    if (const auto* begin = std::get_if<BeginKeyed>(&proposal))
        m_table.with([&](Table& table) {
            if (auto it = table.running.find(id); it != table.running.end())
                it->second->begin = *begin;
        });
    m_callbacks.submit(toCommand(proposal), submitTimeout, [this, id, proposal](const SubmitResult& result) {
        auto reply = toReply(result, proposal);
        advanceKeyed(id, [&](Table&, RunningRequest& it) { return it.keyed->onProposal(reply, Clock::now()); });
    });
}

/// Reads the record of a keyed request by proposing its last BeginRequest again; see `toRecord`.
void EntryService::readRecord(std::uint64_t id)
{
    auto begin = m_table.with([&](Table& table) -> std::optional<BeginKeyed> {
        auto it = table.running.find(id);
        return it == table.running.end() ? std::nullopt : it->second->begin;
    });
    if (!begin)
        return;
    m_callbacks.submit(toCommand(*begin), submitTimeout, [this, id, begin](const SubmitResult& result) {
        auto reply = toRecord(result, *begin);
        advanceKeyed(id, [&](Table&, RunningRequest& it) { return it.keyed->onRecord(reply, Clock::now()); });
    });
}

void EntryService::answerQuery(const std::shared_ptr<RunningRequest>& running, const QueryOutcome& outcome)
{
    if (const auto* error = std::get_if<Error>(&outcome)) {
        fail(running->responder, *error);
        return;
    }
    const auto& answer = std::get<QueryAnswer>(outcome);
    m_table.with([&](Table& table) {
        auto& counters = table.counters;
        ++(answer.coverage.isWhole() ? counters.queriesWhole : counters.queriesPartial);
        const auto& run = running->query->counters();
        counters.parts += run.parts;
        counters.hedges += run.hedges;
        counters.retries += run.retries;
        counters.restarts += run.restarts;
        counters.lateResults += run.lateResults;
        counters.foreignResults += run.foreignResults;
    });
    running->responder.answer({ .body = renderAnswer(answer) });
}

void EntryService::answerKeyed(const std::shared_ptr<RunningRequest>& running, const KeyedOutcome& outcome)
{
    if (const auto* error = std::get_if<Error>(&outcome)) {
        fail(running->responder, keyedRefusal(*error, running->isFirstSend));
        return;
    }
    m_table.with([](Table& table) { ++table.counters.keyedRan; });
    running->responder.answer({ .body = renderKeyedAnswer(std::get<KeyedAnswer>(outcome).body) });
}

void EntryService::fail(const Responder& responder, const Error& error)
{
    m_table.with([&](Table& table) { ++table.counters.errors[error.kind()]; });
    responder.fail(error.kind(), error.what());
}

// ---------------------------------------------------------------------------------------------------------------
// State

void EntryService::onConfiguration()
{
    auto configuration = m_configuration.current();
    m_table.with([&](Table& table) { table.statistics.setRules(configuration->rules); });
}

void EntryService::applySuspicion(const SuspicionEvent& event, TimePoint expiresAt)
{
    m_table.with([&](Table& table) {
        auto& suspicions = table.statistics.suspicions();
        if (event.state == Suspicion::Blocked)
            suspicions.adoptBlocked(event.fingerprint, expiresAt);
        else if (event.state == Suspicion::Suspect)
            suspicions.adoptSuspect(event.fingerprint, event.shard, event.wasAlone, Clock::now());
        else
            suspicions.adoptCleared(event.fingerprint);
    });
}

void EntryService::setState(EntryState state)
{
    m_table.with([&](Table& table) { table.state = state; });
}

EntryState EntryService::state() const
{
    return m_table.with([](Table& table) { return table.state; });
}

EntryCounters EntryService::counters() const
{
    return m_table.with([](Table& table) {
        auto counters = table.counters;
        counters.running = table.running.size();
        return counters;
    });
}

std::uint64_t EntryService::runningCount() const
{
    return m_table.with([](Table& table) { return table.running.size(); });
}

} // namespace citronplank
