// Storage of the control log that ends at any file operation: by a kill, which keeps what was written, or by a loss of
// power, which keeps what was synced. CITRONPLANK_STORAGE_SEEDS=N plays N drawn series besides the fixed one.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "coordination/ControlStorage.h"

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <random>
#include <sys/stat.h>
#include <unistd.h>

using namespace citronplank;
namespace fs = std::filesystem;

namespace {

enum class End { Before, After, Torn }; // relative to the file operation; a torn write stores half of its data

/// Thrown by a file operation at which the process ends.
struct ProcessEnded { };

std::string readFile(const fs::path& path)
{
    std::ifstream in(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

/// Ends the process at one operation, and knows what a loss of power would leave of the folder. Syncs nothing itself.
class EndingOperations : public FileOperations {
public:
    explicit EndingOperations(fs::path folder)
        : m_folder(std::move(folder))
    {
    }

    long write(int descriptor, const void* data, std::size_t size) override
    {
        return perform([&](std::size_t n) { return FileOperations::write(descriptor, data, n); }, size);
    }
    int sync(int descriptor) override
    {
        return static_cast<int>(perform([&](std::size_t) { return markSynced(descriptor); }, 0));
    }
    int rename(const char* from, const char* to) override
    {
        return static_cast<int>(perform([&](std::size_t) { return FileOperations::rename(from, to); }, 0));
    }
    int truncate(int descriptor, long size) override
    {
        return static_cast<int>(perform([&](std::size_t) { return FileOperations::truncate(descriptor, size); }, 0));
    }

    /// The process ends at the operation after `after` others.
    void arm(int after, End end)
    {
        m_remaining = after;
        m_end = end;
        hasEnded = false;
    }

    void losePower()
    {
        std::map<std::string, std::string> files;
        for (const auto& [name, inode] : m_names)
            files[name] = m_contents[inode];
        for (const auto& it : fs::directory_iterator(m_folder))
            fs::remove_all(it.path());
        m_names.clear();
        m_contents.clear();
        m_held.clear();
        for (const auto& [name, content] : files) {
            std::ofstream(m_folder / name, std::ios::binary) << content;
            FileDescriptor file(::open((m_folder / name).c_str(), O_RDONLY | O_CLOEXEC));
            markSynced(file.get());
        }
        FileDescriptor folder(::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        markSynced(folder.get());
    }

    bool hasEnded = false;

private:
    template <typename Operation>
    long perform(Operation operation, std::size_t size)
    {
        bool ends = m_remaining >= 0 && m_remaining-- == 0;
        if (!ends)
            return operation(size);
        hasEnded = true;
        if (m_end == End::After)
            operation(size);
        if (m_end == End::Torn)
            operation(size / 2);
        throw ProcessEnded {};
    }

    int markSynced(int descriptor)
    {
        auto inode = hold(descriptor);
        struct stat info { };
        ::fstat(descriptor, &info);
        if (!S_ISDIR(info.st_mode)) {
            m_contents[inode] = readFile("/proc/self/fd/" + std::to_string(descriptor));
            return 0;
        }
        m_names.clear();
        for (const auto& it : fs::directory_iterator(m_folder)) {
            FileDescriptor file(::open(it.path().c_str(), O_RDONLY | O_CLOEXEC));
            if (it.is_regular_file())
                m_names[it.path().filename()] = hold(file.get());
        }
        return 0;
    }

    /// Keeps the file open, so that no later file gets its number.
    ino_t hold(int descriptor)
    {
        struct stat info { };
        ::fstat(descriptor, &info);
        auto& held = m_held[info.st_ino];
        if (!held)
            held = std::make_unique<FileDescriptor>(::dup(descriptor));
        return info.st_ino;
    }

    fs::path m_folder;
    int m_remaining = -1;
    End m_end = End::Before;
    std::map<std::string, ino_t> m_names;    // as at the last sync of the folder
    std::map<ino_t, std::string> m_contents; // as at the last sync of each file
    std::map<ino_t, std::unique_ptr<FileDescriptor>> m_held;
};

/// What a storage holds. Entries are compared by index and term.
struct Content {
    VoteRecord vote;
    std::optional<SnapshotHeader> snapshot;
    std::string data;
    std::vector<LogEntry> entries;
    bool operator==(const Content&) const = default;

    std::uint64_t lastIndex() const
    {
        return entries.empty() ? (snapshot ? snapshot->index : 0) : entries.back().index;
    }
};

Content contentOf(const FileControlStorage& storage)
{
    auto stored = storage.load();
    return { stored.vote, stored.snapshot, stored.snapshot ? storage.readSnapshotData() : "", stored.entries };
}

/// One call of a storage, and what it may leave if it does not return. The last of `allowed` is its result.
struct Step {
    std::function<void(FileControlStorage&)> run;
    std::vector<Content> allowed;
};

class Series {
public:
    void vote(std::uint64_t term)
    {
        m_content.vote = { term, { "mac", term } };
        add([vote = m_content.vote](FileControlStorage& it) { it.saveVote(vote); }, { m_content });
    }

    void append(std::uint64_t first, std::uint64_t count, std::uint64_t term)
    {
        std::vector<LogEntry> added;
        std::vector<Content> allowed;
        for (auto i = first; i < first + count; ++i) {
            added.push_back({ i, term, i, BlockFingerprint { i } });
            std::erase_if(m_content.entries, [&](const LogEntry& it) { return it.index >= i; });
            m_content.entries.push_back(added.back());
            allowed.push_back(m_content);
        }
        add([added](FileControlStorage& it) { it.append(added); }, std::move(allowed));
    }

    void snapshot(std::uint64_t index, std::uint64_t term)
    {
        Membership members { 7, { { "atl", 1 } }, {} };
        SnapshotHeader header { index, term, 5, members, { 3, members } };
        auto data = "state " + std::to_string(index);
        auto withoutContradicted = m_content;
        std::erase_if(withoutContradicted.entries, [&](const LogEntry& it) { return it.index >= index; });
        m_content.entries = entriesAfterSnapshot(m_content.entries, header);
        if (!m_content.entries.empty())
            withoutContradicted = m_content; // nothing contradicts the snapshot
        m_content.snapshot = header;
        m_content.data = data;
        add([header, data](FileControlStorage& it) { it.saveSnapshot(header, data); },
            { withoutContradicted, m_content });
    }

    void reopen()
    {
        add([](FileControlStorage& it) { it.reopen(); }, { m_content });
    }

    const Content& content() const { return m_content; }
    const std::vector<Step>& steps() const { return m_steps; }

private:
    void add(std::function<void(FileControlStorage&)> run, std::vector<Content> allowed)
    {
        m_steps.push_back({ std::move(run), std::move(allowed) });
    }

    Content m_content;
    std::vector<Step> m_steps;
};

Series fixedSeries()
{
    Series series;
    series.vote(1);
    series.append(1, 3, 1);
    series.append(4, 7, 1);
    series.snapshot(3, 1);
    series.append(6, 3, 2);
    series.vote(3);
    series.snapshot(20, 3); // after the end of the log
    series.append(21, 2, 3);
    series.append(21, 1, 4);
    series.append(22, 3, 4);
    series.snapshot(22, 5); // contradicts the log
    series.append(23, 2, 5);
    series.append(24, 2, 7);
    series.snapshot(23, 6); // contradicts the log, which has entries of a later term
    series.append(24, 1, 7);
    series.reopen();
    series.snapshot(24, 7);
    series.snapshot(40, 8);
    series.snapshot(50, 8);
    series.append(51, 2, 9);
    return series;
}

Series drawnSeries(unsigned seed)
{
    std::mt19937 random(seed);
    Series series;
    std::uint64_t term = 1;
    for (int i = 0; i < 12; ++i) {
        const auto& content = series.content();
        auto kept = content.snapshot ? content.snapshot->index : 0;
        auto last = content.lastIndex();
        switch (random() % 6) {
        case 0:
            series.vote(++term);
            break;
        case 1:
            series.snapshot(last + 1 + random() % 5, term); // an installed one
            break;
        case 2:
            if (last > kept)
                series.snapshot(kept + 1 + random() % (last - kept), ++term); // contradicts the log
            break;
        case 3:
            if (!content.entries.empty()) {
                const auto& through = content.entries[random() % content.entries.size()];
                series.snapshot(through.index, through.term);
            }
            break;
        case 4:
            series.append(kept + 1 + random() % (last - kept + 1), 1 + random() % 4, ++term);
            break;
        default:
            series.append(last + 1, 1 + random() % 4, term);
        }
    }
    return series;
}

/// One play of a series that ends at up to three operations: of the series, of the next start and of the one after.
class Play {
public:
    Play(const Series& series, bool losesPower)
        : m_series(series)
        , m_losesPower(losesPower)
        , m_folder(fs::temp_directory_path()
              / ("storage-end-" + std::to_string(::getpid()) + "-" + std::to_string(std::random_device {}())))
        , m_operations(m_folder)
    {
    }
    ~Play() { fs::remove_all(m_folder); }
    Play(const Play&) = delete;
    Play& operator=(const Play&) = delete;

    /// Returns whether the series has so many operations.
    bool run(int operation, End end)
    {
        std::vector<Content> allowed { {} };
        try {
            FileControlStorage storage(m_folder, m_operations);
            m_disk = storage.disk();
            m_operations.arm(operation, end);
            for (const auto& step : m_series.steps()) {
                allowed = { allowed.back() };
                allowed.insert(allowed.end(), step.allowed.begin(), step.allowed.end());
                step.run(storage);
            }
        } catch (const ProcessEnded&) {
        }
        m_allowed = std::move(allowed);
        loseUnsynced();
        return m_operations.hasEnded;
    }

    /// Ends the next start at one of its operations. Returns whether it has so many.
    bool start(int operation, End end)
    {
        m_operations.arm(operation, end);
        try {
            FileControlStorage storage(m_folder, m_operations);
        } catch (const ProcessEnded&) {
        }
        loseUnsynced();
        return m_operations.hasEnded;
    }

    void check()
    {
        m_operations.arm(-1, End::Before);
        Content found;
        {
            FileControlStorage storage(m_folder, m_operations);
            REQUIRE(storage.setAsideReason().empty());
            REQUIRE(storage.disk() == m_disk);
            found = contentOf(storage);
            REQUIRE(std::find(m_allowed.begin(), m_allowed.end(), found) != m_allowed.end());
        }
        m_operations.losePower(); // the start has reported the content to others, so it must be durable
        {
            FileControlStorage storage(m_folder, m_operations);
            REQUIRE(contentOf(storage) == found);
            LogEntry next { found.lastIndex() + 1, 100, 1, NoOp {} };
            storage.append(std::span(&next, 1));
            found.entries.push_back(next);
        }
        FileControlStorage storage(m_folder, m_operations);
        REQUIRE(storage.disk() == m_disk);
        REQUIRE(contentOf(storage) == found);
    }

private:
    void loseUnsynced()
    {
        if (m_losesPower)
            m_operations.losePower();
    }

    const Series& m_series;
    bool m_losesPower;
    fs::path m_folder;
    EndingOperations m_operations;
    DiskIdentity m_disk = 0;
    std::vector<Content> m_allowed; // what may be found at the next start
};

constexpr End ends[] = { End::Before, End::After, End::Torn };

/// Plays a series once for each operation at which it and the two starts after it can end. Returns the number of plays.
int playAllEnds(const Series& series)
{
    int plays = 0;
    for (bool losesPower : { false, true }) {
        for (auto end : ends) {
            bool hasMore = true;
            for (int i = 0; hasMore; ++i) {
                bool startHasMore = true;
                for (int k = 0; startHasMore; ++k) {
                    CAPTURE(losesPower);
                    CAPTURE(static_cast<int>(end));
                    CAPTURE(i);
                    CAPTURE(k);
                    Play play(series, losesPower);
                    hasMore = play.run(i, end);
                    startHasMore = play.start(k, ends[static_cast<unsigned>(i + k) % 3]);
                    play.start(k / 2, end);
                    play.check();
                    ++plays;
                }
            }
        }
    }
    return plays;
}

} // namespace

// Guards against a member that sets its data aside, or forgets what it has acknowledged, because its process was killed
// between two file operations, for example while it installed a snapshot.
TEST_CASE("a storage that ends at any file operation keeps all that it has acknowledged")
{
    auto plays = playAllEnds(fixedSeries());
    MESSAGE(plays << " plays of the fixed series");
    CHECK(plays > 500);
}

// Guards against the same in series that nobody has thought of.
TEST_CASE("a storage that ends at any file operation keeps what it has acknowledged in drawn series")
{
    const char* text = std::getenv("CITRONPLANK_STORAGE_SEEDS");
    auto count = text ? static_cast<unsigned>(std::stoul(text)) : 3U;
    int plays = 0;
    for (unsigned seed = 1; seed <= count; ++seed) {
        CAPTURE(seed);
        plays += playAllEnds(drawnSeries(seed));
    }
    MESSAGE(plays << " plays of " << count << " drawn series");
}
