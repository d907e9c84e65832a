#include "table/tablediff.h"

#include <catch2/catch.hpp>

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
        RC_ASSERT(change.changed.size() <= target->rows().size());
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

TEST_CASE("a change is described by what it will do")
{
    const TablePointer base = tableFrom(Base, 1);
    const TablePointer target = tableFrom(Target, 2);
    const std::vector<std::string> expected{
        "region eastholm: measure_cap 100 -> 0: no more probes towards the region",
        "service arrangements: tries_cap 1 -> 2: calls may be repeated, which is safe only for idempotent ones",
        "service arrangements: deadline_ms 800 -> 500: calls are given up earlier",
        "upstream arrangements-1: moves from service arrangements in region northmere to service arrangements in "
        "region "
        "eastholm",
        "upstream arrangements-4: new for service arrangements in region eastholm: weight 100, in_flight_cap 6, "
        "queue_cap 6, connection_cap 220",
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
