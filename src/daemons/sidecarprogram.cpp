#include "daemons/sidecarprogram.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include "core/systemseed.h"
#include "platform/platformdialect.h"
#include "platform/storewatcher.h"
#include "rpc/asioeventport.h"
#include "settings/endpointtext.h"
#include "settings/sidecarsettings.h"
#include "sidecar/sidecar.h"

namespace Egretpath
{

namespace
{

constexpr int ExitBadUsage = 2;
constexpr int ExitCannotStart = 1;
/// Where the platform says that a process finds its settings.
constexpr const char *SettingsVariable = "EGRETPATH_CONFIG";

SidecarPlatform makePlatform(boost::asio::io_context &context, const SidecarSettings &settings,
                             const CatalogTimes &catalog)
{
    Platform::FleetLayout layout;
    layout.zones = settings.zones;
    layout.nodePort = portOfEndpoint(settings.peers.value()).value_or(0);
    SidecarPlatform platform;
    platform.callers = std::make_unique<Platform::PlatformCallerDialect>();
    platform.upstreams = std::make_unique<Platform::PlatformUpstreamDialect>();
    platform.catalog = std::make_unique<Platform::StoreWatcher>(context.get_executor(), settings.store,
                                                                std::move(layout), Random(systemSeed()), catalog);
    return platform;
}

int refuseSettings(const SettingsProblems &problems)
{
    std::cerr << toString(problems) << '\n';
    return ExitBadUsage;
}

void reload(Sidecar &sidecar, const std::string &file)
{
    const auto settings = readSidecarSettingsFile(file);
    if (settings) {
        sidecar.reload(settings.value());
    } else {
        sidecar.recordRefusedReload(settings.error());
    }
}

/// Calls @p action each time that one of @p signals comes.
void onSignal(boost::asio::signal_set &signals, const std::function<void()> &action)
{
    signals.async_wait([&signals, action](const boost::system::error_code &error, int) {
        if (!error) {
            action();
            onSignal(signals, action);
        }
    });
}

/// Guards against an error that one request raised and nothing caught: it would end the process, and with it all
/// requests of its VM. The request's own coroutine has ended; the loop goes on with the others.
void runLoop(boost::asio::io_context &context, Sidecar &sidecar)
{
    bool runs = true;
    while (runs) {
        try {
            context.run();
            runs = false;
        } catch (const std::exception &error) {
            sidecar.recordEscapedError(error.what());
        }
    }
}

int runSidecar(const std::string &file, const DecisionSettings &decisions)
{
    AsioEventPort loop;
    // Taken before all else: a process that is told to stop, or to read its settings again, while it starts would end
    // by the signal.
    boost::asio::signal_set stopSignals(loop.context(), SIGTERM, SIGINT);
    boost::asio::signal_set reloadSignal(loop.context(), SIGHUP);
    const auto settings = readSidecarSettingsFile(file);
    if (!settings) {
        return refuseSettings(settings.error());
    }
    Sidecar sidecar(loop.context(), settings.value(), makePlatform(loop.context(), settings.value(), decisions.catalog),
                    decisions);
    if (const auto started = sidecar.start(); !started) {
        std::cerr << "egretpath-sidecar: cannot listen: " << started.error().detail << '\n';
        return ExitCannotStart;
    }
    onSignal(stopSignals, [&sidecar] { sidecar.stop(); });
    onSignal(reloadSignal, [&sidecar, file] { reload(sidecar, file); });
    runLoop(loop.context(), sidecar);
    return EXIT_SUCCESS;
}

int checkSettings(const std::string &file)
{
    const auto settings = readSidecarSettingsFile(file);
    return settings ? EXIT_SUCCESS : refuseSettings(settings.error());
}

std::string settingsFromEnvironment()
{
    const char *path = std::getenv(SettingsVariable);
    return path == nullptr ? std::string() : std::string(path);
}

}

int runSidecarProgram(CLI::App &app, int argumentCount, char **arguments, const DecisionSettings &decisions)
{
    std::string file = settingsFromEnvironment();
    bool checkOnly = false;
    app.add_option("--settings", file, "the settings file, TOML; by default the one that EGRETPATH_CONFIG names");
    app.add_flag("--check", checkOnly, "check the settings and exit");
    try {
        app.parse(argumentCount, arguments);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? EXIT_SUCCESS : ExitBadUsage;
    }
    if (file.empty()) {
        std::cerr << "egretpath-sidecar: no settings: give --settings FILE or set " << SettingsVariable << '\n';
        return ExitBadUsage;
    }
    return checkOnly ? checkSettings(file) : runSidecar(file, decisions);
}

}
