#include "membership/vmlisthead.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

TEST_CASE("a head of a list in parts names their count and the version")
{
    CHECK(parseVmListHead("parts 3\n17\n") == VmListHead{3, 17});
    CHECK(vmListPartKey("egretpath/vms", 2, 17) == "egretpath/vms/part/2/17");
}

TEST_CASE("a list is no head, and a head that does not check is refused")
{
    CHECK_FALSE(isVmListHead("17\nu,s,r,z,1.2.3.4:5,live\n"));
    for (const std::string_view text : {"parts 3\n17", "parts 0\n17\n", "parts 17\n17\n", "parts x\n17\n",
                                        "parts 3\n17\nmore\n", "parts 3\n", "parts 3 \n17\n", "parts -1\n17\n"}) {
        INFO(text);
        CHECK(isVmListHead(text));
        CHECK_FALSE(parseVmListHead(text));
    }
}
