#include "coordination/ControlEntries.h"

#include <algorithm>

namespace citronplank {

void EntryWindow::reset(std::uint64_t baseIndex, std::uint64_t baseTerm)
{
    m_baseIndex = baseIndex;
    m_baseTerm = baseTerm;
    m_entries.clear();
}

std::optional<std::uint64_t> EntryWindow::termAt(std::uint64_t index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

void EntryWindow::append(const LogEntry& entry)
{
    if (entry.index != lastIndex() + 1)
        throw std::logic_error(
            "control log entry " + std::to_string(entry.index) + " does not follow the last entry of the log");
    m_entries.push_back(entry);
}

void EntryWindow::truncateFrom(std::uint64_t index)
{
    while (!m_entries.empty() && m_entries.back().index >= index)
        m_entries.pop_back();
}

void EntryWindow::dropThrough(std::uint64_t index)
{
    while (!m_entries.empty() && m_entries.front().index <= index) {
        m_baseIndex = m_entries.front().index;
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
    }
}

std::vector<LogEntry> EntryWindow::slice(std::uint64_t index, std::size_t maxCount, std::size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (; index <= lastIndex() && entries.size() < maxCount; ++index) {
        bytes += approximateBytes(at(index));
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(at(index));
    }
    return entries;
}

std::size_t EntryWindow::bytesBetween(std::uint64_t first, std::uint64_t last) const
{
    std::size_t bytes = 0;
    for (auto i = std::max(first, m_baseIndex) + 1; i <= std::min(last, lastIndex()); ++i)
        bytes += approximateBytes(at(i));
    return bytes;
}

std::uint64_t EntryWindow::startWithin(std::uint64_t last, std::size_t maxBytes) const
{
    std::size_t bytes = 0;
    auto start = last;
    while (start > m_baseIndex && (bytes += approximateBytes(at(start))) <= maxBytes)
        --start;
    return start;
}

namespace {

std::size_t bytesOf(const EditRules& it)
{
    std::size_t n = it.submissionId.size() + it.author.size();
    for (const auto& change : it.changes) {
        n += change.key.size();
        if (change.line)
            n += change.line->key.size() + change.line->value.size() + change.line->comment.size();
    }
    return n;
}
std::size_t bytesOf(const PutDocument& it) { return it.content.size(); }
std::size_t bytesOf(const BeginRequest& it) { return it.key.size() + it.attempt.size(); }
std::size_t bytesOf(const FinishRequest& it) { return it.key.size() + it.attempt.size() + it.answer.size(); }
std::size_t bytesOf(const ChangeView& it)
{
    std::size_t n = it.zone.size();
    for (const auto& member : it.members)
        n += member.size();
    return n;
}
template <typename T>
std::size_t bytesOf(const T& /*other*/)
{
    return 0;
}

} // namespace

std::size_t approximateBytes(const Command& command)
{
    constexpr std::size_t fixedBytes = 64; // index, term, timestamp, numbers of the command and encoding overhead
    return fixedBytes + std::visit([](const auto& it) { return bytesOf(it); }, command);
}

void MembershipHistory::reset(std::uint64_t index, const Membership& membership)
{
    m_items = { Item { index, membership } };
}

void MembershipHistory::append(const LogEntry& entry)
{
    if (const auto* change = std::get_if<ChangeMembers>(&entry.command))
        m_items.push_back({ entry.index, change->membership });
}

void MembershipHistory::truncateFrom(std::uint64_t index)
{
    while (m_items.size() > 1 && m_items.back().index >= index)
        m_items.pop_back();
}

const Membership& MembershipHistory::at(std::uint64_t index) const
{
    auto it = std::find_if(m_items.rbegin(), m_items.rend(), [&](const Item& item) { return item.index <= index; });
    return it == m_items.rend() ? m_items.front().membership : it->membership;
}

void MembershipHistory::dropThrough(std::uint64_t index)
{
    while (m_items.size() > 1 && m_items[1].index <= index)
        m_items.erase(m_items.begin());
}

bool isVoter(const Membership& membership, const ControlMember& member)
{
    return std::find(membership.voters.begin(), membership.voters.end(), member) != membership.voters.end();
}

bool isLearner(const Membership& membership, const ControlMember& member)
{
    return std::find(membership.learners.begin(), membership.learners.end(), member) != membership.learners.end();
}

bool hasMajority(const Membership& membership, const std::set<ControlMember>& members)
{
    auto n = std::count_if(membership.voters.begin(), membership.voters.end(),
        [&](const ControlMember& it) { return members.contains(it); });
    return static_cast<std::size_t>(n) >= majorityOf(membership.voters.size());
}

} // namespace citronplank
