#pragma once

#include "tool/Tool.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace citronplank {

/// Human-readable text of a query's answer: version, coverage, missing shards, then one item per line.
std::string renderQueryAnswer(const nlohmann::json&);
/// One line of text for an error response {error, message, retry, outcome}.
std::string renderErrorAnswer(const nlohmann::json&, int httpStatus);
/// Indented "name: value" lines of any JSON value.
std::string renderTree(const nlohmann::json&);
/// Whether a query's answer covers all shards.
bool isWhole(const nlohmann::json& answer);

} // namespace citronplank
