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

/// What a platform brings: its fields towards callers and upstreams, and where routes and upstreams are read.
struct SidecarPlatform
{
    std::unique_ptr<CallerDialect> callers;
    std::unique_ptr<UpstreamDialect> upstreams;
    std::unique_ptr<CatalogSource> catalog;
};

/// One node beside an upstream on a platform: the daemon with its ingress and egress roles.
///
/// Preconditions: an AsioEventPort on this thread owns @p context; one for each thread. Thread safety: none.
class Sidecar
{
public:
    Sidecar(boost::asio::io_context &context, const SidecarSettings &settings, SidecarPlatform platform,
            const DecisionSettings &decisions = {});
    ~Sidecar();
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    /// Binds all listeners and begins to work. Errors: ConnectFailed, when an address can't be bound.
    [[nodiscard]] Result<void> start();
    /// Puts in force what may change while the node runs: seeds, limits of repeats, the grace time. The rest, addresses
    /// and places, needs a restart.
    void reload(const SidecarSettings &settings);
    /// The settings that were to be put in force can't be used; those in force stay.
    void reloadRefused(const SettingsProblems &problems);
    /// An error that nothing caught reached the event loop; for the log.
    void recordEscapedError(std::string_view what);
    /// Begins the planned stop: not ready from now on, serving until the grace time is nearly over or nobody sends
    /// anything more, then the context is stopped. Further calls do nothing.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
