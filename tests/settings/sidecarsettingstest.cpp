#include "settings/sidecarsettings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "settings/durationtext.h"

using namespace Egretpath;

namespace
{

const std::string ValidSettings = R"([node]
name = "sidecar-1"
service = "statements"
region = "north"
zone = "north-a"
[listen]
callers = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
peers = "10.1.0.8:7620"
starters = ""
[upstream]
address = "10.1.0.8:8301"
[platform]
store = "10.200.1.7:8309"
[peers]
seeds = ["10.2.0.1:8303", "10.3.0.1:8303"]
[zones]
"north-a" = "north"
"south-a" = "south"
[links]
region_price_per_kib = 0.05

[repeats]
ratio = 0.2
slack = 56
[stop]
grace = "6s"
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string keysOf(const SettingsProblems &problems)
{
    std::string keys;
    for (const SettingsProblem &problem : problems) {
        keys += problem.key + " ";
    }
    return keys;
}

}

TEST_CASE("all valid settings are read")
{
    const auto settings = readSidecarSettings(ValidSettings, "sidecar.toml");
    REQUIRE(settings);
    CHECK(settings.value().service == ServiceName("statements"));
    CHECK(settings.value().peers == Endpoint("10.1.0.8:7620"));
    CHECK(settings.value().starters.value().empty());
    CHECK(settings.value().seeds.size() == 2);
    CHECK(settings.value().zones.size() == 2);
    CHECK(settings.value().retrySlack == 56.0);
    CHECK(settings.value().grace == Milliseconds(6000));
}

TEST_CASE("all problems are reported at once, each with its line, its key and what is allowed")
{
    std::string text = replaced(ValidSettings, "zone = \"north-a\"\n", "");
    text = replaced(text, "10.1.0.8:8304", "everywhere");
    text = replaced(text, "\"6s\"", "\"6 minutes\"");
    text = replaced(text, "ratio = 0.2", "ratio = -1");
    text = replaced(text, "region_price_per_kib = 0.05", "region_price_per_kib = \"much\"");
    text = replaced(text, "10.3.0.1:8303", "10.3.0.1:0");
    const auto settings = readSidecarSettings(text, "sidecar.toml");
    REQUIRE_FALSE(settings);
    CHECK(keysOf(settings.error())
          == "node.zone listen.callers peers.seeds repeats.ratio links.region_price_per_kib stop.grace ");
    CHECK(toString(settings.error()[1])
          == "sidecar.toml: line 6, key listen.callers: \"everywhere\" is not allowed; allowed: an IP address and port "
             "such as \"10.0.0.7:8080\"");
}

TEST_CASE("the limits of the VM are optional and have to be possible")
{
    const auto without = readSidecarSettings(ValidSettings, "sidecar.toml");
    REQUIRE(without);
    CHECK(without.value().linkMbps == 0.0);
    CHECK(without.value().memoryMb == 0);
    const auto settings = readSidecarSettings(ValidSettings + "[limits]\nlink_mbps = 13\nmemory_mb = 160\n", "f");
    REQUIRE(settings);
    CHECK(settings.value().linkMbps == 13.0);
    CHECK(settings.value().memoryMb == 160);
    const auto bad = readSidecarSettings(ValidSettings + "[limits]\nlink_mbps = 0\nmemory_mb = 31\n", "sidecar.toml");
    REQUIRE_FALSE(bad);
    REQUIRE(bad.error().size() == 2);
    CHECK(toString(bad.error()[0])
          == "sidecar.toml: line 29, key limits.link_mbps: \"0\" is not allowed; allowed: a number above 0, up to "
             "1000000");
    CHECK(toString(bad.error()[1])
          == "sidecar.toml: line 30, key limits.memory_mb: \"31\" is not allowed; allowed: a whole number from 32 to "
             "1000000");
    for (const char *value : {"-1", "nan", "\"13\"", "1e7"}) {
        INFO(value);
        CHECK_FALSE(readSidecarSettings(ValidSettings + "[limits]\nlink_mbps = " + value + "\n", "f"));
        CHECK_FALSE(readSidecarSettings(ValidSettings + "[limits]\nmemory_mb = " + value + "\n", "f"));
    }
}

TEST_CASE("requests that operators allow are named by fingerprints")
{
    const std::string allowed = ValidSettings + "[quarantine]\nallow = [\"00000000000000010000000000000002\"]\n";
    const auto settings = readSidecarSettings(allowed, "sidecar.toml");
    REQUIRE(settings);
    CHECK(settings.value().allowedRequests == std::vector<Digest>{{1, 2}});
    const auto bad = readSidecarSettings(ValidSettings + "[quarantine]\nallow = [\"2\"]\n", "sidecar.toml");
    REQUIRE_FALSE(bad);
    CHECK(keysOf(bad.error()) == "quarantine.allow ");
}

// Guards against a node that takes too little memory for no limit at all.
TEST_CASE("the memory of the VM is optional, and at least what a node needs")
{
    CHECK(readSidecarSettings(ValidSettings, "sidecar.toml").value().memoryMb == 0);
    const auto settings = readSidecarSettings(ValidSettings + "[limits]\nmemory_mb = 160\n", "sidecar.toml");
    REQUIRE(settings);
    CHECK(settings.value().memoryMb == 160);
    for (const char *bad : {"0", "-5", "31", "\"160\"", "nan"}) {
        INFO(bad);
        const auto refused = readSidecarSettings(ValidSettings + "[limits]\nmemory_mb = " + bad, "sidecar.toml");
        REQUIRE_FALSE(refused);
        CHECK(keysOf(refused.error()) == "limits.memory_mb ");
    }
}

TEST_CASE("text that is not TOML and a missing file are reported as problems")
{
    CHECK_FALSE(readSidecarSettings("[node", "sidecar.toml"));
    CHECK_FALSE(readSidecarSettings("", "sidecar.toml"));
    CHECK_FALSE(readSidecarSettingsFile("/nowhere/sidecar.toml"));
}

TEST_CASE("durations consist of a number and a unit")
{
    CHECK(durationFromText("1500ms") == Milliseconds(1500));
    CHECK(durationFromText("2.5s") == Milliseconds(2500));
    CHECK(durationFromText("0s") == Milliseconds(0));
    for (const char *bad : {"", "5", "s", "-1s", "1 s", "1h", "1e99s", "nan s", "2.5 sec"}) {
        INFO(bad);
        CHECK_FALSE(durationFromText(bad));
    }
}
