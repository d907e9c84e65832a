#pragma once

#include <deque>
#include <vector>

#include "core/clock.h"
#include "quarantine/quarantine.h"

namespace Egretpath
{

/// Distinguishes an upstream that goes down and up by itself from an upstream that a request crashes.
///
/// Load pattern: upstreams flap, each time with different requests under way. A harmless request that its caller then
/// sends to another upstream may be under way at a second exit, and would be refused. Thread safety: none; one owner.
/// Errors: none.
class UpstreamExits
{
public:
    /// Whether @p crash is weak evidence, because several recent exits before it had no request under way that is
    /// refused by now.
    [[nodiscard]] bool isFlapping(UpstreamCrashId crash, const Quarantine &quarantine, TimePoint now) const;
    /// Records that the upstream has exited with the requests @p held under way. May be called again for the same crash
    /// to add further requests.
    void record(UpstreamCrashId crash, const std::vector<RequestFingerprint> &held, TimePoint now);

private:
    struct Exit
    {
        UpstreamCrashId crash;
        TimePoint at;
        std::vector<RequestFingerprint> held;
    };

    std::deque<Exit> exits_;
};

}
