#include "instances/watchpatience.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// Two changes may come together by chance; one more makes a series.
constexpr unsigned MinQuickAnswers = 2;

}

void WatchPatience::recordChanges(Duration waited)
{
    const bool isQuick = waited <= times_.maxWatchSilence;
    quickAnswers_ = isQuick ? std::min(quickAnswers_ + 1, MinQuickAnswers) : 0;
    isWatchSilent_ = false;
}

void WatchPatience::recordRead(bool hadChanges)
{
    isWatchSilent_ = hadChanges;
    if (!hadChanges) {
        quickAnswers_ = 0;
    }
}

std::optional<Milliseconds> WatchPatience::wait() const
{
    if (isWatchSilent_) {
        return times_.gatherTime;
    }
    if (quickAnswers_ < MinQuickAnswers) {
        return std::nullopt;
    }
    return times_.maxWatchSilence;
}

}
