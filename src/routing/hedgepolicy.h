#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "routing/retrybudget.h"

namespace Egretpath
{

/// Constants of HedgePolicy.
struct HedgeSettings
{
    /// A hedge starts when the first try took longer than this share of all calls.
    double quantile = 0.95;
    /// Answers needed before the quantile is trusted.
    std::uint32_t samplesNeeded = 50;
    /// Never hedge earlier than this.
    Duration minimumDelay = Milliseconds{1};
};

/// What the table says of a call that could be hedged.
struct HedgeRequest
{
    ServiceName service;
    /// The call may run more than once.
    bool repeatable = false;
    /// The loser can be cancelled at its upstream; without that a hedge only adds load.
    bool cancellable = false;
    Duration deadlineLeft{0};
    bool overPaidLink = false;
};

/// Decides when a second copy of a slow, repeatable call is sent to another upstream.
///
/// The owner starts a timer of delay() for each call, asks mayHedge() when it fires, and cancels the loser.
/// One policy for each service. Thread safety: none. Errors: none.
class HedgePolicy
{
public:
    explicit HedgePolicy(HedgeSettings settings = {});

    /// A call was answered whole after @p latency.
    void onAnswered(Duration latency);

    /// Time after which a call is slow; nothing until enough answers were seen.
    [[nodiscard]] std::optional<Duration> delay() const;

    /// Whether the hedge is sent; takes a token of @p budget if so.
    [[nodiscard]] bool mayHedge(const HedgeRequest &request, RetryBudget &budget) const;

private:
    HedgeSettings settings_;
    std::uint32_t samples_ = 0;
    double quantileMicroseconds_ = 0.0;
};

}
