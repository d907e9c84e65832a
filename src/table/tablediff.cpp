#include "table/tablediff.h"

#include <algorithm>
#include <span>

#include "table/tablechangetext.h"
#include "table/tableeditor.h"
#include "table/tableorder.h"

namespace Egretpath
{

namespace
{

bool keyOrder(const TableRow &left, const TableRow &right)
{
    return left.keyView() < right.keyView();
}

std::string sourceOf(const TableChange &change)
{
    return "change to table " + toString(change.target);
}

/// Walks two sorted lists of rows of one kind side by side.
template<typename Policy>
void compare(std::span<const Policy> base, std::span<const Policy> target, TableChange &change)
{
    auto before = base.begin();
    auto after = target.begin();
    while (before != base.end() || after != target.end()) {
        const bool isRemoved = after == target.end() || (before != base.end() && TableOrder{}(*before, *after));
        if (isRemoved) {
            change.removed.push_back(TableRow(*before++).key());
            continue;
        }
        const bool isNew = before == base.end() || TableOrder{}(*after, *before);
        if (isNew) {
            change.changed.emplace_back(*after++);
            continue;
        }
        if (*before != *after) {
            change.changed.emplace_back(*after);
            const TableRowKey oldKey = TableRow(*before).key();
            if (oldKey != change.changed.back().key()) {
                change.removed.push_back(oldKey);
            }
        }
        ++before;
        ++after;
    }
}

}

TableChange TableDiff::between(const Table &base, const Table &target)
{
    TableChange change{base.version(), target.version(), {}, {}};
    compare(base.services(), target.services(), change);
    compare(base.regions(), target.regions(), change);
    compare(base.spills(), target.spills(), change);
    compare(base.upstreams(), target.upstreams(), change);
    std::sort(change.changed.begin(), change.changed.end(), keyOrder);
    std::sort(change.removed.begin(), change.removed.end());
    return change;
}

TableResult<TablePointer> TableDiff::apply(const Table &base, const TableChange &change)
{
    const std::string source = sourceOf(change);
    if (base.version() != change.base) {
        return TableProblems{{source, 0, {}, "base " + toString(base.version()), "base " + toString(change.base)}};
    }
    auto table = TableEditor::edit(base, change.changed, change.removed, change.target.number, source);
    if (table && table.value()->version() != change.target) {
        return TableProblems{
            {source, 0, {}, "digest " + toHex(table.value()->digest()), "digest " + toHex(change.target.digest)}};
    }
    return table;
}

std::vector<std::string> TableDiff::describe(const Table &base, const TableChange &change)
{
    return describeChange(base, change);
}

}
