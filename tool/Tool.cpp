#include "tool/Tool.h"

#include "daemon/Version.h"
#include "rules/RulesFile.h"
#include "tool/Options.h"
#include "tool/Render.h"

#include <array>
#include <chrono>
#include <fstream>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <ostream>
#include <random>
#include <sstream>

namespace citronplank {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds connectTimeout { 2000 };
constexpr milliseconds answerMargin { 2000 };  // added to the deadline for the transfer of the answer
constexpr milliseconds adminTimeout { 10000 }; // for the answer of an administration page

struct Context {
    const Options& options;
    std::ostream& out;
    std::ostream& err;
};

/// One subcommand.
struct Command {
    const char* name;
    const char* operand;     // name of the only operand, with a leading space; empty: the command takes none
    const char* description; // for the help
    std::span<const FlagSpec> flags;
    int (*run)(const Context&);
};

constexpr FlagSpec jsonFlag { "json", nullptr, "print the answer as JSON", "" };
constexpr FlagSpec callerFlag { "caller-address", "IP:PORT", "address of an entry instance for callers", nullptr };
constexpr FlagSpec adminFlag { "admin-address", "IP:PORT", "administration address of a daemon", nullptr };
constexpr FlagSpec serviceFlag { "service", "NAME", "service that the request is sent to", nullptr };
constexpr FlagSpec operationFlag { "operation", "NAME", "operation to run", nullptr };
constexpr FlagSpec customerFlag { "customer", "NAME", "customer that the request is made for", "" };
constexpr FlagSpec deadlineFlag { "deadline", "MS", "deadline of the request in milliseconds", "1000" };
constexpr FlagSpec bodyFlag { "body", "TEXT", "body for the backend servers; @FILE reads it from a file", "" };

constexpr std::array queryFlags { callerFlag, serviceFlag, operationFlag, customerFlag, deadlineFlag, bodyFlag,
    jsonFlag };
constexpr std::array requestFlags { callerFlag, serviceFlag, operationFlag,
    FlagSpec { "routing", "TEXT", "routing key; its hash selects the shard", nullptr },
    FlagSpec { "key", "KEY", "request key of an earlier attempt; without it, a new key is generated and printed", "" },
    customerFlag, deadlineFlag, bodyFlag, jsonFlag };
constexpr std::array adminFlags { adminFlag, jsonFlag };
constexpr std::array explainFlags { FlagSpec { "admin-address", "IP:PORT",
                                        "metrics address of an entry instance of the routed daemon", nullptr },
    FlagSpec { "host", "NAME", "host of the request", nullptr },
    FlagSpec { "path", "PATH", "path of the request", "/" }, jsonFlag };

/// HTTP client for an address. Throws UsageError if it has no valid port.
httplib::Client clientFor(const std::string& address, milliseconds readTimeout)
{
    const std::size_t colon = address.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    if (port <= 0 || port > 65535)
        throw UsageError("'" + address + "' is not an address of the form IP:PORT");
    httplib::Client client(address.substr(0, colon), port);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(readTimeout);
    return client;
}

/// Value of --deadline in milliseconds. Throws UsageError if it is invalid.
long deadlineOf(const Options& options)
{
    const std::string& text = options.at("deadline");
    char* end = nullptr;
    const long deadline = std::strtol(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0' || deadline <= 0 || deadline > 600000)
        throw UsageError("--deadline: '" + text + "' is not a number of milliseconds between 1 and 600000");
    return deadline;
}

/// Value of --body, or the content of the file that it names. Throws UsageError if the file cannot be read.
std::string bodyOf(const Options& options)
{
    if (!options.has("body"))
        return {};
    const std::string& text = options.at("body");
    if (!text.starts_with('@'))
        return text;
    const std::ifstream file(text.substr(1), std::ios::binary);
    if (!file)
        throw UsageError("--body: cannot read " + text.substr(1));
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

/// The fields that POST /query and POST /request have in common.
Json requestJson(const Options& options)
{
    Json request { { "service", options.at("service") }, { "operation", options.at("operation") },
        { "deadline_ms", deadlineOf(options) }, { "body", bodyOf(options) } };
    if (options.has("customer"))
        request["customer"] = options.at("customer");
    return request;
}

/// New key "UNIXSECONDS-RANDOM"; RANDOM is three random 32-bit numbers in hexadecimal.
std::string newRequestKey()
{
    std::random_device random;
    const auto now
        = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
    std::ostringstream key;
    key << now.count() << '-' << std::hex << random() << random() << random();
    return key.str();
}

int reportUnreachable(const Context& context, const std::string& address, httplib::Error error)
{
    const bool connected = error != httplib::Error::Connection && error != httplib::Error::ConnectionTimeout;
    context.err << "citronplank: " << (connected ? "the connection ended before the answer from " : "no connection to ")
                << address << " (" << httplib::to_string(error) << ")\n";
    return exitUnreachable;
}

/// Prints the body of a response unchanged if --json is set, otherwise the answer as formatted by `render`, or the
/// error to `err`. Returns exitOk (0) or exitErrorAnswer (1).
int reportAnswer(
    const Context& context, const httplib::Response& response, const std::function<std::string(const Json&)>& render)
{
    const Json answer = Json::parse(response.body, nullptr, false);
    const bool failed = response.status != 200;
    try {
        if (context.options.has("json"))
            context.out << response.body << "\n";
        else if (failed)
            context.err << "citronplank: " << renderErrorAnswer(answer, response.status);
        else if (!answer.is_discarded())
            context.out << render(answer);
    } catch (const Json::exception& error) {
        context.err << "citronplank: the answer has an unexpected form: " << error.what() << "\n";
        return exitErrorAnswer;
    }
    if (answer.is_discarded() && !failed)
        context.err << "citronplank: the answer is not JSON\n";
    return failed || answer.is_discarded() ? exitErrorAnswer : exitOk;
}

int runQuery(const Context& context)
{
    const std::string& address = context.options.at("caller-address");
    const Json request = requestJson(context.options);
    httplib::Client client = clientFor(address, milliseconds(deadlineOf(context.options)) + answerMargin);
    const auto result = client.Post("/query", request.dump(), "application/json");
    if (!result)
        return reportUnreachable(context, address, result.error());
    const int code = reportAnswer(context, *result, renderQueryAnswer);
    if (code != exitOk)
        return code;
    return isWhole(Json::parse(result->body, nullptr, false)) ? exitOk : exitPartial;
}

int runRequest(const Context& context)
{
    const std::string& address = context.options.at("caller-address");
    const std::string key = context.options.has("key") ? context.options.at("key") : newRequestKey();
    Json request = requestJson(context.options);
    request["routing"] = context.options.at("routing");
    httplib::Client client = clientFor(address, milliseconds(deadlineOf(context.options)) + answerMargin);
    // Printed before the request is sent, so that an interrupted request can be repeated without running twice.
    context.err << "request key: " << key << std::endl;
    const auto result = client.Post("/request", { { "Request-Key", key } }, request.dump(), "application/json");
    if (result)
        return reportAnswer(context, *result, renderTree);
    const int code = reportUnreachable(context, address, result.error());
    context.err << "citronplank: the request may have run; send it again with --key=" << key << "\n";
    return code;
}

int runAdmin(const Context& context, const std::string& path, const std::function<std::string(const Json&)>& render,
    const httplib::Headers& headers = {})
{
    const std::string& address = context.options.at("admin-address");
    const auto result = clientFor(address, adminTimeout).Get(path, headers);
    if (!result)
        return reportUnreachable(context, address, result.error());
    return reportAnswer(context, *result, render);
}

int runStatus(const Context& context) { return runAdmin(context, "/status", renderTree); }

int runDump(const Context& context)
{
    return runAdmin(context, "/dump", [](const Json& dump) { return dump.dump(2) + "\n"; });
}

/// Asks an entry instance where a request would go now. The host is sent as that of the request to explain.
int runExplain(const Context& context)
{
    const std::string& path = context.options.at("path");
    if (!path.starts_with('/'))
        throw UsageError("--path must begin with '/'");
    return runAdmin(context, "/explain" + path, renderExplanation, { { "Host", context.options.at("host") } });
}

/// Parses a rules file as a daemon does and prints the first error with its location.
int runCheck(const Context& context)
{
    const std::string& name = context.options.operands.front();
    const std::ifstream file(name, std::ios::binary);
    if (!file)
        throw UsageError("cannot read " + name);
    std::ostringstream content;
    content << file.rdbuf();
    try {
        const ParsedRules rules = parseRules(content.str(), name);
        context.out << name << ": " << rules.rules.size() << " rules, no errors\n";
        return exitOk;
    } catch (const Error& error) {
        context.err << error.what() << "\n";
        return exitErrorAnswer;
    }
}

int runVersion(const Context& context)
{
    context.out << "citronplank " << versionText() << " sources=" << sourcesDigest() << "\n";
    return exitOk;
}

const std::array commands {
    Command { "query", "", "Queries all shards of a service and prints the merged answer with its coverage.",
        queryFlags, runQuery },
    Command { "request", "", "Runs an operation with side effects at most once.", requestFlags, runRequest },
    Command { "check", " RULESFILE", "Checks a rules file without a daemon.", {}, runCheck },
    Command { "status", "", "Prints a summary of the state of a daemon.", adminFlags, runStatus },
    Command { "dump", "", "Prints the complete state of a daemon.", adminFlags, runDump },
    Command {
        "explain", "", "Prints where a request would go now and why, without sending it.", explainFlags, runExplain },
    Command { "version", "", "Prints the version of this tool.", {}, runVersion },
};

std::string commandHelp(const Command& command)
{
    std::string text = std::string("Usage: citronplank ") + command.name + command.operand
        + (command.flags.empty() ? "" : " [FLAG]...") + "\n" + command.description + "\n";
    if (!command.flags.empty())
        text += "\nFlags:\n";
    for (const FlagSpec& flag : command.flags) {
        text.append("  --").append(flag.name);
        if (flag.valueName)
            text.append("=").append(flag.valueName);
        text.append("\n        ").append(flag.description);
        if (!flag.valueName) {
            text += "\n";
            continue;
        }
        if (!flag.defaultValue)
            text += ". Required";
        else if (flag.defaultValue[0] != '\0')
            text.append(". Default: ").append(flag.defaultValue);
        text.append(". Environment: ").append(environmentNameOf(flag.name)).append("\n");
    }
    return text;
}

std::string toolHelp()
{
    std::string text = "Usage: citronplank COMMAND [FLAG]...\n\nCommands:\n";
    for (const Command& it : commands)
        text.append("  ").append(it.name).append(it.operand).append("\n        ").append(it.description).append("\n");
    return text
        + "\n`citronplank COMMAND --help` lists the flags of a command. Answers go to stdout, messages to stderr.\n"
          "\nExit codes:\n"
          "  0  success\n"
          "  1  the answer is an error or a refusal, or a checked file is invalid\n"
          "  2  usage error; nothing was sent\n"
          "  3  unreachable: no connection, or it ended before the answer\n"
          "  4  the answer to a query is partial\n";
}

int runCommand(const Command& command, std::span<const char* const> arguments, const ToolEnvironment& environment,
    std::ostream& out, std::ostream& err)
{
    const Options options = readOptions(arguments, command.flags, environment);
    if (options.wantsHelp) {
        out << commandHelp(command);
        return exitOk;
    }
    const std::size_t operandCount = command.operand[0] == '\0' ? 0 : 1;
    if (options.operands.size() != operandCount)
        throw UsageError(options.operands.size() > operandCount
                ? "'" + options.operands.back() + "' is an unexpected operand"
                : std::string(command.operand + 1) + " is missing");
    return command.run({ options, out, err });
}

} // namespace

int runTool(int argc, const char* const* argv, const ToolEnvironment& environment, std::ostream& out, std::ostream& err)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        out << toolHelp();
        return exitOk;
    }
    try {
        for (const Command& command : commands) {
            if (name == command.name)
                return runCommand(command, { argv + 2, static_cast<std::size_t>(argc) - 2 }, environment, out, err);
        }
        throw UsageError(name.empty() ? "a command is missing" : "'" + std::string(name) + "' is not a command");
    } catch (const UsageError& error) {
        err << "citronplank: " << error.what() << "; see citronplank --help\n";
        return exitUsage;
    }
}

} // namespace citronplank
