#include "platform/publishedroutes.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Egretpath;
using Egretpath::Platform::routesFromJson;

namespace
{

const std::string Config = R"({"version":"0000001c",
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15s"},
"base_version":"00000005",
"listeners":[{"hostname":"pay.example","rules":[{"name":"r-pay","kind":"unsafe","target_latency":"400ms","priority":1,
"match":{"prefix":"/plans/"},"action":{"service":"plans","timeout":"1.2s","max_attempts":2}}]},
{"hostname":"read.example","rules":[{"name":"r-read","kind":"safe","target_latency":"300ms","priority":2,
"match":{"prefix":"/statements/"},"action":{"traffic_split":[{"service":"old","weight":90},
{"service":"new","weight":10}],"timeout":"1000ms","max_attempts":3}},
{"name":"r-bare","kind":"later","match":{"prefix":"/"},"action":{"service":"old"}}]}],
"clusters":[{"name":"plans","health_check_path":"/up","max_connections":220,"protocol":"h1","tls":false}]})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

TEST_CASE("published routes are parsed into a route table")
{
    const auto table = routesFromJson(Config);
    REQUIRE(table);
    CHECK(table.value()->version() == RouteVersion(28));
    CHECK(table.value()->limits().idleTime == Milliseconds(15'000));
    CHECK(table.value()->limits().bodyBytes == Bytes(67'108'864));
    const Route *pay = table.value()->match("pay.example", "/plans/7");
    REQUIRE(pay != nullptr);
    CHECK(pay->kind == RequestKind::Unsafe);
    CHECK(pay->timeout == Milliseconds(1200));
    CHECK(pay->targetLatency == Milliseconds(400));
    CHECK(pay->maxAttempts == 2);
    CHECK(pay->priority == 1);
    const Route *read = table.value()->match("read.example", "/statements/7");
    REQUIRE(read != nullptr);
    CHECK(read->kind == RequestKind::Safe);
    REQUIRE(read->destinations.size() == 2);
    CHECK(read->destinations[1].service == ServiceName("new"));
    CHECK(read->destinations[1].weight == 10);
    const ServiceEntry *service = table.value()->service(ServiceName("plans"));
    REQUIRE(service != nullptr);
    CHECK(service->healthPath == "/up");
    CHECK(service->maxConnections == 220);
}

TEST_CASE("an unknown kind counts as unsafe, and omitted fields have defaults")
{
    const auto table = routesFromJson(Config);
    REQUIRE(table);
    const Route *bare = table.value()->match("read.example", "/else");
    REQUIRE(bare != nullptr);
    CHECK(bare->kind == RequestKind::Unsafe);
    CHECK(bare->maxAttempts == 1);
    CHECK(bare->timeout > Milliseconds(10'000));
}

TEST_CASE("routes that can't be read are refused as a whole, and the detail names the fault")
{
    CHECK_FALSE(routesFromJson("nonsense"));
    CHECK_FALSE(routesFromJson("[]"));
    CHECK_FALSE(routesFromJson("{}"));
    CHECK_FALSE(routesFromJson(replaced(Config, "0000001c", "xyz")));
    CHECK_FALSE(routesFromJson(replaced(Config, "0000001c", "00000000")));
    const auto badTime = routesFromJson(replaced(Config, "1.2s", "1.2h"));
    REQUIRE_FALSE(badTime);
    CHECK(badTime.error().detail.find("timeout is not a duration: 1.2h") != std::string::npos);
    CHECK_FALSE(routesFromJson(replaced(Config, "\"service\":\"plans\"", "\"service\":7")));
    CHECK_FALSE(routesFromJson(replaced(Config,
                                        R"([{"service":"old","weight":90},)"
                                        "\n"
                                        R"({"service":"new","weight":10}])",
                                        "[]")));
}
