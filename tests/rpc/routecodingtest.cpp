#include "rpc/routecoding.h"

#include <catch2/catch.hpp>

#include <string>

#include "core/digest.h"

using namespace Egretpath;

namespace
{

RouteTablePointer tableWith(std::uint64_t version, std::size_t routeCount)
{
    RouteTable::Host host{"h.example", {}};
    for (std::size_t number = 0; number < routeCount; ++number) {
        Route route;
        route.name = RouteName("r-" + std::to_string(stableHash(std::to_string(number))));
        route.prefix = "/" + route.name.value() + "/";
        route.kind = RequestKind::Upload;
        route.targetLatency = Milliseconds(300);
        route.timeout = Milliseconds(800);
        route.priority = 2;
        route.maxAttempts = 3;
        route.regions = RouteRegions({RegionName("north")});
        route.destinations = {{ServiceName("statements"), 3}, {ServiceName("plans"), 1}};
        host.routes.push_back(std::move(route));
    }
    ServiceEntry service;
    service.name = ServiceName("statements");
    service.maxConnections = 7;
    service.coldRate = RequestRate(2.5);
    CallerLimits limits;
    limits.idleTime = Milliseconds(1234);
    return std::make_shared<const RouteTable>(RouteVersion(version), std::vector<RouteTable::Host>{host},
                                              std::vector<ServiceEntry>{service}, limits);
}

}

TEST_CASE("changes of routes are read as they were written")
{
    const RouteTablePointer before = tableWith(5, 1400);
    const RouteTablePointer after = tableWith(6, 1401);
    const auto whole = unpackChanges(packChanges(changesBetween(nullptr, *before)));
    REQUIRE(whole.has_value());
    const auto first = tableAfter(nullptr, whole.value());
    REQUIRE(first.has_value());
    CHECK(first.value()->contentHash() == before->contentHash());
    const PackedRoutes packed = packChanges(changesBetween(before.get(), *after));
    const auto changes = unpackChanges(packed);
    REQUIRE(changes.has_value());
    const auto second = tableAfter(first.value().get(), changes.value());
    REQUIRE(second.has_value());
    CHECK(second.value()->contentHash() == after->contentHash());
    CHECK(second.value()->limits().idleTime == Milliseconds(1234));
    CHECK(second.value()->service(ServiceName("statements"))->coldRate == RequestRate(2.5));
    CHECK(second.value()->routes().front()->route.regions == RouteRegions({RegionName("north")}));
}

// Guards against a kind of a later version that is taken for an idempotent one, or makes the whole table unreadable.
TEST_CASE("a kind that this version does not know is read as unsafe, and the other routes keep theirs")
{
    RouteTable::Host host{"h.example", {}};
    for (const std::uint8_t kind : {std::uint8_t{3}, std::uint8_t{200}}) {
        Route route;
        route.prefix = "/" + std::to_string(kind) + "/";
        route.kind = static_cast<RequestKind>(kind);
        host.routes.push_back(std::move(route));
    }
    const RouteTable sent(RouteVersion(5), std::vector<RouteTable::Host>{host}, {}, CallerLimits());
    const auto changes = unpackChanges(packChanges(changesBetween(nullptr, sent)));
    REQUIRE(changes.has_value());
    REQUIRE(changes.value().changed.size() == 2);
    const Route &unknown = changes.value().changed[0]->route;
    const Route &download = changes.value().changed[1]->route;
    CHECK(unknown.kind == RequestKind::Unsafe);
    CHECK(unknown.isKindUnknown);
    CHECK(download.kind == RequestKind::Download);
    CHECK_FALSE(download.isKindUnknown);
    // The hash tells a receiver that it got another table than the sender's, and it would refuse all of it.
    CHECK(tableAfter(nullptr, changes.value()).has_value());
}

TEST_CASE("a change of one route among many takes few bytes")
{
    constexpr std::size_t MaxBytes = 512;
    CHECK(packChanges(changesBetween(tableWith(5, 1400).get(), *tableWith(6, 1401))).bytes.size() < MaxBytes);
}

TEST_CASE("bytes that packChanges() did not write are refused")
{
    const std::string packed = packChanges(changesBetween(nullptr, *tableWith(5, 10))).bytes;
    CHECK_FALSE(unpackChanges({}).has_value());
    CHECK_FALSE(unpackChanges({"{routes}"}).has_value());
    CHECK_FALSE(unpackChanges({packed.substr(0, packed.size() / 2)}).has_value());
    CHECK_FALSE(unpackChanges(packRoutes("no message of words")).has_value());
    CHECK_FALSE(unpackChanges(packRoutes(std::string(64, '\xff'))).has_value());
}
