#include "soak/disturbances.h"

#include <algorithm>

namespace Egretpath
{

void Disturbances::begin(NodeNumber node, Disturbance kind, TimePoint now)
{
    History &history = parts_[{node, kind}];
    if (history.open++ == 0) {
        history.windows.push_back({now, TimePoint::max()});
    }
}

void Disturbances::end(NodeNumber node, Disturbance kind, TimePoint now)
{
    History &history = parts_[{node, kind}];
    if (history.open > 0 && --history.open == 0) {
        history.windows.back().to = now;
    }
}

bool Disturbances::isCalm(NodeNumber node, Disturbance kind, TimePoint from, TimePoint to) const
{
    return isCalm(Part{node, kind}, from, to) && isCalm(Part{AllNodes, kind}, from, to);
}

bool Disturbances::isCalm(const Part &part, TimePoint from, TimePoint to) const
{
    const auto found = parts_.find(part);
    if (found == parts_.end()) {
        return true;
    }
    const auto &windows = found->second.windows;
    return std::none_of(windows.begin(), windows.end(), [&](const Window &window) {
        const bool endsBefore = window.to != TimePoint::max() && window.to + settle_ < from;
        return !endsBefore && window.from <= to;
    });
}

}
