#include <string>

#include <CLI/CLI.hpp>

#include "standins/standinplatform.h"
#include "standins/standinprogram.h"

using namespace Egretpath;

int main(int argumentCount, char **arguments)
{
    std::string listen = "127.0.0.1:8500";
    StandinPlatformOptions options;
    CLI::App app("Stands in for the platform's key-value service in tests; see docs/standins.md.");
    app.add_option("--listen", listen, "IP address and port");
    app.add_option("--reads-per-second", options.readsPerSecond,
                   "limit over all readers; a waiting watch counts as one");
    app.add_option("--lagged-prefix", options.laggedPrefix, "keys whose writes become visible late");
    CLI11_PARSE(app, argumentCount, arguments);

    StandinProgram program;
    StandinPlatform platform(program.executor(), options);
    return program.serve(Endpoint(listen), [&](HttpExchange &exchange) { return platform.handle(exchange); });
}
