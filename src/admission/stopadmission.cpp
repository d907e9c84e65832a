#include "admission/stopadmission.h"

#include <algorithm>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// Share of the difference by which the longest answer time moves towards a shorter new one. The longest answer is
/// remembered for a few hundred answers.
constexpr double LongestDecay = 0.005;
/// Safety factor on the longest answer time. A node sees one or two of the longest answers per second, too few to have
/// observed the longest work on the slowest VM.
constexpr double LongestAnswerMargin = 2.0;

}

void StopAdmission::recordAnswer(const RouteName &route, Duration duration)
{
    const auto [entry, isNew] = longestAnswers_.try_emplace(route, duration);
    if (!isNew) {
        const Duration decayed = entry->second - scaled(entry->second - duration, LongestDecay);
        entry->second = std::max(duration, decayed);
    }
}

void StopAdmission::begin(TimePoint end)
{
    end_ = end;
}

bool StopAdmission::accepts(const RouteName &route, TimePoint deadline, TimePoint now) const
{
    if (isClosed_) {
        return false;
    }
    if (deadline <= end_) {
        return true;
    }
    const auto longest = longestAnswers_.find(route);
    return longest != longestAnswers_.end() && now + scaled(longest->second, LongestAnswerMargin) <= end_;
}

Duration StopAdmission::timeLeft(TimePoint now) const
{
    return end_ == TimePoint::max() ? Duration{0} : std::max(end_ - now, Duration{0});
}

}
