#pragma once

namespace citronplank {

/// Version of the daemon and the tool, as printed by --version. Thread safe.
const char* versionText();

} // namespace citronplank
