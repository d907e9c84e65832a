#include "answers/answerbudget.h"

#include <algorithm>
#include <cmath>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// New downloads are refused above this share of the limit, so that the answers under way find the rest.
constexpr std::uint64_t RefusalShareDividend = 9;
constexpr std::uint64_t RefusalShareDivisor = 10;
/// Released bytes count for the rate with weight 1/e after a second.
constexpr double RateSeconds = 1.0;
constexpr double MinRefusalSeconds = 0.02;
/// The longest delay, which also applies if nothing was released recently.
constexpr double MaxRefusalSeconds = 2.0;

}

void AnswerBudget::hold(Bytes size)
{
    held_ += size.value();
    isUsedUp_ = isUsedUp_ || !mayHoldMore(Bytes(0));
}

void AnswerBudget::release(Bytes size, TimePoint now)
{
    held_ -= std::min(held_, size.value());
    released_ = recentlyReleased(now) + static_cast<double>(size.value());
    releasedAt_ = now;
    isUsedUp_ = isUsedUp_ && isOverRefusalShare();
}

bool AnswerBudget::mayHoldMore(Bytes own) const
{
    return !limit_ || held_ + own.value() + MaxPiece.value() <= limit_->value();
}

std::optional<Milliseconds> AnswerBudget::refusal(TimePoint now) const
{
    if (!isOverRefusalShare()) {
        return std::nullopt;
    }
    const double tenth = static_cast<double>(limit_->value()) / static_cast<double>(RefusalShareDivisor);
    const double rate = recentlyReleased(now) / RateSeconds;
    const double seconds = rate > 0.0 ? tenth / rate : MaxRefusalSeconds;
    return std::chrono::ceil<Milliseconds>(fromSeconds(std::clamp(seconds, MinRefusalSeconds, MaxRefusalSeconds)));
}

bool AnswerBudget::isOverRefusalShare() const
{
    return limit_ && held_ * RefusalShareDivisor > limit_->value() * RefusalShareDividend;
}

double AnswerBudget::recentlyReleased(TimePoint now) const
{
    return released_ * std::exp(-inSeconds(now - releasedAt_) / RateSeconds);
}

}
