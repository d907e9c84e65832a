#include "table/tablediff.h"

#include <catch2/catch.hpp>

#include "table/tableeditor.h"
#include "tablegenerator.h"

using namespace Egretpath;

namespace
{

const std::string Header = "service,region,upstream,weight,in_flight_cap,tries_cap,measure_cap,deadline_ms\n";

const std::string Base = Header
    + "arrangements,,,,,1,,800\n"
      "intake,,,,,2,,800\n"
      ",eastholm,,,,,100,\n"
      "arrangements,eastholm,,10,,,,\n"
      "arrangements,northmere,arrangements-1,100,6,,,\n"
      "arrangements,northmere,arrangements-2,100,6,,,\n"
      "arrangements,northmere,arrangements-3,100,6,,,\n"
      "intake,northmere,intake-1,100,6,,,\n";

const std::string Target = Header
    + "arrangements,,,,,2,,500\n"
      ",eastholm,,,,,0,\n"
      "arrangements,northmere,arrangements-2,50,9,,,\n"
      "arrangements,northmere,arrangements-3,0,6,,,\n"
      "arrangements,eastholm,arrangements-4,100,6,,,\n"
      "arrangements,eastholm,arrangements-1,100,6,,,\n";

}

TEST_CASE("applying the difference of two tables to the first gives the second")
{
    REQUIRE(rc::check("apply(between(a, b), a) == b", [] {
        const TablePointer base = *anyTable();
        const TablePointer target = *anyTable();
        const TableChange change = TableDiff::between(*base, *target);
        const auto result = TableDiff::apply(*base, change);
        RC_ASSERT(result.has_value());
        RC_ASSERT(*result.value() == *target);
        for (const UpstreamPolicy &upstream : result.value()->upstreams()) {
            RC_ASSERT(result.value()->upstream(upstream.upstream) == &upstream);
        }
    }));
}

TEST_CASE("a change for another base, or one that lost a row on its way, is refused")
{
    // A node that missed a change gets the next one. Applied to its older table the change would give a
    // mixture that no operator published, under the new table's number.
    const TablePointer base = tableFrom(Base, 1);
    const TablePointer target = tableFrom(Target, 2);
    const TableChange change = TableDiff::between(*base, *target);

    TableChange otherBase = change;
    otherBase.base.number = TableNumber(3);
    CHECK_FALSE(TableDiff::apply(*base, otherBase).has_value());

    TableChange lost = change;
    lost.changed.pop_back();
    const auto result = TableDiff::apply(*base, lost);
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().front().allowed == "digest " + toHex(target->digest()));

    TableChange twice = change;
    twice.removed.push_back(twice.removed.front());
    CHECK_FALSE(TableDiff::apply(*base, twice).has_value());

    TableChange doubled = change;
    doubled.changed.push_back(doubled.changed.front());
    CHECK_FALSE(TableDiff::apply(*base, doubled).has_value());
}

TEST_CASE("an edit that doesn't leave a whole table is refused")
{
    const TablePointer base = tableFrom(Base, 1);
    const auto problemOf = [&base](const std::vector<TableRow> &changed, const std::vector<TableRowKey> &removed) {
        const auto result = TableEditor::edit(*base, changed, removed, TableNumber(2), "change");
        return result ? "" : toString(result.error());
    };
    const auto upstream = [](const char *service, const char *region) {
        return TableRow(UpstreamPolicy{UpstreamName("intake-1"), ServiceName(service), RegionName(region), 1, 1, 1, 1});
    };
    CHECK(problemOf({upstream("intake", "northmere")}, {}).empty());
    CHECK(problemOf({upstream("intake", "eastholm")}, {})
          == "change: \"a second row for upstream intake-1\" is not allowed; allowed: one row for each upstream\n");
    CHECK(problemOf({upstream("arrangements", "northmere")}, {})
          == "change: \"a second row for upstream intake-1\" is not allowed; allowed: one row for each upstream\n");
    CHECK(problemOf({upstream("tariffs", "northmere")}, {upstream("intake", "northmere").key()})
          == "change: \"a row of service tariffs\" is not allowed; allowed: a service that has a service row\n");
    CHECK(problemOf({}, {TableRowKey{ServiceName("intake"), {}, {}}})
          == "change: \"a row of service intake\" is not allowed; allowed: a service that has a service row\n");
    CHECK(
        problemOf({}, {upstream("intake", "eastholm").key()})
        == "change: \"removal of service intake, region eastholm, upstream intake-1\" is not allowed; allowed: removal "
           "of a row of the base\n");
}

TEST_CASE("a change is described by what it will do")
{
    const TablePointer base = tableFrom(Base, 1);
    const TablePointer target = tableFrom(Target, 2);
    const std::string moves = "upstream arrangements-1: moves from service arrangements in region northmere to service "
                              "arrangements in region eastholm";
    const std::string isNew = "upstream arrangements-4: new for service arrangements in region eastholm: weight 100, "
                              "in_flight_cap 6, queue_cap 6, connection_cap 220";
    const std::vector<std::string> expected{
        "region eastholm: measure_cap 100 -> 0: no more probes towards the region",
        "service arrangements: tries_cap 1 -> 2: calls may be repeated, which is safe only for idempotent ones",
        "service arrangements: deadline_ms 800 -> 500: calls are given up earlier",
        moves,
        isNew,
        "upstream arrangements-2: weight 100 -> 50: takes a smaller share of the calls",
        "upstream arrangements-2: in_flight_cap 6 -> 9: runs more calls at once",
        "upstream arrangements-2: queue_cap 6 -> 9: more calls wait for a slot",
        "upstream arrangements-3: weight 100 -> 0: drains",
        "service arrangements in region eastholm: removed: no more calls from other regions",
        "service intake: removed: its calls are refused",
        "upstream intake-1: removed: takes no new calls",
    };
    CHECK(TableDiff::describe(*base, TableDiff::between(*base, *target)) == expected);
    CHECK(TableDiff::describe(*base, TableDiff::between(*base, *base)).empty());
}
