// Bounds by bytes of what a control member keeps: configurations of several hundred kilobytes that change often.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ControlHarness.h"

#include <fstream>
#include <malloc.h>
#include <unistd.h>

using namespace citronplank;
using namespace citronplank::testing;
namespace fs = std::filesystem;

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;
constexpr std::size_t documentBytes = 700'000; // about 3,500 routes

std::string document(std::uint64_t version)
{
    return std::string(documentBytes, static_cast<char>('a' + version % 26));
}

/// Maximum resident memory of this process since the last call of restartPeak().
std::size_t peakBytes()
{
    std::ifstream in("/proc/self/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(6)) * 1024;
    }
    return 0;
}

/// Returns freed memory to the system and sets the peak to what is resident now, which it returns.
std::size_t restartPeak()
{
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << 5;
    return peakBytes();
}

std::uintmax_t bytesOnDisk(const fs::path& folder)
{
    std::uintmax_t n = 0;
    for (const auto& it : fs::recursive_directory_iterator(folder))
        n += it.is_regular_file() ? it.file_size() : 0;
    return n;
}

/// A single control member on a folder that is removed at the end.
struct Member {
    Member()
        : folder(fs::temp_directory_path() / ("citronplank-bytes-" + std::to_string(::getpid())))
    {
        fs::remove_all(folder);
    }
    ~Member()
    {
        close();
        fs::remove_all(folder);
    }
    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;
    void open()
    {
        storage = std::make_unique<FileControlStorage>(folder);
        ControlLogSettings settings { "a", { "a" }, 1, [](TimePoint) { return std::uint64_t { 1 }; } };
        replica = std::make_unique<ControlReplica<FileControlStorage>>(*storage, settings, now);
        for (int i = 0; i < 200 && !replica->log().isLeader(); ++i)
            replica->tick(now += milliseconds(20));
        REQUIRE(replica->log().isLeader());
    }
    void close()
    {
        replica.reset();
        storage.reset();
    }
    ProposeStatus put(std::uint64_t version, std::string content)
    {
        replica->propose(PutDocument { version, std::move(content) }, version);
        return replica->flush(now).answers.at(0).status;
    }

    fs::path folder;
    TimePoint now;
    std::unique_ptr<FileControlStorage> storage;
    std::unique_ptr<ControlReplica<FileControlStorage>> replica;
};

} // namespace

// Guards against control members that exceed their memory or disk after some hundred changes of a large configuration,
// and that need even more memory to load their logs again (review/2).
TEST_CASE("hundreds of changes of a large configuration stay within memory and disk, and a restart needs less")
{
    Member member;
    auto before = restartPeak();
    member.open();
    std::uintmax_t maxOnDisk = 0;
    for (std::uint64_t i = 1; i <= 240; ++i) {
        REQUIRE(member.put(i, document(i)) == ProposeStatus::Committed);
        maxOnDisk = std::max(maxOnDisk, bytesOnDisk(member.folder));
    }
    auto peak = peakBytes() - before;
    MESSAGE("peak " << peak << " bytes, on disk " << maxOnDisk << " bytes");
    CHECK(peak < 48 * mebibyte);
    CHECK(maxOnDisk < 24 * mebibyte);
    member.close();
    auto beforeRestart = restartPeak();
    member.open();
    auto restartNeeds = peakBytes() - beforeRestart;
    MESSAGE("restart " << restartNeeds << " bytes");
    CHECK(restartNeeds < peak);
    CHECK(member.replica->state().document().version == 240);
    CHECK(member.replica->state().document().content == document(240));
}

// Guards against a member that cannot load the log that an earlier build has left on its disk.
TEST_CASE("a full log without a snapshot is loaded with one copy of its content, and then truncated")
{
    Member member;
    constexpr std::uint64_t count = 150;
    member.open();
    member.close();
    {
        FileControlStorage storage(member.folder);
        auto last = storage.load().entries.back().index;
        for (std::uint64_t i = 1; i <= count; ++i) {
            LogEntry entry { last + i, 1, 1, PutDocument { i, document(i) } };
            storage.append(std::span(&entry, 1));
        }
    }
    auto before = restartPeak();
    member.open();
    auto needs = peakBytes() - before;
    MESSAGE("restart " << needs << " bytes");
    CHECK(needs < count * documentBytes + 16 * mebibyte);
    CHECK(member.replica->state().document().content == document(count));
    CHECK(bytesOnDisk(member.folder) < 24 * mebibyte);
}

// Guards against a document that is acknowledged but cannot be sent to the other members or stored by them.
TEST_CASE("a document over the limit is refused when it is submitted, and one at the limit is stored")
{
    Cluster cluster(1, { "a", "b", "c" });
    cluster.startAll();
    REQUIRE(cluster.runUntilRepaired());
    auto refused = cluster.propose(cluster.leader(), PutDocument { 1, std::string(maxDocumentBytes + 1, 'x') });
    auto stored = cluster.propose(cluster.leader(), PutDocument { 2, std::string(maxDocumentBytes, 'x') });
    REQUIRE(cluster.runUntil([&] { return cluster.answers().contains(stored); }));
    CHECK(cluster.answers()[refused].status == ProposeStatus::Refused);
    CHECK(cluster.answers()[stored].status == ProposeStatus::Committed);
}

// Guards against a leader that keeps entries without a limit while they cannot be committed.
TEST_CASE("a leader without a majority refuses commands beyond the limit of uncommitted entries")
{
    Cluster cluster(1, { "a", "b", "c" });
    cluster.startAll();
    REQUIRE(cluster.runUntilRepaired());
    auto leader = cluster.leader();
    cluster.isolate(leader);
    std::size_t refused = 0;
    for (std::uint64_t i = 1; i <= 40; ++i) {
        auto id = cluster.propose(leader, PutDocument { i, document(i) });
        refused += cluster.answers().contains(id) && cluster.answers()[id].status == ProposeStatus::Refused;
    }
    CHECK(refused == 40 - maxUncommittedBytes / documentBytes);
}

// Guards against a member that lags by more bytes than are kept and never catches up, or gets the log entry by entry.
TEST_CASE("a member that missed more bytes than are kept catches up by a snapshot during further changes")
{
    Cluster cluster(1, { "a", "b", "c" });
    cluster.startAll();
    REQUIRE(cluster.runUntilRepaired());
    cluster.crash(cluster.leader() == "a" ? "b" : "a");
    auto lagging = cluster.leader() == "a" ? "b" : "a";
    std::uint64_t version = 0;
    for (; version < 40; cluster.run(20))
        cluster.propose(cluster.leader(), PutDocument { ++version, document(version) });
    cluster.start(lagging);
    for (; version < 60; cluster.run(20))
        cluster.propose(cluster.leader(), PutDocument { ++version, document(version) });
    CHECK(cluster.runUntil([&] { return cluster.replica(lagging).state().document().version == version; }));
    CHECK(cluster.replica(lagging).log().status().snapshotIndex > 0);
}
