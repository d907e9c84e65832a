#include "sidecar/routehistory.h"

#include <catch2/catch.hpp>

#include "rpc/routecoding.h"

using namespace Egretpath;

namespace
{

RouteTablePointer tableOf(std::uint64_t version)
{
    Route route;
    route.prefix = "/v" + std::to_string(version) + "/";
    return std::make_shared<const RouteTable>(RouteVersion(version),
                                              std::vector<RouteTable::Host>{{"h", {std::move(route)}}},
                                              std::vector<ServiceEntry>(), CallerLimits());
}

RouteVersion startOf(const PackedRoutes &packed)
{
    return unpackChanges(packed).value().from;
}

}

TEST_CASE("a node gets the changes since its version, and all routes if that version is not known")
{
    constexpr std::uint64_t LastVersion = 30;
    RouteHistory history;
    for (std::uint64_t version = 1; version <= LastVersion; ++version) {
        history.activate(tableOf(version));
    }
    CHECK(startOf(history.changesSince(RouteVersion(LastVersion - 1))) == RouteVersion(LastVersion - 1));
    CHECK(startOf(history.changesSince(RouteVersion(LastVersion - 7))) == RouteVersion(LastVersion - 7));
    CHECK(startOf(history.changesSince(RouteVersion(2))) == RouteVersion());
    CHECK(startOf(history.changesSince(RouteVersion())) == RouteVersion());
}

TEST_CASE("changes from another node are passed on as they came")
{
    RouteHistory history;
    const RouteTablePointer before = tableOf(4);
    const RouteTablePointer after = tableOf(5);
    const PackedRoutes changes = packChanges(changesBetween(before.get(), *after));
    history.activate(before);
    history.activate(after, RouteVersion(4), changes);
    CHECK(history.changesSince(RouteVersion(4)).bytes == changes.bytes);
}
