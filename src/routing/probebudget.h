#pragma once

#include <array>
#include <cstdint>

#include "core/clock.h"
#include "core/strongtype.h"
#include "routing/link.h"

namespace Egretpath
{

/// Constants of ProbeBudget, in bytes of both directions.
struct ProbeBudgetSettings
{
    double bytesPerSecond = 500.0;
    /// For links that are paid for by volume; the table may allow some.
    double paidBytesPerSecond = 0.0;
    /// Seconds of unused budget that can be saved up.
    double burstSeconds = 1.0;
};

/// What was spent over one kind of link.
struct ProbeCount
{
    std::uint64_t sent = 0;
    std::uint64_t denied = 0;
    Bytes bytes;
};

/// Token buckets of bytes for probes: one for free links, one for paid ones.
///
/// Thread safety: none. Errors: none.
class ProbeBudget
{
public:
    explicit ProbeBudget(ProbeBudgetSettings settings = {});

    /// Takes @p size from the bucket of @p link; false, counting a denial, if the bucket lacks it.
    [[nodiscard]] bool spend(LinkKind link, Bytes size, TimePoint now);

    /// Changes the rates; what was saved up is cut to the new burst.
    void setSettings(const ProbeBudgetSettings &settings);

    /// Counters since the start.
    [[nodiscard]] const ProbeCount &count(LinkKind link) const { return counts_.at(static_cast<std::size_t>(link)); }

private:
    struct Bucket
    {
        double bytesPerSecond = 0.0;
        double tokens = 0.0;
        TimePoint filled;
        bool started = false;
    };

    void refill(Bucket &bucket, TimePoint now) const;

    ProbeBudgetSettings settings_;
    Bucket free_;
    Bucket paid_;
    std::array<ProbeCount, LinkKindCount> counts_{};
};

}
