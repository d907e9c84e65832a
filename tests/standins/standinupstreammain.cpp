#include <string>

#include <CLI/CLI.hpp>

#include "standins/standinprogram.h"
#include "standins/standinupstream.h"

using namespace Egretpath;

int main(int argumentCount, char **arguments)
{
    std::string listen = "127.0.0.1:0";
    std::uint64_t coldMilliseconds = 0;
    std::uint64_t lagMilliseconds = 1000;
    StandinUpstreamOptions options;
    CLI::App app("Stands in for a back end service in tests; see docs/standins.md.");
    app.add_option("--listen", listen, "IP address and port; port 0 picks one");
    app.add_option("--name", options.name, "name of the upstream in the history");
    app.add_option("--history", options.historyFile, "file that runs are appended to");
    app.add_option("--slots", options.slots, "calls that run at once");
    app.add_option("--queue", options.queue, "calls that may wait for a slot");
    app.add_option("--median-ms", options.serviceTime.medianMilliseconds, "median service time");
    app.add_option("--sigma", options.serviceTime.sigma, "spread of the logarithm of the service time");
    app.add_option("--cold-ms", coldMilliseconds, "length of the cold start");
    app.add_option("--cold-factor", options.serviceTime.coldFactor, "how much longer the first call takes");
    app.add_option("--report-lag-ms", lagMilliseconds, "age of the health and load reports");
    app.add_option("--seed", options.seed, "seed of the service times");
    CLI11_PARSE(app, argumentCount, arguments);
    options.serviceTime.coldTime = Milliseconds(coldMilliseconds);
    options.reportLag = Milliseconds(lagMilliseconds);

    StandinProgram program;
    StandinUpstream upstream(program.executor(), options);
    return program.serve(Endpoint(listen), [&](HttpExchange &exchange) { return upstream.handle(exchange); });
}
