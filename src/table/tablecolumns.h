#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Egretpath
{

/// The columns of the table, in canonical order.
enum class TableColumn : std::uint8_t {
    Service,
    Region,
    Upstream,
    Weight,
    InFlightCap,
    QueueCap,
    ConnectionCap,
    TriesCap,
    BodyCap,
    MeasureCap,
    DeadlineMs,
};

inline constexpr std::size_t TableColumnCount = 11;

/// What a row is about; it follows from which of its first three cells are filled.
enum class TableRowKind : std::uint8_t {
    Service,
    Region,
    Spill,
    Upstream,
};

/// The whole numbers that a cell may hold.
struct CellRange
{
    std::uint64_t least = 0;
    std::uint64_t most = 0;
};

/// Whether, and how, a row of some kind may fill a column.
struct CellRule
{
    /// Nothing means that the cell has to be empty.
    std::optional<CellRange> range;
    bool required = false;
};

/// What an empty cell means, where one is allowed.
inline constexpr std::uint32_t DefaultTriesCap = 1;
inline constexpr std::uint64_t DefaultBodyCap = 64ULL * 1024 * 1024;
inline constexpr std::uint32_t DefaultConnectionCap = 220;
inline constexpr std::uint64_t DefaultMeasureCap = 0;

/// The name in the header line. Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string_view columnName(TableColumn column);
/// The column with this name, or nothing. Thread safety: safe.
[[nodiscard]] std::optional<TableColumn> columnFromName(std::string_view name);
/// The header line with all columns in canonical order, without a line end. Thread safety: safe.
[[nodiscard]] std::string canonicalHeader();
/// The rule for a cell of numbers; the cells of names have none. Thread safety: safe.
[[nodiscard]] CellRule cellRule(TableRowKind kind, TableColumn column);
/// Whether the header has to name the column. Thread safety: safe.
[[nodiscard]] bool isRequiredInHeader(TableColumn column);
/// `a service row` and so on, for messages. Thread safety: safe.
[[nodiscard]] std::string_view toString(TableRowKind kind);

}
