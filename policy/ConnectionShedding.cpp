#include "policy/ConnectionShedding.h"

#include <algorithm>

namespace citronplank {

std::vector<std::uint64_t> connectionsToShed(
    std::span<const StalledConnection> connections, std::size_t bytes, std::size_t smallest, TimePoint now)
{
    std::vector<StalledConnection> candidates;
    for (const auto& it : connections) {
        if (it.heldBytes >= smallest && now - it.progressAt >= minStall)
            candidates.push_back(it);
    }
    auto weight = [now](const StalledConnection& it) {
        return static_cast<double>(it.heldBytes) * std::chrono::duration<double>(now - it.progressAt).count();
    };
    std::sort(
        candidates.begin(), candidates.end(), [&](const auto& a, const auto& b) { return weight(a) > weight(b); });
    std::vector<std::uint64_t> ids;
    std::size_t released = 0;
    for (const auto& it : candidates) {
        if (released >= bytes)
            break;
        released += it.heldBytes;
        ids.push_back(it.id);
    }
    return ids;
}

std::optional<std::uint64_t> connectionToReplace(std::span<const StalledConnection> connections, TimePoint now)
{
    const StalledConnection* best = nullptr;
    for (const auto& it : connections) {
        bool isBetter
            = !best || std::pair(!it.hasRequest, it.progressAt) < std::pair(!best->hasRequest, best->progressAt);
        if (now - it.progressAt >= minStall && isBetter)
            best = &it;
    }
    return best ? std::optional(best->id) : std::nullopt;
}

} // namespace citronplank
