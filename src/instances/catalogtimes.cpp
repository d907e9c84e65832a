#include "instances/catalogtimes.h"

#include <algorithm>

namespace Egretpath
{

Milliseconds maxPropagationTime(const CatalogTimes &times, const PropagationPath &path)
{
    // Changes gather while a table is read, so that the longer of the two counts.
    const Milliseconds readAndGather = std::max(times.gatherTime, path.read);
    const Milliseconds silentSource = times.followWait + times.answerOverdueTime;
    const Milliseconds silentStore = times.storeCheckInterval + times.storeOverdueTime;
    // The node that is queried instead adds a step.
    const Milliseconds steps = path.step * (path.steps + 1);
    return readAndGather + std::max(silentSource, silentStore) + steps;
}

}
