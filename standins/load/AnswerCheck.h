// Validates responses against the content that the stand-in leaves compute from index version and shard.
#pragma once

#include "standins/load/Request.h"

#include <map>
#include <optional>

namespace standins {

/// Result of the validation of one reply.
struct Verdict {
    /// Whole: all shards answered, or a keyed request was answered. Partial: the answer reports missing shards.
    /// Refused: the status is not 200. Wrong: the content is not what the leaves compute, or malformed.
    enum class Kind : std::uint8_t { Whole, Partial, Refused, Wrong, NoResponse };
    Kind kind = Kind::NoResponse;
    std::string detail;        // error kind, defect of a wrong answer, or transport error
    std::string outcome;       // "not_run", "ran" or "may_have_run"; empty if unknown after a refusal
    double coverage = 0;       // fraction of the shards; 1 for an answered keyed request
    std::uint64_t version = 0; // index version of an answered query
};

/// Validates the replies of one run. Shard n of `of` shards holds the items "v:i" of index version v, for each i in
/// 0..999 with i % of == n. Not thread safe.
class AnswerCheck {
public:
    /// Classifies a reply. A reply whose shard count differs from that of earlier replies of the same version is wrong,
    /// because the denominator of the coverage must not depend on the number of live leaves.
    Verdict check(const LoadRequest& request, const LoadReply& reply);

private:
    /// Checks the answer to a query and completes `verdict`. Throws an internal exception if the answer is wrong.
    void checkQuery(const LoadRequest& request, const LoadReply& reply, Verdict& verdict);
    std::map<std::string, std::map<std::uint64_t, std::uint32_t>> m_layouts; // by service and version: shard count
};

} // namespace standins
