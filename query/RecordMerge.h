// Merges the bodies of parts into one body.
#pragma once

#include "citronplank.h"

#include <concepts>

namespace citronplank {

/// Collects the bodies of parts in any order and returns the merged body. Not thread safe.
template <typename M>
concept PartMerge = requires(M merge, std::string_view part)
{
    merge.add(part);
    {
        merge.take()
        } -> std::same_as<std::string>;
};

/// Keeps the `maxCount` largest records of all parts. Records have a fixed size and are compared as unsigned bytes.
/// Duplicates are kept. Trailing bytes of a part that are shorter than a record are ignored. Not thread safe.
class TopRecords {
public:
    static constexpr std::size_t recordBytes = 16;

    explicit TopRecords(std::size_t maxCount)
        : m_maxCount(maxCount)
    {
    }

    /// Adds the records of one part.
    void add(std::string_view part);
    /// Returns the largest records in descending order. The object is empty afterwards.
    std::string take();

private:
    std::size_t m_maxCount;
    std::vector<std::string> m_records; // min-heap
};

static_assert(PartMerge<TopRecords>);

} // namespace citronplank
