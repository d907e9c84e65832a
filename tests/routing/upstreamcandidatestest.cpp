#include "routing/upstreamcandidates.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Egretpath;

namespace
{

const ServiceName Plans("plans");

InstanceChange upstreamIn(const std::string &id, const std::string &region, const std::string &zone)
{
    InstanceRecord record;
    record.id = UpstreamName(id);
    record.service = Plans;
    record.location = {RegionName(region), ZoneName(zone)};
    record.address = Endpoint(id);
    record.revision = StoreRevision(1);
    return {record.id, record.revision, record};
}

InstanceDirectory directoryOf(const std::vector<InstanceChange> &upstreams)
{
    InstanceDirectory directory;
    for (const InstanceChange &upstream : upstreams) {
        directory.applyChange(upstream, TimePoint());
    }
    return directory;
}

EvacuatedZones evacuated(std::vector<ZoneName> zones)
{
    EvacuationSnapshot snapshot;
    snapshot.revision = StoreRevision(3);
    for (ZoneName &zone : zones) {
        snapshot.evacuations.push_back({std::move(zone), StoreRevision(2)});
    }
    EvacuatedZones result;
    result.applySnapshot(snapshot);
    return result;
}

Route routeIn(std::vector<RegionName> regions)
{
    Route route;
    route.regions = RouteRegions(std::move(regions));
    return route;
}

}

TEST_CASE("only upstreams in the regions of the route are candidates")
{
    const InstanceDirectory directory =
        directoryOf({upstreamIn("i-1", "north", "north-a"), upstreamIn("i-2", "south", "south-a")});
    const UpstreamCandidates all = findCandidates(directory, evacuated({}), Plans, routeIn({}));
    CHECK(all.allowed.size() == 2);
    const UpstreamCandidates some = findCandidates(directory, evacuated({}), Plans, routeIn({RegionName("south")}));
    REQUIRE(some.allowed.size() == 1);
    CHECK(some.allowed.front().upstream == UpstreamName("i-2"));
    CHECK(some.outsideRegions == 1);
}

// Guards against a route that is served elsewhere because none of its regions has an upstream, or exists.
TEST_CASE("a route whose regions have no upstream has no candidates, and its requests are refused with a retry delay")
{
    const InstanceDirectory directory = directoryOf({upstreamIn("i-1", "north", "north-a")});
    const UpstreamCandidates none = findCandidates(directory, evacuated({}), Plans, routeIn({RegionName("nowhere")}));
    CHECK(none.allowed.empty());
    const Failure failure = noCandidateFailure(none);
    CHECK(failure.verdict == Verdict::NotRun);
    CHECK(failure.reason == Reason::OutsideRegions);
    CHECK(failure.retryAfter > Milliseconds{0});
}

TEST_CASE("a node whose region the route does not name refuses its requests")
{
    const Location here{RegionName("north"), ZoneName("north-a")};
    CHECK_FALSE(locationRejection(here, routeIn({})));
    CHECK_FALSE(locationRejection(here, routeIn({RegionName("north")})));
    const auto rejection = locationRejection(here, routeIn({RegionName("south")}));
    REQUIRE(rejection);
    CHECK(rejection->reason == Reason::OutsideRegions);
    CHECK(rejection->verdict == Verdict::NotRun);
}

TEST_CASE("upstreams in evacuated zones are no candidates, and if only they are left the request is refused")
{
    const InstanceDirectory directory =
        directoryOf({upstreamIn("i-1", "north", "north-a"), upstreamIn("i-2", "north", "north-b"),
                     upstreamIn("i-3", "south", "south-a")});
    const Route north = routeIn({RegionName("north")});
    const UpstreamCandidates one = findCandidates(directory, evacuated({ZoneName("north-a")}), Plans, north);
    REQUIRE(one.allowed.size() == 1);
    CHECK(one.allowed.front().upstream == UpstreamName("i-2"));
    const UpstreamCandidates none =
        findCandidates(directory, evacuated({ZoneName("north-a"), ZoneName("north-b")}), Plans, north);
    CHECK(none.allowed.empty());
    const Failure failure = noCandidateFailure(none);
    CHECK(failure.verdict == Verdict::NotRun);
    CHECK(failure.reason == Reason::ZoneEvacuated);
    CHECK(failure.retryAfter > Milliseconds{0});
}

// Guards against a request that the former service of its route runs.
TEST_CASE("a request may be handed over only to services to which its route sends requests")
{
    Route route;
    route.destinations = {{Plans, 3}, {ServiceName("former"), 0}};
    CHECK_FALSE(serviceRejection(&route, Plans));
    for (const char *service : {"former", "other"}) {
        const auto rejection = serviceRejection(&route, ServiceName(service));
        REQUIRE(rejection.has_value());
        CHECK(rejection->verdict == Verdict::NotRun);
        CHECK(rejection->reason == Reason::OlderRoutes);
    }
    CHECK(serviceRejection(nullptr, Plans)->reason == Reason::OlderRoutes);
}
