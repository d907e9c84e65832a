#include "settings/nodesettingsreader.h"

#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "settings/settingskeys.h"

using namespace Egretpath;

namespace
{

const std::string Required = R"([node]
upstream = "statements-1"
service = "statements"
region = "northmere"
zone = "northmere-a"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
operators = "[::1]:8082"
[upstream]
address = "127.0.0.1:9000"
[platform]
address = "127.0.0.1:2379"
)";

std::string problemsOf(const std::string &text)
{
    const auto settings = NodeSettingsReader::read(text, "node.toml");
    return settings ? "" : toString(settings.error());
}

struct BadInput
{
    std::string text;
    std::string message;
};

}

TEST_CASE("required keys alone give a whole set of settings")
{
    const auto settings = NodeSettingsReader::read(Required, "node.toml");
    REQUIRE(settings.has_value());
    CHECK(settings.value().node.upstream == UpstreamName("statements-1"));
    CHECK(settings.value().listen.operators == Endpoint("[::1]:8082"));
    CHECK(settings.value().limits.header == Bytes(16384));
    CHECK(settings.value().routing.strategy == "egretpath");
    CHECK_FALSE(settings.value().random.seed.has_value());
}

TEST_CASE("each form of value reaches its member")
{
    const auto settings = NodeSettingsReader::read(Required + R"([peers]
seeds = ["10.0.0.1:8081", "10.0.0.2:8081"]
[limits]
header_bytes = 4096
connections = 7
[drain]
limit_ms = 1500
[log]
level = "debug"
[random]
seed = 42
)",
                                                   "node.toml");
    REQUIRE(settings.has_value());
    CHECK(settings.value().peers.seeds == std::vector{Endpoint("10.0.0.1:8081"), Endpoint("10.0.0.2:8081")});
    CHECK(settings.value().limits.header == Bytes(4096));
    CHECK(settings.value().limits.connections == 7);
    CHECK(settings.value().drain.limit == Milliseconds(1500));
    CHECK(settings.value().log.level == LogLevel::Debug);
    CHECK(settings.value().random.seed == 42U);
}

TEST_CASE("bad settings are refused with a message that says where and what is allowed")
{
    const BadInput inputs[] = {
        {Required + "[drain]\nlimit_ms = \"30s\"\n",
         "node.toml: line 15, key drain.limit_ms: \"30s\" is not allowed; allowed: a whole number of ms from 0 to "
         "3600000\n"},
        {Required + "[drain]\nlimit_ms = 30.5\nlimit = 3\n[Random]\n",
         "node.toml: line 15, key drain.limit_ms: \"30.5\" is not allowed; allowed: a whole number of ms from 0 to "
         "3600000\n"
         "node.toml: line 16, key drain.limit: \"limit\" is not allowed; allowed: one of the keys limit_ms\n"
         "node.toml: line 17, key Random: \"Random\" is not allowed; allowed: a known group\n"},
        {Required + "[limits]\nconnections = 0\n",
         "node.toml: line 15, key limits.connections: \"0\" is not allowed; allowed: a whole number from 1 to "
         "100000\n"},
        {Required + "[routing]\nstrategy = \"fastest\"\n",
         "node.toml: line 15, key routing.strategy: \"fastest\" is not allowed; allowed: one of random, round-robin, "
         "least-in-flight, two-choices, hot-cold, egretpath\n"},
        {Required + "[peers]\nseeds = [\"peer.example:80\"]\n",
         "node.toml: line 15, key peers.seeds: \"[ 'peer.example:80' ]\" is not allowed; allowed: a list of at most 64 "
         "texts, each an IP address and port from 1 to 65535 such as \"10.0.0.7:8080\"\n"},
        {Required + "[measuring]\nbytes_per_second = 10\npaid_bytes_per_second = 11\n",
         "node.toml: line 16, key measuring.paid_bytes_per_second: \"11\" is not allowed; allowed: at most "
         "measuring.bytes_per_second, which is 10\n"},
        {"drain = 3\n" + Required,
         "node.toml: line 1, key drain: \"3\" is not allowed; allowed: a group, written as [drain]\n"},
        {Required + "[drain\n",
         "node.toml: line 14: \"Error while parsing table header: expected ']', saw '\\n'\" is not allowed; allowed: "
         "TOML\n"},
    };
    for (const BadInput &input : inputs) {
        CHECK(problemsOf(input.text) == input.message);
    }
}

TEST_CASE("every missing required key is reported at once")
{
    const auto settings = NodeSettingsReader::read("", "node.toml");
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().size() == 9);
    CHECK(toString(settings.error().front())
          == "node.toml: key node.upstream: \"\" is not allowed; allowed: 1 to 63 letters, digits, '.', '_' and '-' of "
             "ASCII");
}

TEST_CASE("a node can't be its own upstream")
{
    // A call would come back to the node that sent it, until all slots are taken by one call.
    std::string text = Required;
    text.replace(text.find("127.0.0.1:9000"), 14, "127.0.0.1:8080");
    CHECK(problemsOf(text)
          == "node.toml: line 11, key upstream.address: \"127.0.0.1:8080\" is not allowed; allowed: an address that no "
             "other listener of this node has\n");
}

TEST_CASE("settings that can't be read are a problem")
{
    CHECK_FALSE(NodeSettingsReader::readFile("no-such-file.toml").has_value());
    CHECK_FALSE(NodeSettingsReader::readFile(".").has_value());
}

TEST_CASE("each key has a section in the page of its group, with what is allowed")
{
    for (const SettingsKey &key : settingsKeys()) {
        std::ifstream page(EGRETPATH_SOURCE_DIR "/docs/settings/" + std::string(key.group) + ".md");
        std::ostringstream text;
        text << page.rdbuf();
        const std::size_t begin = text.str().find("\n## " + std::string(key.key) + "\n");
        REQUIRE(begin != std::string::npos);
        const std::string section = text.str().substr(begin, text.str().find("\n## ", begin + 1) - begin);
        CHECK_THAT(section, Catch::Matchers::Contains("- Allowed: " + allowedFor(key) + "\n"));
        CHECK((section.find("the key is required") != std::string::npos) == key.required);
    }
}

TEST_CASE("the examples' node settings are accepted")
{
    for (const char *deployment : {"marrowfield", "registry"}) {
        const auto settings =
            NodeSettingsReader::readFile(std::string(EGRETPATH_SOURCE_DIR "/examples/") + deployment + "/node.toml");
        REQUIRE(settings.has_value());
    }
}
