// Records what only the operators' side of a deployment can tell: the tables and measuring bytes of all nodes, accepted
// tables and planned stops. Times are microseconds of the machine's monotonic clock, as in all histories.

#include <atomic>
#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

#include <CLI/CLI.hpp>

#include "client/nodestatus.h"
#include "history/historywriter.h"
#include "table/tablepublication.h"

using namespace Egretpath;

namespace
{

constexpr int ExitUnreadable = 2;

volatile std::sig_atomic_t stopAsked = 0;

struct Options
{
    std::string history;
    std::string nodes;
    std::int64_t intervalMilliseconds = 200;
    std::string head;
    std::string name;
    std::uint64_t incarnation = 0;
    std::int64_t ordered = 0;
};

HistoryTime now()
{
    const auto time = std::chrono::steady_clock::now().time_since_epoch();
    return HistoryTime(std::chrono::duration_cast<Microseconds>(time).count());
}

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

StatusRecord recordOf(const NodeStatus &status, HistoryTime time)
{
    StatusRecord record;
    record.node = {UpstreamName(status.upstream), Incarnation(numberOf(status.incarnation))};
    if (status.table) {
        record.table = status.table->number;
        record.tableDigest = status.table->digest;
    }
    record.measuringBytes = status.measuringBytes;
    record.time = time;
    return record;
}

/// A sample bears the time at which its reading began: a node that shows an old table afterwards had it then, too.
void sample(const std::vector<Endpoint> &nodes, Duration limit, HistoryWriter &writer)
{
    const HistoryTime began = now();
    for (const NodeStatusResult &status : readStatuses(nodes, limit)) {
        if (status) {
            writer.write(recordOf(status.value(), began));
        }
    }
}

int recordStatus(const Options &options)
{
    const auto nodes = readNodeFile(options.nodes);
    HistoryWriter writer(options.history);
    if (!nodes || !writer.good()) {
        std::cerr << "record-history: cannot use " << options.nodes << " or " << options.history << '\n';
        return ExitUnreadable;
    }
    std::signal(SIGTERM, [](int) { stopAsked = 1; });
    const Milliseconds interval(options.intervalMilliseconds);
    while (stopAsked == 0) {
        const auto next = std::chrono::steady_clock::now() + interval;
        sample(*nodes, interval, writer);
        std::this_thread::sleep_until(next);
    }
    return EXIT_SUCCESS;
}

int recordAccepted(const Options &options)
{
    std::ifstream file(options.head);
    std::stringstream text;
    text << file.rdbuf();
    const auto head = TablePublication::parseHead(text.str(), options.head);
    if (!head) {
        std::cerr << "record-history: " << options.head << " is no head of a table\n";
        return ExitUnreadable;
    }
    HistoryWriter writer(options.history);
    return writer.write(TableAcceptedRecord{head.value().version.number, head.value().version.digest, now()})
        ? EXIT_SUCCESS
        : ExitUnreadable;
}

int recordStop(const Options &options)
{
    HistoryWriter writer(options.history);
    const NodeIdentity node{UpstreamName(options.name), Incarnation(options.incarnation)};
    return writer.write(PlannedStopRecord{node, HistoryTime(options.ordered), now()}) ? EXIT_SUCCESS : ExitUnreadable;
}

int printTime(const Options &)
{
    std::cout << now().value() << '\n';
    return EXIT_SUCCESS;
}

}

int main(int argumentCount, char **arguments)
{
    CLI::App program("Records statuses, accepted tables and planned stops into a history");
    Options options;
    program.require_subcommand(1);
    CLI::App *status = program.add_subcommand("status", "Samples all nodes until SIGTERM");
    status->add_option("--nodes", options.nodes, "File with the operators' endpoints")->required();
    status->add_option("--interval-ms", options.intervalMilliseconds, "Time between samples");
    CLI::App *accepted = program.add_subcommand("table-accepted", "A table was put on the platform");
    accepted->add_option("--head", options.head, "The head that was published")->required();
    CLI::App *stop = program.add_subcommand("planned-stop", "A process was stopped on purpose and is gone");
    stop->add_option("--name", options.name, "The name that the process shows, or its callers' endpoint")->required();
    stop->add_option("--incarnation", options.incarnation, "0 if unknown");
    stop->add_option("--ordered", options.ordered, "When the order was given, as `now` prints it")->required();
    CLI::App *time = program.add_subcommand("now", "Prints the time of the histories' clock");
    for (CLI::App *command : {status, accepted, stop}) {
        command->add_option("--history", options.history, "File to append to")->required();
    }
    CLI11_PARSE(program, argumentCount, arguments);
    using Run = int (*)(const Options &);
    const std::pair<CLI::App *, Run> commands[] = {
        {status, recordStatus}, {accepted, recordAccepted}, {stop, recordStop}, {time, printTime}};
    for (const auto &[command, run] : commands) {
        if (command->parsed()) {
            return run(options);
        }
    }
    return ExitUnreadable;
}
