#include "node/requesttarget.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

TEST_CASE("the first segment of the path names the service")
{
    CHECK(RequestTarget("/statements/17?year=2").service() == ServiceName("statements"));
    CHECK(RequestTarget("/statements?year=2").service() == ServiceName("statements"));
    CHECK(RequestTarget("/statements").service() == ServiceName("statements"));
    CHECK(RequestTarget("/").service() == ServiceName());
    CHECK(RequestTarget("*").service() == ServiceName());
}

TEST_CASE("parameters are found by their whole name")
{
    const RequestTarget target("/.egretpath/keys?service=arrangements&count=20&empty");
    CHECK(target.parameter("service") == "arrangements");
    CHECK(target.parameter("count") == "20");
    CHECK(target.parameter("empty").empty());
    CHECK(target.parameter("serv").empty());
    CHECK(RequestTarget("/statements").parameter("service").empty());
}
