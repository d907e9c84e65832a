#include "node/nodetablestore.h"

#include <algorithm>
#include <map>
#include <utility>

#include "node/tablechangecodec.h"
#include "table/tableparser.h"

namespace Egretpath
{

namespace
{

constexpr std::string_view PayloadSource = "table from a peer";

std::size_t rowsOf(const TableChange &change)
{
    return change.changed.size() + change.removed.size();
}

bool hasRow(const Table &table, const TableRowKey &key)
{
    if (!key.upstream.value().empty()) {
        return table.upstream(key.upstream) != nullptr;
    }
    if (key.service.value().empty()) {
        return table.region(key.region) != nullptr;
    }
    if (key.region.value().empty()) {
        return table.service(key.service) != nullptr;
    }
    const auto spills = table.spills();
    return std::any_of(spills.begin(), spills.end(), [&key](const SpillPolicy &spill) {
        return spill.service == key.service && spill.region == key.region;
    });
}

/// Adds @p next to what earlier changes did; the later one wins row by row.
void merge(std::map<TableRowKey, std::optional<TableRow>> &rows, const TableChange &next)
{
    for (const TableRow &row : next.changed) {
        rows.insert_or_assign(row.key(), row);
    }
    for (const TableRowKey &key : next.removed) {
        rows.insert_or_assign(key, std::nullopt);
    }
}

}

bool NodeTableStore::load(TablePointer table)
{
    if (held_ && table->version() <= held_->version()) {
        return false;
    }
    if (held_) {
        remember(TableDiff::between(*held_, *table));
    }
    held_ = std::move(table);
    return true;
}

std::optional<TableVersion> NodeTableStore::currentVersion() const
{
    if (!held_) {
        return std::nullopt;
    }
    return held_->version();
}

std::optional<std::string> NodeTableStore::changeSince(const TableVersion &base) const
{
    const auto first = std::find_if(changes_.begin(), changes_.end(),
                                    [&base](const TableChange &change) { return change.base == base; });
    if (first == changes_.end()) {
        return std::nullopt;
    }
    std::map<TableRowKey, std::optional<TableRow>> rows;
    std::for_each(first, changes_.end(), [&rows](const TableChange &change) { merge(rows, change); });
    TableChange sum{base, held_->version(), {}, {}};
    for (const auto &[key, row] : rows) {
        if (row) {
            sum.changed.push_back(*row);
        } else {
            sum.removed.push_back(key);
        }
    }
    return TableChangeCodec::encode(sum);
}

std::string NodeTableStore::whole() const
{
    return toCsv(*held_);
}

bool NodeTableStore::applyChange(const TableVersion &base, const TableVersion &target, const std::string &payload)
{
    if (!held_ || held_->version() != base || target <= base) {
        return false;
    }
    auto change = TableChangeCodec::decode(base, target, payload);
    if (!change) {
        return false;
    }
    // A row that was added and removed again between two versions is named as removed, though the base never had it.
    std::erase_if(change.value().removed, [this](const TableRowKey &key) { return !hasRow(*held_, key); });
    auto table = TableDiff::apply(*held_, change.value());
    return table && load(std::move(table).value());
}

bool NodeTableStore::applyWhole(const TableVersion &target, const std::string &payload)
{
    if (held_ && target <= held_->version()) {
        return false;
    }
    auto table = TableParser::parse(payload, PayloadSource, target.number);
    return table && table.value()->version() == target && load(std::move(table).value());
}

void NodeTableStore::remember(TableChange change)
{
    keptRows_ += rowsOf(change);
    changes_.push_back(std::move(change));
    while (keptRows_ > KeptRows) {
        keptRows_ -= rowsOf(changes_.front());
        changes_.pop_front();
    }
}

}
