#include "table/tablefilereader.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "table/tablebuilder.h"
#include "table/tablename.h"
#include "table/tableparser.h"

namespace Egretpath
{

namespace
{

/// A line of nothing but commas as large as a whole file would otherwise cost 32 bytes for each comma.
constexpr std::size_t LineCap = 4096;
constexpr std::size_t ShownSize = 63;
constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view AllowedKey =
    "cells filled for service; for region; for service and region; or for service, region and upstream";

constexpr std::array<TableColumn, 3> NameColumns{TableColumn::Service, TableColumn::Region, TableColumn::Upstream};
constexpr std::size_t FirstNumberColumn = NameColumns.size();

using RowNumbers = std::array<std::optional<std::uint64_t>, TableColumnCount>;

std::size_t indexOf(TableColumn column)
{
    return static_cast<std::size_t>(column);
}

std::optional<std::uint64_t> parseNumber(std::string_view text, const CellRange &range)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    const bool isWhole = result.ec == std::errc{} && result.ptr == end;
    if (!isWhole || number < range.least || number > range.most) {
        return std::nullopt;
    }
    return number;
}

std::string allowedNumber(const CellRange &range)
{
    return "a whole number from " + std::to_string(range.least) + " to " + std::to_string(range.most);
}

std::optional<TableRowKind> kindOf(const TableRowCells &cells)
{
    const bool service = !cells[indexOf(TableColumn::Service)].empty();
    const bool region = !cells[indexOf(TableColumn::Region)].empty();
    const bool upstream = !cells[indexOf(TableColumn::Upstream)].empty();
    if (upstream) {
        return service && region ? std::optional(TableRowKind::Upstream) : std::nullopt;
    }
    if (service) {
        return region ? TableRowKind::Spill : TableRowKind::Service;
    }
    return region ? std::optional(TableRowKind::Region) : std::nullopt;
}

TableRow makeRow(TableRowKind kind, const TableRowCells &cells, const RowNumbers &numbers)
{
    const ServiceName service{std::string(cells[indexOf(TableColumn::Service)])};
    const RegionName region{std::string(cells[indexOf(TableColumn::Region)])};
    const auto number = [&numbers](TableColumn column, std::uint64_t otherwise) {
        return numbers[indexOf(column)].value_or(otherwise);
    };
    const auto count = [&number](TableColumn column, std::uint64_t otherwise) {
        return static_cast<std::uint32_t>(number(column, otherwise));
    };
    switch (kind) {
    case TableRowKind::Service:
        return TableRow(ServicePolicy{service, Milliseconds(number(TableColumn::DeadlineMs, 0)),
                                      count(TableColumn::TriesCap, DefaultTriesCap),
                                      Bytes(number(TableColumn::BodyCap, DefaultBodyCap))});
    case TableRowKind::Region:
        return TableRow(RegionPolicy{region, Bytes(number(TableColumn::MeasureCap, DefaultMeasureCap))});
    case TableRowKind::Spill:
        return TableRow(SpillPolicy{service, region, count(TableColumn::Weight, 0)});
    case TableRowKind::Upstream:
        break;
    }
    const std::uint32_t inFlightCap = count(TableColumn::InFlightCap, 0);
    return TableRow(UpstreamPolicy{UpstreamName(std::string(cells[indexOf(TableColumn::Upstream)])), service, region,
                                   count(TableColumn::Weight, 0), inFlightCap,
                                   count(TableColumn::QueueCap, inFlightCap),
                                   count(TableColumn::ConnectionCap, DefaultConnectionCap)});
}

}

TableFileReader::TableFileReader(TableBuilder &builder, std::string_view file)
    : builder_(builder)
    , file_(file)
{
}

void TableFileReader::readFile(std::string_view text)
{
    if (text.size() > TableParser::FileCap) {
        addProblem({}, std::to_string(text.size()) + " bytes",
                   "at most " + std::to_string(TableParser::FileCap) + " bytes");
        return;
    }
    if (text.starts_with(ByteOrderMark)) {
        text.remove_prefix(ByteOrderMark.size());
    }
    while (!text.empty() && canGoOn_) {
        const std::size_t size = std::min(text.find('\n'), text.size());
        ++row_;
        readLine(text.substr(0, size));
        text.remove_prefix(std::min(size + 1, text.size()));
    }
    if (canGoOn_ && columns_.empty()) {
        row_ = 0;
        addProblem({}, "no header line", "a header line such as " + canonicalHeader());
    }
}

void TableFileReader::useCanonicalHeader()
{
    for (std::size_t index = 0; index < TableColumnCount; ++index) {
        columns_.emplace_back(static_cast<TableColumn>(index));
        hasColumn_[index] = true;
    }
}

void TableFileReader::readLine(std::string_view line)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.size() > LineCap) {
        addProblem({}, std::string(line.substr(0, ShownSize)) + "...",
                   "a line of at most " + std::to_string(LineCap) + " bytes");
    } else if (line.find('\0') != std::string_view::npos) {
        addProblem({}, std::string(line), "text without NUL bytes");
    } else if (line.find('\r') != std::string_view::npos) {
        addProblem({}, std::string(line), "lines that end with LF or CR LF");
    } else if (!lines_.read(line, cells_)) {
        addProblem({}, std::string(line), "a line whose quotes are closed and stand around whole cells");
    } else if (columns_.empty()) {
        readHeader();
    } else {
        readRow();
    }
}

void TableFileReader::addProblem(std::string_view column, std::string value, std::string allowed)
{
    builder_.addProblem({file_, row_, std::string(column), std::move(value), std::move(allowed)});
}

void TableFileReader::readHeader()
{
    for (const std::string &name : cells_) {
        readColumn(name);
    }
    if (columns_.empty()) {
        return;
    }
    for (std::size_t index = 0; index < TableColumnCount; ++index) {
        const auto column = static_cast<TableColumn>(index);
        if (!hasColumn_[index] && isRequiredInHeader(column)) {
            addProblem(columnName(column), "", "a header that names this column");
        }
    }
    // Without the names nothing can be said about the rows.
    canGoOn_ = std::all_of(NameColumns.begin(), NameColumns.end(),
                           [this](TableColumn column) { return hasColumn_[indexOf(column)]; });
}

void TableFileReader::readColumn(const std::string &name)
{
    const auto column = columnFromName(name);
    if (!column) {
        addProblem(name, name, "a header of the columns " + canonicalHeader());
    } else if (hasColumn_[indexOf(*column)]) {
        addProblem(name, name, "a header that names each column once");
    } else {
        hasColumn_[indexOf(*column)] = true;
        columns_.push_back(column);
        return;
    }
    columns_.emplace_back(std::nullopt);
}

void TableFileReader::readRow()
{
    const bool isBlank = std::all_of(cells_.begin(), cells_.end(), [](const auto &cell) { return cell.empty(); });
    if (isBlank) {
        return;
    }
    if (cells_.size() != columns_.size()) {
        addProblem({}, std::to_string(cells_.size()) + " cells",
                   std::to_string(columns_.size()) + " cells, as in the header");
        return;
    }
    TableRowCells cells;
    for (std::size_t index = 0; index < cells_.size(); ++index) {
        if (columns_[index]) {
            cells[indexOf(*columns_[index])] = cells_[index];
        }
    }
    readCells(cells);
}

void TableFileReader::readCells(const TableRowCells &cells)
{
    const auto kind = kindOf(cells);
    const bool areNames = checkNames(cells);
    if (!kind) {
        std::string shown;
        for (const TableColumn column : NameColumns) {
            shown += shown.empty() && column == TableColumn::Service ? "" : ",";
            shown += cells[indexOf(column)];
        }
        addProblem({}, std::move(shown), std::string(AllowedKey));
        return;
    }
    RowNumbers numbers;
    for (std::size_t index = FirstNumberColumn; index < TableColumnCount; ++index) {
        numbers[index] = readNumber(*kind, static_cast<TableColumn>(index), cells[index]);
    }
    if (areNames) {
        // Also a row with bad numbers is added: its service or upstream is known, and other rows may name it.
        builder_.addRow(makeRow(*kind, cells, numbers), file_, row_);
    }
}

bool TableFileReader::checkNames(const TableRowCells &cells)
{
    bool areNames = true;
    for (const TableColumn column : NameColumns) {
        const std::string_view name = cells[indexOf(column)];
        if (!name.empty() && !isTableName(name)) {
            areNames = false;
            addProblem(columnName(column), std::string(name), std::string(AllowedTableName));
        }
    }
    return areNames;
}

std::optional<std::uint64_t> TableFileReader::readNumber(TableRowKind kind, TableColumn column, std::string_view cell)
{
    const CellRule rule = cellRule(kind, column);
    if (!rule.range) {
        if (!cell.empty()) {
            addProblem(columnName(column), std::string(cell), "an empty cell in " + std::string(toString(kind)));
        }
        return std::nullopt;
    }
    if (cell.empty() && !(rule.required && hasColumn_[indexOf(column)])) {
        return std::nullopt;
    }
    const auto number = parseNumber(cell, *rule.range);
    if (!number) {
        addProblem(columnName(column), std::string(cell), allowedNumber(*rule.range));
    }
    return number;
}

}
