#include "membership/vmlist.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

constexpr std::string_view GoodText = "7\n"
                                      "ledger-1,ledger,mazowsze,a,10.0.0.1:7000,live\n"
                                      "board-1,board,mazowsze,b,10.0.0.2:7000,leaving\n";

struct BadText
{
    std::string text;
    std::size_t line;
    std::string message;
};

}

TEST_CASE("a list survives its text form, sorted by upstream")
{
    const VmListParse parse = parseVmList(GoodText);
    REQUIRE(parse.list);
    CHECK(parse.list->version == 7);
    REQUIRE(parse.list->records.size() == 2);
    CHECK(parse.list->records.front().upstream == UpstreamName("board-1"));
    CHECK(parse.list->records.front().state == VmState::Leaving);
    CHECK(parseVmList(printVmList(*parse.list)).list == parse.list);
}

TEST_CASE("a list without VMs and a list with empty lines are allowed")
{
    CHECK(parseVmList("3\n").list == VmList{3, {}});
    CHECK(parseVmList("\n3\r\n\r\nu,s,r,z,1.2.3.4:5,live\r\n").list->records.size() == 1);
}

TEST_CASE("a list with a bad line is refused whole, with the line and what is allowed")
{
    const std::string row = "u,s,r,z,1.2.3.4:5,live\n";
    const std::vector<BadText> texts{
        {"", 1, "version number is missing"},
        {"seven\n" + row, 1, "'seven' is no version"},
        {"-1\n" + row, 1, "'-1' is no version"},
        {"1\nu,s,r,z,1.2.3.4:5\n", 2, "6 columns"},
        {"1\n" + row + "v,s,r,z,1.2.3.4:5,live,x\n", 3, "6 columns"},
        {"1\n" + row + "\nv,s,r,z,1.2.3.4:5,gone\n", 4, "state 'gone' is not allowed"},
        {"1\nu,,r,z,1.2.3.4:5,live\n", 2, "service ''"},
        {"1\nu,a b,r,z,1.2.3.4:5,live\n", 2, "service 'a b'"},
        {std::string("1\n") + std::string(MaxVmListFieldBytes + 1, 'u') + ",s,r,z,1.2.3.4:5,live\n", 2, "upstream"},
        {"1\n" + row + row, 3, "occurs twice"},
        {"1\n" + row + "\"v,s\n", 3, "quote"},
    };
    for (const BadText &bad : texts) {
        INFO(bad.text);
        const VmListParse parse = parseVmList(bad.text);
        CHECK_FALSE(parse.list);
        REQUIRE_FALSE(parse.problems.empty());
        CHECK(parse.problems.front().line == bad.line);
        CHECK_THAT(parse.problems.front().message, Catch::Contains(bad.message));
    }
}

TEST_CASE("a list that is too large is refused before it is read, and problems are bounded")
{
    CHECK_FALSE(parseVmList(std::string(MaxVmListBytes + 1, '\n')).list);
    std::string text = "1\n";
    for (int line = 0; line < 100; ++line) {
        text += "bad\n";
    }
    CHECK(parseVmList(text).problems.size() == MaxVmListProblems);
}
