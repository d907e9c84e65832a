#pragma once

#include <cstdint>
#include <string_view>

#include "core/clock.h"

namespace Egretpath
{

/// The phases of a planned stop, in their order.
enum class StopPhase : std::uint8_t {
    /// Both roles take requests: callers and other nodes don't know yet that the node stops.
    Serving,
    /// The egress refuses new requests, so that other nodes send theirs elsewhere. The ingress still takes requests.
    Draining,
    /// The ingress refuses new requests too, and the connections of callers are closed.
    Closing,
    /// No time is left: requests that still wait are refused.
    Expiring,
    /// Other nodes are told that this one runs no call any more, and have a moment to leave.
    Leaving,
    /// The process ends.
    Ended,
};

/// The word for @p phase in logs. Thread safety: safe.
[[nodiscard]] std::string_view toString(StopPhase phase);

/// What is under way at a node that stops.
struct StopActivity
{
    /// Whether a request waits or runs at one of the roles.
    bool hasRequests = false;
    bool hasCallerConnections = false;
    /// Whether answers to other nodes have not been handed to the system completely.
    bool hasUnsentAnswers = false;
};

/// Decides when a planned stop moves to its next phase.
///
/// Load pattern: work comes and goes while a node stops. A node that is idle at one moment may be busy at the next, so
/// that no phase may be left out for a node that is idle: each of them takes away a way in which work still comes.
///
/// Thread safety: none; one owner. Errors: none.
class PlannedStop
{
public:
    /// The process has to end within @p grace of @p startedAt.
    PlannedStop(TimePoint startedAt, Duration grace);

    /// When the process ends at the latest.
    [[nodiscard]] TimePoint end() const { return end_; }
    /// When all answers have to be complete, so that they leave the process before its end.
    [[nodiscard]] TimePoint answersDue() const { return expireAt_; }
    /// Until when callers and other nodes can't know that the node stops.
    [[nodiscard]] TimePoint servesUntil() const { return drainAt_; }
    [[nodiscard]] StopPhase phase() const { return phase_; }
    /// Moves to the next phase if the present one is over at @p now. Returns whether it did. The owner applies that
    /// phase and then calls this again with what is under way after that.
    [[nodiscard]] bool advance(TimePoint now, const StopActivity &activity);

private:
    [[nodiscard]] bool isOver(TimePoint now) const;

    /// How long other nodes have to leave.
    Duration leaveTime_;
    TimePoint end_;
    /// When the egress begins to drain.
    TimePoint drainAt_;
    /// When the ingress closes at the earliest.
    TimePoint closeAt_;
    TimePoint expireAt_;
    /// When the other nodes are told at the latest.
    TimePoint leaveAt_;
    /// When the present phase began.
    TimePoint phaseBegan_;
    StopPhase phase_ = StopPhase::Serving;
    /// When a request was last under way.
    TimePoint lastBusy_;
    /// When anything was last under way, an open connection or an answer on its way included.
    TimePoint lastUnsettled_;
};

}
