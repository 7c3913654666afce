// The command-line tool `citronplank`: sends requests to entry instances as a caller and to daemons as an operator.
#pragma once

#include <functional>
#include <iosfwd>

namespace citronplank {

constexpr int exitOk = 0;
constexpr int exitErrorAnswer = 1; // the answer is an error or a refusal, or the rules file is invalid
constexpr int exitUsage = 2;       // usage error; nothing was sent
constexpr int exitUnreachable = 3; // no connection, or it ended before the answer
constexpr int exitPartial = 4;     // a query's answer does not cover all shards

/// Returns the value of an environment variable or null.
using ToolEnvironment = std::function<const char*(const char* name)>;

/// Runs one subcommand and returns the exit code. Answers go to `out`, messages to `err`. Precondition: `argv` has
/// `argc` elements, the first is the program. Thread safe for separate streams.
int runTool(int argc, const char* const* argv, const ToolEnvironment&, std::ostream& out, std::ostream& err);

} // namespace citronplank
