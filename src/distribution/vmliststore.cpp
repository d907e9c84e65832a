#include "distribution/vmliststore.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

namespace Egretpath
{

namespace
{

/// Stands alone on a line between the rows of a change and the names of the removed upstreams. No row can look
/// like it, as each holds commas.
constexpr std::string_view RemovedMark = "-\n";

bool byUpstream(const VmRecord &left, const VmRecord &right)
{
    return left.upstream < right.upstream;
}

/// Where the row of @p upstream is or would be.
std::vector<VmRecord>::const_iterator placeOf(const std::vector<VmRecord> &records, const UpstreamName &upstream)
{
    return std::lower_bound(
        records.begin(), records.end(), upstream,
        [](const VmRecord &record, const UpstreamName &wanted) { return record.upstream < wanted; });
}

std::vector<UpstreamName> difference(const std::vector<VmRecord> &former, const std::vector<VmRecord> &present)
{
    std::vector<UpstreamName> touched;
    auto left = former.begin();
    auto right = present.begin();
    while (left != former.end() || right != present.end()) {
        const bool isRemoved = right == present.end() || (left != former.end() && byUpstream(*left, *right));
        const bool isAdded = !isRemoved && (left == former.end() || byUpstream(*right, *left));
        if (isRemoved || isAdded || !(*left == *right)) {
            touched.push_back(isAdded ? right->upstream : left->upstream);
        }
        left += isAdded ? 0 : 1;
        right += isRemoved ? 0 : 1;
    }
    return touched;
}

/// A change as it was read from a payload.
struct ListChange
{
    VmList changed;
    std::set<UpstreamName> removed;
};

std::optional<ListChange> parseChange(std::string_view payload)
{
    const std::size_t mark = payload.find("\n-\n");
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    VmListParse parse = parseVmList(payload.substr(0, mark + 1));
    if (!parse.list) {
        return std::nullopt;
    }
    ListChange change{std::move(*parse.list), {}};
    std::string_view names = payload.substr(mark + 1 + RemovedMark.size());
    while (!names.empty()) {
        const std::size_t end = names.find('\n');
        change.removed.emplace(std::string(names.substr(0, end)));
        names.remove_prefix(end == std::string_view::npos ? names.size() : end + 1);
    }
    return change;
}

VmList withChange(const VmList &list, ListChange change)
{
    VmList result{change.changed.version, {}};
    std::vector<VmRecord> kept;
    const auto isReplaced = [&](const VmRecord &record) {
        const auto place = placeOf(change.changed.records, record.upstream);
        const bool isChanged = place != change.changed.records.end() && place->upstream == record.upstream;
        return isChanged || change.removed.contains(record.upstream);
    };
    std::remove_copy_if(list.records.begin(), list.records.end(), std::back_inserter(kept), isReplaced);
    std::merge(std::make_move_iterator(kept.begin()), std::make_move_iterator(kept.end()),
               change.changed.records.begin(), change.changed.records.end(), std::back_inserter(result.records),
               byUpstream);
    return result;
}

}

TableVersion VmListStore::versionOf(const VmList &list)
{
    return {TableNumber(list.version), digestOf(printVmList(list))};
}

bool VmListStore::load(VmList list)
{
    const TableVersion version = versionOf(list);
    return version > version_ && take(std::move(list), version);
}

bool VmListStore::take(VmList list, const TableVersion &target)
{
    if (version_) {
        history_.push_back({*version_, difference(list_.records, list.records)});
    }
    if (history_.size() > HistoryLength) {
        history_.pop_front();
    }
    list_ = std::move(list);
    version_ = target;
    return true;
}

std::optional<std::string> VmListStore::changeSince(const TableVersion &base) const
{
    const auto first =
        std::find_if(history_.begin(), history_.end(), [&](const Step &step) { return step.base == base; });
    if (first == history_.end()) {
        return std::nullopt;
    }
    std::set<UpstreamName> touched;
    std::for_each(first, history_.end(),
                  [&](const Step &step) { touched.insert(step.touched.begin(), step.touched.end()); });
    if (touched.size() > list_.records.size()) {
        return std::nullopt;
    }
    VmList changed{list_.version, {}};
    std::string removed;
    for (const UpstreamName &upstream : touched) {
        const auto place = placeOf(list_.records, upstream);
        if (place != list_.records.end() && place->upstream == upstream) {
            changed.records.push_back(*place);
        } else {
            removed += upstream.value() + "\n";
        }
    }
    return printVmList(changed).append(RemovedMark).append(removed);
}

bool VmListStore::applyChange(const TableVersion &, const TableVersion &target, const std::string &payload)
{
    std::optional<ListChange> change = parseChange(payload);
    if (!change) {
        return false;
    }
    VmList list = withChange(list_, std::move(*change));
    // The digest finds a change that was cut short, or made for another base.
    return versionOf(list) == target && take(std::move(list), target);
}

bool VmListStore::applyWhole(const TableVersion &target, const std::string &payload)
{
    VmListParse parse = parseVmList(payload);
    return parse.list && versionOf(*parse.list) == target && take(std::move(*parse.list), target);
}

}
