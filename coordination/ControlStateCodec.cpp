#include "coordination/ControlCodec.h"
#include "coordination/ControlState.h"

namespace citronplank {

constexpr RequestState lastEnumerator(RequestState) { return RequestState::NotRun; }

namespace codec {

template <typename A>
void fields(A& archive, VersionedLine& it)
{
    archive(it.line, it.version, it.author, it.timeMs);
}
template <typename A>
void fields(A& archive, ZoneView& it)
{
    archive(it.zone, it.number, it.members, it.previous, it.version);
}
template <typename A>
void fields(A& archive, BlockedFingerprint& it)
{
    archive(it.fingerprint, it.expiresMs, it.version);
}
template <typename A>
void fields(A& archive, RequestRecord& it)
{
    archive(it.attempt, it.fingerprint, it.keyTimeMs, it.state, it.outcome, it.answer, it.answerOmitted);
}
template <typename A>
void fields(A& archive, StoredDocument& it)
{
    archive(it.version, it.content, it.index);
}
template <typename A>
void fields(A& archive, PublishedState& it)
{
    archive(it.cluster, it.version, it.rulesVersion, it.lines, it.views, it.blocked, it.document);
}
template <typename A>
void fields(A& archive, PublishedDifference& it)
{
    archive(it.cluster, it.fromVersion, it.version, it.rulesVersion, it.full, it.lines, it.removedKeys, it.views,
        it.blocked, it.document);
}
template <typename A>
void fields(A& archive, RuleVersion::Previous& it)
{
    archive(it.key, it.line);
}
template <typename A>
void fields(A& archive, RuleVersion& it)
{
    archive(it.version, it.previous);
}
template <typename A>
void fields(A& archive, RemovedLine& it)
{
    archive(it.version, it.author);
}
template <typename A>
void fields(A& archive, StoredSubmission& it)
{
    archive(it.submissionId, it.result);
}
template <typename A>
void fields(A& archive, ControlStateData& it)
{
    archive(it.appliedIndex, it.clockMs, it.rulesVersion, it.publishedVersion, it.oldestBase, it.membership, it.lines,
        it.removed, it.history, it.submissions, it.requests, it.views, it.blocked, it.document);
}

} // namespace codec

std::string ControlState::snapshot() const { return codec::encodeValue(m_data); }

void ControlState::restore(std::string_view bytes)
{
    m_data = codec::decodeValue<ControlStateData>(bytes, "control snapshot");
    rebuildIndexes();
}

std::string encode(const PublishedState& state) { return codec::encodeValue(state); }

PublishedState decodePublishedState(std::string_view data)
{
    return codec::decodeValue<PublishedState>(data, "published state");
}

std::string encode(const PublishedDifference& difference) { return codec::encodeValue(difference); }

PublishedDifference decodePublishedDifference(std::string_view data)
{
    return codec::decodeValue<PublishedDifference>(data, "published difference");
}

} // namespace citronplank
