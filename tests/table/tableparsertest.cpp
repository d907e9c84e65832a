#include "table/tableparser.h"

#include <fstream>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "table/tablebuilder.h"
#include "table/tablecolumns.h"
#include "tablegenerator.h"

using namespace Egretpath;

namespace
{

const std::string Header = "service,region,upstream,weight,in_flight_cap,queue_cap,connection_cap,tries_cap,body_cap,"
                           "measure_cap,deadline_ms\n";
const std::string Statements = "statements,,,,,,,,,,800\n";

std::string problemsOf(const std::string &text)
{
    const auto table = TableParser::parse(text, "north.csv", TableNumber(1));
    return table ? "" : toString(table.error());
}

std::string fileText(const std::string &name)
{
    std::ifstream file(EGRETPATH_SOURCE_DIR "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

struct BadInput
{
    std::string text;
    std::string message;
};

const std::string KeyCells =
    "cells filled for service; for region; for service and region; or for service, region and upstream";
const std::string NameText = "1 to 63 letters, digits, '.', '_' and '-' of ASCII";

}

TEST_CASE("each row kind is read, with defaults for empty cells")
{
    const TablePointer table = tableFrom(Header + Statements
                                         + ",northmere,,,,,,,,2000,\n"
                                           "statements,eastholm,,30,,,,,,,\n"
                                           "statements,northmere,statements-1,100,6,,,,,,\n");
    const ServicePolicy expected{ServiceName("statements"), Milliseconds(800), 1, Bytes(64UL * 1024 * 1024)};
    REQUIRE(table->service(ServiceName("statements")) != nullptr);
    CHECK(*table->service(ServiceName("statements")) == expected);
    CHECK(table->region(RegionName("northmere"))->measureCap == Bytes(2000));
    CHECK(table->spillWeight(ServiceName("statements"), RegionName("eastholm")) == 30);
    CHECK(table->spillWeight(ServiceName("statements"), RegionName("northmere")) == 0);
    const UpstreamPolicy upstream{
        UpstreamName("statements-1"), ServiceName("statements"), RegionName("northmere"), 100, 6, 6, 220};
    CHECK(*table->upstream(UpstreamName("statements-1")) == upstream);
}

TEST_CASE("columns may stand in any order, optional ones may be missing, spreadsheets' habits are accepted")
{
    const std::string text = "\xef\xbb\xbf"
                             "deadline_ms,upstream,region,weight,service,in_flight_cap\r\n"
                             "\"800\",,,, statements ,\r\n"
                             ",,,,,\r\n"
                             "\r\n"
                             ",statements-1,northmere,100,statements,6";
    CHECK(*tableFrom(text) == *tableFrom(Header + Statements + "statements,northmere,statements-1,100,6,6,220,,,,\n"));
}

TEST_CASE("bad input is refused with a message that says where and what is allowed")
{
    const std::string row = "statements,northmere,statements-1,100,6,,,,,,\n";
    const BadInput inputs[] = {
        {Header + Statements + "statements,northmere,statements-1,many,6,,,,,,\n",
         "north.csv: row 3, column weight: \"many\" is not allowed; allowed: a whole number from 0 to 1000\n"},
        {Header + Statements + "statements,northmere,statements-1,1001,6,,,,,,\n",
         "north.csv: row 3, column weight: \"1001\" is not allowed; allowed: a whole number from 0 to 1000\n"},
        {Header + Statements + "statements,northmere,statements-1,-1,99999999999999999999,,,,,,\n",
         "north.csv: row 3, column weight: \"-1\" is not allowed; allowed: a whole number from 0 to 1000\n"
         "north.csv: row 3, column in_flight_cap: \"99999999999999999999\" is not allowed; allowed: a whole number "
         "from "
         "1 to 100000\n"},
        {Header + Statements + "statements,northmere,statements-1,,6.0,,,,,,\n",
         "north.csv: row 3, column weight: \"\" is not allowed; allowed: a whole number from 0 to 1000\n"
         "north.csv: row 3, column in_flight_cap: \"6.0\" is not allowed; allowed: a whole number from 1 to 100000\n"},
        {Header + "statements,,,,,3,,,,,\n",
         "north.csv: row 2, column queue_cap: \"3\" is not allowed; allowed: an empty cell in a service row\n"
         "north.csv: row 2, column deadline_ms: \"\" is not allowed; allowed: a whole number from 1 to 600000\n"},
        {Header + Statements + Statements,
         "north.csv: row 3, column service: \"statements\" is not allowed; allowed: one row for each; row 2 has it "
         "already\n"},
        {Header + Statements + row + "statements,eastholm,statements-1,1,1,,,,,,\n",
         "north.csv: row 4, column upstream: \"statements-1\" is not allowed; allowed: one row for each; row 3 has it "
         "already\n"},
        {Header + Statements + "intake,northmere,intake-1,100,6,,,,,,\n",
         "north.csv: row 3, column service: \"intake\" is not allowed; allowed: a service that has a service row\n"},
        {Header + Statements + "statements,,statements-1,100,6,,,,,,\n",
         "north.csv: row 3: \"statements,,statements-1\" is not allowed; allowed: " + KeyCells + "\n"},
        {Header + Statements + ",,,5,,,,,,,\n", "north.csv: row 3: \",,\" is not allowed; allowed: " + KeyCells + "\n"},
        {Header + Statements + "price board,,,,,,,,,,9\n",
         "north.csv: row 3, column service: \"price board\" is not allowed; allowed: " + NameText + "\n"},
        {Header + Statements + "statements,northmere\n",
         "north.csv: row 3: \"2 cells\" is not allowed; allowed: 11 cells, as in the header\n"},
        {Header + "\"statements,,,,,,,,,,800\n" + Statements,
         "north.csv: row 2: \"\"statements,,,,,,,,,,800\" is not allowed; allowed: a line whose quotes are closed and "
         "stand around whole cells\n"},
        {Header + Statements + std::string("in\0take,,,,,,,,,,800\n", 21),
         "north.csv: row 3: \"in\\x00take,,,,,,,,,,800\" is not allowed; allowed: text without NUL bytes\n"},
        {Header + Statements + ",north\rmere,,,,,,,,,\n",
         "north.csv: row 3: \",north\\x0dmere,,,,,,,,,\" is not allowed; allowed: lines that end with LF or CR LF\n"},
        {"service,region,upstream,wieght,weight,weight,in_flight_cap\nstatements,,,,,,\n",
         "north.csv: row 1, column wieght: \"wieght\" is not allowed; allowed: a header of the columns "
             + Header.substr(0, Header.size() - 1)
             + "\n"
               "north.csv: row 1, column weight: \"weight\" is not allowed; allowed: a header that names each column "
               "once\n"
               "north.csv: row 1, column deadline_ms: \"\" is not allowed; allowed: a header that names this column\n"},
        {"", "north.csv: \"no header line\" is not allowed; allowed: a header line such as " + Header},
        {Header, "north.csv: \"no service row\" is not allowed; allowed: at least one service row\n"},
    };
    for (const BadInput &input : inputs) {
        CHECK(problemsOf(input.text) == input.message);
    }
}

TEST_CASE("a file, a line or a table that is too long is refused")
{
    CHECK(problemsOf(std::string(TableParser::FileCap + 1, ','))
          == "north.csv: \"16777217 bytes\" is not allowed; allowed: at most 16777216 bytes\n");
    CHECK(problemsOf(Header + Statements + std::string(5000, ',')).find("a line of at most 4096 bytes")
          != std::string::npos);
    std::string text = Header + Statements;
    for (std::size_t index = 0; index < TableBuilder::RowCap; ++index) {
        text += "statements,r" + std::to_string(index) + ",,1,,,,,,,\n";
    }
    CHECK(problemsOf(text)
          == "north.csv: row 100002: \"a row too many\" is not allowed; allowed: 100000 rows in all\n");
}

TEST_CASE("a file of nothing but problems costs bounded memory and says how many are not shown")
{
    // A node that reads a broken table of 16 MiB would spend all its memory on messages.
    std::string text = Header;
    for (std::size_t index = 0; index < TableBuilder::ProblemCap + 5; ++index) {
        text += "x\n";
    }
    const auto table = TableParser::parse(text, "north.csv", TableNumber(1));
    REQUIRE(!table);
    CHECK(table.error().size() == TableBuilder::ProblemCap + 1);
    CHECK(table.error().back().value == "5 further problems");
}

TEST_CASE("a single row is read as it was written")
{
    const std::string text = "statements,northmere,statements-1,100,6,6,220,,,,";
    const auto row = TableParser::parseRow(text, "peer");
    REQUIRE(row.has_value());
    CHECK(row.value().canonicalText() == text);
    CHECK_FALSE(TableParser::parseRow(text + "\n" + text, "peer").has_value());
    CHECK_FALSE(TableParser::parseRow("", "peer").has_value());
    CHECK_FALSE(TableParser::parseRow("statements,northmere,statements-1,many,6,6,220,,,,", "peer").has_value());
}

TEST_CASE("parsing what was printed gives the same table")
{
    REQUIRE(rc::check("parse(print(table)) == table", [] {
        const TablePointer table = *anyTable();
        RC_ASSERT(*tableFrom(toCsv(*table), table->number().value()) == *table);
        for (const TableRow &row : table->rows()) {
            RC_ASSERT(TableParser::parseRow(row.canonicalText(), "peer").value() == row);
        }
    }));
}

TEST_CASE("arbitrary bytes are refused or accepted, never more")
{
    REQUIRE(rc::check("any text after the header", [](const std::string &noise) {
        const auto table = TableParser::parse(Header + Statements + noise, "north.csv", TableNumber(1));
        // RC_ASSERT evaluates both sides of an "or"; the error of a table that was accepted must not be read.
        const bool isDecided = table.has_value() || !table.error().empty();
        RC_ASSERT(isDecided);
    }));
}

TEST_CASE("the examples are accepted and have the sizes of both deployments")
{
    for (const char *name : {"examples/marrowfield/table.csv", "examples/registry/table.csv"}) {
        const TablePointer table = tableFrom(fileText(name));
        CHECK(table->services().size() == 3);
        CHECK(table->regions().size() == 3);
        for (const ServicePolicy &service : table->services()) {
            CHECK(table->upstreams(service.service).size() == 6);
        }
    }
}

TEST_CASE("each column has its page, with an example row that is accepted")
{
    for (std::size_t index = 0; index < TableColumnCount; ++index) {
        const std::string name(columnName(static_cast<TableColumn>(index)));
        const std::string page = fileText("docs/table/" + name + ".md");
        const std::size_t begin = page.find("```csv\n");
        REQUIRE(begin != std::string::npos);
        const std::size_t text = begin + std::string("```csv\n").size();
        const std::string example = page.substr(text, page.find("```", text) - text);
        CHECK_THAT(example, Catch::Matchers::Contains(name));
        CHECK(problemsOf(example).empty());
    }
}
