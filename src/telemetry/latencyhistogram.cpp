#include "telemetry/latencyhistogram.h"

#include <boost/histogram.hpp>

namespace Egretpath
{

namespace bh = boost::histogram;

namespace
{

constexpr double MinSeconds = 50e-6;
constexpr double MaxSeconds = 60.0;
constexpr unsigned BucketCount = 40;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(Axis(1, MinSeconds, MaxSeconds)));

void appendBucket(std::string &text, std::string_view name, std::string_view labels, const std::string &upperEdge,
                  double count)
{
    text.append(name).append("_bucket{").append(labels);
    text.append(labels.empty() ? "le=\"" : ",le=\"").append(upperEdge).append("\"} ");
    text.append(std::to_string(static_cast<std::uint64_t>(count))).append("\n");
}

}

class LatencyHistogram::Implementation
{
public:
    Histogram histogram = bh::make_histogram(Axis(BucketCount, MinSeconds, MaxSeconds));
    double sum = 0.0;
    double count = 0.0;
};

LatencyHistogram::LatencyHistogram()
    : implementation_(std::make_unique<Implementation>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    implementation_->histogram(seconds);
    implementation_->sum += seconds;
    implementation_->count += 1;
}

Duration LatencyHistogram::quantile(double quantile) const
{
    double cumulativeCount = 0;
    for (const auto &bucket : bh::indexed(implementation_->histogram, bh::coverage::all)) {
        cumulativeCount += *bucket;
        if (cumulativeCount > 0 && cumulativeCount >= quantile * implementation_->count) {
            const double upperEdge = std::min(bucket.bin().upper(), MaxSeconds);
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upperEdge));
        }
    }
    return Duration::zero();
}

void LatencyHistogram::appendText(std::string &text, std::string_view name, std::string_view labels) const
{
    double cumulativeCount = 0;
    for (const auto &bucket : bh::indexed(implementation_->histogram, bh::coverage::all)) {
        cumulativeCount += *bucket;
        if (bucket.bin().upper() <= MaxSeconds) {
            appendBucket(text, name, labels, std::to_string(bucket.bin().upper()), cumulativeCount);
        }
    }
    appendBucket(text, name, labels, "+Inf", implementation_->count);
    std::string braces;
    if (!labels.empty()) {
        braces.append("{").append(labels).append("}");
    }
    text.append(name).append("_sum").append(braces).append(" ").append(std::to_string(implementation_->sum));
    text.append("\n").append(name).append("_count").append(braces).append(" ");
    text.append(std::to_string(static_cast<std::uint64_t>(implementation_->count))).append("\n");
}

}
