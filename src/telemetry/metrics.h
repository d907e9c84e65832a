#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "telemetry/latencyhistogram.h"

namespace Egretpath
{

/// Counters, gauges and latency histograms of one process, printed in the text format that Prometheus scrapes.
///
/// Preconditions: names and labels are valid for Prometheus; labels are empty or `key="value",...`.
/// Thread safety: none. Errors: none.
class Metrics
{
public:
    /// Adds @p amount to a counter, which starts at zero.
    void count(const std::string &name, const std::string &labels = {}, std::uint64_t amount = 1);
    /// Sets a value that may fall as well.
    void set(const std::string &name, const std::string &labels, double value);
    void record(const std::string &name, const std::string &labels, Duration duration);

    [[nodiscard]] std::uint64_t counter(const std::string &name, const std::string &labels = {}) const;
    [[nodiscard]] const LatencyHistogram *latency(const std::string &name, const std::string &labels) const;
    /// All of them, sorted by name.
    [[nodiscard]] std::string text() const;

private:
    template<typename Value>
    using Series = std::map<std::string, std::map<std::string, Value>>;

    Series<std::uint64_t> counters_;
    Series<double> gauges_;
    Series<LatencyHistogram> latencies_;
};

}
