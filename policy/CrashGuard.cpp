#include "policy/CrashGuard.h"

#include "coordination/ZoneLease.h"

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
        notices, [&](const CrashNotice& it) { return !record(it, true, now) || m_notices++ >= maxNoticesPerSecond; });
    return notices;
}

std::vector<CrashNotice> CrashGuard::sharedNotices(TimePoint now, bool includesReported) const
{
    std::vector<std::pair<std::uint64_t, const Suspect*>> suspects;
    for (const auto& [fingerprint, it] : m_suspects) {
        if (now < it.until() && (includesReported || it.isObserved))
            suspects.emplace_back(fingerprint, &it);
    }
    std::sort(suspects.begin(), suspects.end(), [](const auto& a, const auto& b) {
        auto key = [](const Suspect& it) { return std::pair(it.requests.size(), it.crashedAt); };
        return key(*a.second) > key(*b.second);
    });
    std::vector<CrashNotice> notices;
    for (const auto& [fingerprint, it] : suspects) {
        auto age = std::chrono::duration_cast<milliseconds>(now - it->crashedAt);
        for (const auto& id : it->requests) {
            if (notices.size() >= maxSharedNotices)
                return notices;
            notices.push_back({ fingerprint, id, age });
        }
    }
    return notices;
}

bool CrashGuard::isReporter(std::string_view self, std::string_view peer, std::vector<std::string> instances)
{
    for (std::size_t i = 0; i < reporters && !instances.empty(); ++i) {
        auto owner = rendezvousOwner(std::string(peer), instances);
        if (owner == self)
            return true;
        std::erase(instances, owner);
    }
    return false;
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

bool CrashGuard::recordNotice(const CrashNotice& notice, TimePoint now) { return record(notice, false, now); }

bool CrashGuard::record(const CrashNotice& notice, bool isObserved, TimePoint now)
{
    auto crashedAt = now - notice.age;
    if (notice.age >= retentionTime)
        return false;
    rotateAnswered(now);
    if (m_answered.contains(notice.fingerprint) || m_previouslyAnswered.contains(notice.fingerprint))
        return false;
    if (m_suspects.size() >= maxSuspects && !m_suspects.contains(notice.fingerprint)) {
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(),
            [](const auto& a, const auto& b) { return a.second.crashedAt < b.second.crashedAt; }));
    }
    auto& it = m_suspects[notice.fingerprint];
    if (it.until() <= now)
        it = {};
    it.crashedAt = std::max(it.crashedAt, TimePoint(crashedAt));
    it.isObserved = it.isObserved || isObserved;
    return it.requests.size() < crashesToBlock && it.requests.insert(notice.requestId).second;
}

bool CrashGuard::isBlocked(std::uint64_t fingerprint, TimePoint now) const
{
    auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && now < found->second.until() && found->second.requests.size() >= crashesToBlock;
}

std::string encodeCrashNotice(const CrashNotice& notice)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, std::tuple(notice.fingerprint, notice.requestId, notice.age.count()));
    return { buf.data(), buf.size() };
}

CrashNotice decodeCrashNotice(std::string_view bytes)
{
    try {
        auto handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto& object = handle.get();
        // Earlier releases send no age and ignore it.
        if (object.type == msgpack::type::ARRAY && object.via.array.size == 2) {
            auto [fingerprint, id] = object.as<std::tuple<std::uint64_t, std::string>>();
            return { fingerprint, std::move(id) };
        }
        auto [fingerprint, id, age] = object.as<std::tuple<std::uint64_t, std::string, milliseconds::rep>>();
        return { fingerprint, std::move(id),
            std::clamp<milliseconds>(milliseconds(age), milliseconds::zero(), CrashGuard::retentionTime) };
    } catch (const std::exception&) {
        throw Error(ErrorKind::BadRequest, "malformed crash notice");
    }
}

} // namespace citronplank
