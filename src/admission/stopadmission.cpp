#include "admission/stopadmission.h"

#include <algorithm>
#include <array>

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

std::string_view toString(StopBasis basis)
{
    constexpr std::array<std::string_view, 3> Words{"not-stopping", "deadline", "estimate"};
    return Words.at(static_cast<std::size_t>(basis));
}

void StopAdmission::recordAnswer(const RouteName &route, Duration duration)
{
    const auto [entry, isNew] = longestAnswers_.try_emplace(route, duration);
    if (!isNew) {
        const Duration decayed = entry->second - scaled(entry->second - duration, LongestDecay);
        entry->second = std::max(duration, decayed);
    }
}

void StopAdmission::begin(TimePoint answersDue, TimePoint estimatesUntil)
{
    answersDue_ = answersDue;
    estimatesUntil_ = estimatesUntil;
}

std::optional<StopBasis> StopAdmission::accepts(const RouteName &route, TimePoint deadline, TimePoint now) const
{
    if (isClosed_) {
        return std::nullopt;
    }
    if (answersDue_ == TimePoint::max()) {
        return StopBasis::NotStopping;
    }
    if (deadline <= answersDue_) {
        return StopBasis::Deadline;
    }
    const auto longest = longestAnswers_.find(route);
    if (now >= estimatesUntil_ || longest == longestAnswers_.end()) {
        return std::nullopt;
    }
    const bool hasRoom = now + scaled(longest->second, LongestAnswerMargin) <= answersDue_;
    return hasRoom ? std::optional(StopBasis::Estimate) : std::nullopt;
}

Duration StopAdmission::timeLeft(TimePoint now) const
{
    return answersDue_ == TimePoint::max() ? Duration{0} : std::max(answersDue_ - now, Duration{0});
}

}
