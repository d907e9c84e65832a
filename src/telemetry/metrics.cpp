#include "telemetry/metrics.h"

namespace Egretpath
{

namespace
{

void appendType(std::string &text, const std::string &name, std::string_view type)
{
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void appendSample(std::string &text, const std::string &name, const std::string &labels, const std::string &value)
{
    text.append(name);
    if (!labels.empty()) {
        text.append("{").append(labels).append("}");
    }
    text.append(" ").append(value).append("\n");
}

template<typename Value>
const Value *find(const std::map<std::string, std::map<std::string, Value>> &series, const std::string &name,
                  const std::string &labels)
{
    const auto withName = series.find(name);
    if (withName == series.end()) {
        return nullptr;
    }
    const auto withLabels = withName->second.find(labels);
    return withLabels == withName->second.end() ? nullptr : &withLabels->second;
}

}

void Metrics::count(const std::string &name, const std::string &labels, std::uint64_t amount)
{
    counters_[name][labels] += amount;
}

void Metrics::set(const std::string &name, const std::string &labels, double value)
{
    gauges_[name][labels] = value;
}

void Metrics::record(const std::string &name, const std::string &labels, Duration duration)
{
    latencies_[name][labels].record(duration);
}

std::uint64_t Metrics::counter(const std::string &name, const std::string &labels) const
{
    const auto *value = find(counters_, name, labels);
    return value == nullptr ? 0 : *value;
}

const LatencyHistogram *Metrics::latency(const std::string &name, const std::string &labels) const
{
    return find(latencies_, name, labels);
}

std::string Metrics::text() const
{
    std::string text;
    for (const auto &[name, samples] : counters_) {
        appendType(text, name, "counter");
        for (const auto &[labels, value] : samples) {
            appendSample(text, name, labels, std::to_string(value));
        }
    }
    for (const auto &[name, samples] : gauges_) {
        appendType(text, name, "gauge");
        for (const auto &[labels, value] : samples) {
            appendSample(text, name, labels, std::to_string(value));
        }
    }
    for (const auto &[name, samples] : latencies_) {
        appendType(text, name, "histogram");
        for (const auto &[labels, histogram] : samples) {
            histogram.appendText(text, name, labels);
        }
    }
    return text;
}

}
