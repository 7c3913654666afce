#include "coordination/ControlStorage.h"

#include "coordination/ControlCodec.h"

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

/// The body preceded by the record header, see FileControlStorage.
std::string frameRecord(std::string_view body)
{
    if (body.size() > UINT32_MAX)
        throw StorageError("control record of " + std::to_string(body.size()) + " bytes is over 4 GiB");
    std::string buf;
    buf.reserve(recordHeaderBytes + body.size());
    appendInteger(buf, body.size(), 4);
    appendInteger(buf, lengthChecksum(std::string_view(buf).substr(0, 4)), 4);
    appendInteger(buf, hash64(body), 8);
    buf.append(body);
    return buf;
}

struct RecordRead {
    bool torn = false; // the data ends within the record
    std::string_view body;
    std::size_t next = 0; // offset of the next record
};

RecordRead readRecord(std::string_view data, std::size_t offset, const char* file)
{
    if (data.size() - offset < recordHeaderBytes)
        return { true, {}, offset };
    auto length = readInteger(data, offset, 4);
    if (readInteger(data, offset + 4, 4) != lengthChecksum(data.substr(offset, 4)))
        throw CorruptionError(std::string("checksum mismatch in a record length of file ") + file);
    if (data.size() - offset - recordHeaderBytes < length)
        return { true, {}, offset };
    auto body = data.substr(offset + recordHeaderBytes, length);
    if (readInteger(data, offset + 8, 8) != hash64(body))
        throw CorruptionError(std::string("checksum mismatch in a record body of file ") + file);
    return { false, body, offset + recordHeaderBytes + length };
}

std::optional<std::string> readFile(const std::filesystem::path& path)
{
    if (!std::filesystem::exists(path))
        return std::nullopt;
    std::ifstream in(path, std::ios::binary);
    std::string content((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (!in.is_open() || in.bad())
        throw StorageError("cannot read " + path.string());
    return content;
}

/// Reads a file that must consist of `recordCount` records. It was replaced atomically, so a torn record is corruption.
std::vector<std::string> readRecords(const std::filesystem::path& path, std::size_t recordCount)
{
    auto content = readFile(path);
    auto name = path.filename().string();
    if (!content)
        throw CorruptionError("file " + name + " is missing");
    std::vector<std::string> bodies;
    for (std::size_t offset = 0; offset < content->size() || bodies.size() < recordCount;) {
        auto it = readRecord(*content, offset, name.c_str());
        if (it.torn)
            throw CorruptionError("file " + name + " ends within a record");
        bodies.emplace_back(it.body);
        offset = it.next;
    }
    if (bodies.size() != recordCount)
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
    } catch (const std::filesystem::filesystem_error& e) {
        throw StorageError(e.what());
    }
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
    auto content = readFile(m_folder / logFile);
    if (!content)
        throw CorruptionError("file log is missing");
    std::size_t offset = 0;
    while (offset < content->size()) {
        auto it = readRecord(*content, offset, logFile);
        if (it.torn) {
            truncateTornRecord(offset);
            break;
        }
        auto entry = decodeLogEntry(it.body);
        // A record whose index is already present replaces that entry and all after it.
        while (!m_entries.empty() && m_entries.back().index >= entry.index)
            m_entries.pop_back();
        auto firstAllowed = m_snapshot ? m_snapshot->index + 1 : 1;
        bool follows = m_entries.empty() ? entry.index <= firstAllowed : entry.index == m_entries.back().index + 1;
        if (!follows)
            throw CorruptionError("log entry " + std::to_string(entry.index) + " does not follow its predecessor");
        m_entries.push_back(std::move(entry));
        offset = it.next;
    }
    if (m_snapshot)
        m_entries = entriesAfterSnapshot(std::move(m_entries), *m_snapshot);
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
    replaceFile(voteFile, frameRecord(codec::encodeValue(VoteRecord {})));
    replaceFile(logFile, "");
    auto identity = newIdentity();
    replaceFile(identityFile, frameRecord(codec::encodeValue(identity)));
    m_disk = identity;
}

void FileControlStorage::setAside(const std::string& reason)
{
    m_setAsideReason = reason;
    m_disk = 0;
    m_vote = {};
    m_snapshot.reset();
    m_entries.clear();
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
    replaceFile(voteFile, frameRecord(codec::encodeValue(vote)));
    m_vote = vote;
}

void FileControlStorage::append(std::span<const LogEntry> entries)
{
    requireUsable();
    if (entries.empty())
        return;
    std::string content;
    for (const auto& it : entries)
        content += frameRecord(encode(it));
    writeAll(m_log.get(), content, logFile);
    syncDescriptor(m_log.get(), logFile);
    while (!m_entries.empty() && m_entries.back().index >= entries.front().index)
        m_entries.pop_back();
    m_entries.insert(m_entries.end(), entries.begin(), entries.end());
}

void FileControlStorage::saveSnapshot(const SnapshotHeader& header, std::string_view data)
{
    requireUsable();
    replaceFile(snapshotFile, frameRecord(encode(header)) + frameRecord(data));
    m_snapshot = header;
    m_entries = entriesAfterSnapshot(std::move(m_entries), header);
    // A crash before this rename leaves entries that the snapshot contains; they are dropped at the next start.
    rewriteLog();
}

void FileControlStorage::rewriteLog()
{
    std::string content;
    for (const auto& it : m_entries)
        content += frameRecord(encode(it));
    replaceFile(logFile, content);
    openLog();
}

void FileControlStorage::reopen()
{
    m_failed = true; // until everything below has succeeded
    m_disk = 0;
    m_vote = {};
    m_snapshot.reset();
    m_entries.clear();
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
        replaceFile(voteFile, frameRecord(codec::encodeValue(m_vote)));
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

void FileControlStorage::replaceFile(const char* name, std::string_view content)
{
    auto path = m_folder / name;
    auto temporary = m_folder / (std::string(name) + ".new");
    FileDescriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
    if (file.get() < 0)
        fail("cannot create " + temporary.string());
    writeAll(file.get(), content, name);
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
