// JSON of the callers' port: requests in, answers and errors out. See docs/design.md, sections 6 and 7.
#pragma once

#include "citronplank.h"

namespace citronplank {

constexpr std::size_t maxNameLength = 128;      // of a service, operation, customer or routing key
constexpr std::size_t maxRequestKeyLength = 96; // the key is stored in the control log
constexpr milliseconds maxDeadline { 10'000 };

/// Parses the body of POST /query. An absent deadline is zero, which stands for the service's deadline. Throws
/// Error(BadRequest) that names the field. Thread safe.
Query parseQuery(std::string_view body);

/// Parses the body of POST /request; `key` is the Request-Key header. Throws Error(KeyMissing) or Error(BadRequest).
/// Thread safe.
KeyedRequest parseKeyedRequest(std::string_view key, std::string_view body);

/// {index_version, coverage, items}. The items of all parts stand in shard order. Precondition: every part passed
/// `isItemList`. Thread safe.
std::string renderAnswer(const QueryAnswer&);

/// {error, message, retry, outcome}. Thread safe.
std::string renderError(ErrorKind, std::string_view message);

/// {outcome, result}: the answer to a keyed request that ran. Thread safe.
std::string renderKeyedAnswer(std::string_view body);

/// Whether a part's body is a JSON array. One malformed body would make the whole answer unreadable. Thread safe.
bool isItemList(std::string_view body);

} // namespace citronplank
