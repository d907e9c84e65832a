#include "instances/peerchoice.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Egretpath
{

std::vector<Endpoint> sampleNodes(std::vector<Endpoint> nodes, std::size_t count, Random &random)
{
    std::shuffle(nodes.begin(), nodes.end(), random);
    nodes.resize(std::min(nodes.size(), count));
    return nodes;
}

std::vector<Endpoint> samplePeers(const InstanceDirectory &directory, const Endpoint &own, std::size_t count,
                                  Random &random)
{
    std::vector<Endpoint> all;
    directory.forEachReady([&](const InstanceRecord &record) {
        if (record.node != own) {
            all.push_back(record.node);
        }
    });
    return sampleNodes(std::move(all), count, random);
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
