#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Egretpath
{

/// A 128-bit content digest (XXH3). It finds differences; it is no defence against forgery.
struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend constexpr auto operator<=>(const Digest &, const Digest &) = default;
};

/// Digest of @p content. Thread safety: safe. Errors: none.
[[nodiscard]] Digest digestOf(std::string_view content);

/// 32 lower-case hexadecimal digits. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toHex(const Digest &digest);

/// Reads what toHex() wrote. Returns false, leaving @p digest as it was, for anything else.
/// Thread safety: safe.
[[nodiscard]] bool fromHex(std::string_view text, Digest &digest);

/// 64-bit hash for rendezvous hashing; stable between processes and versions.
/// Thread safety: safe. Errors: none.
[[nodiscard]] std::uint64_t stableHash(std::string_view content, std::uint64_t seed = 0);

}
