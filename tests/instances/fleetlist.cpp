#include "fleetlist.h"

#include <string>

namespace Egretpath
{

Endpoint nodeAddress(int number)
{
    return Endpoint("10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":7620");
}

InstanceDirectory directoryOf(int nodes, const std::function<RegionName(int)> &region)
{
    InstanceSnapshot snapshot;
    snapshot.revision = StoreRevision(1);
    for (int number = 0; number < nodes; ++number) {
        InstanceRecord record;
        record.id = UpstreamName("u" + std::to_string(number));
        record.address = Endpoint(nodeAddress(number).value() + "1");
        record.node = nodeAddress(number);
        record.location.region = region(number);
        record.revision = StoreRevision(1);
        snapshot.records.push_back(record);
    }
    InstanceDirectory directory;
    directory.applySnapshot(snapshot, TimePoint(std::chrono::seconds(1000)));
    return directory;
}

}
