#include "core/digest.h"

#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace Egretpath
{

namespace
{

constexpr std::size_t HexDigitsPerHalf = 16;

bool parseHalf(std::string_view text, std::uint64_t &half)
{
    constexpr int HexBase = 16;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, half, HexBase);
    return result.ec == std::errc{} && result.ptr == end;
}

}

Digest digestOf(std::string_view content)
{
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    return Digest{hash.high64, hash.low64};
}

std::string toHex(const Digest &digest)
{
    char text[2 * HexDigitsPerHalf + 1];
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(digest.high),
                  static_cast<unsigned long long>(digest.low));
    return text;
}

bool fromHex(std::string_view text, Digest &digest)
{
    if (text.size() != 2 * HexDigitsPerHalf) {
        return false;
    }
    Digest parsed;
    if (!parseHalf(text.substr(0, HexDigitsPerHalf), parsed.high)
        || !parseHalf(text.substr(HexDigitsPerHalf), parsed.low)) {
        return false;
    }
    digest = parsed;
    return true;
}

std::uint64_t stableHash(std::string_view content, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(content.data(), content.size(), seed);
}

}
