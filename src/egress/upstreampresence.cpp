#include "egress/upstreampresence.h"

namespace Egretpath
{

void UpstreamPresence::listed(const InstanceRecord *record)
{
    const bool isGone = listed_ && (record == nullptr || record->id != *listed_);
    if (isGone) {
        left_ = listed_;
    }
    if (record == nullptr) {
        return;
    }
    listed_ = record->id;
    if (record->state != InstanceState::Ready) {
        left_ = record->id;
    } else if (hasLeft(record->id)) {
        left_.reset();
    }
}

std::optional<Failure> UpstreamPresence::rejection(const UpstreamName &target) const
{
    if (hasLeft(target)) {
        return notRun(Reason::NoUpstream, "the upstream leaves");
    }
    // A replacement has started at the address, and its predecessor is still listed. The upstream would refuse the
    // request too, but each request that reaches it counts as a repeat when it goes on to another.
    if (isAnother(target)) {
        return notRun(Reason::NoUpstream, "another upstream has started at the address");
    }
    return std::nullopt;
}

bool UpstreamPresence::isAnother(const UpstreamName &target) const
{
    return present_ && !target.value().empty() && *present_ != target;
}

}
