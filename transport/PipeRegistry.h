#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace citronplank {

/// Finds the object of a pipe callback by number. nng may run such a callback while the socket is being closed, so
/// the callback's argument cannot be a pointer. Every method is thread safe.
class PipeRegistry {
public:
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

/// The registry of the process.
inline PipeRegistry& pipeRegistry()
{
    // Never destroyed: nng's threads outlive the static objects of the program.
    static auto* registry = new PipeRegistry;
    return *registry;
}

} // namespace citronplank
