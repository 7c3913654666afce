#include "rules/RulesWatcher.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace citronplank {

namespace {

std::string hexText(std::uint64_t number)
{
    std::ostringstream out;
    out << std::hex << number;
    return out.str();
}

std::string utcTimeText()
{
    const auto now = std::time(nullptr);
    std::tm parts {};
    gmtime_r(&now, &parts);
    char buf[32] = {};
    std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return buf;
}

std::optional<std::string> readWholeFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    // Reads one byte more than allowed, so that the parser rejects a file that is too large.
    std::string text(rulesFileMaxBytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad())
        return std::nullopt;
    text.resize(static_cast<std::size_t>(in.gcount()));
    return text;
}

/// Resolves symbolic links, so that a rename does not replace the link itself.
std::string resolvedPath(const std::string& path)
{
    std::error_code ec;
    const auto resolved = std::filesystem::canonical(path, ec);
    return ec ? path : resolved.string();
}

/// Writes a file and syncs it to disk. Returns false on an error, with errno set.
bool writeSynced(const std::string& path, const std::string& text, mode_t mode)
{
    const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode);
    if (fd < 0)
        return false;
    std::size_t done = 0;
    while (done < text.size()) {
        const auto n = ::write(fd, text.data() + done, text.size() - done);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    const bool ok = done == text.size() && ::fchmod(fd, mode) == 0 && ::fsync(fd) == 0;
    return ::close(fd) == 0 && ok;
}

/// Exchanges two files atomically; falls back to a rename where the file system does not support that.
bool exchangeFiles(const std::string& a, const std::string& b)
{
    if (::renameat2(AT_FDCWD, a.c_str(), AT_FDCWD, b.c_str(), RENAME_EXCHANGE) == 0)
        return true;
    return errno == EINVAL && ::rename(a.c_str(), b.c_str()) == 0;
}

/// Replaces the content of the file by `text` if it still is `expected` (nullopt: if the file does not exist). Returns
/// an empty string on success, else the reason. The exchange reveals an edit between the check and the rename; the
/// files are then exchanged back.
std::string replaceIfUnchanged(
    const std::string& path, const std::optional<std::string>& expected, const std::string& text)
{
    const auto target = resolvedPath(path);
    const auto temporary = target + ".new." + std::to_string(::getpid());
    struct stat info { };
    const mode_t mode = ::stat(target.c_str(), &info) == 0 ? info.st_mode & 07777 : 0644;
    std::string reason;
    if (!writeSynced(temporary, text, mode))
        reason = std::strerror(errno);
    else if (!expected) {
        if (::link(temporary.c_str(), target.c_str()) != 0)
            reason = std::strerror(errno);
    } else if (readWholeFile(target) != expected)
        reason = "it was edited meanwhile";
    else if (!exchangeFiles(temporary, target))
        reason = std::string("rename: ") + std::strerror(errno);
    else if (const auto old = readWholeFile(temporary); old && old != expected) {
        exchangeFiles(temporary, target);
        reason = "it was edited meanwhile";
    }
    ::unlink(temporary.c_str());
    return reason;
}

std::uint64_t submissionIdOf(const std::string& instance, std::uint64_t base, const std::vector<RuleChange>& changes)
{
    std::ostringstream out;
    out << instance << '\n' << base << '\n';
    for (const auto& change : changes) {
        out << change.key << '\n';
        if (change.line)
            out << change.line->value << '\n' << change.line->comment << '\n';
        else
            out << "\n\n";
    }
    return hash64(out.str());
}

} // namespace

RulesWatcher::RulesWatcher(std::string path, std::string instance, RulesLookup lookup)
    : m_path(std::move(path))
    , m_instance(std::move(instance))
    , m_lookup(std::move(lookup))
{
}

std::optional<std::string> RulesWatcher::readFile() const { return readWholeFile(m_path); }

RulesPollResult RulesWatcher::poll(TimePoint now)
{
    const auto text = readFile();
    if (!text)
        return pollMissing(now);
    m_missingSince.reset();
    const auto contentHash = hash64(*text);
    if (m_lastHash != contentHash) {
        m_lastHash = contentHash;
        m_lastChange = now;
        m_lastError.clear();
        m_retryAt = now;
    }
    if (now - m_lastChange < rulesSettleTime)
        return {};
    if (m_pending) {
        if (now < m_pending->resubmitAt)
            return {};
        if (m_pending->contentHash == contentHash) {
            m_pending->resubmitAt = now + rulesSubmissionTimeout;
            return { m_pending->submission, std::nullopt };
        }
        m_pending.reset();
    }
    if (m_processedHash == contentHash || now < m_retryAt)
        return {};
    return process(*text, contentHash, now);
}

RulesPollResult RulesWatcher::pollMissing(TimePoint now)
{
    const bool existed = m_lastHash.has_value();
    m_lastHash.reset();
    m_processedHash.reset();
    m_cleanHash.reset();
    if (!m_missingSince)
        m_missingSince = now;
    if (m_pending && now >= m_pending->resubmitAt)
        m_pending.reset();
    if (now - *m_missingSince >= rulesRestoreDelay)
        restoreFile();
    if (existed)
        return report("error", "the file is missing; the rules in force are unchanged and will be written to it again");
    return {};
}

RulesPollResult RulesWatcher::process(const std::string& text, std::uint64_t contentHash, TimePoint now)
{
    ParsedRules parsed;
    m_processedHash = contentHash;
    if (text.find_first_not_of(" \t\r\n") == std::string::npos)
        return report("error", "the file is empty; the rules in force are unchanged");
    try {
        parsed = parseRules(text, m_path);
    } catch (const RulesError& error) {
        return report("error", error.what());
    }
    if (!parsed.version)
        return report(
            "error", "the file has no header line \"# citronplank version N\"; delete it to get the rules in force");
    const auto base = m_lookup(*parsed.version);
    if (!base) {
        // The daemon may not have received the version yet, so the same content is tried again.
        m_processedHash.reset();
        m_retryAt = now + rulesRetryInterval;
        return report("error",
            "version " + std::to_string(*parsed.version)
                + " named in the header is not held by this instance; retrying");
    }
    const auto lines = parsed.lines();
    // A save that is truncated after the header looks like the removal of all rules.
    if (lines.empty() && base->size() > 1)
        return report("error", "the file has a header but no rule; the rules in force are unchanged");
    auto changes = compareWithBase(*base, lines);
    if (!changes.empty())
        return submit(*parsed.version, std::move(changes), contentHash, now);
    markClean(contentHash);
    writeStatus("unchanged", 0, "no difference to version " + std::to_string(*parsed.version));
    m_lastError.clear();
    bringUpToDate();
    return {};
}

RulesPollResult RulesWatcher::submit(
    std::uint64_t base, std::vector<RuleChange> changes, std::uint64_t contentHash, TimePoint now)
{
    RulesSubmission submission { submissionIdOf(m_instance, base, changes), base, std::move(changes) };
    m_cleanHash.reset();
    m_lastError.clear();
    m_pending = Pending { submission, contentHash, now + rulesSubmissionTimeout };
    writeStatus("submitted", submission.submissionId, std::to_string(submission.changes.size()) + " changed lines");
    return { std::move(submission), std::nullopt };
}

/// Writes an error to the status file and returns it, unless it was the last one reported.
RulesPollResult RulesWatcher::report(const std::string& outcome, const std::string& error)
{
    m_cleanHash.reset();
    if (error == m_lastError)
        return {};
    m_lastError = error;
    writeStatus(outcome, 0, error);
    return { std::nullopt, error };
}

void RulesWatcher::onAccepted(std::uint64_t submissionId, std::uint64_t version, std::span<const RuleLine> lines)
{
    if (m_version.value_or(0) <= version) {
        m_version = version;
        m_lines.assign(lines.begin(), lines.end());
    }
    if (!m_pending || m_pending->submission.submissionId != submissionId)
        return;
    const auto submittedHash = m_pending->contentHash;
    m_pending.reset();
    const auto text = readFile();
    std::string problem = "it was edited meanwhile";
    if (text && hash64(*text) == submittedHash)
        problem = updateFile(*text);
    writeStatus("accepted", submissionId,
        "in force as version " + std::to_string(version)
            + (problem.empty() ? "" : "; the file was not updated: " + problem));
}

void RulesWatcher::onRefused(std::uint64_t submissionId, const std::string& reason)
{
    if (!m_pending || m_pending->submission.submissionId != submissionId)
        return;
    m_pending.reset();
    writeStatus("refused", submissionId, reason);
}

void RulesWatcher::onPending(std::uint64_t submissionId, const std::string& reason, TimePoint now)
{
    if (!m_pending || m_pending->submission.submissionId != submissionId)
        return;
    m_pending->resubmitAt = now + rulesRetryInterval;
    writeStatus("pending: " + reason, submissionId, "the edit stays in the file and is submitted again");
}

void RulesWatcher::onInForce(std::uint64_t version, std::span<const RuleLine> lines)
{
    if (m_version && *m_version >= version)
        return;
    m_version = version;
    m_lines.assign(lines.begin(), lines.end());
    bringUpToDate();
}

/// Updates a file without a local edit to the version in force.
void RulesWatcher::bringUpToDate()
{
    if (!m_version || m_pending)
        return;
    const auto text = readFile();
    if (text && hash64(*text) == m_cleanHash && parseRules(*text, m_path).version.value_or(0) < *m_version)
        updateFile(*text);
}

/// Creates the missing file from the rules in force.
void RulesWatcher::restoreFile()
{
    if (!m_version || m_pending)
        return;
    const auto text = renderRules(m_lines, *m_version);
    if (!replaceIfUnchanged(m_path, std::nullopt, text).empty())
        return;
    markClean(hash64(text));
    m_lastError.clear();
    writeStatus("unchanged", 0, "the missing file was written from the rules in force");
}

/// Replaces `oldText` in the file by the version in force. Returns an empty string on success, else the reason.
std::string RulesWatcher::updateFile(const std::string& oldText)
{
    const auto text = updateRulesText(oldText, m_lines, *m_version);
    auto problem = replaceIfUnchanged(m_path, oldText, text);
    if (problem.empty())
        markClean(hash64(text));
    return problem;
}

/// Records that the file has this content and no local edit.
void RulesWatcher::markClean(std::uint64_t contentHash)
{
    m_lastHash = contentHash;
    m_processedHash = contentHash;
    m_cleanHash = contentHash;
}

void RulesWatcher::writeStatus(const std::string& outcome, std::uint64_t submissionId, const std::string& detail)
{
    std::ostringstream out;
    out << "outcome: " << outcome << "\ntime: " << utcTimeText() << "\ninstance: " << m_instance << '\n';
    if (submissionId)
        out << "submission: " << hexText(submissionId) << '\n';
    if (m_version)
        out << "version in force: " << *m_version << '\n';
    out << "detail: " << detail << '\n';
    const auto temporary = statusPath() + ".new." + std::to_string(::getpid());
    if (writeSynced(temporary, out.str(), 0644))
        std::rename(temporary.c_str(), statusPath().c_str());
    else
        ::unlink(temporary.c_str());
}

} // namespace citronplank
