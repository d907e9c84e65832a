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

// Guards against changes that arrive late because each node on their way parses them first.
TEST_CASE("changes that are not parsed yet are offered to nodes that have the version to which they apply")
{
    RouteHistory history;
    history.activate(tableOf(4));
    history.activate(tableOf(5));
    CHECK(history.offerFor(RouteVersion(5)) == nullptr);
    const PackedRoutes changes = packChanges(changesBetween(tableOf(5).get(), *tableOf(6)));
    history.offer({RouteVersion(5), RouteVersion(6), changes, TimePoint()});
    REQUIRE(history.offerFor(RouteVersion(5)) != nullptr);
    CHECK(history.offerFor(RouteVersion(5))->changes.bytes == changes.bytes);
    CHECK(history.offerFor(RouteVersion(5))->to == RouteVersion(6));
    CHECK(history.offerFor(RouteVersion(4)) == nullptr);
    CHECK(history.offerFor(RouteVersion()) == nullptr);
    history.endOffer();
    CHECK(history.offerFor(RouteVersion(5)) == nullptr);
}

// Guards against routes that go back: what waits to be parsed is older than what another node brought meanwhile.
TEST_CASE("changes that are not parsed yet are not offered once the node has routes as new")
{
    RouteHistory history;
    history.activate(tableOf(5));
    const PackedRoutes changes = packChanges(changesBetween(tableOf(5).get(), *tableOf(6)));
    history.offer({RouteVersion(5), RouteVersion(6), changes, TimePoint()});
    history.activate(tableOf(7));
    CHECK(history.offerFor(RouteVersion(5)) == nullptr);
}

TEST_CASE("a node tells to which version its changes apply")
{
    RouteHistory history;
    history.activate(tableOf(4));
    history.activate(tableOf(5));
    CHECK(history.baseFor(RouteVersion(4)) == RouteVersion(4));
    CHECK(history.baseFor(RouteVersion(3)) == RouteVersion());
    CHECK(startOf(history.changesSince(RouteVersion(4))) == history.baseFor(RouteVersion(4)));
    CHECK(startOf(history.changesSince(RouteVersion(3))) == history.baseFor(RouteVersion(3)));
}
