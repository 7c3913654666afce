// Checks answers against the content that the stand-in leaves hold by formula.
#pragma once

#include "standins/load/Request.h"

#include <map>
#include <optional>

namespace standins {

/// What one reply amounts to.
struct Verdict {
    enum class Kind : std::uint8_t { Whole, Partial, Refused, Wrong, Transport };
    Kind kind = Kind::Transport;
    std::string detail;  // error kind, fault of a wrong answer, or transport error
    std::string outcome; // not_run, ran or may_have_run
    double coverage = 0; // of answered queries
    std::uint64_t version = 0;
};

/// Shard n of layout size `of` at version v holds "v:i" for i in 0..999 with i % of == n.
class AnswerCheck {
public:
    /// Judges one reply. A version that is seen with two shard counts is a wrong answer, because the denominator of
    /// coverage must not follow the number of live servers.
    Verdict judge(const LoadRequest& request, const LoadReply& reply);

private:
    void checkQuery(const LoadRequest& request, const LoadReply& reply, Verdict& verdict);
    std::map<std::string, std::map<std::uint64_t, std::uint32_t>> m_layouts; // service, version, shard count
};

} // namespace standins
