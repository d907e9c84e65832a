#include "platform/instanceentry.h"

#include <catch2/catch.hpp>

#include <string>

#include "platform/base64.h"

using namespace Egretpath;
using namespace Egretpath::Platform;

namespace
{

const std::string Entry = R"({"service":"statements","address":"10.128.0.9:8080","zone":"north-a","version":"v1",
"slots":6,"state":"ready","warmup_remaining":"2.5s","sequence":4,"born":1765000000000})";

StoreItem itemWith(std::string value)
{
    StoreItem item;
    item.key = StoreKey("servers/i-7f3a91c2");
    item.revision = StoreRevision(17);
    item.value = std::move(value);
    return item;
}

FleetLayout layout()
{
    return {{{ZoneName("north-a"), RegionName("north")}}, 7620};
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

TEST_CASE("an entry is parsed into a record whose node is at the upstream's IP address")
{
    const auto record = instanceFromItem(itemWith(Entry), layout());
    REQUIRE(record);
    CHECK(record.value().id == UpstreamName("i-7f3a91c2"));
    CHECK(record.value().service == ServiceName("statements"));
    CHECK(record.value().address == Endpoint("10.128.0.9:8080"));
    CHECK(record.value().node == Endpoint("10.128.0.9:7620"));
    CHECK(record.value().location == Location{RegionName("north"), ZoneName("north-a")});
    CHECK(record.value().slots == 6);
    CHECK(record.value().state == InstanceState::Ready);
    CHECK(record.value().warmUp == Milliseconds(2500));
    CHECK(record.value().revision == StoreRevision(17));
    const auto draining = instanceFromItem(itemWith(replaced(Entry, "\"ready\"", "\"draining\"")), layout());
    REQUIRE(draining);
    CHECK(draining.value().state == InstanceState::Draining);
}

// Another program writes entries under the same prefix. Guards against one such entry that makes the complete instance
// list unreadable, so that every service is unreachable.
TEST_CASE("entries of other programs are refused one by one")
{
    for (const std::string &text : {
             std::string(),
             std::string("\xff\xfe"),
             std::string("[1,2]"),
             replaced(Entry, "\"ready\"", "\"asleep\""),
             replaced(Entry, "\"ready\"", "7"),
             replaced(Entry, "\"slots\":6", "\"slots\":\"six\""),
             replaced(Entry, "\"slots\":6", "\"slots\":-6"),
             replaced(Entry, "\"service\":\"statements\",", ""),
             replaced(Entry, "10.128.0.9:8080", "somewhere"),
             replaced(Entry, "10.128.0.9:8080", "somewhere:8080"),
             replaced(Entry, "10.128.0.9:8080", "10.128.0.9"),
             replaced(Entry, "10.128.0.9:8080", "10.128.0.999:8080"),
             replaced(Entry, "10.128.0.9:8080", "10.128.0.9:"),
             replaced(Entry, "10.128.0.9:8080", "10.128.0.9:0"),
             replaced(Entry, "10.128.0.9:8080", "10.128.0.9:-1"),
             replaced(Entry, "10.128.0.9:8080", "10.128.0.9:65536"),
             replaced(Entry, "10.128.0.9:8080", "10.128.0.9:70000"),
             replaced(Entry, "10.128.0.9:8080", "10.128.0.9:88888888888888888888"),
             replaced(Entry, "10.128.0.9:8080", std::string(100'000, '1') + ":8080"),
             replaced(Entry, "statements", std::string(100'000, 's')),
             replaced(Entry, "north-a", std::string(100'000, 'z')),
             replaced(Entry, "\"slots\":6", "\"slots\":1e400"),
             replaced(Entry, "\"slots\":6", "\"slots\":4294967296"),
             replaced(Entry, "\"slots\":6", "\"slots\":999999999999999999999999999"),
             replaced(Entry, "\"slots\":6",
                      "\"slots\":6,\"more\":" + std::string(200'000, '[') + std::string(200'000, ']')),
             replaced(Entry, "\"slots\":6", "\"slots\":6,\"more\":" + std::string(200'000, '[')),
             std::string(200'000, '['),
             replaced(Entry, "\"north-a\"", "\"\""),
         }) {
        INFO(text);
        CHECK_FALSE(instanceFromItem(itemWith(text), layout()));
    }
    StoreItem undecoded = itemWith({});
    undecoded.value.reset();
    CHECK_FALSE(instanceFromItem(undecoded, layout()));
    StoreItem unnamed = itemWith(Entry);
    unnamed.key = StoreKey("servers/");
    CHECK_FALSE(instanceFromItem(unnamed, layout()));
}

TEST_CASE("an upstream in a zone that the settings don't name is in a region of its own")
{
    const auto record = instanceFromItem(itemWith(replaced(Entry, "north-a", "new-zone")), layout());
    REQUIRE(record);
    CHECK(record.value().location.region == RegionName("new-zone"));
}

TEST_CASE("only the keys of upstreams contain an instance id")
{
    CHECK(instanceIdOf(StoreKey("servers/i-1")) == UpstreamName("i-1"));
    CHECK(instanceIdOf(StoreKey("op/config")).value().empty());
}

TEST_CASE("only standard base64 with padding is decoded")
{
    CHECK(decodeBase64("bm9kZS0x") == std::string("node-1"));
    CHECK(decodeBase64("YQ==") == std::string("a"));
    CHECK(decodeBase64("YWI=") == std::string("ab"));
    CHECK(decodeBase64("") == std::string());
    CHECK(decodeBase64("AAEC/w==") == std::string("\0\1\2\xff", 4));
    for (const char *bad : {"YQ", "YQ=", "Y===", "====", "Y=Q=", "YQ-_", "Y Q="}) {
        INFO(bad);
        CHECK_FALSE(decodeBase64(bad));
    }
}
