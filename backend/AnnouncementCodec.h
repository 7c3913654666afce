// JSON encoding of announcements, the messages by which leaves register with the daemons.
#pragma once

#include "citronplank.h"

namespace citronplank {

constexpr std::size_t maxAnnouncementBytes = std::size_t { 64 } << 10U;

/// Whether the text is an IPv4 address and port to which a connection can be opened, such as "10.0.0.7:9000".
/// Thread safe.
bool isLeafAddress(std::string_view text);

/// Parses an announcement. Throws Error(BadRequest) whose message names the first missing or invalid field, or
/// Error(RequestTooLarge) above `maxAnnouncementBytes`. Unknown fields are ignored, so that newer leaves can register
/// with older daemons. The message has no remaining warm-up time; `warmupLeft` is 0. Thread safe.
Announcement parseAnnouncement(std::string_view json);
/// Renders an announcement as JSON, without `warmupLeft`. Thread safe.
std::string renderAnnouncement(const Announcement&);

} // namespace citronplank
