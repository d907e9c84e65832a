#pragma once

#include "core/clock.h"

namespace Egretpath
{

/// Measures the share of failures among an upstream's latest answers.
///
/// Answers lose weight with time, so that an upstream that got no requests because of its failures is tried again.
/// Thread safety: none; one owner. Errors: none.
class UpstreamHealth
{
public:
    void record(bool failed, TimePoint now);
    /// Returns the share of failures from 0 to 1, which is zero if there were no answers.
    [[nodiscard]] double failureShare(TimePoint now) const;

private:
    void decay(TimePoint now);

    double answers_ = 0.0;
    double failures_ = 0.0;
    TimePoint decayedAt_;
};

}
