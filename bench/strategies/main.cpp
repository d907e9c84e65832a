// Compares the routing strategies on the same seeded loads; prints "name value unit" lines.

#include <algorithm>
#include <cstdio>

#include <CLI/CLI.hpp>

#include "simulation.h"

using namespace Egretpath;

namespace
{

struct Options
{
    std::vector<std::uint64_t> seeds{1, 2, 3, 4, 5};
    std::vector<std::string> loads;
    std::vector<std::string> strategies;
    SimulationSettings settings;
    double reportMilliseconds = 0.0;
};

double quantile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

/// One figure over all seeds.
struct Figure
{
    const char *name;
    const char *unit;
    std::vector<double> values;
};

void print(const std::string &prefix, Figure &figure)
{
    std::sort(figure.values.begin(), figure.values.end());
    const double median = figure.values[figure.values.size() / 2];
    std::printf("%s.%s.min %.2f %s\n", prefix.c_str(), figure.name, figure.values.front(), figure.unit);
    std::printf("%s.%s.median %.2f %s\n", prefix.c_str(), figure.name, median, figure.unit);
    std::printf("%s.%s.max %.2f %s\n", prefix.c_str(), figure.name, figure.values.back(), figure.unit);
}

/// Bytes that one probe for each try would have cost, at the size that the probe planner is charged.
double probeEachCall(const SimulationResult &result)
{
    return static_cast<double>(result.tries * ProbePlannerSettings{}.probeSize.value());
}

std::vector<double> figuresOf(SimulationResult &result)
{
    constexpr double PerMilli = 1e-3;
    const auto calls = static_cast<double>(result.calls);
    const double nodeSeconds = result.nodeSeconds;
    const auto tries = static_cast<double>(result.tries);
    return {
        quantile(result.latencies, 0.5) * PerMilli,
        quantile(result.latencies, 0.99) * PerMilli,
        quantile(result.latencies, 0.999) * PerMilli,
        quantile(result.added, 0.5) * PerMilli,
        quantile(result.added, 0.99) * PerMilli,
        quantile(result.added, 0.999) * PerMilli,
        100.0 * static_cast<double>(result.withinDeadline) / calls,
        100.0 * static_cast<double>(result.refused) / calls,
        100.0 * static_cast<double>(result.errors) / calls,
        static_cast<double>(result.withinDeadline) / result.measuredSeconds,
        tries / calls,
        static_cast<double>(result.measuringBytes[0]) / nodeSeconds,
        static_cast<double>(result.measuringBytes[1]) / nodeSeconds,
        static_cast<double>(result.measuringBytes[2]) / nodeSeconds,
        probeEachCall(result) / nodeSeconds,
    };
}

std::vector<Figure> emptyFigures()
{
    return {
        {"p50", "ms", {}},
        {"p99", "ms", {}},
        {"p99.9", "ms", {}},
        {"added.p50", "ms", {}},
        {"added.p99", "ms", {}},
        {"added.p99.9", "ms", {}},
        {"within-deadline", "percent", {}},
        {"refused", "percent", {}},
        {"errors", "percent", {}},
        {"goodput", "calls/s", {}},
        {"tries", "per-call", {}},
        {"measuring.in-zone", "bytes/s/node", {}},
        {"measuring.between-zones", "bytes/s/node", {}},
        {"measuring.between-regions", "bytes/s/node", {}},
        {"probe-each-call", "bytes/s/node", {}},
    };
}

void runAll(const Options &options, const Load &load, const std::string &strategy)
{
    std::vector<Figure> figures = emptyFigures();
    for (const std::uint64_t seed : options.seeds) {
        SimulationSettings settings = options.settings;
        settings.load = load;
        settings.strategy = strategy;
        settings.seed = seed;
        settings.reportInterval =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(options.reportMilliseconds));
        SimulationResult result = Simulation(settings).run();
        const std::vector<double> values = figuresOf(result);
        for (std::size_t index = 0; index < values.size(); ++index) {
            figures[index].values.push_back(values[index]);
        }
    }
    for (Figure &figure : figures) {
        print(std::string(load.name) + "." + strategy, figure);
    }
}

bool isWanted(const std::vector<std::string> &wanted, std::string_view name)
{
    return wanted.empty() || std::find(wanted.begin(), wanted.end(), name) != wanted.end();
}

}

int main(int argc, char **argv)
{
    Options options;
    CLI::App app{"Compares the routing strategies on the same seeded loads."};
    app.add_option("--seed", options.seeds, "seeds; each figure is given as minimum, median and maximum over them");
    app.add_option("--load", options.loads, "loads; all if none is given");
    app.add_option("--strategy", options.strategies, "strategies; all if none is given");
    app.add_option("--seconds", options.settings.seconds, "virtual seconds of each run");
    app.add_option("--retry-share", options.settings.retryShare, "retries for each first try");
    app.add_option("--probe-bytes", options.settings.probeBytesPerSecond, "bytes of probes a second for each node");
    app.add_option("--report-interval", options.reportMilliseconds,
                   "a call asks for a report if the last one is older, in milliseconds");
    app.add_flag("--gradient-limit", options.settings.gradientLimit, "adaptive concurrency at the upstreams");
    CLI11_PARSE(app, argc, argv);

    for (const Load &load : allLoads()) {
        for (const std::string_view strategy : strategyNames()) {
            if (isWanted(options.loads, load.name) && isWanted(options.strategies, strategy)) {
                runAll(options, load, std::string(strategy));
            }
        }
    }
    return 0;
}
