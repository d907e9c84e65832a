#pragma once

#include "calls/decayingcount.h"
#include "core/clock.h"

namespace Egretpath
{

/// How the calls of one route fared in the last seconds, and whether their callee is lost.
/// Thread safety: none; one owner. Errors: none.
class CallOutcomes
{
public:
    /// Records the end of a call: whether it got an answer.
    void record(bool isAnswered, TimePoint now);
    /// Whether most calls end without an answer. Two answers end this state, and so does a time without news.
    [[nodiscard]] bool isFailing(TimePoint now) const;
    /// Whether few calls end without an answer, so that what the parents do now is typical.
    [[nodiscard]] bool isHealthy(TimePoint now) const;
    /// The number of calls of the last seconds that got an answer.
    [[nodiscard]] double answered(TimePoint now) const { return answered_.value(now); }
    /// The share of the calls of the last seconds that ended without an answer; zero if there were none.
    [[nodiscard]] double unansweredShare(TimePoint now) const;

private:
    [[nodiscard]] bool hasNews(TimePoint now) const;

    DecayingCount answered_;
    DecayingCount unanswered_;
    TimePoint lastEndAt_;
    bool isFailing_ = false;
    int answersWhileFailing_ = 0;
};

}
