#include "coordination/ControlReplica.h"

#include <array>

namespace citronplank {

std::string_view controlRoleName(ControlRole role)
{
    constexpr std::array<std::string_view, 5> names { "follower", "pre_candidate", "candidate", "leader", "stopped" };
    return names.at(static_cast<std::size_t>(role));
}

namespace {

std::string describe(const char* title, const std::vector<ControlMember>& members)
{
    std::string text = title;
    for (const auto& it : members)
        text += " " + it.name + "/" + std::to_string(it.disk);
    return text;
}

} // namespace

std::string describe(const ControlLogStatus& status)
{
    return status.self.name + "/" + std::to_string(status.self.disk) + " " + std::string(controlRoleName(status.role))
        + " cluster " + std::to_string(status.membership.cluster) + " term " + std::to_string(status.term) + " leader "
        + (status.leader.empty() ? "unknown" : status.leader) + " commit " + std::to_string(status.commitIndex)
        + " last " + std::to_string(status.lastIndex) + " snapshot " + std::to_string(status.snapshotIndex)
        + describe(" voters", status.membership.voters) + describe(" learners", status.membership.learners)
        + (status.repairComplete ? " repair complete" : "");
}

// Explicit instantiations for the daemon, so that compile errors show up in the build of the library itself.
template class ControlLog<FileControlStorage>;
template class ControlReplica<FileControlStorage>;

} // namespace citronplank
