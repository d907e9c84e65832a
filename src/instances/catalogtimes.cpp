#include "instances/catalogtimes.h"

#include <algorithm>

namespace Egretpath
{

Milliseconds maxPropagationTime(const CatalogTimes &times, const PropagationPath &path)
{
    const Milliseconds silenceDetectionTime = times.followWait + times.followMargin;
    const Milliseconds steps = path.step * static_cast<int>(path.steps);
    // If a node between the reader and the last node is dead, its followers notice the silence and query their next
    // source. They are at least one step farther from the store than the followers of a reader.
    // Changes gather while a table is read, so that the longer of the two counts.
    const Milliseconds readAndGather = std::max(times.gatherTime, path.read);
    const Milliseconds withDeadForwarder = readAndGather + steps + silenceDetectionTime;
    // If the reader is dead, its followers turn to another reader, which has read the store throughout.
    const Milliseconds withDeadReader = silenceDetectionTime + times.followPause + path.read + steps;
    return path.steps > 1 ? std::max(withDeadForwarder, withDeadReader) : withDeadReader;
}

}
