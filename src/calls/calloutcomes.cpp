#include "calls/calloutcomes.h"

namespace Egretpath
{

namespace
{

/// Without news for this long, nothing is known about the callee.
constexpr Milliseconds MaxNewsAge{2000};
/// The calls without an answer that show a lost callee. A caller retries, so a single lost call may count several
/// times.
constexpr double MinUnanswered = 6.0;
/// The answers that show that the callee is back. One could be an answer of before the loss.
constexpr int MinAnswers = 2;
constexpr double HealthyUnansweredShare = 0.1;

}

void CallOutcomes::record(bool isAnswered, TimePoint now)
{
    if (!hasNews(now)) {
        isFailing_ = false;
        unanswered_.clear();
    }
    lastEndAt_ = now;
    (isAnswered ? answered_ : unanswered_).add(1.0, now);
    if (!isFailing_) {
        const double unanswered = unanswered_.value(now);
        isFailing_ = unanswered >= MinUnanswered && unanswered > answered_.value(now);
        answersWhileFailing_ = 0;
        return;
    }
    answersWhileFailing_ += isAnswered ? 1 : 0;
    if (answersWhileFailing_ >= MinAnswers) {
        isFailing_ = false;
        unanswered_.clear();
    }
}

bool CallOutcomes::isFailing(TimePoint now) const
{
    return isFailing_ && hasNews(now);
}

bool CallOutcomes::isHealthy(TimePoint now) const
{
    return !isFailing(now) && unanswered_.value(now) < 1.0 + answered_.value(now) * HealthyUnansweredShare;
}

double CallOutcomes::unansweredShare(TimePoint now) const
{
    const double unanswered = unanswered_.value(now);
    return unanswered == 0.0 ? 0.0 : unanswered / (unanswered + answered_.value(now));
}

bool CallOutcomes::hasNews(TimePoint now) const
{
    return now - lastEndAt_ < MaxNewsAge;
}

}
