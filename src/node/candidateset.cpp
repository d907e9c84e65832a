#include "node/candidateset.h"

#include <utility>

namespace Egretpath
{

namespace
{

void add(CandidateSet &set, const UpstreamPolicy &policy, const VmRecord &record)
{
    set.candidates.push_back(
        {policy.upstream, record.location, static_cast<double>(policy.weight), policy.inFlightCap});
    set.nodes.push_back(record.node);
}

void addSpill(CandidateSet &set, const Blackboard &board, const ServiceName &service)
{
    for (const SpillPolicy &spill : board.table->spills(service)) {
        if (spill.region != board.location.region && spill.weight > 0) {
            set.regionSpill.push_back({spill.region, static_cast<double>(spill.weight)});
        }
    }
}

}

CandidateSet candidatesOf(const Blackboard &board, const ServiceName &service, TimePoint now)
{
    CandidateSet set;
    CandidateSet suspects;
    for (const UpstreamPolicy &policy : board.table->upstreams(service)) {
        const auto instance = board.membership.instance(policy.upstream, now);
        if (policy.weight == 0 || !instance || instance->standing == Standing::Leaving) {
            continue;
        }
        add(instance->standing == Standing::Suspect ? suspects : set, policy, *instance->record);
    }
    if (set.candidates.empty()) {
        set = std::move(suspects);
    }
    addSpill(set, board, service);
    return set;
}

}
