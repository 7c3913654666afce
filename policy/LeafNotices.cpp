#include "policy/LeafNotices.h"

#include <algorithm>

namespace citronplank {

namespace {

/// Instances spread their trials of a leaf over this share of its pause, within the limits below.
constexpr double spreadShare = 0.2;
constexpr milliseconds minSpread { 50 };
constexpr milliseconds maxSpread { 1000 };
constexpr milliseconds refusedTrialDelay { 100 }; // until the next trial; doubles with each refusal
constexpr std::uint32_t maxDelayDoublings = 4;

} // namespace

const LeafNotices::Leaf* LeafNotices::find(const Announcement& leaf) const
{
    auto found = m_leaves.find(leaf.leaf);
    return found == m_leaves.end() || found->second.boot != leaf.boot ? nullptr : &found->second;
}

/// Time from the end of a pause until this instance tries the leaf.
Duration LeafNotices::spread(const std::string& leaf, Duration pause) const
{
    auto range = std::clamp<Duration>(std::chrono::duration_cast<Duration>(pause * spreadShare), minSpread, maxSpread);
    constexpr std::uint64_t steps = 1024;
    return range * static_cast<Duration::rep>(hash64(m_instance, hash64(leaf)) % steps) / steps;
}

bool LeafNotices::record(const Announcement& leaf, const LeafNotice& notice, TimePoint now)
{
    if (notice.isEmpty())
        return false;
    auto& it = m_leaves[leaf.leaf];
    if (leaf.boot < it.boot)
        return false;
    if (leaf.boot > it.boot)
        it = { .boot = leaf.boot };
    it.listedAt = now;
    bool isNew = notice.isLeaving && !it.isLeaving;
    it.isLeaving = it.isLeaving || notice.isLeaving;
    if (notice.pause) {
        auto pause = std::min<Duration>(*notice.pause, maxPause);
        auto trialAt = now + pause + spread(leaf.leaf, pause);
        bool isLater = !it.trialAt || trialAt > *it.trialAt;
        isNew = isNew || isLater;
        if (isLater)
            it.trialAt = trialAt;
        it.allowance = 1;
        it.refusedTrials = 0;
        it.trials.clear();
    }
    if (isNew)
        it.noticedAt = now;
    return isNew;
}

bool LeafNotices::isLeaving(const Announcement& leaf) const
{
    const auto* it = find(leaf);
    return it && it->isLeaving;
}

bool LeafNotices::accepts(const Announcement& leaf, TimePoint now) const
{
    const auto* it = find(leaf);
    if (!it)
        return true;
    return !it->isLeaving && (!it->trialAt || (now >= *it->trialAt && it->trials.size() < it->allowance));
}

bool LeafNotices::acceptsSince(const Announcement& leaf, TimePoint chosenAt) const
{
    const auto* it = find(leaf);
    return !it || it->noticedAt < chosenAt;
}

std::optional<TimePoint> LeafNotices::pausedUntil(const Announcement& leaf, TimePoint now) const
{
    const auto* it = find(leaf);
    return it && it->trialAt && now < *it->trialAt ? it->trialAt : std::nullopt;
}

void LeafNotices::onStart(const Announcement& leaf, std::uint64_t attempt, TimePoint now)
{
    auto found = m_leaves.find(leaf.leaf);
    if (found != m_leaves.end() && found->second.boot == leaf.boot && found->second.trialAt
        && now >= *found->second.trialAt)
        found->second.trials.push_back(attempt);
}

void LeafNotices::onEnd(const std::string& leaf, std::uint64_t attempt, End end, TimePoint now)
{
    auto found = m_leaves.find(leaf);
    if (found == m_leaves.end() || std::erase(found->second.trials, attempt) == 0)
        return;
    auto& it = found->second;
    if (end == End::Refused) {
        it.allowance = 1;
        it.trialAt = now + refusedTrialDelay * (1U << std::min(it.refusedTrials++, maxDelayDoublings));
    } else if (end == End::Answered) {
        it.refusedTrials = 0;
        constexpr std::uint32_t fullAllowance = 8; // requests at a time, from which on the leaf is not limited
        it.allowance *= 2;
        if (it.allowance < fullAllowance)
            return;
        if (it.isLeaving)
            it.trialAt.reset();
        else
            m_leaves.erase(found);
    }
}

void LeafNotices::keepOnly(std::span<const Announcement> listed, TimePoint now)
{
    for (const auto& leaf : listed) {
        auto found = m_leaves.find(leaf.leaf);
        if (found == m_leaves.end())
            continue;
        if (leaf.boot > found->second.boot)
            m_leaves.erase(found);
        else if (leaf.boot == found->second.boot)
            found->second.listedAt = now;
    }
    std::erase_if(m_leaves, [&](const auto& it) {
        bool isListed = it.second.listedAt == now;
        return !isListed && (it.second.boot == 0 || now - it.second.listedAt >= retention);
    });
}

} // namespace citronplank
