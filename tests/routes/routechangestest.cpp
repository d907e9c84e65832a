#include "routes/routechanges.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Egretpath;

namespace
{

Route routeTo(const std::string &prefix, const std::string &service)
{
    Route route;
    route.name = RouteName("route " + prefix);
    route.prefix = prefix;
    route.timeout = Milliseconds(800);
    route.destinations = {{ServiceName(service), 1}};
    return route;
}

ServiceEntry serviceNamed(const std::string &name)
{
    ServiceEntry service;
    service.name = ServiceName(name);
    return service;
}

RouteTablePointer tableOf(std::uint64_t version, std::vector<Route> routes, const std::vector<ServiceEntry> &services)
{
    return std::make_shared<const RouteTable>(RouteVersion(version),
                                              std::vector<RouteTable::Host>{{"H.example", std::move(routes)}}, services,
                                              CallerLimits());
}

}

TEST_CASE("changes hold only what differs, and make the newer table of the older one")
{
    const auto before = tableOf(5, {routeTo("/a/", "one"), routeTo("/b/", "one"), routeTo("/d/", "one")},
                                {serviceNamed("one"), serviceNamed("old")});
    const auto after = tableOf(9, {routeTo("/a/", "one"), routeTo("/b/", "two"), routeTo("/c/", "two")},
                               {serviceNamed("one"), serviceNamed("two")});
    const RouteChanges changes = changesBetween(before.get(), *after);
    CHECK(changes.changed.size() == 2);
    CHECK(changes.removed.size() == 1);
    CHECK(changes.changedServices.size() == 1);
    CHECK(changes.removedServices == std::vector<ServiceName>{ServiceName("old")});
    const auto made = tableAfter(before.get(), changes);
    REQUIRE(made.has_value());
    CHECK(made.value()->version() == RouteVersion(9));
    CHECK(made.value()->routeCount() == 3);
    CHECK(made.value()->match("h.example", "/b/1")->destinations.front().service == ServiceName("two"));
    CHECK(made.value()->match("h.example", "/d/1") == nullptr);
    CHECK(made.value()->service(ServiceName("old")) == nullptr);
    CHECK(made.value()->contentHash() == after->contentHash());
}

// Guards against a change that is not passed on, since the hash of a route leaves its regions out.
TEST_CASE("a change of only the regions of a route, or of the cold rate of a service, is a change")
{
    const auto before = tableOf(5, {routeTo("/a/", "one")}, {serviceNamed("one")});
    Route route = routeTo("/a/", "one");
    route.regions = RouteRegions({RegionName("north")});
    ServiceEntry service = serviceNamed("one");
    service.coldRate = RequestRate(2.5);
    const auto after = tableOf(6, {route}, {service});
    const RouteChanges changes = changesBetween(before.get(), *after);
    CHECK(changes.changed.size() == 1);
    CHECK(changes.changedServices.size() == 1);
    const auto made = tableAfter(before.get(), changes);
    REQUIRE(made.has_value());
    CHECK(made.value()->match("h.example", "/a/1")->regions == route.regions);
    CHECK(made.value()->service(ServiceName("one"))->coldRate == RequestRate(2.5));
}

TEST_CASE("without an older table the changes are the complete table")
{
    const auto table = tableOf(5, {routeTo("/a/", "one"), routeTo("/b/", "one")}, {serviceNamed("one")});
    const RouteChanges changes = changesBetween(nullptr, *table);
    CHECK(changes.from == RouteVersion());
    CHECK(changes.changed.size() == 2);
    const auto made = tableAfter(nullptr, changes);
    REQUIRE(made.has_value());
    CHECK(made.value()->contentHash() == table->contentHash());
}

// Guards against a table of which a part belongs to another version.
TEST_CASE("changes are refused for another version, and if they don't add up to the sender's table")
{
    const auto before = tableOf(5, {routeTo("/a/", "one")}, {});
    const auto other = tableOf(6, {routeTo("/a/", "one")}, {});
    const auto after = tableOf(9, {routeTo("/a/", "two"), routeTo("/c/", "two")}, {});
    RouteChanges changes = changesBetween(before.get(), *after);
    CHECK_FALSE(tableAfter(other.get(), changes).has_value());
    CHECK_FALSE(tableAfter(nullptr, changes).has_value());
    changes.changed.pop_back();
    CHECK_FALSE(tableAfter(before.get(), changes).has_value());
}

TEST_CASE("every field of a route counts as content")
{
    const auto contentHash = [](const Route &route) { return makeHostRoute("h", route)->contentHash; };
    const Route base = routeTo("/a/", "one");
    std::vector<Route> different(7, base);
    different[0].name = RouteName("other");
    different[1].kind = RequestKind::Safe;
    different[2].targetLatency = Milliseconds(1);
    different[3].timeout = Milliseconds(801);
    different[4].priority = 1;
    different[5].maxAttempts = 2;
    different[6].destinations.front().weight = 2;
    for (const Route &route : different) {
        CHECK(contentHash(route) != contentHash(base));
    }
    CHECK(makeHostRoute("i", base)->contentHash != contentHash(base));
}

// Guards against a node of an earlier version, which reads a download as unsafe and then gets another hash than the
// sender: it would refuse the table.
TEST_CASE("a download has the content hash of an unsafe route, and the change of one into the other is sent")
{
    Route unsafe = routeTo("/a/", "one");
    unsafe.kind = RequestKind::Unsafe;
    Route download = unsafe;
    download.kind = RequestKind::Download;
    CHECK(makeHostRoute("h", unsafe)->contentHash == makeHostRoute("h", download)->contentHash);
    const RouteTablePointer before = tableOf(5, {unsafe}, {});
    CHECK(changesBetween(before.get(), *tableOf(6, {download}, {})).changed.size() == 1);
}

TEST_CASE("of several routes with one host and prefix the last one counts")
{
    const auto table = tableOf(5, {routeTo("/a/", "one"), routeTo("/a/", "two")}, {});
    CHECK(table->routeCount() == 1);
    CHECK(table->match("h.example", "/a/1")->destinations.front().service == ServiceName("two"));
}
