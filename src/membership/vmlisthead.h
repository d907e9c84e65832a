#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Egretpath
{

/// What the platform's key of the list holds when the list is too large for one value: `parts N` on the first line and
/// the version of the list on the second. The parts, joined in their order, are the text of the list.
struct VmListHead
{
    std::size_t parts = 0;
    std::uint64_t version = 0;

    friend bool operator==(const VmListHead &, const VmListHead &) = default;
};

/// The largest count of parts; with values of a megabyte it covers more than MaxVmListBytes.
constexpr std::size_t MaxVmListParts = 16;

/// Whether @p text is meant to be a head, whether or not it checks. No list looks like one, as it begins with a number.
/// Thread safety: safe. Errors: none.
[[nodiscard]] bool isVmListHead(std::string_view text);
/// Nothing if @p text is no whole head with 1 to MaxVmListParts parts. Thread safety: safe.
[[nodiscard]] std::optional<VmListHead> parseVmListHead(std::string_view text);
/// The key of part @p part, counted from 0, below the key of the list. The version in it keeps parts of two lists
/// apart: a reader that was overtaken by a new list finds a part missing, never another list's. Thread safety: safe.
/// Errors: none.
[[nodiscard]] std::string vmListPartKey(std::string_view listKey, std::size_t part, std::uint64_t version);

}
