#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "http/tcpendpoint.h"
#include "standins/standinprogram.h"
#include "standins/standinrelay.h"

using namespace Egretpath;

int main(int argumentCount, char **arguments)
{
    std::string listen;
    std::string target;
    std::string control = "127.0.0.1:0";
    CLI::App app("A TCP relay that delays, holds back or cuts; see docs/standins.md.");
    app.add_option("--listen", listen, "IP address and port of the relay")->required();
    app.add_option("--to", target, "IP address and port that connections are passed on to")->required();
    app.add_option("--control", control, "IP address and port of the control endpoint");
    CLI11_PARSE(app, argumentCount, arguments);

    const auto listenAddress = toTcpEndpoint(Endpoint(listen));
    const auto targetAddress = toTcpEndpoint(Endpoint(target));
    if (!listenAddress || !targetAddress) {
        std::cerr << "--listen and --to need an IP address and port\n";
        return EXIT_FAILURE;
    }
    try {
        StandinProgram program;
        StandinRelay relay(program.executor(), *targetAddress);
        std::cout << "relaying " << relay.listen(*listenAddress) << std::endl;
        return program.serve(Endpoint(control), [&](HttpExchange &exchange) { return relay.control(exchange); });
    } catch (const boost::system::system_error &error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
