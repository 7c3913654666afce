// Prints tables of how the cost of the control log and of the zone lease scales. Members run in one process and store
// their data below the current folder, with simulated time and real fsync calls. Each message is encoded and decoded
// as on a link.
//
//     bench_ControlSlopes                   # all tables
//     bench_ControlSlopes configurations    # memory and disk of large configurations only
#include "coordination/ControlReplica.h"
#include "coordination/ViewCoordinator.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <malloc.h>

using namespace citronplank;

namespace {

constexpr std::uint64_t startMs = 1'764'844'800'000; // wall-clock time, in milliseconds since the Unix epoch
constexpr std::size_t answerBytes = 200;             // of a finished request, as assumed by the design limit

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double wallSeconds() { return std::chrono::duration<double>(Clock::now().time_since_epoch()).count(); }
double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Removes the folder and its content on construction and destruction.
class TemporaryFolder {
public:
    TemporaryFolder()
        : m_path(std::filesystem::current_path() / "control-slopes.data")
    {
        std::filesystem::remove_all(m_path);
    }
    ~TemporaryFolder()
    {
        std::error_code ec;
        std::filesystem::remove_all(m_path, ec);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

struct Member {
    std::unique_ptr<FileControlStorage> storage;
    std::unique_ptr<ControlReplica<FileControlStorage>> replica;
    double cpu = 0; // seconds of CPU time in callReplica(), including the codec of messages
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::size_t answers = 0; // results of proposed commands
};

/// Control members in one thread, with simulated time and a leader.
class Cluster {
public:
    /// Throws std::runtime_error if no leader is elected.
    explicit Cluster(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            m_names.push_back("control-" + std::to_string(i));
        for (const auto& name : m_names)
            open(name);
        runUntilLeader();
    }

    /// The leader that runUntilLeader() found last.
    Member& leader() { return m_members.at(m_leader); }
    std::map<std::string, Member>& members() { return m_members; }
    const std::string& leaderName() const { return m_leader; }
    const std::filesystem::path& folder() const { return m_folder.path(); }

    /// Advances the simulated time in steps of 20 ms.
    void run(milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += milliseconds(20);
            for (const auto& name : m_names)
                callReplica(name, [&](auto& replica) { return replica.tick(m_now); });
            deliverMessages();
        }
    }

    /// Submits the commands in batches with one sync per batch and waits for all results.
    template <typename MakeCommand>
    void commit(std::size_t count, std::size_t batch, MakeCommand makeCommand)
    {
        for (std::size_t i = 0; i < count;) {
            const auto expected = leader().answers + std::min(batch, count - i);
            for (std::size_t j = 0; j < batch && i < count; ++j, ++i)
                leader().replica->propose(makeCommand(i), ++m_lastProposal);
            callReplica(m_leader, [&](auto& replica) { return replica.flush(m_now); });
            deliverMessages();
            while (leader().answers < expected)
                run(milliseconds(20));
        }
    }

    /// Stops a member; its data stays on disk.
    void close(const std::string& name) { m_members.erase(name); }
    void open(const std::string& name)
    {
        auto& member = m_members[name];
        member.storage = std::make_unique<FileControlStorage>(folder() / name);
        ControlLogSettings settings { .name = name, .configuredMembers = m_names, .seed = hash64(name) };
        settings.wallTimeMs = [](TimePoint time) {
            return startMs + static_cast<std::uint64_t>(time.time_since_epoch() / milliseconds(1));
        };
        member.replica
            = std::make_unique<ControlReplica<FileControlStorage>>(*member.storage, std::move(settings), m_now);
    }

    /// Runs until a leader has applied all entries of its log. Throws std::runtime_error after 20 s of simulated time.
    void runUntilLeader()
    {
        for (int i = 0; i < 1000; ++i) {
            run(milliseconds(20));
            for (auto& [name, member] : m_members)
                if (member.replica->log().status().role == ControlRole::Leader
                    && member.replica->state().appliedIndex() >= member.replica->log().status().lastIndex) {
                    m_leader = name;
                    return;
                }
        }
        throw std::runtime_error("no control leader was elected within 20 s of simulated time");
    }

private:
    struct InFlight {
        std::string from;
        std::string to;
        std::string bytes;
    };

    /// Calls `function` with the replica, adds its CPU time to the member and queues its messages.
    template <typename Function>
    void callReplica(const std::string& name, Function function)
    {
        auto& member = m_members.at(name);
        const double before = cpuSeconds();
        const auto output = function(*member.replica);
        if (!output.failure.empty())
            throw std::runtime_error(output.failure);
        member.answers += output.answers.size();
        for (const auto& it : output.messages) {
            m_inFlight.push_back({ name, it.to, encode(it.message) });
            ++member.messagesSent;
            member.bytesSent += m_inFlight.back().bytes.size();
        }
        member.cpu += cpuSeconds() - before;
    }

    /// Delivers all messages, including those sent in response. Drops messages to closed members.
    void deliverMessages()
    {
        while (!m_inFlight.empty()) {
            const auto it = std::move(m_inFlight.front());
            m_inFlight.pop_front();
            if (m_members.contains(it.to))
                callReplica(it.to,
                    [&](auto& replica) { return replica.receive(it.from, decodeControlMessage(it.bytes), m_now); });
        }
    }

    TemporaryFolder m_folder;
    std::vector<std::string> m_names;
    std::map<std::string, Member> m_members;
    std::string m_leader;
    std::deque<InFlight> m_inFlight;
    std::uint64_t m_lastProposal = 0;
    TimePoint m_now { seconds(1) };
};

std::string requestKey(std::size_t i) { return std::to_string(startMs / 1000) + "-4f2a99c1d7e0" + std::to_string(i); }

Command beginRequest(std::size_t i)
{
    return BeginRequest { requestKey(i), "attempt-" + std::to_string(i), hash64(requestKey(i)), startMs };
}

Command finishRequest(std::size_t i)
{
    return FinishRequest { requestKey(i), "attempt-" + std::to_string(i), Outcome::Ran, std::string(answerBytes, 'a') };
}

/// Changes one of `lines` rule lines; `base` is the rules version that the edit is based on.
Command editRules(std::size_t i, std::size_t lines, std::uint64_t base)
{
    const auto key = "service loandesk-" + std::to_string(i % lines) + " hedge";
    const RuleLine line { key, std::to_string(i % 100) + "%", "nok: stragglers seen in october" };
    return EditRules { "atl-1/" + std::to_string(base) + "/" + std::to_string(i), "atl-1", base, { { key, line } } };
}

/// Size of all files in the folder and its subfolders.
std::uintmax_t bytesOf(const std::filesystem::path& folder)
{
    std::uintmax_t bytes = 0;
    for (const auto& it : std::filesystem::recursive_directory_iterator(folder))
        if (it.is_regular_file())
            bytes += it.file_size();
    return bytes;
}

void measureCommits()
{
    std::printf("commits of BeginRequest, 3 members in one thread, by batch size\n");
    std::printf("%8s %12s %14s %14s %14s\n", "batch", "commits/s", "leader us/cmd", "follower us/cmd", "leader B/cmd");
    for (const std::size_t batch : { 1, 8, 64, 256 }) {
        Cluster cluster(3);
        const std::size_t count = std::min<std::size_t>(100 * batch, 6400);
        std::map<std::string, double> before;
        for (auto& [name, member] : cluster.members())
            before[name] = member.cpu;
        const auto bytesBefore = cluster.leader().bytesSent;
        const double wallBefore = wallSeconds();
        cluster.commit(count, batch, beginRequest);
        const double wall = wallSeconds() - wallBefore;
        double followers = 0;
        for (auto& [name, member] : cluster.members())
            followers += name == cluster.leaderName() ? 0 : member.cpu - before[name];
        const auto n = static_cast<double>(count);
        std::printf("%8zu %12.0f %14.1f %14.1f %14.0f\n", batch, n / wall,
            (cluster.leader().cpu - before[cluster.leaderName()]) * 1e6 / n, followers / 2 * 1e6 / n,
            static_cast<double>(cluster.leader().bytesSent - bytesBefore) / n);
    }
}

void measureIdle()
{
    std::printf("\nidle members, 30 s of simulated time, by number of members\n");
    std::printf("%8s %12s %14s %14s %14s %14s\n", "members", "leader cpu%", "follower cpu%", "leader msg/s",
        "leader B/s", "follower B/s");
    for (const std::size_t size : { 3, 5, 7 }) {
        Cluster cluster(size);
        const auto& name = cluster.leaderName();
        auto& follower = cluster.members().begin()->first == name ? std::next(cluster.members().begin())->second
                                                                  : cluster.members().begin()->second;
        const auto leaderBefore
            = std::tuple(cluster.leader().cpu, cluster.leader().messagesSent, cluster.leader().bytesSent);
        const auto followerBefore = std::pair(follower.cpu, follower.bytesSent);
        constexpr int idleSeconds = 30;
        cluster.run(seconds(idleSeconds));
        const auto perSecond = [](auto value) { return static_cast<double>(value) / idleSeconds; };
        std::printf("%8zu %12.3f %14.3f %14.1f %14.0f %14.0f\n", size,
            100 * perSecond(cluster.leader().cpu - std::get<0>(leaderBefore)),
            100 * perSecond(follower.cpu - followerBefore.first),
            perSecond(cluster.leader().messagesSent - std::get<1>(leaderBefore)),
            perSecond(cluster.leader().bytesSent - std::get<2>(leaderBefore)),
            perSecond(follower.bytesSent - followerBefore.second));
    }
}

/// Restarts the only member and prints a row of the table.
void printRestart(Cluster& cluster, std::size_t count)
{
    const auto name = cluster.leaderName();
    const auto applied = cluster.leader().replica->state().appliedIndex();
    const auto snapshot = cluster.leader().replica->state().snapshot().size();
    const auto disk = bytesOf(cluster.folder());
    cluster.close(name);
    const double cpuBefore = cpuSeconds();
    const double wallBefore = wallSeconds();
    cluster.open(name);
    const double openSeconds = wallSeconds() - wallBefore;
    cluster.runUntilLeader();
    if (cluster.leader().replica->state().appliedIndex() < applied)
        throw std::runtime_error("committed control log entries were lost in the restart of the member");
    std::printf("%8zu %12.1f %14.1f %12.1f %12.1f %12.1f\n", count, static_cast<double>(disk) / 1024,
        static_cast<double>(snapshot) / 1024, openSeconds * 1e3, (wallSeconds() - wallBefore) * 1e3,
        (cpuSeconds() - cpuBefore) * 1e3);
}

/// Maximum resident memory of this process since the last call of restartPeak().
double peakBytes()
{
    std::ifstream in("/proc/self/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stod(line.substr(6)) * 1024;
    }
    return 0;
}

/// Returns freed memory to the system and sets the peak to what is resident now, which it returns.
double restartPeak()
{
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << 5;
    return peakBytes();
}

/// A configuration of about the size that the platform sends, with a service for each tenth route.
std::string configuration(std::size_t routes, std::uint64_t version)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t i = 0; i < routes; ++i) {
        auto number = std::to_string(10'000 + i);
        text.append(R"({"name":"route-)").append(number);
        text.append(R"(","host":"bulk.example","path_prefix":"/bulk/)").append(number);
        text.append(R"(/","route_type":"idempotent","timeout_ms":10000,"target_latency_ms":600,"priority":2,)");
        text.append(R"("service":"service-)").append(std::to_string(i / 10)).append(R"(","max_attempts":2},)");
    }
    text += "],\"services\":[";
    for (std::size_t i = 0; i < routes / 10; ++i)
        text += R"({"name":"service-)" + std::to_string(i)
            + R"(","health_path":"/health","max_connections":39,"protocol":"h1","tls":false,"warmup_s":3.0},)";
    return text + "]}";
}

/// Three members in one process; the size on disk is that of one member, and memory is that of all three.
void measureConfigurations()
{
    std::printf("\nchanges of a configuration, 3 members in one process: peak memory of all, maximum on one disk, and "
                "peak memory of one member that restarts\n");
    std::printf("%8s %8s %12s %12s %12s %14s %12s\n", "routes", "changes", "bytes each", "peak MiB", "disk MiB",
        "restart MiB", "commits/s");
    constexpr double mebibyte = 1024.0 * 1024;
    for (const std::size_t routes : { 350, 1000, 2450, 3500, 5000 }) {
        for (const std::size_t changes : { 1000, 2000 }) {
            const auto content = configuration(routes, 1);
            const double before = restartPeak();
            double peak = 0;
            std::uintmax_t disk = 0;
            double restart = 0;
            double rate = 0;
            {
                Cluster cluster(3);
                const auto folder = cluster.folder() / cluster.leaderName();
                const double wallBefore = wallSeconds();
                for (std::size_t first = 0; first < changes; first += 10) {
                    // Each change has a text of its own, as each that operators send.
                    cluster.commit(10, 1, [&](std::size_t i) {
                        return PutDocument { first + i + 1, std::string(content) };
                    });
                    disk = std::max(disk, bytesOf(folder));
                }
                rate = static_cast<double>(changes) / (wallSeconds() - wallBefore);
                peak = peakBytes() - before;
                const auto name = cluster.leaderName();
                cluster.close(name);
                const double beforeRestart = restartPeak();
                cluster.open(name);
                restart = peakBytes() - beforeRestart;
            }
            std::printf("%8zu %8zu %12zu %12.1f %12.1f %14.1f %12.0f\n", routes, changes, content.size(),
                peak / mebibyte, static_cast<double>(disk) / mebibyte, restart / mebibyte, rate);
            std::fflush(stdout);
        }
    }
}

void printRestartHeader(const char* name)
{
    std::printf("%8s %12s %14s %12s %12s %12s\n", name, "disk KiB", "snapshot KiB", "open ms", "restart ms", "cpu ms");
}

void measureRuleChanges()
{
    std::printf("\nrestart of a single member after single-line edits of 400 rule lines, by number of edits\n");
    printRestartHeader("edits");
    constexpr std::size_t lines = 400;
    constexpr std::size_t batch = 50;
    for (const std::size_t count : { 100, 400, 1300, 5000 }) {
        Cluster cluster(1);
        for (std::size_t first = 0; first < count; first += batch) {
            const auto base = cluster.leader().replica->state().rulesVersion();
            cluster.commit(std::min(batch, count - first), batch,
                [&](std::size_t i) { return editRules(first + i, lines, base); });
        }
        printRestart(cluster, count);
    }
}

void measureRequestKeys()
{
    std::printf(
        "\nrestart of a single member with finished request keys and answers of 200 bytes, by number of keys\n");
    printRestartHeader("keys");
    for (const std::size_t count : { 1000, 20'000, 100'000 }) {
        Cluster cluster(1);
        cluster.commit(count, 512, beginRequest);
        cluster.commit(count, 512, finishRequest);
        printRestart(cluster, count);
    }
}

/// Returns the heap bytes of a control state per item, for `count` items that take `commandsEach` commands each.
template <typename MakeCommand>
double stateBytes(std::size_t count, std::size_t commandsEach, MakeCommand makeCommand)
{
    const double before = heapBytes();
    ControlState state;
    std::uint64_t index = 0;
    for (std::size_t i = 0; i < count * commandsEach; ++i) {
        ++index;
        state.apply({ .index = index, .term = 1, .timestampMs = startMs, .command = makeCommand(i, state) });
    }
    return (heapBytes() - before) / static_cast<double>(count);
}

std::vector<std::string> memberNames(std::size_t zone, std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("zone-" + std::to_string(zone) + "-instance-" + std::to_string(1000 + i));
    return names;
}

void measureMemory()
{
    std::printf(
        "\nheap bytes of the control state per item, by number of items (0: not measured)\n%10s %12s %14s %12s\n",
        "items", "rule line", "request key", "view member");
    for (const std::size_t count : { 100, 1000, 10'000, 100'000 }) {
        const double line = stateBytes(count, 1,
            [&](std::size_t i, const ControlState& state) { return editRules(i, count, state.rulesVersion()); });
        const double key = stateBytes(count, 2, [&](std::size_t i, const ControlState&) {
            return i % 2 == 0 ? beginRequest(i / 2) : finishRequest(i / 2);
        });
        const double view = count > 10'000 ? 0 : stateBytes(1, 2, [&](std::size_t i, const ControlState&) {
            return Command(ChangeView { "zone-0", i, memberNames(0, count) });
        }) / static_cast<double>(count);
        std::printf("%10zu %12.0f %14.0f %12.0f\n", count, line, key, view);
    }
}

/// The first time column holds only the CPU time of ViewCoordinator::receive(), the second also that of decoding, of
/// encoding the answer and of the ticks.
void measureLeases()
{
    std::printf("\nlease requests at the leader, 4 zones, by number of daemons\n");
    std::printf("%8s %12s %14s %14s %14s %16s\n", "daemons", "us/request", "with codec us", "request B", "answer B",
        "answer+view B");
    constexpr std::size_t zones = 4;
    for (const std::size_t count : { 8, 100, 400, 860 }) {
        std::vector<ZoneView> views;
        for (std::size_t zone = 0; zone < zones; ++zone)
            views.push_back({ "zone-" + std::to_string(zone), 2, memberNames(zone, count / zones),
                memberNames(zone, count / zones), 7 });
        TimePoint now { seconds(1) };
        ViewCoordinator coordinator;
        coordinator.becomeLeader(views, now);
        std::vector<std::string> requests;
        for (const auto& view : views)
            for (const auto& member : view.members)
                requests.push_back(encodeZoneMessage(LeaseRequest { { view.zone, member, 3, 1, view.number } }));
        double coordinatorCpu = 0;
        std::size_t answered = 0;
        std::size_t answerSize = 0;
        const double before = cpuSeconds();
        while (answered < 20'000) {
            for (const auto& bytes : requests) {
                const auto message = decodeZoneMessage(bytes);
                const double start = cpuSeconds();
                const auto output = coordinator.receive(*message, now);
                coordinatorCpu += cpuSeconds() - start;
                for (const auto& it : output.answers)
                    answerSize = encodeZoneMessage(it.message).size();
                ++answered;
            }
            now += leaseRenewInterval;
            coordinator.tick(now);
        }
        const double total = cpuSeconds() - before;
        const auto full = coordinator.receive(LeaseRequest { { "zone-0", views[0].members[0], 3, 1, 1 } }, now);
        std::printf("%8zu %12.2f %14.2f %14zu %14zu %16zu\n", count,
            coordinatorCpu * 1e6 / static_cast<double>(answered), total * 1e6 / static_cast<double>(answered),
            requests[0].size(), answerSize,
            full.answers.empty() ? 0 : encodeZoneMessage(full.answers[0].message).size());
    }
}

void measureDifferences()
{
    std::printf("\nPublishedDifference by number of rule lines, and with 4 views of 860 daemons\n");
    std::printf("%8s %12s %14s %14s %18s\n", "lines", "bytes", "encode us", "apply us", "with 4 views bytes");
    for (const std::size_t count : { 1, 10, 100, 1000, 6500 }) {
        PublishedDifference difference { .cluster = 1, .fromVersion = 1, .version = 2, .rulesVersion = 2 };
        for (std::size_t i = 0; i < count; ++i) {
            const auto edit = std::get<EditRules>(editRules(i, count, 1));
            difference.lines.push_back({ *edit.changes[0].line, 7, "atl-1", startMs });
        }
        const auto bytes = encode(difference);
        const auto repeats = 20'000 / count + 1;
        double before = cpuSeconds();
        for (std::size_t i = 0; i < repeats; ++i)
            if (encode(difference).size() != bytes.size())
                throw std::runtime_error("the encoded PublishedDifference differs in size between calls");
        const double encodeTime = (cpuSeconds() - before) / static_cast<double>(repeats);
        PublishedState state { .cluster = 1, .version = 1 };
        before = cpuSeconds();
        for (std::size_t i = 0; i < repeats; ++i) {
            state.version = 1;
            applyDifference(state, decodePublishedDifference(bytes));
        }
        const double applyTime = (cpuSeconds() - before) / static_cast<double>(repeats);
        for (std::size_t zone = 0; zone < 4; ++zone)
            difference.views.push_back(
                { "zone-" + std::to_string(zone), 2, memberNames(zone, 215), memberNames(zone, 215), 7 });
        std::printf("%8zu %12zu %14.1f %14.1f %18zu\n", count, bytes.size(), encodeTime * 1e6, applyTime * 1e6,
            encode(difference).size());
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "configurations") {
        measureConfigurations();
        return 0;
    }
    measureCommits();
    measureIdle();
    measureRuleChanges();
    measureRequestKeys();
    measureMemory();
    measureLeases();
    measureDifferences();
    measureConfigurations();
}
