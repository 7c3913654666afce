// JSON encoding of announcements, the messages by which leaves register with the daemons.
#pragma once

#include "citronplank.h"

namespace citronplank {

constexpr std::size_t maxAnnouncementBytes = std::size_t { 64 } << 10U;

/// Parses an announcement. Throws Error(BadRequest) whose message names the first missing or invalid field. Unknown
/// fields are ignored, so that newer leaves can register with older daemons. Thread safe.
Announcement parseAnnouncement(std::string_view json);
/// Renders an announcement as JSON. Thread safe.
std::string renderAnnouncement(const Announcement&);

} // namespace citronplank
