#include "history/historyindex.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

template<typename Map>
typename Map::mapped_type findOrEmpty(const Map &map, const typename Map::key_type &key)
{
    const auto position = map.find(key);
    return position == map.end() ? typename Map::mapped_type{} : position->second;
}

}

HistoryIndex::HistoryIndex(const std::vector<HistoryLine> &lines)
{
    std::vector<const HistoryLine *> sorted;
    sorted.reserve(lines.size());
    for (const HistoryLine &line : lines) {
        sorted.push_back(&line);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const HistoryLine *left, const HistoryLine *right) {
        return timeOf(left->record).value() < timeOf(right->record).value();
    });
    for (const HistoryLine *line : sorted) {
        std::visit([this, line](const auto &record) { add(record, *line); }, line->record);
    }
}

const InvocationRecord *HistoryIndex::invocation(const RequestId &request) const
{
    const auto position = invocations_.find(request);
    return position == invocations_.end() ? nullptr : position->second.front().record;
}

IndexedRecords<RunStartedRecord> HistoryIndex::runsOf(const RequestId &request) const
{
    return findOrEmpty(runsByRequest_, request);
}

IndexedRecords<RunFinishedRecord> HistoryIndex::finishesOf(const RequestId &request) const
{
    return findOrEmpty(finishes_, request);
}

IndexedRecords<OutcomeRecord> HistoryIndex::outcomesOf(const RequestId &request) const
{
    return findOrEmpty(outcomes_, request);
}

void HistoryIndex::add(const InvocationRecord &record, const HistoryLine &line)
{
    invocations_[record.request].push_back({&record, &line});
}

void HistoryIndex::add(const OutcomeRecord &record, const HistoryLine &line)
{
    outcomes_[record.request].push_back({&record, &line});
}

void HistoryIndex::add(const RunStartedRecord &record, const HistoryLine &line)
{
    runs_.push_back({&record, &line});
    runsByRequest_[record.request].push_back({&record, &line});
    if (!record.key.value().empty()) {
        runsByKey_[record.key].push_back({&record, &line});
    }
}

void HistoryIndex::add(const RunFinishedRecord &record, const HistoryLine &line)
{
    finishes_[record.request].push_back({&record, &line});
}

void HistoryIndex::add(const StatusRecord &record, const HistoryLine &line)
{
    status_[record.node].push_back({&record, &line});
    statusByTime_.push_back({&record, &line});
}

void HistoryIndex::add(const TableAcceptedRecord &record, const HistoryLine &line)
{
    tables_.push_back({&record, &line});
}

void HistoryIndex::add(const PlannedStopRecord &record, const HistoryLine &line)
{
    stops_.push_back({&record, &line});
}

}
