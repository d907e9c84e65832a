#include "sidecar/sidecarstate.h"

#include <utility>

namespace Egretpath
{

namespace
{

EventLogSettings logSettings(const SidecarSettings &settings)
{
    EventLogSettings log;
    log.file = EventLogSettings::StandardOutput;
    log.level = std::string(toString(settings.logLevel));
    log.decisionsPerSecond = settings.decisionsPerSecond;
    return log;
}

}

SidecarState::SidecarState(SidecarSettings nodeSettings, Incarnation incarnation, std::uint64_t seed)
    : settings(std::move(nodeSettings))
    , self{UpstreamName(settings.name), incarnation}
    , location{settings.region, settings.zone}
    , random(seed)
    , log(logSettings(settings))
{
    directory.setNamedServices([this](const ServiceName &service) {
        const bool areKnown = routes && !routes->services().empty();
        return !areKnown || routes->service(service) != nullptr;
    });
}

void SidecarState::takeReloaded(const SidecarSettings &reloaded)
{
    settings.seeds = reloaded.seeds;
    settings.retryRatio = reloaded.retryRatio;
    settings.retrySlack = reloaded.retrySlack;
    settings.grace = reloaded.grace;
    settings.linkPrices = reloaded.linkPrices;
    settings.allowedRequests = reloaded.allowedRequests;
}

Endpoint SidecarState::ownAddress() const
{
    const InstanceRecord *own = directory.findByAddress(settings.upstream);
    return own == nullptr ? settings.peers : own->node;
}

}
