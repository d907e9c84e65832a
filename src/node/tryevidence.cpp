#include "node/tryevidence.h"

#include "node/linklabel.h"
#include "node/sighting.h"

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

constexpr std::uint16_t FirstServerError = 500;
/// Of a load report on the wire: 24 bytes of data and a pointer.
constexpr std::uint64_t ReportBytes = 32;

}

TryEvidence::TryEvidence(Blackboard &board)
    : board_(board)
{
}

void TryEvidence::take(const TryTarget &target, const Result<CallOutcome> &outcome, bool wasSent, TimePoint sentAt)
{
    const TimePoint now = currentTime();
    if (!outcome) {
        takeFailure(target.upstream, outcome.error().reason, wasSent, now);
    } else if (outcome.value().identity.upstream != target.upstream) {
        // Another node listens at the address: the platform's list is behind.
        board_.load.onFailed(target.upstream, Reason::WrongIncarnation, now);
    } else {
        countReport(target, outcome.value());
        recordSighting(board_, outcome.value().identity, outcome.value().report, sentAt, now);
        takeResult(target.upstream, outcome.value(), sentAt, now);
    }
}

void TryEvidence::takeFailure(const UpstreamName &upstream, Reason reason, bool wasSent, TimePoint now)
{
    if (reason == Reason::ConnectFailed) {
        board_.membership.connectFailed(upstream, now);
        // Counted as sent and failed, so that the router learns of it as well.
        board_.load.onSent(upstream, now);
        board_.load.onFailed(upstream, reason, now);
    } else if (wasSent && reason == Reason::Cancelled) {
        board_.load.onCancelled(upstream, now);
    } else if (wasSent) {
        board_.load.onFailed(upstream, reason, now);
    }
}

void TryEvidence::countReport(const TryTarget &target, const CallOutcome &ended)
{
    if (ended.report) {
        board_.metrics.count("egretpath_report_bytes_total", linkLabel(target.link), ReportBytes);
    }
}

void TryEvidence::takeResult(const UpstreamName &upstream, const CallOutcome &ended, TimePoint sentAt, TimePoint now)
{
    const auto *failure = std::get_if<Failure>(&ended.result);
    const auto *whole = std::get_if<WholeAnswer>(&ended.result);
    if (failure != nullptr && failure->verdict == Verdict::NotRun) {
        board_.load.onRefused(upstream, failure->reason, failure->retryAfter, ended.report, now);
    } else if (failure != nullptr) {
        board_.load.onFailed(upstream, failure->reason, now);
    } else if (whole != nullptr && whole->head.status >= FirstServerError) {
        board_.load.onErrorAnswer(upstream, ended.report, now);
    } else {
        board_.load.onAnswered(upstream, now - sentAt, ended.report, now);
    }
}

}
