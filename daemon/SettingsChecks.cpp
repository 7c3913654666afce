#include "daemon/SettingsChecks.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdlib>
#include <system_error>
#include <unistd.h>

namespace citronplank {

namespace {

constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxControlMembers = 7;

[[noreturn]] void refuse(const std::string& reason) { throw std::invalid_argument(reason); }

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> items;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        items.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return items;
}

std::string hostOf(const std::string& address) { return address.substr(0, address.find(':')); }
std::string portOf(const std::string& address) { return address.substr(address.find(':') + 1); }

bool overlap(const std::string& a, const std::string& b)
{
    const bool sameHost = hostOf(a) == hostOf(b) || hostOf(a) == "0.0.0.0" || hostOf(b) == "0.0.0.0";
    return sameHost && portOf(a) == portOf(b);
}

} // namespace

std::string checkedName(const std::string& text)
{
    const bool valid = !text.empty() && text.size() <= maxNameBytes
        && std::all_of(text.begin(), text.end(),
            [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
    if (!valid)
        refuse("'" + text + "' is not a name of 1 to 64 letters, digits, '-', '_' or '.'");
    return text;
}

std::string checkedAddress(const std::string& text, bool allowAnyHost)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos)
        refuse("'" + text + "' is not IP:PORT");
    in_addr host {};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &host) != 1)
        refuse("'" + text + "' does not begin with an IPv4 address");
    if (host.s_addr == INADDR_ANY && !allowAnyHost)
        refuse("'" + text + "' is told to others, so it must be one address, not 0.0.0.0");
    unsigned port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc() || stop != end || port == 0 || port > 65535)
        refuse("'" + text + "' does not end with a port between 1 and 65535");
    return text;
}

std::vector<std::string> checkedAddressList(const std::string& text)
{
    std::vector<std::string> addresses;
    for (const std::string& item : splitList(text))
        addresses.push_back(checkedAddress(item, false));
    return addresses;
}

std::map<std::string, std::string> checkedMembers(const std::string& text)
{
    std::map<std::string, std::string> members;
    for (const std::string& item : splitList(text)) {
        const std::size_t equals = item.find('=');
        if (equals == std::string::npos)
            refuse("'" + item + "' is not NAME=IP:PORT");
        const std::string name = checkedName(item.substr(0, equals));
        const std::string address = checkedAddress(item.substr(equals + 1), false);
        if (std::any_of(members.begin(), members.end(), [&](const auto& it) { return it.second == address; }))
            refuse("address " + address + " is listed twice");
        if (!members.emplace(name, address).second)
            refuse("name " + name + " is listed twice");
    }
    if (members.size() > maxControlMembers)
        refuse("lists more than 7 members");
    return members;
}

std::filesystem::path checkedDataDir(const std::string& text)
{
    std::error_code ec;
    if (!std::filesystem::is_directory(text, ec))
        refuse("'" + text + "' is not an existing folder");
    // Permissions alone do not tell: root passes them on a file system that takes no files.
    std::string probe = text + "/.writable-XXXXXX";
    const int file = mkstemp(probe.data());
    if (file < 0)
        refuse("'" + text + "' is not writable: " + std::system_category().message(errno));
    close(file);
    unlink(probe.c_str());
    return text;
}

std::filesystem::path checkedRulesFile(const std::string& text)
{
    std::error_code ec;
    std::filesystem::path file(text);
    const std::filesystem::path folder = file.has_parent_path() ? file.parent_path() : ".";
    if (text.empty() || !std::filesystem::is_directory(folder, ec))
        refuse("the folder of '" + text + "' does not exist");
    if (std::filesystem::is_directory(file, ec))
        refuse("'" + text + "' is a folder");
    if (std::filesystem::exists(file, ec) && access(text.c_str(), R_OK) != 0)
        refuse("'" + text + "' is not readable");
    return file;
}

unsigned checkedNumber(const std::string& text, unsigned least, unsigned greatest)
{
    unsigned number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc() || stop != end || number < least || number > greatest)
        refuse("'" + text + "' is not a whole number between " + std::to_string(least) + " and "
            + std::to_string(greatest));
    return number;
}

milliseconds checkedTime(const std::string& text, milliseconds greatest)
{
    long number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, number);
    const std::string unit(stop, end);
    if (ec != std::errc() || (unit != "ms" && unit != "s"))
        refuse("'" + text + "' is not a time such as 3s or 500ms");
    const long factor = unit == "s" ? 1000 : 1;
    if (number < 0 || number > greatest.count() / factor)
        refuse("'" + text + "' is not between 0s and " + std::to_string(greatest.count() / 1000) + "s");
    return milliseconds(number * factor);
}

LogLevel checkedLogLevel(const std::string& text)
{
    constexpr std::array<std::pair<std::string_view, LogLevel>, 5> levels { { { "debug", LogLevel::Debug },
        { "info", LogLevel::Info }, { "warning", LogLevel::Warning }, { "error", LogLevel::Error },
        { "off", LogLevel::Off } } };
    const auto* const it
        = std::find_if(levels.begin(), levels.end(), [&](const auto& row) { return row.first == text; });
    if (it == levels.end())
        refuse("'" + text + "' is not debug, info, warning, error or off");
    return it->second;
}

void checkTogether(const Settings& settings)
{
    const auto member = settings.controlMembers.find(settings.name);
    const bool isMember = member != settings.controlMembers.end();
    if (isMember && settings.dataDir.empty())
        throw SettingsError("--data-dir", "is missing, but --control-members lists " + settings.name);
    if (!isMember && !settings.dataDir.empty())
        throw SettingsError("--data-dir", "is given, but --control-members does not list " + settings.name);
    if (isMember && member->second != settings.linkAddress)
        throw SettingsError("--control-members",
            "lists " + settings.name + " with " + member->second + ", but --link-address is " + settings.linkAddress);
    for (const auto& [name, address] : settings.controlMembers) {
        if (name != settings.name && address == settings.linkAddress)
            throw SettingsError("--control-members", "lists this instance's link address under the name " + name);
    }
    if (settings.zone == settings.region)
        throw SettingsError("--zone", "has the name of the region: " + settings.zone);
    const std::array<std::pair<const char*, const std::string*>, 3> listeners {
        { { "--caller-address", &settings.callerAddress }, { "--admin-address", &settings.adminAddress },
            { "--link-address", &settings.linkAddress } }
    };
    for (std::size_t i = 1; i < listeners.size(); ++i) {
        for (std::size_t k = 0; k < i; ++k) {
            if (overlap(*listeners.at(i).second, *listeners.at(k).second))
                throw SettingsError(listeners.at(i).first,
                    *listeners.at(i).second + " is the address of " + listeners.at(k).first + " too");
        }
    }
}

} // namespace citronplank
