// Compression of large messages between daemons, by zlib.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// Thread safe. Throws Error(Internal) when there is not enough memory.
std::string compressed(std::string_view bytes);
/// The bytes that were given to compressed(). Thread safe. Throws Error(BadRequest) when `bytes` is damaged or would
/// become larger than `maxBytes`.
std::string decompressed(std::string_view bytes, std::size_t maxBytes);

} // namespace citronplank
