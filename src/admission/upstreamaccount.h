#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "admission/offeroutcome.h"
#include "core/clock.h"

namespace Egretpath
{

/// Compares the number of requests that one upstream reports with the requests that were sent to it.
///
/// Load pattern: some upstreams never answer requests that they can't queue, nor any further request on the same
/// connection, so that such a request would hold its slot until its deadline. Other upstreams still work for a process
/// that has ended or for callers that have disconnected, so that they are busier than their node knows.
///
/// A missing answer alone is no evidence of loss. If an upstream counts fewer requests than it was sent and has not
/// answered the missing ones, it has lost some of them. Which requests are lost becomes known as the others are
/// answered. Reports are used for this only after the upstream has reported at least one request.
///
/// Thread safety: none; one owner. Errors: none.
class UpstreamAccount
{
public:
    /// The node starts to write a request to the upstream. Precondition: this was not called for @p call before.
    void onStarted(CallId call);
    /// The request was written completely.
    void onWritten(CallId call, TimePoint now);
    /// The upstream has started to answer.
    void onAnswered(CallId call);
    /// The connection of the request ended without an answer. The upstream may continue to work on the request.
    void onGivenUp(CallId call);

    /// A query for the upstream's number of requests was sent. Only one query is in flight at a time.
    void onQuerySent(TimePoint now);
    /// The upstream answered the query: it runs or queues @p held requests.
    void onReport(std::uint32_t held, TimePoint now);

    /// Requests at the upstream that no call of this node waits for, as of the last report.
    [[nodiscard]] std::uint32_t externalRequests() const { return externalRequests_; }
    /// Calls that the upstream has lost. Each call stays in the result until it ends.
    [[nodiscard]] std::vector<CallId> lostCalls() const;

private:
    /// States that lostCount of the candidates are lost.
    struct LossRecord
    {
        std::set<CallId> candidates;
        std::uint32_t lostCount = 0;
        TimePoint recordedAt;
        /// Whether all answers that were in flight when the upstream counted have arrived.
        bool isSettled = false;
    };

    struct Query
    {
        TimePoint sentAt;
        /// Calls that the upstream had certainly read when the query was sent.
        std::set<CallId> readCalls;
        /// Maximum number of this node's calls that the upstream may have counted.
        std::uint32_t maxCounted = 0;
    };

    struct OpenCall
    {
        CallId call;
        std::optional<TimePoint> writtenAt;
    };

    void removeCall(CallId call, bool answered);
    void settleLossRecords();
    void addLossRecord(std::uint32_t held, TimePoint now);

    std::vector<OpenCall> openCalls_;
    std::vector<LossRecord> lossRecords_;
    Query query_;
    std::uint32_t externalRequests_ = 0;
    /// Whether the upstream has reported at least one request.
    bool hasCounted_ = false;
};

}
