#pragma once

#include "core/clock.h"

namespace Egretpath
{

/// The share of an upstream's latest answers that were failures.
///
/// Evidence fades with time, so that an upstream that was left alone because of it is tried again.
/// Thread safety: none; one owner. Errors: none.
class UpstreamHealth
{
public:
    void record(bool failed, TimePoint now);
    /// 0 to 1; zero without evidence.
    [[nodiscard]] double failureShare(TimePoint now) const;

private:
    void fade(TimePoint now);

    double answers_ = 0.0;
    double failures_ = 0.0;
    TimePoint fadedAt_;
};

}
