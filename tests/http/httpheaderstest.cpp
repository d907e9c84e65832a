#include "http/httpheaders.h"

#include <catch2/catch.hpp>

#include "http/tcpendpoint.h"

using namespace Egretpath;

TEST_CASE("header names compare case-insensitively and fields keep their order")
{
    HttpHeaders headers{{"Accept", "a"}, {"X-One", "1"}, {"accept", "b"}};
    CHECK(headers.find("ACCEPT") == "a");
    CHECK(headers.begin()->name == "Accept");
    headers.set("accept", "c");
    CHECK(headers.size() == 2);
    CHECK(headers.find("Accept") == "c");
    CHECK_FALSE(headers.contains("Absent"));
}

TEST_CASE("hop-by-hop fields and the fields that Connection lists are removed")
{
    HttpHeaders headers{{"Connection", "close, X-Secret"}, {"X-Secret", "1"}, {"TE", "trailers"}, {"Keep", "2"}};
    headers.removeHopByHop();
    CHECK(headers.size() == 1);
    CHECK(headers.contains("Keep"));
}

TEST_CASE("an endpoint converts to text and back, and host names are refused")
{
    for (const char *text : {"127.0.0.1:8080", "[::1]:80"}) {
        const auto address = toTcpEndpoint(Endpoint(text));
        REQUIRE(address);
        CHECK(toEndpoint(*address).value() == text);
    }
    for (const char *text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", ""}) {
        CHECK_FALSE(toTcpEndpoint(Endpoint(text)));
    }
}
