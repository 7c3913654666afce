// In-memory parts of the control log: the window of recent entries and the memberships that the entries define.
#pragma once

#include "coordination/ControlMessages.h"

#include <deque>

namespace citronplank {

/// The log entries after `baseIndex`, which are held in memory; a snapshot contains the entries up to it. Not thread
/// safe.
class EntryWindow {
public:
    /// Drops all entries; the next entry is `baseIndex + 1`.
    void reset(std::uint64_t baseIndex, std::uint64_t baseTerm);

    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    /// Term of an entry or of the base; absent if the index is outside the window.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    /// Precondition: baseIndex() < index <= lastIndex().
    const LogEntry& at(std::uint64_t index) const { return m_entries.at(index - m_baseIndex - 1); }
    /// Precondition: entry.index == lastIndex() + 1; throws std::logic_error otherwise.
    void append(const LogEntry&);
    /// Removes the entries from `index` on. Precondition: index > baseIndex().
    void truncateFrom(std::uint64_t index);
    /// Drops the entries up to and including `index` and moves the base there, at most to lastIndex().
    void dropThrough(std::uint64_t index);
    /// The entries from `index` on, as many as fit within both limits, but at least one if there is one.
    /// Precondition: index > baseIndex().
    std::vector<LogEntry> slice(std::uint64_t index, std::size_t maxCount, std::size_t maxBytes) const;
    /// Approximate size of the entries after `first` up to and including `last`, as far as they are in the window.
    std::size_t bytesBetween(std::uint64_t first, std::uint64_t last) const;
    /// The smallest index after which the entries up to and including `last` take at most `maxBytes`.
    /// Precondition: baseIndex() <= last <= lastIndex().
    std::uint64_t startWithin(std::uint64_t last, std::size_t maxBytes) const;

private:
    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::deque<LogEntry> m_entries;
};

/// Approximate encoded size of an entry with a command, for the size limit of a message and to decide when a snapshot
/// is due. Thread safe.
std::size_t approximateBytes(const Command&);
inline std::size_t approximateBytes(const LogEntry& entry) { return approximateBytes(entry.command); }

/// The memberships that log entries define. As in Raft, a membership takes effect when its entry is appended, before it
/// is committed. Not thread safe.
class MembershipHistory {
public:
    /// Replaces the history with the membership of a snapshot, or with an empty one.
    void reset(std::uint64_t index, const Membership&);
    /// Records the membership of a ChangeMembers entry; other entries are ignored.
    void append(const LogEntry&);
    /// Removes the memberships of the entries from `index` on; the oldest one held stays.
    void truncateFrom(std::uint64_t index);

    const Membership& current() const { return m_items.back().membership; }
    /// Log index of the entry that defined the current membership.
    std::uint64_t currentIndex() const { return m_items.back().index; }
    /// The membership in force at `index`; the oldest one held if `index` is before it.
    const Membership& at(std::uint64_t index) const;
    /// Drops the memberships that were replaced at or before `index`.
    void dropThrough(std::uint64_t index);

private:
    struct Item {
        std::uint64_t index = 0;
        Membership membership;
    };
    std::vector<Item> m_items { Item {} };
};

/// Number of voters that make a majority. Thread safe.
constexpr std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }
/// Whether this identity, with both name and disk equal, is a voter. Thread safe.
bool isVoter(const Membership&, const ControlMember&);
/// Whether this identity, with both name and disk equal, is a learner. Thread safe.
bool isLearner(const Membership&, const ControlMember&);
/// Whether a majority of the voters is in `members`. False for a membership without voters. Thread safe.
bool hasMajority(const Membership&, const std::set<ControlMember>& members);

} // namespace citronplank
