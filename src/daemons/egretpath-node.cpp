#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include "node/node.h"
#include "rpc/asioeventport.h"
#include "settings/nodesettingsreader.h"

namespace
{

constexpr int ExitBadUsage = 2;
constexpr int ExitCannotStart = 1;

int runNode(const Egretpath::NodeSettings &settings)
{
    Egretpath::AsioEventPort loop;
    Egretpath::Node node(loop.context(), settings);
    if (const auto started = node.start(); !started) {
        std::cerr << "egretpath-node: cannot listen: " << started.error().detail << '\n';
        return ExitCannotStart;
    }
    boost::asio::signal_set signals(loop.context(), SIGTERM, SIGINT);
    signals.async_wait([&node](const boost::system::error_code &error, int) {
        if (!error) {
            node.stop();
        }
    });
    loop.context().run();
    return EXIT_SUCCESS;
}

}

int main(int argc, char **argv)
{
    CLI::App app{"Egretpath's node: takes calls, chooses upstreams and guards the upstream beside it."};
    std::string file;
    bool checkOnly = false;
    app.add_option("--settings", file, "the settings file, TOML")->required();
    app.add_flag("--check", checkOnly, "check the settings and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? EXIT_SUCCESS : ExitBadUsage;
    }
    auto settings = Egretpath::NodeSettingsReader::readFile(file);
    if (!settings) {
        std::cerr << toString(settings.error()) << '\n';
        return ExitBadUsage;
    }
    return checkOnly ? EXIT_SUCCESS : runNode(settings.value());
}
