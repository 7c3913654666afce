// What is running: the version of the project and the sources of the program.
#pragma once

namespace citronplank {

/// Version of the project. Thread safe.
const char* versionText();
/// First 16 hexadecimal digits of a digest of the sources that the program was built from. `cmake` prints that of a
/// checkout. Thread safe.
const char* sourcesDigest();

} // namespace citronplank
