// Grammar of the rules file: parse, check, compare with a base version, render. No file I/O, clocks or locks.
#pragma once

#include "citronplank.h"

#include <functional>

namespace citronplank {

constexpr std::size_t rulesFileMaxBytes = 1 << 20; // a larger file is refused
constexpr std::size_t ruleNameMaxLength = 64;      // in bytes; zone, service, leaf, customer and operation names
constexpr std::uint32_t ruleMaxCount = 1'000'000;  // maximum value of limits and weights
constexpr milliseconds ruleMaxDeadline { 10'000 }; // of deadlines and waits

/// An invalid rules text. `line` and `column` count from 1 (column in bytes); 0 means that the error has no single
/// location, for example a contradiction that arises only after a merge.
class RulesError : public Error {
public:
    RulesError(std::string file, std::uint32_t line, std::uint32_t column, std::string reason);
    const std::string& file() const { return m_file; }
    std::uint32_t line() const { return m_line; }
    std::uint32_t column() const { return m_column; }
    const std::string& reason() const { return m_reason; }

private:
    std::string m_file;
    std::uint32_t m_line = 0;
    std::uint32_t m_column = 0;
    std::string m_reason;
};

/// A rule with its location in the text. `column` is where the key starts.
struct ParsedRule {
    RuleLine rule;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

struct ParsedRules {
    std::optional<std::uint64_t> version; // from the header; absent if the text has none
    std::vector<ParsedRule> rules;        // in the order of the text
    std::vector<RuleLine> lines() const;  // the rules without their locations
};

/// Parses and checks a whole text. `fileName` is used in errors only. Throws RulesError for the first error: missing
/// comment, duplicate key, unknown word, bad value, contradiction, or a last line without a line end. The line
/// of the error is 0 if the text is longer than `rulesFileMaxBytes`. Thread safe.
ParsedRules parseRules(std::string_view text, std::string_view fileName);

/// The effective values of `lines`, as rules of `version`. Throws RulesError (with line 0) for a bad line, a duplicate
/// key or a contradiction, so it also checks the result of a merge. Thread safe.
Rules toRules(std::span<const RuleLine> lines, std::uint64_t version = 0);

/// The changes that turn `base` into `lines`, ordered by key. The order of the lines does not matter; a different
/// comment is a change. Precondition: the keys within each list are unique. Thread safe.
std::vector<RuleChange> compareWithBase(std::span<const RuleLine> base, std::span<const RuleLine> lines);

/// Text with the header of `version` and one line for each rule. Parsing it returns the same lines. Thread safe.
std::string renderRules(std::span<const RuleLine> lines, std::uint64_t version);

/// Updates `text` to contain `lines` and `version`. Keeps its order, blank lines and comment-only lines; new keys are
/// appended. Precondition: `text` was parsed without an error. Thread safe.
std::string updateRulesText(std::string_view text, std::span<const RuleLine> lines, std::uint64_t version);

} // namespace citronplank
