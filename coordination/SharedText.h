// Text that is shared instead of copied.
#pragma once

#include <memory>
#include <string>

namespace citronplank {

/// Immutable text of which copies share one allocation. A configuration takes up to 4 MiB, and log, storage, state and
/// published state of a control member hold it at the same time. Thread safe.
class SharedText {
public:
    SharedText() = default;
    SharedText(std::string text)
        : m_text(std::make_shared<const std::string>(std::move(text)))
    {
    }
    SharedText(const char* text)
        : SharedText(std::string(text))
    {
    }

    /// The reference stays valid as long as this object or a copy of it.
    const std::string& text() const
    {
        static const std::string empty;
        return m_text ? *m_text : empty;
    }
    std::size_t size() const { return text().size(); }
    friend bool operator==(const SharedText& a, const SharedText& b)
    {
        return a.m_text == b.m_text || a.text() == b.text();
    }

private:
    std::shared_ptr<const std::string> m_text; // null: empty
};

} // namespace citronplank
