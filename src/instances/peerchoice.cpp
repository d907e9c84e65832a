#include "instances/peerchoice.h"

#include <algorithm>
#include <map>

namespace Egretpath
{

std::vector<Endpoint> anyPeers(const InstanceDirectory &directory, const Endpoint &own, std::size_t count,
                               Random &random)
{
    std::vector<Endpoint> all;
    directory.forEachReady([&](const InstanceRecord &record) {
        if (record.node != own) {
            all.push_back(record.node);
        }
    });
    std::shuffle(all.begin(), all.end(), random);
    all.resize(std::min(all.size(), count));
    return all;
}

std::vector<Endpoint> onePeerOfEachOtherRegion(const InstanceDirectory &directory, const RegionName &region,
                                               Random &random)
{
    std::map<RegionName, std::vector<Endpoint>> byRegion;
    directory.forEachReady([&](const InstanceRecord &record) {
        if (record.location.region != region) {
            byRegion[record.location.region].push_back(record.node);
        }
    });
    std::vector<Endpoint> chosen;
    chosen.reserve(byRegion.size());
    for (const auto &[name, nodes] : byRegion) {
        chosen.push_back(nodes[random() % nodes.size()]);
    }
    return chosen;
}

}
