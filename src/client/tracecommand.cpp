#include "client/tracecommand.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <optional>

#include <CLI/App.hpp>

#include "client/logfields.h"

namespace Egretpath
{

namespace
{

/// Written by a node when what it believes changes; they explain a request that was decided near them.
constexpr std::array<std::string_view, 10> BeliefEvents{
    "start", "stop", "reload", "reload-refused", "routes", "upstreams", "upstream", "platform", "follow", "catch-up",
};

/// "2026-12-03T03:22:46.841Z": lines begin with it, so that its order is the order of times.
constexpr std::size_t StampLength = 24;

/// Lines about a node's beliefs are shown from so many lines before the first of the request, in each log.
constexpr std::size_t BeliefsBefore = 3;

struct TracedLine
{
    std::string stamp;
    std::string node;
    std::string text;
};

bool isBelief(const std::string &line)
{
    return std::find(BeliefEvents.begin(), BeliefEvents.end(), logField(line, "event")) != BeliefEvents.end();
}

/// @p name: the request's id, or the fingerprint that all its attempts share.
bool tellsOf(const std::string &line, const std::string &name)
{
    return logField(line, "request") == name || logField(line, "fingerprint") == name;
}

/// The lines of one log that tell of the request, and with @p around the last beliefs before them and those between.
std::vector<TracedLine> traceLog(std::istream &log, const std::string &node, const std::string &request, bool around)
{
    std::vector<TracedLine> traced;
    std::vector<TracedLine> beliefs;
    for (std::string line; std::getline(log, line);) {
        TracedLine item{line.substr(0, StampLength), node, line};
        if (tellsOf(line, request)) {
            traced.insert(traced.end(), beliefs.begin(), beliefs.end());
            beliefs.clear();
            traced.push_back(std::move(item));
        } else if (around && isBelief(line)) {
            beliefs.push_back(std::move(item));
            if (traced.empty() && beliefs.size() > BeliefsBefore) {
                beliefs.erase(beliefs.begin());
            }
        }
    }
    return traced;
}

}

CLI::App *TraceCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("trace", "Shows the lines of one request out of many nodes' logs, by time");
    command->add_option("request", request_, "the request's id, as its caller sent it, or its fingerprint")->required();
    command->add_option("logs", logs_, "the nodes' logs, one file each")->required();
    command->add_flag("--around", around_, "also what each node that took part had come to believe just before");
    return command;
}

ExitCode TraceCommand::run(const CommandOutput &output)
{
    std::vector<TracedLine> traced;
    for (const std::string &path : logs_) {
        std::ifstream log(path);
        if (!log) {
            output.err << path << ": can't be read\n";
            return ExitCode::BadUsage;
        }
        const std::string node = std::filesystem::path(path).stem().string();
        const std::vector<TracedLine> lines = traceLog(log, node, request_, around_);
        traced.insert(traced.end(), lines.begin(), lines.end());
    }
    std::stable_sort(traced.begin(), traced.end(),
                     [](const TracedLine &left, const TracedLine &right) { return left.stamp < right.stamp; });
    for (const TracedLine &line : traced) {
        output.out << line.node << ": " << line.text << '\n';
    }
    return traced.empty() ? ExitCode::No : ExitCode::Fine;
}

}
