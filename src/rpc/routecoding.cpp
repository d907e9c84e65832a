#include "rpc/routecoding.h"

#include <cstring>
#include <string>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include "rpc/generated/peer.capnp.h"
#include "rpc/wireconversion.h"

namespace Egretpath
{

namespace
{

using WireConversion::readText;

template<typename List>
unsigned sizeOf(const List &list)
{
    return static_cast<unsigned>(list.size());
}

std::uint64_t toWire(Duration time)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(time).count());
}

void write(Wire::RouteRow::Builder wire, const HostRoute &hostRoute)
{
    const Route &route = hostRoute.route;
    wire.setHost(hostRoute.host);
    wire.setName(route.name.value());
    wire.setPrefix(route.prefix);
    wire.setKind(static_cast<std::uint8_t>(route.kind));
    wire.setTargetLatency(toWire(route.targetLatency));
    wire.setTimeout(toWire(route.timeout));
    wire.setPriority(route.priority);
    wire.setMaxAttempts(route.maxAttempts);
    auto destinations = wire.initDestinations(sizeOf(route.destinations));
    unsigned index = 0;
    for (const Destination &destination : route.destinations) {
        destinations[index].setService(destination.service.value());
        destinations[index++].setWeight(destination.weight);
    }
    auto regions = wire.initRegions(sizeOf(route.regions.names()));
    index = 0;
    for (const RegionName &region : route.regions.names()) {
        regions.set(index++, region.value());
    }
}

/// A kind that this version does not know is read as Unsafe, the kind that is handled most carefully.
void readKind(std::uint8_t wire, Route &route)
{
    route.isKindUnknown = wire > static_cast<std::uint8_t>(LastRequestKind);
    route.kind = route.isKindUnknown ? RequestKind::Unsafe : static_cast<RequestKind>(wire);
}

HostRoutePointer read(Wire::RouteRow::Reader wire)
{
    Route route;
    route.name = RouteName(readText(wire.getName()));
    route.prefix = readText(wire.getPrefix());
    readKind(wire.getKind(), route);
    route.targetLatency = Milliseconds(wire.getTargetLatency());
    route.timeout = Milliseconds(wire.getTimeout());
    route.priority = wire.getPriority();
    route.maxAttempts = wire.getMaxAttempts();
    for (const auto destination : wire.getDestinations()) {
        route.destinations.push_back({ServiceName(readText(destination.getService())), destination.getWeight()});
    }
    std::vector<RegionName> regions;
    for (const auto region : wire.getRegions()) {
        regions.emplace_back(readText(region));
    }
    route.regions = RouteRegions(std::move(regions));
    return makeHostRoute(readText(wire.getHost()), std::move(route));
}

void writeRemovals(Wire::RouteChanges::Builder wire, const RouteChanges &changes)
{
    auto removed = wire.initRemoved(sizeOf(changes.removed));
    unsigned index = 0;
    for (const RouteKey &key : changes.removed) {
        removed[index].setHost(key.host);
        removed[index++].setPrefix(key.prefix);
    }
    auto removedServices = wire.initRemovedServices(sizeOf(changes.removedServices));
    index = 0;
    for (const ServiceName &name : changes.removedServices) {
        removedServices.set(index++, name.value());
    }
}

void writeServices(Wire::RouteChanges::Builder wire, const RouteChanges &changes)
{
    auto services = wire.initChangedServices(sizeOf(changes.changedServices));
    unsigned index = 0;
    for (const ServiceEntry &service : changes.changedServices) {
        services[index].setName(service.name.value());
        services[index].setHealthPath(service.healthPath);
        services[index].setMaxConnections(service.maxConnections);
        if (service.coldRate) {
            services[index].setColdPerSecond(service.coldRate->value());
        }
        ++index;
    }
}

void write(Wire::RouteChanges::Builder wire, const RouteChanges &changes)
{
    wire.setFrom(changes.from.value());
    wire.setTo(changes.to.value());
    auto changed = wire.initChanged(sizeOf(changes.changed));
    unsigned index = 0;
    for (const HostRoutePointer &route : changes.changed) {
        write(changed[index++], *route);
    }
    writeRemovals(wire, changes);
    writeServices(wire, changes);
    wire.setHeaderBytes(changes.limits.headerBytes.value());
    wire.setBodyBytes(changes.limits.bodyBytes.value());
    wire.setHeaderTime(toWire(changes.limits.headerTime));
    wire.setIdleTime(toWire(changes.limits.idleTime));
    wire.setContentHash(changes.contentHash);
}

RouteChanges read(Wire::RouteChanges::Reader wire)
{
    RouteChanges changes;
    changes.from = RouteVersion(wire.getFrom());
    changes.to = RouteVersion(wire.getTo());
    changes.changed.reserve(wire.getChanged().size());
    for (const auto route : wire.getChanged()) {
        changes.changed.push_back(read(route));
    }
    for (const auto key : wire.getRemoved()) {
        changes.removed.push_back({readText(key.getHost()), readText(key.getPrefix())});
    }
    for (const auto service : wire.getChangedServices()) {
        const double coldRate = service.getColdPerSecond();
        changes.changedServices.push_back({ServiceName(readText(service.getName())), readText(service.getHealthPath()),
                                           service.getMaxConnections(),
                                           coldRate >= 0.0 ? std::optional(RequestRate(coldRate)) : std::nullopt});
    }
    for (const auto name : wire.getRemovedServices()) {
        changes.removedServices.emplace_back(readText(name));
    }
    changes.limits.headerBytes = Bytes(wire.getHeaderBytes());
    changes.limits.bodyBytes = Bytes(wire.getBodyBytes());
    changes.limits.headerTime = Milliseconds(wire.getHeaderTime());
    changes.limits.idleTime = Milliseconds(wire.getIdleTime());
    changes.contentHash = wire.getContentHash();
    return changes;
}

}

PackedRoutes packChanges(const RouteChanges &changes)
{
    capnp::MallocMessageBuilder message;
    write(message.initRoot<Wire::RouteChanges>(), changes);
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    const auto bytes = words.asChars();
    return packRoutes({bytes.begin(), bytes.size()});
}

Result<RouteChanges> unpackChanges(const PackedRoutes &packed)
{
    const Result<std::string> text = unpackRoutes(packed);
    if (!text) {
        return text.error();
    }
    // Cap'n Proto reads whole words, which must be aligned.
    const std::size_t size = text.value().size() / sizeof(capnp::word);
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>(size);
    std::memcpy(words.begin(), text.value().data(), size * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader message(words);
        return read(message.getRoot<Wire::RouteChanges>());
    } catch (const kj::Exception &error) {
        return notRun(Reason::BadRequest, error.getDescription().cStr());
    }
}

}
