#include "idempotency/timedkeyboundary.h"

#include <algorithm>

namespace Egretpath
{

TimedKeyBoundary::TimedKeyBoundary(TimedKeyLimits limits)
    : limits_(limits)
{
}

void TimedKeyBoundary::confirmed(const Digest &ownerSet, bool sawEveryTable, TimePoint now, WallTime wall)
{
    // Whoever owned the keys before may take them until its own lease runs out, so until then they are refused here.
    if (ownerSet_ != ownerSet || !sawEveryTable || !leaseHolds(now, wall)) {
        raise(wall);
    }
    ownerSet_ = ownerSet;
    confirmedAt_ = now;
    confirmedAtWall_ = wall;
}

std::optional<Failure> TimedKeyBoundary::check(const KeyId &key, const Digest &ingressOwnerSet, TimePoint now,
                                               WallTime wall) const
{
    // Cut off, or paused: the keys may have another owner by now.
    if (!ownerSet_ || !leaseHolds(now, wall)) {
        return mayHaveRun(Reason::NoTable, "the owner cannot confirm that its table is current", limits_.lease);
    }
    if (*ownerSet_ != ingressOwnerSet) {
        return mayHaveRun(Reason::NoTable, "ingress and owner hold different tables", limits_.lease);
    }
    // Made before this owner began to own it: it may have run at another owner, or here before a restart.
    if (key.stamp <= boundary_) {
        return mayHaveRun(Reason::KeyOutOfMemory, "the key is older than its owner's memory");
    }
    // Keys that ran here are thus never stamped far ahead, which the boundary of the next owner relies on.
    if (key.stamp > stampOf(wall + limits_.futureAllowance)) {
        return mayHaveRun(Reason::BadKey, "the key was made ahead of its owner's clock");
    }
    return std::nullopt;
}

bool TimedKeyBoundary::leaseHolds(TimePoint now, WallTime wall) const
{
    // The monotonic clock stands still while a VM is suspended; the wall clock does not.
    return ownerSet_ && now - confirmedAt_ < limits_.lease && wall - confirmedAtWall_ < limits_.lease;
}

void TimedKeyBoundary::raise(WallTime wall)
{
    boundary_ = std::max(boundary_, stampOf(wall + limits_.clockAllowance + limits_.futureAllowance + limits_.lease));
}

}
