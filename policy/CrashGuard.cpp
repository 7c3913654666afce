#include "policy/CrashGuard.h"

#include <algorithm>
#include <msgpack.hpp>

namespace citronplank {

void CrashGuard::onAttemptLost(CrashNotice notice, const std::string& leaf, TimePoint now)
{
    while (!m_losses.empty() && (m_losses.size() >= maxLosses || now - m_losses.front().at > crashDetectionTime))
        m_losses.pop_front();
    m_losses.push_back({ std::move(notice), leaf, now });
}

std::vector<CrashNotice> CrashGuard::onLeafUnreachable(const std::string& leaf, TimePoint now)
{
    std::vector<CrashNotice> notices;
    for (const auto& it : m_losses) {
        if (it.leaf == leaf && now - it.at <= crashDetectionTime)
            notices.push_back(it.notice);
    }
    std::erase_if(m_losses, [&](const Loss& it) { return it.leaf == leaf; });
    if (now - m_noticesSince >= seconds(1)) {
        m_noticesSince = now;
        m_notices = 0;
    }
    std::erase_if(
        notices, [&](const CrashNotice& it) { return !recordNotice(it, now) || m_notices++ >= maxNoticesPerSecond; });
    for (const auto& it : notices) {
        if (m_sharedNotices.size() >= maxSharedNotices)
            m_sharedNotices.pop_front();
        m_sharedNotices.push_back({ it, now });
    }
    return notices;
}

std::vector<CrashNotice> CrashGuard::sharedNotices(TimePoint now) const
{
    std::vector<CrashNotice> notices;
    for (const auto& it : m_sharedNotices) {
        auto suspect = m_suspects.find(it.notice.fingerprint);
        if (now - it.at < retentionTime && suspect != m_suspects.end()
            && suspect->second.requests.contains(it.notice.requestId))
            notices.push_back(it.notice);
    }
    return notices;
}

void CrashGuard::onAnswered(std::uint64_t fingerprint, TimePoint now)
{
    rotateAnswered(now);
    m_answered.insert(fingerprint);
    if (!m_suspects.empty())
        m_suspects.erase(fingerprint);
}

void CrashGuard::rotateAnswered(TimePoint now)
{
    auto age = now - m_answeredSince;
    if (age < answeredWindow && m_answered.size() < maxAnswered)
        return;
    m_previouslyAnswered = age < 2 * answeredWindow ? std::move(m_answered) : std::unordered_set<std::uint64_t>();
    m_answered.clear();
    m_answeredSince = now;
}

bool CrashGuard::recordNotice(const CrashNotice& notice, TimePoint now)
{
    rotateAnswered(now);
    if (m_answered.contains(notice.fingerprint) || m_previouslyAnswered.contains(notice.fingerprint))
        return false;
    if (m_suspects.size() >= maxSuspects && !m_suspects.contains(notice.fingerprint)) {
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(),
            [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
    }
    auto& it = m_suspects[notice.fingerprint];
    if (it.until <= now)
        it.requests.clear();
    it.until = now + retentionTime;
    return it.requests.size() < crashesToBlock && it.requests.insert(notice.requestId).second;
}

bool CrashGuard::isBlocked(std::uint64_t fingerprint, TimePoint now) const
{
    auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && now < found->second.until && found->second.requests.size() >= crashesToBlock;
}

std::string encodeCrashNotice(const CrashNotice& notice)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, std::tuple(notice.fingerprint, notice.requestId));
    return { buf.data(), buf.size() };
}

CrashNotice decodeCrashNotice(std::string_view bytes)
{
    try {
        auto [fingerprint, id]
            = msgpack::unpack(bytes.data(), bytes.size()).get().as<std::tuple<std::uint64_t, std::string>>();
        return { fingerprint, std::move(id) };
    } catch (const std::exception&) {
        throw Error(ErrorKind::BadRequest, "malformed crash notice");
    }
}

} // namespace citronplank
