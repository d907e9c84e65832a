#include "daemons/sidecarprogram.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <malloc.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include "core/currenttime.h"
#include "core/systemseed.h"
#include "daemons/handledsignals.h"
#include "daemons/settingsreloader.h"
#include "platform/platformdialect.h"
#include "platform/storewatcher.h"
#include "rpc/asioeventport.h"
#include "settings/endpointtext.h"
#include "settings/settingsfile.h"
#include "settings/sidecarsettings.h"
#include "sidecar/sidecar.h"

namespace Egretpath
{

namespace
{

constexpr int ExitBadUsage = 2;
constexpr int ExitCannotStart = 1;
/// The environment variable in which the platform passes the path of the settings file to a process.
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

/// The settings with which a node starts, and the text of the file that holds them.
struct StartSettings
{
    std::string text;
    SidecarSettings settings;
};

SettingsResult<StartSettings> readOnce(const std::string &file)
{
    auto text = readSettingsFile(file);
    if (!text) {
        return text.error();
    }
    auto settings = readSidecarSettings(text.value(), file);
    if (!settings) {
        return settings.error();
    }
    return StartSettings{std::move(text.value()), std::move(settings.value())};
}

/// Reads the settings file. One that can't be used is read again for a while: it may be written at this moment, since
/// the platform places it anew at each start.
SettingsResult<StartSettings> readStartSettings(const std::string &file)
{
    constexpr Milliseconds Patience{500};
    constexpr Milliseconds RetryInterval{50};
    const TimePoint limit = currentTime() + Patience;
    auto read = readOnce(file);
    while (!read && canBeReadAgain(file) && currentTime() < limit) {
        std::this_thread::sleep_for(RetryInterval);
        read = readOnce(file);
    }
    return read;
}

int reportProblems(const SettingsProblems &problems)
{
    std::cerr << toString(problems) << '\n';
    return ExitBadUsage;
}

/// Calls @p action each time one of @p signals arrives.
void onSignal(boost::asio::signal_set &signals, const std::function<void()> &action)
{
    signals.async_wait([&signals, action](const boost::system::error_code &error, int) {
        if (!error) {
            action();
            onSignal(signals, action);
        }
    });
}

/// Guards against an exception that one request threw and nothing caught: it would end the process and with it all
/// requests of the VM. The coroutine of that request has finished; the loop continues with the other requests.
void runLoop(boost::asio::io_context &context, Sidecar &sidecar)
{
    bool isRunning = true;
    while (isRunning) {
        try {
            context.run();
            isRunning = false;
        } catch (const std::exception &error) {
            sidecar.recordEscapedError(error.what());
        }
    }
}

/// Delivers the handled signals while it exists. The handlers must stand for longer: at its end the signals are blocked
/// again, since the system's default action would else end a process that has stopped as planned.
class SignalDelivery
{
public:
    SignalDelivery() { unblockHandledSignals(); }
    ~SignalDelivery() { blockHandledSignals(); }
    SignalDelivery(const SignalDelivery &) = delete;
    SignalDelivery &operator=(const SignalDelivery &) = delete;
};

/// Large blocks go back to the system when they are freed. By default the allocator takes ever larger ones from its
/// heap, and keeps them.
void returnLargeBlocks()
{
    constexpr int LargeBlockBytes = 128 * 1024;
    constexpr int MaxFreeTopBytes = 4 * 1024 * 1024;
    (void)::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
    (void)::mallopt(M_TRIM_THRESHOLD, MaxFreeTopBytes);
}

int runSidecar(const std::string &file, const DecisionSettings &decisions)
{
    returnLargeBlocks();
    AsioEventPort loop;
    // The handlers are installed first. Otherwise a signal to stop or to reload the settings would kill a process that
    // is still starting.
    boost::asio::signal_set stopSignals(loop.context(), SIGTERM, SIGINT);
    boost::asio::signal_set reloadSignal(loop.context(), SIGHUP);
    const SignalDelivery delivery;
    const auto read = readStartSettings(file);
    if (!read) {
        return reportProblems(read.error());
    }
    const SidecarSettings &settings = read.value().settings;
    Sidecar sidecar(loop.context(), settings, makePlatform(loop.context(), settings, decisions.catalog), decisions);
    if (const auto started = sidecar.start(); !started) {
        std::cerr << "egretpath-sidecar: cannot listen: " << started.error().detail << '\n';
        return ExitCannotStart;
    }
    onSignal(stopSignals, [&sidecar] { sidecar.stop(); });
    SettingsReloader reloader(loop.context(), sidecar, file, read.value().text);
    reloader.start();
    onSignal(reloadSignal, [&reloader] { reloader.requestReload(); });
    runLoop(loop.context(), sidecar);
    return EXIT_SUCCESS;
}

int checkSettings(const std::string &file)
{
    unblockHandledSignals();
    const auto settings = readSidecarSettingsFile(file);
    return settings ? EXIT_SUCCESS : reportProblems(settings.error());
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
    app.add_option("--settings", file, "the settings file (TOML); default: the file that EGRETPATH_CONFIG names");
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
