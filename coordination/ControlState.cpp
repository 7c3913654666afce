#include "coordination/ControlState.h"

#include <algorithm>

namespace citronplank {

CommandResult ControlState::apply(const LogEntry& entry)
{
    if (entry.index != m_data.appliedIndex + 1) {
        throw std::logic_error("control log entry " + std::to_string(entry.index) + " does not follow entry "
            + std::to_string(m_data.appliedIndex));
    }
    m_data.appliedIndex = entry.index;
    m_data.clockMs = std::max(m_data.clockMs, entry.timestampMs);
    dropExpired();
    return std::visit([&](const auto& it) { return applyCommand(it, entry.index); }, entry.command);
}

// ---------------------------------------------------------------------------------------------------------------
// Rules

CommandResult ControlState::applyCommand(const EditRules& command, std::uint64_t index)
{
    auto found = m_submissionResults.find(command.submissionId);
    if (found != m_submissionResults.end())
        return found->second;
    auto result = edit(command, index);
    storeSubmission(command.submissionId, result);
    return result;
}

EditResult ControlState::edit(const EditRules& command, std::uint64_t index)
{
    if (!isWellFormed(command))
        return { EditStatus::Invalid, m_data.rulesVersion };
    // A rules file that is saved again while its submission is in progress submits the accepted lines again, which is
    // no conflict.
    auto effective = command;
    std::erase_if(effective.changes, [this](const RuleChange& change) { return isInForce(change); });
    if (auto refused = refusal(effective))
        return *refused;
    if (!effective.changes.empty())
        writeLines(effective, index);
    return { EditStatus::Accepted, m_data.rulesVersion };
}

bool ControlState::isWellFormed(const EditRules& command)
{
    std::set<std::string_view> keys;
    return std::all_of(command.changes.begin(), command.changes.end(), [&](const RuleChange& change) {
        bool otherKey = change.line && change.line->key != change.key;
        return !change.key.empty() && !otherKey && keys.insert(change.key).second;
    });
}

bool ControlState::isInForce(const RuleChange& change) const
{
    auto line = m_data.lines.find(change.key);
    if (line == m_data.lines.end())
        return !change.line;
    return change.line == line->second.line;
}

std::optional<EditResult> ControlState::refusal(const EditRules& command) const
{
    if (command.baseVersion > m_data.rulesVersion)
        return EditResult { EditStatus::BaseUnknown, m_data.rulesVersion };
    if (command.baseVersion < m_data.oldestBase)
        return EditResult { EditStatus::BaseTooOld, m_data.rulesVersion };
    for (const auto& change : command.changes) {
        auto line = m_data.lines.find(change.key);
        if (line != m_data.lines.end() && line->second.version > command.baseVersion) {
            return EditResult { EditStatus::Conflict, m_data.rulesVersion, change.key, line->second.version,
                line->second.author };
        }
        auto removed = m_data.removed.find(change.key);
        if (removed != m_data.removed.end() && removed->second.version > command.baseVersion) {
            return EditResult { EditStatus::Conflict, m_data.rulesVersion, change.key, removed->second.version,
                removed->second.author };
        }
    }
    if (!isValidTogether(command))
        return EditResult { EditStatus::Invalid, m_data.rulesVersion };
    return std::nullopt;
}

bool ControlState::isValidTogether(const EditRules& command) const
{
    if (!m_validator)
        return true;
    std::vector<RuleLine> inForce;
    inForce.reserve(m_data.lines.size());
    for (const auto& [key, it] : m_data.lines)
        inForce.push_back(it.line);
    return m_validator(applyRuleChanges(inForce, command.changes));
}

void ControlState::writeLines(const EditRules& command, std::uint64_t index)
{
    RuleVersion undo { index, {} };
    for (const auto& change : command.changes) {
        auto line = m_data.lines.find(change.key);
        std::optional<VersionedLine> previous;
        if (line != m_data.lines.end())
            previous = std::move(line->second);
        undo.previous.push_back({ change.key, std::move(previous) });
        if (change.line) {
            m_data.lines.insert_or_assign(
                change.key, VersionedLine { *change.line, index, command.author, m_data.clockMs });
            m_data.removed.erase(change.key);
        } else {
            if (line != m_data.lines.end())
                m_data.lines.erase(line);
            m_data.removed.insert_or_assign(change.key, RemovedLine { index, command.author });
        }
    }
    m_data.rulesVersion = index;
    m_data.publishedVersion = index;
    m_data.history.push_back(std::move(undo));
    trimHistory();
}

void ControlState::trimHistory()
{
    while (m_data.history.size() > maxRuleVersions) {
        m_data.oldestBase = m_data.history.front().version;
        m_data.history.erase(m_data.history.begin());
    }
    std::erase_if(m_data.removed, [&](const auto& it) { return it.second.version <= m_data.oldestBase; });
}

void ControlState::storeSubmission(const std::string& submissionId, const EditResult& result)
{
    m_data.submissions.push_back({ submissionId, result });
    m_submissionResults.emplace(submissionId, result);
    while (m_data.submissions.size() > maxSubmissions) {
        m_submissionResults.erase(m_data.submissions.front().submissionId);
        m_data.submissions.erase(m_data.submissions.begin());
    }
}

std::optional<std::vector<RuleLine>> ControlState::ruleLinesAt(std::uint64_t version) const
{
    if (version < m_data.oldestBase || version > m_data.rulesVersion)
        return std::nullopt;
    std::map<std::string_view, const RuleLine*> lines;
    for (const auto& [key, it] : m_data.lines)
        lines[key] = &it.line;
    for (auto it = m_data.history.rbegin(); it != m_data.history.rend() && it->version > version; ++it) {
        for (const auto& previous : it->previous) {
            if (previous.line)
                lines[previous.key] = &previous.line->line;
            else
                lines.erase(previous.key);
        }
    }
    std::vector<RuleLine> result;
    result.reserve(lines.size());
    for (const auto& [key, line] : lines)
        result.push_back(*line);
    return result;
}

// ---------------------------------------------------------------------------------------------------------------
// Request keys

CommandResult ControlState::applyCommand(const BeginRequest& command, std::uint64_t /*index*/)
{
    auto found = m_data.requests.find(command.key);
    if (found != m_data.requests.end()) {
        auto& record = found->second;
        if (record.fingerprint != command.fingerprint)
            return BeginResult { BeginStatus::KeyReused, record.attempt };
        bool sameAttempt = record.attempt == command.attempt;
        if (record.state == RequestState::Begun)
            return BeginResult { sameAttempt ? BeginStatus::Begun : BeginStatus::InProgress, record.attempt };
        // A delayed duplicate of an attempt that ended as NotRun must not begin it again: nobody would dispatch or
        // finish it.
        if (record.state == RequestState::Finished || sameAttempt) {
            return BeginResult { BeginStatus::Finished, record.attempt, record.outcome, record.answer,
                record.answerOmitted };
        }
        record.attempt = command.attempt;
        record.state = RequestState::Begun;
        record.answer.clear();
        record.answerOmitted = false;
        return BeginResult { BeginStatus::Begun, record.attempt };
    }
    // The key time is chosen by the caller. This check comes first, so that the sum in the next one cannot overflow.
    if (command.keyTimeMs > m_data.clockMs + maxKeyLeadMs)
        return BeginResult { BeginStatus::KeyInFuture };
    if (command.keyTimeMs + requestRetentionMs <= m_data.clockMs)
        return BeginResult { BeginStatus::Expired };
    if (m_data.requests.size() >= maxRequestKeys)
        return BeginResult { BeginStatus::Full };
    m_data.requests.emplace(command.key, RequestRecord { command.attempt, command.fingerprint, command.keyTimeMs });
    m_requestsByTime.emplace(command.keyTimeMs, command.key);
    return BeginResult { BeginStatus::Begun, command.attempt };
}

CommandResult ControlState::applyCommand(const FinishRequest& command, std::uint64_t /*index*/)
{
    auto found = m_data.requests.find(command.key);
    if (found == m_data.requests.end())
        return FinishResult { FinishStatus::UnknownKey };
    auto& record = found->second;
    if (record.attempt != command.attempt)
        return FinishResult { FinishStatus::OtherAttempt };
    if (record.state != RequestState::Begun)
        return FinishResult { FinishStatus::AlreadyFinished };
    record.state = command.outcome == Outcome::NotRun ? RequestState::NotRun : RequestState::Finished;
    record.outcome = command.outcome;
    record.answerOmitted = command.answerOmitted || command.answer.size() > maxStoredAnswerBytes;
    record.answer = record.answerOmitted ? std::string() : command.answer;
    return FinishResult { FinishStatus::Stored };
}

const RequestRecord* ControlState::request(const std::string& key) const
{
    auto found = m_data.requests.find(key);
    return found == m_data.requests.end() ? nullptr : &found->second;
}

// ---------------------------------------------------------------------------------------------------------------
// Views, members, blocked fingerprints

CommandResult ControlState::applyCommand(const ChangeView& command, std::uint64_t index)
{
    auto found = m_data.views.find(command.zone);
    bool known = found != m_data.views.end();
    if (command.expectedNumber != (known ? found->second.number : 0)) {
        return known ? ViewResult { false, found->second.number, found->second.members } : ViewResult {};
    }
    ZoneView view { command.zone, command.expectedNumber + 1, command.members, {}, index };
    std::sort(view.members.begin(), view.members.end());
    if (known)
        view.previous = found->second.members;
    m_data.views.insert_or_assign(command.zone, view);
    m_data.publishedVersion = index;
    return ViewResult { true, view.number, view.members };
}

CommandResult ControlState::applyCommand(const BlockFingerprint& command, std::uint64_t index)
{
    if (m_data.blocked.size() >= maxBlockedFingerprints && !m_data.blocked.contains(command.fingerprint)) {
        m_data.blocked.erase(std::min_element(m_data.blocked.begin(), m_data.blocked.end(),
            [](const auto& a, const auto& b) { return a.second.expiresMs < b.second.expiresMs; }));
    }
    auto& blocked = m_data.blocked[command.fingerprint];
    auto expires = m_data.clockMs + std::min(command.durationMs, UINT64_MAX - m_data.clockMs);
    blocked = { command.fingerprint, std::max(blocked.expiresMs, expires), index };
    m_data.publishedVersion = index;
    return BlockResult { blocked.expiresMs };
}

CommandResult ControlState::applyCommand(const PutDocument& command, std::uint64_t index)
{
    if (command.version <= m_data.document.version)
        return DocumentResult { false, m_data.document.version };
    m_data.document = { command.version, command.content, index };
    m_data.publishedVersion = index;
    return DocumentResult { true, command.version };
}

CommandResult ControlState::applyCommand(const ChangeMembers& command, std::uint64_t index)
{
    if (m_data.membership.cluster != command.membership.cluster)
        m_data.publishedVersion = index;
    m_data.membership = command.membership;
    return NoResult {};
}

CommandResult ControlState::applyCommand(const NoOp& /*command*/, std::uint64_t /*index*/) { return NoResult {}; }

bool ControlState::isBlocked(std::uint64_t fingerprint) const
{
    auto found = m_data.blocked.find(fingerprint);
    return found != m_data.blocked.end() && found->second.expiresMs > m_data.clockMs;
}

void ControlState::dropExpired()
{
    while (!m_requestsByTime.empty() && m_requestsByTime.begin()->first + requestRetentionMs <= m_data.clockMs) {
        m_data.requests.erase(m_requestsByTime.begin()->second);
        m_requestsByTime.erase(m_requestsByTime.begin());
    }
    std::erase_if(m_data.blocked, [&](const auto& it) { return it.second.expiresMs <= m_data.clockMs; });
}

void ControlState::rebuildIndexes()
{
    m_submissionResults.clear();
    for (const auto& it : m_data.submissions)
        m_submissionResults.emplace(it.submissionId, it.result);
    m_requestsByTime.clear();
    for (const auto& [key, record] : m_data.requests)
        m_requestsByTime.emplace(record.keyTimeMs, key);
}

// ---------------------------------------------------------------------------------------------------------------
// Published part

PublishedState ControlState::published() const
{
    PublishedState state { m_data.membership.cluster, m_data.publishedVersion, m_data.rulesVersion, {}, {}, {},
        m_data.document };
    for (const auto& [key, it] : m_data.lines)
        state.lines.push_back(it);
    for (const auto& [zone, it] : m_data.views)
        state.views.push_back(it);
    for (const auto& [fingerprint, it] : m_data.blocked)
        state.blocked.push_back(it);
    return state;
}

PublishedDifference ControlState::differenceSince(std::uint64_t version) const
{
    PublishedDifference result;
    result.cluster = m_data.membership.cluster;
    // Removed keys are known only back to the oldest base; a version after the current one belongs to another log.
    result.full = version < m_data.oldestBase || version == 0 || version > m_data.publishedVersion;
    result.fromVersion = result.full ? 0 : version;
    result.version = m_data.publishedVersion;
    result.rulesVersion = m_data.rulesVersion;
    for (const auto& [key, it] : m_data.lines) {
        if (it.version > result.fromVersion)
            result.lines.push_back(it);
    }
    for (const auto& [key, it] : m_data.removed) {
        if (!result.full && it.version > version)
            result.removedKeys.push_back(key);
    }
    for (const auto& [zone, it] : m_data.views) {
        if (it.version > result.fromVersion)
            result.views.push_back(it);
    }
    for (const auto& [fingerprint, it] : m_data.blocked) {
        if (it.version > result.fromVersion)
            result.blocked.push_back(it);
    }
    if (m_data.document.index > result.fromVersion)
        result.document = m_data.document;
    return result;
}

namespace {

/// Inserts or replaces the changed items in a list that is ordered by `key`.
template <typename T, typename Key>
void merge(std::vector<T>& list, const std::vector<T>& changed, Key key)
{
    for (const auto& it : changed) {
        auto at
            = std::lower_bound(list.begin(), list.end(), it, [&](const T& a, const T& b) { return key(a) < key(b); });
        if (at != list.end() && key(*at) == key(it))
            *at = it;
        else
            list.insert(at, it);
    }
}

} // namespace

bool applyDifference(PublishedState& state, const PublishedDifference& difference)
{
    bool otherCluster = state.cluster != 0 && difference.cluster != state.cluster;
    if (otherCluster || difference.version <= state.version)
        return false;
    if (!difference.full && (state.cluster == 0 || difference.fromVersion > state.version))
        return false;
    if (difference.full)
        state = {};
    state.cluster = difference.cluster;
    state.version = difference.version;
    state.rulesVersion = difference.rulesVersion;
    std::erase_if(state.lines, [&](const VersionedLine& it) {
        return std::find(difference.removedKeys.begin(), difference.removedKeys.end(), it.line.key)
            != difference.removedKeys.end();
    });
    merge(state.lines, difference.lines, [](const VersionedLine& it) { return std::string_view(it.line.key); });
    merge(state.views, difference.views, [](const ZoneView& it) { return std::string_view(it.zone); });
    if (difference.document && difference.document->version >= state.document.version)
        state.document = *difference.document;
    merge(state.blocked, difference.blocked, [](const BlockedFingerprint& it) { return it.fingerprint; });
    return true;
}

} // namespace citronplank
