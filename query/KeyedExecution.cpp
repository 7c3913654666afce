#include "query/KeyedExecutionImpl.h"

#include <charconv>

namespace citronplank {

std::optional<std::uint64_t> parseRequestKey(std::string_view key)
{
    constexpr std::size_t maxKeyBytes = 128; // keys are stored in the control log
    const auto dash = key.find('-');
    if (dash == std::string_view::npos || dash == 0 || dash + 1 == key.size() || key.size() > maxKeyBytes)
        return std::nullopt;
    std::uint64_t time = 0;
    const auto [end, ec] = std::from_chars(key.data(), key.data() + dash, time);
    if (ec != std::errc {} || end != key.data() + dash)
        return std::nullopt;
    return time;
}

template class KeyedExecution<ReplicaStatistics>;

} // namespace citronplank
