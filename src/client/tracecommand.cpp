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

/// A node logs these events when it starts, stops or reloads its settings, and when its catalog or the source of its
/// catalog changes. They explain the decisions about requests near them. Their lines are the state lines.
constexpr std::array<std::string_view, 10> StateEvents{
    "start", "stop", "reload", "reload-refused", "routes", "upstreams", "upstream", "platform", "follow", "catch-up",
};

/// Each line starts with a timestamp such as "2026-12-03T03:22:46.841Z", whose order as text is the order of times.
constexpr std::size_t TimestampLength = 24;

/// Maximum number of state lines of each log that are shown before the first line of the request.
constexpr std::size_t MaxStateLinesBefore = 3;

struct TracedLine
{
    std::string timestamp;
    std::string node;
    std::string text;
};

bool isStateLine(const std::string &line)
{
    return std::find(StateEvents.begin(), StateEvents.end(), logField(line, "event")) != StateEvents.end();
}

/// Returns whether the line is about the request with this id or fingerprint. Each attempt has its own id; all attempts
/// of a request share the fingerprint.
bool isAboutRequest(const std::string &line, const std::string &idOrFingerprint)
{
    return logField(line, "request") == idOrFingerprint || logField(line, "fingerprint") == idOrFingerprint;
}

/// Returns the lines of one log that are about the request. If @p around is true, also returns the state lines between
/// them and the last state lines before them.
std::vector<TracedLine> traceLog(std::istream &log, const std::string &node, const std::string &request, bool around)
{
    std::vector<TracedLine> traced;
    std::vector<TracedLine> stateLines;
    for (std::string line; std::getline(log, line);) {
        TracedLine item{line.substr(0, TimestampLength), node, line};
        if (isAboutRequest(line, request)) {
            traced.insert(traced.end(), stateLines.begin(), stateLines.end());
            stateLines.clear();
            traced.push_back(std::move(item));
        } else if (around && isStateLine(line)) {
            stateLines.push_back(std::move(item));
            if (traced.empty() && stateLines.size() > MaxStateLinesBefore) {
                stateLines.erase(stateLines.begin());
            }
        }
    }
    return traced;
}

}

CLI::App *TraceCommand::declare(CLI::App &app)
{
    CLI::App *command =
        app.add_subcommand("trace", "Shows the lines of one request in many nodes' logs, ordered by time");
    command->add_option("request", request_, "the request's id, as its caller sent it, or its fingerprint")->required();
    command->add_option("logs", logs_, "the nodes' logs, one file each")->required();
    command->add_flag("--around", around_,
                      "also show the state changes that each involved node logged before and between these lines");
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
                     [](const TracedLine &left, const TracedLine &right) { return left.timestamp < right.timestamp; });
    for (const TracedLine &line : traced) {
        output.out << line.node << ": " << line.text << '\n';
    }
    return traced.empty() ? ExitCode::NegativeResult : ExitCode::Success;
}

}
