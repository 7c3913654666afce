#include "tests/SoakSystem.h"

#include <csignal>
#include <fstream>

namespace citronplank::testing {

namespace {

constexpr int zoneCount = 3;
constexpr milliseconds announcementInterval { 400 };
constexpr milliseconds controlTimeout { 2500 };
constexpr milliseconds maxServiceTime { 12 };
constexpr std::uint64_t requestsPerRefusal = 100; // a leaf refuses one in this many on average as not run

/// Returns the loopback address 127.NETWORK.ZONE.HOST:PORT. Each kind of listener has a network: 60 instances, 61
/// leaves, 62 relays to leaves, 63 relays to the caller ports of entry instances.
std::string addressOf(int network, int zone, int host, int port)
{
    return "127." + std::to_string(network) + "." + std::to_string(zone) + "." + std::to_string(host) + ":"
        + std::to_string(port);
}

std::string hostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

} // namespace

bool Disruptions::isUndisrupted(const std::string& target, SoakTime from, SoakTime until) const
{
    auto found = m_spans.find(target);
    return found == m_spans.end() || std::none_of(found->second.begin(), found->second.end(), [&](const Span& it) {
        return it.from <= until && it.until >= from;
    });
}

SoakSystem::SoakSystem(asio::io_context& io, std::uint64_t seed, int portBase)
    : m_io(io)
    , m_random(seed)
    , m_port(portBase)
    , m_folder(programFolder() / ("run-soak-" + std::to_string(seed)))
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    int host = 0;
    auto link = [&](int network, int zone, const std::string& target) {
        auto address = addressOf(network, zone, ++host, m_port);
        return std::pair(standins::makeTcpLink(m_io, address, address, target, m_random()), address);
    };
    auto addLeaf = [&](const std::string& service, int zone) {
        auto leaf = std::make_unique<SoakLeaf>();
        leaf->name = service + "-" + std::to_string(zone);
        leaf->service = service;
        leaf->zone = "z" + std::to_string(zone);
        leaf->address = addressOf(61, zone, ++host, m_port);
        std::tie(leaf->link, leaf->announcedAddress) = link(62, zone, leaf->address);
        m_leaves.push_back(std::move(leaf));
    };
    for (int zone = 1; zone <= zoneCount; ++zone) {
        auto control = hostOf(addressOf(60, zone, 1, m_port));
        m_instances[control] = { control, "z" + std::to_string(zone), true, {}, nullptr, nullptr, {} };
        auto entry = hostOf(addressOf(60, zone, 11, m_port));
        auto& it = m_instances[entry];
        it.ip = entry;
        it.zone = "z" + std::to_string(zone);
        std::tie(it.link, it.callerLinkAddress) = link(63, zone, addressOf(60, zone, 11, m_port + 1));
        for (const char* service : { "one-a", "one-b", "pay" })
            addLeaf(service, zone);
    }
    int zone = 0;
    for (const auto& shard : shards()) {
        addLeaf(shard, 1 + zone % zoneCount);
        addLeaf(shard, 1 + ++zone % zoneCount);
    }
}

std::vector<std::string> SoakSystem::instanceNames(bool isControl) const
{
    std::vector<std::string> names;
    for (const auto& [name, it] : m_instances) {
        if (it.isControl == isControl)
            names.push_back(name);
    }
    return names;
}

void SoakSystem::startInstance(const std::string& name)
{
    auto& it = m_instances.at(name);
    auto addressAt = [&](int portOffset) { return it.ip + ":" + std::to_string(m_port + portOffset); };
    auto settings = m_folder / ("settings-" + name);
    std::ofstream file(settings);
    file << "instance " << name << "\nzone " << it.zone << "\nregion soak\nbootstrap true\nannouncement-interval-ms "
         << announcementInterval.count() << "\ntolerated-members 1\ngrace-time-s 6\nfirst-internal-port " << m_port + 3
         << "\nseeds ";
    for (const auto& control : instanceNames(true))
        file << (control == instanceNames(true).front() ? "" : ",") << control << ":" << m_port;
    if (it.isControl)
        file << "\ndata-dir " << dataFolder(name).string() << "\ncontrol-address " << addressAt(0) << "\n";
    else
        file << "\ncaller-address " << addressAt(1) << "\nready-address " << addressAt(2) << "\n";
    file.close();
    if (it.isControl)
        std::filesystem::create_directories(dataFolder(name));
    it.stopRequestedAt.reset();
    it.process = std::make_unique<ChildProcess>(
        std::vector<std::string> { (programFolder() / "citronplank_platform").string() }, m_folder / ("log-" + name),
        std::vector<std::string> { "CITRONPLANK_CONFIG=" + settings.string() });
}

void SoakSystem::killInstance(const std::string& name)
{
    auto& it = m_instances.at(name);
    if (it.process) {
        it.process->signal(SIGKILL);
        it.process->wait(std::chrono::seconds(5));
    }
    it.process.reset();
}

std::vector<std::string> SoakSystem::takeUnexpectedExits()
{
    std::vector<std::string> exited;
    for (auto& [name, it] : m_instances) {
        if (it.process && !it.stopRequestedAt && !it.process->isRunning()) {
            exited.push_back(
                name + " exited unexpectedly with code " + std::to_string(it.process->wait(milliseconds(0))));
            it.process.reset();
        }
    }
    return exited;
}

void SoakSystem::startLeaf(SoakLeaf& leaf)
{
    leaf.isUp = true;
    leaf.isSilent = false;
    leaf.isLeaving = false;
    leaf.pause.reset();
    leaf.isDraining = false;
    leaf.drainAcknowledgedAt.reset();
    leaf.sequence = 0;
    leaf.boot = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    leaf.server = std::make_unique<standins::HttpServer>(
        m_io, standins::parseEndpoint(leaf.address),
        [this, &leaf](const standins::HttpMessage& request, const std::shared_ptr<standins::HttpSession>& session) {
            handleRequest(leaf, request, session);
        },
        [&leaf](const std::shared_ptr<standins::HttpSession>& session) {
            std::erase_if(leaf.sessions, [](const auto& it) { return it.expired(); });
            leaf.sessions.push_back(session);
            session->start();
        });
    leaf.server->open();
    announceRegularly(leaf);
}

void SoakSystem::crashLeaf(SoakLeaf& leaf)
{
    leaf.isUp = false;
    leaf.server->close();
    m_closedServers.push_back(std::move(leaf.server));
    for (const auto& it : std::exchange(leaf.sessions, {})) {
        if (auto session = it.lock())
            session->close(true);
    }
}

void SoakSystem::announceRegularly(SoakLeaf& leaf)
{
    announce(leaf, [](bool) {});
    runAfter(announcementInterval, [this, &leaf, boot = leaf.boot] {
        if (leaf.isUp && leaf.boot == boot)
            announceRegularly(leaf);
    });
}

void SoakSystem::announce(SoakLeaf& leaf, const std::function<void(bool)>& done)
{
    nlohmann::json body { { "service", leaf.service }, { "address", leaf.announcedAddress }, { "zone", leaf.zone },
        { "version", "v1" }, { "slots", 4 }, { "state", leaf.isDraining ? "draining" : "ready" },
        { "warmup_left_ms", 0 }, { "seq", ++leaf.sequence }, { "born", leaf.boot } };
    sendControlRequest("PUT", "/-/instances/" + leaf.name, body.dump(),
        [done](const standins::HttpResult& result, const std::string&) { done(result.response.status == 200); });
}

void SoakSystem::sendControlRequest(const std::string& method, const std::string& path, const std::string& body,
    std::function<void(standins::HttpResult, const std::string& member)> done)
{
    auto members = instanceNames(true);
    const auto& member = members[randomBelow(members.size())];
    auto client
        = std::make_shared<standins::HttpClient>(m_io, standins::parseEndpoint(member + ":" + std::to_string(m_port)));
    client->request(method, path, "Content-Type: application/json\r\nConnection: close\r\n", body, controlTimeout,
        [client, member, done = std::move(done)](standins::HttpResult result) { done(std::move(result), member); });
}

std::string SoakSystem::configuration(int version) const
{
    auto route = [](const char* name, const char* type) {
        return nlohmann::json { { "name", name }, { "host", "stand-in" },
            { "path_prefix", "/" + std::string(name) + "/" }, { "route_type", type },
            { "timeout_ms", routeTimeout.count() }, { "target_latency_ms", 200 }, { "max_attempts", 2 } };
    };
    auto list = route("list", "idempotent");
    list["gather"] = shards();
    list["top_k"] = topRecords;
    list["min_coverage"] = minCoverage;
    auto one = route("one", "idempotent");
    one["service"] = serviceOf(version);
    auto pay = route("pay", "non_idempotent");
    pay["service"] = "pay";
    nlohmann::json services = nlohmann::json::array();
    for (const char* name : { "one-a", "one-b", "pay", "s0", "s1", "s2", "s3" })
        services.push_back({ { "name", name }, { "max_connections", 25 } });
    return nlohmann::json { { "version", version }, { "routes", { list, one, pay } }, { "services", services } }.dump();
}

std::string SoakSystem::bodyOf(const std::string& service, const std::string& id)
{
    std::string body;
    for (std::size_t i = 0; i < recordsPerResponse; ++i) {
        auto key = service;
        key.append("/").append(id).append("/").append(std::to_string(i));
        std::mt19937_64 random(std::hash<std::string> {}(key));
        for (std::size_t n = 0; n < recordBytes; ++n)
            body += static_cast<char>('!' + random() % 90);
    }
    return body;
}

void SoakSystem::handleRequest(
    SoakLeaf& leaf, const standins::HttpMessage& request, const std::shared_ptr<standins::HttpSession>& session)
{
    auto id = request.header("request-id");
    if (request.header("expect-instance") != leaf.name)
        return session->respond(421, "", "");
    m_notices.onArrival(id, leaf.name, leaf.boot, SoakClock::now());
    auto respond = [this, &leaf, id, boot = leaf.boot, session](
                       int status, const std::string& headers, const std::string& body) {
        bool isLeaving = leaf.isLeaving && leaf.boot == boot && leaf.isUp;
        if (isLeaving)
            m_notices.onLeaving(id, leaf.name, boot, SoakClock::now());
        session->respond(
            status, headers + "Request-Id: " + id + "\r\n" + (isLeaving ? "Server-Leaving: 1\r\n" : ""), body);
    };
    if (leaf.pause) {
        m_notices.onPause(id, leaf.name, leaf.boot, SoakClock::now(), *leaf.pause);
        auto inSeconds = std::to_string(std::chrono::duration<double>(*leaf.pause).count());
        return respond(503, "Not-Executed: 1\r\nRetry-After: " + inSeconds + "\r\n", "");
    }
    if (randomBelow(requestsPerRefusal) == 0)
        return respond(503, "Not-Executed: 1\r\n", "");
    SoakExecution execution { leaf.name, leaf.service, leaf.zone, SoakClock::now(), {} };
    if (leaf.drainAcknowledgedAt)
        execution.afterDrain = execution.at - *leaf.drainAcknowledgedAt;
    m_executions[id].push_back(std::move(execution));
    if (leaf.isSilent)
        return;
    runAfter(milliseconds(1 + randomBelow(maxServiceTime.count())), [&leaf, id, respond] {
        respond(200, "Server-Stamp: " + signatureOf(leaf.name, id) + "\r\n", bodyOf(leaf.service, id));
    });
}

void SoakSystem::runAfter(milliseconds delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_io, delay);
    timer->async_wait([timer, task = std::move(task)](asio::error_code ec) {
        if (!ec)
            task();
    });
}

} // namespace citronplank::testing
