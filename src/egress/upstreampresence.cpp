#include "egress/upstreampresence.h"

namespace Egretpath
{

void UpstreamPresence::onListed(const InstanceRecord *record)
{
    const bool hasLeftList = listed_ && (record == nullptr || record->id != *listed_);
    if (hasLeftList) {
        departed_ = listed_;
    }
    if (record == nullptr) {
        return;
    }
    listed_ = record->id;
    if (record->state != InstanceState::Ready) {
        departed_ = record->id;
    } else if (hasDeparted(record->id)) {
        departed_.reset();
    }
}

void UpstreamPresence::onLeavingStated(bool isLeaving)
{
    // An upstream may answer before the list names it.
    leaving_ = isLeaving ? std::optional(name()) : std::nullopt;
}

std::optional<Failure> UpstreamPresence::rejection(const UpstreamName &target) const
{
    const bool hasSaidSo = leaving_ && (target.value().empty() || *leaving_ == target);
    if (hasDeparted(target) || hasSaidSo) {
        return notRun(Reason::NoUpstream, "the upstream leaves");
    }
    // A replacement has started at the address while its predecessor is still listed. The replacement would refuse the
    // request too, but a request that has reached an upstream counts as a retry when it is sent to another one.
    if (isReplaced(target)) {
        return notRun(Reason::NoUpstream, "another upstream has started at the address");
    }
    return std::nullopt;
}

bool UpstreamPresence::isReplaced(const UpstreamName &target) const
{
    return answering_ && !target.value().empty() && *answering_ != target;
}

}
