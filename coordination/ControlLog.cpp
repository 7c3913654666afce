#include "coordination/ControlReplica.h"

#include <array>

namespace citronplank {

std::string_view controlRoleName(ControlRole role)
{
    constexpr std::array<std::string_view, 5> names { "follower", "pre_candidate", "candidate", "leader", "stopped" };
    return names.at(static_cast<std::size_t>(role));
}

// The instances that the daemon uses, compiled here so that an error shows in the library's own build.
template class ControlLog<FileControlStorage>;
template class ControlReplica<FileControlStorage>;

} // namespace citronplank
