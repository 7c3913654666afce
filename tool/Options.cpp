#include "tool/Options.h"

#include <cstdlib>
#include <memory>
#include <popt.h>

namespace citronplank {

namespace {

constexpr int helpValue = 1000; // what popt returns for --help; for another flag it returns the index + 1

/// Fills in the missing values from the environment or the defaults. Throws UsageError if a required flag has neither.
void applyDefaults(Options& options, std::span<const FlagSpec> flags, const ToolEnvironment& environment)
{
    for (const FlagSpec& flag : flags) {
        if (options.has(flag.name) || !flag.valueName)
            continue;
        const char* value = environment(environmentNameOf(flag.name).c_str());
        if (value && value[0] != '\0')
            options.values[flag.name] = value;
        else if (!flag.defaultValue)
            throw UsageError(std::string("--") + flag.name + " is missing (or set the environment variable "
                + environmentNameOf(flag.name) + ")");
        else if (flag.defaultValue[0] != '\0')
            options.values[flag.name] = flag.defaultValue;
    }
}

} // namespace

std::string environmentNameOf(std::string_view flag)
{
    std::string name = "CITRONPLANK_";
    for (const char c : flag)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

Options readOptions(
    std::span<const char* const> arguments, std::span<const FlagSpec> flags, const ToolEnvironment& environment)
{
    std::vector<poptOption> table;
    table.reserve(flags.size() + 2);
    for (std::size_t i = 0; i < flags.size(); ++i) {
        const auto type = static_cast<unsigned>(flags[i].valueName ? POPT_ARG_STRING : POPT_ARG_NONE);
        table.push_back({ flags[i].name, 0, type, nullptr, static_cast<int>(i) + 1, nullptr, nullptr });
    }
    table.push_back({ "help", 'h', POPT_ARG_NONE, nullptr, helpValue, nullptr, nullptr });
    table.push_back(POPT_TABLEEND);
    std::vector<const char*> argv { "citronplank" };
    argv.insert(argv.end(), arguments.begin(), arguments.end());
    argv.push_back(nullptr);
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("citronplank", static_cast<int>(argv.size()) - 1, argv.data(), table.data(), 0),
        poptFreeContext);
    Options options;
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        if (option == helpValue) {
            options.wantsHelp = true;
            continue;
        }
        const std::unique_ptr<char, void (*)(void*)> value(poptGetOptArg(context.get()), std::free);
        options.values[flags[static_cast<std::size_t>(option) - 1].name] = value ? value.get() : "";
    }
    if (option < -1)
        throw UsageError(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(option));
    while (const char* operand = poptGetArg(context.get()))
        options.operands.emplace_back(operand);
    if (!options.wantsHelp)
        applyDefaults(options, flags, environment);
    return options;
}

} // namespace citronplank
