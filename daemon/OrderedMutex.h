// Mutexes with a fixed lock order. The worker threads share the daemon's tables, and acquiring two of them in opposite
// orders on two threads would deadlock. Each table's mutex has a rank, and a violation of the order aborts the process.
#pragma once

#include <mutex>

namespace citronplank {

/// Position of a table in the lock order. A thread may only acquire a higher rank than those it holds.
enum class LockRank : int {
    Configuration = 1,
    Members = 2,
    Directory = 3,
    ZoneLease = 4,
    LeafGates = 5,
    ReplicaStatistics = 6,
    Requests = 7,
    Counters = 8,
};

/// A std::mutex that checks the lock order. Meets BasicLockable.
class OrderedMutex {
public:
    explicit OrderedMutex(LockRank rank)
        : m_rank(rank)
    {
    }

    /// Precondition: the calling thread holds no mutex of the same or a higher rank; otherwise the process aborts.
    void lock();
    /// Precondition: the calling thread holds this mutex and acquired it last.
    void unlock();

private:
    std::mutex m_mutex;
    LockRank m_rank;
    int m_previousRank = 0; // rank that the holder held before; 0: none; guarded by m_mutex
};

/// A value that is accessible only under its mutex.
template <typename Value>
class Guarded {
public:
    template <typename... Arguments>
    explicit Guarded(LockRank rank, Arguments&&... arguments)
        : m_mutex(rank)
        , m_value(std::forward<Arguments>(arguments)...)
    {
    }

    /// Calls `function(value)` under the mutex and returns its result. Thread safe. Precondition: `function` does no
    /// I/O, calls no handler of another service, and the calling thread holds no mutex of the same or a higher rank.
    template <typename Function>
    decltype(auto) with(Function&& function)
    {
        std::lock_guard lock(m_mutex);
        return std::forward<Function>(function)(m_value);
    }

private:
    OrderedMutex m_mutex;
    Value m_value;
};

} // namespace citronplank
