#include "query/RecordMerge.h"

#include <algorithm>

namespace citronplank {

void TopRecords::add(std::string_view part)
{
    // std::string compares as unsigned bytes.
    for (; part.size() >= recordBytes; part.remove_prefix(recordBytes)) {
        auto record = part.substr(0, recordBytes);
        if (m_records.size() < m_maxCount) {
            m_records.emplace_back(record);
            std::push_heap(m_records.begin(), m_records.end(), std::greater<>());
        } else if (m_maxCount > 0 && record > m_records.front()) {
            std::pop_heap(m_records.begin(), m_records.end(), std::greater<>());
            m_records.back() = record;
            std::push_heap(m_records.begin(), m_records.end(), std::greater<>());
        }
    }
}

std::string TopRecords::take()
{
    std::sort(m_records.begin(), m_records.end(), std::greater<>());
    std::string body;
    body.reserve(m_records.size() * recordBytes);
    for (const auto& it : m_records)
        body += it;
    m_records.clear();
    return body;
}

} // namespace citronplank
