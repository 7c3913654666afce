// Settings of the daemon, read from flags and environment variables and fully checked before anything starts.
//
//   const SettingsOutcome outcome = readSettings(argc, argv, [](const char* name) { return std::getenv(name); });
//   if (!outcome.settings) {
//       std::fputs(outcome.output.c_str(), outcome.exitCode == 0 ? stdout : stderr);
//       return outcome.exitCode;
//   }
#pragma once

#include "daemon/Logging.h"

#include <filesystem>
#include <functional>

namespace citronplank {

struct Settings {
    std::string name;
    std::string region;
    std::string zone;
    std::string callerAddress; // "IP:PORT", like all addresses
    std::string adminAddress;
    std::string linkAddress;
    std::string gossipAddress;
    std::vector<std::string> seeds;                    // gossip addresses
    std::map<std::string, std::string> controlMembers; // link address by name
    std::filesystem::path dataDir;                     // empty: no control role
    std::filesystem::path rulesFile;                   // empty: no rules file is watched
    bool openControlMembership = false; // control members discover each other, see ControlLogSettings::openMembership
    bool bootstrap = true;              // with open membership: this start may create the cluster
    std::size_t voterTarget = 0;        // with open membership: desired number of voters
    /// A leaf that is not announced for this long is removed.
    milliseconds announcementTimeout { citronplank::announcementTimeout };
    unsigned partChannelIntervals = 1;          // see LinkSettings
    std::optional<milliseconds> linkHeartbeat;  // see LinkSettings; absent: its defaults
    std::optional<milliseconds> rejoinInterval; // see GossipSettings; absent: its default
    std::size_t maxDirectPeers = 128;           // with more live peers, messages for all are forwarded by zone
    unsigned workers = 1;
    milliseconds drainDelay { 3000 }; // time to keep serving after the stop signal, while not ready
    LogLevel logLevel = LogLevel::Info;

    bool isControlMember() const { return openControlMembership ? !dataDir.empty() : controlMembers.count(name) != 0; }
};

constexpr int exitSuccess = 0;         // planned stop, --help, --version
constexpr int exitFailed = 1;          // could not start, for example because an address is in use
constexpr int exitInvalidSettings = 2; // nothing was started

struct SettingsOutcome {
    std::optional<Settings> settings; // absent: print `output` and exit with `exitCode`
    int exitCode = exitSuccess;
    std::string output; // the help text, the version, or one line that names the invalid setting
};

/// Returns the value of an environment variable or null.
using EnvironmentReader = std::function<const char*(const char* name)>;

/// Reads and checks all settings. A flag takes precedence over the environment; region and zone must agree where both
/// are given. Precondition: `argv` has `argc` entries, the first is the program. The environment must not be changed
/// concurrently.
SettingsOutcome readSettings(int argc, const char* const* argv, const EnvironmentReader&);

/// The text that --help prints. Thread safe.
std::string settingsHelp();

} // namespace citronplank
