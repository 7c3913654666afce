#include "review/harness-2/Deployment.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr milliseconds acknowledgementTimeout { 1000 }; // then the next control member is called
constexpr milliseconds requestTimeout { 30000 };        // of an idle connection to a leaf
constexpr milliseconds pollInterval { 50 };
constexpr int zoneCount = 3;
constexpr int controlPort = 0; // offsets from the first port
constexpr int callerPort = 1;
constexpr int readyPort = 2;
constexpr int internalPort = 3;
constexpr int leafPort = 10;

std::uint64_t wallTimeMs()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

Names::Names(const std::filesystem::path& file)
{
    std::ifstream in(file);
    if (!in)
        throw std::runtime_error("cannot read " + file.string());
    for (std::string meaning, name; in >> meaning >> name;)
        m_names[meaning] = name;
}

Record::Record(const std::filesystem::path& file)
    : m_file(file)
{
}

std::int64_t Record::millisecondsOf(Clock::time_point at) const
{
    return std::chrono::duration_cast<milliseconds>(at - m_start).count();
}

void Record::add(const std::string& line)
{
    auto now = Clock::now();
    const std::lock_guard lock(m_mutex);
    m_file << millisecondsOf(now) << " " << line << std::endl;
}

// ---- Leaf

Leaf::Leaf(LeafSettings settings, const Names& names, Record& record)
    : m_settings(std::move(settings))
    , m_names(names)
    , m_record(record)
{
}

Leaf::~Leaf()
{
    if (m_isRunning)
        crash();
}

void Leaf::start(milliseconds coldFor)
{
    auto listener = listenOn(m_settings.address);
    {
        const std::lock_guard lock(m_mutex);
        m_listener = std::move(listener);
        m_startedAt = wallTimeMs();
        m_sequence = 0;
        m_isCrashing = false;
        m_isRunning = true;
    }
    m_record.add("leaf " + m_settings.name + " starts, cold for ms=" + std::to_string(coldFor.count()));
    if (coldFor > milliseconds::zero())
        becomeCold(coldFor);
    m_acceptThread = std::thread([this] { accept(); });
}

void Leaf::rename(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    m_settings.name = name;
}

LeafSettings Leaf::settings() const
{
    const std::lock_guard lock(m_mutex);
    return m_settings;
}

void Leaf::crash()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_isRunning = false;
        m_listener.shutDown();
        for (const auto& it : m_connections)
            it->shutDown();
        if (!m_coldTimes.empty())
            m_coldTimes.back().second = std::min(m_coldTimes.back().second, Clock::now());
    }
    m_acceptThread.join();
    {
        const std::lock_guard lock(m_mutex);
        m_listener.close();
        threads.swap(m_threads);
    }
    for (auto& it : threads)
        it.join();
    m_record.add("leaf " + m_settings.name + " has crashed");
}

void Leaf::becomeCold(milliseconds duration)
{
    auto now = Clock::now();
    const std::lock_guard lock(m_mutex);
    if (!m_coldTimes.empty() && m_coldTimes.back().second > now)
        m_coldTimes.back().second = now + duration;
    else
        m_coldTimes.emplace_back(now, now + duration);
    m_record.add("leaf " + m_settings.name + " is cold for ms=" + std::to_string(duration.count()));
}

milliseconds Leaf::coldLeft() const
{
    auto left = m_coldTimes.empty() ? Clock::duration::zero() : m_coldTimes.back().second - Clock::now();
    return std::max(std::chrono::ceil<milliseconds>(left), milliseconds::zero());
}

/// Whether more requests have arrived in the last second than it tolerates while it is cold.
bool Leaf::isOverloadedWhileCold() const
{
    const std::lock_guard lock(m_mutex);
    if (m_settings.coldCrashRate == 0 || coldLeft() == milliseconds::zero())
        return false;
    auto since = std::max(Clock::now() - std::chrono::seconds(1), m_coldTimes.back().first);
    return std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const Arrival& it) {
        return it.ran && it.at >= since;
    }) > m_settings.coldCrashRate;
}

std::string Leaf::report(const std::string& state)
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream text;
    text << R"({"service":")" << m_settings.service << R"(","address":")" << m_settings.address << R"(","zone":")"
         << m_settings.zone << R"(","version":"v1","slots":)" << m_settings.slots << R"(,"state":")" << state
         << R"(",")" << m_names["warm-up-field"] << "\":" << coldLeft().count() << R"(,"seq":)" << ++m_sequence
         << R"(,"born":)" << m_startedAt << "}";
    return text.str();
}

std::vector<Arrival> Leaf::arrivals() const
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

std::vector<std::pair<Clock::time_point, Clock::time_point>> Leaf::coldTimes() const
{
    const std::lock_guard lock(m_mutex);
    return m_coldTimes;
}

void Leaf::accept()
{
    while (m_isRunning) {
        auto socket = std::make_shared<Socket>(::accept4(m_listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
        const std::lock_guard lock(m_mutex);
        if (!socket->isOpen() || !m_isRunning)
            continue;
        m_connections.insert(socket);
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

void Leaf::serve(const std::shared_ptr<Socket>& socket)
{
    HttpReader reader(*socket);
    while (auto request = reader.read(requestTimeout)) {
        if (!m_isRunning || !writeAll(*socket, answer(*request)))
            break;
    }
    const std::lock_guard lock(m_mutex);
    m_connections.erase(socket);
    socket->close();
}

/// Runs a request, and returns the text of the response.
std::string Leaf::answer(const HttpMessage& request)
{
    auto id = request.header("Request-Id");
    if (request.target == "/health") {
        const std::lock_guard lock(m_mutex);
        return "HTTP/1.1 200 OK\r\n" + m_names["health-leaf-header"] + ": " + m_settings.name + "\r\n"
            + m_names["health-warm-up-header"] + ": " + std::to_string(coldLeft().count())
            + "\r\nContent-Length: 0\r\n\r\n";
    }
    bool isForThis = request.header(m_names["leaf-header"]) == m_settings.name;
    std::string head = "HTTP/1.1 200 OK\r\n";
    std::string body = "body of " + id + "\n";
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back({ Clock::now(), m_settings.name, m_startedAt, id, isForThis,
            !request.header("Authorization").empty(), request.header(m_names["customer-header"]) });
    }
    m_record.add("leaf " + m_settings.name + (isForThis ? " runs " : " rejects (other leaf meant) ") + id);
    if (!isForThis) {
        head = "HTTP/1.1 421 Misdirected Request\r\n" + m_names["not-run-header"] + ": 1\r\n";
        body.clear();
    } else if (m_isCrashing || (m_settings.crashesOn && m_settings.crashesOn(request)) || isOverloadedWhileCold()) {
        m_isCrashing = true;
        while (m_isRunning)
            std::this_thread::sleep_for(milliseconds(1));
    } else {
        std::this_thread::sleep_for(m_settings.work);
        head += m_names["signature-header"] + ": " + m_settings.name + "/" + id + "\r\n";
    }
    return head + "Request-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- Supervisor

Supervisor::Supervisor(Leaf& leaf, std::optional<milliseconds> downTime, milliseconds coldFor)
    : m_leaf(leaf)
    , m_thread([this, downTime, coldFor] { run(downTime, coldFor); })
{
}

Supervisor::~Supervisor()
{
    m_stopped = true;
    m_thread.join();
}

void Supervisor::run(std::optional<milliseconds> downTime, milliseconds coldFor)
{
    auto name = m_leaf.settings().name;
    while (!m_stopped) {
        std::this_thread::sleep_for(milliseconds(1));
        if (!m_leaf.isCrashing() || !m_leaf.isRunning())
            continue;
        m_leaf.crash();
        ++m_crashes;
        if (!downTime)
            continue;
        std::this_thread::sleep_for(*downTime);
        m_leaf.rename(name + "-" + std::to_string(1 + m_crashes));
        m_leaf.start(coldFor);
    }
}

// ---- Reporter

Reporter::Reporter(Leaf& leaf, std::vector<std::string> controlAddresses, milliseconds interval, Record& record)
    : m_leaf(leaf)
    , m_controlAddresses(std::move(controlAddresses))
    , m_interval(interval)
    , m_record(record)
    , m_thread([this] { run(); })
{
}

Reporter::~Reporter()
{
    m_stopped = true;
    m_thread.join();
}

void Reporter::delayUntil(Clock::time_point at) { m_notBefore = at; }

/// The first report of a lifetime follows at once, the others in intervals.
void Reporter::run()
{
    auto next = Clock::now();
    bool wasRunning = false;
    while (!m_stopped) {
        auto now = Clock::now();
        bool isRunning = m_leaf.isRunning();
        if (isRunning && !wasRunning)
            next = now;
        wasRunning = isRunning;
        if (isRunning && now >= next && now >= m_notBefore.load()) {
            reportOnce();
            next = now + m_interval;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
}

/// Calls the next control member if one does not acknowledge the report.
void Reporter::reportOnce()
{
    auto body = m_leaf.report("ready");
    for (std::size_t i = 0; i < m_controlAddresses.size() && !m_stopped; ++i) {
        const auto& address = m_controlAddresses[m_turn % m_controlAddresses.size()];
        auto response = request(address, "PUT", "/-/instances/" + m_leaf.settings().name,
            "Host: control\r\nContent-Type: application/json\r\n", body, acknowledgementTimeout);
        auto status = response ? response->status : 0;
        std::string line = "report ";
        m_record.add(
            line.append(body).append(" to ").append(address).append(" status=").append(std::to_string(status)));
        if (status / 100 == 2)
            return;
        ++m_turn;
    }
}

// ---- Deployment

Deployment::Deployment(std::filesystem::path root, std::filesystem::path folder, const Names& names, int entries)
    : m_root(std::move(root))
    , m_folder(std::move(folder))
    , m_names(names)
{
    std::random_device random;
    constexpr int firstNetwork = 80;
    constexpr int networks = 100;
    constexpr int firstPort = 20000; // below the ports that the system chooses for outgoing connections
    constexpr int ports = 10000;
    m_network = firstNetwork + static_cast<int>(random() % networks);
    m_port = firstPort + static_cast<int>(random() % ports);
    auto add = [&](int zone, int host, bool isControl) {
        auto ip = "127." + std::to_string(m_network) + "." + std::to_string(zone) + "." + std::to_string(host);
        m_instances.push_back({ ip, zoneName(zone), isControl });
    };
    for (int zone = 1; zone <= zoneCount; ++zone)
        add(zone, 1, true);
    for (int i = 0; i < entries; ++i)
        add(1 + i % zoneCount, 11 + i / zoneCount, false);
    m_values = { { "region", "region-1" }, { "heartbeat_ms", "1200" }, { "fault_tolerance.machines", "1" },
        { "limits.memory_mb", "260" }, { "limits.max_fds", "4100" }, { "bounds.grace_s", "6" },
        { "bounds.retry_budget_ratio", "0.2" }, { "bounds.retry_budget_slack", "52" },
        { "bounds.warmup_factor", "1.5" }, { "bounds.warmup_slack", "5" } };
}

Deployment::~Deployment()
{
    for (auto& it : m_instances) {
        if (it.pid <= 0)
            continue;
        kill(it.pid, SIGCONT);
        kill(it.pid, SIGKILL);
        waitpid(it.pid, nullptr, 0);
    }
}

std::vector<std::string> Deployment::controlAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& it : m_instances) {
        if (it.isControl)
            addresses.push_back(it.name + ":" + std::to_string(m_port + controlPort));
    }
    return addresses;
}

std::vector<std::string> Deployment::callerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& it : m_instances) {
        if (!it.isControl)
            addresses.push_back(it.name + ":" + std::to_string(m_port + callerPort));
    }
    return addresses;
}

std::string Deployment::leafAddress()
{
    constexpr int leafZone = 100; // third number of the addresses of leaves
    return "127." + std::to_string(m_network) + "." + std::to_string(leafZone) + "." + std::to_string(++m_lastLeaf)
        + ":" + std::to_string(m_port + leafPort);
}

/// Fills in the template that the deploy file names.
std::string Deployment::render(const Instance& instance, bool isFirstStart) const
{
    auto values = m_values;
    values["ip"] = instance.name;
    values["node_name"] = instance.name;
    values["zone"] = instance.zone;
    values["bootstrap"] = isFirstStart ? "true" : "false";
    values["internal_port_range.0"] = std::to_string(m_port + internalPort);
    for (const auto& it : controlAddresses())
        values["seeds"] += (values["seeds"].empty() ? "" : ",") + it;
    auto address = [&](int offset) { return instance.name + ":" + std::to_string(m_port + offset); };
    if (instance.isControl) {
        values["data_dir"] = (m_folder / ("data-" + instance.name)).string();
        values["bind_addrs.control"] = address(controlPort);
    } else {
        values["bind_addrs.front"] = address(callerPort);
        values["bind_addrs.ready"] = address(readyPort);
    }
    std::ifstream file(m_root / "deploy/settings.template");
    std::stringstream content;
    content << file.rdbuf();
    auto text = content.str();
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin)) {
        auto end = text.find("}}", begin);
        auto found = values.find(text.substr(begin + 2, end - begin - 2));
        auto value = found == values.end() ? std::string() : found->second;
        text.replace(begin, end + 2 - begin, value);
        begin += value.size();
    }
    return text;
}

void Deployment::startAll()
{
    for (auto& it : m_instances)
        start(it, true);
}

void Deployment::start(Instance& instance, bool isFirstStart)
{
    auto settings = m_folder / ("settings-" + instance.name);
    std::ofstream(settings) << render(instance, isFirstStart);
    if (instance.isControl)
        std::filesystem::create_directories(m_folder / ("data-" + instance.name));
    auto log = (m_folder / ("log-" + instance.name)).string();
    auto variable = m_names["settings-variable"] + "=" + settings.string();
    instance.pid = fork();
    if (instance.pid != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is ended before its destructors run
    int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(descriptor, STDOUT_FILENO);
    dup2(descriptor, STDERR_FILENO);
    if (chdir(m_root.c_str()) == 0) {
        char* const environment[] = { variable.data(), nullptr };
        execle("target/citronplank_platform", "target/citronplank_platform", nullptr, environment);
    }
    _exit(127);
}

void Deployment::signal(const Instance& instance, int number) { kill(instance.pid, number); }

bool Deployment::putConfiguration(const std::string& text, milliseconds timeout)
{
    auto end = Clock::now() + timeout;
    auto addresses = controlAddresses();
    for (std::size_t i = 0; Clock::now() < end; ++i) {
        auto response = request(addresses[i % addresses.size()], "PUT", "/-/config",
            "Host: control\r\nContent-Type: application/json\r\n", text, milliseconds(3000));
        if (response && response->status == 200)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

bool Deployment::waitReady(milliseconds timeout)
{
    auto end = Clock::now() + timeout;
    for (const auto& it : m_instances) {
        auto address = it.name + ":" + std::to_string(m_port + readyPort);
        bool isReady = it.isControl;
        while (!isReady && Clock::now() < end) {
            auto response = request(address, "GET", "/-/ready", "Host: ready\r\n", "", milliseconds(500));
            isReady = response && response->status == 200;
            std::this_thread::sleep_for(pollInterval);
        }
        if (!isReady)
            return false;
    }
    return true;
}

} // namespace review
