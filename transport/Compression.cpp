#include "transport/Compression.h"

#include <array>
#include <zlib.h>

namespace citronplank {

namespace {

constexpr int compressionLevel = 1; // reduces a configuration to an eighth; higher levels take longer for little gain
constexpr std::size_t lengthBytes = 4; // prefix with the uncompressed length, little endian
constexpr unsigned bitsPerByte = 8;
constexpr std::size_t maxLength = 0xFFFFFFFF; // largest value of the prefix

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
               reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), compressionLevel)
            != Z_OK)
        throw Error(ErrorKind::Internal, "zlib cannot compress the message, or it has 4 GiB or more");
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
        throw Error(
            ErrorKind::BadRequest, "the compressed message has no length prefix, or its length exceeds the limit");
    std::string out(length, '\0');
    uLongf n = length;
    // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast): zlib's interface
    if (uncompress(reinterpret_cast<Bytef*>(out.data()), &n, reinterpret_cast<const Bytef*>(bytes.data() + lengthBytes),
            bytes.size() - lengthBytes)
            != Z_OK
        || n != length)
        throw Error(ErrorKind::BadRequest, "the compressed message is corrupt");
    // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
    return out;
}

} // namespace citronplank
