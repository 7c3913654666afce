#include "tool/Options.h"

#include <cstdlib>
#include <memory>
#include <popt.h>

namespace citronplank {

namespace {

constexpr int helpOption = 1000;

void applyDefaults(Options& options, std::span<const OptionRow> rows, const ToolEnvironment& environment)
{
    for (const OptionRow& row : rows) {
        if (options.has(row.flag) || !row.argument)
            continue;
        const char* value = environment(environmentNameOf(row.flag).c_str());
        if (value && value[0] != '\0')
            options.values[row.flag] = value;
        else if (!row.fallback)
            throw UsageError(std::string("--") + row.flag + " is missing (or set " + environmentNameOf(row.flag) + ")");
        else if (row.fallback[0] != '\0')
            options.values[row.flag] = row.fallback;
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
    std::span<const char* const> arguments, std::span<const OptionRow> rows, const ToolEnvironment& environment)
{
    std::vector<poptOption> table;
    table.reserve(rows.size() + 2);
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const auto type = static_cast<unsigned>(rows[i].argument ? POPT_ARG_STRING : POPT_ARG_NONE);
        table.push_back({ rows[i].flag, 0, type, nullptr, static_cast<int>(i) + 1, nullptr, nullptr });
    }
    table.push_back({ "help", 'h', POPT_ARG_NONE, nullptr, helpOption, nullptr, nullptr });
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
        if (option == helpOption) {
            options.wantsHelp = true;
            continue;
        }
        const std::unique_ptr<char, void (*)(void*)> value(poptGetOptArg(context.get()), std::free);
        options.values[rows[static_cast<std::size_t>(option) - 1].flag] = value ? value.get() : "";
    }
    if (option < -1)
        throw UsageError(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(option));
    while (const char* operand = poptGetArg(context.get()))
        options.operands.emplace_back(operand);
    if (!options.wantsHelp)
        applyDefaults(options, rows, environment);
    return options;
}

} // namespace citronplank
