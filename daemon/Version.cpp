#include "daemon/Version.h"

namespace citronplank {

const char* versionText() { return "0.1.0"; }

const char* sourcesDigest() { return CITRONPLANK_SOURCES; }

} // namespace citronplank
