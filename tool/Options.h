#pragma once

#include "tool/Tool.h"

#include <map>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

namespace citronplank {

/// One flag of a subcommand.
struct FlagSpec {
    const char* name;
    const char* valueName;    // null: the flag takes no value
    const char* description;  // description for the help
    const char* defaultValue; // default value; null: required; empty: absent by default
};

struct Options {
    std::map<std::string, std::string, std::less<>> values; // by flag; with defaults filled in
    std::vector<std::string> operands;
    bool wantsHelp = false; // --help was given; defaults are not filled in then

    /// Value of a flag. Precondition: `has(flag)`.
    const std::string& at(std::string_view flag) const { return values.find(flag)->second; }
    bool has(std::string_view flag) const { return values.count(flag) != 0; }
};

/// Usage error; `what()` names the flag or word.
class UsageError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Reads the flags and operands after the subcommand. A missing flag with a value is taken from the environment (see
/// `environmentNameOf`), else from its default. Throws UsageError for an unknown or a missing required flag. Thread
/// safe.
Options readOptions(std::span<const char* const> arguments, std::span<const FlagSpec>, const ToolEnvironment&);

/// Name of a flag's environment variable: `CITRONPLANK_` and the flag in upper case, with '_' for '-'.
std::string environmentNameOf(std::string_view flag);

} // namespace citronplank
