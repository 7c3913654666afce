// Registry of the objects that nng's pipe callbacks refer to.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace citronplank {

/// Maps the numeric argument of a pipe callback to an object. The argument cannot be a pointer because nng may run the
/// callback while the socket is being closed. Thread safe.
class PipeRegistry {
public:
    /// Returns the id of the new entry, which is never 0 and never used again.
    std::uint64_t add(std::weak_ptr<void> owner)
    {
        const std::lock_guard lock(m_mutex);
        m_owners.emplace(++m_lastId, std::move(owner));
        return m_lastId;
    }
    void remove(std::uint64_t id)
    {
        const std::lock_guard lock(m_mutex);
        m_owners.erase(id);
    }
    /// Returns null if the id is not registered or the object was destroyed.
    std::shared_ptr<void> find(std::uint64_t id)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_owners.find(id);
        return it == m_owners.end() ? nullptr : it->second.lock();
    }

private:
    std::mutex m_mutex;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::weak_ptr<void>> m_owners;
};

/// Returns the registry of the process.
inline PipeRegistry& pipeRegistry()
{
    // Never destroyed because nng's threads outlive the static objects of the program.
    static auto* registry = new PipeRegistry;
    return *registry;
}

} // namespace citronplank
