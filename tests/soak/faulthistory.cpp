#include "soak/faulthistory.h"

#include <algorithm>

namespace Egretpath
{

void FaultHistory::begin(NodeNumber node, FaultCategory category, TimePoint now)
{
    History &history = histories_[{node, category}];
    if (history.activeFaults++ == 0) {
        history.windows.push_back({now, TimePoint::max()});
    }
}

void FaultHistory::end(NodeNumber node, FaultCategory category, TimePoint now)
{
    History &history = histories_[{node, category}];
    if (history.activeFaults > 0 && --history.activeFaults == 0) {
        history.windows.back().to = now;
    }
}

bool FaultHistory::isFaultFree(NodeNumber node, FaultCategory category, TimePoint from, TimePoint to) const
{
    return isFaultFree(Target{node, category}, from, to) && isFaultFree(Target{AllNodes, category}, from, to);
}

bool FaultHistory::isFaultFree(const Target &target, TimePoint from, TimePoint to) const
{
    const auto found = histories_.find(target);
    if (found == histories_.end()) {
        return true;
    }
    const auto &windows = found->second.windows;
    return std::none_of(windows.begin(), windows.end(), [&](const Window &window) {
        const bool endsBefore = window.to != TimePoint::max() && window.to + settleTime_ < from;
        return !endsBefore && window.from <= to;
    });
}

}
