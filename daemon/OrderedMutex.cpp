#include "daemon/OrderedMutex.h"

#include <cstdio>
#include <cstdlib>

namespace citronplank {

namespace {

thread_local int heldRank = 0; // of the mutex that this thread acquired last and still holds; 0: none

} // namespace

void OrderedMutex::lock()
{
    if (heldRank >= static_cast<int>(m_rank)) {
        std::fprintf(stderr, "lock order violated: rank %d requested while rank %d is held\n", static_cast<int>(m_rank),
            heldRank);
        std::abort();
    }
    m_mutex.lock();
    m_previousRank = heldRank;
    heldRank = static_cast<int>(m_rank);
}

void OrderedMutex::unlock()
{
    heldRank = m_previousRank;
    m_mutex.unlock();
}

} // namespace citronplank
