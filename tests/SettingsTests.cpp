#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/Settings.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>

using namespace citronplank;

namespace {

using Flags = std::map<std::string, std::string>;

struct TemporaryFolder {
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "settings-XXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        path = name;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    std::string path;
};

Flags entryFlags()
{
    return { { "name", "atl-1" }, { "region", "georgia" }, { "zone", "atl" }, { "caller-address", "0.0.0.0:7300" },
        { "admin-address", "10.0.0.1:7301" }, { "link-address", "10.0.0.1:7302" },
        { "gossip-address", "10.0.0.1:7302" } };
}

SettingsOutcome read(const std::vector<std::string>& arguments, const Flags& environment = {})
{
    std::vector<const char*> argv { "citronplankd" };
    for (const auto& it : arguments)
        argv.push_back(it.c_str());
    argv.push_back(nullptr);
    return readSettings(static_cast<int>(argv.size()) - 1, argv.data(), [&](const char* name) -> const char* {
        const auto it = environment.find(name);
        return it == environment.end() ? nullptr : it->second.c_str();
    });
}

/// Reads the flags of an entry instance with some of them changed; an empty value removes a flag.
SettingsOutcome readChanged(const Flags& changes, const Flags& environment = {})
{
    Flags flags = entryFlags();
    for (const auto& [flag, value] : changes)
        flags[flag] = value;
    std::vector<std::string> arguments;
    for (const auto& [flag, value] : flags) {
        if (!value.empty())
            arguments.emplace_back("--").append(flag).append("=").append(value);
    }
    return read(arguments, environment);
}

void checkRefused(const SettingsOutcome& outcome, const std::string& setting)
{
    CAPTURE(outcome.output);
    CHECK_FALSE(outcome.settings);
    CHECK(outcome.exitCode == 2);
    CHECK(outcome.output.starts_with("citronplankd: " + setting + ": "));
    CHECK(std::count(outcome.output.begin(), outcome.output.end(), '\n') == 1);
}

} // namespace

// Guards against a flag that is assigned to another setting, and against changed defaults.
TEST_CASE("an entry instance needs only its names and addresses")
{
    const SettingsOutcome outcome = readChanged({});
    REQUIRE(outcome.settings);
    const Settings& s = *outcome.settings;
    CHECK(s.name == "atl-1");
    CHECK(s.region == "georgia");
    CHECK(s.zone == "atl");
    CHECK(s.callerAddress == "0.0.0.0:7300");
    CHECK(s.adminAddress == "10.0.0.1:7301");
    CHECK(s.linkAddress == "10.0.0.1:7302");
    CHECK(s.gossipAddress == "10.0.0.1:7302");
    CHECK(s.drainDelay == seconds(3));
    CHECK(s.logLevel == LogLevel::Info);
    CHECK(s.workers >= 1);
    CHECK_FALSE(s.isControlMember());
}

// Guards against a control member whose lists and paths are read wrongly.
TEST_CASE("a control member's settings are read")
{
    const TemporaryFolder folder;
    const SettingsOutcome outcome = readChanged({ { "control-members", "atl-1=10.0.0.1:7302,sav-1=10.0.1.1:7302" },
        { "data-dir", folder.path }, { "seeds", "10.0.1.1:7302,10.0.2.1:7302" }, { "rules", folder.path + "/rules" },
        { "workers", "4" }, { "drain-delay", "1500ms" }, { "log-level", "debug" } });
    CAPTURE(outcome.output);
    REQUIRE(outcome.settings);
    const Settings& s = *outcome.settings;
    CHECK(s.isControlMember());
    CHECK(s.controlMembers.at("sav-1") == "10.0.1.1:7302");
    CHECK(s.dataDir == folder.path);
    CHECK(s.rulesFile == folder.path + "/rules");
    CHECK(s.seeds == std::vector<std::string> { "10.0.1.1:7302", "10.0.2.1:7302" });
    CHECK(s.workers == 4);
    CHECK(s.drainDelay == milliseconds(1500));
    CHECK(s.logLevel == LogLevel::Debug);
}

// Guards against a daemon that starts with an invalid setting, and against a message that does not name the setting.
TEST_CASE("each invalid setting is refused in one line that names it")
{
    const TemporaryFolder folder;
    std::ofstream(folder.path + "/file") << "x";
    const std::string members = "atl-1=10.0.0.1:7302,sav-1=10.0.1.1:7302";
    const std::vector<std::pair<Flags, std::string>> cases { { { { "name", "" } }, "--name" },
        { { { "name", "a b" } }, "--name" }, { { { "zone", "" } }, "--zone" }, { { { "zone", "georgia" } }, "--zone" },
        { { { "caller-address", "10.0.0.1" } }, "--caller-address" },
        { { { "caller-address", "host:80" } }, "--caller-address" },
        { { { "admin-address", "0.0.0.0:7301" } }, "--admin-address" },
        { { { "admin-address", "10.0.0.1:7300" } }, "--admin-address" },
        { { { "link-address", "10.0.0.1:7301" } }, "--link-address" },
        { { { "link-address", "10.0.0.1:0" } }, "--link-address" },
        { { { "gossip-address", "10.0.0.1:65536" } }, "--gossip-address" },
        { { { "seeds", "10.0.0.1:1,,10.0.0.2:2" } }, "--seeds" },
        { { { "control-members", "atl-1" } }, "--control-members" },
        { { { "control-members", "a=10.0.0.2:1,a=10.0.0.3:1" } }, "--control-members" },
        { { { "control-members", "a=10.0.0.2:1,b=10.0.0.2:1" } }, "--control-members" },
        { { { "control-members", "other=10.0.0.1:7302" } }, "--control-members" },
        { { { "control-members", "atl-1=10.0.0.9:7302" }, { "data-dir", folder.path } }, "--control-members" },
        { { { "control-members", members } }, "--data-dir" }, { { { "data-dir", folder.path } }, "--data-dir" },
        { { { "control-members", members }, { "data-dir", folder.path + "/none" } }, "--data-dir" },
        { { { "control-members", members }, { "data-dir", folder.path + "/file" } }, "--data-dir" },
        { { { "rules", folder.path + "/none/rules" } }, "--rules" }, { { { "rules", folder.path } }, "--rules" },
        { { { "workers", "0" } }, "--workers" }, { { { "workers", "4x" } }, "--workers" },
        { { { "drain-delay", "3" } }, "--drain-delay" }, { { { "drain-delay", "61s" } }, "--drain-delay" },
        { { { "log-level", "loud" } }, "--log-level" }, { { { "unknown", "1" } }, "--unknown" } };
    for (const auto& it : cases)
        checkRefused(readChanged(it.first), it.second);
    checkRefused(read({ "extra" }), "extra");
    checkRefused(read({ "--name" }), "--name");
    checkRefused(read({ "--name=a", "--name=b" }), "--name");
    checkRefused(read({ "--name=a\nb" }), "--name");
    checkRefused(readChanged({}, { { "CITRONPLANK_ZONE", "sav" } }), "--zone");
    checkRefused(readChanged({}, { { "CITRONPLANK_REGION", "bangkok" } }), "--region");
}

// Guards against an unwritable data folder that is detected only when the first vote has to be stored. No files can be
// created in /proc, not even by root.
TEST_CASE("an unwritable data folder is refused")
{
    const SettingsOutcome outcome
        = readChanged({ { "control-members", "atl-1=10.0.0.1:7302" }, { "data-dir", "/proc" } });
    checkRefused(outcome, "--data-dir");
    CHECK(outcome.output.find("not writable") != std::string::npos);
}

// Guards against environment variables that are ignored or that override a flag.
TEST_CASE("settings without a flag are read from the environment")
{
    const SettingsOutcome outcome = readChanged({ { "name", "" }, { "drain-delay", "1s" } },
        { { "CITRONPLANK_NAME", "from-environment" }, { "CITRONPLANK_DRAIN_DELAY", "9s" },
            { "CITRONPLANK_ZONE", "atl" }, { "CITRONPLANK_SEEDS", "" } });
    REQUIRE(outcome.settings);
    CHECK(outcome.settings->name == "from-environment");
    CHECK(outcome.settings->drainDelay == seconds(1));
    CHECK(outcome.settings->seeds.empty());
}

// Guards against a flag, an environment variable or exit codes that the help text does not mention.
TEST_CASE("the help text names every flag, environment variable and exit code")
{
    const SettingsOutcome help = read({ "--help" });
    CHECK(help.exitCode == 0);
    CHECK_FALSE(help.settings);
    Flags flags = entryFlags();
    for (const char* flag : { "seeds", "control-members", "data-dir", "rules", "workers", "drain-delay", "log-level" })
        flags[flag] = "";
    for (const auto& [flag, value] : flags) {
        std::string variable = "CITRONPLANK_" + flag;
        std::transform(variable.begin(), variable.end(), variable.begin(),
            [](unsigned char c) { return c == '-' ? '_' : static_cast<char>(std::toupper(c)); });
        CHECK(help.output.find("--" + flag + "=") != std::string::npos);
        CHECK(help.output.find(variable) != std::string::npos);
    }
    CHECK(help.output.find("Exit codes:") != std::string::npos);
    CHECK(read({ "--version" }).output.starts_with("citronplankd "));
}
