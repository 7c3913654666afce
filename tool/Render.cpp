#include "tool/Render.h"

#include <nlohmann/json.hpp>

namespace citronplank {

namespace {

using Json = nlohmann::json;

/// A string without quotes, or another value as JSON on one line. Replaces invalid UTF-8.
std::string plainText(const Json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Text of a field; "?" if it is absent.
std::string fieldText(const Json& object, const char* name)
{
    const auto it = object.find(name);
    return it == object.end() ? "?" : plainText(*it);
}

void appendTree(std::string& text, const Json& value, std::size_t depth)
{
    const std::string indent(depth * 2, ' ');
    std::size_t index = 0;
    for (const auto& item : value.items()) {
        const std::string label = value.is_array() ? "[" + std::to_string(index++) + "]" : item.key();
        text.append(indent).append(label).append(":");
        if (item.value().is_structured() && !item.value().empty()) {
            text += "\n";
            appendTree(text, item.value(), depth + 1);
        } else {
            text.append(" ").append(plainText(item.value())).append("\n");
        }
    }
}

} // namespace

std::string renderTree(const Json& value)
{
    if (!value.is_structured() || value.empty())
        return plainText(value) + "\n";
    std::string text;
    appendTree(text, value, 0);
    return text;
}

std::string renderQueryAnswer(const Json& answer)
{
    const Json coverage = answer.value("coverage", Json::object());
    std::string text = "index version " + fieldText(answer, "index_version") + ", "
        + (isWhole(answer) ? "complete: " : "PARTIAL: ") + fieldText(coverage, "answered") + " of "
        + fieldText(coverage, "total") + " shards\n";
    const Json missing = coverage.value("missing", Json::array());
    for (const Json& it : missing)
        text.append("missing shard ")
            .append(fieldText(it, "shard"))
            .append(": ")
            .append(fieldText(it, "reason"))
            .append("\n");
    const Json items = answer.value("items", Json::array());
    for (const Json& it : items)
        text.append(plainText(it)).append("\n");
    return text;
}

std::string renderErrorAnswer(const Json& answer, int httpStatus)
{
    if (!answer.is_object() || !answer.contains("error"))
        return "HTTP status " + std::to_string(httpStatus) + " without an error message\n";
    return fieldText(answer, "error") + ": " + fieldText(answer, "message")
        + " (outcome: " + fieldText(answer, "outcome") + ", retry: " + fieldText(answer, "retry") + ")\n";
}

bool isWhole(const Json& answer)
{
    const auto coverage = answer.find("coverage"); // the end for a value that is no object
    return coverage != answer.end() && coverage->is_object() && coverage->value("whole", false);
}

std::string renderExplanation(const Json& answer)
{
    std::string text;
    for (const auto& item : answer.items()) {
        if (item.key() != "services")
            text.append(item.key()).append(": ").append(plainText(item.value())).append("\n");
    }
    const auto services = answer.value("services", Json::array());
    for (const auto& service : services) {
        text += "service " + fieldText(service, "service") + ": choice=" + fieldText(service, "choice")
            + " extra_requests_left=" + fieldText(service, "extra_requests_left");
        for (const char* name : { "weight", "all_paused_for_ms" }) {
            if (service.contains(name))
                text.append(" ").append(name).append("=").append(fieldText(service, name));
        }
        text += "\n";
        for (const auto& leaf : service.value("leaves", Json::array())) {
            text += "  " + fieldText(leaf, "leaf");
            for (const auto& item : leaf.items()) {
                if (item.key() != "leaf")
                    text.append(" ").append(item.key()).append("=").append(plainText(item.value()));
            }
            text += "\n";
        }
    }
    return text;
}

} // namespace citronplank
