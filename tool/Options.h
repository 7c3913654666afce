// Reads the flags of a subcommand from the command line, the environment or their defaults.
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
    const char* name;         // without the leading "--"
    const char* valueName;    // placeholder of the value in the help; null: the flag takes no value
    const char* description;  // for the help
    const char* defaultValue; // null: the flag is required; empty: it is absent by default
};

struct Options {
    /// By flag name, defaults included. A flag that takes no value is present with an empty one.
    std::map<std::string, std::string, std::less<>> values;
    std::vector<std::string> operands;
    bool wantsHelp = false; // --help is present; `values` has no defaults then

    /// Value of a flag. Precondition: `has(flag)`.
    const std::string& at(std::string_view flag) const { return values.find(flag)->second; }
    bool has(std::string_view flag) const { return values.count(flag) != 0; }
};

/// The command line is invalid; `what()` names the flag or word at fault.
class UsageError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Reads the flags and operands after the subcommand. If a flag that takes a value is missing, its value is that of the
/// environment variable (see `environmentNameOf`) or else the default. Throws UsageError for a flag that is unknown,
/// lacks its value, or is required and missing. Thread safe.
Options readOptions(std::span<const char* const> arguments, std::span<const FlagSpec>, const ToolEnvironment&);

/// Name of a flag's environment variable: `CITRONPLANK_` and the flag in upper case, with '_' for '-'.
/// Thread safe.
std::string environmentNameOf(std::string_view flag);

} // namespace citronplank
