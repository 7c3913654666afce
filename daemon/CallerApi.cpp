#include "daemon/CallerApi.h"

#include <nlohmann/json.hpp>

namespace citronplank {

namespace {

using nlohmann::json;

json parseObject(std::string_view body)
{
    auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        throw Error(ErrorKind::BadRequest, "the body is not a JSON object");
    return parsed;
}

std::string textField(const json& object, const char* name, bool required, std::size_t maxLength)
{
    auto it = object.find(name);
    if (it == object.end()) {
        if (required)
            throw Error(ErrorKind::BadRequest, std::string("the field ") + name + " is missing");
        return {};
    }
    if (!it->is_string())
        throw Error(ErrorKind::BadRequest, std::string("the field ") + name + " is not a string");
    auto text = it->get<std::string>();
    if (text.size() > maxLength || (required && text.empty()))
        throw Error(ErrorKind::BadRequest,
            std::string("the field ") + name + " must have 1 to " + std::to_string(maxLength) + " bytes");
    return text;
}

milliseconds deadlineField(const json& object)
{
    auto it = object.find("deadline_ms");
    if (it == object.end())
        return milliseconds { 0 };
    if (!it->is_number_integer() || *it < 1 || *it > maxDeadline.count())
        throw Error(ErrorKind::BadRequest,
            "the field deadline_ms must be an integer from 1 to " + std::to_string(maxDeadline.count()));
    return milliseconds(it->get<std::int64_t>());
}

/// The payload for the leaves: a string is passed as it is, any other value as JSON text.
std::string bodyField(const json& object)
{
    auto it = object.find("body");
    if (it == object.end())
        return {};
    return it->is_string() ? it->get<std::string>() : it->dump();
}

void refuseUnknownFields(const json& object, std::initializer_list<std::string_view> known)
{
    for (const auto& [name, value] : object.items()) {
        if (std::find(known.begin(), known.end(), name) == known.end())
            throw Error(ErrorKind::BadRequest, "unknown field " + name.substr(0, maxNameLength));
    }
}

} // namespace

Query parseQuery(std::string_view body)
{
    auto object = parseObject(body);
    refuseUnknownFields(object, { "service", "operation", "customer", "deadline_ms", "body" });
    Query query;
    query.service = textField(object, "service", true, maxNameLength);
    query.operation = textField(object, "operation", true, maxNameLength);
    query.customer = textField(object, "customer", false, maxNameLength);
    query.deadline = deadlineField(object);
    query.body = bodyField(object);
    return query;
}

KeyedRequest parseKeyedRequest(std::string_view key, std::string_view body)
{
    if (key.empty())
        throw Error(ErrorKind::KeyMissing, "a request that changes something needs the header Request-Key");
    if (key.size() > maxRequestKeyLength)
        throw Error(ErrorKind::BadRequest,
            "the header Request-Key is longer than " + std::to_string(maxRequestKeyLength) + " bytes");
    auto object = parseObject(body);
    refuseUnknownFields(object, { "service", "operation", "customer", "routing", "deadline_ms", "body" });
    KeyedRequest request;
    request.key = key;
    request.service = textField(object, "service", true, maxNameLength);
    request.operation = textField(object, "operation", true, maxNameLength);
    request.customer = textField(object, "customer", false, maxNameLength);
    request.routing = textField(object, "routing", false, maxNameLength);
    request.deadline = deadlineField(object);
    request.body = bodyField(object);
    return request;
}

std::string renderAnswer(const QueryAnswer& answer)
{
    std::string items;
    for (std::string_view part : answer.parts) {
        part.remove_prefix(part.find('[') + 1);
        part.remove_suffix(part.size() - part.rfind(']'));
        if (part.find_first_not_of(" \t\r\n") == std::string_view::npos)
            continue;
        if (!items.empty())
            items += ',';
        items += part;
    }
    json missing = json::array();
    for (const auto& it : answer.coverage.missing)
        missing.push_back({ { "shard", it.shard }, { "reason", missingReasonName(it.reason) } });
    json coverage { { "total", answer.coverage.total }, { "answered", answer.coverage.answered },
        { "whole", answer.coverage.isWhole() }, { "missing", std::move(missing) } };
    return "{\"index_version\":" + std::to_string(answer.version) + ",\"coverage\":" + coverage.dump() + ",\"items\":["
        + items + "]}";
}

std::string renderError(ErrorKind kind, std::string_view message)
{
    const auto& answer = errorAnswer(kind);
    json object { { "error", answer.name }, { "message", message }, { "retry", retryAdviceName(answer.retry) },
        { "outcome", outcomeName(answer.outcome) } };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string renderKeyedAnswer(std::string_view body)
{
    auto result = json::parse(body, nullptr, false);
    json object { { "outcome", outcomeName(Outcome::Ran) } };
    object["result"] = result.is_discarded() ? json(body) : std::move(result);
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool isItemList(std::string_view body)
{
    auto first = body.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && body[first] == '[' && json::accept(body);
}

} // namespace citronplank
