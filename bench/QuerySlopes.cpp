// Prints tables of the CPU time per part of each step of a query, of how it scales, and of the memory of the leaf
// directory. Runs only state machines without I/O and codecs, without sockets, threads or leaves.
//
//     bench_QuerySlopes
#include "coordination/LeafDirectory.h"
#include "daemon/CallerApi.h"
#include "daemon/PartMessages.h"
#include "query/LeafGates.h"
#include "query/QueryExecution.h"

#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <random>

using namespace citronplank;

namespace {

constexpr std::size_t partsMeasured = 200'000; // per data point, so that its run time is far above the clock resolution
constexpr std::uint32_t replicasOfShard = 2;

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Calls `function`, which processes `unitsPerCall` units, until at least `count` units are done. Returns microseconds
/// of CPU time per unit.
template <typename Function>
double microsecondsPerUnit(std::size_t count, std::size_t unitsPerCall, Function function)
{
    const std::size_t calls = count / unitsPerCall + 1;
    const double before = cpuSeconds();
    for (std::size_t i = 0; i < calls; ++i)
        function();
    return (cpuSeconds() - before) * 1e6 / static_cast<double>(calls * unitsPerCall);
}

/// Aborts the benchmark with std::runtime_error unless the condition holds, because its measurements would otherwise be
/// meaningless.
void require(bool condition, const char* what)
{
    if (!condition)
        throw std::runtime_error(what);
}

Announcement announcementOf(std::uint32_t shard, std::uint32_t replica, std::uint32_t shards)
{
    return { .leaf = "loandesk-" + std::to_string(shard) + "-" + std::to_string(replica),
        .service = "loandesk",
        .zone = "zone-" + std::to_string(replica % 4),
        .address = "10.20." + std::to_string(shard / 200) + "." + std::to_string(shard % 200) + ":8080",
        .boot = 1'764'844'800,
        .sequence = 1,
        .slots = 2,
        .connections = 25,
        .versions = { { 1'764'844'000, shard, shards } } };
}

/// Announcements of `count` leaves, with `replicasOfShard` leaves per shard.
std::vector<Announcement> announcementsOf(std::size_t count)
{
    std::vector<Announcement> announcements;
    const auto shards = static_cast<std::uint32_t>(count / replicasOfShard);
    for (std::uint32_t shard = 0; shard < shards; ++shard)
        for (std::uint32_t replica = 0; replica < replicasOfShard; ++replica)
            announcements.push_back(announcementOf(shard, replica, shards));
    return announcements;
}

/// JSON array of one string, of `bytes` bytes in total; at least 4.
std::string itemsOf(std::size_t bytes) { return "[\"" + std::string(bytes > 4 ? bytes - 4 : 0, 'x') + "\"]"; }

PartResult resultOf(const Part& part)
{
    return { .partId = part.partId,
        .status = PartStatus::Ok,
        .outcome = Outcome::Ran,
        .shard = part.shard,
        .leafTime = milliseconds(5),
        .body = itemsOf(200) };
}

/// Runs a query with one part per shard of the layout; each part is answered after 5 ms of simulated time. Returns the
/// answer and advances `now`.
QueryAnswer runQuery(ReplicaStatistics& policies, const std::shared_ptr<const PinnedLayout>& layout,
    std::uint64_t queryId, TimePoint& now)
{
    auto query = QueryBuilder()
                     .query({ .service = "loandesk", .operation = "list", .deadline = milliseconds(130), .body = "{}" })
                     .queryId(queryId)
                     .layout(layout)
                     .build(policies);
    const auto started = query->start(now);
    now += milliseconds(5);
    QueryActions last;
    for (const auto& it : started.sends)
        last = query->onResult(resultOf(it.part), now);
    require(last.finish && std::holds_alternative<QueryAnswer>(*last.finish),
        "a query did not end with an answer after the results of all parts");
    return std::get<QueryAnswer>(*last.finish);
}

void measureQueries()
{
    std::printf("entry instance: one query over all shards, 2 replicas each, 200-byte items, by number of shards\n");
    std::printf("%8s %16s %18s %16s\n", "shards", "execution us/part", "render us/part", "answer bytes");
    for (const std::size_t shards : { 10, 100, 1000 }) {
        LayoutChooser chooser;
        const auto layout = chooser.choose("loandesk", announcementsOf(shards * replicasOfShard));
        std::mt19937_64 random { 42 };
        ReplicaStatistics policies(PolicySettings::adaptive(), [&] { return random(); });
        TimePoint now { seconds(1) };
        std::uint64_t queryId = 0;
        QueryAnswer answer;
        const double execution
            = microsecondsPerUnit(partsMeasured, shards, [&] { answer = runQuery(policies, layout, ++queryId, now); });
        require(answer.parts.size() == shards, "the answer does not cover all shards");
        std::size_t bytes = 0;
        const double render = microsecondsPerUnit(partsMeasured, shards, [&] { bytes = renderAnswer(answer).size(); });
        std::printf("%8zu %16.2f %18.2f %16zu\n", shards, execution, render, bytes);
    }
}

/// Submits one part for each leaf of `from`, then the results of all parts.
void runParts(LeafGates& gates, std::span<const Announcement> from, std::uint64_t& partId, TimePoint& now)
{
    std::vector<GateDispatch> running;
    for (const auto& it : from) {
        const Part part { .partId = ++partId,
            .service = it.service,
            .leaf = it.leaf,
            .shard = it.versions[0],
            .remaining = milliseconds(130),
            .fingerprint = 7,
            .body = "{}" };
        auto actions = gates.submit("entry/1", part, now);
        require(actions.dispatches.size() == 1, "a part was not dispatched immediately");
        running.push_back(std::move(actions.dispatches[0]));
    }
    now += milliseconds(5);
    for (const auto& it : running)
        require(gates.onResult(resultOf(it.part), now).answers.size() == 1,
            "the result of a part was not passed on to its sender");
}

void measureGates()
{
    std::printf("\nowner: submit and result of one part, by number of leaves of the gates; with one part running on "
                "each leaf,\n"
                "and with 8 parts running in total, as on an owner of 8 leaves of its zone\n");
    std::printf("%8s %16s %16s %18s %16s %14s\n", "leaves", "all us/part", "8 us/part", "allowance us/call",
        "status us/leaf", "heap B/leaf");
    for (const std::size_t count : { 8, 50, 200, 1000, 1624 }) {
        TimePoint now { seconds(1) };
        const auto announcements = announcementsOf(count);
        const double heapBefore = heapBytes();
        LeafGates gates;
        const LeafAllowance allowance { .limit = 2, .until = now + seconds(1'000'000) };
        for (const auto& it : announcements) {
            gates.setLeaf(it, now);
            gates.setAllowance(it.leaf, allowance, now);
        }
        const double heap = (heapBytes() - heapBefore) / static_cast<double>(count);
        std::uint64_t partId = 0;
        const double all
            = microsecondsPerUnit(partsMeasured, count, [&] { runParts(gates, announcements, partId, now); });
        constexpr std::size_t owned = 8;
        const double few = microsecondsPerUnit(
            partsMeasured, owned, [&] { runParts(gates, std::span(announcements).first(owned), partId, now); });
        std::size_t next = 0;
        const double renewal = microsecondsPerUnit(
            20'000, 1, [&] { gates.setAllowance(announcements[next++ % announcements.size()].leaf, allowance, now); });
        const double status = microsecondsPerUnit(20'000, count,
            [&] { require(gates.status(now).size() == count, "the status of the gates does not list each leaf"); });
        std::printf("%8zu %16.2f %16.2f %18.2f %16.2f %14.0f\n", count, all, few, renewal, status, heap);
    }
}

void measureMessages()
{
    std::printf("\npart messages by body size\n");
    std::printf("%8s %12s %12s %12s %12s %12s %12s\n", "body B", "request B", "encode us", "decode us", "result B",
        "encode us", "decode us");
    for (const std::size_t size : { 20, 200, 2000, 20'000 }) {
        Part part { .queryId = 1ULL << 40U,
            .partId = partIdOf(1ULL << 40U, 1),
            .service = "loandesk",
            .operation = "list",
            .leaf = "loandesk-123-0",
            .shard = { 1'764'844'000, 123, 1000 },
            .remaining = milliseconds(130),
            .fingerprint = hash64("body"),
            .body = itemsOf(size) };
        auto result = resultOf(part);
        result.body = part.body;
        const auto request = encodePart(part);
        const auto answer = encodePartResult(result);
        const auto each = [](auto function) { return microsecondsPerUnit(partsMeasured, 1, function); };
        std::printf("%8zu %12zu %12.2f %12.2f %12zu %12.2f %12.2f\n", size, request.size(),
            each([&] { require(encodePart(part).size() == request.size(), "encoded parts differ in size"); }),
            each([&] { require(decodePart(request).partId == part.partId, "a decoded part has another ID"); }),
            answer.size(),
            each([&] { require(encodePartResult(result).size() == answer.size(), "encoded results differ in size"); }),
            each([&] { require(decodePartResult(answer).partId == part.partId, "a decoded result has another ID"); }));
    }
}

void measureLayouts()
{
    std::printf("\nLayoutChooser::choose by number of announcements of the service\n");
    std::printf("%8s %14s %20s\n", "leaves", "choose us", "us/announcement");
    for (const std::size_t count : { 40, 400, 2000 }) {
        const auto announcements = announcementsOf(count);
        LayoutChooser chooser;
        const double each = microsecondsPerUnit(20'000, count,
            [&] { require(chooser.choose("loandesk", announcements)->isComplete(), "the layout is not complete"); });
        std::printf("%8zu %14.0f %20.2f\n", count, each * static_cast<double>(count), each);
    }
}

void measureDirectory()
{
    std::printf("\nleaf directory by number of leaves\n");
    std::printf("%8s %12s %14s %18s %14s %16s %14s\n", "leaves", "heap B/leaf", "export B/leaf", "import us/leaf",
        "expire us", "renewal us", "replicasOf us");
    for (const std::size_t count : { 100, 1000, 6500 }) {
        TimePoint now { seconds(1) };
        auto announcements = announcementsOf(count);
        LeafDirectory source("registrar");
        std::size_t leaf = 0;
        for (const auto& it : announcements)
            source.announce(it, now);
        const double renewal = microsecondsPerUnit(20'000, 1, [&] {
            auto& it = announcements[leaf++ % announcements.size()];
            ++it.sequence;
            source.announce(it, now);
        });
        const auto bytes = source.exportAll(now);
        const double heapBefore = heapBytes();
        LeafDirectory directory("reader");
        const double importBefore = cpuSeconds();
        directory.importAll(bytes, now);
        const double import = (cpuSeconds() - importBefore) * 1e6;
        const double heap = (heapBytes() - heapBefore) / static_cast<double>(count);
        require(directory.leafCount() == count, "the imported leaf directory lacks a leaf");
        const double expire = microsecondsPerUnit(20, 1, [&] { directory.expire(now); });
        const double read = microsecondsPerUnit(20, 1, [&] { directory.replicasOf("loandesk"); });
        std::printf("%8zu %12.0f %14.0f %18.2f %14.0f %16.2f %14.0f\n", count, heap,
            static_cast<double>(bytes.size()) / static_cast<double>(count), import / static_cast<double>(count), expire,
            renewal, read);
    }
}

} // namespace

int main()
{
    measureQueries();
    measureGates();
    measureMessages();
    measureLayouts();
    measureDirectory();
}
