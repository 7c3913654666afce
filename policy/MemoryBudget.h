// Bytes that peers outside this system may occupy in a process: headers, bodies, input read ahead, unread responses.
//
//   MemoryBudget budget(28 << 20);
//   MemoryCharge charge(budget);
//   if (!budget.hasRoom(charge.bytes(), 4096))
//       return; // do not read now
//   charge.set(bytesHeldNow); // released by the destructor
#pragma once

#include <atomic>
#include <cstddef>

namespace citronplank {

/// Thread safe. A charge is never refused, because it is for bytes that are in memory already; a holder asks for room
/// before it reads more. The sum can therefore exceed the limit by what is read at once, and by responses.
class MemoryBudget {
public:
    /// Holders of up to this many bytes may use the reserve, so that small requests and readiness polls are served
    /// while large ones have to wait. Enough for a request with an ordinary header and a body of some kB.
    static constexpr std::size_t smallBytes = std::size_t { 16 } << 10U;

    /// `limit` in bytes; a quarter of it is the reserve.
    explicit MemoryBudget(std::size_t limit)
        : m_limit(limit)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    /// Whether a holder of `held` charged bytes may read `next` more.
    bool hasRoom(std::size_t held, std::size_t next) const
    {
        return m_used + next <= (held + next <= smallBytes ? m_limit : sharedLimit());
    }
    /// Whether large holders have no room, so that connections without progress are to be closed.
    bool isShort() const { return m_used > sharedLimit(); }
    /// Bytes to release until large holders have room again with some distance; 0 if the budget is not short.
    std::size_t excess() const
    {
        std::size_t used = m_used;
        return used > sharedLimit() ? used - sharedLimit() + m_limit / 8 : 0;
    }
    std::size_t used() const { return m_used; }
    std::size_t limit() const { return m_limit; }

private:
    friend class MemoryCharge;
    std::size_t sharedLimit() const { return m_limit - m_limit / 4; }

    std::size_t m_limit;
    std::atomic<std::size_t> m_used { 0 };
};

/// What one holder occupies of a budget. Not thread safe, except for `bytes`. Precondition: the budget outlives it.
class MemoryCharge {
public:
    explicit MemoryCharge(MemoryBudget& budget)
        : m_budget(budget)
    {
    }
    ~MemoryCharge() { set(0); }
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;

    /// Changes the charge to `bytes`.
    void set(std::size_t bytes)
    {
        if (bytes != m_bytes.load(std::memory_order_relaxed))
            m_budget.m_used += bytes - m_bytes.exchange(bytes, std::memory_order_relaxed); // modulo 2^64
    }
    std::size_t bytes() const { return m_bytes.load(std::memory_order_relaxed); }

private:
    MemoryBudget& m_budget;
    std::atomic<std::size_t> m_bytes { 0 };
};

} // namespace citronplank
