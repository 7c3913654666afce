// Durable state of a control member: log, term and vote, disk identity and snapshot.
#pragma once

#include "coordination/ControlMessages.h"

#include <concepts>
#include <filesystem>

namespace citronplank {

/// The storage cannot be read, or a write or sync failed or was refused. The control role must stop: after a failed
/// sync the operating system may have discarded the data, so a later sync that succeeds proves nothing.
class StorageError : public Error {
public:
    explicit StorageError(const std::string& message)
        : Error(ErrorKind::Internal, message)
    {
    }
};

struct VoteRecord {
    std::uint64_t term = 0;
    ControlMember votedFor; // empty name: no vote in this term
    bool operator==(const VoteRecord&) const = default;
};

/// The content of a storage at startup.
struct StoredControl {
    VoteRecord vote;
    std::optional<SnapshotHeader> snapshot;
    std::vector<LogEntry> entries; // follow the snapshot without a gap
};

/// Storage of one control member. Each writing member function returns only once the data is durable and throws
/// StorageError otherwise; after that every later call throws as well. Callers serialize all calls to one object.
///
/// - `disk()` is the identity of this storage; a storage that has lost its data gets a new one.
/// - `load()` returns the stored content.
/// - `saveVote(vote)` replaces term and vote.
/// - `append(entries)` appends consecutive entries; the first one may replace a stored entry and all after it.
/// - `saveSnapshot(header, data)` stores a snapshot and drops the entries it contains. Entries after it are kept only
///   if the log agrees with the snapshot, see `entriesAfterSnapshot`.
/// - `readSnapshotData()` returns the data of the stored snapshot. Precondition: one is stored.
template <typename S>
concept ControlStorage = requires(S storage, const VoteRecord& vote, std::span<const LogEntry> entries,
    const SnapshotHeader& header, std::string_view data)
{
    {
        storage.disk()
        } -> std::convertible_to<DiskIdentity>;
    {
        storage.load()
        } -> std::same_as<StoredControl>;
    storage.saveVote(vote);
    storage.append(entries);
    storage.saveSnapshot(header, data);
    {
        storage.readSnapshotData()
        } -> std::same_as<std::string>;
};

/// The entries that remain valid after a snapshot: those after its index, provided that the log holds the snapshot's
/// last entry with the same term or starts right after it. Otherwise none, because they may contradict the snapshot.
/// Precondition: `entries` are consecutive. Thread safe.
std::vector<LogEntry> entriesAfterSnapshot(std::vector<LogEntry> entries, const SnapshotHeader&);

/// The file operations whose failure can lose data, as an interface through which tests inject failures. They return
/// what the POSIX functions return and set errno. Thread safe.
class FileOperations {
public:
    virtual ~FileOperations() = default;
    virtual long write(int descriptor, const void* data, std::size_t size);
    virtual int sync(int descriptor);
    virtual int rename(const char* from, const char* to);
    virtual int truncate(int descriptor, long size);
    /// The operations of the running system. Thread safe.
    static FileOperations& system();
};

/// Owns a file descriptor, or none (-1). Not thread safe.
class FileDescriptor {
public:
    explicit FileDescriptor(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    ~FileDescriptor() { reset(-1); }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    int get() const { return m_descriptor; }
    /// Closes the descriptor held and takes ownership of another one; -1 for none.
    void reset(int descriptor);

private:
    int m_descriptor;
};

/// ControlStorage on a data folder. New log entries are appended to the file `log`; the files `identity`, `vote` and
/// `snapshot` are replaced atomically.
///
/// Every file is a sequence of records: length (4 bytes), checksum of the length (4 bytes), xxhash64 of the body (8
/// bytes), body; integers are little-endian. The checksum of the length distinguishes a torn last record of the log,
/// which was being written at a crash and is truncated, from a damaged length. Any other mismatch is corruption: all
/// data files are moved to a subfolder `set-aside-N` and the storage starts empty with a new disk identity.
///
/// Records that are older than the snapshot are no corruption, also if the entries after the snapshot do not follow
/// them: a crash while a snapshot is stored leaves them in the log. What is read at startup is synced before use.
class FileControlStorage {
public:
    /// Opens or creates the folder and locks it until destruction. Throws StorageError if the folder cannot be read or
    /// written, if another process holds the lock, or if the data was written by an incompatible version. `operations`
    /// must outlive the object.
    explicit FileControlStorage(std::filesystem::path folder, FileOperations& operations = FileOperations::system());

    /// See ControlStorage.
    DiskIdentity disk() const { return m_disk; }
    StoredControl load() const;
    void saveVote(const VoteRecord&);
    void append(std::span<const LogEntry>);
    void saveSnapshot(const SnapshotHeader&, std::string_view data);
    std::string readSnapshotData() const;

    /// Recovers a storage on which a write or sync failed: reads the folder as at startup, then rewrites term, vote and
    /// log, because the data read back may exist in the page cache only. Damaged content is set aside as at startup;
    /// the storage then has a new disk identity. Throws StorageError if that fails too; the storage then stays
    /// unusable.
    void reopen();

    /// Why the content was moved to a subfolder `set-aside-N` at startup or at the last reopen(); empty if it was not.
    const std::string& setAsideReason() const { return m_setAsideReason; }

private:
    void lockFolder();
    void openExisting();
    void readLog();
    void readSnapshotHeader();
    void create();
    void setAside(const std::string& reason);
    void openLog();
    void makeReadDurable();
    void dropContradicted(const SnapshotHeader&);
    void dropReplacedEntries(std::uint64_t firstIndex);
    void rewriteLog();
    void truncateTornRecord(std::uintmax_t validBytes);
    using RecordBodies = std::initializer_list<std::string_view>;
    void replaceFile(const char* name, RecordBodies bodies);
    template <typename WriteContent>
    void replaceFileWith(const char* name, WriteContent&& writeContent);
    void writeAll(int descriptor, std::string_view content, const char* file);
    void syncDescriptor(int descriptor, const char* file);
    void syncFolder();
    [[noreturn]] void fail(const std::string& what);
    void requireUsable() const;

    std::filesystem::path m_folder;
    FileOperations& m_operations;
    FileDescriptor m_lock;
    FileDescriptor m_log;
    DiskIdentity m_disk = 0;
    VoteRecord m_vote;
    std::optional<SnapshotHeader> m_snapshot;
    std::vector<LogEntry> m_entries; // as in the log file, to rewrite it after a snapshot
    std::size_t m_replacedBytes = 0; // approximate size of the entries in the log file that later ones have replaced
    std::string m_setAsideReason;
    bool m_failed = false;
};

} // namespace citronplank
