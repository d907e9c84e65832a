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
            std::cerr << "no fault is called " << name << '\n';
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
    CLI::App app("Runs nodes as processes under load and seeded faults, and holds what is seen against the promises.");
    app.add_option("--seed", options.deployment.seed, "the same seed plans the same faults");
    app.add_option("--seconds", seconds, "length of the load; the last 6 s are without faults");
    app.add_option("--nodes", options.deployment.nodes, "nodes, each a process of its own")->check(CLI::Range(3, 200));
    app.add_option("--rate", options.rate, "requests a second at each node");
    app.add_option("--faults", kinds, "names of faults to draw from; all by default")->delimiter(',');
    app.add_option("--known-kinds", options.faults.knownKinds, "draw from so many kinds, as a seed once did")
        ->check(CLI::Range(std::size_t{1}, FaultKindCount));
    app.add_flag("--calm", options.calm, "no faults");
    app.add_option("--slack-ms", slackMilliseconds, "added to each bound of time");
    app.add_option("--recovered", options.recoveredShare, "of the attempts after the faults, the share that succeeds");
    app.add_option("--network", options.deployment.network, "first half of the loopback addresses");
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
