#pragma once

#include "daemon/Settings.h"

namespace citronplank {

/// A wrong setting; `what()` begins with its name.
class SettingsError : public std::runtime_error {
public:
    SettingsError(const std::string& setting, const std::string& reason)
        : std::runtime_error(setting + ": " + reason)
    {
    }
};

// Each function returns the value of one setting or throws std::invalid_argument with the reason. Thread safe.

std::string checkedName(const std::string&);
/// Allows 0.0.0.0 only where nobody is told to dial the address.
std::string checkedAddress(const std::string&, bool allowAnyHost);
std::vector<std::string> checkedAddressList(const std::string&);
std::map<std::string, std::string> checkedMembers(const std::string&);
std::filesystem::path checkedDataDir(const std::string&);
std::filesystem::path checkedRulesFile(const std::string&);
unsigned checkedNumber(const std::string&, unsigned least, unsigned greatest);
milliseconds checkedTime(const std::string&, milliseconds greatest);
LogLevel checkedLogLevel(const std::string&);

/// Checks settings against each other. Throws SettingsError.
void checkTogether(const Settings&);

} // namespace citronplank
