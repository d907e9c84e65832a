#include <exception>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "soak/soakrun.h"

using namespace Egretpath;

namespace
{

constexpr int ExitViolations = 1;
constexpr int ExitBadUsage = 2;

bool readKinds(const std::vector<std::string> &names, std::vector<FaultKind> &kinds)
{
    for (const std::string &name : names) {
        const auto kind = faultKindFromString(name);
        if (!kind) {
            std::cerr << "unknown fault kind: " << name << '\n';
            return false;
        }
        kinds.push_back(*kind);
    }
    return true;
}

}

int main(int argumentCount, char **arguments)
{
    SoakOptions options;
    double seconds = 20;
    double slackMilliseconds = 500;
    std::string program = "build/bin/egretpath-sidecar";
    std::string directory;
    std::vector<std::string> kinds;
    CLI::App app("Runs nodes as processes under load and seeded faults, and checks the promises of the system.");
    app.add_option("--seed", options.deployment.seed, "the same seed plans the same faults");
    app.add_option("--seconds", seconds, "duration of the load in seconds; no fault starts in the last 6 s");
    app.add_option("--nodes", options.deployment.nodes, "number of nodes; each runs as its own process")
        ->check(CLI::Range(3, 200));
    app.add_option("--rate", options.rate, "requests per second at each node");
    app.add_option("--faults", kinds, "fault kinds to draw from, separated by commas; all by default")->delimiter(',');
    app.add_option("--known-kinds", options.faults.knownKinds,
                   "draw from the first kinds only, as many as when the seed was recorded")
        ->check(CLI::Range(std::size_t{1}, FaultKindCount));
    app.add_flag("--calm", options.withoutFaults, "no faults");
    app.add_option("--slack-ms", slackMilliseconds, "added to each bound of time");
    app.add_option("--recovered", options.recoveredShare,
                   "minimum share of the attempts after the faults that must succeed");
    app.add_option("--network", options.deployment.network,
                   "first two parts of the loopback addresses, for example 127.90");
    app.add_option("--program", program, "the node's program");
    app.add_option("--output", directory, "folder for settings and logs of the nodes")->required();
    CLI11_PARSE(app, argumentCount, arguments);
    if (!readKinds(kinds, options.faults.kinds)) {
        return ExitBadUsage;
    }
    options.faults.length = Milliseconds(static_cast<Milliseconds::rep>(seconds * 1000));
    options.faults.nodes = options.deployment.nodes;
    options.bounds.slack = Milliseconds(static_cast<Milliseconds::rep>(slackMilliseconds));
    options.deployment.program = std::filesystem::absolute(program);
    options.deployment.directory = std::filesystem::absolute(directory);
    try {
        std::filesystem::create_directories(options.deployment.directory);
        SoakRun run(options);
        const bool kept = run.run();
        std::cout << "seed " << options.deployment.seed << '\n' << run.report();
        return kept ? EXIT_SUCCESS : ExitViolations;
    } catch (const std::exception &error) {
        std::cerr << "the soak can't run: " << error.what() << '\n';
        return ExitBadUsage;
    }
}
