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
    CHECK(bare->isKindUnknown);
    CHECK(bare->maxAttempts == 1);
    CHECK(bare->timeout > Milliseconds(10'000));
}

// Guards against downloads that are taken for requests which may run only once, and are not tried again.
TEST_CASE("a download is idempotent, and a route beside it with an unknown kind does not change it")
{
    const auto table = routesFromJson(replaced(Config, R"("kind":"safe")", R"("kind":"download")"));
    REQUIRE(table);
    const Route *read = table.value()->match("read.example", "/statements/7");
    REQUIRE(read != nullptr);
    CHECK(read->kind == RequestKind::Download);
    CHECK_FALSE(read->isKindUnknown);
    CHECK(isIdempotent(read->kind));
    CHECK_FALSE(isIdempotent(RequestKind::Unsafe));
    CHECK_FALSE(isIdempotent(RequestKind::Upload));
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

TEST_CASE("the regions in which a route may be served are read, and no list or an empty one names all")
{
    const auto table = routesFromJson(
        replaced(Config, R"("max_attempts":2)", R"("max_attempts":2,"allowed_regions":["south","north","south"])"));
    REQUIRE(table);
    const Route *pay = table.value()->match("pay.example", "/plans/7");
    REQUIRE(pay != nullptr);
    CHECK(pay->regions.names() == std::vector{RegionName("north"), RegionName("south")});
    CHECK_FALSE(pay->regions.allows(RegionName("west")));
    const Route *read = table.value()->match("read.example", "/statements/7");
    REQUIRE(read != nullptr);
    CHECK(read->regions.allows(RegionName("west")));
    const auto empty = routesFromJson(replaced(Config, R"("max_attempts":2)", R"("allowed_regions":[])"));
    REQUIRE(empty);
    CHECK_FALSE(empty.value()->match("pay.example", "/plans/7")->regions.isRestricted());
}

// Guards against a value that can't be read and then counts as every region.
TEST_CASE("regions of another kind than a list of names refuse the routes")
{
    for (const char *value : {"null", "\"north\"", "7", "{}", "[7]", "[\"\"]", "[[\"north\"]]", "[\"north\",null]"}) {
        INFO(value);
        const auto table =
            routesFromJson(replaced(Config, R"("max_attempts":2)", std::string(R"("allowed_regions":)") + value));
        REQUIRE_FALSE(table);
        CHECK(table.error().detail.find("allowed_regions is not a list of names of regions") != std::string::npos);
    }
}

// Guards against a rate that can't be read and then counts as no limit.
TEST_CASE("the requests that a cold upstream takes are read, and a rate that is no number refuses the routes")
{
    const auto withRate = [](const std::string &value) {
        return routesFromJson(
            replaced(Config, R"("max_connections":220)", R"("max_connections":220,"cold_per_s":)" + value));
    };
    const auto coldRateOf = [](const Result<RouteTablePointer> &table) {
        return table.value()->service(ServiceName("plans"))->coldRate;
    };
    CHECK(coldRateOf(routesFromJson(Config)) == std::nullopt);
    CHECK(coldRateOf(withRate("11.5")) == RequestRate(11.5));
    CHECK(coldRateOf(withRate("11")) == RequestRate(11.0));
    CHECK(coldRateOf(withRate("0")) == RequestRate(0.0));
    for (const char *value : {"-1", "null", "\"11\"", "[]"}) {
        INFO(value);
        const auto table = withRate(value);
        REQUIRE_FALSE(table);
        CHECK(table.error().detail.find("cold_per_s is not a number of requests") != std::string::npos);
    }
}

TEST_CASE("the version at the beginning of routes is read without the rest")
{
    CHECK(Platform::leadingVersion(Config) == RouteVersion(0x1c));
    CHECK(Platform::leadingVersion(R"({"version":"0000000c",)") == RouteVersion(0xc));
    CHECK_FALSE(Platform::leadingVersion(R"({"version":"0000000c)" + std::string("x\"")));
    CHECK_FALSE(Platform::leadingVersion(R"({"version":"0",)"));
    CHECK_FALSE(Platform::leadingVersion(R"({"version":12})"));
    CHECK_FALSE(Platform::leadingVersion(R"({"listeners":[],"version":"0000000c"})"));
    CHECK_FALSE(Platform::leadingVersion(""));
}
