#include "node/nodetablestore.h"

#include <catch2/catch.hpp>

#include "table/tableparser.h"

using namespace Egretpath;

namespace
{

constexpr std::string_view Header =
    "service,region,upstream,weight,in_flight_cap,queue_cap,connection_cap,tries_cap,body_cap,measure_cap,deadline_ms\n"
    "statements,,,,,,,3,,,800\n";

TablePointer tableOf(std::uint64_t number, const std::string &rows)
{
    return TableParser::parse(std::string(Header) + rows, "test.csv", TableNumber(number)).value();
}

const std::string First = "statements,northmere,statements-1,100,6,,,,,,\n";
const std::string Second = "statements,northmere,statements-2,100,6,,,,,,\n";

}

TEST_CASE("a node that holds a base reaches the newest table by the rows that changed")
{
    NodeTableStore sender;
    NodeTableStore receiver;
    REQUIRE(sender.load(tableOf(1, First)));
    REQUIRE(receiver.load(tableOf(1, First)));
    const TableVersion base = *sender.currentVersion();
    REQUIRE(sender.load(tableOf(2, First + Second)));
    REQUIRE(sender.load(tableOf(3, Second)));
    const auto change = sender.changeSince(base);
    REQUIRE(change.has_value());
    CHECK(receiver.applyChange(base, *sender.currentVersion(), *change));
    CHECK(*receiver.held() == *sender.held());
}

TEST_CASE("a row that came and went between two versions does no harm")
{
    // The change over both versions names the row as removed, though the receiver never had it.
    NodeTableStore sender;
    NodeTableStore receiver;
    REQUIRE(sender.load(tableOf(1, First)));
    REQUIRE(receiver.load(tableOf(1, First)));
    const TableVersion base = *sender.currentVersion();
    REQUIRE(sender.load(tableOf(2, First + Second)));
    REQUIRE(sender.load(tableOf(3, First)));
    CHECK(receiver.applyChange(base, *sender.currentVersion(), sender.changeSince(base).value()));
}

TEST_CASE("an older table is never taken")
{
    // A peer that was cut off for long, or a platform that serves an old value, offers table 1 to a node that has 2.
    NodeTableStore store;
    REQUIRE(store.load(tableOf(2, First)));
    const TablePointer older = tableOf(1, Second);
    CHECK_FALSE(store.load(older));
    CHECK_FALSE(store.applyWhole(older->version(), toCsv(*older)));
    CHECK(store.held()->number() == TableNumber(2));
}

TEST_CASE("a payload that does not lead to the announced digest is refused")
{
    // A change arrives damaged; without the check some rows of the table in force would be no operator's.
    NodeTableStore store;
    REQUIRE(store.load(tableOf(1, First)));
    const TablePointer target = tableOf(2, First + Second);
    const TableVersion base = *store.currentVersion();
    CHECK_FALSE(store.applyChange(base, target->version(), "= statements,northmere,statements-3,100,6,6,220,,,,\n"));
    CHECK_FALSE(store.applyChange(base, target->version(), "nonsense\n"));
    CHECK_FALSE(store.applyWhole(target->version(), toCsv(*store.held())));
    CHECK(store.held()->number() == TableNumber(1));
}
