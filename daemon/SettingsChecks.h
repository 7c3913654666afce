// Parsing of each setting's value, and checks of the settings against each other.
#pragma once

#include "daemon/Settings.h"

namespace citronplank {

/// An invalid setting; `what()` begins with its name.
class SettingsError : public std::runtime_error {
public:
    SettingsError(const std::string& setting, const std::string& reason)
        : std::runtime_error(setting + ": " + reason)
    {
    }
};

// Each function parses the value of one setting, or throws std::invalid_argument with the reason. Thread safe.

std::string parseName(const std::string&);
/// `allowAnyHost` permits 0.0.0.0, for an address that is not advertised to other instances.
std::string parseAddress(const std::string&, bool allowAnyHost);
std::vector<std::string> parseAddressList(const std::string&);
std::map<std::string, std::string> parseControlMembers(const std::string&);
std::filesystem::path parseDataDir(const std::string&);
std::filesystem::path parseRulesFile(const std::string&);
unsigned parseNumber(const std::string&, unsigned min, unsigned max);
milliseconds parseDuration(const std::string&, milliseconds max);
LogLevel parseLogLevel(const std::string&);

/// Checks the settings for contradictions. Throws SettingsError.
void checkConsistency(const Settings&);

} // namespace citronplank
