#include "coordination/ControlStorage.h"

#include "coordination/ControlCodec.h"
#include "coordination/ControlEntries.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <sys/file.h>
#include <unistd.h>

namespace citronplank {

namespace codec {
template <typename A>
void fields(A& archive, VoteRecord& it)
{
    archive(it.term, it.votedFor);
}
} // namespace codec

namespace {

constexpr const char* identityFile = "identity";
constexpr const char* voteFile = "vote";
constexpr const char* logFile = "log";
constexpr const char* snapshotFile = "snapshot";
constexpr const char* lockFile = "lock";
constexpr std::size_t recordHeaderBytes = 16;
// The log is rewritten when the entries that later ones have replaced exceed this size, so that a sequence of leaders
// whose entries are not committed does not fill the disk.
constexpr std::size_t maxReplacedBytes = 16UL * 1024 * 1024;

/// The stored data is damaged or incomplete, so that its files must be set aside.
class CorruptionError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Integers are stored little-endian.
void appendInteger(std::string& buf, std::uint64_t value, int bytes)
{
    for (int i = 0; i < bytes; ++i)
        buf.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

std::uint64_t readInteger(std::string_view data, std::size_t offset, int bytes)
{
    std::uint64_t value = 0;
    for (int i = 0; i < bytes; ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(data[offset + i])) << (8 * i);
    return value;
}

/// Checksum of the length field of a record. Its seed differs from that of the body's checksum.
std::uint32_t lengthChecksum(std::string_view lengthBytes)
{
    return static_cast<std::uint32_t>(hash64(lengthBytes, recordHeaderBytes));
}

/// Passes records to `write` in pieces of a bounded size, so that neither a file nor a large record is copied as a
/// whole.
template <typename Write>
class RecordWriter {
public:
    explicit RecordWriter(Write write)
        : m_write(std::move(write))
    {
    }

    /// Adds a record with this body, see FileControlStorage.
    void add(std::string_view body)
    {
        if (body.size() > UINT32_MAX)
            throw StorageError("control record of " + std::to_string(body.size()) + " bytes is over 4 GiB");
        auto start = m_buf.size();
        appendInteger(m_buf, body.size(), 4);
        appendInteger(m_buf, lengthChecksum(std::string_view(m_buf).substr(start, 4)), 4);
        appendInteger(m_buf, hash64(body), 8);
        bool isLarge = body.size() >= pieceBytes;
        if (!isLarge)
            m_buf.append(body);
        if (isLarge || m_buf.size() >= pieceBytes)
            flush();
        if (isLarge)
            m_write(body);
    }
    void flush()
    {
        m_write(std::string_view(m_buf));
        m_buf.clear();
    }

private:
    static constexpr std::size_t pieceBytes = 64UL * 1024;
    Write m_write;
    std::string m_buf;
};

/// Reads the records of a file one after another. The body of one record is held in memory.
class RecordReader {
public:
    /// Throws CorruptionError if the file does not exist, and StorageError if it cannot be opened.
    explicit RecordReader(const std::filesystem::path& path)
        : m_name(path.filename().string())
    {
        if (!std::filesystem::exists(path))
            throw CorruptionError("file " + m_name + " is missing");
        m_size = std::filesystem::file_size(path);
        m_in.open(path, std::ios::binary);
        if (!m_in.is_open())
            throw StorageError("cannot read " + path.string());
    }

    /// Reads the next record. False at the end of the file, and if the file ends within the record.
    bool next()
    {
        auto left = m_size - m_offset;
        m_isTorn = left > 0 && left < recordHeaderBytes;
        if (left < recordHeaderBytes)
            return false;
        std::string header(recordHeaderBytes, '\0');
        read(header);
        auto length = readInteger(header, 0, 4);
        if (readInteger(header, 4, 4) != lengthChecksum(std::string_view(header).substr(0, 4)))
            throw CorruptionError("checksum mismatch in a record length of file " + m_name);
        m_isTorn = left - recordHeaderBytes < length;
        if (m_isTorn)
            return false;
        m_body.resize(length);
        read(m_body);
        if (readInteger(header, 8, 8) != hash64(m_body))
            throw CorruptionError("checksum mismatch in a record body of file " + m_name);
        m_offset += recordHeaderBytes + length;
        return true;
    }

    /// The body of the record that next() has read last.
    std::string& body() { return m_body; }
    /// Whether next() returned false because the file ends within a record, which starts at offset().
    bool isTorn() const { return m_isTorn; }
    /// The end of the record that next() has read last.
    std::uintmax_t offset() const { return m_offset; }

private:
    void read(std::string& buf)
    {
        if (!m_in.read(buf.data(), static_cast<std::streamsize>(buf.size())))
            throw StorageError("cannot read file " + m_name);
    }

    std::string m_name;
    std::ifstream m_in;
    std::uintmax_t m_size = 0;
    std::uintmax_t m_offset = 0;
    std::string m_body;
    bool m_isTorn = false;
};

/// Reads a file that must consist of `recordCount` records. It was replaced atomically, so a torn record is corruption.
std::vector<std::string> readRecords(const std::filesystem::path& path, std::size_t recordCount)
{
    RecordReader reader(path);
    std::vector<std::string> bodies;
    while (bodies.size() < recordCount && reader.next())
        bodies.push_back(std::move(reader.body()));
    auto name = path.filename().string();
    if (bodies.size() < recordCount)
        throw CorruptionError("file " + name + " ends within a record");
    if (reader.offset() != std::filesystem::file_size(path))
        throw CorruptionError("file " + name + " has trailing data");
    return bodies;
}

DiskIdentity newIdentity()
{
    std::random_device random;
    DiskIdentity identity = 0;
    while (identity == 0)
        identity = (static_cast<std::uint64_t>(random()) << 32) ^ random();
    return identity;
}

} // namespace

long FileOperations::write(int descriptor, const void* data, std::size_t size)
{
    return ::write(descriptor, data, size);
}

int FileOperations::sync(int descriptor) { return ::fsync(descriptor); }

int FileOperations::rename(const char* from, const char* to) { return ::rename(from, to); }

int FileOperations::truncate(int descriptor, long size) { return ::ftruncate(descriptor, size); }

FileOperations& FileOperations::system()
{
    static FileOperations operations;
    return operations;
}

std::vector<LogEntry> entriesAfterSnapshot(std::vector<LogEntry> entries, const SnapshotHeader& snapshot)
{
    if (entries.empty() || entries.back().index <= snapshot.index)
        return {};
    auto first = entries.front().index;
    if (first > snapshot.index) {
        if (first != snapshot.index + 1)
            entries.clear();
        return entries;
    }
    auto at = static_cast<std::ptrdiff_t>(snapshot.index - first);
    if (entries[static_cast<std::size_t>(at)].term != snapshot.term)
        return {};
    entries.erase(entries.begin(), entries.begin() + at + 1);
    return entries;
}

void FileDescriptor::reset(int descriptor)
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = descriptor;
}

FileControlStorage::FileControlStorage(std::filesystem::path folder, FileOperations& operations)
    : m_folder(std::move(folder))
    , m_operations(operations)
{
    try {
        std::filesystem::create_directories(m_folder);
        lockFolder();
        try {
            openExisting();
        } catch (const CorruptionError& e) {
            setAside(e.what());
        } catch (const StorageError&) {
            throw;
        } catch (const Error& e) {
            // The checksums match, so the data is not damaged but was written by an incompatible version.
            throw StorageError("cannot decode the data folder " + m_folder.string() + ": " + e.what());
        }
        if (m_disk == 0)
            create();
        openLog();
        makeReadDurable();
    } catch (const std::filesystem::filesystem_error& e) {
        throw StorageError(e.what());
    }
}

/// Makes durable what was read at startup: a process that was killed may have written it without a sync, and this
/// member confirms it to others from now on. Needs no free space, so that a member starts on a full disk.
void FileControlStorage::makeReadDurable()
{
    // A crash between the replacement of the snapshot and that of the log leaves only entries that no one needs.
    if (m_entries.empty() && m_operations.truncate(m_log.get(), 0) != 0)
        fail("cannot truncate file log");
    syncDescriptor(m_log.get(), logFile);
    syncFolder();
}

void FileControlStorage::lockFolder()
{
    auto path = m_folder / lockFile;
    m_lock.reset(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
    if (m_lock.get() < 0)
        fail("cannot open " + path.string());
    // Two processes on one folder would vote twice under one identity.
    if (::flock(m_lock.get(), LOCK_EX | LOCK_NB) != 0)
        fail("data folder " + m_folder.string() + " is in use by another process");
}

void FileControlStorage::openExisting()
{
    if (!std::filesystem::exists(m_folder / identityFile)) {
        // The identity is written last at creation and moved first when the folder is set aside, so these files are
        // left over from an interrupted creation or move and belong to no identity.
        for (const char* name : { voteFile, logFile, snapshotFile }) {
            if (std::filesystem::exists(m_folder / name))
                throw CorruptionError("file identity is missing, but other data files exist");
        }
        return;
    }
    auto identity = codec::decodeValue<DiskIdentity>(readRecords(m_folder / identityFile, 1).front(), "disk identity");
    m_vote = codec::decodeValue<VoteRecord>(readRecords(m_folder / voteFile, 1).front(), "vote record");
    readSnapshotHeader();
    readLog();
    if (identity == 0)
        throw CorruptionError("file identity holds the invalid disk identity 0");
    m_disk = identity;
}

void FileControlStorage::readSnapshotHeader()
{
    if (std::filesystem::exists(m_folder / snapshotFile))
        m_snapshot = decodeSnapshotHeader(readRecords(m_folder / snapshotFile, 2).front());
}

void FileControlStorage::readLog()
{
    RecordReader reader(m_folder / logFile);
    auto firstAllowed = m_snapshot ? m_snapshot->index + 1 : 1;
    while (reader.next()) {
        auto entry = decodeLogEntry(reader.body());
        // A record whose index is already present replaces that entry and all after it.
        dropReplacedEntries(entry.index);
        bool follows = !m_entries.empty() && entry.index == m_entries.back().index + 1;
        bool followsSnapshot = m_snapshot && entry.index == firstAllowed && entry.term >= m_snapshot->term;
        if (!follows && entry.index > firstAllowed)
            throw CorruptionError("log entry " + std::to_string(entry.index) + " does not follow its predecessor");
        // The records before this one are older than the snapshot: a crash kept the log from being rewritten.
        if (!follows || followsSnapshot)
            m_entries.clear();
        // Of an entry that the snapshot contains only index and term are needed below.
        if (entry.index < firstAllowed)
            entry.command = NoOp {};
        m_entries.push_back(std::move(entry));
    }
    if (reader.isTorn())
        truncateTornRecord(reader.offset());
    if (m_snapshot)
        m_entries = entriesAfterSnapshot(std::move(m_entries), *m_snapshot);
}

/// Removes the entries from `firstIndex` on. Their records stay in the log file until it is rewritten.
void FileControlStorage::dropReplacedEntries(std::uint64_t firstIndex)
{
    while (!m_entries.empty() && m_entries.back().index >= firstIndex) {
        m_replacedBytes += approximateBytes(m_entries.back());
        m_entries.pop_back();
    }
}

void FileControlStorage::truncateTornRecord(std::uintmax_t validBytes)
{
    FileDescriptor log(::open((m_folder / logFile).c_str(), O_WRONLY | O_CLOEXEC));
    if (log.get() < 0 || m_operations.truncate(log.get(), static_cast<long>(validBytes)) != 0)
        fail("cannot truncate the torn last record of file log");
    syncDescriptor(log.get(), logFile);
}

void FileControlStorage::create()
{
    replaceFile(voteFile, { codec::encodeValue(VoteRecord {}) });
    replaceFile(logFile, {});
    auto identity = newIdentity();
    replaceFile(identityFile, { codec::encodeValue(identity) });
    m_disk = identity;
}

void FileControlStorage::setAside(const std::string& reason)
{
    m_setAsideReason = reason;
    m_disk = 0;
    m_vote = {};
    m_snapshot.reset();
    m_entries.clear();
    m_replacedBytes = 0;
    int number = 1;
    while (std::filesystem::exists(m_folder / ("set-aside-" + std::to_string(number))))
        ++number;
    auto target = m_folder / ("set-aside-" + std::to_string(number));
    std::filesystem::create_directory(target);
    for (const char* name : { identityFile, voteFile, logFile, snapshotFile }) {
        if (!std::filesystem::exists(m_folder / name))
            continue;
        if (m_operations.rename((m_folder / name).c_str(), (target / name).c_str()) != 0)
            fail(std::string("cannot set aside file ") + name);
        syncFolder();
    }
}

void FileControlStorage::openLog()
{
    m_log.reset(::open((m_folder / logFile).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    if (m_log.get() < 0)
        fail("cannot open file log");
}

StoredControl FileControlStorage::load() const
{
    requireUsable();
    return { m_vote, m_snapshot, m_entries };
}

void FileControlStorage::saveVote(const VoteRecord& vote)
{
    requireUsable();
    replaceFile(voteFile, { codec::encodeValue(vote) });
    m_vote = vote;
}

void FileControlStorage::append(std::span<const LogEntry> entries)
{
    requireUsable();
    if (entries.empty())
        return;
    RecordWriter records([this](std::string_view piece) { writeAll(m_log.get(), piece, logFile); });
    for (const auto& it : entries)
        records.add(encode(it));
    records.flush();
    syncDescriptor(m_log.get(), logFile);
    dropReplacedEntries(entries.front().index);
    m_entries.insert(m_entries.end(), entries.begin(), entries.end());
    if (m_replacedBytes > maxReplacedBytes)
        rewriteLog();
}

void FileControlStorage::saveSnapshot(const SnapshotHeader& header, std::string_view data)
{
    requireUsable();
    dropContradicted(header);
    replaceFile(snapshotFile, { encode(header), data });
    m_snapshot = header;
    m_entries = entriesAfterSnapshot(std::move(m_entries), header);
    // A crash before this rename leaves entries that the snapshot contains; they are dropped at the next start.
    rewriteLog();
}

/// Removes the entries that contradict a snapshot before it is stored, since a start that finds them beside it cannot
/// always tell them from entries that were appended after it.
void FileControlStorage::dropContradicted(const SnapshotHeader& header)
{
    auto at = std::find_if(
        m_entries.begin(), m_entries.end(), [&](const LogEntry& it) { return it.index == header.index; });
    if (at == m_entries.end() || at->term == header.term)
        return;
    dropReplacedEntries(header.index);
    rewriteLog();
}

void FileControlStorage::rewriteLog()
{
    replaceFileWith(logFile, [this](auto& records) {
        for (const auto& it : m_entries)
            records.add(encode(it));
    });
    m_replacedBytes = 0;
    openLog();
}

void FileControlStorage::reopen()
{
    m_failed = true; // until everything below has succeeded
    m_disk = 0;
    m_vote = {};
    m_snapshot.reset();
    m_entries.clear();
    m_replacedBytes = 0;
    m_setAsideReason.clear();
    try {
        try {
            openExisting();
        } catch (const CorruptionError& e) {
            setAside(e.what());
            create();
        }
        // Damaged content may have been set aside by an earlier attempt that could not write the new files.
        if (m_disk == 0)
            create();
        replaceFile(voteFile, { codec::encodeValue(m_vote) });
        rewriteLog();
    } catch (const std::filesystem::filesystem_error& e) {
        throw StorageError(e.what());
    } catch (const StorageError&) {
        throw;
    } catch (const Error& e) {
        throw StorageError(e.what());
    }
    m_failed = false;
}

std::string FileControlStorage::readSnapshotData() const
{
    requireUsable();
    try {
        return readRecords(m_folder / snapshotFile, 2).back();
    } catch (const CorruptionError& e) {
        throw StorageError(e.what());
    }
}

// ---------------------------------------------------------------------------------------------------------------
// File operations

void FileControlStorage::replaceFile(const char* name, RecordBodies bodies)
{
    replaceFileWith(name, [&](auto& records) {
        for (auto it : bodies)
            records.add(it);
    });
}

template <typename WriteContent>
void FileControlStorage::replaceFileWith(const char* name, WriteContent&& writeContent)
{
    auto path = m_folder / name;
    auto temporary = m_folder / (std::string(name) + ".new");
    FileDescriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
    if (file.get() < 0)
        fail("cannot create " + temporary.string());
    RecordWriter records([&](std::string_view piece) { writeAll(file.get(), piece, name); });
    writeContent(records);
    records.flush();
    syncDescriptor(file.get(), name);
    if (m_operations.rename(temporary.c_str(), path.c_str()) != 0)
        fail("cannot rename " + temporary.string());
    syncFolder();
}

void FileControlStorage::writeAll(int descriptor, std::string_view content, const char* file)
{
    while (!content.empty()) {
        auto n = m_operations.write(descriptor, content.data(), content.size());
        if (n <= 0)
            fail(std::string("cannot write file ") + file);
        content.remove_prefix(static_cast<std::size_t>(n));
    }
}

void FileControlStorage::syncDescriptor(int descriptor, const char* file)
{
    if (m_operations.sync(descriptor) != 0)
        fail(std::string("cannot sync ") + file);
}

void FileControlStorage::syncFolder()
{
    FileDescriptor folder(::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (folder.get() < 0)
        fail("cannot open folder " + m_folder.string());
    syncDescriptor(folder.get(), "the data folder");
}

void FileControlStorage::fail(const std::string& what)
{
    m_failed = true;
    throw StorageError(what + ": " + std::strerror(errno));
}

void FileControlStorage::requireUsable() const
{
    if (m_failed)
        throw StorageError(
            "an earlier access to data folder " + m_folder.string() + " failed; the control role has stopped");
}

} // namespace citronplank
