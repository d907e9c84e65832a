#include "instances/catalogtimes.h"

#include <algorithm>

namespace Egretpath
{

Milliseconds maxPropagationTime(const CatalogTimes &times, const PropagationPath &path)
{
    const Milliseconds silenceDetectionTime = times.followWait + times.followMargin;
    const Milliseconds steps = path.step * static_cast<int>(path.steps);
    // A node between the reader and the last node is dead. Its followers, at least one step farther from the store than
    // those of a reader, notice the silence and query their next source.
    const Milliseconds withDeadForwarder = times.maxGatherTime + path.read + steps + silenceDetectionTime;
    // The reader is dead. Its followers turn to another reader, which has read the store throughout.
    const Milliseconds withDeadReader = silenceDetectionTime + times.followPause + path.read + steps;
    return path.steps > 1 ? std::max(withDeadForwarder, withDeadReader) : withDeadReader;
}

}
