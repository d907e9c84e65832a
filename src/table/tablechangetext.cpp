#include "table/tablechangetext.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "table/tablecolumns.h"

namespace Egretpath
{

namespace
{

bool keyOrder(const TableRow &left, const TableRow &right)
{
    return left.keyView() < right.keyView();
}

/// Where the row with @p key stands in the sorted @p rows, or nothing.
std::optional<std::size_t> find(const std::vector<TableRow> &rows, const TableRowKeyView &key)
{
    const auto found =
        std::lower_bound(rows.begin(), rows.end(), key,
                         [](const TableRow &row, const TableRowKeyView &other) { return row.keyView() < other; });
    if (found == rows.end() || found->keyView() != key) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - rows.begin());
}

/// What it means that a cell gets smaller or larger.
struct Effect
{
    TableRowKind kind;
    TableColumn column;
    std::string_view smaller;
    std::string_view larger;
};

constexpr std::array<Effect, 9> Effects{{
    {TableRowKind::Service, TableColumn::DeadlineMs, "calls are given up earlier", "calls may take longer"},
    {TableRowKind::Service, TableColumn::TriesCap, "calls are tried less often", "calls are tried more often"},
    {TableRowKind::Service, TableColumn::BodyCap, "large bodies are refused earlier", "larger bodies are accepted"},
    {TableRowKind::Region, TableColumn::MeasureCap, "fewer probes towards the region",
     "more probes towards the region"},
    {TableRowKind::Spill, TableColumn::Weight, "fewer calls from other regions", "more calls from other regions"},
    {TableRowKind::Upstream, TableColumn::Weight, "takes a smaller share of the calls",
     "takes a larger share of the calls"},
    {TableRowKind::Upstream, TableColumn::InFlightCap, "runs fewer calls at once", "runs more calls at once"},
    {TableRowKind::Upstream, TableColumn::QueueCap, "fewer calls wait for a slot", "more calls wait for a slot"},
    {TableRowKind::Upstream, TableColumn::ConnectionCap, "accepts fewer connections", "accepts more connections"},
}};

/// Changes of a cell that mean more than "smaller" or "larger": those to or from one value.
struct TurningPoint
{
    TableRowKind kind;
    TableColumn column;
    std::uint64_t value;
    std::string_view reached;
    std::string_view left;
};

constexpr std::array<TurningPoint, 4> TurningPoints{{
    {TableRowKind::Service, TableColumn::TriesCap, 1, "calls are no longer repeated",
     "calls may be repeated, which is safe only for idempotent ones"},
    {TableRowKind::Region, TableColumn::MeasureCap, 0, "no more probes towards the region",
     "probes towards the region begin"},
    {TableRowKind::Spill, TableColumn::Weight, 0, "no more calls from other regions",
     "calls from other regions are accepted"},
    {TableRowKind::Upstream, TableColumn::Weight, 0, "drains", "takes new calls again"},
}};

std::string_view effectOf(TableRowKind kind, TableColumn column, std::uint64_t before, std::uint64_t after)
{
    for (const TurningPoint &point : TurningPoints) {
        if (point.kind == kind && point.column == column && (before == point.value || after == point.value)) {
            return after == point.value ? point.reached : point.left;
        }
    }
    for (const Effect &effect : Effects) {
        if (effect.kind == kind && effect.column == column) {
            return after < before ? effect.smaller : effect.larger;
        }
    }
    return {};
}

/// Who a sentence is about.
std::string subjectOf(TableRowKind kind, const TableRowKeyView &key)
{
    switch (kind) {
    case TableRowKind::Service:
        return "service " + std::string(key.service);
    case TableRowKind::Region:
        return "region " + std::string(key.region);
    case TableRowKind::Spill:
        return "service " + std::string(key.service) + " in region " + std::string(key.region);
    case TableRowKind::Upstream:
        break;
    }
    return "upstream " + std::string(key.upstream);
}

std::string_view removalEffect(TableRowKind kind)
{
    switch (kind) {
    case TableRowKind::Service:
        return "its calls are refused";
    case TableRowKind::Region:
        return "no more probes towards the region";
    case TableRowKind::Spill:
        return "no more calls from other regions";
    case TableRowKind::Upstream:
        break;
    }
    return "takes no new calls";
}

std::string placeOf(const TableRowKeyView &key)
{
    return "service " + std::string(key.service) + " in region " + std::string(key.region);
}

void describeCells(std::vector<std::string> &sentences, const TableRow &before, const TableRow &after)
{
    for (std::size_t index = 0; index < TableColumnCount; ++index) {
        const auto column = static_cast<TableColumn>(index);
        const auto old = before.cell(column);
        const auto now = after.cell(column);
        if (old && now && *old != *now) {
            sentences.push_back(subjectOf(after.kind(), after.keyView()) + ": " + std::string(columnName(column)) + " "
                                + std::to_string(*old) + " -> " + std::to_string(*now) + ": "
                                + std::string(effectOf(after.kind(), column, *old, *now)));
        }
    }
}

void describeNew(std::vector<std::string> &sentences, const TableRow &row)
{
    std::string sentence = subjectOf(row.kind(), row.keyView()) + ": new";
    if (row.kind() == TableRowKind::Upstream) {
        sentence += " for " + placeOf(row.keyView());
    }
    std::string_view separator = ": ";
    for (std::size_t index = 0; index < TableColumnCount; ++index) {
        const auto column = static_cast<TableColumn>(index);
        if (const auto number = row.cell(column)) {
            sentence += std::string(separator) + std::string(columnName(column)) + " " + std::to_string(*number);
            separator = ", ";
        }
    }
    sentences.push_back(std::move(sentence));
}

/// An upstream whose service or region changes is one row that goes and one that comes.
void describeMove(std::vector<std::string> &sentences, const TableRow &before, const TableRow &after)
{
    sentences.push_back(subjectOf(after.kind(), after.keyView()) + ": moves from " + placeOf(before.keyView()) + " to "
                        + placeOf(after.keyView()));
    describeCells(sentences, before, after);
}

bool hasUpstream(const std::vector<TableRow> &rows, const std::string &upstream)
{
    return std::any_of(rows.begin(), rows.end(),
                       [&upstream](const TableRow &row) { return row.keyView().upstream == upstream; });
}

void describeChanged(std::vector<std::string> &sentences, const Table &base, const std::vector<TableRow> &baseRows,
                     const TableRow &row)
{
    if (const auto index = find(baseRows, row.keyView())) {
        describeCells(sentences, baseRows[*index], row);
        return;
    }
    const UpstreamPolicy *moved = base.upstream(row.key().upstream);
    if (moved != nullptr) {
        describeMove(sentences, TableRow(*moved), row);
    } else {
        describeNew(sentences, row);
    }
}

void describeRemoved(std::vector<std::string> &sentences, const std::vector<TableRow> &baseRows,
                     const TableChange &change, const TableRowKey &key)
{
    const auto index = find(baseRows, viewOf(key));
    const bool moves = !key.upstream.value().empty() && hasUpstream(change.changed, key.upstream.value());
    if (index && !moves) {
        const TableRowKind kind = baseRows[*index].kind();
        sentences.push_back(subjectOf(kind, viewOf(key)) + ": removed: " + std::string(removalEffect(kind)));
    }
}

}

std::vector<std::string> describeChange(const Table &base, const TableChange &change)
{
    std::vector<std::string> sentences;
    const std::vector<TableRow> baseRows = base.rows();
    std::vector<TableRow> changed = change.changed;
    std::sort(changed.begin(), changed.end(), keyOrder);
    for (const TableRow &row : changed) {
        describeChanged(sentences, base, baseRows, row);
    }
    for (const TableRowKey &key : change.removed) {
        describeRemoved(sentences, baseRows, change, key);
    }
    return sentences;
}

}
