#pragma once

#include <map>
#include <vector>

#include "history/historyrecord.h"

namespace Egretpath
{

/// A typed record together with its line.
template<typename Record>
struct IndexedRecord
{
    const Record *record = nullptr;
    const HistoryLine *line = nullptr;
};

template<typename Record>
using IndexedRecords = std::vector<IndexedRecord<Record>>;

/// The records of a history by what the rules look them up by. All lists stand in the order of time.
///
/// Precondition: the lines outlive the index. Thread safety: const methods are safe.
class HistoryIndex
{
public:
    explicit HistoryIndex(const std::vector<HistoryLine> &lines);

    [[nodiscard]] const std::map<RequestId, IndexedRecords<InvocationRecord>> &invocations() const
    {
        return invocations_;
    }
    [[nodiscard]] const std::map<RequestId, IndexedRecords<OutcomeRecord>> &outcomes() const { return outcomes_; }
    [[nodiscard]] const IndexedRecords<RunStartedRecord> &runs() const { return runs_; }
    [[nodiscard]] const std::map<HistoryKey, IndexedRecords<RunStartedRecord>> &runsByKey() const { return runsByKey_; }
    [[nodiscard]] const std::map<NodeIdentity, IndexedRecords<StatusRecord>> &status() const { return status_; }
    [[nodiscard]] const IndexedRecords<StatusRecord> &statusByTime() const { return statusByTime_; }
    [[nodiscard]] const IndexedRecords<TableAcceptedRecord> &tables() const { return tables_; }
    [[nodiscard]] const IndexedRecords<PlannedStopRecord> &stops() const { return stops_; }

    /// The first invocation of @p request, or null.
    [[nodiscard]] const InvocationRecord *invocation(const RequestId &request) const;
    [[nodiscard]] IndexedRecords<RunStartedRecord> runsOf(const RequestId &request) const;
    [[nodiscard]] IndexedRecords<RunFinishedRecord> finishesOf(const RequestId &request) const;
    [[nodiscard]] IndexedRecords<OutcomeRecord> outcomesOf(const RequestId &request) const;

private:
    void add(const InvocationRecord &record, const HistoryLine &line);
    void add(const OutcomeRecord &record, const HistoryLine &line);
    void add(const RunStartedRecord &record, const HistoryLine &line);
    void add(const RunFinishedRecord &record, const HistoryLine &line);
    void add(const StatusRecord &record, const HistoryLine &line);
    void add(const TableAcceptedRecord &record, const HistoryLine &line);
    void add(const PlannedStopRecord &record, const HistoryLine &line);

    std::map<RequestId, IndexedRecords<InvocationRecord>> invocations_;
    std::map<RequestId, IndexedRecords<OutcomeRecord>> outcomes_;
    std::map<RequestId, IndexedRecords<RunStartedRecord>> runsByRequest_;
    std::map<RequestId, IndexedRecords<RunFinishedRecord>> finishes_;
    std::map<HistoryKey, IndexedRecords<RunStartedRecord>> runsByKey_;
    std::map<NodeIdentity, IndexedRecords<StatusRecord>> status_;
    IndexedRecords<RunStartedRecord> runs_;
    IndexedRecords<StatusRecord> statusByTime_;
    IndexedRecords<TableAcceptedRecord> tables_;
    IndexedRecords<PlannedStopRecord> stops_;
};

}
