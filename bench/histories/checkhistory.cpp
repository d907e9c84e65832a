// Holds the history files of one run against the promises of the system; prints `violations N` and the lines that show
// them. Exit status: 0 without violations, 1 with, 2 if a file cannot be read.

#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "history/historychecker.h"
#include "history/historyreader.h"

using namespace Egretpath;

namespace
{

constexpr int ExitViolations = 1;
constexpr int ExitUnreadable = 2;

struct Options
{
    std::vector<std::string> files;
    std::int64_t leavingMilliseconds = HistoryBounds{}.leaving.count();
    std::int64_t tableMilliseconds = HistoryBounds{}.tableEverywhere.count();
    std::int64_t startMilliseconds = HistoryBounds{}.tableAfterStart.count();
    HistoryBounds bounds;
};

void declare(CLI::App &program, Options &options)
{
    program.add_option("files", options.files, "History files of one run")->required();
    program.add_option("--leaving-ms", options.leavingMilliseconds, "New work at a leaving upstream ends within this");
    program.add_option("--table-ms", options.tableMilliseconds, "An accepted table is in force within this");
    program.add_option("--start-ms", options.startMilliseconds, "A starting node has a table within this");
    program.add_option("--measuring-bytes", options.bounds.measuringBytesEachSecond, "Measuring budget of a second");
    program.add_option("--measuring-burst", options.bounds.measuringBurst, "Measuring bytes beyond the budget");
    program.add_flag("--refused-keys-retire", options.bounds.refusedKeysRetire, "A refused key must never run");
}

int check(const Options &options)
{
    HistoryBounds bounds = options.bounds;
    bounds.leaving = Milliseconds{options.leavingMilliseconds};
    bounds.tableEverywhere = Milliseconds{options.tableMilliseconds};
    bounds.tableAfterStart = Milliseconds{options.startMilliseconds};
    HistoryReader reader;
    for (const std::string &file : options.files) {
        if (const auto read = reader.readFile(file); !read) {
            std::cerr << read.error().detail << '\n';
            return ExitUnreadable;
        }
    }
    const History history = reader.take();
    for (const std::string &file : history.tornFiles) {
        std::cerr << file << ": the last line was torn and is left out\n";
    }
    const HistoryReport report = HistoryChecker(bounds).check(history.lines);
    std::cout << report;
    return report.violations.empty() ? 0 : ExitViolations;
}

}

int main(int argumentCount, char **arguments)
{
    CLI::App program("Checks a recorded history of callers, upstreams and nodes");
    Options options;
    declare(program, options);
    CLI11_PARSE(program, argumentCount, arguments);
    return check(options);
}
