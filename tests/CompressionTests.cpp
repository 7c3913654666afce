// Guards against messages that are altered by compression, and against allocating memory for a corrupt or forged
// length.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "transport/Compression.h"

#include <doctest/doctest.h>

using namespace citronplank;

namespace {
constexpr std::size_t sizeLimit = 1U << 20U;
}

TEST_CASE("compressed messages are restored exactly, and repetitive text becomes smaller")
{
    std::string text;
    for (int i = 0; i < 200; ++i)
        text += R"({"name":"service-)" + std::to_string(i) + R"(","health_path":"/health","max_connections":26})";
    for (const auto& it : { std::string(), std::string("x"), std::string("\0\xFF\0", 3), text })
        CHECK(decompressed(compressed(it), sizeLimit) == it);
    CHECK(compressed(text).size() * 4 < text.size());
}

TEST_CASE("corrupt, truncated and too large messages are rejected")
{
    auto bytes = compressed(std::string(1000, 'a') + "b");
    CHECK_THROWS_AS(decompressed(bytes, 1000), Error);
    CHECK_THROWS_AS(decompressed("", sizeLimit), Error);
    CHECK_THROWS_AS(decompressed(bytes.substr(0, 3), sizeLimit), Error);
    CHECK_THROWS_AS(decompressed(bytes.substr(0, bytes.size() - 2), sizeLimit), Error);
    auto longer = bytes;
    longer[0] = static_cast<char>(longer[0] + 1);
    CHECK_THROWS_AS(decompressed(longer, sizeLimit), Error);
    auto damaged = bytes;
    damaged.back() = static_cast<char>(damaged.back() ^ 0x55);
    CHECK_THROWS_AS(decompressed(damaged, sizeLimit), Error);
}
