#include "backend/AnnouncementCodec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <nlohmann/json.hpp>

namespace citronplank {

namespace {

using Json = nlohmann::json;

// The length and the characters of names are limited: they occur in gossip datagrams of 1,200 bytes, in headers and in
// the rules file, whose words are separated by spaces.
constexpr std::size_t maxNameBytes = 64;
constexpr std::uint64_t maxSlots = 1024;
constexpr std::uint64_t maxConnections = 65535;
constexpr std::uint64_t maxShards = 65536;
constexpr std::size_t maxVersions = 16; // a leaf needs two during a repartition: the old and the new one

[[noreturn]] void throwInvalidField(const std::string& field, const std::string& reason)
{
    throw Error(ErrorKind::BadRequest, "announcement: " + field + " " + reason);
}

const Json& fieldOf(const Json& object, const std::string& path, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end())
        throwInvalidField(path + name, "is missing");
    return *it;
}

std::string textOf(const Json& object, const char* name)
{
    const Json& field = fieldOf(object, "", name);
    if (!field.is_string())
        throwInvalidField(name, "is not a string");
    return field.get<std::string>();
}

std::string nameOf(const Json& object, const char* name)
{
    std::string text = textOf(object, name);
    const bool valid = !text.empty() && text.size() <= maxNameBytes
        && std::all_of(text.begin(), text.end(),
            [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
    if (!valid)
        throwInvalidField(name, "is not a name of 1 to 64 letters, digits, '-', '_' or '.'");
    return text;
}

std::uint64_t numberOf(
    const Json& object, const std::string& path, const char* name, std::uint64_t min, std::uint64_t max)
{
    const Json& field = fieldOf(object, path, name);
    if (!field.is_number_unsigned())
        throwInvalidField(path + name, "is not a whole number of 0 or more");
    const auto number = field.get<std::uint64_t>();
    if (number < min || number > max)
        throwInvalidField(path + name, "is not between " + std::to_string(min) + " and " + std::to_string(max));
    return number;
}

std::string addressOf(const Json& object, const char* name)
{
    std::string text = textOf(object, name);
    if (!isLeafAddress(text))
        throwInvalidField(name, "is not IP:PORT: " + text.substr(0, maxNameBytes));
    return text;
}

std::vector<ShardVersion> versionsOf(const Json& object)
{
    const Json& list = fieldOf(object, "", "versions");
    if (!list.is_array() || list.size() > maxVersions)
        throwInvalidField("versions", "is not a list of at most " + std::to_string(maxVersions) + " entries");
    std::vector<ShardVersion> versions;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string path = "versions[" + std::to_string(i) + "].";
        if (!list[i].is_object())
            throwInvalidField(path.substr(0, path.size() - 1), "is not an object");
        ShardVersion it;
        it.version = numberOf(list[i], path, "version", 1, UINT64_MAX);
        it.shardCount = static_cast<std::uint32_t>(numberOf(list[i], path, "of", 1, maxShards));
        it.shard = static_cast<std::uint32_t>(numberOf(list[i], path, "shard", 0, maxShards));
        if (it.shard >= it.shardCount)
            throwInvalidField(path + "shard", "is not below `of`");
        if (std::any_of(
                versions.begin(), versions.end(), [&](const auto& other) { return other.version == it.version; }))
            throwInvalidField(path + "version", "is listed twice");
        versions.push_back(it);
    }
    return versions;
}

bool flagOf(const Json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end())
        return false;
    if (!it->is_boolean())
        throwInvalidField(name, "is not true or false");
    return it->get<bool>();
}

} // namespace

bool isLeafAddress(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return false;
    in_addr host {};
    unsigned port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data() + colon + 1, end, port);
    return inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &host) == 1 && ec == std::errc()
        && stop == end && port > 0 && port <= 65535 && host.s_addr != INADDR_ANY;
}

Announcement parseAnnouncement(std::string_view json)
{
    if (json.size() > maxAnnouncementBytes)
        throw Error(ErrorKind::RequestTooLarge, "announcement: the body is too large");
    const Json object = Json::parse(json, nullptr, false);
    if (!object.is_object())
        throwInvalidField("body", "is not a JSON object");
    Announcement announcement;
    announcement.leaf = nameOf(object, "leaf");
    announcement.service = nameOf(object, "service");
    announcement.boot = numberOf(object, "", "boot", 0, UINT64_MAX);
    announcement.sequence = numberOf(object, "", "seq", 0, UINT64_MAX);
    announcement.zone = nameOf(object, "zone");
    announcement.address = addressOf(object, "address");
    announcement.slots = static_cast<std::uint32_t>(numberOf(object, "", "slots", 1, maxSlots));
    announcement.connections = static_cast<std::uint32_t>(numberOf(object, "", "connections", 1, maxConnections));
    announcement.versions = versionsOf(object);
    announcement.draining = flagOf(object, "draining");
    return announcement;
}

std::string renderAnnouncement(const Announcement& announcement)
{
    Json versions = Json::array();
    for (const ShardVersion& it : announcement.versions)
        versions.push_back({ { "version", it.version }, { "shard", it.shard }, { "of", it.shardCount } });
    const Json object { { "leaf", announcement.leaf }, { "service", announcement.service },
        { "boot", announcement.boot }, { "seq", announcement.sequence }, { "zone", announcement.zone },
        { "address", announcement.address }, { "slots", announcement.slots },
        { "connections", announcement.connections }, { "versions", std::move(versions) },
        { "draining", announcement.draining } };
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace citronplank
