#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "core/random.h"
#include "core/verdict.h"
#include "dialect/callerdialect.h"
#include "dialect/upstreamdialect.h"
#include "settings/sidecarsettings.h"
#include "sidecar/catalogsource.h"
#include "sidecar/decisionsettings.h"

namespace Egretpath
{

/// The platform-specific parts of a node: the HTTP header fields towards callers and upstreams, and the source of
/// routes and instance list.
struct SidecarPlatform
{
    std::unique_ptr<CallerDialect> callers;
    std::unique_ptr<UpstreamDialect> upstreams;
    std::unique_ptr<CatalogSource> catalog;
};

/// One node beside an upstream on a platform: the daemon with its ingress and egress roles.
///
/// Preconditions: an AsioEventPort on this thread owns @p context, and there is one port for each thread. Thread
/// safety: none.
class Sidecar
{
public:
    Sidecar(boost::asio::io_context &context, const SidecarSettings &settings, SidecarPlatform platform,
            const DecisionSettings &decisions = {});
    ~Sidecar();
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    /// Binds all listeners and starts serving. Errors: ConnectFailed if an address can't be bound.
    [[nodiscard]] Result<void> start();
    /// Applies the settings that may change while the node runs: seeds, retry limits, grace time, link prices and
    /// allowed requests. The other settings, such as addresses and locations, need a restart.
    void reload(const SidecarSettings &settings);
    /// Logs that the reloaded settings can't be used. The current settings stay.
    void recordRefusedReload(const SettingsProblems &problems);
    /// Logs and counts an error that reached the event loop uncaught.
    void recordEscapedError(std::string_view error);
    /// Starts the planned stop. The node is not ready from now on, but serves until the grace time is nearly over or
    /// nobody sends anything more. Then it stops the context. Further calls do nothing.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
