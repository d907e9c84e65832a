#include "instances/catalogtimes.h"

#include <algorithm>

namespace Egretpath
{

Milliseconds longestWay(const CatalogTimes &times, const CatalogWay &way)
{
    const Milliseconds silenceNoticed = times.followWait + times.followMargin;
    const Milliseconds steps = way.step * static_cast<int>(way.steps);
    // A node in the middle is dead: the next source is asked, behind one more step.
    const Milliseconds deadBetween = times.longestGatherTime + way.read + steps + silenceNoticed;
    // The node that reads is dead: its followers turn to another one, which has read all the while.
    const Milliseconds deadReader = silenceNoticed + times.followPause + way.read + steps;
    return way.steps > 1 ? std::max(deadBetween, deadReader) : deadReader;
}

}
