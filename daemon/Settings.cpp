#include "daemon/Settings.h"

#include "daemon/SettingsChecks.h"
#include "daemon/Version.h"

#include <array>
#include <popt.h>
#include <thread>

namespace citronplank {

namespace {

/// Definition of a setting, used for the command line, the environment and the help text.
struct SettingDefinition {
    const char* group;
    const char* flag;
    const char* argument;
    const char* text;
    const char* defaultText; // default shown in the help text; empty: the setting is required
    void (*assign)(Settings&, const std::string& value);
};

const std::array<SettingDefinition, 14> settingDefinitions { {
    { "Instance", "name", "NAME", "name of this instance; keep it across restarts", "",
        [](Settings& s, const std::string& value) { s.name = parseName(value); } },
    { "Instance", "region", "NAME", "region of this instance", "",
        [](Settings& s, const std::string& value) { s.region = parseName(value); } },
    { "Instance", "zone", "NAME", "availability zone of this instance", "",
        [](Settings& s, const std::string& value) { s.zone = parseName(value); } },
    { "Addresses", "caller-address", "IP:PORT", "TCP, callers: /query and /request", "",
        [](Settings& s, const std::string& value) { s.callerAddress = parseAddress(value, true); } },
    { "Addresses", "admin-address", "IP:PORT", "TCP, operators and leaves: /ready /announce /status /dump /metrics", "",
        [](Settings& s, const std::string& value) { s.adminAddress = parseAddress(value, false); } },
    { "Addresses", "link-address", "IP:PORT", "TCP, links from other daemons, which connect to this address", "",
        [](Settings& s, const std::string& value) { s.linkAddress = parseAddress(value, false); } },
    { "Addresses", "gossip-address", "IP:PORT", "UDP, gossip from other daemons", "",
        [](Settings& s, const std::string& value) { s.gossipAddress = parseAddress(value, false); } },
    { "Cluster", "seeds", "IP:PORT,...", "gossip addresses to join through; any live daemon works", "none",
        [](Settings& s, const std::string& value) { s.seeds = parseAddressList(value); } },
    { "Cluster", "control-members", "NAME=IP:PORT,...", "link addresses of all control members, 3, 5 or 7", "none",
        [](Settings& s, const std::string& value) { s.controlMembers = parseControlMembers(value); } },
    { "Cluster", "data-dir", "FOLDER",
        "existing folder on a disk; required for control members, not allowed for others", "none",
        [](Settings& s, const std::string& value) { s.dataDir = parseDataDir(value); } },
    { "Operation", "rules", "FILE", "rules file to watch; its folder must exist", "none",
        [](Settings& s, const std::string& value) { s.rulesFile = parseRulesFile(value); } },
    { "Operation", "workers", "THREADS", "worker threads, 1 to 256", "one for each processor",
        [](Settings& s, const std::string& value) { s.workers = parseNumber(value, 1, 256); } },
    { "Operation", "drain-delay", "TIME",
        "time to keep serving after SIGTERM while not ready, 0s to 60s (units: ms, s)", "3s",
        [](Settings& s, const std::string& value) { s.drainDelay = parseDuration(value, seconds(60)); } },
    { "Operation", "log-level", "LEVEL", "debug, info, warning, error or off", "info",
        [](Settings& s, const std::string& value) { s.logLevel = parseLogLevel(value); } },
} };

// Values that poptGetNextOpt returns for these flags, above those of the settings, which are their index + 1.
constexpr int helpOption = 1000;
constexpr int versionOption = 1001;

std::string environmentName(std::string_view flag)
{
    std::string name = "CITRONPLANK_";
    for (const char c : flag)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

bool isRequired(const SettingDefinition& definition) { return definition.defaultText[0] == '\0'; }

/// Unparsed values, by index in `settingDefinitions`.
struct RawValues {
    std::array<std::optional<std::string>, settingDefinitions.size()> values;
    bool wantsHelp = false;
    bool wantsVersion = false;
};

void addFlag(RawValues& given, std::size_t index, const std::string& value)
{
    auto& slot = given.values.at(index);
    if (slot && *slot != value)
        throw SettingsError(
            std::string("--") + settingDefinitions.at(index).flag, "is given twice, as " + *slot + " and " + value);
    slot = value;
}

/// The flag name of an argument such as "--flag=value".
std::string flagOf(const std::string& argument) { return argument.substr(0, argument.find('=')); }

RawValues readFlags(int argc, const char* const* argv)
{
    std::vector<poptOption> options;
    for (std::size_t i = 0; i < settingDefinitions.size(); ++i)
        options.push_back(
            { settingDefinitions.at(i).flag, 0, POPT_ARG_STRING, nullptr, static_cast<int>(i) + 1, nullptr, nullptr });
    options.push_back({ "help", 'h', POPT_ARG_NONE, nullptr, helpOption, nullptr, nullptr });
    options.push_back({ "version", 0, POPT_ARG_NONE, nullptr, versionOption, nullptr, nullptr });
    options.push_back(POPT_TABLEEND);
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("citronplankd", argc, const_cast<const char**>(argv), options.data(), 0), poptFreeContext);
    RawValues given;
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        if (option == helpOption) {
            given.wantsHelp = true;
        } else if (option == versionOption) {
            given.wantsVersion = true;
        } else {
            const std::unique_ptr<char, void (*)(void*)> value(poptGetOptArg(context.get()), std::free);
            addFlag(given, static_cast<std::size_t>(option) - 1, value ? value.get() : "");
        }
    }
    if (option < -1)
        throw SettingsError(flagOf(poptBadOption(context.get(), 0)), poptStrerror(option));
    if (const char* extra = poptPeekArg(context.get()))
        throw SettingsError(extra, "is not a flag");
    return given;
}

/// Adds values from the environment. Contradicting values of zone or region are an error: the configuration was
/// probably copied from another zone, and a daemon in the wrong zone would own that zone's leaves.
void addEnvironment(RawValues& given, const EnvironmentReader& environment)
{
    for (std::size_t i = 0; i < settingDefinitions.size(); ++i) {
        const std::string flag = settingDefinitions.at(i).flag;
        const char* value = environment(environmentName(flag).c_str());
        auto& slot = given.values.at(i);
        if (!value || value[0] == '\0')
            continue;
        if (slot && *slot != value && (flag == "zone" || flag == "region"))
            throw SettingsError(
                "--" + flag, "is " + *slot + " and contradicts " + environmentName(flag) + ", which is " + value);
        if (!slot)
            slot = value;
    }
}

Settings assignAll(const RawValues& given)
{
    Settings settings;
    settings.workers = std::clamp(std::thread::hardware_concurrency(), 1U, 256U);
    for (std::size_t i = 0; i < settingDefinitions.size(); ++i) {
        const SettingDefinition& definition = settingDefinitions.at(i);
        const std::string flag = std::string("--") + definition.flag;
        const auto& value = given.values.at(i);
        if (!value) {
            if (isRequired(definition))
                throw SettingsError(flag, "is missing (or set " + environmentName(definition.flag) + ")");
            continue;
        }
        try {
            definition.assign(settings, *value);
        } catch (const std::invalid_argument& error) {
            throw SettingsError(flag, error.what());
        }
    }
    return settings;
}

std::string replaceControlCharacters(std::string text)
{
    for (char& c : text) {
        if (static_cast<unsigned char>(c) < 0x20)
            c = ' ';
    }
    return text;
}

} // namespace

std::string settingsHelp()
{
    std::string text = "Usage: citronplankd [FLAG]...\n"
                       "Runs one instance of the query tier.\n";
    const char* group = "";
    for (const SettingDefinition& definition : settingDefinitions) {
        if (std::string_view(group) != definition.group)
            text += std::string("\n") + definition.group + ":\n";
        group = definition.group;
        text += std::string("  --") + definition.flag + "=" + definition.argument + "\n        " + definition.text
            + "\n        "
            + (isRequired(definition) ? std::string("Required") : std::string("Default: ") + definition.defaultText)
            + ". Environment: " + environmentName(definition.flag) + "\n";
    }
    text
        += "\nOther:\n"
           "  -h, --help\n        Print this text and exit\n"
           "  --version\n        Print the version and exit\n"
           "\nA flag takes precedence over its environment variable; zone and region must agree where both are given.\n"
           "Names have 1 to 64 letters, digits, '-', '_' or '.'. Addresses are IPv4 addresses with a port.\n"
           "\nSignals:\n"
           "  SIGTERM  planned stop: report not ready, serve for the drain delay, finish running requests, exit\n"
           "\nExit codes:\n"
           "  0  planned stop, or --help or --version\n"
           "  1  the daemon could not start, or failed\n"
           "  2  a setting is invalid; one line on stderr names it and nothing was started\n";
    return text;
}

SettingsOutcome readSettings(int argc, const char* const* argv, const EnvironmentReader& environment)
{
    try {
        RawValues given = readFlags(argc, argv);
        if (given.wantsHelp)
            return { std::nullopt, exitSuccess, settingsHelp() };
        if (given.wantsVersion)
            return { std::nullopt, exitSuccess,
                std::string("citronplankd ") + versionText() + " sources=" + sourcesDigest() + "\n" };
        addEnvironment(given, environment);
        Settings settings = assignAll(given);
        checkConsistency(settings);
        return { std::move(settings), exitSuccess, "" };
    } catch (const SettingsError& error) {
        return { std::nullopt, exitInvalidSettings, "citronplankd: " + replaceControlCharacters(error.what()) + "\n" };
    }
}

} // namespace citronplank
