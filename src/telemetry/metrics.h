#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "telemetry/latencyhistogram.h"

namespace Egretpath
{

/// The counters, gauges and latency histograms of one process, printed in the text format of Prometheus.
///
/// Preconditions: names and labels are valid for Prometheus; labels are empty or `key="value",...`.
/// Thread safety: none. Errors: none.
class Metrics
{
public:
    /// Adds @p amount to a counter, which starts at zero.
    void count(const std::string &name, const std::string &labels = {}, std::uint64_t amount = 1);
    /// Sets a gauge, whose value may also fall.
    void set(const std::string &name, const std::string &labels, double value);
    /// Adds a duration to a latency histogram.
    void record(const std::string &name, const std::string &labels, Duration duration);

    /// Returns the value of a counter; zero if it was never counted.
    [[nodiscard]] std::uint64_t counter(const std::string &name, const std::string &labels = {}) const;
    /// Returns a latency histogram; null if nothing was recorded in it.
    [[nodiscard]] const LatencyHistogram *latency(const std::string &name, const std::string &labels) const;
    /// Returns the text of all metrics: counters, gauges and histograms, each group sorted by name.
    [[nodiscard]] std::string text() const;

private:
    template<typename Value>
    using Series = std::map<std::string, std::map<std::string, Value>>;

    Series<std::uint64_t> counters_;
    Series<double> gauges_;
    Series<LatencyHistogram> latencies_;
};

}
