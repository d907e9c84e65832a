#include "admission/upstreamaccount.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// Time after which an upstream on a busy VM has read a written request and counts it.
constexpr Milliseconds ReadDelay{50};
/// Time after which answers that were sent before a count have arrived on a busy VM.
constexpr Milliseconds SettleDelay{100};
/// Maximum number of loss records. Each report adds at most one, and the newest records are the most accurate.
constexpr std::size_t MaxLossRecords = 8;

}

void UpstreamAccount::onStarted(CallId call)
{
    openCalls_.push_back({call, std::nullopt});
    ++query_.maxCounted;
}

void UpstreamAccount::onWritten(CallId call, TimePoint now)
{
    const auto found = std::find_if(openCalls_.begin(), openCalls_.end(),
                                    [call](const OpenCall &openCall) { return openCall.call == call; });
    if (found != openCalls_.end()) {
        found->writtenAt = now;
    }
}

void UpstreamAccount::onAnswered(CallId call)
{
    removeCall(call, true);
}

void UpstreamAccount::onGivenUp(CallId call)
{
    removeCall(call, false);
}

void UpstreamAccount::removeCall(CallId call, bool answered)
{
    std::erase_if(openCalls_, [call](const OpenCall &openCall) { return openCall.call == call; });
    query_.readCalls.erase(call);
    for (LossRecord &record : lossRecords_) {
        const bool isCandidate = record.candidates.erase(call) > 0;
        // A call that was given up may be one of the lost calls. As long as the record is unsettled, the answer to a
        // call may have been sent before the upstream counted.
        if (isCandidate && record.lostCount > 0 && (!answered || !record.isSettled)) {
            --record.lostCount;
        }
    }
    std::erase_if(lossRecords_, [](const LossRecord &record) { return record.lostCount == 0; });
}

void UpstreamAccount::onQuerySent(TimePoint now)
{
    query_ = {};
    query_.sentAt = now;
    query_.maxCounted = static_cast<std::uint32_t>(openCalls_.size());
    for (const OpenCall &openCall : openCalls_) {
        if (openCall.writtenAt && now - *openCall.writtenAt >= ReadDelay) {
            query_.readCalls.insert(openCall.call);
        }
    }
}

void UpstreamAccount::onReport(std::uint32_t held, TimePoint now)
{
    hasCounted_ = hasCounted_ || held > 0;
    externalRequests_ = held > query_.maxCounted ? held - query_.maxCounted : 0;
    settleLossRecords();
    if (hasCounted_ && query_.readCalls.size() > held) {
        addLossRecord(held, now);
    }
}

/// Settles each record that was at least SettleDelay old when the latest query was sent. During the round trip of that
/// query the node has read the answers that were in flight, even if its process was suspended meanwhile.
void UpstreamAccount::settleLossRecords()
{
    for (LossRecord &record : lossRecords_) {
        record.isSettled = record.isSettled || query_.sentAt - record.recordedAt >= SettleDelay;
    }
}

void UpstreamAccount::addLossRecord(std::uint32_t held, TimePoint now)
{
    if (lossRecords_.size() == MaxLossRecords) {
        lossRecords_.erase(lossRecords_.begin());
    }
    const auto readCount = static_cast<std::uint32_t>(query_.readCalls.size());
    lossRecords_.push_back({std::move(query_.readCalls), readCount - held, now, false});
    query_.readCalls.clear();
}

std::vector<CallId> UpstreamAccount::lostCalls() const
{
    std::set<CallId> lostCalls;
    for (const LossRecord &record : lossRecords_) {
        if (record.isSettled && record.candidates.size() == record.lostCount) {
            lostCalls.insert(record.candidates.begin(), record.candidates.end());
        }
    }
    return {lostCalls.begin(), lostCalls.end()};
}

}
