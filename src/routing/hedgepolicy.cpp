#include "routing/hedgepolicy.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// Relative step of the quantile; it follows a change tenfold within some hundred answers.
constexpr double Step = 0.05;

double microseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

}

HedgePolicy::HedgePolicy(HedgeSettings settings)
    : settings_(settings)
{
}

void HedgePolicy::onAnswered(Duration latency)
{
    const double sample = microseconds(latency);
    if (samples_ == 0) {
        quantileMicroseconds_ = sample;
    } else if (sample > quantileMicroseconds_) {
        // Stochastic approximation: up and down steps balance where the wanted share of answers is below.
        quantileMicroseconds_ *= 1.0 + Step * settings_.quantile;
    } else {
        quantileMicroseconds_ *= 1.0 - Step * (1.0 - settings_.quantile);
    }
    samples_ = std::min(samples_ + 1, settings_.samplesNeeded);
}

std::optional<Duration> HedgePolicy::delay() const
{
    if (samples_ < settings_.samplesNeeded) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::micro> quantile{quantileMicroseconds_};
    return std::max(settings_.minimumDelay, std::chrono::duration_cast<Duration>(quantile));
}

bool HedgePolicy::mayHedge(const HedgeRequest &request, RetryBudget &budget) const
{
    const std::optional<Duration> slowAfter = delay();
    if (!request.repeatable || !request.cancellable || request.overPaidLink || !slowAfter) {
        return false;
    }
    return request.deadlineLeft > *slowAfter && budget.spend(request.service);
}

}
