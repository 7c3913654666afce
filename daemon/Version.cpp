#include "daemon/Version.h"

namespace citronplank {

const char* versionText() { return "0.1.0"; }

} // namespace citronplank
