// How the parts of an answer become one body.
#pragma once

#include "citronplank.h"

#include <concepts>

namespace citronplank {

/// Collects the bodies of parts in any order and yields the merged body. Callers serialize all calls to one object.
template <typename M>
concept PartMerge = requires(M merge, std::string_view part)
{
    merge.add(part);
    {
        merge.take()
        } -> std::same_as<std::string>;
};

/// Keeps the greatest records of all parts. A record has a fixed size and records are compared byte by byte; equal ones
/// all count. A shorter remainder of a part is no record. Callers serialize.
class TopRecords {
public:
    static constexpr std::size_t recordBytes = 16;

    explicit TopRecords(std::size_t maxCount)
        : m_maxCount(maxCount)
    {
    }

    /// Adds the records of one part.
    void add(std::string_view part);
    /// The greatest records, falling. The object is empty afterwards.
    std::string take();

private:
    std::size_t m_maxCount;
    std::vector<std::string> m_records; // a heap with the smallest record in front
};

static_assert(PartMerge<TopRecords>);

} // namespace citronplank
