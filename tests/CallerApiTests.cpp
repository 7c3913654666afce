#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/CallerApi.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace citronplank;

// Guards against an empty shard that causes an extra comma and makes the whole answer invalid JSON.
TEST_CASE("items of all parts are merged into one valid list")
{
    QueryAnswer answer { 7, { 3, 3, {} }, { "[1,2]", " [ ] ", "[\"a]b\"]" } };
    auto parsed = nlohmann::json::parse(renderAnswer(answer));
    CHECK(parsed["items"] == nlohmann::json::parse(R"([1,2,"a]b"])"));
    CHECK(parsed["coverage"]["whole"] == true);
    CHECK(parsed["index_version"] == 7);
}

// Guards against a partial answer that is reported as whole.
TEST_CASE("missing shards are listed with their reason")
{
    QueryAnswer answer { 7, { 2, 1, { { 1, MissingReason::Crashed } } }, { "[1]" } };
    auto parsed = nlohmann::json::parse(renderAnswer(answer));
    CHECK(parsed["coverage"]["whole"] == false);
    CHECK(parsed["coverage"]["missing"][0]["shard"] == 1);
    CHECK(parsed["coverage"]["missing"][0]["reason"] == "crashed");
}

// Guards against invalid input that is accepted with a meaning the caller did not intend.
TEST_CASE("invalid requests are refused with the name of the field")
{
    auto refusal = [](const char* body) -> std::string {
        try {
            parseQuery(body);
        } catch (const Error& error) {
            return error.what();
        }
        return "";
    };
    CHECK(refusal("[]").find("JSON object") != std::string::npos);
    CHECK(refusal(R"({"operation":"list"})").find("service") != std::string::npos);
    CHECK(refusal(R"({"service":"a","operation":"list","deadline":5})").find("deadline") != std::string::npos);
    CHECK(refusal(R"({"service":"a","operation":"l","deadline_ms":0})").find("deadline_ms") != std::string::npos);
    CHECK(refusal(R"({"service":"a","operation":"l","deadline_ms":1.5})").find("deadline_ms") != std::string::npos);
    CHECK(refusal(R"({"service":"a","operation":"l","deadline_ms":20000})").find("deadline_ms") != std::string::npos);
    CHECK(refusal(R"({"service":"a","operation":"l"})").empty());
    CHECK_THROWS_AS(parseKeyedRequest("", R"({"service":"a","operation":"l"})"), Error);
}
