#pragma once

#include <deque>
#include <vector>

#include "core/clock.h"
#include "quarantine/quarantine.h"

namespace Egretpath
{

/// Tells an upstream that goes down and up by itself from one that a request ends.
///
/// The load that it answers: upstreams that flap, each time with other requests under way. Those that their callers
/// send again elsewhere may meet another end, and would be refused though they are proper. Thread safety: none; one
/// owner. Errors: none.
class UpstreamExits
{
public:
    /// Whether @p crash tells little: of the ends before it, lately, several had no request that is refused since.
    [[nodiscard]] bool flaps(UpstreamCrashId crash, const Quarantine &quarantine, TimePoint now) const;
    /// It has ended with @p held under way; more of them may be told later.
    void record(UpstreamCrashId crash, const std::vector<RequestFingerprint> &held, TimePoint now);

private:
    struct End
    {
        UpstreamCrashId crash;
        TimePoint at;
        std::vector<RequestFingerprint> held;
    };

    std::deque<End> exits_;
};

}
