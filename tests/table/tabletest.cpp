#include "table/table.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "table/tabledigest.h"
#include "tablegenerator.h"

using namespace Egretpath;

TEST_CASE("upstreams of a service are sorted by name and found by name")
{
    REQUIRE(rc::check("lookups", [] {
        const TablePointer table = *anyTable();
        std::size_t seen = 0;
        for (const ServicePolicy &service : table->services()) {
            RC_ASSERT(table->service(service.service) == &service);
            const auto upstreams = table->upstreams(service.service);
            seen += upstreams.size();
            RC_ASSERT(std::is_sorted(upstreams.begin(), upstreams.end()));
            for (const UpstreamPolicy &upstream : upstreams) {
                RC_ASSERT(upstream.service == service.service);
                RC_ASSERT(table->upstream(upstream.upstream) == &upstream);
            }
        }
        RC_ASSERT(seen == table->upstreams().size());
    }));
}

TEST_CASE("the rows of a service and a region are found by service, in the order of their regions")
{
    REQUIRE(rc::check("lookups", [] {
        const TablePointer table = *anyTable();
        for (const ServicePolicy &service : table->services()) {
            std::vector<SpillPolicy> wanted;
            std::copy_if(table->spills().begin(), table->spills().end(), std::back_inserter(wanted),
                         [&](const SpillPolicy &spill) { return spill.service == service.service; });
            const auto found = table->spills(service.service);
            RC_ASSERT(std::vector<SpillPolicy>(found.begin(), found.end()) == wanted);
        }
    }));
}

TEST_CASE("names that aren't in the table are not found")
{
    const TablePointer table = tableFrom("service,region,upstream,weight,in_flight_cap,deadline_ms\na,,,,,1\n");
    CHECK(table->service(ServiceName("b")) == nullptr);
    CHECK(table->upstream(UpstreamName("a")) == nullptr);
    CHECK(table->region(RegionName("a")) == nullptr);
    CHECK(table->upstreams(ServiceName("b")).empty());
    CHECK(table->spills(ServiceName("b")).empty());
    CHECK(table->spillWeight(ServiceName("a"), RegionName("a")) == 0);
}

TEST_CASE("the digest doesn't depend on the order of the rows and can be kept by changes")
{
    REQUIRE(rc::check("order", [](unsigned seed) {
        const TablePointer table = *anyTable();
        std::vector<TableRow> rows = table->rows();
        std::shuffle(rows.begin(), rows.end(), std::mt19937(seed));
        TableDigest digest;
        for (const TableRow &row : rows) {
            digest.add(row);
        }
        RC_ASSERT(digest.value() == table->digest());
        TableDigest smaller(table->digest());
        for (const TableRow &row : rows) {
            smaller.remove(row);
        }
        RC_ASSERT(smaller.value() == Digest{});
    }));
}

TEST_CASE("versions are totally ordered by number, then digest")
{
    REQUIRE(rc::check("total order", [] {
        const TableVersion a = *anyVersion();
        const TableVersion b = *anyVersion();
        const TableVersion c = *anyVersion();
        RC_ASSERT((a < b) + (b < a) + (a == b) == 1);
        RC_ASSERT(!(a < b && b < c) || a < c);
        RC_ASSERT(a.number == b.number || (a < b) == (a.number < b.number));
    }));
}

TEST_CASE("two tables under one number: every node keeps the same one, whichever it saw first")
{
    // Two operators publish at once under number 7. Nodes that see the two tables in
    // different orders would stay split for good if the first or the last one won.
    const std::string header = "service,region,upstream,weight,in_flight_cap,deadline_ms\n";
    const TablePointer one = tableFrom(header + "a,,,,,1\n", 7);
    const TablePointer other = tableFrom(header + "a,,,,,2\n", 7);
    REQUIRE(one->version() != other->version());
    CHECK(std::max(one->version(), other->version()) == std::max(other->version(), one->version()));
    CHECK(TableVersion{} < std::min(one->version(), other->version()));
}
