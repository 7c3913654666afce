#pragma once

#include "tool/Tool.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace citronplank {

/// Text of a query's answer for people: version, coverage, missing shards, then one item per line.
std::string renderQueryAnswer(const nlohmann::json&);
/// One line for an error answer {error, message, retry, outcome}.
std::string renderErrorAnswer(const nlohmann::json&, int httpStatus);
/// Indented "name: value" lines of any JSON value.
std::string renderTree(const nlohmann::json&);
/// True when a query's answer covers all shards.
bool isWhole(const nlohmann::json& answer);

} // namespace citronplank
