// Text output of the command-line tool. Every function is thread safe.
#pragma once

#include "tool/Tool.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace citronplank {

/// Text of a query's answer: index version, coverage, missing shards, then one item per line. Precondition: the answer
/// is a JSON object.
std::string renderQueryAnswer(const nlohmann::json&);
/// One line of text for an error response {error, message, retry, outcome}, or with the HTTP status if the response has
/// another form.
std::string renderErrorAnswer(const nlohmann::json&, int httpStatus);
/// Text of an explanation of where a request would go: the fields of the route, then one line for each leaf.
std::string renderExplanation(const nlohmann::json&);
/// Indented "name: value" lines of any JSON value.
std::string renderTree(const nlohmann::json&);
/// Whether a query's answer covers all shards. False if it does not state its coverage.
bool isWhole(const nlohmann::json& answer);

} // namespace citronplank
