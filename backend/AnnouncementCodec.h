// JSON of announcements, the messages by which leaves make themselves known.
#pragma once

#include "citronplank.h"

namespace citronplank {

constexpr std::size_t maxAnnouncementBytes = std::size_t { 64 } << 10U;

/// The announcement in a JSON text. Throws Error(BadRequest) whose message names the first field that is missing or
/// wrong. Unknown fields are ignored, so that newer leaves can announce to older daemons. Thread safe.
Announcement parseAnnouncement(std::string_view json);
/// JSON text of an announcement. Thread safe.
std::string renderAnnouncement(const Announcement&);

} // namespace citronplank
