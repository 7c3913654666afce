#include "rules/RulesFile.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <unordered_map>

namespace citronplank {

namespace {

constexpr std::string_view headerPrefix = "# citronplank version ";
constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

template <typename... Args>
std::string concat(const Args&... args)
{
    std::ostringstream out;
    (out << ... << args);
    return std::move(out).str();
}

struct Word {
    std::string_view text;
    std::uint32_t column = 0;
};

/// An error within one line. parseRules() and toRules() turn it into a RulesError. `column` counts from 1 in bytes.
struct LineError {
    std::uint32_t column = 0;
    std::string reason;
};

[[noreturn]] void fail(std::uint32_t column, std::string reason) { throw LineError { column, std::move(reason) }; }
[[noreturn]] void fail(const Word& word, std::string reason) { fail(word.column, std::move(reason)); }

bool isBlank(char c) { return c == ' ' || c == '\t'; }

std::string_view trim(std::string_view text)
{
    while (!text.empty() && isBlank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isBlank(text.back()))
        text.remove_suffix(1);
    return text;
}

std::vector<Word> splitWords(std::string_view text)
{
    std::vector<Word> words;
    std::size_t at = 0;
    while (at < text.size()) {
        if (isBlank(text[at])) {
            ++at;
            continue;
        }
        const auto start = at;
        while (at < text.size() && !isBlank(text[at]))
            ++at;
        words.push_back({ text.substr(start, at - start), static_cast<std::uint32_t>(start + 1) });
    }
    return words;
}

// ---------------------------------------------------------------------------------------------------------------
// Values

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    // The first character must be a digit: from_chars alone accepts "-1", "nan" and "inf".
    if (text.empty() || text.front() < '0' || text.front() > '9')
        return std::nullopt;
    Number number {};
    std::from_chars_result result {};
    if constexpr (std::is_floating_point_v<Number>)
        result = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    else
        result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

milliseconds parseDuration(const Word& word)
{
    auto text = word.text;
    std::uint32_t factor = 0;
    if (text.ends_with("ms")) {
        factor = 1;
        text.remove_suffix(2);
    } else if (text.ends_with("s")) {
        factor = 1000;
        text.remove_suffix(1);
    }
    const auto number = parseNumber<std::uint32_t>(text);
    if (!factor || !number)
        fail(word, concat("bad duration \"", word.text, "\": expected a whole number with ms or s, such as 130ms"));
    const std::uint64_t value = std::uint64_t { *number } * factor;
    if (value < 1 || value > static_cast<std::uint64_t>(ruleMaxDeadline.count()))
        fail(word, concat("duration ", word.text, " is out of range: 1ms to 10s"));
    return milliseconds(value);
}

double parseFraction(const Word& word)
{
    const auto number = parseNumber<double>(word.text);
    if (!number || *number > 1)
        fail(word, concat("bad fraction \"", word.text, "\": expected a number from 0 to 1, such as 0.95"));
    return *number;
}

double parsePercent(const Word& word)
{
    auto text = word.text;
    const bool hasSign = text.ends_with('%');
    if (hasSign)
        text.remove_suffix(1);
    const auto number = parseNumber<double>(text);
    if (!hasSign || !number || *number > 100)
        fail(word, concat("bad percentage \"", word.text, "\": expected 0% to 100%, such as 5%"));
    return *number;
}

std::uint32_t parseCount(const Word& word)
{
    const auto number = parseNumber<std::uint32_t>(word.text);
    if (!number || *number < 1 || *number > ruleMaxCount)
        fail(word, concat("bad count \"", word.text, "\": expected a whole number from 1 to ", ruleMaxCount));
    return *number;
}

double parseWeight(const Word& word)
{
    const auto number = parseNumber<double>(word.text);
    if (!number || *number <= 0 || *number > ruleMaxCount)
        fail(word, concat("bad weight \"", word.text, "\": expected a number above 0 up to ", ruleMaxCount));
    return *number;
}

/// Returns true for `yes`, false for `no`.
bool parseChoice(const Word& word, std::string_view yes, std::string_view no)
{
    if (word.text != yes && word.text != no)
        fail(word, concat("bad value \"", word.text, "\": expected ", yes, " or ", no));
    return word.text == yes;
}

std::string checkedName(const Word& word)
{
    const auto isNameCharacter = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.';
    };
    if (word.text.size() > ruleNameMaxLength)
        fail(word, concat("name is longer than ", ruleNameMaxLength, " characters"));
    if (!std::ranges::all_of(word.text, isNameCharacter))
        fail(word, concat("bad name \"", word.text, "\": letters, digits, '-', '_' and '.' are allowed"));
    return std::string(word.text);
}

// ---------------------------------------------------------------------------------------------------------------
// Statements. Each function checks the words of one statement and stores its value in `rules`.

using Words = std::span<const Word>;

/// Checks the number of words, including the statement's name; `form` is the expected rule for the error message.
void requireWords(Words words, std::size_t count, std::string_view form)
{
    if (words.size() < count) {
        const auto& last = words.back();
        const auto column = static_cast<std::uint32_t>(last.column + last.text.size());
        fail(column, concat("incomplete rule: expected \"", form, "\""));
    }
    if (words.size() > count)
        fail(words[count], concat("unexpected word \"", words[count].text, "\": expected \"", form, "\""));
}

void applyZone(Words words, Rules& rules)
{
    requireWords(words, 3, "zone NAME out|in");
    const auto name = checkedName(words[1]);
    if (parseChoice(words[2], "out", "in"))
        rules.zonesOut.insert(name);
}

using ServiceSetter = std::function<void(const Word&, ServiceRules&)>;

const std::map<std::string_view, ServiceSetter>& serviceSetters()
{
    static const std::map<std::string_view, ServiceSetter> setters {
        { "deadline", [](const Word& word, ServiceRules& service) { service.deadline = parseDuration(word); } },
        { "coverage", [](const Word& word, ServiceRules& service) { service.minCoverage = parseFraction(word); } },
        { "wait", [](const Word& word, ServiceRules& service) { service.wait = parseDuration(word); } },
        { "hedge", [](const Word& word, ServiceRules& service) { service.hedgePercent = parsePercent(word); } },
        { "retry", [](const Word& word, ServiceRules& service) { service.retryPercent = parsePercent(word); } },
        { "limit", [](const Word& word, ServiceRules& service) { service.limit = parseCount(word); } },
        { "policy",
            [](const Word& word, ServiceRules& service) {
                service.policy
                    = parseChoice(word, "owner", "independent") ? SendPolicy::Owner : SendPolicy::Independent;
            } },
    };
    return setters;
}

void applyService(Words words, Rules& rules)
{
    constexpr std::string_view form = "service NAME deadline|coverage|wait|hedge|retry|limit|policy VALUE";
    if (words.size() >= 3 && !serviceSetters().contains(words[2].text))
        fail(words[2], concat("unknown word \"", words[2].text, "\": expected \"", form, "\""));
    requireWords(words, 4, form);
    const auto name = checkedName(words[1]);
    serviceSetters().at(words[2].text)(words[3], rules.services[name]);
}

void applyLeaf(Words words, Rules& rules)
{
    constexpr std::string_view form = "leaf NAME limit COUNT|out|in";
    if (words.size() < 3)
        requireWords(words, 3, form);
    const auto name = checkedName(words[1]);
    if (words[2].text == "limit") {
        requireWords(words, 4, "leaf NAME limit COUNT");
        rules.leaves[name].limit = parseCount(words[3]);
    } else if (words[2].text == "out" || words[2].text == "in") {
        requireWords(words, 3, "leaf NAME out|in");
        rules.leaves[name].out = words[2].text == "out";
    } else
        fail(words[2], concat("unknown word \"", words[2].text, "\": expected \"", form, "\""));
}

void applyCustomer(Words words, Rules& rules)
{
    constexpr std::string_view form = "customer NAME share WEIGHT";
    if (words.size() >= 3 && words[2].text != "share")
        fail(words[2], concat("unknown word \"", words[2].text, "\": expected \"", form, "\""));
    requireWords(words, 4, form);
    rules.customerShares[checkedName(words[1])] = parseWeight(words[3]);
}

void applyOperation(Words words, Rules& rules)
{
    requireWords(words, 4, "operation SERVICE NAME non-idempotent|idempotent");
    const auto service = checkedName(words[1]);
    const auto operation = checkedName(words[2]);
    if (parseChoice(words[3], "non-idempotent", "idempotent"))
        rules.services[service].nonIdempotent.insert(operation);
}

/// Checks one statement and stores its value in `rules`. The last word is the value, the others are the key. Throws
/// LineError.
void applyStatement(Words words, Rules& rules)
{
    using Apply = void (*)(Words, Rules&);
    static const std::map<std::string_view, Apply> statements { { "zone", applyZone }, { "service", applyService },
        { "leaf", applyLeaf }, { "customer", applyCustomer }, { "operation", applyOperation } };
    const auto it = statements.find(words.front().text);
    if (it == statements.end())
        fail(words.front(),
            concat("unknown word \"", words.front().text, "\": expected zone, service, leaf, customer or operation"));
    it->second(words, rules);
}

struct Contradiction {
    std::string key; // of the rule that is reported
    std::string reason;
};

/// Checks values that must agree with each other: the wait of a service must not exceed its deadline.
std::optional<Contradiction> findContradiction(const Rules& rules)
{
    for (const auto& [name, service] : rules.services) {
        if (service.wait && *service.wait > service.deadline)
            return Contradiction { concat("service ", name, " wait"),
                concat("wait ", service.wait->count(), "ms of service ", name, " is longer than its deadline ",
                    service.deadline.count(), "ms") };
    }
    return std::nullopt;
}

// ---------------------------------------------------------------------------------------------------------------
// Text

/// Length of the UTF-8 character at the start of `text`, or 0 if it is malformed. Not all overlong forms are detected.
std::size_t characterLength(std::string_view text)
{
    const auto lead = static_cast<unsigned char>(text.front());
    const std::size_t length = lead < 0x80 ? 1
        : lead >= 0xC2 && lead < 0xE0      ? 2
        : lead >= 0xE0 && lead < 0xF0      ? 3
        : lead >= 0xF0 && lead < 0xF5      ? 4
                                           : 0;
    if (length > text.size())
        return 0;
    for (std::size_t i = 1; i < length; ++i)
        if ((static_cast<unsigned char>(text[i]) & 0xC0) != 0x80)
            return 0;
    return length;
}

/// Comments are copied into status files, logs and JSON, so control characters and malformed UTF-8 are rejected here.
void checkCharacters(std::string_view line)
{
    for (std::size_t at = 0; at < line.size();) {
        const auto length = characterLength(line.substr(at));
        const auto column = static_cast<std::uint32_t>(at + 1);
        const auto c = static_cast<unsigned char>(line[at]);
        if (!length)
            fail(column, "text is not valid UTF-8");
        if ((c < 0x20 && c != '\t') || c == 0x7F)
            fail(column, "control character in text");
        at += length;
    }
}

std::string checkedComment(std::string_view comment, std::uint32_t column)
{
    const auto text = trim(comment);
    const auto colon = text.find(':');
    if (colon == std::string_view::npos || trim(text.substr(0, colon)).empty() || trim(text.substr(colon + 1)).empty())
        fail(column, "comment must name who asked and why: # WHO: why");
    return std::string(text);
}

/// Parses one line and stores its value in `rules`. Returns nullopt for a blank or comment-only line; the line number
/// is left to the caller. Throws LineError.
std::optional<ParsedRule> parseLine(std::string_view line, Rules& rules)
{
    checkCharacters(line);
    const auto hash = line.find('#');
    const auto words = splitWords(line.substr(0, hash));
    if (words.empty())
        return std::nullopt;
    applyStatement(words, rules);
    if (hash == std::string_view::npos)
        fail(static_cast<std::uint32_t>(line.size() + 1), "missing comment: every rule ends with # WHO: why");
    ParsedRule parsed;
    parsed.column = words.front().column;
    parsed.rule.comment = checkedComment(line.substr(hash + 1), static_cast<std::uint32_t>(hash + 1));
    parsed.rule.value = words.back().text;
    for (const auto& word : std::span(words).first(words.size() - 1))
        parsed.rule.key.append(parsed.rule.key.empty() ? "" : " ").append(word.text);
    return parsed;
}

/// Removes the first line from `text` and returns it without its line end. Precondition: `text` is not empty.
std::string_view takeLine(std::string_view& text)
{
    const auto end = text.find('\n');
    auto line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

std::string_view withoutByteOrderMark(std::string_view text)
{
    return text.starts_with(byteOrderMark) ? text.substr(byteOrderMark.size()) : text;
}

bool isHeader(std::string_view line) { return line.starts_with(headerPrefix); }

std::uint64_t parseHeader(std::string_view line)
{
    const auto version = parseNumber<std::uint64_t>(trim(line.substr(headerPrefix.size())));
    if (!version)
        fail(static_cast<std::uint32_t>(headerPrefix.size() + 1), "bad version in the header: expected a whole number");
    return *version;
}

std::string lineText(const RuleLine& line) { return concat(line.key, " ", line.value, "  # ", line.comment); }
std::string headerText(std::uint64_t version) { return concat(headerPrefix, version, "\n"); }

/// Adds line `number` of the text to `parsed`. Throws LineError.
void addLine(std::string_view line, std::uint32_t number, ParsedRules& parsed, Rules& rules,
    std::unordered_map<std::string, std::uint32_t>& lineOfKey)
{
    if (isHeader(line)) {
        if (parsed.version)
            fail(1, "second header line");
        parsed.version = parseHeader(line);
        return;
    }
    auto rule = parseLine(line, rules);
    if (!rule)
        return;
    const auto [it, isNew] = lineOfKey.emplace(rule->rule.key, number);
    if (!isNew)
        fail(rule->column, concat("duplicate key \"", rule->rule.key, "\": first given in line ", it->second));
    rule->line = number;
    parsed.rules.push_back(std::move(*rule));
}

} // namespace

RulesError::RulesError(std::string file, std::uint32_t line, std::uint32_t column, std::string reason)
    : Error(
        ErrorKind::BadRequest, line ? concat(file, ":", line, ":", column, ": ", reason) : concat(file, ": ", reason))
    , m_file(std::move(file))
    , m_line(line)
    , m_column(column)
    , m_reason(std::move(reason))
{
}

std::vector<RuleLine> ParsedRules::lines() const
{
    std::vector<RuleLine> result;
    result.reserve(rules.size());
    for (const auto& rule : rules)
        result.push_back(rule.rule);
    return result;
}

ParsedRules parseRules(std::string_view text, std::string_view fileName)
{
    const std::string file(fileName);
    if (text.size() > rulesFileMaxBytes)
        throw RulesError(file, 0, 0, concat("text is longer than ", rulesFileMaxBytes, " bytes"));
    text = withoutByteOrderMark(text);
    const bool isTerminated = text.empty() || text.back() == '\n';
    ParsedRules parsed;
    Rules rules;
    std::unordered_map<std::string, std::uint32_t> lineOfKey;
    std::uint32_t number = 0;
    while (!text.empty()) {
        const auto line = takeLine(text);
        ++number;
        try {
            addLine(line, number, parsed, rules, lineOfKey);
            // A truncated comment still parses, so a missing line end is the only sign of an incomplete save.
            if (text.empty() && !isTerminated)
                fail(static_cast<std::uint32_t>(line.size() + 1), "last line has no line end: the save is incomplete");
        } catch (const LineError& error) {
            throw RulesError(file, number, error.column, error.reason);
        }
    }
    if (const auto contradiction = findContradiction(rules)) {
        const auto it
            = std::ranges::find(parsed.rules, contradiction->key, [](const ParsedRule& rule) { return rule.rule.key; });
        throw RulesError(file, it->line, it->column, contradiction->reason);
    }
    return parsed;
}

Rules toRules(std::span<const RuleLine> lines, std::uint64_t version)
{
    Rules rules;
    rules.version = version;
    std::set<std::string_view> keys;
    for (const auto& line : lines) {
        const auto statement = line.key + " " + line.value;
        const auto words = splitWords(statement);
        try {
            if (words.empty())
                fail(0, "empty rule");
            applyStatement(words, rules);
            checkedComment(line.comment, 0);
        } catch (const LineError& error) {
            throw RulesError("rules", 0, 0, concat(statement, ": ", error.reason));
        }
        if (!keys.insert(line.key).second)
            throw RulesError("rules", 0, 0, concat("duplicate key \"", line.key, "\""));
    }
    if (const auto contradiction = findContradiction(rules))
        throw RulesError("rules", 0, 0, contradiction->reason);
    return rules;
}

std::vector<RuleChange> compareWithBase(std::span<const RuleLine> base, std::span<const RuleLine> lines)
{
    std::map<std::string_view, const RuleLine*> old;
    for (const auto& line : base)
        old.emplace(line.key, &line);
    std::vector<RuleChange> changes;
    for (const auto& line : lines) {
        const auto it = old.find(line.key);
        if (it == old.end() || *it->second != line)
            changes.push_back({ line.key, line });
        if (it != old.end())
            old.erase(it);
    }
    for (const auto& [key, line] : old)
        changes.push_back({ std::string(key), std::nullopt });
    std::ranges::sort(changes, {}, &RuleChange::key);
    return changes;
}

std::string renderRules(std::span<const RuleLine> lines, std::uint64_t version)
{
    auto text = headerText(version);
    for (const auto& line : lines)
        text += lineText(line) + "\n";
    return text;
}

std::string updateRulesText(std::string_view text, std::span<const RuleLine> lines, std::uint64_t version)
{
    std::map<std::string_view, const RuleLine*> wanted;
    for (const auto& line : lines)
        wanted.emplace(line.key, &line);
    auto result = headerText(version);
    text = withoutByteOrderMark(text);
    while (!text.empty()) {
        const auto line = takeLine(text);
        Rules ignored;
        const auto rule = isHeader(line) ? std::nullopt : parseLine(line, ignored);
        if (rule) {
            const auto it = wanted.find(rule->rule.key);
            if (it == wanted.end())
                continue;
            result += *it->second == rule->rule ? std::string(line) : lineText(*it->second);
            wanted.erase(it);
        } else if (!isHeader(line))
            result += line;
        else
            continue;
        result += '\n';
    }
    for (const auto& line : lines)
        if (wanted.contains(line.key))
            result += lineText(line) + "\n";
    return result;
}

} // namespace citronplank
