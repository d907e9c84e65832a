#include "routes/routetable.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

#include "routes/trafficsplit.h"

using namespace Egretpath;

namespace
{

Route routeWith(const std::string &name, const std::string &prefix, std::vector<Destination> destinations)
{
    Route route;
    route.name = RouteName(name);
    route.prefix = prefix;
    route.destinations = std::move(destinations);
    return route;
}

Route routeTo(const std::string &name, const std::string &prefix)
{
    return routeWith(name, prefix, {{ServiceName("statements"), 1}});
}

std::string nameOf(const Route *route)
{
    return route == nullptr ? "none" : route->name.value();
}

std::map<std::string, int> sharesOf(TrafficSplit &split, const Route &route, int requests)
{
    std::map<std::string, int> shares;
    for (int count = 0; count < requests; ++count) {
        ++shares[split.next(route).value()];
    }
    return shares;
}

}

TEST_CASE("the route of the host with the longest prefix of the path is taken")
{
    const RouteTable table(
        RouteVersion(1),
        {{"a.example", {routeTo("all", "/"), routeTo("books", "/books/"), routeTo("ledgers", "/books/ledgers/")}},
         {"b.example", {routeTo("other", "/other/")}}},
        {}, CallerLimits());
    CHECK(nameOf(table.match("a.example", "/books/ledgers/7")) == "ledgers");
    CHECK(nameOf(table.match("a.example", "/books/ledgers/")) == "ledgers");
    CHECK(nameOf(table.match("a.example", "/books/ledgers")) == "books");
    CHECK(nameOf(table.match("a.example", "/booksellers/1")) == "all");
    CHECK(nameOf(table.match("A.Example:8080", "/books/1")) == "books");
    CHECK(nameOf(table.match("a.example", "/x?from=/books/ledgers/")) == "all");
    CHECK(nameOf(table.match("b.example", "/books/1")) == "none");
    CHECK(nameOf(table.match("c.example", "/")) == "none");
    CHECK(nameOf(table.match("a.example", "*")) == "none");
    CHECK(table.routeCount() == 4);
}

// Guards against shares that are far off when operators move a tenth of a route's requests to a new service. With
// random draws, eight nodes with some dozen requests each sent the new service anything from a twentieth to a sixth.
TEST_CASE("each destination gets its share to within two requests")
{
    const Route route =
        routeWith("split", "/", {{ServiceName("old"), 90}, {ServiceName("new"), 7}, {ServiceName("third"), 3}});
    TrafficSplit split(7);
    for (const int requests : {10, 33, 100, 1000}) {
        TrafficSplit fresh(static_cast<std::uint64_t>(requests));
        auto shares = sharesOf(fresh, route, requests);
        CHECK(std::abs(shares["old"] - requests * 0.90) <= 2.0);
        CHECK(std::abs(shares["new"] - requests * 0.07) <= 2.0);
        CHECK(std::abs(shares["third"] - requests * 0.03) <= 2.0);
    }
}

// Guards against destinations that get nothing when a hundred nodes see one request each and all of them start with the
// destination of the largest weight.
TEST_CASE("nodes start with different destinations")
{
    const Route route = routeWith("split", "/", {{ServiceName("old"), 75}, {ServiceName("new"), 25}});
    int toNew = 0;
    for (std::uint64_t seed = 0; seed < 400; ++seed) {
        TrafficSplit split(seed);
        toNew += split.next(route).value() == "new" ? 1 : 0;
    }
    CHECK(toNew > 40);
    CHECK(toNew < 200);
}

TEST_CASE("a destination of weight zero gets at most one request")
{
    const Route route = routeWith("split", "/", {{ServiceName("old"), 1}, {ServiceName("off"), 0}});
    TrafficSplit split(3);
    auto shares = sharesOf(split, route, 50);
    CHECK(shares["off"] <= 1);
}
