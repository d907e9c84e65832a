#include "client/lossescommand.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <ostream>
#include <string_view>

#include <CLI/App.hpp>

#include "client/logfields.h"

namespace Egretpath
{

namespace
{

/// The shortest wait in the queue of the egress that counts as long. Such a wait is noticeable in the answer's latency.
constexpr std::int64_t LongWaitMilliseconds = 100;
constexpr std::int64_t FirstServerError = 500;
constexpr std::int64_t FirstRedirect = 300;

/// The outcomes of the requests of one route. Each member is one column of the output; Columns has their names.
struct RouteLosses
{
    std::uint64_t requests = 0;
    std::uint64_t inTarget = 0;
    std::uint64_t late = 0;
    std::uint64_t failedByUpstream = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t sentAgain = 0;
    std::uint64_t sendings = 0;
    std::uint64_t acrossRegions = 0;
    std::uint64_t declined = 0;
    std::uint64_t refusedBesideUpstream = 0;
    std::uint64_t longWaits = 0;
    /// Refused because they crash upstreams.
    std::uint64_t quarantined = 0;
};

/// A column of the output.
struct Column
{
    const char *name;
    std::uint64_t RouteLosses::*value;
};

constexpr Column Columns[] = {
    {"requests", &RouteLosses::requests},
    {"in_target", &RouteLosses::inTarget},
    {"late", &RouteLosses::late},
    {"failed_by_upstream", &RouteLosses::failedByUpstream},
    {"not_run", &RouteLosses::notRun},
    {"may_have_run", &RouteLosses::mayHaveRun},
    {"sent_again", &RouteLosses::sentAgain},
    {"sendings", &RouteLosses::sendings},
    {"across_regions", &RouteLosses::acrossRegions},
    {"declined", &RouteLosses::declined},
    {"refused_beside_upstream", &RouteLosses::refusedBesideUpstream},
    {"waited_100_ms", &RouteLosses::longWaits},
    {"quarantined", &RouteLosses::quarantined},
};

using LossesByRoute = std::map<std::string, RouteLosses, std::less<>>;

void countEndLine(std::string_view line, RouteLosses &losses)
{
    ++losses.requests;
    losses.quarantined += logField(line, "reason") == "ends-upstreams" ? 1 : 0;
    losses.sentAgain += logNumber(line, "sent") > 1 ? 1 : 0;
    const std::string_view verdict = logField(line, "verdict");
    if (verdict == "not-run") {
        ++losses.notRun;
    } else if (verdict == "may-have-run") {
        ++losses.mayHaveRun;
    } else if (logNumber(line, "status") >= FirstServerError) {
        ++losses.failedByUpstream;
    } else if (logNumber(line, "status") < FirstRedirect) {
        const bool late = logNumber(line, "took_ms") > logNumber(line, "target_ms");
        ++(late ? losses.late : losses.inTarget);
    }
}

void countPlaceLine(std::string_view line, RouteLosses &losses)
{
    ++losses.sendings;
    losses.acrossRegions += logField(line, "link") == "between-regions" ? 1 : 0;
}

void countEgressLine(std::string_view line, RouteLosses &losses)
{
    const std::string_view reason = logField(line, "reason");
    losses.declined += reason == "declined" ? 1 : 0;
    losses.refusedBesideUpstream += reason == "overloaded" || reason == "limited" ? 1 : 0;
    losses.longWaits += logNumber(line, "waited_ms") >= LongWaitMilliseconds ? 1 : 0;
}

void countLine(std::string_view line, LossesByRoute &byRoute)
{
    const std::string route(logField(line, "route"));
    if (route.empty()) {
        return;
    }
    const std::string_view event = logField(line, "event");
    if (event == "end") {
        countEndLine(line, byRoute[route]);
    } else if (event == "place") {
        countPlaceLine(line, byRoute[route]);
    } else if (event == "egress") {
        countEgressLine(line, byRoute[route]);
    }
}

void print(const LossesByRoute &byRoute, std::ostream &out)
{
    out << "route";
    for (const Column &column : Columns) {
        out << ',' << column.name;
    }
    out << '\n';
    for (const auto &[route, losses] : byRoute) {
        out << route;
        for (const Column &column : Columns) {
            out << ',' << losses.*column.value;
        }
        out << '\n';
    }
}

}

CLI::App *LossesCommand::declare(CLI::App &app)
{
    CLI::App *command =
        app.add_subcommand("losses", "Counts the outcomes of the requests of each route in nodes' logs");
    command->add_option("logs", logs_, "the nodes' logs, one file each")->required();
    return command;
}

ExitCode LossesCommand::run(const CommandOutput &output)
{
    LossesByRoute byRoute;
    for (const std::string &path : logs_) {
        std::ifstream log(path);
        if (!log) {
            output.err << path << ": can't be read\n";
            return ExitCode::BadUsage;
        }
        for (std::string line; std::getline(log, line);) {
            countLine(line, byRoute);
        }
    }
    print(byRoute, output.out);
    return byRoute.empty() ? ExitCode::NegativeResult : ExitCode::Success;
}

}
