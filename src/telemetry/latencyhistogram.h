#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace Egretpath
{

/// Counts durations in buckets of logarithmic width from 50 microseconds to 60 seconds.
///
/// Preconditions: none. Thread safety: none. Errors: none; a duration outside the range is counted below the first
/// bucket or above the last one.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void record(Duration duration);
    /// Returns the upper edge of the bucket that contains @p quantile (0 to 1) of the durations; zero if none was
    /// recorded. Returns at most 60 seconds.
    [[nodiscard]] Duration quantile(double quantile) const;
    /// Appends the lines of a Prometheus histogram with the name @p name. @p labels is empty or `key="value",...`.
    void appendText(std::string &text, std::string_view name, std::string_view labels) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
