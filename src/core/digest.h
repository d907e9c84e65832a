#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Egretpath
{

/// A 128-bit content digest (XXH3). It detects differences but does not protect against forgery.
struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend constexpr auto operator<=>(const Digest &, const Digest &) = default;
};

/// Returns the digest of @p content. Thread safety: safe. Errors: none.
[[nodiscard]] Digest digestOf(std::string_view content);

/// Returns @p digest as 32 lower-case hexadecimal digits. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toHex(const Digest &digest);

/// Parses text written by toHex() into @p digest. Returns false and leaves @p digest unchanged for any other text.
/// Thread safety: safe.
[[nodiscard]] bool fromHex(std::string_view text, Digest &digest);

/// Returns a 64-bit hash for rendezvous hashing. It is the same in all processes and versions.
/// Thread safety: safe. Errors: none.
[[nodiscard]] std::uint64_t stableHash(std::string_view content, std::uint64_t seed = 0);

}
