#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "platform/ConfigurationCodec.h"
#include "platform/ControlApi.h"
#include "platform/RequestProtocol.h"
#include "platform/Settings.h"
#include "query/RouteTable.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace citronplank;
using nlohmann::json;

namespace {

json validConfiguration()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"g","host":"a.example","path_prefix":"/g/","route_type":"idempotent","timeout_ms":400,
         "target_latency_ms":80,"priority":1,"gather":["s1","s2"],"max_attempts":2,"top_k":20,"min_coverage":0.89},
        {"name":"w","host":"a.example","path_prefix":"/w/","route_type":"non_idempotent","timeout_ms":1000,
         "weighted_backends":[{"service":"s1","weight":3},{"service":"s2","weight":1}]}],
        "services":[{"name":"s1","max_connections":25,"warmup_per_s":2.5},{"name":"s2","max_connections":25}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "unknown":{"field":1}})");
}

const json announcementBody = json::parse(R"({"service":"s1","address":"10.0.0.9:8080","zone":"atl","version":"v1",
    "slots":2,"state":"ready","warmup_left_ms":1500.5,"seq":4,"born":1700000000000})");

HttpRequest requestOf(std::vector<std::pair<std::string, std::string>> headers)
{
    return { "GET", "/g/x?y=1", std::move(headers), "" };
}

} // namespace

// Guards against a valid configuration that is refused, and against a field that is lost or stored in another one.
TEST_CASE("the fields of a configuration are decoded")
{
    auto configuration = platform::decodeConfiguration(validConfiguration().dump());
    CHECK(configuration.version == 7);
    REQUIRE(configuration.routes.size() == 2);
    const auto& gather = configuration.routes[0];
    CHECK(gather.shards == std::vector<std::string> { "s1", "s2" });
    CHECK(gather.objective == milliseconds(80));
    CHECK(gather.attempts == 2);
    CHECK(gather.idempotent);
    const auto& weighted = configuration.routes[1];
    CHECK_FALSE(weighted.idempotent);
    CHECK(weighted.attempts == 1);
    CHECK(weighted.targets[0].weight == 3);
    CHECK(configuration.services.at("s1").coldRequestsPerSecond == 2.5);
    CHECK(configuration.callerLimits.idleTimeout == milliseconds(15000));
}

// Guards against an invalid configuration that is accepted: truncated text, an unknown service, two routes with the
// same host and prefix, weights whose sum is 0, and a missing or malformed field.
TEST_CASE("an invalid configuration is refused")
{
    auto text = validConfiguration().dump();
    CHECK_THROWS_AS(platform::decodeConfiguration(text.substr(0, text.size() - 1)), Error);
    CHECK_THROWS_AS(platform::decodeConfiguration(text + "x"), Error);
    CHECK_THROWS_AS(platform::decodeConfiguration(""), Error);
    std::vector<std::function<void(json&)>> mutations {
        // Unknown services.
        [](json& it) { it["routes"][0]["gather"][1] = "s3"; },
        [](json& it) { it["routes"][1]["weighted_backends"][0]["service"] = "s3"; },
        // The host and path prefix of another route; host names are case insensitive.
        [](json& it) { it["routes"][1]["path_prefix"] = "/g/"; },
        [](json& it) { it["routes"][1]["path_prefix"] = "/g/", it["routes"][1]["host"] = "A.Example"; },
        // Weights whose sum is 0.
        [](json& it) {
            for (auto& target : it["routes"][1]["weighted_backends"])
                target["weight"] = 0;
        },
        // Missing and malformed fields.
        [](json& it) { it["routes"][0]["timeout_ms"] = 0; },
        [](json& it) { it["routes"][0].erase("timeout_ms"); },
        [](json& it) { it["routes"][0]["route_type"] = "other"; },
        [](json& it) { it.erase("version"); },
        [](json& it) { it["version"] = "8"; },
        [](json& it) { it["version"] = -1; },
        [](json& it) { it.erase("services"); },
        // A path prefix that does not end with a slash.
        [](json& it) { it["routes"][0]["path_prefix"] = "/g"; },
    };
    for (std::size_t i = 0; i < mutations.size(); ++i) {
        CAPTURE(i);
        auto mutated = validConfiguration();
        mutations[i](mutated);
        CHECK_THROWS_AS(platform::decodeConfiguration(mutated.dump()), Error);
    }
}

// Guards against customers that are lost or mixed up, and against a lookup that depends on their number.
TEST_CASE("customers and public routes are decoded, and each key finds its customer")
{
    auto object = validConfiguration();
    object["routes"][0]["public"] = true;
    for (int i = 0; i < 10000; ++i)
        object["tenants"].push_back({ { "name", "c" + std::to_string(i) },
            { "api_keys", { "key-" + std::to_string(i), "other-" + std::to_string(i) } } });
    object["tenants"][7].update({ { "rate_per_s", 2.5 }, { "burst", 4 }, { "priority", 3 } });
    object["tenants"][8].erase("api_keys");
    RouteTable table(platform::decodeConfiguration(object.dump()));
    const auto& configuration = table.configuration();
    CHECK(configuration.routes[0].isPublic);
    CHECK_FALSE(configuration.routes[1].isPublic);
    CHECK((*configuration.customers)[7].ratePerSecond == 2.5);
    CHECK((*configuration.customers)[7].burst == 4);
    CHECK((*configuration.customers)[7].priority == 3U);
    CHECK_FALSE((*configuration.customers)[6].priority);
    for (int i : { 0, 7, 9999 })
        CHECK(table.findCustomer("other-" + std::to_string(i)) == &(*configuration.customers)[i]);
    for (const auto& key : { std::string(), std::string("key-8"), std::string("c7"), std::string(100000, 'k') })
        CHECK(table.findCustomer(key) == nullptr);
}

// Guards against an empty list of customers that is taken for none, by which all routes would need no key.
TEST_CASE("an empty list of customers differs from an absent one")
{
    auto object = validConfiguration();
    CHECK_FALSE(platform::decodeConfiguration(object.dump()).customers);
    object["tenants"] = json::array();
    auto configuration = platform::decodeConfiguration(object.dump());
    REQUIRE(configuration.customers);
    CHECK(configuration.customers->empty());
    object["tenants"] = nullptr;
    CHECK_THROWS_AS(platform::decodeConfiguration(object.dump()), Error);
}

// Guards against a configuration that opens all routes because its list of customers is repeated, misspelled or in
// another place, and against a null that lifts a limit.
TEST_CASE("a configuration that leaves in doubt who may call is refused")
{
    const std::string list = R"([{"name":"c","api_keys":["k"]}])";
    auto with = [](const std::string& fields) {
        auto text = validConfiguration().dump();
        return text.substr(0, text.size() - 1) + "," + fields + "}";
    };
    CHECK(platform::decodeConfiguration(with("\"tenants\":" + list)).customers->size() == 1);
    for (const auto& fields : std::vector<std::string> { "\"Tenants\":" + list, "\"tenants \":" + list,
             "\"tenants_\":" + list, R"("access":{"tenants":)" + list + "}", "\"tenants\":" + list + R"(,"tenants":[])",
             R"("tenants":[{"name":"c","api_keys":["k"],"rate_per_s":null}])",
             R"("tenants":[{"name":"c","api_keys":["k"],"burst":null}])" }) {
        CAPTURE(fields);
        CHECK_THROWS_AS(platform::decodeConfiguration(with(fields)), Error);
    }
    auto text = validConfiguration().dump();
    text.insert(text.find("\"path_prefix\""), R"("public":false,"public":true,)");
    CHECK_THROWS_AS(platform::decodeConfiguration(text), Error);
}

// Guards against a field that has no effect and is passed over in silence, and against a key among the names.
TEST_CASE("the names of unknown fields are reported")
{
    auto object = validConfiguration();
    object["routes"][0]["homes"] = 1;
    object["tenants"] = json::parse(R"([{"name":"c","api_keys":["k"],"secret-key":1}])");
    CHECK(platform::decodeConfiguration(object.dump()).unknownFields
        == std::vector<std::string> { "routes.homes", "tenants.*", "unknown" });
}

// Guards against an ambiguous or empty key that is accepted, and against a key in an error message or log line.
TEST_CASE("invalid customers are refused without quoting a key")
{
    auto reasonFor = [](const json& customers) -> std::string {
        auto object = validConfiguration();
        object["tenants"] = customers;
        auto text = object.dump();
        try {
            platform::decodeConfiguration(text);
        } catch (const Error& error) {
            CHECK(std::string(error.what()).find("secret") == std::string::npos);
            CHECK(errorAnswer(error.kind()).httpStatus / 100 == 4);
            return error.what();
        }
        return {};
    };
    CHECK(reasonFor(json::parse(R"([{"name":"a"},{"name":"b","api_keys":["secret1"]}])")).empty());
    for (const char* invalid :
        { R"([{"name":"a","api_keys":["secret1"]},{"name":"b","api_keys":["secret1"]}])",
            R"([{"name":"a","api_keys":["secret1","secret1"]}])", R"([{"name":"a","api_keys":["secret1",""]}])",
            R"([{"name":"a"},{"name":"a"}])", R"([{"name":"a","api_keys":"secret1"}])", R"([{"api_keys":["secret1"]}])",
            R"([{"name":"a","rate_per_s":-1}])", R"([{"name":"a","priority":"secret"}])", R"({"secret":1})" }) {
        CAPTURE(invalid);
        CHECK_FALSE(reasonFor(json::parse(invalid)).empty());
    }
    // A syntax error within a key.
    auto text = validConfiguration().dump();
    text.insert(text.size() - 1, ",\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"secret\\x\"]}]");
    try {
        platform::decodeConfiguration(text);
        FAIL("accepted");
    } catch (const Error& error) {
        CHECK(std::string(error.what()).find("secret") == std::string::npos);
    }
}

// Guards against a key that reaches a leaf, and against a customer's name that the caller forges or suppresses.
TEST_CASE("the key is removed from a request, and the customer's name replaces the caller's")
{
    platform::RequestProtocol protocol;
    Announcement leaf;
    leaf.leaf = "i-1";
    auto request = requestOf({ { "authorization", "bearer  key 1 " }, { "tenant", "forged" }, { "Tenant", "forged" },
        { "Connection", "Tenant, X-Hop" }, { "Connection", "Tenant" }, { "X-Hop", "1" }, { "X-Kept", "2" } });
    CHECK(protocol.takeKey(request) == "key 1");
    protocol.setCustomer(request, "acme");
    CHECK(protocol.renderRequest(request, leaf, milliseconds(250))
        == "GET /g/x?y=1 HTTP/1.1\r\nX-Kept: 2\r\nTenant: acme\r\nDeadline-Ms: 250\r\nExpect-Instance: i-1\r\n\r\n");
    protocol.setCustomer(request, {});
    CHECK(request.header("Tenant").empty());
    for (const char* value : { "Basic key", "Bearer", "Bearer ", "Bearerkey", "", "key" }) {
        auto other = requestOf({ { "Authorization", value } });
        CHECK(protocol.takeKey(other).empty());
        CHECK(other.headers.empty());
    }
    auto two = requestOf({ { "Authorization", "Bearer a" }, { "Authorization", "Bearer a" } });
    CHECK(protocol.takeKey(two).empty());
    CHECK(two.headers.empty());
}

// Guards against an invalid announcement that is accepted and puts a leaf that cannot be used into the directory.
TEST_CASE("an announcement is decoded, and one with a missing or invalid field is refused")
{
    auto leaf = platform::decodeAnnouncement("i-1", announcementBody.dump());
    CHECK(leaf.leaf == "i-1");
    CHECK(leaf.boot == 1700000000000);
    CHECK(leaf.sequence == 4);
    CHECK(leaf.warmupLeft == milliseconds(1500));
    CHECK_FALSE(leaf.draining);
    for (const auto& mutation :
        std::vector<std::pair<std::string, json>> { { "service", 3 }, { "address", "x" }, { "zone", nullptr },
            { "slots", "2" }, { "state", "asleep" }, { "seq", -1 }, { "born", 1.5 }, { "warmup_left_ms", "soon" } }) {
        const auto& field = mutation.first;
        CAPTURE(field);
        auto body = announcementBody;
        body[field] = mutation.second;
        CHECK_THROWS_AS(platform::decodeAnnouncement("i-1", body.dump()), Error);
        if (field == "born" || field == "warmup_left_ms")
            continue;
        body.erase(field);
        CHECK_THROWS_AS(platform::decodeAnnouncement("i-1", body.dump()), Error);
    }
    CHECK_THROWS_AS(platform::decodeAnnouncement("i-1", "{\"service\":"), Error);
}

// Guards against an entry of another writer that ends the process, overflows a number or hides another leaf.
TEST_CASE("an odd announcement is refused")
{
    auto refused = [](const std::string& body) {
        CAPTURE(body.substr(0, 200));
        CHECK_THROWS_AS(platform::decodeAnnouncement("i-1", body), Error);
    };
    auto with = [](const char* field, const std::string& value) {
        auto text = announcementBody.dump();
        auto object = announcementBody;
        object[field] = "@";
        text = object.dump();
        return text.replace(text.find("\"@\""), 3, value);
    };
    platform::decodeAnnouncement("i-1", with("warmup_left_ms", "2500.5"));
    for (const char* address : { "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999999999999", "10.0.0.9:",
             "10.0.0.9", "10.0.0.9:80:80", "10.0.0.9:80x", "10.0.0.9:-1", ":80", "host:80", "0.0.0.0:80", "" })
        refused(with("address", '"' + std::string(address) + '"'));
    for (const char* number : { "-1", "0.5", "1e300", "18446744073709551616", "4294967296", "\"2\"", "[]", "null" })
        refused(with("slots", number));
    refused(with("slots", "0"));
    for (const char* number : { "-1", "0.5", "1e300", "18446744073709551616", "\"4\"" }) {
        refused(with("seq", number));
        refused(with("born", number));
    }
    refused(with("born", "18446744073709551615")); // would take over the address for good
    for (const char* number : { "1e300", "1e18", "9223372036854775808", "\"1\"", "[1]" })
        refused(with("warmup_left_ms", number));
    refused(with("state", "\"lost\""));
    refused(with("zone", "\"\""));
    refused(with("service", "\"" + std::string(5000, 's') + "\""));
    refused(with("service", "\"a\\nb\"")); // would forge a line of the log
    for (int depth : { 1000, 30000, 500000 }) {
        refused(std::string(depth, '['));
        refused(std::string(depth, '[') + std::string(depth, ']'));
        refused(with("extra", std::string(depth, '[') + std::string(depth, ']')) + "}");
        std::string nested;
        for (int i = 0; i < depth; ++i)
            nested += "{\"a\":";
        refused(nested);
    }
    for (const char* body : { "", "null", "1", "[]", "{}", "\"x\"", "\xff\xfe", "{\"service\":" })
        refused(body);
}

// Guards against hop-by-hop headers, or headers forged by the caller, that reach a leaf.
TEST_CASE("a request is sent to a leaf without hop-by-hop headers and with the headers of this instance")
{
    platform::RequestProtocol protocol;
    auto request = requestOf({ { "Host", "a.example" }, { "Request-Id", "r1" }, { "Deadline-Ms", "900" },
        { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "X-Kept", "2" }, { "Expect-Instance", "forged" },
        { "Keep-Alive", "timeout=5" } });
    Announcement leaf;
    leaf.leaf = "i-1";
    CHECK(protocol.renderRequest(request, leaf, milliseconds(250))
        == "GET /g/x?y=1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nX-Kept: 2\r\nDeadline-Ms: 250\r\n"
           "Expect-Instance: i-1\r\n\r\n");
    request.body = "abc";
    CHECK(protocol.renderRequest(request, leaf, milliseconds(250)).ends_with("Content-Length: 3\r\n\r\nabc"));
    auto caller = protocol.readCallerInfo(request);
    CHECK(caller.id == "r1");
    CHECK(caller.remaining == milliseconds(900));
    CHECK_FALSE(protocol.readCallerInfo(requestOf({})).remaining);
}

// Guards against a response to another request, or one without a signature, that is taken for the answer, and against a
// request that is sent again because its attempt wrongly counts as not run.
TEST_CASE("a leaf's response maps to the status of the attempt")
{
    using Status = AttemptResult::Status;
    platform::RequestProtocol protocol;
    CallerInfo caller { "r1", {} };
    auto statusOf = [&](int status, std::vector<std::pair<std::string, std::string>> headers,
                        LeafReply::End end = LeafReply::End::Complete) {
        LeafReply reply;
        reply.end = end;
        reply.status = status;
        reply.headers = std::move(headers);
        return protocol.readReply(reply, caller).status;
    };
    CHECK(statusOf(200, { { "Server-Stamp", "s" }, { "Request-Id", "r1" } }) == Status::Answered);
    CHECK(statusOf(200, { { "Server-Stamp", "s" } }) == Status::Answered);
    CHECK(statusOf(200, { { "Server-Stamp", "s" }, { "Request-Id", "r0" } }) == Status::Lost);
    CHECK(statusOf(200, { { "Request-Id", "r1" } }) == Status::Lost);
    CHECK(statusOf(200, { { "Server-Stamp", "s" }, { "Content-Encoding", "gzip" } }) == Status::Lost);
    CHECK(statusOf(500, { { "Server-Stamp", "s" } }) == Status::Failed);
    CHECK(statusOf(503, { { "Not-Executed", "1" } }) == Status::Refused);
    CHECK(statusOf(503, {}) == Status::Failed);
    CHECK(statusOf(421, {}) == Status::WrongLeaf);
    CHECK(statusOf(200, {}, LeafReply::End::Lost) == Status::Lost);
    CHECK(statusOf(0, {}, LeafReply::End::Malformed) == Status::Lost);
    CHECK(statusOf(0, {}, LeafReply::End::NotWritten) == Status::NotSent);
    CHECK(statusOf(0, {}, LeafReply::End::NoFreeConnection) == Status::Busy);
}

// Guards against an incomplete response that the caller takes for a complete one, and against a retry delay in another
// unit than seconds.
// Guards against a pause that is missed, or invented from a value that is no number of seconds.
TEST_CASE("what a leaf says about itself is read from its headers")
{
    platform::RequestProtocol protocol;
    auto notice = [&](int status, std::vector<std::pair<std::string, std::string>> headers) {
        LeafReply reply;
        reply.end = LeafReply::End::Complete;
        reply.status = status;
        reply.headers = std::move(headers);
        return protocol.readNotice(reply);
    };
    for (int status : { 200, 404, 500, 503 })
        CHECK(notice(status, { { "server-leaving", " 1 " } }).isLeaving);
    CHECK(notice(421, { { "Server-Leaving", "1" } }).isEmpty()); // another leaf
    for (const char* value : { "0", "", "true" })
        CHECK_FALSE(notice(200, { { "Server-Leaving", value } }).isLeaving);
    CHECK(notice(503, { { "retry-after", "2" } }).pause == milliseconds(2000));
    CHECK(notice(503, { { "Retry-After", "0.25" } }).pause == milliseconds(250));
    CHECK(notice(503, { { "Retry-After", " 1.0 " } }).pause == milliseconds(1000));
    CHECK(notice(503, { { "Retry-After", "1" }, { "Retry-After", "3" }, { "Retry-After", "x" } }).pause
        == milliseconds(3000));
    CHECK(notice(503, { { "Retry-After", "99999999999999999999" } }).pause == std::chrono::hours(24));
    for (const char* value :
        { "", "-1", "-0", "nan", "inf", "1e400", "soon", "1s", "0x10", "Fri, 31 Dec 2027 23:59:59 GMT", "1,2" })
        CHECK_FALSE(notice(503, { { "Retry-After", value } }).pause);
    for (int status : { 200, 429, 500 })
        CHECK_FALSE(notice(status, { { "Retry-After", "2" } }).pause);
}

TEST_CASE("a merged response has the signatures and the number of missing parts, a refusal has Retry-After")
{
    platform::RequestProtocol protocol;
    RouteOutcome merged;
    merged.kind = RouteOutcome::Kind::Merged;
    merged.answer.status = 200;
    merged.signatures = { "p1", "p2" };
    merged.missing = 1;
    auto answer = protocol.renderOutcome(merged, { "r1", {} });
    CHECK(answer.headers[0] == std::pair<std::string, std::string>("Part-Stamps", "p1, p2"));
    CHECK(answer.headers[1] == std::pair<std::string, std::string>("Missing-Parts", "1"));
    RouteOutcome refused;
    refused.error = ErrorKind::Overloaded;
    refused.retryAfter = milliseconds(250);
    answer = protocol.renderOutcome(refused, { "r1", {} });
    CHECK(answer.status == 503);
    CHECK(answer.headers[0] == std::pair<std::string, std::string>("Retry-After", "0.250"));
}

// Guards against a setting that is misread or ignored, a start that fails because the template is newer than the
// program, and a second cluster that is created by a member that is not a seed.
TEST_CASE("settings are parsed, unknown ones ignored, invalid ones named")
{
    std::string text = "instance 10.0.0.1\nzone atl\nregion georgia\nseeds 10.0.0.1:80,10.0.0.2:80\nbootstrap true\n"
                       "data-dir /data/x\ncaller-address \nready-address \ncontrol-address 10.0.0.1:80\n"
                       "first-internal-port 7380\nannouncement-interval-ms 1200\ntolerated-members 2\ngrace-time-s 6\n"
                       "extra-ratio 0.2\nsomething new\n";
    auto settings = platform::parseSettings(text);
    CHECK(settings.node.linkAddress == "10.0.0.1:7381");
    CHECK(settings.node.seeds == std::vector<std::string> { "10.0.0.1:7380", "10.0.0.2:7380" });
    CHECK(settings.node.voterTarget == 5);
    CHECK(settings.node.bootstrap);
    CHECK(settings.node.isControlMember());
    CHECK(settings.callerAddress.empty());
    CHECK_FALSE(settings.quota.isEnabled());
    CHECK_FALSE(platform::parseSettings(text + "quota-window-s \nquota-overage \nquota-slack \n").quota.isEnabled());
    auto limited = platform::parseSettings(text + "quota-window-s 2.5\nquota-overage 0.1\nquota-slack 20\n").quota;
    CHECK(limited.window == milliseconds(2500));
    CHECK(limited.overage == 0.1);
    CHECK(limited.slack == 20);
    CHECK(settings.node.announcementTimeout == milliseconds(6000));
    // A member that is not a seed never creates a cluster.
    CHECK_FALSE(platform::parseSettings("instance 10.0.0.9\n" + text.substr(text.find('\n') + 1)).node.bootstrap);
    CHECK_THROWS_WITH_AS(platform::parseSettings("zone atl\n"), "the setting instance is missing", Error);
    CHECK_THROWS_AS(platform::parseSettings(text + "grace-time-s soon\n"), Error);
    CHECK_THROWS_AS(platform::readSettingsFile("/nonexistent"), Error);
}
