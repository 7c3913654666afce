// Disks of control members that are full one after another. Guards against changes that are refused or stay unanswered
// after the last disk has room again.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ControlHarness.h"

#include "coordination/ControlStorage.h"

#include <cerrno>
#include <filesystem>
#include <unistd.h>

using namespace citronplank;
using namespace citronplank::testing;

namespace {

constexpr std::uint64_t reopenIntervalMs = 1000; // as in ControlService
constexpr std::uint64_t ackLimitMs = 5000;
constexpr std::uint64_t seeds = 60;

struct Layout {
    std::vector<std::string> names;
    std::size_t voters = 0; // the first members
};

const std::vector<Layout> layouts { { { "a", "b", "c" }, 3 }, { { "a", "b", "c", "d" }, 3 },
    { { "a", "b", "c", "d", "e", "f", "g", "h" }, 5 } };

/// A cluster whose members restart from their disks after a storage failure, as ControlService does.
struct FullDiskCluster : Cluster {
    FullDiskCluster(std::uint64_t seed, const Layout& layout)
        : Cluster(seed, layout.names)
    {
        configured.assign(layout.names.begin(), layout.names.begin() + static_cast<std::ptrdiff_t>(layout.voters));
        openVoterTarget = layout.voters;
        entriesPerSnapshot = 8; // so that snapshots meet full disks too
        entriesKeptInMemory = 16;
    }
    void reopenStorages()
    {
        for (const auto& name : names()) {
            auto& it = node(name);
            if (it.failure.empty() || nowMs() < m_reopenAt[name])
                continue;
            if (m_reopenAt[name] == 0 || it.disk->failing) {
                m_reopenAt[name] = nowMs() + reopenIntervalMs;
            } else {
                m_reopenAt.erase(name);
                start(name);
            }
        }
    }
    /// Proposes a change through the members in turn until it is committed, as an operator does.
    bool put(std::uint64_t version, std::uint64_t limitMs)
    {
        for (auto end = nowMs() + limitMs; nowMs() < end;) {
            auto name = leader().empty() ? names()[random(names().size())] : leader();
            auto id = propose(name, PutDocument { version, "content " + std::to_string(version) });
            bool isAnswered = runFor(1000, [&] { return answers().contains(id); });
            if (isAnswered && answers()[id].status == ProposeStatus::Committed)
                return true;
            runFor(50, [] { return false; });
        }
        return false;
    }
    template <typename Condition>
    bool runFor(std::uint64_t ms, Condition condition)
    {
        for (std::uint64_t i = 0; i < ms / 5; ++i) {
            if (condition())
                return true;
            run(5);
            reopenStorages();
        }
        return condition();
    }

private:
    std::map<std::string, std::uint64_t> m_reopenAt;
};

/// Refuses writes, syncs or renames while it is set to.
class FullDisk : public FileOperations {
public:
    bool isFull = false;
    bool refusesRename = false;
    std::size_t bytesLeft = 0; // that a full disk still takes, so that a record is written in part
    long write(int descriptor, const void* data, std::size_t size) override
    {
        if (!isFull)
            return FileOperations::write(descriptor, data, size);
        auto n = std::min(size, bytesLeft);
        if (n == 0)
            return refuse();
        bytesLeft -= n;
        return FileOperations::write(descriptor, data, n);
    }
    int sync(int descriptor) override { return isFull ? refuse() : FileOperations::sync(descriptor); }
    int rename(const char* from, const char* to) override
    {
        return isFull && refusesRename ? refuse() : FileOperations::rename(from, to);
    }
    int truncate(int descriptor, long size) override
    {
        return isFull ? refuse() : FileOperations::truncate(descriptor, size);
    }

private:
    static int refuse()
    {
        errno = ENOSPC;
        return -1;
    }
};

LogEntry entryAt(std::uint64_t index)
{
    LogEntry entry;
    entry.index = index;
    entry.term = 1;
    entry.command = PutDocument { index, "content" };
    return entry;
}

} // namespace

TEST_CASE("changes are accepted within the limit after the disks of all members were full one after another")
{
    for (const auto& layout : layouts) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(layout.names.size());
            CAPTURE(seed);
            FullDiskCluster cluster(seed, layout);
            cluster.startAll();
            REQUIRE(cluster.put(1, 10000));
            std::uint64_t version = 1;
            auto order = layout.names;
            for (std::size_t i = order.size(); i > 1; --i)
                std::swap(order[i - 1], order[cluster.random(i)]);
            for (const auto& name : order) {
                // Half of the time it is the leader's turn.
                auto full = cluster.random(2) == 0 && !cluster.leader().empty() ? cluster.leader() : name;
                cluster.node(full).disk->failing = true;
                auto end = cluster.nowMs() + 2000 + cluster.random(3000);
                while (cluster.nowMs() < end)
                    cluster.put(++version, std::min<std::uint64_t>(1500, end - cluster.nowMs()));
                cluster.node(full).disk->failing = false;
                cluster.runFor(cluster.random(500), [] { return false; });
            }
            CHECK(cluster.put(++version, ackLimitMs));
            CHECK(cluster.put(++version, ackLimitMs));
            CHECK(cluster.runFor(ackLimitMs, [&] {
                return std::all_of(layout.names.begin(), layout.names.end(), [&](const std::string& it) {
                    return cluster.node(it).failure.empty()
                        && cluster.replica(it).state().document().version == version;
                });
            }));
            // A restart of all members changes nothing.
            for (const auto& it : layout.names)
                cluster.crash(it);
            cluster.startAll();
            CHECK(cluster.put(++version, 2 * ackLimitMs));
        }
    }
}

// Guards against a storage that stays unusable although its disk has room again, whichever operation was refused.
TEST_CASE("a storage can be reopened once its disk has room, also if earlier attempts failed on the full disk")
{
    auto folder = std::filesystem::temp_directory_path() / ("citronplank-full-disk-" + std::to_string(::getpid()));
    for (std::size_t bytes : { 0, 1, 15, 16, 17, 40, 100, 200, 1000, 100000 }) {
        for (const char* operation : { "append", "vote", "snapshot", "damaged" }) {
            CAPTURE(bytes);
            CAPTURE(operation);
            std::filesystem::remove_all(folder);
            FullDisk disk;
            FileControlStorage storage(folder, disk);
            for (std::uint64_t i = 1; i <= 5; ++i)
                storage.append(std::vector { entryAt(i) });
            std::string_view name(operation);
            if (name == "damaged")
                std::filesystem::resize_file(folder / "vote", 3);
            disk.isFull = true;
            disk.refusesRename = bytes % 2 == 1;
            disk.bytesLeft = bytes;
            try {
                if (name == "vote")
                    storage.saveVote({ 7, { "a", 1 } });
                else if (name == "snapshot")
                    storage.saveSnapshot({ .index = 5, .term = 1 }, std::string(500, 's'));
                else
                    storage.append(std::vector { entryAt(6), entryAt(7) });
                FAIL("the full disk took the data");
            } catch (const StorageError&) {
            }
            for (int i = 0; i < 3; ++i)
                CHECK_THROWS_AS(storage.reopen(), StorageError);
            disk.isFull = false;
            CHECK_NOTHROW(storage.reopen());
            auto last = storage.load().entries.empty() ? 0 : storage.load().entries.back().index;
            CHECK_NOTHROW(storage.append(std::vector { entryAt(last + 1) }));
            if (name != "damaged")
                CHECK(last >= 5);
        }
    }
    std::filesystem::remove_all(folder);
}
