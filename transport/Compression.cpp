#include "transport/Compression.h"

#include <array>
#include <zlib.h>

namespace citronplank {

namespace {

constexpr int level = 1;               // a configuration shrinks to an eighth; higher levels take more time for little
constexpr std::size_t lengthBytes = 4; // of the original, little endian, in front
constexpr unsigned bitsPerByte = 8;
constexpr std::size_t maxLength = 0xFFFFFFFF;

} // namespace

std::string compressed(std::string_view bytes)
{
    auto n = compressBound(bytes.size());
    std::string out(lengthBytes + n, '\0');
    for (std::size_t i = 0; i < lengthBytes; ++i)
        out[i] = static_cast<char>(bytes.size() >> (bitsPerByte * i));
    // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast): zlib's interface
    if (bytes.size() > maxLength
        || compress2(reinterpret_cast<Bytef*>(out.data() + lengthBytes), &n,
               reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), level)
            != Z_OK)
        throw Error(ErrorKind::Internal, "a message cannot be compressed");
    // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
    out.resize(lengthBytes + n);
    return out;
}

std::string decompressed(std::string_view bytes, std::size_t maxBytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes && i < bytes.size(); ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (bitsPerByte * i);
    if (bytes.size() < lengthBytes || length > maxBytes)
        throw Error(ErrorKind::BadRequest, "malformed or too large compressed message");
    std::string out(length, '\0');
    uLongf n = length;
    // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast): zlib's interface
    if (uncompress(reinterpret_cast<Bytef*>(out.data()), &n, reinterpret_cast<const Bytef*>(bytes.data() + lengthBytes),
            bytes.size() - lengthBytes)
            != Z_OK
        || n != length)
        throw Error(ErrorKind::BadRequest, "damaged compressed message");
    // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
    return out;
}

} // namespace citronplank
