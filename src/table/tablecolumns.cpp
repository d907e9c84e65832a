#include "table/tablecolumns.h"

#include <algorithm>
#include <array>

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, TableColumnCount> ColumnNames{
    "service",        "region",    "upstream", "weight",      "in_flight_cap", "queue_cap",
    "connection_cap", "tries_cap", "body_cap", "measure_cap", "deadline_ms",
};

constexpr std::array<std::string_view, 4> KindNames{
    "a service row",
    "a region row",
    "a service and region row",
    "an upstream row",
};

constexpr std::uint64_t WeightMost = 1000;
constexpr std::uint64_t CallsMost = 100'000;
constexpr std::uint64_t ConnectionsMost = 100'000;
constexpr std::uint64_t TriesMost = 5;
constexpr std::uint64_t BodyMost = 1024ULL * 1024 * 1024;
constexpr std::uint64_t MeasureMost = 1'000'000'000;
constexpr std::uint64_t DeadlineMost = 600'000;

struct KindRule
{
    TableRowKind kind;
    TableColumn column;
    CellRange range;
    bool required;
};

constexpr std::array<KindRule, 9> Rules{{
    {TableRowKind::Service, TableColumn::DeadlineMs, {1, DeadlineMost}, true},
    {TableRowKind::Service, TableColumn::TriesCap, {1, TriesMost}, false},
    {TableRowKind::Service, TableColumn::BodyCap, {1, BodyMost}, false},
    {TableRowKind::Region, TableColumn::MeasureCap, {0, MeasureMost}, false},
    {TableRowKind::Spill, TableColumn::Weight, {0, WeightMost}, true},
    {TableRowKind::Upstream, TableColumn::Weight, {0, WeightMost}, true},
    {TableRowKind::Upstream, TableColumn::InFlightCap, {1, CallsMost}, true},
    {TableRowKind::Upstream, TableColumn::QueueCap, {0, CallsMost}, false},
    {TableRowKind::Upstream, TableColumn::ConnectionCap, {1, ConnectionsMost}, false},
}};

}

std::string_view columnName(TableColumn column)
{
    return ColumnNames.at(static_cast<std::size_t>(column));
}

std::optional<TableColumn> columnFromName(std::string_view name)
{
    const auto found = std::find(ColumnNames.begin(), ColumnNames.end(), name);
    if (found == ColumnNames.end()) {
        return std::nullopt;
    }
    return static_cast<TableColumn>(found - ColumnNames.begin());
}

std::string canonicalHeader()
{
    std::string header;
    for (const std::string_view name : ColumnNames) {
        header += header.empty() ? "" : ",";
        header += name;
    }
    return header;
}

CellRule cellRule(TableRowKind kind, TableColumn column)
{
    for (const KindRule &rule : Rules) {
        if (rule.kind == kind && rule.column == column) {
            return CellRule{rule.range, rule.required};
        }
    }
    return CellRule{};
}

bool isRequiredInHeader(TableColumn column)
{
    const bool isName =
        column == TableColumn::Service || column == TableColumn::Region || column == TableColumn::Upstream;
    return isName || std::any_of(Rules.begin(), Rules.end(), [column](const KindRule &rule) {
               return rule.column == column && rule.required;
           });
}

std::string_view toString(TableRowKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

}
