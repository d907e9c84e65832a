#pragma once

#include <optional>

#include "core/clock.h"
#include "core/digest.h"
#include "core/verdict.h"
#include "idempotency/idempotencykey.h"

namespace Egretpath
{

/// Assumptions under which keys that callers stamped themselves run at most once.
struct TimedKeyLimits
{
    /// The wall clocks of any two owners, and of one owner before and after a restart, differ by less than this.
    Milliseconds clockAllowance{2'000};
    /// A key made further ahead of the owner's wall clock is refused. Because of that a caller's wrong clock costs
    /// only refusals.
    Milliseconds futureAllowance{2'000};
    /// How long an owner goes on after its table was last confirmed to be current.
    Milliseconds lease{3'000};
};

/// Decides, in the owner, whether a caller-chosen key with a creation time can have run at another owner, or in an
/// earlier incarnation, and refuses it then.
///
/// Holds only if the owners' wall clocks keep to the allowance and a confirmed table really is the newest one accepted:
/// a platform that serves old values while it claims they are current breaks it. See docs/matters/at-most-once.md.
/// Thread safety: none; one strand owns it.
class TimedKeyBoundary
{
public:
    /// Takes no keys before the first confirmed(), which raises the boundary above the start of this incarnation.
    explicit TimedKeyBoundary(TimedKeyLimits limits);

    /// The table in force was confirmed to be the newest one; @p ownerSet is this service's set in it.
    /// @p sawEveryTable: no accepted table was skipped since the last confirmation. A skipped one may have moved keys
    /// away and back. Raises the boundary if the set changed, a table was skipped or the lease had run out.
    void confirmed(const Digest &ownerSet, bool sawEveryTable, TimePoint now, WallTime wall);

    /// Nothing if the key can not have run elsewhere. Failures: NoTable, KeyOutOfMemory, BadKey, all as may-have-run.
    [[nodiscard]] std::optional<Failure> check(const KeyId &key, const Digest &ingressOwnerSet, TimePoint now,
                                               WallTime wall) const;

    [[nodiscard]] KeyStamp boundary() const { return boundary_; }

private:
    [[nodiscard]] bool leaseHolds(TimePoint now, WallTime wall) const;
    void raise(WallTime wall);

    TimedKeyLimits limits_;
    KeyStamp boundary_{0};
    std::optional<Digest> ownerSet_;
    TimePoint confirmedAt_;
    WallTime confirmedAtWall_;
};

}
