// Replays loads against the node's decisions and the plain rules in virtual time, and prints a table of the results.

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "ablation/ablation.h"
#include "replay/replay.h"

using namespace Egretpath;

namespace
{

struct NamedLoad
{
    const char *name;
    double rate;
    double burst;
};

/// The capacity is that of the six upstreams, whose VMs are slow at times. The rate of calm is about .5 of the
/// capacity. The rate of burst is about .5 of the capacity, with 5 s of twice that rate. The rate of overload is about
/// 1.1 of the capacity.
constexpr NamedLoad Loads[] = {{"calm", 110, 1.0}, {"burst", 110, 2.0}, {"overload", 240, 1.0}};

/// Returns minimum, median and maximum over the seeds.
std::string rangeText(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    char text[64];
    std::snprintf(text, sizeof text, "%.3f/%.3f/%.3f", values.front(), values[values.size() / 2], values.back());
    return text;
}

void printRow(const NamedLoad &namedLoad, ReplaySettings settings, const char *name, const ReplayLoad &load,
              std::uint64_t seeds)
{
    std::vector<double> worth;
    std::vector<double> inTarget;
    std::vector<double> late;
    std::vector<double> refused;
    std::vector<double> failed;
    std::vector<double> sendings;
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        const ReplayResult result = replay(load, settings);
        worth.push_back(result.worth());
        inTarget.push_back(result.inTarget);
        late.push_back(result.late);
        refused.push_back(result.refused);
        failed.push_back(result.failed);
        sendings.push_back(result.sendings);
    }
    std::printf("%-9s %-22s %s  %s  %s  %s  %s  %s\n", namedLoad.name, name, rangeText(worth).c_str(),
                rangeText(inTarget).c_str(), rangeText(late).c_str(), rangeText(refused).c_str(),
                rangeText(failed).c_str(), rangeText(sendings).c_str());
}

}

int main(int argumentCount, char **arguments)
{
    ReplayLoad load;
    std::uint64_t seeds = 5;
    double rateFactor = 1.0;
    CLI::App app(
        "Replays loads against the node's decisions and plain rules; prints minimum/median/maximum over the seeds.");
    app.add_option("--seeds", seeds, "run with the seeds from 1 to this number");
    app.add_option("--rate-factor", rateFactor, "factor for the rate of requests");
    app.add_option("--slow-share", load.slowShare, "share of the time in which a VM is slow");
    app.add_option("--slow-factor", load.slowFactor, "factor by which work takes longer on a slow VM");
    app.add_option("--slots", load.slots, "number of requests that an upstream works on at the same time");
    CLI11_PARSE(app, argumentCount, arguments);
    std::printf(
        "load      rule                   worth              in target          late               refused            "
        "failed             sendings\n");
    for (const NamedLoad &namedLoad : Loads) {
        load.rate = namedLoad.rate * rateFactor;
        load.burst = namedLoad.burst;
        for (const ReplayRule rule : {ReplayRule::Random, ReplayRule::RoundRobin, ReplayRule::LeastInFlight,
                                      ReplayRule::TwoChoices, ReplayRule::Egretpath}) {
            ReplaySettings settings;
            settings.rule = rule;
            printRow(namedLoad, settings, std::string(toString(rule)).c_str(), load, seeds);
        }
        for (const Mechanism &mechanism : mechanisms()) {
            ReplaySettings without;
            mechanism.switchOff(without.decisions);
            printRow(namedLoad, without, ("- " + std::string(mechanism.name)).c_str(), load, seeds);
        }
    }
    return 0;
}
