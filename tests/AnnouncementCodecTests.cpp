#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "backend/AnnouncementCodec.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace citronplank;

namespace {

const Announcement sample { "loandesk-3a", "loandesk", "atl", "10.0.0.7:9000", 17, 4, 2, 25,
    { { 6, 3, 20 }, { 7, 4, 21 } }, true };

/// The sample with one field replaced by a JSON value, or removed when the value is empty.
std::string changed(const char* pointer, const std::string& value)
{
    nlohmann::json object = nlohmann::json::parse(renderAnnouncement(sample));
    const nlohmann::json::json_pointer path(pointer);
    if (value.empty())
        object.at(path.parent_pointer()).erase(path.back());
    else
        object[path] = nlohmann::json::parse(value);
    return object.dump();
}

std::string reasonOf(const std::string& json)
{
    try {
        parseAnnouncement(json);
    } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::BadRequest);
        return error.what();
    }
    return "accepted";
}

} // namespace

// Guards against a field that is lost or swapped between text and structure.
TEST_CASE("an announcement survives the codec")
{
    const Announcement parsed = parseAnnouncement(renderAnnouncement(sample));
    CHECK(parsed.leaf == sample.leaf);
    CHECK(parsed.service == sample.service);
    CHECK(parsed.zone == sample.zone);
    CHECK(parsed.address == sample.address);
    CHECK(parsed.boot == 17);
    CHECK(parsed.sequence == 4);
    CHECK(parsed.slots == 2);
    CHECK(parsed.connections == 25);
    CHECK(parsed.versions == sample.versions);
    CHECK(parsed.draining);
    CHECK_FALSE(parseAnnouncement(changed("/draining", "")).draining);
    CHECK(parseAnnouncement(changed("/unknown", "1")).leaf == sample.leaf);
}

// Guards against a wrong announcement that enters the directory, and against a message that does not say which field
// the operator of the leaf has to mend.
TEST_CASE("each wrong field is refused by name")
{
    struct Wrong {
        const char* pointer;
        const char* value;
        const char* named;
    };
    const std::vector<Wrong> cases { { "/leaf", "", "leaf is missing" }, { "/leaf", "\"\"", "leaf is not a name" },
        { "/leaf", "\"a b\"", "leaf is not a name" }, { "/leaf", "7", "leaf is not a string" },
        { "/service", "\"a\\r\\nb\"", "service is not a name" }, { "/zone", "\"a/b\"", "zone is not a name" },
        { "/address", "\"host:9000\"", "address is not IP:PORT" }, { "/address", "\"10.0.0.7\"", "address is not" },
        { "/address", "\"10.0.0.7:0\"", "address is not" }, { "/address", "\"10.0.0.7:70000\"", "address is not" },
        { "/address", "\"0.0.0.0:80\"", "address is not" }, { "/address", "\"10.0.0.7:80x\"", "address is not" },
        { "/boot", "-1", "boot is not a whole number" }, { "/seq", "1.5", "seq is not a whole number" },
        { "/slots", "0", "slots is not between 1 and 1024" }, { "/slots", "2000", "slots is not between" },
        { "/connections", "0", "connections is not between" }, { "/versions", "{}", "versions is not a list" },
        { "/versions", "[3]", "versions[0] is not an object" },
        { "/versions/1/shard", "21", "versions[1].shard is not" }, { "/versions/1/of", "0", "versions[1].of is not" },
        { "/versions/1/of", "4294967297", "versions[1].of is not" },
        { "/versions/1/version", "6", "versions[1].version is listed twice" },
        { "/versions/0/version", "", "versions[0].version is missing" }, { "/draining", "1", "draining is not" } };
    for (const Wrong& it : cases) {
        CAPTURE(it.named);
        CHECK(reasonOf(changed(it.pointer, it.value)).find(it.named) != std::string::npos);
    }
    CHECK(reasonOf("[]") == "announcement: body is not a JSON object");
    CHECK(reasonOf("{") == "announcement: body is not a JSON object");
    CHECK_THROWS_AS(parseAnnouncement(std::string(maxAnnouncementBytes + 1, ' ')), Error);
}
