#include "fleetlist.h"

#include <string>

namespace Egretpath
{

Endpoint nodeOf(int number)
{
    return Endpoint("10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":7620");
}

InstanceDirectory listOf(int nodes, const std::function<RegionName(int)> &region)
{
    InstanceSnapshot snapshot;
    snapshot.revision = StoreRevision(1);
    for (int number = 0; number < nodes; ++number) {
        InstanceRecord record;
        record.id = UpstreamName("u" + std::to_string(number));
        record.address = Endpoint(nodeOf(number).value() + "1");
        record.node = nodeOf(number);
        record.location.region = region(number);
        record.revision = StoreRevision(1);
        snapshot.records.push_back(record);
    }
    InstanceDirectory directory;
    directory.applySnapshot(snapshot, TimePoint(std::chrono::seconds(1000)));
    return directory;
}

}
