// Storage of the control log on a data folder: restarts, damaged files and failing file operations.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "coordination/ControlReplica.h"

#include <cerrno>
#include <doctest/doctest.h>
#include <fstream>
#include <random>
#include <unistd.h>

using namespace citronplank;
namespace fs = std::filesystem;

namespace {

/// A folder that is removed at the end of the test.
struct TemporaryFolder {
    TemporaryFolder()
    {
        static std::mt19937_64 random(std::random_device {}());
        path = fs::temp_directory_path() / ("control-storage-" + std::to_string(random()));
    }
    ~TemporaryFolder() { fs::remove_all(path); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    fs::path path;
};

/// Lets `after` operations succeed after arm(after) and fails the next one. A write that fails writes `tornBytes`
/// first.
class FailingOperations : public FileOperations {
public:
    long write(int descriptor, const void* data, std::size_t size) override
    {
        if (!failsNow(ENOSPC))
            return FileOperations::write(descriptor, data, size);
        if (tornBytes > 0)
            (void)FileOperations::write(descriptor, data, std::min(size, tornBytes));
        errno = ENOSPC;
        return -1;
    }
    int sync(int descriptor) override { return failsNow(EIO) ? -1 : FileOperations::sync(descriptor); }
    int rename(const char* from, const char* to) override
    {
        return failsNow(EIO) ? -1 : FileOperations::rename(from, to);
    }
    void arm(int after)
    {
        m_remaining = after;
        fired = 0;
    }
    std::size_t tornBytes = 0;
    int fired = 0;

private:
    bool failsNow(int error)
    {
        if (m_remaining < 0 || m_remaining-- > 0)
            return false;
        ++fired;
        errno = error;
        return true;
    }
    int m_remaining = -1;
};

LogEntry entry(std::uint64_t index, std::uint64_t term = 1)
{
    EditRules command { "id" + std::to_string(index), "nok", index, { { "zone atl", std::nullopt } } };
    return { index, term, 1000 + index, command };
}

std::vector<LogEntry> entries(std::uint64_t first, std::uint64_t last, std::uint64_t term = 1)
{
    std::vector<LogEntry> list;
    for (auto i = first; i <= last; ++i)
        list.push_back(entry(i, term));
    return list;
}

SnapshotHeader header(std::uint64_t index, std::uint64_t term)
{
    Membership membership { 7, { { "atl", 1 } }, {} };
    return { index, term, 5, membership, { 3, membership } };
}

std::string read(const fs::path& path)
{
    std::ifstream in(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

void write(const fs::path& path, const std::string& content)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

} // namespace

// Guards against a write that returns before the data is stored, or a reader that loses or reorders stored data.
TEST_CASE("everything stored is there after a restart, with the same identity")
{
    TemporaryFolder folder;
    DiskIdentity identity = 0;
    {
        FileControlStorage storage(folder.path);
        identity = storage.disk();
        CHECK(identity != 0);
        storage.saveVote({ 4, { "mac", 9 } });
        storage.append(entries(1, 10));
        storage.append(entries(6, 8, 2)); // replaces 6 to 10
    }
    {
        FileControlStorage storage(folder.path);
        CHECK(storage.disk() == identity);
        CHECK(storage.load().vote == VoteRecord { 4, { "mac", 9 } });
        auto expected = entries(1, 5);
        auto more = entries(6, 8, 2);
        expected.insert(expected.end(), more.begin(), more.end());
        CHECK(storage.load().entries == expected);
        storage.saveSnapshot(header(7, 2), "state");
        storage.append(entries(9, 9, 3));
    }
    FileControlStorage storage(folder.path);
    auto stored = storage.load();
    CHECK(stored.snapshot == header(7, 2));
    CHECK(storage.readSnapshotData() == "state");
    REQUIRE(stored.entries.size() == 2);
    CHECK(stored.entries.front() == entry(8, 2));
    CHECK(storage.setAsideReason().empty());
}

// Guards against entries that contradict an installed snapshot and stay in the log after it.
TEST_CASE("a snapshot of another term drops the whole log")
{
    TemporaryFolder folder;
    FileControlStorage storage(folder.path);
    storage.append(entries(1, 10));
    storage.saveSnapshot(header(5, 2), "state");
    CHECK(storage.load().entries.empty());
}

// Guards against a member that sets aside its data folder, or drops entries from it, because an earlier program that
// was killed while it installed a snapshot has appended to the log that it replaced.
TEST_CASE("entries that follow the snapshot are kept whatever stands before them in the log")
{
    for (std::uint64_t lastOld : { 3, 6, 9 }) {
        CAPTURE(lastOld);
        TemporaryFolder earlier;
        {
            FileControlStorage storage(earlier.path);
            storage.append(entries(1, lastOld));
        }
        TemporaryFolder folder;
        DiskIdentity identity = 0;
        {
            FileControlStorage storage(folder.path);
            identity = storage.disk();
            storage.saveSnapshot(header(6, 2), "state");
            storage.append(entries(7, 8, 2));
        }
        write(folder.path / "log", read(earlier.path / "log") + read(folder.path / "log"));
        FileControlStorage storage(folder.path);
        CHECK(storage.setAsideReason().empty());
        CHECK(storage.disk() == identity);
        CHECK(storage.load().entries == entries(7, 8, 2));
    }
}

// Guards against an acknowledged entry that is dropped, or a torn one that is read, at every point of a crash.
TEST_CASE("a torn last record of any length is truncated")
{
    TemporaryFolder folder;
    std::size_t whole = 0;
    {
        FileControlStorage storage(folder.path);
        storage.append(entries(1, 3));
        whole = read(folder.path / "log").size();
        storage.append(entries(4, 4));
    }
    auto log = read(folder.path / "log");
    for (auto size = whole; size < log.size(); ++size) {
        CAPTURE(size);
        write(folder.path / "log", log.substr(0, size));
        {
            FileControlStorage storage(folder.path);
            CHECK(storage.setAsideReason().empty());
            CHECK(storage.load().entries == entries(1, 3));
            storage.append(entries(4, 5));
        }
        FileControlStorage storage(folder.path);
        CHECK(storage.load().entries == entries(1, 5));
    }
}

// Guards against damaged data that is read as valid or taken for a torn record, at every byte of every file.
TEST_CASE("a flipped bit in any byte sets the folder aside and gives a new identity")
{
    TemporaryFolder origin;
    DiskIdentity identity = 0;
    {
        FileControlStorage storage(origin.path);
        identity = storage.disk();
        storage.append(entries(1, 4));
        storage.saveSnapshot(header(2, 1), "state");
        storage.saveVote({ 1, { "atl", 1 } });
    }
    for (const char* name : { "log", "vote", "identity", "snapshot" }) {
        auto content = read(origin.path / name);
        for (std::size_t i = 0; i < content.size(); ++i) {
            CAPTURE(name);
            CAPTURE(i);
            TemporaryFolder folder;
            fs::copy(origin.path, folder.path);
            auto damaged = content;
            damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
            write(folder.path / name, damaged);
            FileControlStorage storage(folder.path);
            REQUIRE_FALSE(storage.setAsideReason().empty());
            REQUIRE(storage.disk() != identity);
            REQUIRE(storage.load().entries.empty());
            REQUIRE(storage.load().vote == VoteRecord {});
            REQUIRE(fs::exists(folder.path / "set-aside-1" / name));
        }
    }
}

// Guards against a vote or log that is lost with its file while the storage keeps the identity under which it was
// written.
TEST_CASE("a missing file sets the folder aside")
{
    for (const char* name : { "log", "vote", "identity", "snapshot" }) {
        CAPTURE(name);
        TemporaryFolder folder;
        DiskIdentity identity = 0;
        {
            FileControlStorage storage(folder.path);
            identity = storage.disk();
            storage.append(entries(1, 4));
            storage.saveSnapshot(header(2, 1), "state");
        }
        fs::remove(folder.path / name);
        FileControlStorage storage(folder.path);
        CHECK(storage.disk() != identity);
        CHECK(storage.load().entries.empty());
    }
}

// Guards against a storage that continues after a full disk or a failed sync, and against damage left by the failure.
TEST_CASE("each failed file operation stops the storage, and the next start finds the state before or after it")
{
    using Action = std::function<void(FileControlStorage&)>;
    const std::vector<Action> actions {
        [](FileControlStorage& it) { it.append(entries(4, 6)); },
        [](FileControlStorage& it) {
            it.saveVote({ 2, { "mac", 2 } });
        },
        [](FileControlStorage& it) { it.saveSnapshot(header(2, 1), "state"); },
    };
    for (const auto& action : actions) {
        bool fired = true;
        for (int step = 0; fired; ++step) {
            for (std::size_t torn : { 0, 7, 40 }) {
                CAPTURE(step);
                CAPTURE(torn);
                TemporaryFolder folder;
                FailingOperations operations;
                operations.tornBytes = torn;
                DiskIdentity identity = 0;
                {
                    FileControlStorage storage(folder.path, operations);
                    identity = storage.disk();
                    storage.append(entries(1, 3));
                    operations.arm(step);
                    try {
                        action(storage);
                    } catch (const StorageError&) {
                        CHECK(operations.fired == 1);
                        CHECK_THROWS_AS(storage.append(entries(4, 4)), StorageError);
                        CHECK_THROWS_AS(storage.saveVote({ 3, {} }), StorageError);
                        CHECK_THROWS_AS(storage.saveSnapshot(header(1, 1), ""), StorageError);
                    }
                    fired = operations.fired > 0;
                }
                FileControlStorage storage(folder.path);
                CHECK(storage.setAsideReason().empty());
                CHECK(storage.disk() == identity);
                auto stored = storage.load();
                auto last = stored.entries.empty() ? 0 : stored.entries.back().index;
                CHECK(last >= 3);
                CHECK(stored.entries.front().index == (stored.snapshot ? stored.snapshot->index : 0) + 1);
            }
        }
    }
}

// Guards against an interrupted start that leaves a folder which can never be opened, or an identity that was reported
// but is not stored.
TEST_CASE("a failure while the folder is created is reported and the next start succeeds")
{
    for (int step = 0; step < 30; ++step) {
        CAPTURE(step);
        TemporaryFolder folder;
        FailingOperations operations;
        operations.arm(step);
        try {
            FileControlStorage storage(folder.path, operations);
        } catch (const StorageError&) {
            CHECK(operations.fired == 1);
        }
        FileControlStorage storage(folder.path);
        CHECK(storage.load().entries.empty());
        storage.append(entries(1, 1));
    }
}

// Guards against a state that differs after a restart from snapshot and log on a real folder.
TEST_CASE("hundreds of entries on a data folder survive a restart")
{
    TemporaryFolder folder;
    TimePoint now;
    ControlLogSettings settings { "atl", { "atl" }, 1, [](TimePoint) { return std::uint64_t { 1 }; } };
    ControlStateData expected;
    for (int run = 0; run < 3; ++run) {
        FileControlStorage storage(folder.path);
        ControlReplica<FileControlStorage> replica(storage, settings, now);
        while (!replica.log().isLeader() && now < TimePoint() + seconds(60))
            replica.tick(now += milliseconds(20));
        REQUIRE(replica.log().isLeader());
        CHECK(replica.state().lines() == expected.lines);
        for (std::uint64_t i = 0; i < 300; ++i) {
            auto id = std::to_string(run) + "/" + std::to_string(i);
            RuleLine line { "zone z" + std::to_string(i % 9), id, "c" };
            replica.propose(EditRules { id, "nok", replica.state().rulesVersion(), { { line.key, line } } }, i);
            REQUIRE(replica.flush(now).answers.at(0).status == ProposeStatus::Committed);
        }
        CHECK(replica.log().status().snapshotIndex > expected.appliedIndex);
        expected = replica.state().data();
    }
}

// Guards against two processes that vote under one identity.
TEST_CASE("a folder in use is refused")
{
    TemporaryFolder folder;
    FileControlStorage storage(folder.path);
    CHECK_THROWS_AS(FileControlStorage(folder.path), StorageError);
}

// Guards against a member that sends an answer that depends on a failed write.
TEST_CASE("a control log on a full disk sends nothing more")
{
    TemporaryFolder folder;
    FailingOperations operations;
    FileControlStorage storage(folder.path, operations);
    TimePoint now;
    ControlLogSettings settings { "atl", { "atl" }, 1, [](TimePoint) { return std::uint64_t { 1 }; } };
    ControlLog<FileControlStorage> log(storage, settings, now);
    while (!log.isLeader() && now < TimePoint() + seconds(10))
        log.tick(now += milliseconds(20));
    REQUIRE(log.isLeader());
    operations.arm(0);
    auto output = log.propose(NoOp {}, 1, now);
    CHECK_FALSE(output.failure.empty());
    CHECK(output.messages.empty());
    CHECK(output.committed.empty());
    REQUIRE(output.completedProposals.size() == 1);
    CHECK(output.completedProposals.front().status == ProposeStatus::Unknown);
    CHECK(log.tick(now + seconds(5)).messages.empty());
    CHECK(log.isStopped());
}

// Guards against a process that ends because the content of a disk that failed is damaged too.
TEST_CASE("damaged content is set aside when a failed storage is reopened")
{
    struct FailingDisk : FileOperations {
        bool isFailing = false;
        long write(int descriptor, const void* data, std::size_t size) override
        {
            if (!isFailing)
                return FileOperations::write(descriptor, data, size);
            errno = EIO;
            return -1;
        }
    } operations;
    auto folder = std::filesystem::temp_directory_path() / ("citronplank-damaged-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    {
        FileControlStorage storage(folder, operations);
        auto disk = storage.disk();
        storage.saveVote({ 3, { "a", 7 } });
        operations.isFailing = true;
        LogEntry entry { 1, 3, 1, NoOp {} };
        CHECK_THROWS_AS(storage.append(std::span(&entry, 1)), StorageError);
        operations.isFailing = false;
        std::fstream vote(folder / "vote", std::ios::in | std::ios::out | std::ios::binary);
        vote.seekp(-1, std::ios::end);
        vote.put('\x55');
        vote.close();
        storage.reopen();
        CHECK(storage.disk() != disk);
        CHECK_FALSE(storage.setAsideReason().empty());
        CHECK(storage.load().vote.term == 0);
        storage.append(std::span(&entry, 1));
        CHECK(storage.load().entries.size() == 1);
    }
    std::filesystem::remove_all(folder);
}

// Guards against a member that stays stopped after its disk was full for a moment, and against entries that are taken
// for durable because they can be read back.
TEST_CASE("a storage can be reopened once its disk has space again")
{
    struct FullDisk : FileOperations {
        bool isFull = false;
        int syncs = 0;
        long write(int descriptor, const void* data, std::size_t size) override
        {
            if (!isFull)
                return FileOperations::write(descriptor, data, size);
            errno = ENOSPC;
            return -1;
        }
        int sync(int descriptor) override
        {
            ++syncs;
            return FileOperations::sync(descriptor);
        }
    } operations;
    auto folder = std::filesystem::temp_directory_path() / ("citronplank-reopen-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    {
        FileControlStorage storage(folder, operations);
        auto disk = storage.disk();
        storage.saveVote({ 3, { "a", 7 } });
        LogEntry first { 1, 3, 1, NoOp {} };
        storage.append(std::span(&first, 1));
        operations.isFull = true;
        LogEntry second { 2, 3, 2, NoOp {} };
        CHECK_THROWS_AS(storage.append(std::span(&second, 1)), StorageError);
        CHECK_THROWS_AS(storage.reopen(), StorageError);
        CHECK_THROWS_AS(storage.load(), StorageError);
        operations.isFull = false;
        auto syncsBefore = operations.syncs;
        storage.reopen();
        CHECK(operations.syncs > syncsBefore);
        CHECK(storage.disk() == disk);
        CHECK(storage.load().vote.term == 3);
        REQUIRE(storage.load().entries.size() == 1);
        storage.append(std::span(&second, 1));
        CHECK(storage.load().entries.size() == 2);
    }
    CHECK(FileControlStorage(folder).load().entries.size() == 2);
    std::filesystem::remove_all(folder);
}
