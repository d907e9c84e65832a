#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/digest.h"
#include "table/tableversion.h"

namespace Egretpath
{

/// The lines and fields of a head's text.
namespace TableHeadText
{
inline constexpr std::string_view FirstLine = "egretpath-table 1";
inline constexpr std::string_view LastLine = "end";
inline constexpr std::string_view NumberField = "number";
inline constexpr std::string_view DigestField = "digest";
inline constexpr std::string_view PartCountField = "parts";
inline constexpr std::string_view PartField = "part";
}

/// The most parts that a head may list.
inline constexpr std::size_t TableHeadPartCap = 4096;

/// The one value that says which table is published, and of which parts it is made.
struct TableHead
{
    TableVersion version;
    /// Digest of the text of each part, in the order of the parts. A digest may occur twice.
    std::vector<Digest> parts;

    friend bool operator==(const TableHead &, const TableHead &) = default;
};

/// The text of the head value. Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toString(const TableHead &head);

}
