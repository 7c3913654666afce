// Compression of large messages between daemons with zlib.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// Compresses a message. Thread safe. Throws Error(Internal) if zlib fails, for example without enough memory, or if
/// the message has 4 GiB or more.
std::string compressed(std::string_view bytes);
/// Decompresses the result of compressed(). Thread safe. Throws Error(BadRequest) if `bytes` is corrupt or the result
/// would be larger than `maxBytes`.
std::string decompressed(std::string_view bytes, std::size_t maxBytes);

} // namespace citronplank
